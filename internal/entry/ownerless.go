package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

const (
	// ownerlessDelay is for how long a runner's owner must be unreachable before the runner is
	// asked what it holds. A process that restarts is back by then.
	ownerlessDelay = 2 * time.Second
	// ownerlessInterval is the minimum time between two reports of one runner.
	ownerlessInterval = 5 * time.Second
	// maxOwnerlessReports bounds the reports that a host reads in a second. If the owners of all
	// runners are lost, every host asks for them.
	maxOwnerlessReports = 20
	ownerlessTimeout    = time.Second
)

// ownerlessRunners reads what runners hold whose owners do not respond.
//
// A process that has just started knows no placement. If the owners are lost for good, all requests
// for adapters would be refused until the runners have other owners, also those for adapters that the
// runners hold. A runner rejects a request for an adapter that it does not hold, so a report that is
// seconds old does no harm.
type ownerlessRunners struct {
	report func(ctx context.Context, address string) (adapters.Report, error)
	now    func() time.Time
	log    hclog.Logger
	limit  *rate.Limiter

	mu sync.Mutex
	// runners holds the runners whose owners are unreachable, by ID.
	runners map[string]ownerlessRunner
}

type ownerlessRunner struct {
	since, askedAt time.Time
}

func newOwnerlessRunners(now func() time.Time, log hclog.Logger) *ownerlessRunners {
	return &ownerlessRunners{now: now, log: log, limit: rate.NewLimiter(maxOwnerlessReports, maxOwnerlessReports), runners: map[string]ownerlessRunner{}}
}

// noteReached records that a runner's owner responded.
func (r *ownerlessRunners) noteReached(runner string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.runners, runner)
}

// noteUnreachable records that a runner's owner did not respond, and reports whether the runner
// should be asked now what it holds.
func (r *ownerlessRunners) noteUnreachable(runner string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	known, ok := r.runners[runner]
	if !ok {
		known.since = now
	}
	due := now.Sub(known.since) >= ownerlessDelay && now.Sub(known.askedAt) >= ownerlessInterval && r.limit.AllowN(now, 1)
	if due {
		known.askedAt = now
	}
	r.runners[runner] = known
	return due
}

// read returns the adapters that a runner holds.
func (r *ownerlessRunners) read(runner *site.Runner) (held []adapters.Key, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), ownerlessTimeout)
	defer cancel()
	report, err := r.report(ctx, runner.Address)
	if err != nil {
		r.log.Info("could not read what a runner without a reachable owner holds", "runner", runner.ID, "error", err.Error())
		return nil, false
	}
	for _, adapter := range report.Adapters {
		if !adapter.Incoming {
			held = append(held, adapter.Key)
		}
	}
	r.log.Info("read what a runner without a reachable owner holds", "runner", runner.ID, "adapters", len(held))
	return held, true
}
