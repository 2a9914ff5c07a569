package adapters

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/timing"
)

const (
	// workProbeAge is the age from which the work time of a runner with requests is probed.
	workProbeAge = 250 * time.Millisecond
	// workProbeTimeout bounds the answer to a probe. A later one would be of little use.
	workProbeTimeout = 200 * time.Millisecond
	// minProbePause keeps probes apart if a figure arrives with an age.
	minProbePause = 20 * time.Millisecond
	// maxProbeBackoff bounds the pause after probes that failed in a row.
	maxProbeBackoff = 4 * time.Second
)

// probeCounts counts the probes of a runner and those that brought no figure.
type probeCounts struct{ sent, failed atomic.Int64 }

// watchWork probes the runner's work time whenever it is due, until the context ends. It does not
// delay orders, and there is at most one probe at a time.
func (c *Controller) watchWork(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		wait := probeWait(c.RunnerView(c.runner.ID, c.Now()))
		if wait > 0 {
			timing.Sleep(ctx, wait)
			continue
		}
		if c.probeWork(ctx) {
			failures = 0
		} else {
			failures++
			c.probes.failed.Add(1)
		}
		timing.Sleep(ctx, probePause(failures))
	}
}

// probeWait returns how long it takes at least until a probe of a runner is due, 0 if it is due.
// Only runners that announce their work time and run requests are probed.
func probeWait(view board.View) time.Duration {
	if !announcesWork(view) || view.Load == 0 {
		return workProbeAge
	}
	if view.WorkAge >= workProbeAge {
		return 0
	}
	return max(minProbePause, workProbeAge-view.WorkAge)
}

// probePause returns the pause after a probe, given the number of probes that failed in a row.
func probePause(failures int) time.Duration {
	if failures == 0 {
		return workProbeAge
	}
	return min(maxProbeBackoff, workProbeAge<<min(failures-1, 8))
}

// probeWork asks the runner for its work time and reports whether it announced one. A failure
// leaves the known figure to expire and does not count against the runner's health.
func (c *Controller) probeWork(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, workProbeTimeout)
	defer cancel()
	c.probes.sent.Add(1)
	percent, err := c.Engines.WorkPercent(ctx, c.runner.Address, c.healthPath())
	if err != nil {
		c.log.Debug("work time probe failed", "error", err.Error())
		return false
	}
	if percent <= 0 {
		return false
	}
	c.OnWork(c.runner.ID, percent, c.Now())
	return true
}

func (c *Controller) healthPath() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.spec.HealthPath
}
