package entry

import (
	"time"

	"github.com/cherrystage/cherrystage/internal/mesh"
	"github.com/cherrystage/cherrystage/internal/quota"
	"github.com/pkg/errors"
)

// leasedCounter counts for the whole fleet those parts that this host leads: it ranks first
// for them and its lease is valid.
type leasedCounter struct {
	host    string
	mesh    *mesh.State
	counter *quota.Counter
	// keyOf returns the ranking key that selects the counting host of a part.
	keyOf func(key string, part int) string
	// membershipAppliedAt is the time of the last membership change that was applied.
	membershipAppliedAt time.Time
}

func newLeasedCounter(host string, state *mesh.State, keyOf func(key string, part int) string) *leasedCounter {
	return &leasedCounter{host: host, mesh: state, counter: quota.NewCounter(), keyOf: keyOf}
}

var errNotCountingHost = errors.New("this host does not count it")

// ownership returns this host's leadership of a part, or errNotCountingHost if this host does
// not lead it.
func (c *leasedCounter) ownership(key string, part int, now time.Time) (quota.Ownership, error) {
	leadership, ok := c.mesh.Leads(c.keyOf(key, part), now)
	if !ok {
		return quota.Ownership{}, errNotCountingHost
	}
	return quota.Ownership{Since: leadership.Since, Epoch: leadership.Epoch}, nil
}

// countingHost returns the host that counts a part and its address.
func (c *leasedCounter) countingHost(key string, part int) (host, address string) {
	return c.mesh.LeaderFor(c.keyOf(key, part))
}

// dropReassigned drops the counts of parts that moved to other hosts when hosts joined or
// left. If such a part comes back, its count starts from zero.
func (c *leasedCounter) dropReassigned() {
	changedAt := c.mesh.MembershipChangedAt()
	if changedAt.Equal(c.membershipAppliedAt) {
		return
	}
	c.membershipAppliedAt = changedAt
	c.counter.Retain(func(key string, part int) bool {
		host, _ := c.countingHost(key, part)
		return host == c.host
	})
}
