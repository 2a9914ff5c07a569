package precedence

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against callers that all retry at the same time.
func TestRetryAfter(t *testing.T) {
	must.Eq(t, 300*time.Millisecond, RetryAfter(300*time.Millisecond, site.Precedence{}, 0))
	must.Eq(t, 600*time.Millisecond, RetryAfter(300*time.Millisecond, site.Precedence{Workspace: 99, Route: 99}, 0))
	must.Eq(t, minRetryAfter, RetryAfter(0, site.Precedence{Workspace: -5}, 0))
	rapid.Check(t, func(t *rapid.T) {
		wait := time.Duration(rapid.IntRange(0, 10_000).Draw(t, "wait")) * time.Millisecond
		p := site.Precedence{Workspace: rapid.IntRange(-3, 40).Draw(t, "workspace"), Route: rapid.IntRange(-3, 40).Draw(t, "route")}
		draw := rapid.Float64Range(0, 0.999).Draw(t, "draw")
		retry := RetryAfter(wait, p, draw)
		must.Between(t, minRetryAfter, retry, 2*maxRetryAfter*4/3)
		must.GreaterEq(t, min(wait, maxRetryAfter), retry)
		must.LessEq(t, RetryAfter(wait, p, 0)*4/3+1, retry)
		must.GreaterEq(t, retry, RetryAfter(wait, site.Precedence{Workspace: p.Workspace + 1, Route: p.Route}, draw))
	})
}
