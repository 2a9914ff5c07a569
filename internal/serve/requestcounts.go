package serve

import (
	"context"
	"net/http"

	"github.com/cherrystage/cherrystage/internal/contention"
)

// beginCount counts the request as open on the metrics page.
func (l *lifecycle) beginCount() {
	l.counted = l.s.Contention.Begin(l.precedence, l.request.WorkspaceName())
}

// placeCounted is place, counted as waiting for its time. The waits within it may be counted by a
// cause of their own.
func (l *lifecycle) placeCounted(ctx context.Context) bool {
	l.counted.Defer(contention.CausePlacement)
	defer l.counted.Resume()
	return l.place(ctx)
}

// endCount counts the request's outcome.
func (l *lifecycle) endCount() {
	switch {
	case l.refusedByHost():
		l.counted.EndRefused(l.refusalCause())
	case l.reason == "" && l.failure == nil && l.complete && l.status < http.StatusInternalServerError:
		l.counted.EndServed()
	default:
		l.counted.EndFailed()
	}
}

// refusedByHost reports whether this host answered that the request has not run.
func (l *lifecycle) refusedByHost() bool {
	return l.reason != "" && (l.status == http.StatusServiceUnavailable || l.status == http.StatusTooManyRequests)
}

// refusalCause returns the most frequent reason for which owners did not admit the request, the
// first of those with equal counts. It is the reason of the answer if no owner was asked.
func (l *lifecycle) refusalCause() string {
	if len(l.refusals) == 0 {
		return l.reason
	}
	counts := map[string]int{}
	cause := l.refusals[0]
	for _, refusal := range l.refusals {
		counts[refusal]++
		if counts[refusal] > counts[cause] {
			cause = refusal
		}
	}
	return cause
}
