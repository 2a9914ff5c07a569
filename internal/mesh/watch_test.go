package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A change ends the watches of both hosts that watch. The first one's next watch begins at
// once, and the second one's must begin in the middle of it: together, two watches that report
// nothing would delay the next change for callers by a whole wait.
func TestTwoHostsWatchInTurn(t *testing.T) {
	withCluster(t, func(m *cluster) {
		m.joinAll()
		const wait = 800 * time.Millisecond
		watchers := m.all["a"].State.watchers("k")
		first, second := m.all[watchers[0]], m.all[watchers[1]]
		begin := func() {
			first.WatchBegins("k", wait)
			second.WatchBegins("k", wait)
			time.Sleep(10 * time.Millisecond)
		}
		must.Eq(t, 0, second.WatchDelay("k", time.Second), must.Sprint("a host that is told nothing watches"))
		begin()
		must.Eq(t, 0, first.WatchDelay("k", time.Second))
		must.Eq(t, wait/2-10*time.Millisecond, second.WatchDelay("k", time.Second))
		time.Sleep(wait/2 - 10*time.Millisecond)
		must.Eq(t, 0, second.WatchDelay("k", time.Second))
		begin()
		must.Eq(t, wait/2-10*time.Millisecond, second.WatchDelay("k", time.Second))
	}, "a", "b", "c")
}

// A host tells of a watch of a day. The second host that watches must not leave the store alone
// for that long.
func TestToldWaitIsBounded(t *testing.T) {
	withCluster(t, func(m *cluster) {
		m.joinAll()
		second := m.all[m.all["a"].State.watchers("k")[1]]
		for _, kind := range []string{"k", "unknown"} {
			_, err := second.handleWatchBegins(context.Background(), second.Self, WatchParams{Kind: kind, WaitMS: (24 * time.Hour).Milliseconds()})
			must.NoError(t, err)
		}
		must.Eq(t, maxWatchWait/2, second.WatchDelay("k", time.Second))
		must.MapLen(t, 1, second.nextWatch)
	}, "a", "b", "c")
}

func (s *State) watchers(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentMembership().watchersOf(kind)
}
