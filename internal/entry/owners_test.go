package entry

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/mesh"
	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// fakeOwner is the owner of a runner on another host.
type fakeOwner struct {
	mu       sync.Mutex
	silent   bool
	dials    int
	received []RunnerOutcomes
	demands  []DemandParams
	// prefetches are the prefetches asked for; refuse returns the refusal of one.
	prefetches []AdmitParams
	refuse     func(p AdmitParams) adapters.Refusal
}

func (r *fakeOwner) locked(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
}

// reports returns the outcomes that the owner received.
func (r *fakeOwner) reports() []RunnerOutcomes {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.received)
}

var remoteRunner = &site.Runner{ID: "i-r", Instance: "i-r", Address: "r:80", Service: "llm", Slots: 12}

// withRemoteOwner runs a test in which host "a" calls host "b", the owner of a runner.
func withRemoteOwner(t *testing.T, run func(o *ownerClient, owner *fakeOwner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork()
		owner := &fakeOwner{}
		mux := peer.NewMux()
		peer.Handle(mux, methodAdmit, func(context.Context, peer.Identity, AdmitParams) (AdmitResult, error) {
			return AdmitResult{ReadyMS: 20}, nil
		})
		peer.Handle(mux, methodOutcomes, func(_ context.Context, _ peer.Identity, p OutcomesParams) (struct{}, error) {
			owner.locked(func() { owner.received = append(owner.received, p.Runners[remoteRunner.ID]) })
			return struct{}{}, nil
		})
		peer.Handle(mux, methodDemand, func(_ context.Context, _ peer.Identity, p DemandParams) (struct{}, error) {
			owner.locked(func() { owner.demands = append(owner.demands, p) })
			return struct{}{}, nil
		})
		peer.Handle(mux, methodPrefetch, func(_ context.Context, _ peer.Identity, p AdmitParams) (PrefetchResult, error) {
			readyMS := int64(290)
			result := PrefetchResult{ReadyMS: &readyMS}
			owner.locked(func() {
				owner.prefetches = append(owner.prefetches, p)
				if owner.refuse != nil {
					result.Refusal = owner.refuse(p)
				}
			})
			return result, nil
		})
		key := []byte("key")
		server := peer.NewServer(peer.Identity{Host: "b", Incarnation: "1"}, key, mux, hclog.NewNullLogger())
		listener, err := network.Host("b").Listen("1")
		must.NoError(t, err)
		go func() { _ = server.Serve(listener) }()
		dial := func(ctx context.Context, proto, address string) (net.Conn, error) {
			silent := false
			owner.locked(func() { owner.dials++; silent = owner.silent })
			if silent {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return network.Host("a").Dial(ctx, proto, address)
		}
		pool := peer.NewPool(peer.Identity{Host: "a", Incarnation: "1"}, key, dial, hclog.NewNullLogger())
		state := mesh.NewState("a", mesh.Timing{Lease: mesh.DefaultLease, OrderGap: 3 * time.Second, Margin: mesh.DefaultMargin}, time.Now())
		state.Apply([]registry.Change{
			recordOf(t, "host.b", mesh.HostRecord{Address: "b:1", Epoch: 1}),
			recordOf(t, "runner.r-80", mesh.OwnerRecord{Host: "b", Epoch: 1}),
		}, time.Now())
		o := newOwnerClient("a", state, pool, board.New(), time.Now, hclog.NewNullLogger())
		o.owner = adapters.NewOwner(adapters.OwnerDeps{Now: time.Now, Log: hclog.NewNullLogger()})
		run(o, owner)
		pool.Close()
		server.Close()
		_ = listener.Close()
		network.Close()
		time.Sleep(time.Minute)
	})
}

func recordOf(t *testing.T, name string, spec any) registry.Change {
	t.Helper()
	raw, err := json.Marshal(spec)
	must.NoError(t, err)
	return registry.Change{Record: registry.Record{Name: name, Revision: 1, Spec: raw}}
}

func admissionFor(name string) adapters.AdmissionRequest {
	return adapters.AdmissionRequest{Key: adapters.Key{Adapter: site.Adapter{Model: "m", Name: name}}, PromptTokens: 800, MaxWait: time.Second}
}

// When a runner's owner stops responding, the first request waits a quarter of a second
// for it. During the next second, requests do not wait: those for an adapter known to be on
// the runner are admitted without the owner, others fail. Then the owner is called again.
func TestUnreachableOwnerBackoff(t *testing.T) {
	withRemoteOwner(t, func(o *ownerClient, owner *fakeOwner) {
		ctx := context.Background()
		admitted, err := o.Admit(ctx, remoteRunner, admissionFor("known"))
		must.NoError(t, err)
		must.Eq(t, 20*time.Millisecond, time.Until(admitted.At))
		owner.locked(func() { owner.silent = true; owner.dials = 0 })
		o.pool.Close()

		begin := time.Now()
		_, err = o.Admit(ctx, remoteRunner, admissionFor("cold"))
		must.ErrorIs(t, err, errOwnerUnreachable)
		must.Eq(t, ownerTimeout, time.Since(begin))
		for range 5 {
			_, err = o.Admit(ctx, remoteRunner, admissionFor("cold"))
			must.ErrorIs(t, err, errOwnerUnreachable)
			admitted, err = o.Admit(ctx, remoteRunner, admissionFor("known"))
			must.NoError(t, err)
			must.Eq(t, time.Now(), admitted.At)
		}
		must.Eq(t, ownerTimeout, time.Since(begin))
		must.Eq(t, 1, owner.dials)

		owner.locked(func() { owner.silent = false })
		time.Sleep(ownerBackoff + time.Millisecond)
		_, err = o.Admit(ctx, remoteRunner, admissionFor("cold"))
		must.NoError(t, err)
	})
}

// Requests end while their runner's owner does not respond. The owner must receive these
// ends once it responds again; otherwise their adapters would occupy unused slots.
func TestEndedRequestsAreReportedAfterOutage(t *testing.T) {
	withRemoteOwner(t, func(o *ownerClient, owner *fakeOwner) {
		runners := map[string]*site.Runner{remoteRunner.ID: remoteRunner}
		adapter := site.Adapter{Model: "m", Name: "a"}
		owner.locked(func() { owner.silent = true })
		o.Release(remoteRunner, adapter)
		o.ReportOutcome(remoteRunner.ID, true, false)
		o.reportOutcomes(context.Background(), runners)
		time.Sleep(ownerTimeout + time.Millisecond)
		o.Release(remoteRunner, adapter)
		must.SliceEmpty(t, owner.reports())

		owner.locked(func() { owner.silent = false })
		o.reportOutcomes(context.Background(), runners)
		time.Sleep(time.Millisecond)
		must.Len(t, 1, owner.reports())
		must.Eq(t, map[string]int{"m/a": 2}, owner.reports()[0].Ended)
		must.Eq(t, 1, owner.reports()[0].Succeeded)
		o.reportOutcomes(context.Background(), runners)
		time.Sleep(time.Millisecond)
		must.Len(t, 1, owner.reports(), must.Sprint("outcomes are reported once"))
	})
}

// An unchanged number of requests on a runner is reported again each second, so that the
// owner does not discard it as that of a host that is gone.
func TestUnchangedLoadIsReportedAgain(t *testing.T) {
	withRemoteOwner(t, func(o *ownerClient, owner *fakeOwner) {
		runners := map[string]*site.Runner{remoteRunner.ID: remoteRunner}
		o.board.RecordStart(remoteRunner.ID, time.Now())
		for range 15 {
			o.reportOutcomes(context.Background(), runners)
			time.Sleep(outcomeInterval)
		}
		must.Len(t, 3, owner.reports())
		must.Eq(t, 1, owner.reports()[2].Running)
		o.board.RecordEnd(remoteRunner.ID)
		o.reportOutcomes(context.Background(), runners)
		time.Sleep(time.Millisecond)
		must.Eq(t, 0, owner.reports()[3].Running)
	})
}
