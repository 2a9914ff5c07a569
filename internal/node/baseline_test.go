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

// baseline is a set of entry hosts that do not cooperate.
type baseline struct {
	env       *standin.Environment
	client    *engine.Client
	d         deployment
	loadSlots chan struct{}
	lastLoad  time.Time
	mu        sync.Mutex
}

// independentHost is the state of one host: when it last used each model on each runner, the
// number of its requests on each runner, the last report of each runner, and its loads in
// progress.
type independentHost struct {
	mu       sync.Mutex
	lastUsed []map[string]time.Time
	running  []int
	reports  []engine.Report
	loading  map[string]chan struct{}
}

// runBaseline replays a trace on hosts that do not cooperate, except that the weight store's
// limits are enforced for them, first come, first served.
func runBaseline(t *testing.T, d deployment, trace []traceRequest) (result outcome) {
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork()
		env, err := standin.NewEnvironment(d.environment(), func(name string) (net.Listener, error) { return network.Host(name).Listen("80") })
		must.NoError(t, err)
		ctx, stop := context.WithCancel(context.Background())
		defer func() {
			stop()
			env.Close()
			network.Close()
			time.Sleep(time.Minute)
		}()
		b := &baseline{env: env, d: d, loadSlots: make(chan struct{}, d.parallel), client: engine.NewClient(engine.Config{
			Dial: network.Host("hosts").Dial, ConnectTimeout: time.Second, FirstPieceTimeout: time.Minute,
			SilenceTimeout: time.Minute, OrderTimeout: time.Minute,
		})}
		result = b.play(ctx, trace)
		result.measure(env)
	})
	return result
}

func (b *baseline) play(ctx context.Context, trace []traceRequest) outcome {
	hosts := make([]*independentHost, entryHosts)
	for i := range hosts {
		hosts[i] = &independentHost{running: make([]int, b.d.runners), reports: make([]engine.Report, b.d.runners), loading: map[string]chan struct{}{}}
		for range b.d.runners {
			hosts[i].lastUsed = append(hosts[i].lastUsed, map[string]time.Time{})
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

func (b *baseline) readReports(ctx context.Context, h *independentHost) {
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

// chooseRunner returns the least loaded runner that, as far as this host knows, has the model,
// or else the least loaded runner.
func (h *independentHost) chooseRunner(model string) (runner int, resident bool) {
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

func (b *baseline) serve(ctx context.Context, h *independentHost, request traceRequest, index int) (time.Duration, bool) {
	model := fmt.Sprintf("a%04d@1", request.adapter)
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d}`, model, request.pieces)
	arrived := time.Now()
	for time.Since(arrived) < 30*time.Second {
		runner, resident := h.chooseRunner(model)
		if !resident {
			b.load(ctx, h, runner, model)
		}
		h.mu.Lock()
		h.lastUsed[runner][model] = time.Now()
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

func (h *independentHost) forget(runner int, model string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	report := &h.reports[runner]
	report.Resident = slices.DeleteFunc(slices.Clone(report.Resident), func(m engine.ResidentModel) bool { return m.Model == model })
}

// load loads a model and evicts the models that this host used least recently on the runner.
// Requests of one host for the same model share a load.
func (b *baseline) load(ctx context.Context, h *independentHost, runner int, model string) {
	h.mu.Lock()
	if inProgress := h.loading[model]; inProgress != nil {
		h.mu.Unlock()
		<-inProgress
		return
	}
	done := make(chan struct{})
	h.loading[model] = done
	h.mu.Unlock()
	b.awaitLoadPermit()
	for range 4 {
		order := engine.Order{Kind: engine.OrderLoad, Model: model}
		if b.client.Order(ctx, b.address(runner), order) == nil {
			break
		}
		victim := h.leastRecentlyUsed(runner)
		_ = b.client.Order(ctx, b.address(runner), engine.Order{Kind: engine.OrderEvict, Model: victim})
		h.forget(runner, victim)
	}
	<-b.loadSlots
	h.mu.Lock()
	delete(h.loading, model)
	close(done)
	report := &h.reports[runner]
	report.Resident = append(slices.Clone(report.Resident), engine.ResidentModel{Model: model})
	h.mu.Unlock()
}

// awaitLoadPermit enforces the weight store's limits on concurrent loads and on loads per
// second.
func (b *baseline) awaitLoadPermit() {
	b.loadSlots <- struct{}{}
	b.mu.Lock()
	next := b.lastLoad.Add(time.Duration(float64(time.Second) / b.d.rate))
	if now := time.Now(); next.Before(now) {
		next = now
	}
	b.lastLoad = next
	b.mu.Unlock()
	time.Sleep(time.Until(next))
}

func (h *independentHost) leastRecentlyUsed(runner int) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	victim, oldest := "", time.Now()
	for _, m := range h.reports[runner].Resident {
		if at := h.lastUsed[runner][m.Model]; at.Before(oldest) {
			victim, oldest = m.Model, at
		}
	}
	return victim
}

// runReference computes the stalls of a policy that knows the whole trace. It is simplified: slots
// form one pool, batches are never full, and orders and messages take no time. Whenever the weight
// store is free, it loads the next needed model that is not resident and evicts the model whose
// next use is farthest away.
func runReference(d deployment, trace []traceRequest) outcome {
	futureUses := map[int][]int{}
	for i, request := range trace {
		futureUses[request.adapter] = append(futureUses[request.adapter], i)
	}
	readyAt := map[int]time.Duration{}
	perLoad := max(d.load/time.Duration(d.parallel), time.Duration(float64(time.Second)/d.rate))
	var storeFreeAt time.Duration
	var result outcome
	lookahead := 0
	for i, request := range trace {
		futureUses[request.adapter] = futureUses[request.adapter][1:]
		// Loads are started ahead as long as the store becomes free before now.
		for lookahead = max(lookahead, i); lookahead < len(trace) && (lookahead == i || storeFreeAt < request.at); lookahead++ {
			wanted := trace[lookahead].adapter
			if _, ok := readyAt[wanted]; ok {
				continue
			}
			if len(readyAt) >= d.runners*d.slots && !evictFarthest(readyAt, futureUses, lookahead, wanted == request.adapter) {
				break
			}
			storeFreeAt = max(storeFreeAt, request.at-time.Second) + perLoad
			readyAt[wanted] = storeFreeAt - perLoad + d.load
			result.loads++
		}
		result.stalls = append(result.stalls, max(0, readyAt[request.adapter]-request.at))
	}
	return result
}

// evictFarthest evicts the resident model whose next use is farthest away and reports whether it
// did. Unless forced, it keeps a model that is needed again before nextUse, the request for which
// it makes room.
func evictFarthest(readyAt map[int]time.Duration, futureUses map[int][]int, nextUse int, forced bool) bool {
	victim, farthest := -1, -1
	for model := range readyAt {
		next := 1 << 30
		if len(futureUses[model]) > 0 {
			next = futureUses[model][0]
		}
		if next > farthest || (next == farthest && model < victim) {
			victim, farthest = model, next
		}
	}
	if farthest <= nextUse && !forced {
		return false
	}
	delete(readyAt, victim)
	return true
}
