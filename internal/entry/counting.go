package entry

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/mesh"
	"github.com/cherrystage/cherrystage/internal/quota"
	"github.com/pkg/errors"
)

// leasedCounter is what this host counts for all hosts, as the one that comes first for it.
type leasedCounter struct {
	host    string
	mesh    *mesh.State
	counter *quota.Counter
	// keyOf names a part for the choice of the host that counts it.
	keyOf func(key string, part int) string
	// lastRecomposed is when hosts had last joined or left as the counter last followed them.
	lastRecomposed time.Time
}

func newLeasedCounter(host string, state *mesh.State, keyOf func(key string, part int) string) *leasedCounter {
	return &leasedCounter{host: host, mesh: state, counter: quota.NewCounter(), keyOf: keyOf}
}

var errNotCountingHost = errors.New("this host does not count it")

// countingRight gives this host's countingRight to count a part, if it has it.
func (c *leasedCounter) countingRight(key string, part int, now time.Time) (quota.Right, error) {
	right, ok := c.mesh.RightTo(c.keyOf(key, part), now)
	if !ok {
		return quota.Right{}, errNotCountingHost
	}
	return quota.Right{Since: right.Since, Epoch: right.Epoch}, nil
}

// countingHost gives the host that counts a part, and where it can be reached.
func (c *leasedCounter) countingHost(key string, part int) (host, address string) {
	return c.mesh.FirstFor(c.keyOf(key, part))
}

// dropReassigned follows the hosts that joined or left: a part that another host counted in the
// meantime is counted anew.
func (c *leasedCounter) dropReassigned() {
	recomposed := c.mesh.Recomposed()
	if recomposed.Equal(c.lastRecomposed) {
		return
	}
	c.lastRecomposed = recomposed
	c.counter.Keep(func(key string, part int) bool {
		host, _ := c.countingHost(key, part)
		return host == c.host
	})
}
