package adapters

import "time"

// Speed is what determines how fast prompts may be sent to a runner that announces its work time.
type Speed struct {
	// EventTokens is the number of output tokens in one event of a stream.
	EventTokens int
	// Step is the time of a decoding step without prompts, and PrefillPerMS the number of prompt
	// tokens processed per millisecond, both at the runner's usual speed.
	Step         time.Duration
	PrefillPerMS float64
	// Gap is the longest pause between two events that callers allow.
	Gap time.Duration
	// Work is the time that work takes now, 1 for the usual time on that machine. Peak is the
	// longest that it took lately.
	Work, Peak float64
}

// Pace is how prompts are sent to a runner: up to BurstTokens at once, and TokensPerMS in the long
// run.
type Pace struct {
	// Known is unset in the zero value, which stands for an unknown pace.
	Known       bool
	TokensPerMS float64
	BurstTokens float64
	// EventRoom is the number of prompt tokens that one event has room for.
	EventRoom float64
	// UsualPerMS is the rate at the usual work time, and UsualRoom what EventRoom is then.
	UsualPerMS float64
	UsualRoom  float64
}

const (
	// plannedGapShare is the share of the allowed pause that an event may take by calculation.
	// The rest is for the network and for work that the calculation does not know of.
	plannedGapShare = 0.85
	// burstShare is the share of the room for prompts that a burst takes. Most of the room is
	// left to the long-run rate.
	burstShare = 0.4
	// slowdownLag is how long a runner's slowdown stays unknown to its owner on average: the mean
	// age of the figure.
	slowdownLag = workProbeAge / 2
	// minReserveTokens is the least room that is planned for a slowdown that is not known yet: a
	// usual prompt. A slow runner would be sent none otherwise.
	minReserveTokens = 1000
)

// PaceFor returns the pace at which no event takes longer than plannedGapShare of the allowed
// pause.
//
// While an event of length T is generated, a runner does n decoding steps of s and the prefill of
// a burst B and of what follows at rate r, at p tokens per unit of time, all of it w times as slow
// as usual:
//
//	T = n*s*w + (B + r*T)*w/p, so T = (n*s*w + B*w/p) / (1 - r*w/p)
//
// T <= G holds exactly if B + r*G <= (G/w - n*s)*p, the number of prompt tokens that an event has
// room for.
//
// Most pauses beyond the allowed one are of runners that slow down right after prompts were sent,
// so these must fit into an event at the peak work time too: B + r*slowdownLag <= (g/peak - n*s)*p,
// with the whole pause g since the peak is not usual.
func PaceFor(speed Speed) Pace {
	pace := Pace{Known: true, EventRoom: speed.eventRoom(speed.plannedGapMS(), speed.Work)}
	usualRoom := speed.eventRoom(speed.plannedGapMS(), 1)
	pace.UsualRoom = usualRoom
	reserve := max(minReserveTokens, speed.eventRoom(inMS(speed.Gap), max(speed.Work, speed.Peak)))
	pace.BurstTokens = burstShare * min(pace.EventRoom, reserve)
	pace.TokensPerMS = (1 - burstShare) * min(pace.EventRoom/speed.plannedGapMS(), reserve/inMS(slowdownLag))
	pace.UsualPerMS = (1 - burstShare) * min(usualRoom/speed.plannedGapMS(), reserve/inMS(slowdownLag))
	return pace
}

// eventRoom returns the number of prompt tokens that an event of a length in milliseconds has room
// for at a work time.
func (s Speed) eventRoom(lengthMS, work float64) float64 {
	if work <= 0 {
		return 0
	}
	return max(0, (lengthMS/work-s.stepsMS())*s.PrefillPerMS)
}

func (s Speed) plannedGapMS() float64 { return plannedGapShare * inMS(s.Gap) }

// stepsMS is the time of an event's decoding steps at the usual work time.
func (s Speed) stepsMS() float64 { return float64(s.EventTokens) * inMS(s.Step) }

func inMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// blocks reports whether a prompt alone would make the running streams pause too long because the
// runner is slowed down. A prompt that no runner of usual speed has room for counts as one that just
// fits: at its usual speed a runner blocks no prompt.
func (p Pace) blocks(tokens int) bool {
	return p.Known && min(float64(tokens), p.UsualRoom) > p.EventRoom
}

// minPacedPerMS is the rate at which prompts are sent at least. A request that no other runner
// takes is then sent in the end, and the runner's answers show whether its figure is right.
const minPacedPerMS = 2

// rate returns the long-run rate in tokens per millisecond.
func (p Pace) rate() float64 { return max(minPacedPerMS, p.TokensPerMS) }

// prefillTime returns the time that a prompt takes with decoding steps and other prompts in between,
// at the usual work time: a slowdown is mostly over when the prompt is sent.
func (p Pace) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / max(minPacedPerMS, p.UsualPerMS) * float64(time.Millisecond))
}

// duration returns the time that the pace reserves for a number of tokens.
func (p Pace) duration(tokens float64) time.Duration {
	return time.Duration(tokens / p.rate() * float64(time.Millisecond))
}

// The speed of an engine of usual speed, by the platform's data sheets, and where the
// configuration does not give the figures.
const (
	usualStep        = 5900 * time.Microsecond
	usualEventTokens = 6
	usualGap         = 250 * time.Millisecond
	// maxLearnedExcess is how many times as long as by the data sheets the prefill of most runners
	// may seem to take. Beyond, only their relative speeds are known. The reserve for slowdowns is
	// left out there: worked out with speeds that are too low, it makes more requests late than it
	// keeps streams from pausing.
	maxLearnedExcess = 1.1
	// maxFastness bounds how much faster than by the data sheets a runner is assumed to be.
	maxFastness = 2
)

// speedOf returns a runner's speed. perToken is its learned prefill time per token in nanoseconds
// and typical that of most runners, both 0 if unknown; work is its work time and peak that of
// lately. Steps are assumed to be as much slower or faster than usual as prefill is, since both are
// work of the same machine.
func speedOf(spec Spec, perToken, typical, work, peak float64) Speed {
	fast := fastness(perToken, typical)
	speed := Speed{
		EventTokens: spec.EventTokens, Gap: spec.TargetGap, Work: work, Peak: peak,
		Step:         time.Duration(float64(usualStep) / fast),
		PrefillPerMS: prefillPerMS * fast,
	}
	if typical > maxLearnedExcess*usualPerToken {
		speed.Peak = 1
	}
	if speed.EventTokens <= 0 {
		speed.EventTokens = usualEventTokens
	}
	if speed.Gap <= 0 {
		speed.Gap = usualGap
	}
	return speed
}

// fastness returns how many times as fast as by the data sheets a runner is.
//
// If most runners seem slower than that, their first events take longer for another reason, such
// as more than one decoding step before them. The runner is then compared with most runners, which
// count as runners of usual speed.
func fastness(perToken, typical float64) float64 {
	if perToken <= 0 {
		return 1
	}
	usual := max(usualPerToken, typical)
	return min(maxFastness, max(1.0/maxSlowness, usual/perToken))
}

// usualPerToken is the prefill time per token in nanoseconds by the platform's data sheets.
const usualPerToken = 1e6 / prefillPerMS
