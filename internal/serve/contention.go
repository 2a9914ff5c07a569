package serve

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
)

// countDeferral records that an owner let others go first.
func (l *lifecycle) countDeferral(admitted adapters.AdmissionResult, pause time.Duration) {
	if admitted.Ticket == 0 {
		return
	}
	l.deferrals++
	l.deferred += max(0, pause)
}

// contentionLogFields returns the log fields of a request that has a precedence.
func (l *lifecycle) contentionLogFields() []any {
	if !l.ranked {
		return nil
	}
	fields := []any{"precedence", []int{l.precedence.Workspace, l.precedence.Route}}
	if l.deferrals > 0 {
		fields = append(fields, "deferrals", l.deferrals, "deferred_ms", l.deferred.Milliseconds())
	}
	return fields
}
