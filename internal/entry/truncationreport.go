package entry

import (
	"sync/atomic"

	"github.com/cherrystage/cherrystage/internal/quarantine"
)

// truncationReport is a truncated response that is being reported to its counting hosts.
type truncationReport struct {
	truncation quarantine.Truncation
	// parts holds the truncations of one crash against parts of prompts, in place of truncation.
	parts []quarantine.Truncation
	// untried holds the hosts not tried yet, by rank.
	untried []string
	// acksNeeded is how many hosts still have to receive the report.
	acksNeeded atomic.Int32
}

// newTruncationReport returns a report to the first hosts of a ranking, apart from self.
func newTruncationReport(truncation quarantine.Truncation, ranked []string, self string) *truncationReport {
	r := &truncationReport{truncation: truncation}
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

// newPartsReport returns a report of one crash against parts of prompts.
func newPartsReport(parts []quarantine.Truncation, ranked []string, self string) *truncationReport {
	r := newTruncationReport(quarantine.Truncation{}, ranked, self)
	r.parts = parts
	return r
}

// nextHosts returns the hosts to try next, as many as still have to receive the report.
func (r *truncationReport) nextHosts() []string {
	count := min(int(r.acksNeeded.Load()), len(r.untried))
	next := r.untried[:count]
	r.untried = r.untried[count:]
	return next
}

// acknowledged records that one host has received the reports.
func acknowledged(reports []*truncationReport) {
	for _, r := range reports {
		r.acksNeeded.Add(-1)
	}
}
