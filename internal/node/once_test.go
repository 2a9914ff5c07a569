package node

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/callerapi"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/shoenig/test/must"
)

func bodyOf(text string) io.Reader { return bytes.NewReader([]byte(text)) }

// sendOnceOnly sends a request that may run only once, with an idempotency key.
func (c *cluster) sendOnceOnly(host, key, id string) response {
	return c.send(host, "/services/dispatch/tugs", `{"tug":7}`, callerapi.HeaderIdempotencyKey, key, callerapi.HeaderRequestID, id)
}

func TestRace12SameRequestThroughTwoHostsAtOnce(t *testing.T) {
	// The same request is sent through two hosts at the same time with one idempotency key. It
	// runs once, and the other attempt is told that it ran or may have run.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		var wg sync.WaitGroup
		got := make([]response, 2)
		for i, host := range []string{"e1", "e2"} {
			wg.Go(func() { got[i] = c.sendOnceOnly(host, "key-1", "tug") })
		}
		wg.Wait()
		must.Eq(t, 1, c.env.Service.Runs("tug"))
		if got[0].status != 200 {
			got[0], got[1] = got[1], got[0]
		}
		must.Eq(t, 200, got[0].status)
		must.Eq(t, 409, got[1].status)
		must.NotEq(t, "not-run", got[1].verdict)
		time.Sleep(time.Second)
		must.Eq(t, "ran", c.sendOnceOnly("e2", "key-1", "tug").verdict)
		must.Eq(t, 1, c.env.Service.Runs("tug"))
	})
}

func TestRepeatAfterFirstHostDied(t *testing.T) {
	// The host that sent a once-only completion dies before it can record the outcome. The
	// caller repeats it through another host with the same key. It is told that the request may
	// have run, and the request does not run again.
	inCluster(t, 3, smallEnvironment(), func(c *cluster) {
		c.loadModels("e1", "a0")
		header := []string{callerapi.HeaderIdempotent, "false", callerapi.HeaderIdempotencyKey, "key-2"}
		go c.complete("e2", "a0", "once", 500, header...)
		time.Sleep(2 * time.Second)
		must.Eq(t, 1, c.runs("once"))
		c.kill("e2")
		time.Sleep(20 * time.Second)
		got := c.complete("e3", "a0", "once", 500, header...)
		must.Eq(t, 409, got.status)
		must.Eq(t, "may-have-run", got.verdict)
		must.Eq(t, 1, c.runs("once"))
	})
}

func TestOwnClaimIsRecognisedAfterLostResponse(t *testing.T) {
	// The object API stores the claim but loses the response. The host recognises its own claim
	// and runs the request once.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		c.env.Platform.DropResponses(1)
		must.Eq(t, 200, c.sendOnceOnly("e1", "key-3", "tug").status)
		must.Eq(t, 1, c.env.Service.Runs("tug"))
	})
}

func TestOnceOnlyRequestsWhileStoreIsDown(t *testing.T) {
	// The object API is down. A once-only request with a key cannot be claimed and is rejected
	// immediately as not run. One without a key, which the caller will not repeat, runs.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		c.env.Platform.SetDown(true)
		got := c.sendOnceOnly("e1", "key-4", "tug")
		must.Eq(t, 503, got.status)
		must.Eq(t, "not-run", got.verdict)
		must.NotEq(t, "", got.retryAfter)
		must.Eq(t, 200, c.send("e1", "/services/dispatch/tugs", `{}`, callerapi.HeaderRequestID, "keyless").status)
		must.Eq(t, 1, c.env.Service.Runs("keyless"))
		must.Eq(t, 0, c.env.Service.Runs("tug"))
	})
}

func TestOnlyNotRunRejectionsAreRetried(t *testing.T) {
	// Engines that reject a once-only request before they start it cause a retry, and the
	// request runs once. After any other failure it is not retried.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		c.loadModels("e1", "a0")
		c.setFaults(standin.Faults{RefuseNotRun: 1})
		once := []string{callerapi.HeaderIdempotent, "false"}
		requireComplete(t, c.complete("e1", "a0", "refused", 5, once...), "a0@1", 5)
		must.Eq(t, 1, c.runs("refused"))
		c.setFaults(standin.Faults{Fail500: 1})
		got := c.complete("e1", "a0", "failed", 5, once...)
		must.Eq(t, 502, got.status)
		must.Eq(t, "may-have-run", got.verdict)
	})
}

func TestVerdictStaysMayHaveRunAfterRejectedRetries(t *testing.T) {
	// The first attempt of an idempotent request fails while it runs, so it may have run. All
	// later attempts are rejected before they start. The verdict is may-have-run, because a
	// rejection says nothing about the first attempt.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		c.loadModels("e1", "a0")
		c.setFaults(standin.Faults{Fail500: 1, RefuseNotRun: 100})
		got := c.complete("e1", "a0", "mixed", 5)
		must.NotEq(t, 200, got.status)
		must.Eq(t, "may-have-run", got.verdict)
	})
}
