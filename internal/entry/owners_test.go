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

// remote is a runner's owner on another host, as this host reaches it.
type remote struct {
	mu     sync.Mutex
	silent bool
	dials  int
	told   []RunnerOutcomes
}

func (r *remote) with(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
}

// all gives what the owner was told.
func (r *remote) all() []RunnerOutcomes {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.told)
}

var far = &site.Runner{ID: "i-r", Instance: "i-r", Address: "r:80", Service: "llm", Slots: 12}

// withOwner runs a test of a host "a" that asks the owner "b" of a runner.
func withOwner(t *testing.T, run func(o *ownerClient, owner *remote)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork()
		owner := &remote{}
		mux := peer.NewMux()
		peer.Handle(mux, methodAdmit, func(context.Context, peer.Identity, AdmitParams) (AdmitResult, error) {
			return AdmitResult{ReadyMS: 20}, nil
		})
		peer.Handle(mux, methodOutcomes, func(_ context.Context, _ peer.Identity, p OutcomesParams) (struct{}, error) {
			owner.with(func() { owner.told = append(owner.told, p.Runners[far.ID]) })
			return struct{}{}, nil
		})
		key := []byte("key")
		server := peer.NewServer(peer.Identity{Host: "b", Incarnation: "1"}, key, mux, hclog.NewNullLogger())
		listener, err := network.Host("b").Listen("1")
		must.NoError(t, err)
		go func() { _ = server.Serve(listener) }()
		dial := func(ctx context.Context, proto, address string) (net.Conn, error) {
			silent := false
			owner.with(func() { owner.dials++; silent = owner.silent })
			if silent {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return network.Host("a").Dial(ctx, proto, address)
		}
		pool := peer.NewPool(peer.Identity{Host: "a", Incarnation: "1"}, key, dial, hclog.NewNullLogger())
		state := mesh.NewState("a", mesh.Timing{Lease: mesh.UsualLease, OrderGap: 3 * time.Second, Margin: mesh.UsualMargin}, time.Now())
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

func askFor(name string) adapters.Admission {
	return adapters.Admission{Key: adapters.Key{Adapter: site.Adapter{Model: "m", Name: name}}, Tokens: 800, Within: time.Second}
}

// A runner's owner falls silent. The first request waits a quarter of a second for it,
// those of the next second do not wait at all: for an adapter that lay on the runner they
// are sent without the owner's word, for others they look elsewhere. After the second the
// owner is asked again.
func TestSilentOwnerRests(t *testing.T) {
	withOwner(t, func(o *ownerClient, owner *remote) {
		ctx := context.Background()
		admitted, err := o.Admit(ctx, far, askFor("known"))
		must.NoError(t, err)
		must.Eq(t, 20*time.Millisecond, time.Until(admitted.At))
		owner.with(func() { owner.silent = true; owner.dials = 0 })
		o.pool.Close()

		begin := time.Now()
		_, err = o.Admit(ctx, far, askFor("cold"))
		must.ErrorIs(t, err, errOwnerUnreachable)
		must.Eq(t, ownerTimeout, time.Since(begin))
		for range 5 {
			_, err = o.Admit(ctx, far, askFor("cold"))
			must.ErrorIs(t, err, errOwnerUnreachable)
			admitted, err = o.Admit(ctx, far, askFor("known"))
			must.NoError(t, err)
			must.Eq(t, time.Now(), admitted.At)
		}
		must.Eq(t, ownerTimeout, time.Since(begin))
		must.Eq(t, 1, owner.dials)

		owner.with(func() { owner.silent = false })
		time.Sleep(ownerBackoff + time.Millisecond)
		_, err = o.Admit(ctx, far, askFor("cold"))
		must.NoError(t, err)
	})
}

// Requests end while their runner's owner does not answer. The owner hears of it as soon
// as it answers again; lost, their adapters would hold places that nobody uses.
func TestEndsAreToldOnceTheOwnerAnswers(t *testing.T) {
	withOwner(t, func(o *ownerClient, owner *remote) {
		runners := map[string]*site.Runner{far.ID: far}
		adapter := site.Adapter{Model: "m", Name: "a"}
		owner.with(func() { owner.silent = true })
		o.Ended(far, adapter)
		o.Outcome(far.ID, true, false)
		o.reportOutcomes(context.Background(), runners)
		time.Sleep(ownerTimeout + time.Millisecond)
		o.Ended(far, adapter)
		must.SliceEmpty(t, owner.all())

		owner.with(func() { owner.silent = false })
		o.reportOutcomes(context.Background(), runners)
		time.Sleep(time.Millisecond)
		must.Len(t, 1, owner.all())
		must.Eq(t, map[string]int{"m/a": 2}, owner.all()[0].Ended)
		must.Eq(t, 1, owner.all()[0].Succeeded)
		o.reportOutcomes(context.Background(), runners)
		time.Sleep(time.Millisecond)
		must.Len(t, 1, owner.all(), must.Sprint("nothing is told twice"))
	})
}

// A host's number of requests on a runner does not change for a while. It is told again
// each second, so that it is not forgotten as that of a host that is gone.
func TestSteadyLoadIsToldAgain(t *testing.T) {
	withOwner(t, func(o *ownerClient, owner *remote) {
		runners := map[string]*site.Runner{far.ID: far}
		o.board.Begin(far.ID, time.Now())
		for range 15 {
			o.reportOutcomes(context.Background(), runners)
			time.Sleep(outcomeInterval)
		}
		must.Len(t, 3, owner.all())
		must.Eq(t, 1, owner.all()[2].Running)
		o.board.End(far.ID)
		o.reportOutcomes(context.Background(), runners)
		time.Sleep(time.Millisecond)
		must.Eq(t, 0, owner.all()[3].Running)
	})
}
