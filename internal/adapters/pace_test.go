package adapters

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// usualSpeed is that of an engine with 8 tokens per event whose callers allow pauses of 300 ms.
func usualSpeed() Speed {
	return Speed{EventTokens: 8, Step: 5050 * time.Microsecond, PrefillPerMS: 40.8, Gap: 300 * time.Millisecond, Work: 1, Peak: 1}
}

// speeds returns a grid of speeds, with runners that are too slow for any prompt among them.
func speeds() []Speed {
	var all []Speed
	for _, tokens := range []int{1, 5, 8, 16} {
		for _, slow := range []float64{0.5, 0.7, 1, 1.7, 3} {
			for _, gap := range []time.Duration{20, 100, 250, 300, 1000} {
				for _, work := range []float64{0.5, 1, 1.4, 2.5, 10, 100} {
					all = append(all, Speed{
						EventTokens: tokens, Step: time.Duration(slow * 5.05 * float64(time.Millisecond)), PrefillPerMS: 40.8 / slow, Gap: gap * time.Millisecond, Work: work, Peak: 1,
					})
					all = append(all, all[len(all)-1])
					all[len(all)-1].Peak = 2.5
				}
			}
		}
	}
	return all
}

// eventTimeMS returns how long an event takes at most while prompts are sent at a pace.
func (s Speed) eventTimeMS(pace Pace) float64 {
	perToken := s.Work / s.PrefillPerMS
	return (s.stepsMS()*s.Work + pace.BurstTokens*perToken) / (1 - pace.TokensPerMS*perToken)
}

// An event that takes longer than callers allow makes its stream late, whatever the runner's speed.
func TestPaceKeepsEventsWithinTheAllowedPause(t *testing.T) {
	for _, speed := range speeds() {
		pace := PaceFor(speed)
		if pace.EventRoom == 0 {
			must.Eq(t, 0, pace.TokensPerMS)
			must.Eq(t, 0, pace.BurstTokens)
			continue
		}
		must.Between(t, 0, speed.eventTimeMS(pace), plannedGapShare*inMS(speed.Gap)*1.000001, must.Sprintf("%+v", speed))
	}
}

// A pace that grows with a figure that makes a runner slower would send most prompts to the
// runners that can take the fewest.
func TestPaceIsMonotonic(t *testing.T) {
	slower := map[string]func(*Speed){
		"more tokens per event": func(s *Speed) { s.EventTokens++ },
		"longer step":           func(s *Speed) { s.Step = s.Step * 11 / 10 },
		"slower prefill":        func(s *Speed) { s.PrefillPerMS /= 1.1 },
		"shorter gap":           func(s *Speed) { s.Gap = s.Gap * 10 / 11 },
		"longer work time":      func(s *Speed) { s.Work *= 1.1 },
		"longer peak":           func(s *Speed) { s.Peak *= 1.1 },
	}
	for name, change := range slower {
		t.Run(name, func(t *testing.T) {
			for _, speed := range speeds() {
				changed := speed
				change(&changed)
				before, after := PaceFor(speed), PaceFor(changed)
				must.LessEq(t, before.TokensPerMS, after.TokensPerMS, must.Sprintf("%+v", speed))
				must.LessEq(t, before.BurstTokens, after.BurstTokens, must.Sprintf("%+v", speed))
			}
		})
	}
}

// The constants hold back fast runners and send more to slow ones than these can take.
func TestPaceOfKnownRunners(t *testing.T) {
	fast, slow := usualSpeed(), usualSpeed()
	fast.Step, fast.PrefillPerMS = fast.Step*7/10, fast.PrefillPerMS/0.7
	slow.Step, slow.PrefillPerMS = slow.Step*17/10, slow.PrefillPerMS/1.7
	must.Between(t, 19, PaceFor(usualSpeed()).TokensPerMS, 22)
	must.Between(t, 30, PaceFor(fast).TokensPerMS, 40)
	must.Between(t, 8, PaceFor(slow).TokensPerMS, 12)

	const prompt = 826
	must.False(t, PaceFor(slow).blocks(prompt))
	must.False(t, PaceFor(slow).blocks(100_000), must.Sprint("at its usual speed a runner takes every prompt"))
	slow.Work, fast.Work = 2.5, 2.5
	must.True(t, PaceFor(slow).blocks(prompt))
	must.False(t, PaceFor(fast).blocks(prompt))
	must.True(t, PaceFor(fast).blocks(7000), must.Sprint("alone it would take longer than callers allow"))
	fast.Work = 100
	must.True(t, PaceFor(fast).blocks(prompt))
	must.False(t, Pace{}.blocks(prompt))
}

// The speed is learned from few answers that may be late for other reasons. An estimate that is
// far off must not stop a runner's work or overload it.
func TestLearnedSpeedIsBounded(t *testing.T) {
	spec := Spec{Pacing: Pacing{EventTokens: 8, TargetGap: 300 * time.Millisecond}}
	must.Eq(t, prefillPerMS, speedOf(spec, 0, 0, 1, 1).PrefillPerMS)
	must.Eq(t, usualStep, speedOf(spec, 0, 0, 1, 1).Step)
	must.Eq(t, prefillPerMS*maxFastness, speedOf(spec, 1, 0, 1, 1).PrefillPerMS)
	slowest := speedOf(spec, 1e9, 0, 1, 1)
	must.Eq(t, prefillPerMS/maxSlowness, slowest.PrefillPerMS)
	must.Greater(t, 4, PaceFor(slowest).TokensPerMS)
	must.False(t, PaceFor(slowest).blocks(826))
	must.Positive(t, PaceFor(speedOf(Spec{}, 0, 0, 1, 1)).TokensPerMS, must.Sprint("nothing configured"))
}

// First events of all runners may be late for a reason that is not their speed. Taken for it, the
// delay would slow down the whole deployment.
func TestDelayOfAllRunnersIsNotTheirSpeed(t *testing.T) {
	spec := Spec{Pacing: Pacing{EventTokens: 8, TargetGap: 300 * time.Millisecond}}
	must.Eq(t, prefillPerMS, speedOf(spec, 60_000, 60_000, 1, 1).PrefillPerMS)
	must.Eq(t, prefillPerMS/1.5, speedOf(spec, 90_000, 60_000, 1, 1).PrefillPerMS)
	must.Eq(t, 1, speedOf(spec, 90_000, 60_000, 2, 2.5).Peak, must.Sprint("no reserve"))
	must.Eq(t, 2.5, speedOf(spec, 28_000, 28_000, 2, 2.5).Peak)
	must.Between(t, prefillPerMS*1.49, speedOf(spec, usualPerToken/1.5, usualPerToken/1.5, 1, 1).PrefillPerMS, prefillPerMS*1.51)
}

// A slowdown ends after a few hundred milliseconds. Prompts that were admitted during it must not
// count for the time that they would have taken had it gone on, or the runner would stay idle.
func TestPacerKeepsItsBacklogInTokens(t *testing.T) {
	var p Pacer
	slowed := usualSpeed()
	slowed.Work = 2.5
	p.setPace(PaceFor(slowed), epoch)
	p.Admit(2000, epoch)
	p.Admit(2000, epoch)
	before := p.Wait(800, epoch)
	must.Between(t, 3999, p.backlogTokens(epoch), 4001)
	p.setPace(PaceFor(usualSpeed()), epoch)
	must.Between(t, 3999, p.backlogTokens(epoch), 4001)
	must.Less(t, before/3, p.Wait(800, epoch))
	p.setPace(Pace{}, epoch)
	must.Between(t, 3999, p.backlogTokens(epoch), 4001)
	must.Eq(t, 0, p.backlogTokens(epoch.Add(time.Second)))
}
