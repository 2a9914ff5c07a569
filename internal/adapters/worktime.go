package adapters

import (
	"math"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
)

const (
	// workTTL is how long an announced work time counts. It changes every few hundred
	// milliseconds, so an older figure says nothing of the present; 100% is assumed then.
	workTTL = time.Second
	// workRetention is how long after its last announcement a runner counts as one that
	// announces its work time.
	workRetention = time.Minute
	// minWork bounds how much faster than usual a runner is assumed to be by its figure alone: a
	// figure that is too low would make its streams pause.
	minWork = 0.5
	// Figures outside of minSoundPercent and maxSoundPercent are extreme. Runners slow down by up
	// to 2.5 times.
	minSoundPercent = 25
	maxSoundPercent = 400
	// trustPeriod is how long an extreme figure may stay without an effect on the runner's
	// answers before it is ignored.
	trustPeriod = 5 * time.Second
)

// announcesWork reports whether a runner announced its work time recently.
func announcesWork(view board.View) bool {
	return view.WorkPercent > 0 && view.WorkAge <= workRetention
}

// workFactor returns how many times the usual time work takes by a figure, 1 if there is none.
func workFactor(percent int) float64 {
	if percent <= 0 {
		return 1
	}
	return max(minWork, float64(percent)/100)
}

// UsualPrefill returns the prefill time per token at the runner's usual speed, from the time
// observed while the runner announced a work time in percent (0 if it announced none).
func UsualPrefill(perToken float64, workPercent int) float64 {
	return perToken / workFactor(workPercent)
}

func isExtreme(percent int) bool {
	return percent > 0 && (percent < minSoundPercent || percent > maxSoundPercent)
}

// workTracker judges the work time that a runner announces. It is not safe for concurrent use.
//
// A figure that is wrong but constant does no harm: the prefill speed that is learned with it is
// as wrong, and only the two together determine the pace. One that jumps to an extreme and stays
// there would stop the runner's work, or have its streams pause, until the speed is learned anew.
type workTracker struct {
	// percent is the latest figure that was fresh.
	percent int
	// extremeSince is the start of the current period with an extreme figure, zero if it is not
	// extreme. lowest is the shortest prefill time per token observed in it, 0 if there is none.
	extremeSince time.Time
	lowest       float64
	// ignored is set while the figure is not believed.
	ignored bool
	// peak is the longest work time lately, as a factor, and peakSeen when it was last updated.
	peak     float64
	peakSeen time.Time
	// refused is the number of requests refused for a slowdown.
	refused int64
	// crossing bounds the log lines about slowdowns.
	crossing crossing
}

// update takes in the latest figure. own is the runner's prefill time per token at its usual
// speed. It reports whether the figure is ignored from now on, or no longer.
func (t *workTracker) update(percent int, own float64, now time.Time) (changed bool) {
	t.percent = percent
	t.updatePeak(percent, now)
	before := t.ignored
	switch {
	case !isExtreme(percent):
		t.extremeSince, t.lowest, t.ignored = time.Time{}, 0, false
	case t.extremeSince.IsZero():
		t.extremeSince, t.lowest = now, 0
	case now.Sub(t.extremeSince) > trustPeriod:
		t.ignored = !t.confirmed(own)
		t.extremeSince, t.lowest = now, 0
	}
	return t.ignored != before
}

// peakHalfLife is the time in which the excess of the peak over the usual work time halves. Runners
// that slow down do so every few seconds.
const peakHalfLife = 30 * time.Second

// updatePeak takes in a figure, unless it is extreme.
func (t *workTracker) updatePeak(percent int, now time.Time) {
	factor := 1.0
	if !isExtreme(percent) {
		factor = workFactor(percent)
	}
	t.peak, t.peakSeen = max(factor, t.peakAt(now)), now
}

// peakAt returns the longest work time lately as a factor, at least 1.
func (t *workTracker) peakAt(now time.Time) float64 {
	halfLives := float64(max(0, now.Sub(t.peakSeen))) / float64(peakHalfLife)
	return 1 + max(0, t.peak-1)*math.Exp2(-halfLives)
}

// confirmed reports whether the answers of the period are closer to what the figure says than to
// the runner's usual speed. Without an answer nothing confirms the figure.
func (t *workTracker) confirmed(own float64) bool {
	if t.lowest <= 0 {
		return false
	}
	factor := workFactor(t.percent)
	middle := own * math.Sqrt(factor)
	return (factor > 1) == (t.lowest > middle)
}

// observe takes in the prefill time per token of an answer in nanoseconds and the figure that was
// announced with it, 0 if there was none. It returns the time at the runner's usual speed, or 0 if
// the answer does not show it.
func (t *workTracker) observe(perToken float64, percent int) float64 {
	if !isExtreme(percent) {
		return UsualPrefill(perToken, percent)
	}
	if t.lowest == 0 || perToken < t.lowest {
		t.lowest = perToken
	}
	if t.ignored {
		return perToken
	}
	return 0
}

// factor returns how many times the usual time work takes.
func (t *workTracker) factor(view board.View) float64 {
	if t.ignored || view.WorkAge > workTTL {
		return 1
	}
	return workFactor(view.WorkPercent)
}

// updateWork adapts the pacer to the work time that the runner announces, if it does; typical is the
// prefill time per token of most runners in nanoseconds. c.mu must be held.
func (c *Controller) updateWork(view board.View, typical float64, now time.Time) {
	if !announcesWork(view) {
		c.setPace(Pace{}, now)
		return
	}
	if view.WorkAge <= workTTL {
		c.trackWork(view, now)
	}
	speed := speedOf(c.spec, c.prefill.PerToken(), typical, c.work.factor(view), c.work.peakAt(now))
	c.setPace(PaceFor(speed), now)
	if crossings := c.work.crossing.update(view.WorkPercent, now); crossings > 0 {
		c.log.Info("work time of the runner crossed a threshold", "work_percent", view.WorkPercent, "slowed_down", c.work.crossing.slowed, "crossings", crossings,
			"tokens_per_ms", c.pacer.pace.rate(), "burst_tokens", c.pacer.pace.BurstTokens, "backlog_tokens", c.pacer.backlogTokens(now))
	}
}

// setPace changes the pace of prompts, also for those that are deferred; c.mu must be held.
func (c *Controller) setPace(pace Pace, now time.Time) {
	if pace == c.pacer.pace {
		return
	}
	c.pacer.setPace(pace, now)
	c.turns.Recost(c.pacer.cost)
}

// trackWork takes in a fresh figure; c.mu must be held.
func (c *Controller) trackWork(view board.View, now time.Time) {
	usual := c.prefill.PerToken()
	if usual == 0 {
		usual = usualPerToken
	}
	lowest := c.work.lowest
	if c.work.update(view.WorkPercent, usual, now) {
		c.log.Warn("trust in the runner's announced work time changed", "ignored", c.work.ignored, "work_percent", view.WorkPercent, "token_ns", lowest, "usual_token_ns", usual)
	}
}

// relativeSpeed returns the usual speed of a runner that announces its work time relative to most
// runners, 1 if it is not known or the runner announces none; c.mu must be held. The work time
// itself changes too fast for limits on requests that run for seconds.
func (c *Controller) relativeSpeed(view board.View, typical float64) float64 {
	own := c.prefill.PerToken()
	if !announcesWork(view) || own <= 0 || typical <= 0 {
		return 1
	}
	return typical / own
}

// checkSlowdown refuses a request that another runner may take while the runner is slowed down so
// much that the prompt would make its running streams pause too long; c.mu must be held. A request
// whose adapter is not loaded yet is not sent now, and a slowdown is over before the load is done.
func (c *Controller) checkSlowdown(ask AdmissionRequest, view board.View) error {
	if ask.LastResort || ask.Waited || view.Load == 0 || !c.pacer.pace.blocks(ask.PromptTokens) || !c.isLoaded(ask.Key) {
		return nil
	}
	c.work.refused++
	return ErrPromptBacklog
}

// isLoaded reports whether a request for an adapter can be sent at once; c.mu must be held.
func (c *Controller) isLoaded(key Key) bool {
	if key.Name == "" {
		return true
	}
	readyAt, there := c.slots.Ready(key)
	return there && readyAt.Sub(c.Now()) <= turnLead
}

// promptTime returns the time that the prefill of a prompt takes on the runner with decoding steps
// in between; c.mu must be held.
func (c *Controller) promptTime(tokens int) time.Duration {
	if c.pacer.pace.Known {
		return c.pacer.pace.prefillTime(tokens)
	}
	return prefillTime(tokens)
}

// ObservePrefill records the prefill time per token of one response in nanoseconds, from a runner
// that announced no work time with it.
func (c *Controller) ObservePrefill(perToken float64) { c.ObservePrefillAt(perToken, 0) }

// ObservePrefillAt records the prefill time per token of one response in nanoseconds, and the work
// time that the runner announced with it in percent, 0 if it announced none.
func (c *Controller) ObservePrefillAt(perToken float64, workPercent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefill.Observe(c.work.observe(perToken, workPercent))
}

// crossing counts how often a runner's work time crossed the thresholds of a slowdown, for the log.
type crossing struct {
	slowed bool
	count  int
	lineAt time.Time
}

const (
	// A runner counts as slowed down from slowedPercent until its work time falls to
	// usualPercent.
	slowedPercent = 150
	usualPercent  = 120
	// crossingLineInterval is the least time between two log lines about one runner's slowdowns,
	// of which there may be several per second.
	crossingLineInterval = 10 * time.Second
)

// update takes in a figure and returns the number of crossings to log, 0 for none now.
func (c *crossing) update(percent int, now time.Time) int {
	if (c.slowed && percent <= usualPercent) || (!c.slowed && percent >= slowedPercent) {
		c.slowed = !c.slowed
		c.count++
	}
	if c.count == 0 || now.Sub(c.lineAt) < crossingLineInterval {
		return 0
	}
	count := c.count
	c.count, c.lineAt = 0, now
	return count
}
