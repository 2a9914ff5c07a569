package entry

import (
	"sync/atomic"

	"github.com/cherrystage/cherrystage/internal/quarantine"
)

// failureReport is one answer that broke off, on its way to the hosts that count for the fleet.
type failureReport struct {
	cut quarantine.Cut
	// untried are those that were not tried yet, in their order.
	untried []string
	// acksNeeded is how many of them still have to hear.
	acksNeeded atomic.Int32
}

// newFailureReport makes a report to the first hosts of a ranking; self needs none.
func newFailureReport(cut quarantine.Cut, ranked []string, self string) *failureReport {
	r := &failureReport{cut: cut}
	r.acksNeeded.Store(countingHosts)
	for rank, host := range ranked {
		switch {
		case host != self:
			r.untried = append(r.untried, host)
		case rank < countingHosts:
			r.acksNeeded.Add(-1)
		}
	}
	return r
}

// nextHosts gives the hosts to try nextHosts: as many as still have to hear.
func (r *failureReport) nextHosts() []string {
	count := min(int(r.acksNeeded.Load()), len(r.untried))
	next := r.untried[:count]
	r.untried = r.untried[count:]
	return next
}

// acknowledged notes that a host has heard of these.
func acknowledged(reports []*failureReport) {
	for _, r := range reports {
		r.acksNeeded.Add(-1)
	}
}
