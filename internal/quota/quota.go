// Package quota enforces the quota of each workspace across all hosts.
//
// A quota is split into a few parts, each a token bucket that one host, the counting host,
// maintains for all. A host that needs units requests them from a counting host, which grants
// the cost of the request and, while the bucket is well filled, some units in advance. The sum
// of all grants therefore never exceeds the quota, even if hosts disagree on the membership, and
// the loss of a counting host takes away one part of the quota rather than all of it.
//
// All functions take the current time as an argument and do no I/O.
package quota

import (
	"strconv"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

// Parts is the number of parts of a quota. With one of three lost, a workspace that uses 60% of
// its quota is still served; with more parts, each would hold less than one request of a small
// workspace.
const Parts = 3

// Tolerance is how far the deployment lets a workspace exceed its quota in each Window: by
// Overshoot times the quota for the window (0.1 is a tenth above it), and by Slack units.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Part of the tolerance is added to the burst, so that simultaneous requests are not refused
// because of the split into parts. The rest covers units that two hosts grant while hosts join,
// and units that are granted before a window and spent in it.
const (
	overshootShare = 0.25
	slackShare     = 0.5
	// maxBurstFactor bounds the resulting burst as a multiple of the quota's own: the slack is
	// the same for all workspaces and can be many times the burst of a small one.
	maxBurstFactor = 3
)

// Limit configures a token bucket.
type Limit struct {
	// Rate is in units per second, Burst in units.
	Rate  float64
	Burst float64
}

// PartLimit returns the limit of each part of a quota.
func PartLimit(q site.Quota, tolerance Tolerance) Limit {
	overshoot := tolerance.Overshoot * (q.Rate*tolerance.Window.Seconds() + q.Burst)
	burst := q.Burst + overshootShare*overshoot + slackShare*tolerance.Slack
	burst = min(burst, maxBurstFactor*q.Burst)
	return Limit{Rate: q.Rate / Parts, Burst: max(1, burst/Parts)}
}

// PartKey returns the key by which the counting host of a part is chosen.
func PartKey(workspace string, part int) string {
	return "quota." + workspace + "." + strconv.Itoa(part)
}

// GrantRequest asks a counting host for units of a part, or returns some.
type GrantRequest struct {
	// Key identifies what is limited: a workspace, or a runner with a rate limit.
	Key  string
	Part int
	// Cost is the number of units that the current request needs, 0 only to return units.
	Cost float64
	// Prefetch is the number of further units that the host expects to need.
	Prefetch float64
	// Returned is the number of granted units that the host gives back, ReturnedAge how long ago the first
	// of them was granted.
	Returned    float64
	ReturnedAge time.Duration
}

// GrantResponse is the counting host's response.
type GrantResponse struct {
	// Granted is 0 if the request is refused, otherwise the cost and any prefetched units.
	Granted float64
	// RetryAfter is how long until a refused request may be granted.
	RetryAfter time.Duration
	// Level is the number of units that the part holds afterwards.
	Level float64
}
