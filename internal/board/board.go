// Package board is what a host knows of how busy and how well the runners are:
// its own requests on them, those of its peers, and what came of them.
package board

import (
	"hash/maphash"
	"sync"
	"time"
)

const shardCount = 16

// peerCountLife is how long a peer's numbers count. Peers tell them when they
// change, and every second besides; a peer that stopped telling may be gone with
// its requests.
const peerCountLife = 3 * time.Second

// Board holds an entry for each runner, in shards with a lock each. It is safe
// for concurrent use.
type Board struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	entries map[string]*entry
}

type entry struct {
	own int
	// heardAt is when the runner last sent anything for this host's requests, or
	// when the first of them began.
	heardAt time.Time
	// answeredSent is when the last request was sent that the runner answered.
	answeredSent time.Time
	peers        map[string]peerCount
	health       health
	limit        limit
	unread       string
	// restUntil is until when the runner wants no request of this host.
	restUntil time.Time
	refusals  refusals
	// goneAt is when the runner was given up, zero if a request was sent to it since.
	goneAt time.Time
}

type peerCount struct {
	running int
	at      time.Time
}

// New makes an empty board.
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

// with runs do on the runner's entry under its shard's lock.
func (b *Board) with(runner string, do func(e *entry)) {
	s := b.shard(runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[runner]
	if e == nil {
		e = &entry{peers: map[string]peerCount{}}
		s.entries[runner] = e
	}
	do(e)
}

// RecordStart counts a request of this host on a runner.
func (b *Board) RecordStart(runner string, now time.Time) {
	b.with(runner, func(e *entry) {
		if e.own == 0 {
			e.heardAt = now
		}
		e.own++
		e.goneAt = time.Time{}
	})
}

// RecordActivity notes that a runner sent something for one of this host's requests.
func (b *Board) RecordActivity(runner string, now time.Time) {
	b.with(runner, func(e *entry) { e.heardAt = now })
}

// RecordResponse notes that a runner answered a request that was sent at a time.
func (b *Board) RecordResponse(runner string, sent time.Time) {
	b.with(runner, func(e *entry) {
		if sent.After(e.answeredSent) {
			e.answeredSent = sent
		}
		e.refusals = refusals{}
	})
}

// RespondedSince says whether a runner answered a request that was sent after a moment, so
// that it lived then.
func (b *Board) RespondedSince(runner string, moment time.Time) bool {
	var since bool
	b.with(runner, func(e *entry) { since = e.answeredSent.After(moment) })
	return since
}

// A runner that sends nothing for any of several requests has most likely gone
// dark: running streams show an event every 50 ms, and 250 ms is the longest
// pause that callers allow. Found by single requests, which may take twice their
// target, a dark runner got new ones for over a second, and all were lost.
const (
	silentAfter    = 400 * time.Millisecond
	silentRequests = 2
)

func (e *entry) silent(now time.Time) bool {
	return e.own >= silentRequests && now.Sub(e.heardAt) > silentAfter
}

// RecordEnd takes a request back that Begin counted.
func (b *Board) RecordEnd(runner string) {
	b.with(runner, func(e *entry) { e.own = max(0, e.own-1) })
}

// OwnRequests gives the requests of this host on each runner.
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

// OwnRequestsOn gives the requests of this host on a runner.
func (b *Board) OwnRequestsOn(runner string) int {
	var own int
	b.with(runner, func(e *entry) { own = e.own })
	return own
}

// SetPeerRequests takes a peer's requests on one runner.
func (b *Board) SetPeerRequests(peer, runner string, running int, now time.Time) {
	b.with(runner, func(e *entry) { e.peers[peer] = peerCount{running: running, at: now} })
}

// View is the state of one runner.
type View struct {
	// Own is the number of this host's requests on the runner, Load that of all
	// hosts together.
	Own, Load int
	// Suspect says that the runner should be avoided.
	Suspect bool
	// Limited says that the runner takes only Rate requests a second from all hosts together,
	// and SaidAgo how long ago it last said so.
	Limited  bool
	Rate     float64
	LimitAge time.Duration
	// Refusing says that the runner turns away whatever comes.
	Refusing bool
	// BlockedFor is for how long no request of this host may be sent to the runner, 0 if one may.
	BlockedFor time.Duration
}

// View gives the state of a runner.
func (b *Board) View(runner string, now time.Time) View {
	var view View
	b.with(runner, func(e *entry) {
		view.Own = e.own
		view.Load = e.own
		for _, peer := range e.peers {
			if now.Sub(peer.at) < peerCountLife {
				view.Load += peer.running
			}
		}
		view.Suspect = e.health.suspect(now) || e.silent(now)
		if e.limit.limited {
			view.Limited, view.Rate, view.LimitAge = true, e.limit.rate, now.Sub(e.limit.saidAt)
		}
		view.Refusing = e.refusals.hold(now)
		view.BlockedFor = e.barred(now)
	})
	return view
}

// goneLife is how long what a runner asked of the hosts is kept once it is given up.
const goneLife = 10 * time.Minute

// Forget drops a runner that is gone, but for what it asked of the hosts. Entries lapse in an
// outage of the store and come back with the runner, which still wants what it asked for.
func (b *Board) Forget(runner string, now time.Time) {
	s := b.shard(runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, e := range s.entries {
		if !e.goneAt.IsZero() && now.Sub(e.goneAt) > goneLife {
			delete(s.entries, other)
		}
	}
	if e := s.entries[runner]; e != nil {
		s.entries[runner] = &entry{peers: map[string]peerCount{}, limit: e.limit, restUntil: e.restUntil, goneAt: now}
	}
}
