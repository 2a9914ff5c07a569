package entry

import (
	"slices"
	"sync"
	"time"
)

const (
	// returnDelay is how long a slot that is not scarce is kept, so that several are returned in
	// one message or with the next request for one.
	returnDelay = 15 * time.Millisecond
	// returnRetryPause is the pause before slots are returned again that could not be.
	returnRetryPause = 250 * time.Millisecond
	// maxReturnAge is the age at which a slot is no longer returned, since its grant has expired.
	maxReturnAge = 5 * time.Second
	// maxPendingReturns bounds the slots that are kept to be returned to one host.
	maxPendingReturns = 1024
)

// pendingReturn is a slot that is to be returned.
type pendingReturn struct {
	SlotRelease
	at time.Time
}

// pendingReturns holds the slots that are to be returned, by the host that keeps their ledger. It
// is safe for concurrent use.
type pendingReturns struct {
	mu     sync.Mutex
	byHost map[string][]pendingReturn
	// scheduled marks the hosts to which slots will be returned without another call to add.
	scheduled map[string]bool
	// lost counts the slots that could not be returned.
	lost int64
}

func newPendingReturns() *pendingReturns {
	return &pendingReturns{byHost: map[string][]pendingReturn{}, scheduled: map[string]bool{}}
}

// add adds slots that are to be returned to a host, and reports whether the caller has to schedule
// their return.
func (r *pendingReturns) add(host string, returns ...pendingReturn) (schedule bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	pending := append(r.byHost[host], returns...)
	if excess := len(pending) - maxPendingReturns; excess > 0 {
		pending = slices.Delete(pending, 0, excess)
		r.lost += int64(excess)
	}
	r.byHost[host] = pending
	if r.scheduled[host] {
		return false
	}
	r.scheduled[host] = true
	return true
}

// take removes and returns the slots to be returned to a host, without those that are too old. The
// argument scheduled reports that the call is the scheduled one.
func (r *pendingReturns) take(host string, scheduled bool, now time.Time) []pendingReturn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if scheduled {
		delete(r.scheduled, host)
	}
	pending := r.byHost[host]
	delete(r.byHost, host)
	fresh := slices.DeleteFunc(pending, func(p pendingReturn) bool { return now.Sub(p.at) >= maxReturnAge })
	r.lost += int64(len(pending) - len(fresh))
	return fresh
}

func (r *pendingReturns) lostCount() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}

func releasesOf(returns []pendingReturn) []SlotRelease {
	releases := make([]SlotRelease, 0, len(returns))
	for _, one := range returns {
		releases = append(releases, one.SlotRelease)
	}
	return releases
}
