package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/shoenig/test/must"
)

// baseline is entry hosts that each act for themselves.
type baseline struct {
	world   *standin.Environment
	client  *engine.Client
	d       deployment
	store   chan struct{}
	lastRun time.Time
	mu      sync.Mutex
}

// selfish is one host's own knowledge: what it loaded or used where, and its
// requests on each runner.
type selfish struct {
	mu      sync.Mutex
	used    []map[string]time.Time
	running []int
	reports []engine.Report
	loading map[string]chan struct{}
}

// runBaseline plays a trace through hosts that each act for themselves. Only
// the weight store's allowance is kept for them, in the order of asking.
func runBaseline(t *testing.T, d deployment, trace []arrival) (result outcome) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork()
		world, err := standin.NewEnvironment(d.world(), func(name string) (net.Listener, error) { return network.Host(name).Listen("80") })
		must.NoError(t, err)
		ctx, stop := context.WithCancel(context.Background())
		defer func() {
			stop()
			world.Close()
			network.Close()
			time.Sleep(time.Minute)
		}()
		b := &baseline{world: world, d: d, store: make(chan struct{}, d.parallel), client: engine.NewClient(engine.Config{
			Dial: network.Host("hosts").Dial, ConnectTimeout: time.Second, FirstPieceTimeout: time.Minute,
			SilenceTimeout: time.Minute, OrderTimeout: time.Minute,
		})}
		result = b.play(ctx, trace)
		result.measure(world)
	})
	return result
}

func (b *baseline) play(ctx context.Context, trace []arrival) outcome {
	hosts := make([]*selfish, entryHosts)
	for i := range hosts {
		hosts[i] = &selfish{running: make([]int, b.d.runners), reports: make([]engine.Report, b.d.runners), loading: map[string]chan struct{}{}}
		for range b.d.runners {
			hosts[i].used = append(hosts[i].used, map[string]time.Time{})
		}
		go b.readReports(ctx, hosts[i])
	}
	var mu sync.Mutex
	var result outcome
	var wg sync.WaitGroup
	began := time.Now()
	for i, request := range trace {
		time.Sleep(time.Until(began.Add(request.at)))
		wg.Go(func() {
			stall, ok := b.serve(ctx, hosts[request.host], request, i)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				result.stalls = append(result.stalls, stall)
			} else {
				result.refused++
			}
		})
	}
	wg.Wait()
	return result
}

func (b *baseline) address(runner int) string { return fmt.Sprintf("runner-%d:80", runner+1) }

func (b *baseline) readReports(ctx context.Context, h *selfish) {
	for ctx.Err() == nil {
		for runner := range b.d.runners {
			report, err := b.client.Report(ctx, b.address(runner))
			if err == nil {
				h.mu.Lock()
				h.reports[runner] = report
				h.mu.Unlock()
			}
		}
		time.Sleep(time.Second)
	}
}

// choose gives the least loaded runner that has the model by this host's
// knowledge, else the least loaded one.
func (h *selfish) choose(model string) (runner int, resident bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	best, bestLoad, found := 0, 1<<30, false
	offset := rand.N(len(h.reports))
	for i := range h.reports {
		r := (i + offset) % len(h.reports)
		report := &h.reports[r]
		has := slices.ContainsFunc(report.Resident, func(m engine.ResidentModel) bool { return m.Model == model })
		load := max(report.Running, h.running[r])
		if (has && !found) || (has == found && load < bestLoad) {
			best, bestLoad, found = r, load, has
		}
	}
	return best, found
}

func (b *baseline) serve(ctx context.Context, h *selfish, request arrival, index int) (time.Duration, bool) {
	model := fmt.Sprintf("a%04d@1", request.adapter)
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d}`, model, request.pieces)
	arrived := time.Now()
	for time.Since(arrived) < 30*time.Second {
		runner, resident := h.choose(model)
		if !resident {
			b.load(ctx, h, runner, model)
		}
		h.mu.Lock()
		h.used[runner][model] = time.Now()
		h.running[runner]++
		h.mu.Unlock()
		var first time.Time
		call := engine.Call{Address: b.address(runner), Path: "/v1/completions", Body: []byte(body), Model: model, AttemptID: fmt.Sprint(index), TraceID: fmt.Sprint(index), Idempotent: true}
		failure := b.client.Complete(ctx, call, func(engine.Piece) error {
			if first.IsZero() {
				first = time.Now()
			}
			return nil
		})
		h.mu.Lock()
		h.running[runner]--
		h.mu.Unlock()
		if failure == nil {
			return first.Sub(arrived) - pieceTime, true
		}
		h.forget(runner, model)
	}
	return 0, false
}

func (h *selfish) forget(runner int, model string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	report := &h.reports[runner]
	report.Resident = slices.DeleteFunc(slices.Clone(report.Resident), func(m engine.ResidentModel) bool { return m.Model == model })
}

// load loads a model, evicting what this host used longest ago there. Requests
// of one host for one model share a load.
func (b *baseline) load(ctx context.Context, h *selfish, runner int, model string) {
	h.mu.Lock()
	if under := h.loading[model]; under != nil {
		h.mu.Unlock()
		<-under
		return
	}
	done := make(chan struct{})
	h.loading[model] = done
	h.mu.Unlock()
	b.permit()
	for range 4 {
		order := engine.Order{Kind: engine.OrderLoad, Model: model}
		if b.client.Order(ctx, b.address(runner), order) == nil {
			break
		}
		victim := h.oldest(runner)
		_ = b.client.Order(ctx, b.address(runner), engine.Order{Kind: engine.OrderEvict, Model: victim})
		h.forget(runner, victim)
	}
	<-b.store
	h.mu.Lock()
	delete(h.loading, model)
	close(done)
	report := &h.reports[runner]
	report.Resident = append(slices.Clone(report.Resident), engine.ResidentModel{Model: model})
	h.mu.Unlock()
}

// permit keeps the allowance: so many at a time, and so many a second.
func (b *baseline) permit() {
	b.store <- struct{}{}
	b.mu.Lock()
	next := b.lastRun.Add(time.Duration(float64(time.Second) / b.d.rate))
	if now := time.Now(); next.Before(now) {
		next = now
	}
	b.lastRun = next
	b.mu.Unlock()
	time.Sleep(time.Until(next))
}

func (h *selfish) oldest(runner int) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	victim, oldest := "", time.Now()
	for _, m := range h.reports[runner].Resident {
		if at := h.used[runner][m.Model]; at.Before(oldest) {
			victim, oldest = m.Model, at
		}
	}
	return victim
}

// runReference gives the stalls of one that knows the whole trace. Its
// simplifications: slots are one pool, batches are never full, orders and
// messages take no time; whenever the weight store is free it loads the model
// that is needed next and is not resident, in the place of the one needed last.
func runReference(d deployment, trace []arrival) outcome {
	future := map[int][]int{}
	for i, request := range trace {
		future[request.adapter] = append(future[request.adapter], i)
	}
	ready := map[int]time.Duration{}
	perLoad := max(d.load/time.Duration(d.parallel), time.Duration(float64(time.Second)/d.rate))
	var free time.Duration
	var result outcome
	lookahead := 0
	for i, request := range trace {
		future[request.adapter] = future[request.adapter][1:]
		// Loads are begun ahead for as long as the store is free before now.
		for lookahead = max(lookahead, i); lookahead < len(trace) && (lookahead == i || free < request.at); lookahead++ {
			wanted := trace[lookahead].adapter
			if _, ok := ready[wanted]; ok {
				continue
			}
			if len(ready) >= d.runners*d.slots && !dropFarthest(ready, future, lookahead, wanted == request.adapter) {
				break
			}
			free = max(free, request.at-time.Second) + perLoad
			ready[wanted] = free - perLoad + d.load
			result.loads++
		}
		result.stalls = append(result.stalls, max(0, ready[request.adapter]-request.at))
	}
	return result
}

// dropFarthest drops the resident model that is needed last, if that is later
// than the need it makes room for.
func dropFarthest(ready map[int]time.Duration, future map[int][]int, need int, must bool) bool {
	victim, farthest := -1, -1
	for model := range ready {
		next := 1 << 30
		if len(future[model]) > 0 {
			next = future[model][0]
		}
		if next > farthest || (next == farthest && model < victim) {
			victim, farthest = model, next
		}
	}
	if farthest <= need && !must {
		return false
	}
	delete(ready, victim)
	return true
}
