package node

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/callerapi"
	"github.com/cherrystage/cherrystage/internal/settings"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/shoenig/test/must"
)

// setFaults gives every engine the same faults.
func (c *cluster) setFaults(faults standin.Faults) {
	for _, e := range c.world.Engines {
		e.SetFaults(faults)
	}
}

func TestPiecesOutOfOrderAndTwice(t *testing.T) {
	// The engine sends pieces out of order and some twice. The caller reads
	// each once, in order.
	inCluster(t, 2, smallWorld(), func(c *cluster) {
		c.setFaults(standin.Faults{Shuffle: true})
		requireWhole(t, c.ask("e1", "a0", "shuffled", 21), "a0@1", 21)
	})
}

func TestAnswerUnderAnotherNameIsNotPassedOn(t *testing.T) {
	// Every engine answers under another adapter's name. No piece reaches the
	// caller; it is told that the request may have run.
	inCluster(t, 2, smallWorld(), func(c *cluster) {
		c.fill("e1", "a0")
		c.setFaults(standin.Faults{WrongName: true})
		got := c.ask("e1", "a0", "wrong", 5)
		must.Eq(t, http.StatusBadGateway, got.status)
		must.Eq(t, "wrong_model", got.code)
		must.Eq(t, "may-have-run", got.verdict)
		must.Eq(t, "", got.text)
	})
}

func TestVersionIsFixedAtAdmission(t *testing.T) {
	// While a request waits for a load of version 1, operators make version 2
	// the current one. The request still runs on version 1, the next on 2.
	world := smallWorld()
	world.LoadTime = 3 * time.Second
	inCluster(t, 2, world, func(c *cluster) {
		waiting := make(chan answer, 1)
		go func() { waiting <- c.ask("e1", "a0", "old", 5) }()
		time.Sleep(time.Second)
		document := sampleDocument()
		document.Adapters[0].Current = "2"
		c.apply(document)
		requireWhole(t, await(t, waiting), "a0@1", 5)
		requireWhole(t, c.ask("e1", "a0", "new", 5), "a0@2", 5)
	})
}

func TestRace09SilenceInMidAnswer(t *testing.T) {
	// Two callers stream through one host when its connections to the runner go
	// silent; new connections work. Each stream is taken up again from its
	// first missing piece, and each caller gets its own answer, whole.
	inCluster(t, 2, smallWorld(), func(c *cluster) {
		c.fill("e1", "a0", "a1")
		var wg sync.WaitGroup
		got := make([]answer, 4)
		for i := range got {
			model := fmt.Sprintf("a%d", i%2)
			wg.Go(func() { got[i] = c.ask("e1", model, fmt.Sprint("s", i), 100+i) })
		}
		time.Sleep(time.Second)
		c.net.Blackhole("e1", "runner-1")
		c.net.Blackhole("e1", "runner-2")
		wg.Wait()
		for i := range got {
			requireWhole(t, got[i], fmt.Sprintf("a%d@1", i%2), 100+i)
			must.Eq(t, 1, c.runs(fmt.Sprint("s", i)))
		}
	})
}

func TestSilentIdleConnections(t *testing.T) {
	// The host's idle connections to the runners have gone silent. A request
	// that goes out on one is asked for again on a new one after the silence
	// timeout, not after the much longer wait for a first piece.
	inCluster(t, 2, smallWorld(), func(c *cluster) {
		c.fill("e1", "a0")
		requireWhole(t, c.ask("e1", "a0", "leaves-a-connection", 1), "a0@1", 1)
		c.net.Blackhole("e1", "runner-1")
		c.net.Blackhole("e1", "runner-2")
		began := time.Now()
		requireWhole(t, c.ask("e1", "a0", "on-a-silent-one", 5), "a0@1", 5)
		must.Less(t, 15*time.Second, time.Since(began))
	})
}

func TestResetInMidAnswer(t *testing.T) {
	// The engine's connection breaks after some pieces. The rest is asked for
	// on a new connection; the request runs once.
	inCluster(t, 2, smallWorld(), func(c *cluster) {
		c.setFaults(standin.Faults{ResetAt: 7})
		requireWhole(t, c.ask("e1", "a0", "reset", 20, callerapi.HeaderIdempotent, "false"), "a0@1", 20)
		must.Eq(t, 1, c.runs("reset"))
	})
}

func TestRace10GivenUpRequestIsNotRepeated(t *testing.T) {
	// An engine says nothing for longer than the host waits. The caller of a
	// request that may run once is told at once that it may have run; what the
	// engine says later changes nothing, and it is not sent anywhere again.
	tune := func(cfg *settings.Settings) { cfg.Timing.FirstPieceTimeout = 3 * time.Second }
	world := smallWorld()
	world.TokenTime = 10 * time.Second
	synctestCluster(t, 2, world, tune, func(c *cluster) {
		c.ask("e1", "a0", "loads-it", 1)
		began := time.Now()
		got := c.ask("e1", "a0", "once", 1, callerapi.HeaderIdempotent, "false")
		must.Eq(t, http.StatusGatewayTimeout, got.status)
		must.Eq(t, "may-have-run", got.verdict)
		must.Less(t, 4*time.Second, time.Since(began))
		time.Sleep(time.Minute)
		must.Eq(t, 1, c.runs("once"))
	})
}

func TestCallerGoesAway(t *testing.T) {
	// A caller goes away in mid-answer. The engine is told to cancel, and the
	// adapter can be evicted once the engine shows it idle.
	inCluster(t, 2, smallWorld(), func(c *cluster) {
		ctx, leave := context.WithTimeout(context.Background(), 2*time.Second)
		defer leave()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://e1:80/v1/completions", bodyOf(`{"model":"a0","stream":true,"max_tokens":5000}`))
		must.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+callerKey)
		resp, err := c.transport("e1").RoundTrip(req)
		must.NoError(t, err)
		buffer := make([]byte, 64)
		_, err = resp.Body.Read(buffer)
		must.NoError(t, err)
		<-ctx.Done()
		_ = resp.Body.Close()
		time.Sleep(time.Second)
		must.Eq(t, 1, c.world.Engine(c.runnerWith("a0@1")).Counts().Cancels)
		must.Eq(t, 0, c.nodes["e1"].streams.Open())
	})
}

func TestRace11GracefulStopCutsOffNothing(t *testing.T) {
	// A host is told to stop with 600 streams open, and the balancer still
	// sends to it for some seconds. It says at once that it is not ready, takes
	// what comes, and ends when the last stream has; none is cut off.
	world := smallWorld()
	world.MaxBatch = 400
	tune := func(cfg *settings.Settings) { cfg.Timing.DrainLimit = 5 * time.Minute }
	synctestCluster(t, 2, world, tune, func(c *cluster) {
		c.fill("e1", "a0")
		got := make([]answer, 620)
		var wg sync.WaitGroup
		for i := range 600 {
			wg.Go(func() { got[i] = c.ask("e1", "a0", fmt.Sprint("open", i), 1000) })
		}
		time.Sleep(5 * time.Second)
		must.Eq(t, 600, c.nodes["e1"].streams.Open())
		stopped := make(chan int, 1)
		go func() {
			cut, _ := c.nodes["e1"].Shutdown(context.Background(), c.nodes["e1"].callers)
			stopped <- cut
		}()
		time.Sleep(100 * time.Millisecond)
		must.False(t, c.nodes["e1"].Ready())
		for i := range 20 {
			wg.Go(func() { got[600+i] = c.ask("e1", "a0", fmt.Sprint("late", i), 1000) })
			time.Sleep(200 * time.Millisecond)
		}
		wg.Wait()
		must.Eq(t, 0, await(t, stopped))
		for i := range got {
			requireWhole(t, got[i], "a0@1", 1000)
		}
	})
}

func TestDrainLimitTellsWhatItCut(t *testing.T) {
	// A stream outlasts the limit of a graceful stop. The stop ends at the
	// limit and tells how many it cut off.
	tune := func(cfg *settings.Settings) { cfg.Timing.DrainLimit = 20 * time.Second }
	synctestCluster(t, 2, smallWorld(), tune, func(c *cluster) {
		c.fill("e1", "a0")
		go c.ask("e1", "a0", "long", 5000)
		time.Sleep(time.Second)
		cut, err := c.nodes["e1"].Shutdown(context.Background(), c.nodes["e1"].callers)
		must.Eq(t, 1, cut)
		must.Error(t, err)
	})
}

func TestStoppedHostLeavesNoPins(t *testing.T) {
	// A host stops gracefully and stays on the host list. The adapters that its
	// callers used last can make room for others at once.
	tune := func(cfg *settings.Settings) { cfg.Timing.DrainNotice = time.Second }
	synctestCluster(t, 2, smallWorld(), tune, func(c *cluster) {
		for _, model := range []string{"a0", "a1", "a2", "a3"} {
			requireWhole(t, c.ask("e1", model, "last-"+model, 1), model+"@1", 1)
		}
		cut, err := c.nodes["e1"].Shutdown(context.Background(), c.nodes["e1"].callers)
		must.NoError(t, err)
		must.Eq(t, 0, cut)
		c.kill("e1")
		for _, model := range []string{"a4", "a5", "a6", "a7"} {
			requireWhole(t, c.ask("e2", model, "new-"+model, 1), model+"@1", 1)
		}
	})
}
