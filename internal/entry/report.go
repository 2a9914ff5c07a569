package entry

import (
	"sync/atomic"

	"github.com/cherrystage/cherrystage/internal/quarantine"
)

// report is one answer that broke off, on its way to the hosts that count for the fleet.
type report struct {
	cut quarantine.Truncation
	// hosts are those that were not tried yet, in their order.
	hosts []string
	// wanted is how many of them still have to hear.
	wanted atomic.Int32
}

// newReport makes a report to the first hosts of a ranking; self needs none.
func newReport(cut quarantine.Truncation, ranked []string, self string) *report {
	r := &report{cut: cut}
	r.wanted.Store(counters)
	for place, host := range ranked {
		switch {
		case host != self:
			r.hosts = append(r.hosts, host)
		case place < counters:
			r.wanted.Add(-1)
		}
	}
	return r
}

// next gives the hosts to try next: as many as still have to hear.
func (r *report) next() []string {
	count := min(int(r.wanted.Load()), len(r.hosts))
	next := r.hosts[:count]
	r.hosts = r.hosts[count:]
	return next
}

// taken notes that a host has heard of these.
func taken(reports []*report) {
	for _, r := range reports {
		r.wanted.Add(-1)
	}
}
