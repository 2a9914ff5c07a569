package weights_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cherrystage/cherrystage/internal/weights"
	"github.com/shoenig/test/must"
)

func TestOnlyPositiveLimitsAreAccepted(t *testing.T) {
	for _, row := range []struct {
		name, text string
		status     int
		ok         bool
	}{
		{"limits", `{"per_second":3.5}`, http.StatusOK, true},
		{"no loads allowed", `{"per_second":0}`, http.StatusOK, false},
		{"not JSON", `<html>`, http.StatusOK, false},
		{"outage", `{"per_second":3.5}`, http.StatusServiceUnavailable, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				must.Eq(t, "/weights/limits", r.URL.Path)
				w.WriteHeader(row.status)
				_, _ = io.WriteString(w, row.text)
			}))
			defer server.Close()
			limits, err := weights.NewClient(server.URL, nil).Limits(context.Background())
			must.Eq(t, row.ok, err == nil)
			if row.ok {
				must.Eq(t, 3.5, limits.PerSecond)
			}
		})
	}
}
