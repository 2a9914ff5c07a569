package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/adminapi"
	"github.com/cherrystage/cherrystage/internal/adminclient"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// change submits one change through a host.
func (c *cluster) change(host, id string, from inventory.Revision, ops ...inventory.Op) (adminapi.ChangeResult, error) {
	return c.admin(host).Change(context.Background(), adminapi.ChangeRequest{ChangeID: id, From: from, Ops: ops})
}

func putRule(name, caller string) inventory.Op {
	return inventory.Op{PutRule: &inventory.Rule{Name: name, Caller: caller, NonIdempotent: true}}
}

// requireRevision fails the test unless every host has at least the given revision in force.
func (c *cluster) requireRevision(revision inventory.Revision) {
	c.t.Helper()
	for id, node := range c.nodes {
		must.GreaterEq(c.t, uint64(revision), uint64(node.Snapshot().Revision()), must.Sprint(id))
	}
}

func TestRace02LostAnswerIsAcceptedOnce(t *testing.T) {
	// The object API twice applies a change but loses the response. The operator is told that
	// the change was accepted, it is in force everywhere, and the audit trail contains it once.
	// Submitting it again with the same ID does not repeat it.
	inCluster(t, 3, smallEnvironment(), func(c *cluster) {
		c.env.Platform.DropResponses(2)
		result, err := c.change("e1", "lost", 1, putRule("r", "farm"))
		must.NoError(t, err)
		must.Eq(t, 2, result.Revision)
		again, err := c.change("e2", "lost", 1, putRule("r", "farm"))
		must.NoError(t, err)
		must.Eq(t, 2, again.Revision)
		time.Sleep(5 * time.Second)
		trail, err := c.admin("e3").Audit(context.Background(), 10)
		must.NoError(t, err)
		must.Len(t, 2, trail)
		must.Eq(t, "kim", trail[0].Operator)
		c.requireRevision(2)
	})
}

func TestRace07TwoOperatorsOneRule(t *testing.T) {
	// Two operators change the same rule from the same revision through different hosts. One
	// change is accepted. The other is rejected with verdict not-run and the changes made since.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		outcomes := make(chan error, 2)
		for _, host := range []string{"e1", "e2"} {
			go func() {
				_, err := c.change(host, "by-"+host, 1, putRule("same", host))
				outcomes <- err
			}()
		}
		first, second := <-outcomes, <-outcomes
		if first == nil {
			first, second = second, first
		}
		must.NoError(t, second)
		var refused *adminclient.APIError
		must.True(t, errors.As(first, &refused))
		must.Eq(t, adminapi.CodeStale, refused.Code)
		must.Eq(t, verdict.NotRun, refused.Verdict())
		must.Len(t, 1, refused.Since)
		must.Eq(t, "rule/same", refused.Since[0].Ops[0].Item())
	})
}

func TestRace08HostStartsWhileStoreIsDown(t *testing.T) {
	// The object API is down, and one of two hosts was cut off and is a revision behind. A new
	// host that receives both adopts the newer revision, and no host returns to an older one.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		c.net.Partition("e2", "e1")
		c.net.Partition("e2", "platform")
		_, err := c.change("e1", "second", 1, putRule("r", "farm"))
		must.NoError(t, err)
		time.Sleep(5 * time.Second)
		must.Eq(t, 1, c.nodes["e2"].Snapshot().Revision())
		c.env.Platform.SetDown(true)
		c.start("e3")
		c.net.Partition("e3", "e1")
		time.Sleep(2 * time.Second)
		must.Eq(t, 1, c.nodes["e3"].Snapshot().Revision())
		c.net.Heal("e3", "e1")
		time.Sleep(3 * time.Second)
		c.requireRevisionOf("e3", 2)
		c.requireRevisionOf("e1", 2)
	})
}

func (c *cluster) requireRevisionOf(host string, revision inventory.Revision) {
	c.t.Helper()
	must.Eq(c.t, revision, c.nodes[host].Snapshot().Revision(), must.Sprint(host))
}

func TestChangeInForceWithSilentWatches(t *testing.T) {
	// Watches deliver nothing, and connections of the hosts to the platform are silent. A change
	// still comes into force on all hosts within 5 s, through messages between peers and the
	// poll.
	inCluster(t, 4, smallEnvironment(), func(c *cluster) {
		c.env.Platform.MuteWatches(true)
		for id := range c.nodes {
			c.net.Blackhole(id, "platform")
		}
		_, err := c.change("e1", "quiet", 1, putRule("r", "farm"))
		must.NoError(t, err)
		time.Sleep(5 * time.Second)
		c.requireRevision(2)
	})
}

func TestChangeReachesHostCutOffFromPeers(t *testing.T) {
	// One host is cut off from its peers, and watches deliver nothing. The slow poll of the
	// head alone delivers the change within 5 s.
	inCluster(t, 3, smallEnvironment(), func(c *cluster) {
		c.env.Platform.MuteWatches(true)
		c.net.Partition("e3", "e1")
		c.net.Partition("e3", "e2")
		_, err := c.change("e1", "quiet", 1, putRule("r", "farm"))
		must.NoError(t, err)
		time.Sleep(5 * time.Second)
		c.requireRevision(2)
	})
}

func TestStoreDownForAnHour(t *testing.T) {
	// The object API is down for an hour. Requests are still served, including loads and
	// evictions, because these engines check fencing tokens. A change is rejected immediately
	// with verdict not-run. When the API returns, the hosts do not flood it.
	inCluster(t, 4, smallEnvironment(), func(c *cluster) {
		c.loadModels("e1", "a0", "a1", "a2", "a3")
		c.env.Platform.SetDown(true)
		time.Sleep(30 * time.Minute)
		requireComplete(t, c.complete("e2", "a0", "resident", 5), "a0@1", 5)
		requireComplete(t, c.complete("e3", "a6", "cold", 5), "a6@1", 5)
		_, err := c.change("e1", "refused", 1, putRule("r", "farm"))
		var refused *adminclient.APIError
		must.True(t, errors.As(err, &refused))
		must.Eq(t, http.StatusServiceUnavailable, refused.Status)
		must.Eq(t, verdict.NotRun, refused.Verdict())
		time.Sleep(30 * time.Minute)
		before, _ := c.env.Platform.Calls()
		c.env.Platform.SetDown(false)
		time.Sleep(time.Second)
		after, _ := c.env.Platform.Calls()
		must.LessEq(t, 10*len(c.nodes), after-before)
		time.Sleep(20 * time.Second)
		_, err = c.change("e1", "accepted", 1, putRule("r", "farm"))
		must.NoError(t, err)
		time.Sleep(5 * time.Second)
		c.requireRevision(2)
		must.Eq(t, 0, c.evictedInUse())
	})
}

func TestChangeDuringReplacement(t *testing.T) {
	// A host is replaced after it accepted a change. The new process has the change in force
	// before it reports ready.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		_, err := c.change("e1", "mid", 1, putRule("r", "farm"))
		must.NoError(t, err)
		c.kill("e1")
		fresh := c.start("e1")
		for !fresh.Ready() {
			time.Sleep(10 * time.Millisecond)
		}
		must.Eq(t, 2, fresh.Snapshot().Revision())
	})
}

func TestManyChangesThroughAllHosts(t *testing.T) {
	// 150 changes are made in turn through all hosts, spanning two compactions. Each is accepted
	// from the previous revision, every host ends with all of them, and the audit trail lists
	// each.
	inCluster(t, 3, smallEnvironment(), func(c *cluster) {
		hosts := []string{"e1", "e2", "e3"}
		for i := range 150 {
			revision := inventory.Revision(i + 1)
			_, err := c.change(hosts[i%3], "c"+string(rune('A'+i/26))+string(rune('a'+i%26)), revision, putRule("r", hosts[i%3]))
			must.NoError(t, err)
		}
		fresh := c.start("e4")
		time.Sleep(8 * time.Second)
		c.requireRevision(151)
		must.Eq(t, c.nodes["e1"].Snapshot().Document(), fresh.Snapshot().Document())
		trail, err := c.admin("e4").Audit(context.Background(), 1000)
		must.NoError(t, err)
		must.Len(t, 151, trail)
	})
}

func TestNewHostIsNotReadyBehindItsPeers(t *testing.T) {
	// The object API is down and one of two hosts is a revision behind. A new host learns that
	// host first. It does not report ready before it has heard the other one, or callers would
	// see the accepted change revert.
	inCluster(t, 2, smallEnvironment(), func(c *cluster) {
		c.net.Partition("e2", "e1")
		c.net.Partition("e2", "platform")
		_, err := c.change("e1", "second", 1, putRule("r", "farm"))
		must.NoError(t, err)
		time.Sleep(time.Second)
		c.env.Platform.SetDown(true)
		fresh := c.start("e3")
		c.net.Partition("e3", "e1")
		time.Sleep(1200 * time.Millisecond)
		must.Eq(t, 1, fresh.Snapshot().Revision())
		must.False(t, fresh.Ready())
		c.net.Heal("e3", "e1")
		for !fresh.Ready() {
			time.Sleep(10 * time.Millisecond)
		}
		must.Eq(t, 2, fresh.Snapshot().Revision())
	})
}
