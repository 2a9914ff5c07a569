// Package board tracks the load and health of the runners as one host sees them: its own
// requests, those that its peers report, and their outcomes.
package board

import (
	"hash/maphash"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/standstill"
)

const shardCount = 16

// peerLoadTTL is how long a peer's reported counts are valid. Peers send them on every change
// and once a second; one that stopped may have crashed, and its requests with it.
const peerLoadTTL = 3 * time.Second

// Board holds the state of each runner, sharded by runner to reduce lock contention. It is safe
// for concurrent use.
type Board struct {
	seed   maphash.Seed
	shards [shardCount]shard

	// Standstill knows for which time this process could not run; nil stands for never. It must
	// not be changed once the board is in use.
	Standstill *standstill.Monitor

	// lastHeard is when any runner last sent data for a request of this host.
	lastHeard atomic.Pointer[time.Time]

	workMu sync.Mutex
	// workAnnouncedAt is when a runner last announced its work time.
	workAnnouncedAt time.Time
}

type shard struct {
	mu      sync.Mutex
	entries map[string]*entry
}

type entry struct {
	own int
	// lastActivity is when the runner last sent data for any request of this host, or when the
	// oldest of the current requests started.
	lastActivity time.Time
	// respondedSent is the latest send time among the requests that the runner responded to.
	respondedSent time.Time
	peers         map[string]peerLoad
	health        health
	limit         rateLimit
	malformed     string
	// backoffUntil is when the runner accepts requests of this host again.
	backoffUntil time.Time
	refusals     refusals
	work         workTime
	// removedAt is when Forget was last called for the runner; zero if a request was sent to it
	// since.
	removedAt time.Time
}

type peerLoad struct {
	running   int
	updatedAt time.Time
}

// New returns an empty board.
func New() *Board {
	b := &Board{seed: maphash.MakeSeed()}
	for i := range b.shards {
		b.shards[i].entries = map[string]*entry{}
	}
	return b
}

func (b *Board) shard(runner string) *shard {
	return &b.shards[maphash.String(b.seed, runner)%shardCount]
}

// withEntry calls update with the runner's entry, creating it if necessary, under the shard
// lock.
func (b *Board) withEntry(runner string, update func(e *entry)) {
	s := b.shard(runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[runner]
	if e == nil {
		e = &entry{peers: map[string]peerLoad{}}
		s.entries[runner] = e
	}
	update(e)
}

// RecordStart counts a request of this host that is sent to the runner.
func (b *Board) RecordStart(runner string, now time.Time) {
	b.withEntry(runner, func(e *entry) {
		if e.own == 0 {
			e.lastActivity = now
		}
		e.own++
		e.removedAt = time.Time{}
	})
}

// RecordActivity records that the runner sent data for a request of this host.
func (b *Board) RecordActivity(runner string, now time.Time) {
	b.lastHeard.Store(&now)
	b.withEntry(runner, func(e *entry) { e.lastActivity = now })
}

// RecordResponse records a response to a request that was sent at the given time.
func (b *Board) RecordResponse(runner string, sent time.Time) {
	b.withEntry(runner, func(e *entry) {
		if sent.After(e.respondedSent) {
			e.respondedSent = sent
		}
		e.refusals = refusals{}
	})
}

// RespondedSince reports whether the runner responded to a request that was sent after t, which
// shows that it was alive at t.
func (b *Board) RespondedSince(runner string, t time.Time) bool {
	var responded bool
	b.withEntry(runner, func(e *entry) { responded = e.respondedSent.After(t) })
	return responded
}

// A runner that sends nothing for several concurrent requests has most likely failed: active
// streams send an event every 50 ms, and 250 ms is the longest pause that callers allow. When it
// was detected only by single requests, which may take twice their latency limit, a failed
// runner received new requests for over a second and all of them were lost.
const (
	silenceThreshold  = 400 * time.Millisecond
	minSilentRequests = 2
)

func (b *Board) silent(e *entry, now time.Time) bool {
	return e.own >= minSilentRequests && b.Standstill.Awake(e.lastActivity, now) > silenceThreshold
}

// Silence of runners for which requests of this host wait.
const (
	// hostSilence is how long no runner at all may send anything, while several are waited for,
	// before this host's own paths are in doubt.
	hostSilence = 400 * time.Millisecond
	// runnerSilence is how long a single runner may send nothing to several requests before the
	// path to it is in doubt. First events take most of that under load.
	runnerSilence = time.Second
)

// DoubtfulPaths returns the runners to which this host's paths may have failed: they have sent
// nothing for a while although requests wait for them.
func (b *Board) DoubtfulPaths(now time.Time) []string {
	waiting := b.silentFor(now, 1, hostSilence)
	if len(waiting) >= minSilentRequests && b.nothingHeard(now) {
		return waiting
	}
	return b.silentFor(now, minSilentRequests, runnerSilence)
}

// minSilentRunners is the number of runners that must owe this host data before their silence speaks
// against its own paths, or for a silence of all: two or three may have failed together.
const minSilentRunners = 4

// NoneHeard reports whether requests wait for minSilentRunners or more, and no runner at all has sent
// anything for a while.
func (b *Board) NoneHeard(now time.Time) bool {
	return b.nothingHeard(now) && len(b.silentFor(now, 1, hostSilence)) >= minSilentRunners
}

// silentFor returns the runners for which at least the given number of requests wait, and which have
// sent nothing for longer than the given time.
func (b *Board) silentFor(now time.Time, requests int, silence time.Duration) []string {
	var silent []string
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for runner, e := range s.entries {
			if e.own >= requests && b.Standstill.Awake(e.lastActivity, now) > silence {
				silent = append(silent, runner)
			}
		}
		s.mu.Unlock()
	}
	return silent
}

func (b *Board) nothingHeard(now time.Time) bool {
	return b.Standstill.Awake(b.heardAt(), now) > hostSilence
}

// HeardSince reports whether the runner has sent data for a request of this host since t.
func (b *Board) HeardSince(runner string, t time.Time) bool {
	var heard bool
	b.withEntry(runner, func(e *entry) { heard = e.lastActivity.After(t) })
	return heard
}

// heardAt returns when any runner last sent data for a request of this host.
func (b *Board) heardAt() time.Time {
	if heard := b.lastHeard.Load(); heard != nil {
		return *heard
	}
	return time.Time{}
}

// RecordEnd removes a request that RecordStart counted.
func (b *Board) RecordEnd(runner string) {
	b.withEntry(runner, func(e *entry) { e.own = max(0, e.own-1) })
}

// OwnRequests returns the number of requests that this host has in flight, by runner.
func (b *Board) OwnRequests() map[string]int {
	own := map[string]int{}
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for runner, e := range s.entries {
			if e.own > 0 {
				own[runner] = e.own
			}
		}
		s.mu.Unlock()
	}
	return own
}

// OwnRequestsOn returns the number of requests that this host has in flight on a runner.
func (b *Board) OwnRequestsOn(runner string) int {
	var own int
	b.withEntry(runner, func(e *entry) { own = e.own })
	return own
}

// SetPeerRequests records the number of requests that a peer has in flight on a runner.
func (b *Board) SetPeerRequests(peer, runner string, running int, now time.Time) {
	b.withEntry(runner, func(e *entry) { e.peers[peer] = peerLoad{running: running, updatedAt: now} })
}

// View is a snapshot of one runner's state.
type View struct {
	// Own is the number of requests in flight from this host, Load that from all hosts.
	Own, Load int
	// Suspect reports that the runner should be avoided.
	Suspect bool
	// Limited reports that the runner accepts only Rate requests per second from all hosts
	// together. LimitAge is the time since it last said so.
	Limited  bool
	Rate     float64
	LimitAge time.Duration
	// Refusing reports that the runner is rejecting every request.
	Refusing bool
	// BlockedFor is how long this host must not send requests to the runner, 0 if it may.
	BlockedFor time.Duration
	// WorkPercent is the work time that the runner announced WorkAge ago, in percent of the
	// usual time; 0 if it announced none.
	WorkPercent int
	WorkAge     time.Duration
}

// View returns the current state of a runner.
func (b *Board) View(runner string, now time.Time) View {
	var view View
	b.withEntry(runner, func(e *entry) {
		view.Own = e.own
		view.Load = e.own
		for _, peer := range e.peers {
			if b.Standstill.Awake(peer.updatedAt, now) < peerLoadTTL {
				view.Load += peer.running
			}
		}
		view.Suspect = e.health.suspect(now) || b.silent(e, now)
		if e.limit.limited {
			view.Limited, view.Rate, view.LimitAge = true, e.limit.rate, now.Sub(e.limit.reportedAt)
		}
		view.Refusing = e.refusals.paused(now)
		view.BlockedFor = e.blockedFor(now)
		if e.work.percent > 0 {
			view.WorkPercent, view.WorkAge = e.work.percent, now.Sub(e.work.at)
		}
	})
	return view
}

// removedRetention is how long the rate limit and backoff of a removed runner are kept.
const removedRetention = 10 * time.Minute

// Forget drops the state of a removed runner, except for its rate limit and backoff: runners
// also disappear from the list during a store outage, and one that is listed again afterwards
// still expects the hosts to respect both.
func (b *Board) Forget(runner string, now time.Time) {
	s := b.shard(runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, e := range s.entries {
		if !e.removedAt.IsZero() && now.Sub(e.removedAt) > removedRetention {
			delete(s.entries, other)
		}
	}
	if e := s.entries[runner]; e != nil {
		s.entries[runner] = &entry{peers: map[string]peerLoad{}, limit: e.limit, backoffUntil: e.backoffUntil, removedAt: now}
	}
}
