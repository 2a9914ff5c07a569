// Package configsync keeps the inventory in force on this node at the newest
// accepted revision: by a watch on the head, by a slow poll behind it, and by
// what peers tell. Any one of the three is enough.
package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cherrystage/cherrystage/internal/configlog"
	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/hashicorp/go-hclog"
)

// Limits of the service.
const (
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 15 * time.Second
	peerTimeout  = 2 * time.Second
	// watchersPerDataCentre bounds the waiting watches of a large fleet; a
	// small one watches from every host.
	watchersPerDataCentre = 2
	smallFleet            = 16
)

// Objects is what the service needs of the object API.
type Objects interface {
	configlog.Objects
	Watch(ctx context.Context, prefix string, after objectapi.Version, wait time.Duration) (objectapi.Changes, error)
}

// Peers calls other entry hosts.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Config sets the service.
type Config struct {
	Host       string
	DataCentre string
	WatchWait  time.Duration
	Poll       time.Duration
}

// Service follows the head.
type Service struct {
	cfg      Config
	follower *configlog.Follower
	reader   *configlog.Reader
	objects  Objects
	peers    Peers
	hosts    *fleet.Table
	log      hclog.Logger
	// announce tells the peers of a new revision at once.
	announce func()

	syncing sync.Mutex
	pulling sync.Map
	parts   partCache
}

// New makes the service.
func New(cfg Config, follower *configlog.Follower, objects Objects, peers Peers, hosts *fleet.Table, announce func(), log hclog.Logger) *Service {
	return &Service{
		cfg: cfg, follower: follower, reader: configlog.NewReader(objects), objects: objects,
		peers: peers, hosts: hosts, announce: announce, log: log,
	}
}

// Run follows the head until the context ends.
func (s *Service) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.watch(ctx) })
	wg.Go(func() { s.poll(ctx) })
	wg.Wait()
}

// watch waits for changes of the head. A watch that fails is tried again after
// a growing pause with jitter, so that hosts do not come back all at once.
func (s *Service) watch(ctx context.Context) {
	pause := newBackoff()
	var after objectapi.Version
	for ctx.Err() == nil {
		if !s.watches() {
			timing.Sleep(ctx, s.cfg.Poll)
			continue
		}
		changes, err := s.objects.Watch(ctx, configlog.HeadKey, after, s.cfg.WatchWait)
		if err != nil {
			timing.Sleep(ctx, pause.NextBackOff())
			continue
		}
		after = max(after, changes.Version)
		if len(changes.Events) == 0 && !changes.Reset {
			pause.Reset()
			continue
		}
		if err := s.Sync(ctx); err != nil {
			timing.Sleep(ctx, pause.NextBackOff())
			continue
		}
		pause.Reset()
	}
}

// watches says whether this host is one of those that watch.
func (s *Service) watches() bool {
	entries := s.hosts.ByRole(fleet.RoleEntry)
	if len(entries) <= smallFleet {
		return true
	}
	var local []string
	for _, host := range entries {
		if host.DataCentre == s.cfg.DataCentre && host.State == fleet.StateLive {
			local = append(local, host.ID)
		}
	}
	ranked := fleet.Rank("config/watch", local)
	for _, host := range ranked[:min(watchersPerDataCentre, len(ranked))] {
		if host == s.cfg.Host {
			return true
		}
	}
	return false
}

// poll reads the head now and then: a watch whose connection went silent, or
// that tells nothing, would otherwise leave this host behind for good.
func (s *Service) poll(ctx context.Context) {
	pause := newBackoff()
	for ctx.Err() == nil {
		wait := jitter(s.pollInterval())
		if err := s.Sync(ctx); err != nil {
			wait = max(wait, pause.NextBackOff())
			s.log.Debug("head not read", "error", err)
		} else {
			pause.Reset()
		}
		timing.Sleep(ctx, wait)
	}
}

// pollFactor makes a host of a large fleet that does not watch poll less often:
// it learns of changes from the watchers, and the calls must grow more slowly
// than the fleet.
const pollFactor = 10

func (s *Service) pollInterval() time.Duration {
	if s.watches() {
		return s.cfg.Poll
	}
	return pollFactor * s.cfg.Poll
}

// Sync brings this node to the head of the object API.
func (s *Service) Sync(ctx context.Context) error {
	s.syncing.Lock()
	defer s.syncing.Unlock()
	head, _, err := s.reader.Head(ctx)
	if err != nil {
		return err
	}
	snapshot, changes, err := s.reader.CatchUp(ctx, s.follower.Snapshot(), head)
	if err != nil {
		return err
	}
	s.adopt(snapshot, changes, "object API")
	return nil
}

// ApplyAccepted puts a change in force that this node has just had accepted.
func (s *Service) ApplyAccepted(change configlog.Change) {
	if err := s.follower.Follow([]configlog.Change{change}); err != nil {
		// The change stands in chunks or does not follow; the next reading of the head brings it.
		s.log.Debug("accepted change not applied directly", "error", err)
		return
	}
	s.announce()
}

func (s *Service) adopt(snapshot *inventory.Snapshot, changes []configlog.Change, source string) {
	if !s.follower.Adopt(snapshot, changes) {
		return
	}
	s.log.Info("inventory in force", "revision", uint64(snapshot.Revision()), "source", source)
	s.announce()
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstBackoff
	b.MaxInterval = maxBackoff
	b.Reset()
	return b
}

// jitter spreads a wait over three quarters to five quarters of it.
func jitter(wait time.Duration) time.Duration {
	return wait*3/4 + rand.N(wait/2+1)
}

// Peer methods of this package.
const (
	methodSince = "config.since"
	methodPart  = "config.part"
)

type sinceParams struct {
	Revision inventory.Revision `json:"revision"`
}

type sinceResult struct {
	Changes  []configlog.Change `json:"changes"`
	Complete bool               `json:"complete"`
}

// Register adds the methods that peers call.
func (s *Service) Register(mux *peer.Mux) {
	peer.Handle(mux, methodSince, func(_ context.Context, _ peer.Identity, p sinceParams) (sinceResult, error) {
		changes, complete := s.follower.Since(p.Revision)
		return sinceResult{Changes: changes, Complete: complete}, nil
	})
	peer.Handle(mux, methodPart, func(_ context.Context, _ peer.Identity, p partParams) (partResult, error) {
		return s.parts.get(s.follower.Snapshot(), p)
	})
}

// PullIfNewer takes a peer's revision; if it is newer, this node asks the peer for
// what it lacks. One call at a time is made to a peer.
func (s *Service) PullIfNewer(ctx context.Context, member fleet.Member) {
	if inventory.Revision(member.Revision) <= s.follower.Snapshot().Revision() {
		return
	}
	if _, busy := s.pulling.LoadOrStore(member.Host, true); busy {
		return
	}
	go func() {
		defer s.pulling.Delete(member.Host)
		if err := s.pull(ctx, member); err != nil {
			s.log.Debug("peer's inventory not taken", "peer", member.Host, "error", err)
		}
	}()
}

func (s *Service) pull(ctx context.Context, member fleet.Member) error {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var since sinceResult
	params := sinceParams{Revision: s.follower.Snapshot().Revision()}
	if err := s.peers.Call(callCtx, member.Address, methodSince, params, &since); err != nil {
		return err
	}
	if !since.Complete {
		return s.pullWhole(ctx, member)
	}
	before := s.follower.Snapshot().Revision()
	if err := s.follower.Follow(since.Changes); err != nil {
		return err
	}
	if now := s.follower.Snapshot().Revision(); now > before {
		s.log.Info("inventory in force", "revision", uint64(now), "source", "peer "+member.Host)
		s.announce()
	}
	return nil
}
