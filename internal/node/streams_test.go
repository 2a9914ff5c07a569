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

// setFaults sets the faults of all engines.
func (c *cluster) setFaults(faults standin.Faults) {
	for _, e := range c.env.Engines {
		e.SetFaults(faults)
	}
}

func TestReorderedAndDuplicatedPieces(t *testing.T) {
	// The engine sends pieces out of order and some of them twice. The caller receives each once
	// and in order.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		c.setFaults(standin.Faults{Shuffle: true})
		requireComplete(t, c.complete("e1", "a0", "shuffled", 21), "a0@1", 21)
	})
}

func TestResponseOfAnotherModelIsNotForwarded(t *testing.T) {
	// All engines respond under the name of another adapter. The caller receives no piece and is
	// told that the request may have run.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		c.loadModels("e1", "a0")
		c.setFaults(standin.Faults{WrongName: true})
		got := c.complete("e1", "a0", "wrong", 5)
		must.Eq(t, http.StatusBadGateway, got.status)
		must.Eq(t, "wrong_model", got.code)
		must.Eq(t, "may-have-run", got.verdict)
		must.Eq(t, "", got.text)
	})
}

func TestVersionIsFixedAtAdmission(t *testing.T) {
	// While a request waits for a load of version 1, operators make version 2 current. The
	// request still runs on version 1, the next one on version 2.
	envConfig := smallEnvironment()
	envConfig.LoadTime = 3 * time.Second
	inCluster(t, 2, envConfig, func(c *cluster) {
		waiting := make(chan response, 1)
		go func() { waiting <- c.complete("e1", "a0", "old", 5) }()
		time.Sleep(time.Second)
		document := sampleDocument()
		document.Adapters[0].Current = "2"
		c.apply(document)
		requireComplete(t, receive(t, waiting), "a0@1", 5)
		requireComplete(t, c.complete("e1", "a0", "new", 5), "a0@2", 5)
	})
}

func TestRace09SilenceInMidAnswer(t *testing.T) {
	// The connections of a host to the runners go silent in the middle of streams, while new
	// connections work. Each stream is resumed at its first missing piece, and each response is
	// complete.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		c.loadModels("e1", "a0", "a1")
		var wg sync.WaitGroup
		got := make([]response, 4)
		for i := range got {
			model := fmt.Sprintf("a%d", i%2)
			wg.Go(func() { got[i] = c.complete("e1", model, fmt.Sprint("s", i), 100+i) })
		}
		time.Sleep(time.Second)
		c.net.Blackhole("e1", "runner-1")
		c.net.Blackhole("e1", "runner-2")
		wg.Wait()
		for i := range got {
			requireComplete(t, got[i], fmt.Sprintf("a%d@1", i%2), 100+i)
			must.Eq(t, 1, c.runs(fmt.Sprint("s", i)))
		}
	})
}

func TestSilentIdleConnections(t *testing.T) {
	// Idle connections of the host to the runners have gone silent. A request sent on one of
	// them is resumed on a new connection after the silence timeout rather than the much longer
	// timeout for a first piece.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		c.loadModels("e1", "a0")
		requireComplete(t, c.complete("e1", "a0", "leaves-a-connection", 1), "a0@1", 1)
		c.net.Blackhole("e1", "runner-1")
		c.net.Blackhole("e1", "runner-2")
		began := time.Now()
		requireComplete(t, c.complete("e1", "a0", "on-a-silent-one", 5), "a0@1", 5)
		must.Less(t, 15*time.Second, time.Since(began))
	})
}

func TestStreamResumesAfterConnectionReset(t *testing.T) {
	// The connection to the engine is reset after some pieces. The rest is requested on a new
	// connection, and the request runs once.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		c.setFaults(standin.Faults{ResetAt: 7})
		requireComplete(t, c.complete("e1", "a0", "reset", 20, callerapi.HeaderIdempotent, "false"), "a0@1", 20)
		must.Eq(t, 1, c.runs("reset"))
	})
}

func TestRace10GivenUpRequestIsNotRepeated(t *testing.T) {
	// An engine is silent for longer than the host waits. The caller of a once-only request is
	// told immediately that it may have run. A later response of the engine changes nothing, and
	// the request is not sent again.
	configure := func(cfg *settings.Settings) { cfg.Timing.FirstPieceTimeout = 3 * time.Second }
	envConfig := smallEnvironment()
	envConfig.TokenTime = 10 * time.Second
	inConfiguredCluster(t, 2, envConfig, configure, func(c *cluster) {
		c.complete("e1", "a0", "loads-it", 1)
		began := time.Now()
		got := c.complete("e1", "a0", "once", 1, callerapi.HeaderIdempotent, "false")
		must.Eq(t, http.StatusGatewayTimeout, got.status)
		must.Eq(t, "may-have-run", got.verdict)
		must.Less(t, 4*time.Second, time.Since(began))
		time.Sleep(time.Minute)
		must.Eq(t, 1, c.runs("once"))
	})
}

func TestCallerDisconnectCancelsRequest(t *testing.T) {
	// A caller disconnects during a response. The host cancels the request at the engine and no
	// longer counts it as open.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
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
		must.Eq(t, 1, c.env.Engine(c.runnerWithModel("a0@1")).Counts().Cancels)
		must.Eq(t, 0, c.nodes["e1"].openRequests.Open())
	})
}

func TestRace11GracefulStopCutsOffNothing(t *testing.T) {
	// A host is told to stop with 600 open streams, while the load balancer sends requests to it
	// for some more seconds. It becomes not ready immediately, accepts these requests, and
	// stops after the last stream. None is cut off.
	envConfig := smallEnvironment()
	envConfig.MaxBatch = 400
	configure := func(cfg *settings.Settings) { cfg.Timing.DrainLimit = 5 * time.Minute }
	inConfiguredCluster(t, 2, envConfig, configure, func(c *cluster) {
		c.loadModels("e1", "a0")
		got := make([]response, 620)
		var wg sync.WaitGroup
		for i := range 600 {
			wg.Go(func() { got[i] = c.complete("e1", "a0", fmt.Sprint("open", i), 1000) })
		}
		time.Sleep(5 * time.Second)
		must.Eq(t, 600, c.nodes["e1"].openRequests.Open())
		stopped := make(chan int, 1)
		go func() {
			cut, _ := c.nodes["e1"].Shutdown(context.Background(), c.nodes["e1"].callers)
			stopped <- cut
		}()
		time.Sleep(100 * time.Millisecond)
		must.False(t, c.nodes["e1"].Ready())
		for i := range 20 {
			wg.Go(func() { got[600+i] = c.complete("e1", "a0", fmt.Sprint("late", i), 1000) })
			time.Sleep(200 * time.Millisecond)
		}
		wg.Wait()
		must.Eq(t, 0, receive(t, stopped))
		for i := range got {
			requireComplete(t, got[i], "a0@1", 1000)
		}
	})
}

func TestDrainLimitReportsRequestsCutOff(t *testing.T) {
	// A stream takes longer than the drain limit. The shutdown ends at the limit and returns the
	// number of requests cut off.
	configure := func(cfg *settings.Settings) { cfg.Timing.DrainLimit = 20 * time.Second }
	inConfiguredCluster(t, 2, smallEnvironment(), configure, func(c *cluster) {
		c.loadModels("e1", "a0")
		go c.complete("e1", "a0", "long", 5000)
		time.Sleep(time.Second)
		cut, err := c.nodes["e1"].Shutdown(context.Background(), c.nodes["e1"].callers)
		must.Eq(t, 1, cut)
		must.Error(t, err)
	})
}

func TestStoppedHostLeavesNoPins(t *testing.T) {
	// A host stops gracefully and remains on the host list. The adapters that it used last can
	// be evicted immediately.
	configure := func(cfg *settings.Settings) { cfg.Timing.DrainNotice = time.Second }
	inConfiguredCluster(t, 2, smallEnvironment(), configure, func(c *cluster) {
		for _, model := range []string{"a0", "a1", "a2", "a3"} {
			requireComplete(t, c.complete("e1", model, "last-"+model, 1), model+"@1", 1)
		}
		cut, err := c.nodes["e1"].Shutdown(context.Background(), c.nodes["e1"].callers)
		must.NoError(t, err)
		must.Eq(t, 0, cut)
		c.kill("e1")
		for _, model := range []string{"a4", "a5", "a6", "a7"} {
			requireComplete(t, c.complete("e2", model, "new-"+model, 1), model+"@1", 1)
		}
	})
}
