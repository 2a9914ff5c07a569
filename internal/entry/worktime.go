package entry

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
)

// maxWorkAge is the age up to which a runner's work time says something of the present. Older
// figures are neither reported nor applied.
const maxWorkAge = time.Second

// workReport is a runner's work time to report to its owner. percent is 0 if there is none.
type workReport struct {
	percent int
	at      time.Time
}

// newWorkTime returns a runner's work time as this host heard it, unless the owner was told
// already. The owner's own answers and probes are not reported back to it, since a host reports to
// other owners only.
func (o *ownerClient) newWorkTime(runner string) workReport {
	now := o.now()
	if !o.board.WorkAnnouncedWithin(maxWorkAge, now) {
		return workReport{}
	}
	view := o.board.View(runner, now)
	if view.WorkPercent == 0 || view.WorkAge > maxWorkAge {
		return workReport{}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	report := workReport{percent: view.WorkPercent, at: now.Add(-view.WorkAge)}
	if !report.at.After(o.reported[runner].workAt) {
		return workReport{}
	}
	return report
}

// currentWorkTime returns the work time that a runner announced last in percent, 0 if it did not
// do so recently.
func (o *ownerClient) currentWorkTime(runner string) int {
	view := o.board.View(runner, o.now())
	if view.WorkAge > maxWorkAge {
		return 0
	}
	return view.WorkPercent
}

// addPrefill keeps the shortest prefill time per token at the runner's usual speed.
func (r *RunnerOutcomes) addPrefill(perToken int64, workPercent int) {
	known := adapters.UsualPrefill(float64(r.PromptTokenNS), r.PromptWorkPercent)
	if known == 0 || adapters.UsualPrefill(float64(perToken), workPercent) < known {
		r.PromptTokenNS, r.PromptWorkPercent = perToken, workPercent
	}
}

// applyWorkTime records the work time of a runner that a peer reported. A report that was under
// way or kept for too long is ignored, as is one without an age that can be true.
func (o *ownerClient) applyWorkTime(runner string, outcomes RunnerOutcomes, now time.Time) {
	age := time.Duration(outcomes.WorkAgeMS) * time.Millisecond
	if outcomes.WorkPercent <= 0 || age < 0 || age > maxWorkAge {
		return
	}
	o.board.RecordWork(runner, outcomes.WorkPercent, now.Add(-age))
}
