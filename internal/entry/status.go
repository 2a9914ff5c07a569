package entry

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/hashicorp/go-hclog"
)

// status is what hosts tell each other in heartbeats.
type status struct {
	// Running counts the sender's requests by runner.
	Running map[string]int `json:"running,omitempty"`
	// SuspectMS names runners that the sender avoids, and for how much longer.
	SuspectMS map[string]int64 `json:"suspect_ms,omitempty"`
	// Used names the adapters that the sender used on the receiver's runners
	// since its last heartbeat.
	Used map[string][]string `json:"used,omitempty"`
	// Places tells what lies on the sender's runners, where that has changed.
	Places map[string][]placed `json:"places,omitempty"`
	// Transit is the number of adapters on their way to the sender's runners.
	Transit int `json:"transit,omitempty"`
}

// placed is an adapter on a runner.
type placed struct {
	Adapter string `json:"a"`
	Version int64  `json:"v,omitempty"`
	ReadyMS int64  `json:"r,omitempty"`
}

// transitLife is how long a peer's count of adapters on their way holds.
const transitLife = time.Second

// statuses implements mesh.Statuses.
type statuses struct {
	board     *board.Board
	residency *residency
	owner     *adapters.Owner
	now       func() time.Time
	log       hclog.Logger

	mu sync.Mutex
	// sent holds, by peer and runner, the state that has arrived there.
	sent    map[string]map[string]uint64
	process map[string]string
	transit map[string]transit
}

type transit struct {
	count int
	at    time.Time
}

// StatusFor implements mesh.Statuses.
func (s *statuses) StatusFor(host string) (any, func(incarnation string)) {
	now := s.now()
	told := status{
		Running:   s.board.Own(),
		SuspectMS: map[string]int64{},
		Used:      s.residency.takeUsed(host),
		Places:    map[string][]placed{},
		Transit:   s.owner.Transit(),
	}
	for runner, left := range s.board.Suspects(now) {
		told.SuspectMS[runner] = left.Milliseconds()
	}
	versions := s.changedFor(host, told.Places, now)
	return told, func(incarnation string) { s.arrived(host, incarnation, versions) }
}

// changedFor fills in the runners whose state the host does not have yet.
func (s *statuses) changedFor(host string, places map[string][]placed, now time.Time) map[string]uint64 {
	versions := map[string]uint64{}
	for runner, keeper := range s.owner.Keepers() {
		version, residents := keeper.State()
		versions[runner] = version
		if s.has(host, runner, version) {
			continue
		}
		list := make([]placed, 0, len(residents))
		for key, readyAt := range residents {
			list = append(list, placed{Adapter: key.String(), Version: key.Version, ReadyMS: max(0, readyAt.Sub(now).Milliseconds())})
		}
		places[runner] = list
	}
	return versions
}

func (s *statuses) has(host, runner string, version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, ok := s.sent[host][runner]
	return ok && sent == version
}

// arrived notes what a peer's process has. A process that replaced it has only
// what came with this heartbeat, so it is sent everything with the next one.
func (s *statuses) arrived(host, incarnation string, versions map[string]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.process[host] != incarnation {
		s.process[host] = incarnation
		delete(s.sent, host)
		return
	}
	s.sent[host] = versions
}

// StatusFrom implements mesh.Statuses.
func (s *statuses) StatusFrom(host string, raw json.RawMessage) {
	var told status
	if err := json.Unmarshal(raw, &told); err != nil {
		s.log.Warn("peer's status not understood", "host", host, "error", err.Error())
		return
	}
	now := s.now()
	s.board.PeerRunning(host, told.Running, now)
	for runner, ms := range told.SuspectMS {
		s.board.PeerSuspects(runner, time.Duration(ms)*time.Millisecond, now)
	}
	for runner, names := range told.Used {
		s.touch(runner, names)
	}
	for runner, list := range told.Places {
		s.residency.replace(runner, keysOf(list, now))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transit[host] = transit{count: told.Transit, at: now}
}

func (s *statuses) touch(runner string, names []string) {
	keeper, ok := s.owner.Keeper(runner)
	if !ok {
		return
	}
	list := make([]site.Adapter, 0, len(names))
	for _, name := range names {
		list = append(list, site.AdapterNamed(name))
	}
	keeper.Touch(list)
}

func keysOf(list []placed, now time.Time) map[adapters.Key]time.Time {
	keys := make(map[adapters.Key]time.Time, len(list))
	for _, p := range list {
		key := adapters.Key{Adapter: site.AdapterNamed(p.Adapter), Version: p.Version}
		keys[key] = now.Add(time.Duration(p.ReadyMS) * time.Millisecond)
	}
	return keys
}

// elsewhere gives the adapters on their way to peers' runners.
func (s *statuses) elsewhere() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	count := 0
	for _, t := range s.transit {
		if now.Sub(t.at) < transitLife {
			count += t.count
		}
	}
	return count
}
