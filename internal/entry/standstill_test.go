package entry

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/awake"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/mesh"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/quota"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/serve"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/cherrystage/cherrystage/internal/standstill"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// standstills are the lengths of the suspensions that the tests play.
var standstills = []time.Duration{1500 * time.Millisecond, 3 * time.Second}

// suspendedHost is host "a", which can be suspended. It asks host "b" for everything; b answers after
// answerTime.
type suspendedHost struct {
	state   *mesh.State
	pool    *peer.Pool
	running awake.Clock
	process *standin.Process
	network *standin.Network
}

const answerTime = 20 * time.Millisecond

// withSuspendedHost runs a test for each length of a suspension.
func withSuspendedHost(t *testing.T, run func(h *suspendedHost, length time.Duration)) {
	t.Helper()
	for _, length := range standstills {
		synctest.Test(t, func(t *testing.T) {
			defer time.Sleep(time.Minute)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			network := standin.NewNetwork()
			defer network.Close()
			key := []byte("key")
			server := peer.NewServer(peer.Identity{Host: "b", Incarnation: "1"}, key, answeringMux(), hclog.NewNullLogger())
			defer server.Close()
			listener, err := network.Host("b").Listen("1")
			must.NoError(t, err)
			defer func() { _ = listener.Close() }()
			go func() { _ = server.Serve(listener) }()
			state := mesh.NewState("a", mesh.Timing{Lease: mesh.DefaultLease, OrderGap: 3 * time.Second, Margin: mesh.DefaultMargin}, time.Now())
			state.Apply([]registry.Change{
				recordOf(t, "host.b", mesh.HostRecord{Address: "b:1", Epoch: 1}),
				recordOf(t, "runner.r-80", mesh.OwnerRecord{Host: "b", Epoch: 1}),
			}, time.Now())
			process := standin.StartProcess(ctx)
			pool := peer.NewPool(peer.Identity{Host: "a", Incarnation: "1"}, key, network.Host("a").Dial, hclog.NewNullLogger())
			defer pool.Close()
			pool.Clock = awake.Clock{Now: time.Now, Standstill: &process.Monitor}
			run(&suspendedHost{state: state, pool: pool, running: pool.Clock, process: process, network: network}, length)
		})
	}
}

func answeringMux() *peer.Mux {
	mux := peer.NewMux()
	peer.Handle(mux, methodAdmit, func(context.Context, peer.Identity, AdmitParams) (AdmitResult, error) {
		time.Sleep(answerTime)
		return AdmitResult{}, nil
	})
	peer.Handle(mux, methodQuota, func(_ context.Context, _ peer.Identity, p QuotaParams) (QuotaResult, error) {
		time.Sleep(answerTime)
		return QuotaResult{Granted: p.Cost}, nil
	})
	peer.Handle(mux, methodLimit, func(_ context.Context, _ peer.Identity, p LimitParams) (LimitResult, error) {
		time.Sleep(answerTime)
		return LimitResult{Granted: true, Limit: p.Limit}, nil
	})
	peer.Handle(mux, methodSlotsAcquire, func(_ context.Context, _ peer.Identity, p SlotAcquireParams) (SlotAcquireResult, error) {
		time.Sleep(answerTime)
		if milliseconds(p.HoldMS) == firstHold {
			return SlotAcquireResult{}, nil
		}
		return SlotAcquireResult{Runner: "p0"}, nil
	})
	return mux
}

// suspendSoon suspends the host before the answers to questions that it asks now arrive.
func (h *suspendedHost) suspendSoon(length time.Duration) {
	time.AfterFunc(answerTime/2, func() {
		h.process.Suspend(length)
		h.network.Silence("a", length)
	})
}

// A host is suspended while it asks a runner's owner for admission. The answer lies in its socket when
// it wakes. If it took the owner for unreachable, requests for adapters that it does not know to be
// on the runner would be turned away for a second.
func TestOwnerIsNotUnreachableAfterAStandstill(t *testing.T) {
	withSuspendedHost(t, func(h *suspendedHost, length time.Duration) {
		o := newOwnerClient("a", h.state, h.pool, board.New(), time.Now, hclog.NewNullLogger())
		_, err := o.Admit(context.Background(), remoteRunner, admissionFor("known"))
		must.NoError(t, err)
		h.suspendSoon(length)
		_, err = o.Admit(context.Background(), remoteRunner, admissionFor("cold"))
		must.NoError(t, err)
		must.False(t, o.backoff.active("b", time.Now()))
	})
}

// A host is suspended while it asks the host that counts a quota for units. If it took that host for
// unreachable, it would refuse requests of a workspace that is far below its quota.
func TestCountingHostIsNotUnreachableAfterAStandstill(t *testing.T) {
	withSuspendedHost(t, func(h *suspendedHost, length time.Duration) {
		q := newQuotaManager("a", h.state, h.pool, nil, quota.Tolerance{}, time.Now, hclog.NewNullLogger())
		q.running = h.running
		workspace := &site.Workspace{Name: "w", Quota: site.Quota{Rate: 100, Burst: 100}}
		must.Eq(t, serve.ChargeGranted, q.Charge(context.Background(), workspace, 1, 400*time.Millisecond).Outcome)
		h.suspendSoon(length)
		must.Eq(t, serve.ChargeGranted, q.Charge(context.Background(), workspace, 1, 400*time.Millisecond).Outcome)
		must.False(t, q.backoff.active("b", time.Now()))
	})
}

// A host is suspended while a request of it waits for a slot at the host of the ledger. If it took that host for
// unreachable, it would place its requests for a second without the ledger, on runners whose slots
// are taken.
func TestLedgerHostIsNotUnreachableAfterAStandstill(t *testing.T) {
	withSuspendedHost(t, func(h *suspendedHost, length time.Duration) {
		m := newSlotManager(peer.Identity{Host: "a", Incarnation: "1"}, h.state, h.pool, nil, time.Now, hclog.NewNullLogger())
		m.running = h.running
		must.Eq(t, serve.SlotGranted, m.Acquire(context.Background(), slotRequest(10*time.Second)).Outcome)
		time.AfterFunc(answerTime, func() { h.suspendSoon(length) })
		must.Eq(t, serve.SlotGranted, m.Acquire(context.Background(), slotRequest(10*time.Second)).Outcome)
		must.False(t, m.backoff.active("b", time.Now()))
	})
}

// A host is suspended after the host that counts a runner's rate limit permitted it to send a request.
// The limit has been used by others since, so the request must not be sent by the old permission; but
// the host that gave it is asked again.
func TestOldPermissionIsNotUsedAfterAStandstill(t *testing.T) {
	withSuspendedHost(t, func(h *suspendedHost, length time.Duration) {
		b := board.New()
		b.RecordSignal(remoteRunner.ID, board.Signal{Limited: true, Rate: 5}, time.Time{}, time.Now())
		p := newBackpressure("a", h.state, h.pool, b, directory.New(runnerDecoder{}, time.Now, hclog.NewNullLogger()), time.Now, hclog.NewNullLogger())
		_, granted := p.Acquire(context.Background(), remoteRunner)
		must.True(t, granted)
		h.suspendSoon(length)
		_, granted = p.Acquire(context.Background(), remoteRunner)
		must.False(t, granted)
		must.False(t, p.backoff.active("b", time.Now()))
		time.Sleep(limitRetryPause)
		_, granted = p.Acquire(context.Background(), remoteRunner)
		must.True(t, granted)
	})
}

// A host is suspended while its peers have adapters loaded. When it wakes, it has not heard of them for
// longer than their statuses are valid. If it took them for gone, it would have as many adapters loaded
// as all hosts together may, and each of its loads would wait for the weight store.
func TestPeersAreNotGoneAfterAStandstill(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newPeerStatuses(&now)
	s.standstill = &standstill.Monitor{}
	s.standstill.Tick(now)
	s.receive(t, "b", status{Transit: 3, Runners: 4})
	now = now.Add(3 * time.Second)
	transit, runners := s.peersInTransit()
	must.Eq(t, 3, transit)
	must.Eq(t, 4, runners)
	for end := now.Add(statusTTL + 100*time.Millisecond); now.Before(end); now = now.Add(standstill.Interval) {
		s.standstill.Tick(now)
	}
	transit, _ = s.peersInTransit()
	must.Eq(t, 0, transit, must.Sprint("a peer that stays silent"))
}

// A peer suspected a runner, and knew its limit, while this host was suspended. The host reads the
// status 3 s later. Meanwhile the suspicion has ended, and another peer has told that the limit was
// lifted. If the status counted as new, requests would avoid a sound runner and wait for a limit that
// is no more.
func TestStatusReadAfterAStandstillIsOld(t *testing.T) {
	now := time.Unix(1000, 0)
	s := newPeerStatuses(&now)
	s.onLimit = func(limit board.LimitReport, _ string) { s.board.MergePeerLimit(limit, now) }
	limited, err := json.Marshal(status{SuspectMS: map[string]int64{"r": 300}, Limits: []board.LimitReport{{Runner: "r", Limited: true, Rate: 1}}})
	must.NoError(t, err)
	sent := now
	now = now.Add(3 * time.Second)
	s.receive(t, "c", status{Limits: []board.LimitReport{{Runner: "r", AgeMS: 1000}}})
	s.ReceiveStatus("b", limited, sent)
	view := s.board.View("r", now)
	must.False(t, view.Suspect)
	must.False(t, view.Limited)
	s.ReceiveStatus("b", limited, now)
	view = s.board.View("r", now)
	must.True(t, view.Suspect)
	must.True(t, view.Limited)
}
