package adapters

import (
	"context"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

// forgetfulEngine plays a runner that loses answers and carries the orders out late,
// also in the lifetime that begins when it starts again.
type forgetfulEngine struct {
	capacity int
	born     int64
	sequence int64
	held     map[Key]bool
	late     []Order
	lose     bool
	most     int
}

func (f *forgetfulEngine) Order(_ context.Context, _ string, order Order) (OrderAnswer, error) {
	if f.lose {
		f.late = append(f.late, order)
		return OrderAnswer{}, nil
	}
	return OrderAnswer{Outcome: f.take(order)}, nil
}

func (f *forgetfulEngine) take(order Order) Outcome {
	if order.Sequence != f.sequence {
		return OutcomeConflict
	}
	f.sequence++
	if !order.Load {
		delete(f.held, order.Key)
		return OutcomeDone
	}
	f.held[order.Key] = true
	f.most = max(f.most, len(f.held))
	return OutcomeAccepted
}

func (f *forgetfulEngine) carryOutLate() {
	for _, order := range f.late {
		f.take(order)
	}
}

func (f *forgetfulEngine) restart() {
	f.born++
	f.sequence = 0
	f.held = map[Key]bool{}
}

func (f *forgetfulEngine) Report(context.Context, string) (Report, error) {
	report := Report{Sequence: f.sequence, Born: f.born, Models: []string{"m"}}
	for key := range f.held {
		report.Adapters = append(report.Adapters, Held{Key: key})
	}
	return report, nil
}

// A runner with three places loses the answers to two loads, crashes, and starts
// again under its instance. Its new count comes by the sequences of the lost orders
// while their answers are still out, and they are carried out. The runner must never
// hold more than its places: it would crash, and all callers' answers with it.
func TestLateLoadOfEarlierLifetime(t *testing.T) {
	for _, lostAt := range []int64{1, 2, 3} {
		now := epoch
		engine := &forgetfulEngine{capacity: 3, held: map[Key]bool{}}
		before := keeperAt(&now, 3, engine)
		for i := range int(lostAt) {
			before.loadAdapter(t.Context(), keyed(i))
		}
		engine.lose = true
		before.order(t.Context(), true, keyed(100))
		engine.lose = false
		engine.restart()

		after := keeperAt(&now, 3, engine)
		after.runner = after.runner.WithStart(engine.born)
		after.slots.Inherited = before.unanswered(now)
		for i := range 8 {
			_, _ = after.Admit(admission(10+i, time.Second))
			for range 6 {
				after.next(t.Context())
				engine.carryOutLate()
				if !after.isSynced() {
					now = now.Add(2 * reportLag)
					after.sync(t.Context())
				}
			}
			now = now.Add(time.Second)
		}
		must.LessEq(t, 3, engine.most, must.Sprintf("order %d lost", lostAt))
	}
}

// Orders of the lifetime before are not carried out for ever: the places that were
// kept for them are used again.
func TestLateOrdersExpire(t *testing.T) {
	slots := NewSlots(3)
	slots.Inherited.note(0, true, epoch)
	slots.Inherited.note(1, false, epoch)
	slots.Inherited.note(2, true, epoch)
	slots.Inherited.note(4, true, epoch)
	must.Eq(t, 1, slots.Free(), must.Sprint("two loads follow on each other, with the order to unload between them"))
	slots.Settle(epoch.Add(lateOrder))
	must.Eq(t, 1, slots.Free())
	slots.Settle(epoch.Add(lateOrder + time.Millisecond))
	must.Eq(t, 3, slots.Free())
}

// A runner started again behind its owner's back. Its report tells another start:
// nothing of the lifetime before may be taken for the new one, and whoever waits is
// sent on. An earlier start is an answer that was overtaken, and ends nothing.
func TestReportOfAnotherLifetime(t *testing.T) {
	for _, test := range []struct {
		name string
		born int64
		told []int64
	}{
		{"later", 300, []int64{300}},
		{"earlier", 100, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := epoch
			engine := &forgetfulEngine{born: test.born, held: map[Key]bool{keyed(1): true}}
			k := keeperAt(&now, 3, engine)
			k.runner = &site.Runner{ID: "r~200", Instance: "r", StartedMS: 200, Slots: 64}
			var told []int64
			k.OnRestart = func(instance string, born int64) {
				must.Eq(t, "r", instance)
				told = append(told, born)
			}
			must.Eq(t, syncPause, k.sync(t.Context()))
			must.Eq(t, test.told, told)
			_, err := k.Admit(admission(1, time.Second))
			must.ErrorIs(t, err, ErrUnresponsive)
		})
	}
}
