// Package configsync keeps this host's inventory at the latest accepted revision: by a
// watch on the head, by a slow poll in case the watch fails, and by revisions that peers
// announce. Any one of the three is enough.
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
	// watchersPerDataCentre bounds the concurrent watches of a large fleet. In a fleet of
	// up to smallFleet hosts every host watches.
	watchersPerDataCentre = 2
	smallFleet            = 16
)

// Objects is the part of the object API that the service needs.
type Objects interface {
	configlog.Objects
	Watch(ctx context.Context, prefix string, after objectapi.Version, wait time.Duration) (objectapi.Changes, error)
}

// Peers calls other entry hosts.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
}

// Config configures a Service.
type Config struct {
	Host       string
	DataCentre string
	WatchWait  time.Duration
	Poll       time.Duration
}

// Service follows the head of the configuration log.
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

// New returns a Service that does not run yet.
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

// watch waits for changes of the head. It retries a failed watch with exponential backoff
// and jitter, so that hosts do not all return at once.
func (s *Service) watch(ctx context.Context) {
	pause := newBackoff()
	var after objectapi.Version
	for ctx.Err() == nil {
		if !s.isWatcher() {
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

// isWatcher reports whether this host watches the head.
func (s *Service) isWatcher() bool {
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

// poll reads the head periodically. Otherwise a watch whose connection is dead, or that
// delivers nothing, would leave this host behind for good.
func (s *Service) poll(ctx context.Context) {
	pause := newBackoff()
	for ctx.Err() == nil {
		wait := jitter(s.pollInterval())
		if err := s.Sync(ctx); err != nil {
			wait = max(wait, pause.NextBackOff())
			s.log.Debug("reading head failed", "error", err)
		} else {
			pause.Reset()
		}
		timing.Sleep(ctx, wait)
	}
}

// nonWatcherPollFactor reduces the poll rate of hosts in a large fleet that do not watch.
// They learn of changes from the watchers, and the number of calls must grow more slowly
// than the fleet.
const nonWatcherPollFactor = 10

func (s *Service) pollInterval() time.Duration {
	if s.isWatcher() {
		return s.cfg.Poll
	}
	return nonWatcherPollFactor * s.cfg.Poll
}

// Sync brings the inventory up to the head in the object API.
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

// ApplyAccepted applies a change that this host has just had accepted.
func (s *Service) ApplyAccepted(change configlog.Change) {
	if err := s.follower.ApplyPeerChanges([]configlog.Change{change}); err != nil {
		// The change is stored in chunks or does not follow the current revision; the next
		// read of the head brings it.
		s.log.Debug("accepted change not applied directly", "error", err)
		return
	}
	s.announce()
}

func (s *Service) adopt(snapshot *inventory.Snapshot, changes []configlog.Change, source string) {
	if !s.follower.Adopt(snapshot, changes) {
		return
	}
	s.log.Info("inventory updated", "revision", uint64(snapshot.Revision()), "source", source)
	s.announce()
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = firstBackoff
	b.MaxInterval = maxBackoff
	b.Reset()
	return b
}

// jitter returns a random duration between three quarters and five quarters of wait.
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

// PullIfNewer fetches what this host lacks from a peer with a newer revision. At most one
// call to a peer is made at a time.
func (s *Service) PullIfNewer(ctx context.Context, member fleet.Member) {
	if inventory.Revision(member.Revision) <= s.follower.Snapshot().Revision() {
		return
	}
	if _, busy := s.pulling.LoadOrStore(member.Host, true); busy {
		return
	}
	go func() {
		defer s.pulling.Delete(member.Host)
		if err := s.pullChanges(ctx, member); err != nil {
			s.log.Debug("fetching inventory from a peer failed", "peer", member.Host, "error", err)
		}
	}()
}

func (s *Service) pullChanges(ctx context.Context, member fleet.Member) error {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var since sinceResult
	params := sinceParams{Revision: s.follower.Snapshot().Revision()}
	if err := s.peers.Call(callCtx, member.Address, methodSince, params, &since); err != nil {
		return err
	}
	if !since.Complete {
		return s.pullAllParts(ctx, member)
	}
	before := s.follower.Snapshot().Revision()
	if err := s.follower.ApplyPeerChanges(since.Changes); err != nil {
		return err
	}
	if now := s.follower.Snapshot().Revision(); now > before {
		s.log.Info("inventory updated", "revision", uint64(now), "source", "peer "+member.Host)
		s.announce()
	}
	return nil
}
