package adapters

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/shoenig/test/must"
)

// modelTimer is a function to call at a time, modelClock a queue of them in virtual time.
type modelTimer struct {
	at  time.Time
	seq int
	do  func()
}

type modelClock struct {
	now    time.Time
	seq    int
	timers []modelTimer
}

func (c *modelClock) Len() int { return len(c.timers) }
func (c *modelClock) Less(i, j int) bool {
	if !c.timers[i].at.Equal(c.timers[j].at) {
		return c.timers[i].at.Before(c.timers[j].at)
	}
	return c.timers[i].seq < c.timers[j].seq
}
func (c *modelClock) Swap(i, j int) { c.timers[i], c.timers[j] = c.timers[j], c.timers[i] }
func (c *modelClock) Push(x any)    { c.timers = append(c.timers, x.(modelTimer)) }
func (c *modelClock) Pop() any {
	last := c.timers[len(c.timers)-1]
	c.timers = c.timers[:len(c.timers)-1]
	return last
}

func (c *modelClock) at(at time.Time, do func()) {
	c.seq++
	heap.Push(c, modelTimer{at: at, seq: c.seq, do: do})
}

func (c *modelClock) after(wait time.Duration, do func()) { c.at(c.now.Add(wait), do) }

func (c *modelClock) run(end time.Time) {
	for len(c.timers) > 0 && c.timers[0].at.Before(end) {
		next := heap.Pop(c).(modelTimer)
		c.now = next.at
		next.do()
	}
}

// modelRequest is a request with what its caller got.
type modelRequest struct {
	long           bool
	unread, output int
	generated      int
	arrived        time.Time
	sentAt         time.Time
	firstAt        time.Time
	lastAt         time.Time
	longestGap     time.Duration
}

// modelRunner is an engine that runs the prefill of up to 1,024 prompt tokens in each decoding
// step, and its controller.
type modelRunner struct {
	clock            *modelClock
	slow             float64
	work             float64
	running, waiting []*modelRequest
	stepping         bool
	// admitted counts the requests that were admitted and have not ended.
	admitted   int
	figure     int
	figureAt   time.Time
	announced  int
	wholeFirst bool
	controller *Controller
}

const (
	modelSlots       = 16
	modelChunk       = 1024
	modelEventTokens = 8
	modelStepMS      = 5.05
	modelPerMS       = 40.8
	modelGap         = 300 * time.Millisecond
	modelNetwork     = 2 * time.Millisecond
	modelStreamTarget,
	modelLongTarget = 500 * time.Millisecond, 600 * time.Millisecond
)

// announce records the runner's work time as its owner hears it; 0 announces none.
func (r *modelRunner) announce() {
	switch r.announced {
	case 0:
	case honestWork:
		r.figure, r.figureAt = int(100*r.work), r.clock.now
	default:
		r.figure, r.figureAt = r.announced, r.clock.now
	}
}

// honestWork stands for a runner that announces its true work time.
const honestWork = -1

func (r *modelRunner) view(string, time.Time) board.View {
	view := board.View{Load: r.admitted, Own: r.admitted}
	if r.figure > 0 {
		view.WorkPercent, view.WorkAge = r.figure, r.clock.now.Sub(r.figureAt)
	}
	return view
}

func (r *modelRunner) submit(request *modelRequest) {
	r.waiting = append(r.waiting, request)
	if !r.stepping {
		r.step()
	}
}

func (r *modelRunner) step() {
	for len(r.running) < modelSlots && len(r.waiting) > 0 {
		r.running = append(r.running, r.waiting[0])
		r.waiting = r.waiting[1:]
	}
	r.stepping = len(r.running) > 0
	if !r.stepping {
		return
	}
	budget := modelChunk
	var generating []*modelRequest
	for _, request := range r.running {
		part := min(budget, request.unread)
		request.unread -= part
		budget -= part
		if request.unread == 0 {
			generating = append(generating, request)
		}
	}
	ms := (modelStepMS + float64(modelChunk-budget)/modelPerMS) * r.slow * r.work
	r.clock.after(time.Duration(ms*float64(time.Millisecond)), func() { r.endStep(generating) })
}

func (r *modelRunner) endStep(generating []*modelRequest) {
	for _, request := range generating {
		request.generated++
		done := request.generated >= request.output
		if (request.generated == 1 && !r.wholeFirst) || request.generated%modelEventTokens == 0 || done {
			r.event(request)
		}
		if done {
			r.running = without(r.running, request)
			r.admitted--
		}
	}
	r.step()
}

func without(requests []*modelRequest, gone *modelRequest) []*modelRequest {
	var left []*modelRequest
	for _, request := range requests {
		if request != gone {
			left = append(left, request)
		}
	}
	return left
}

// event delivers an event to the caller and, with the first one, what the runner says and shows of
// its speed to its owner.
func (r *modelRunner) event(request *modelRequest) {
	now := r.clock.now
	if request.firstAt.IsZero() {
		request.firstAt = now
		r.announce()
		perToken := PrefillPerToken(request.promptTokens(), now.Add(modelNetwork).Sub(request.sentAt))
		r.controller.ObservePrefillAt(perToken, r.figure)
	} else {
		request.longestGap = max(request.longestGap, now.Sub(request.lastAt))
	}
	request.lastAt = now
}

func (m *modelRequest) promptTokens() int {
	if m.long {
		return 2368
	}
	return 826
}

// modelLoad is a load on some runners, two thirds of which are fast.
type modelLoad struct {
	runners   int
	announced int
	// perSecond is the number of requests, of which a quarter have long prompts.
	perSecond float64
	slowdowns bool
	// wholeFirst is set if the first event has as many tokens as the others.
	wholeFirst bool
	seconds    int
	seed       uint64
}

// modelResult counts what callers got.
type modelResult struct {
	requests, refused, late, paused int
}

func (l modelLoad) run() modelResult {
	clock := &modelClock{now: epoch}
	draw := rand.New(rand.NewPCG(l.seed, 1))
	runners := make([]*modelRunner, l.runners)
	typical := func() float64 {
		var known []float64
		for _, r := range runners {
			if perToken := r.controller.PrefillPerToken(); perToken > 0 {
				known = append(known, perToken)
			}
		}
		return lowerTercile(known)
	}
	for i := range runners {
		r := &modelRunner{clock: clock, slow: 0.7, work: 1, announced: l.announced, wholeFirst: l.wholeFirst}
		if i%3 == 2 {
			r.slow = 1.7
		}
		c := newTestController(&clock.now, 4, &fakeEngine{})
		c.runner.Slots = modelSlots
		c.spec.Pacing = Pacing{EventTokens: modelEventTokens, TargetGap: modelGap}
		c.RunnerView, c.TypicalPrefill = r.view, typical
		r.controller = c
		runners[i] = r
		if l.slowdowns {
			r.scheduleSlowdown(draw)
		}
		r.probe()
	}
	end := epoch.Add(time.Duration(l.seconds) * time.Second)
	var admitted []*modelRequest
	var result modelResult
	var arrive func()
	arrive = func() {
		clock.after(time.Duration(draw.ExpFloat64()/l.perSecond*float64(time.Second)), arrive)
		// Requests for one adapter arrive together, and each has a home.
		home := draw.IntN(l.runners)
		for range 1 + draw.IntN(5) {
			request := &modelRequest{arrived: clock.now, unread: 826, output: 100 + draw.IntN(200)}
			if draw.Float64() < 0.25 {
				request.long, request.unread, request.output = true, 2368, 40
			}
			result.requests++
			if place(runners, home, request) {
				admitted = append(admitted, request)
			} else {
				result.refused++
			}
		}
	}
	clock.after(0, arrive)
	clock.run(end)
	for _, request := range admitted {
		target := modelStreamTarget
		if request.long {
			target = modelLongTarget
		}
		if request.arrived.Add(time.Second).After(end) {
			continue
		}
		if request.firstAt.IsZero() || request.firstAt.Sub(request.arrived) > target {
			result.late++
		}
		if request.longestGap > modelGap {
			result.paused++
		}
	}
	return result
}

func (r *modelRunner) scheduleSlowdown(draw *rand.Rand) {
	r.clock.after(time.Duration(draw.ExpFloat64()*1800*float64(time.Millisecond)), func() {
		r.work = 2.5
		r.clock.after(time.Duration(150+draw.IntN(300))*time.Millisecond, func() {
			r.work = 1
			r.scheduleSlowdown(draw)
		})
	})
}

// probe is what Controller.watchWork does.
func (r *modelRunner) probe() {
	r.clock.after(50*time.Millisecond, func() {
		if r.figure > 0 && r.admitted > 0 && r.clock.now.Sub(r.figureAt) >= workProbeAge {
			r.announce()
		}
		r.probe()
	})
}

func lowerTercile(known []float64) float64 {
	if len(known) < 3 {
		return 0
	}
	for i := range known {
		for j := i; j > 0 && known[j] < known[j-1]; j-- {
			known[j], known[j-1] = known[j-1], known[j]
		}
	}
	return known[len(known)/3]
}

// place sends a request to its home, to one of the next two runners, or as a last resort to the
// home in any case. It reports whether one of them admitted it.
func place(runners []*modelRunner, home int, request *modelRequest) bool {
	ask := AdmissionRequest{PromptTokens: request.unread, MaxOutputTokens: request.output, PromptWait: 20 * time.Millisecond, LatencyBudget: modelStreamTarget - 60*time.Millisecond, MaxWait: 2 * time.Second}
	if request.long {
		ask.LatencyBudget = modelLongTarget - 60*time.Millisecond
	}
	for i := range 4 {
		ask.LastResort = i == 3
		r := runners[(home+i%3)%len(runners)]
		admitted, err := r.controller.Admit(ask)
		if err != nil {
			continue
		}
		r.admitted++
		request.sentAt = admitted.At
		r.clock.at(admitted.At, func() { r.submit(request) })
		return true
	}
	return false
}

// shares are shares of all requests.
type modelShares struct{ refused, late, paused float64 }

func (l modelLoad) shares(t *testing.T) modelShares {
	var sum modelResult
	for l.seed = range uint64(4) {
		result := l.run()
		sum.requests += result.requests
		sum.refused += result.refused
		sum.late += result.late
		sum.paused += result.paused
	}
	total := float64(sum.requests)
	shares := modelShares{refused: float64(sum.refused) / total, late: float64(sum.late) / total, paused: float64(sum.paused) / total}
	t.Logf("%+v: %+v", l, shares)
	return shares
}

// Two thirds of the runners take 0.7 of the usual time and one third 1.7 times, and each is slowed
// down 2.5 times for a seventh of the time. At one pace for all, the streams of slow runners pause
// when they are slowed down. At each runner's own pace less than half as many do, and no more
// requests are late or refused.
func TestCallersOfUnevenRunners(t *testing.T) {
	for _, perSecond := range []float64{16, 22} {
		before := modelLoad{runners: 9, perSecond: perSecond, slowdowns: true, seconds: 60}.shares(t)
		after := modelLoad{runners: 9, perSecond: perSecond, slowdowns: true, seconds: 60, announced: honestWork}.shares(t)
		must.Less(t, before.paused/2, after.paused)
		must.LessEq(t, before.refused+before.late+0.003, after.refused+after.late)
	}
}

// The same where the first event takes as many decoding steps as the others, so that runners seem
// slower than they are. The pace must not make more requests late than it keeps streams from
// pausing.
func TestCallersOfRunnersWithLateFirstEvents(t *testing.T) {
	for _, perSecond := range []float64{16, 22} {
		before := modelLoad{runners: 9, perSecond: perSecond, slowdowns: true, seconds: 60, wholeFirst: true}.shares(t)
		after := modelLoad{runners: 9, perSecond: perSecond, slowdowns: true, seconds: 60, wholeFirst: true, announced: honestWork}.shares(t)
		must.Less(t, before.paused*3/4, after.paused)
		must.Less(t, before.refused+before.late+before.paused, after.refused+after.late+after.paused)
	}
}

// Runners whose figure never changes, or is not true, must be served no worse than without one,
// except until it is ignored.
func TestCallersOfRunnersWithWrongFigures(t *testing.T) {
	for _, figure := range []int{100, 10_000} {
		before := modelLoad{runners: 9, perSecond: 16, slowdowns: true, seconds: 60}.shares(t)
		after := modelLoad{runners: 9, perSecond: 16, slowdowns: true, seconds: 60, announced: figure}.shares(t)
		must.LessEq(t, before.paused*1.1, after.paused)
		untilIgnored := trustPeriod.Seconds() / 60
		must.LessEq(t, before.refused+before.late+untilIgnored, after.refused+after.late)
	}
}

// Thirty requests for adapters of one fast runner arrive at once. At the pace of most runners the
// last of them wait for a second and more, which makes them late.
func TestFastRunnerGetsPromptsFaster(t *testing.T) {
	lastSent := func(view board.View) time.Duration {
		now := epoch
		c := newTestController(&now, 4, &fakeEngine{})
		c.spec.Pacing = Pacing{EventTokens: modelEventTokens, TargetGap: modelGap}
		c.RunnerView = func(string, time.Time) board.View { return view }
		for range 20 {
			c.ObservePrefillAt(0.7*1e6/modelPerMS, view.WorkPercent)
		}
		var last time.Time
		for range 30 {
			admitted, err := c.Admit(AdmissionRequest{PromptTokens: 826, MaxOutputTokens: 100, LatencyBudget: time.Minute, MaxWait: time.Minute, LastResort: true})
			must.NoError(t, err)
			last = admitted.At
		}
		return last.Sub(epoch)
	}
	before, after := lastSent(board.View{}), lastSent(board.View{WorkPercent: 100})
	must.Between(t, time.Second, before, 1200*time.Millisecond)
	must.Less(t, before*2/3, after)
}
