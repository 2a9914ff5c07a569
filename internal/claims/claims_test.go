package claims

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// A claim is removed a day after its request; a claim of today stays, so that a repetition of
// its request is still rejected.
func TestSweepRemovesClaimsAfterADay(t *testing.T) {
	platform := standin.NewPlatform()
	server := httptest.NewServer(platform)
	defer server.Close()
	objects := objectapi.NewClient(server.URL, server.Client().Transport)
	store := NewStore(objects, "h")
	ctx := context.Background()
	now := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	for key, at := range map[string]time.Time{"old": now.Add(-Retention), "new": now.Add(-time.Hour)} {
		_, err := store.Begin(ctx, "caller", key, "request-"+key, "nonce-"+key, at)
		must.NoError(t, err)
	}
	removed, err := store.Sweep(ctx, now)
	must.NoError(t, err)
	must.Eq(t, 1, removed)
	listing, err := objects.List(ctx, keyPrefix)
	must.NoError(t, err)
	must.Len(t, 1, listing.Items)
	_, err = store.Begin(ctx, "caller", "new", "request-3", "nonce-3", now)
	var duplicate *DuplicateError
	must.True(t, errors.As(err, &duplicate))
	must.Eq(t, verdict.MayHaveRun, duplicate.Verdict())

	platform.SetDown(true)
	_, err = store.Sweep(ctx, now)
	must.Error(t, err)
}
