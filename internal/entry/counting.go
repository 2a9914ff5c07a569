package entry

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/mesh"
	"github.com/cherrystage/cherrystage/internal/quota"
	"github.com/pkg/errors"
)

// counting is what this host counts for all hosts, as the one that comes first for it.
type counting struct {
	host    string
	mesh    *mesh.State
	counter *quota.Counter
	// keyOf names a part for the choice of the host that counts it.
	keyOf func(key string, part int) string
	// keptAt is when hosts had last joined or left as the counter last followed them.
	keptAt time.Time
}

func newCounting(host string, state *mesh.State, keyOf func(key string, part int) string) *counting {
	return &counting{host: host, mesh: state, counter: quota.NewCounter(), keyOf: keyOf}
}

var errNotCounted = errors.New("this host does not count it")

// right gives this host's right to count a part, if it has it.
func (c *counting) right(key string, part int, now time.Time) (quota.Ownership, error) {
	right, ok := c.mesh.Leads(c.keyOf(key, part), now)
	if !ok {
		return quota.Ownership{}, errNotCounted
	}
	return quota.Ownership{Since: right.Since, Epoch: right.Epoch}, nil
}

// first gives the host that counts a part, and where it can be reached.
func (c *counting) first(key string, part int) (host, address string) {
	return c.mesh.LeaderFor(c.keyOf(key, part))
}

// keep follows the hosts that joined or left: a part that another host counted in the
// meantime is counted anew.
func (c *counting) keep() {
	recomposed := c.mesh.MembershipChangedAt()
	if recomposed.Equal(c.keptAt) {
		return
	}
	c.keptAt = recomposed
	c.counter.Retain(func(key string, part int) bool {
		host, _ := c.first(key, part)
		return host == c.host
	})
}
