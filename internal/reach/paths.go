// Package reach keeps track of which runners this host can connect to, and connects to the
// others through another host, its relay.
//
// A host may lose its paths to runners while callers, the store and other hosts still reach
// it. Without a second path it would fail its callers and mark sound runners as suspect.
package reach

import (
	"slices"
	"sync"
	"time"
)

const (
	// connectTimeout bounds the set-up of a direct connection. A runner is at most a few
	// milliseconds away.
	connectTimeout = 400 * time.Millisecond
	// shortConnectTimeout replaces connectTimeout while the paths to other runners fail, so
	// that a request is still on time through a relay.
	shortConnectTimeout = 100 * time.Millisecond
	// cutOffEvidence is the number of runners, or all if there are fewer, that this host must
	// have failed to reach since it last reached any before it counts as cut off from all.
	cutOffEvidence = 4
	// doubtEvidence is the number of such runners from which others are probed, doubtProbes the
	// number of others that are probed and must fail as well: runners that requests turned to
	// may have crashed together.
	doubtEvidence = 2
	doubtProbes   = 2
	// minRelayBackoff and maxRelayBackoff bound how long no relay is asked for a runner that
	// no relay could reach. Such a runner is most likely gone.
	minRelayBackoff = time.Second
	maxRelayBackoff = 4 * time.Second
)

// Paths holds the state of the direct paths from this host to the runners, by the runners'
// addresses. It does no I/O and takes the current time as an argument. It is safe for
// concurrent use.
type Paths struct {
	mu sync.Mutex
	// failing holds the runners to which the last direct connection failed.
	failing map[string]*failingPath
	// lastReached is when any runner was last reached directly.
	lastReached time.Time
	// cutOff is set while no runner can be reached directly, as far as is known.
	cutOff bool
}

// failingPath is the state of a direct path that failed.
type failingPath struct {
	failedAt time.Time
	// probed is set if the path was not known to fail when it was probed in doubt.
	probed bool
	// relayedAt is when a relay last reached the runner, relay the host that did.
	relayedAt time.Time
	relay     string
	// noRelayUntil is until when no relay is asked; backoff is the length of that pause.
	noRelayUntil time.Time
	backoff      time.Duration
}

// NewPaths returns the state of a host all of whose paths work.
func NewPaths() *Paths { return &Paths{failing: map[string]*failingPath{}} }

// Direct reports whether a connection to a runner should be tried directly first: the path
// works as far as is known, or no relay reaches the runner either.
func (p *Paths) Direct(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.failing[address]
	if path == nil {
		return !p.cutOff
	}
	return path.relayedAt.IsZero() && path.backoff > 0
}

// Fails reports whether the last direct connection to a runner failed.
func (p *Paths) Fails(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failing[address] != nil
}

// AnyFails reports whether any direct path fails.
func (p *Paths) AnyFails() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.failing) > 0 || p.cutOff
}

// Works reports whether the direct path to a runner works as far as is known.
func (p *Paths) Works(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failing[address] == nil && !p.cutOff
}

// MayRelay reports whether a relay may be asked for a connection to a runner.
func (p *Paths) MayRelay(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.failing[address]
	return path == nil || !now.Before(path.noRelayUntil)
}

// ConnectTimeout returns the time limit for a direct connection.
func (p *Paths) ConnectTimeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cutOff || len(p.failing) >= doubtEvidence {
		return shortConnectTimeout
	}
	return connectTimeout
}

// Change describes a change of a path's state.
type Change uint8

// Changes of a path.
const (
	Unchanged Change = iota
	// Failed: the direct path to a runner failed for the first time since it worked.
	Failed
	// CutOff: it failed, and no runner can be reached directly any more.
	CutOff
	// Regained: the direct path to a runner works again.
	Regained
)

// DirectFailed records that a runner could not be connected to directly. runners is the number
// of runners known, and probe is set for a probe of a runner that was not known to fail.
func (p *Paths) DirectFailed(address string, runners int, probe bool, now time.Time) Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	change := Unchanged
	path := p.failing[address]
	if path == nil {
		path = &failingPath{}
		p.failing[address] = path
		change = Failed
	}
	path.failedAt = now
	path.probed = path.probed || probe
	if !p.cutOff && p.reachesNone(runners) {
		p.cutOff = true
		return CutOff
	}
	return change
}

// reachesNone reports whether enough runners could not be reached since one last could. The
// caller holds p.mu.
func (p *Paths) reachesNone(runners int) bool {
	failed, probed := p.failedSinceReached()
	if failed < doubtEvidence {
		return false
	}
	return failed >= runners || failed >= cutOffEvidence && probed >= doubtProbes
}

// failedSinceReached returns the number of runners that could not be reached since one last
// could, and the number of those among them that were probed in doubt. The caller holds p.mu.
func (p *Paths) failedSinceReached() (failed, probed int) {
	for _, path := range p.failing {
		if !path.failedAt.After(p.lastReached) {
			continue
		}
		failed++
		if path.probed {
			probed++
		}
	}
	return failed, probed
}

// Heard records that a runner answered on a direct connection. That a connection lives on does
// not show that new ones can be opened.
func (p *Paths) Heard(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReached = now
}

// ReachedSince reports whether any runner was reached directly after a time.
func (p *Paths) ReachedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastReached.After(t)
}

// DirectWorked records that a runner was connected to directly.
func (p *Paths) DirectWorked(address string, now time.Time) Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastReached = now
	_, failing := p.failing[address]
	if !failing && !p.cutOff {
		return Unchanged
	}
	delete(p.failing, address)
	p.cutOff = false
	return Regained
}

// RelayWorked records that a relay reached a runner.
func (p *Paths) RelayWorked(address, relay string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.failing[address]
	if path == nil {
		// The host counts as cut off, but this path has not been tried since.
		path = &failingPath{failedAt: now}
		p.failing[address] = path
	}
	path.relayedAt, path.relay, path.backoff, path.noRelayUntil = now, relay, 0, time.Time{}
}

// RelayFailed records that no relay could reach a runner.
func (p *Paths) RelayFailed(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.failing[address]
	if path == nil {
		path = &failingPath{failedAt: now}
		p.failing[address] = path
	}
	path.relay, path.relayedAt = "", time.Time{}
	path.backoff = min(max(minRelayBackoff, 2*path.backoff), maxRelayBackoff)
	path.noRelayUntil = now.Add(path.backoff)
}

// LastRelay returns the host that last reached a runner for this one, or "".
func (p *Paths) LastRelay(address string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if path := p.failing[address]; path != nil {
		return path.relay
	}
	return ""
}

// InDoubt reports whether other runners should be probed, because several could not be
// reached since one last could.
func (p *Paths) InDoubt() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	failed, _ := p.failedSinceReached()
	return !p.cutOff && failed >= doubtEvidence
}

// IsCutOff reports whether no runner can be reached directly.
func (p *Paths) IsCutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff
}

// Failing returns the runners whose direct path fails, those first that have not been tried
// for longest.
func (p *Paths) Failing() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := make([]string, 0, len(p.failing))
	for address := range p.failing {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, func(a, b string) int {
		return p.failing[a].failedAt.Compare(p.failing[b].failedAt)
	})
	return addresses
}

// Lost reports whether this host does not reach a runner directly although a relay does.
func (p *Paths) Lost(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.failing[address]
	return path != nil && !path.relayedAt.IsZero()
}

// RelayedSince reports whether a relay has reached a runner after a time. Where it did so before only,
// the runner may have ended since.
func (p *Paths) RelayedSince(address string, t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.failing[address]
	return path != nil && path.relayedAt.After(t)
}

// Blames reports whether the failures that this host sees at a runner are the runner's as far as is
// known: its own path works, or no relay reaches the runner either.
func (p *Paths) Blames(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := p.failing[address]
	if path == nil {
		return !p.cutOff
	}
	noRelay := path.relayedAt.IsZero() && path.backoff > 0
	return noRelay || path.relayedAt.IsZero() && !p.cutOff
}

// Forget drops the state of runners that are not listed any more.
func (p *Paths) Forget(listed func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.failing {
		if !listed(address) {
			delete(p.failing, address)
		}
	}
	if len(p.failing) == 0 {
		p.cutOff = false
	}
}
