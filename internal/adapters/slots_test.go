package adapters

import (
	"fmt"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func testAdapter(i int) site.Adapter { return site.Adapter{Model: "m", Name: fmt.Sprintf("a%d", i)} }

func testKey(i int) Key { return Key{Adapter: testAdapter(i)} }

func TestSlotCapacityIsBoundedByMemory(t *testing.T) {
	model := site.Model{Name: "m", WeightsMB: 65_500, AdapterMB: 40}
	must.Eq(t, 30, SlotCapacity(&site.Engine{WeightsMB: 68_000, AdapterSlots: 30}, model))
	must.Eq(t, 12, SlotCapacity(&site.Engine{WeightsMB: 66_000, AdapterSlots: 30}, model))
	must.Eq(t, 0, SlotCapacity(&site.Engine{WeightsMB: 60_000, AdapterSlots: 30}, model))
}

// A load order gets no answer. The adapter may have been loaded, so its slot is not
// free: another load into it would crash the runner. The adapter is not ready either:
// a request sent there could be rejected.
func TestInDoubtLoadOccupiesItsSlot(t *testing.T) {
	s := NewAdapterSlots(1)
	s.LoadInDoubt(testKey(1), epoch)
	must.Eq(t, 0, s.Free())
	_, ready := s.Ready(testKey(1))
	must.False(t, ready)

	s.ApplyReport(5, nil, reportLag, epoch, epoch.Add(reportLag/2))
	must.Eq(t, 0, s.Free(), must.Sprint("a report older than the order says nothing about it"))
	s.ApplyReport(5, nil, reportLag, epoch, epoch.Add(2*reportLag))
	must.Eq(t, 1, s.Free())
}

// Three requests arrive before their adapter's load is done, and each is rejected.
// The estimate may change only once. Changed by each of them, it grew to 650 ms where
// 250 are needed, and loads were ordered half as fast as the weight store allows.
func TestUnderestimateCountsOncePerLoad(t *testing.T) {
	s := NewAdapterSlots(2)
	s.LoadAccepted(testKey(1), epoch.Add(time.Millisecond), epoch)
	now := epoch.Add(2 * time.Millisecond)
	s.Advance(now)
	again := now.Add(minEarlyRetry)
	underestimate, loading := s.RequestTooEarly(testAdapter(1), initialFetchTime, now)
	must.Eq(t, FetchUnderestimated, underestimate)
	must.True(t, loading)
	readyAt, ok := s.Ready(testKey(1))
	must.True(t, ok)
	must.Eq(t, again, readyAt)
	underestimate, loading = s.RequestTooEarly(testAdapter(1), initialFetchTime, now)
	must.Eq(t, NoUnderestimate, underestimate)
	must.True(t, loading)
	_, loading = s.RequestTooEarly(testAdapter(1), initialFetchTime, epoch.Add(maxLoadDuration+time.Second))
	must.False(t, loading)
}

// The store is saturated and a load takes much longer than estimated. The request
// that finds out waits for a part of the load's time so far; those rejected meanwhile
// don't extend the wait.
func TestEarlyWaitGrowsWithTheLoad(t *testing.T) {
	s := NewAdapterSlots(2)
	s.LoadAccepted(testKey(1), epoch.Add(400*time.Millisecond), epoch)
	now := epoch.Add(400 * time.Millisecond)
	s.Advance(now)
	_, _ = s.RequestTooEarly(testAdapter(1), initialFetchTime, now)
	readyAt, _ := s.Ready(testKey(1))
	must.Eq(t, epoch.Add(460*time.Millisecond), readyAt)
	_, _ = s.RequestTooEarly(testAdapter(1), initialFetchTime, now.Add(10*time.Millisecond))
	readyAt, _ = s.Ready(testKey(1))
	must.Eq(t, epoch.Add(460*time.Millisecond), readyAt)
}

// A fetch is running and should be done in 40 ms. The next one is ordered now:
// otherwise the weight store would be idle until the order has reached the runner.
func TestNextFetchIsOrderedBeforeTheRunningOneEnds(t *testing.T) {
	now := epoch
	engine := &fakeEngine{}
	c := newTestController(&now, 8, engine)
	c.StoreLoad = func() StoreLoad { return StoreLoad{Fetches: 8, Capacity: 8} }
	c.slots.LoadAccepted(testKey(0), now.Add(initialFetchTime), now)
	_, err := c.Admit(testRequest(1, time.Second))
	must.NoError(t, err)
	must.Eq(t, loadPollInterval, c.runNext(t.Context()))
	now = now.Add(initialFetchTime - 40*time.Millisecond)
	must.Eq(t, 0, c.runNext(t.Context()))
	must.SliceLen(t, 1, engine.orders)
}

// A new version is announced while the runner holds the old one. A request for the
// new one must not be sent there as if it were ready.
func TestOldVersionIsNotReadyAsTheNewOne(t *testing.T) {
	s := NewAdapterSlots(2)
	s.LoadAccepted(Key{Adapter: testAdapter(1), Version: 2}, epoch, epoch)
	_, ok := s.Ready(Key{Adapter: testAdapter(1), Version: 3})
	must.False(t, ok)
	_, ok = s.Ready(Key{Adapter: testAdapter(1), Version: 2})
	must.True(t, ok)
	_, ok = s.Ready(Key{Adapter: testAdapter(1)})
	must.True(t, ok)
}

// In any sequence of orders, lost answers and reports, the slots that count as taken
// are at least those that are: a load beyond them crashes the runner.
func TestOccupiedSlotsAreNeverUndercounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 4
		s := NewAdapterSlots(capacity)
		now := epoch
		truth := map[site.Adapter]bool{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			s.Advance(now)
			i := rapid.IntRange(0, 8).Draw(t, "adapter")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				if _, there := s.entries[testAdapter(i)]; there || s.Free() < 1 {
					continue
				}
				truth[testAdapter(i)] = true
				if rapid.Bool().Draw(t, "answered") {
					s.LoadAccepted(testKey(i), now, now)
				} else {
					s.LoadInDoubt(testKey(i), now)
				}
			case 1:
				if victim, ok := s.Victim(now); ok {
					s.Unloaded(victim)
					delete(truth, victim)
				}
			case 2:
				var held []Held
				for adapter := range truth {
					held = append(held, Held{Key: Key{Adapter: adapter}})
				}
				s.ApplyReport(s.Sequence, held, reportLag, now, now)
			case 3:
				s.Touch(testAdapter(i), now)
			}
			if len(truth) > capacity {
				t.Fatalf("%d adapters in %d slots", len(truth), capacity)
			}
		}
	})
}
