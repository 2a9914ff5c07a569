// Package quota keeps each workspace to its quota, over all hosts together.
//
// A quota is divided into a few parts, each a token bucket that one host counts for the
// whole fleet. A host that needs units asks one of these hosts and is granted what its
// request costs, and some ahead while the bucket is well filled. So the sum of what is
// granted never exceeds the quota, whatever the hosts believe of each other, and a
// counting host that is lost takes one part with it and not the workspace.
//
// All decisions take the time as an argument and do no I/O.
package quota

import (
	"strconv"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
)

// Parts is the number of parts of a quota. Without one of three a workspace at 60% of its
// quota is served as before; more parts would each hold less than one request of a small
// workspace.
const Parts = 3

// Tolerance is how far the deployment lets a workspace exceed its quota: in each Window
// by Overshoot times what the quota allows, and by Slack units more.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// A part of the tolerance is given out with the burst, so that requests that come together
// are not refused for how the parts divide them. The rest is for what two hosts count at a
// moment at which hosts join, and for what was granted before a window and is spent in it.
const (
	overshootShare = 0.25
	slackShare     = 0.5
	// mostBurst times its burst is what a workspace gets at most: the slack is one number
	// for all, and many times the burst of a small one.
	mostBurst = 3
)

// Limit is a token bucket's.
type Limit struct {
	// Rate is in units a second, Burst in units.
	Rate  float64
	Burst float64
}

// PartLimit gives the limit of each part of a quota.
func PartLimit(q site.Quota, tolerance Tolerance) Limit {
	overshoot := tolerance.Overshoot * (q.Rate*tolerance.Window.Seconds() + q.Burst)
	burst := q.Burst + overshootShare*overshoot + slackShare*tolerance.Slack
	burst = min(burst, mostBurst*q.Burst)
	return Limit{Rate: q.Rate / Parts, Burst: max(1, burst/Parts)}
}

// PartKey names a part of a workspace's quota, for the choice of the host that counts it.
func PartKey(workspace string, part int) string {
	return "quota." + workspace + "." + strconv.Itoa(part)
}

// GrantRequest is what a host asks of the one that counts a part.
type GrantRequest struct {
	// Key names what is bounded: a workspace, or a runner that names a limit.
	Key  string
	Part int
	// Cost is what the request at hand needs, 0 to give back only.
	Cost float64
	// Prefetch is what the host will likely need besides.
	Prefetch float64
	// Returned is what the host was granted and does not need.
	Returned float64
}

// GrantResponse is that host's answer.
type GrantResponse struct {
	// Granted is 0, or the cost and some ahead.
	Granted float64
	// RetryAfter is when the cost may be granted, where it was not.
	RetryAfter time.Duration
	// Level is what the part holds after it.
	Level float64
}
