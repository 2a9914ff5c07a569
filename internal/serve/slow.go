package serve

import (
	"context"
	"time"
)

// slowAnswerInterval is how often a runner is asked whether it is alive, for one silent attempt, unless it
// is heard anyway.
const slowAnswerInterval = 500 * time.Millisecond

// slowElsewhere reports whether other runners are as late with their first events as the current
// attempt, so that a second one would win nothing.
func (r *relaying) slowElsewhere() bool {
	l := r.l
	if l.headerWritten {
		return false
	}
	awake := func(since time.Time) time.Duration { return l.s.Standstill.Awake(since, l.s.Now()) }
	return l.firsts.slowElsewhere(r.current, l.route.TargetLatency, awake)
}

// askCurrent finds out whether the current attempt's runner is alive, where others are as late: a dead
// one is left for a slow one.
func (r *relaying) askCurrent() {
	l, x := r.l, r.current
	now := l.s.Now()
	if l.s.Board.HeardSince(x.runner.ID, now.Add(-hedgeRetryInterval)) || r.answeredAt.After(now.Add(-slowAnswerInterval)) {
		r.keepSlow()
		return
	}
	if l.service.Engine == nil || l.s.Answers == nil {
		r.hedgeOnSilence()
		return
	}
	r.slowAnswers = make(chan bool, 1)
	go func(answers chan<- bool) {
		ctx, cancel := context.WithTimeout(x.ctx, hedgeProbeTimeout)
		defer cancel()
		answers <- l.s.Answers(ctx, x.runner.Address)
	}(r.slowAnswers)
}

// onSlowAnswer handles whether the current attempt's runner has answered.
func (r *relaying) onSlowAnswer(alive bool) {
	r.slowAnswers = nil
	if !alive {
		r.hedgeOnSilence()
		return
	}
	r.answeredAt = r.l.s.Now()
	r.keepSlow()
}

// keepSlow goes on with the current attempt until it is judged again.
func (r *relaying) keepSlow() {
	if !r.keptLogged {
		r.keptLogged = true
		r.l.logSilent("silent attempt kept: other runners are as slow")
	}
	r.silence.Reset(hedgeRetryInterval)
}
