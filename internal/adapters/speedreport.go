package adapters

import "math"

// RunnerSpeed is what the owner of a runner knows of its speed, for the metrics, besides what
// contention.Runner has.
type RunnerSpeed struct {
	// PeakPercent is the longest work time of lately in percent of the usual one. Ignored is set
	// while the announced work time is not believed.
	PeakPercent int  `json:"peak_percent"`
	Ignored     bool `json:"ignored,omitempty"`
	// TokensPerMS and BurstTokens are the pace of prompts as of the last request.
	TokensPerMS float64 `json:"tokens_per_ms"`
	BurstTokens float64 `json:"burst_tokens"`
	// Refused counts the requests that were refused because the runner was slowed down, Probes
	// and ProbesFailed the probes of its work time.
	Refused      int64 `json:"refused"`
	Probes       int64 `json:"probes"`
	ProbesFailed int64 `json:"probes_failed"`
}

// RunnerSpeeds returns the speeds of this host's runners that announce their work time, by ID.
func (o *Owner) RunnerSpeeds() map[string]RunnerSpeed {
	speeds := map[string]RunnerSpeed{}
	for id, controller := range o.controllersByID() {
		if speed, ok := controller.speed(); ok {
			speeds[id] = speed
		}
	}
	return speeds
}

// speed returns the runner's speed, or false if it does not announce its work time.
func (c *Controller) speed() (RunnerSpeed, bool) {
	now := c.Now()
	view := c.RunnerView(c.runner.ID, now)
	if !announcesWork(view) {
		return RunnerSpeed{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	speed := RunnerSpeed{
		PeakPercent: int(100 * c.work.peakAt(now)), Ignored: c.work.ignored,
		Refused: c.work.refused, Probes: c.probes.sent.Load(), ProbesFailed: c.probes.failed.Load(),
	}
	if pace := c.pacer.pace; pace.Known {
		speed.TokensPerMS, speed.BurstTokens = rounded(pace.rate()), math.Round(pace.BurstTokens)
	}
	return speed, true
}

// rounded rounds to a tenth.
func rounded(value float64) float64 { return math.Round(value*10) / 10 }
