package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// resumablePrefix is that of the route whose streams may be taken up again.
	resumablePrefix = "/handover/"
	// openStreams is the number of streams that are open when the hosts are killed, and leastTakenUp the
	// number of those taken up from which the rule holds.
	openStreams  = 40
	leastTakenUp = 12
	// longEvents is the number of events of a stream, one each longInterval.
	longEvents   = 100
	longInterval = 60 * time.Millisecond
	// restartAfter is how long after its end the platform starts a process again.
	restartAfter = 500 * time.Millisecond
	// activation is the time in which hosts learn of both software versions.
	activation = 8 * time.Second
	// callerLimit is the time limit of a stream's caller, counted from its first try.
	callerLimit = 15 * time.Second
	// maxTries is how often a caller takes its stream up, reconnectPause the pause before each further
	// try, which is longer than any Retry-After that it gets.
	maxTries       = 5
	reconnectPause = 1200 * time.Millisecond
)

// freshFor is how long new streams go on to begin behind the last one that is taken up.
const freshFor = 4 * time.Second

// shares counts streams, and those of them that were served.
type shares struct{ sent, served int }

func (s shares) of() float64 { return float64(s.served) / float64(max(1, s.sent)) }

// takeUps is the play of streams that are taken up again.
type takeUps struct {
	d *deployment

	mu sync.Mutex
	// startedAt is when the hosts' processes last started, or a time to come while they are away.
	startedAt time.Time
	takenUp   shares
	begun     shares
	mixed     int
}

// inTouch reports whether a request that is sent now meets hosts that are in touch.
func (t *takeUps) inTouch() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.startedAt) > stability
}

// killedHosts kills all hosts while streams are open and two versions of the runners' software serve.
// Their callers take the streams up again, at hosts that are in touch too.
func killedHosts(d *deployment, disturbed bool) (bool, error) {
	d.configure()
	l := newLedger(d.rec)
	for i, version := range []string{"v1", "v2"} {
		options := runnerOptions{Service: engineService, Engine: true, Events: longEvents, Interval: longInterval, Version: version}
		if _, err := d.startRunnersFrom(1+2*i, 2, options, l.note); err != nil {
			return false, err
		}
	}
	if err := d.startHosts(3); err != nil {
		return false, err
	}
	time.Sleep(activation)
	t := &takeUps{d: d, startedAt: time.Now().Add(-activation)}
	var group sync.WaitGroup
	left := make(chan struct{})
	for i := range openStreams {
		group.Go(func() { t.takeUp(fmt.Sprintf("plan-%d", i+1), i, left) })
	}
	time.Sleep(2 * time.Second)
	if disturbed {
		t.killAll()
	} else {
		d.rec.note("all callers lose their channels")
	}
	close(left)
	stop := make(chan struct{})
	var fresh sync.WaitGroup
	fresh.Go(func() { t.beginOthers(stop) })
	group.Wait()
	time.Sleep(freshFor)
	close(stop)
	fresh.Wait()
	d.rec.note("at hosts in touch: %d of %d streams that were taken up went on, %d of %d new ones began; %d with events of two versions", t.takenUp.served, t.takenUp.sent, t.begun.served, t.begun.sent, t.mixed)
	if t.begun.served == 0 || t.takenUp.sent < leastTakenUp {
		return false, fmt.Errorf("too few streams")
	}
	return t.takenUp.of() < t.begun.of()/2, nil
}

// killAll kills all hosts at once, and starts them again as the platform does.
func (t *takeUps) killAll() {
	t.d.rec.note("all hosts are killed")
	t.setStarted(time.Now().Add(time.Hour))
	for _, h := range t.d.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range t.d.hosts {
		<-h.exited
	}
	time.Sleep(restartAfter)
	for _, h := range t.d.hosts {
		if err := t.d.start(h); err != nil {
			t.d.rec.note("%s does not start: %v", h.name, err)
		}
	}
	t.setStarted(time.Now())
}

func (t *takeUps) setStarted(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startedAt = at
}

// takeUp begins a stream, and takes it up again at one host after the other once its channel has broken.
func (t *takeUps) takeUp(id string, first int, left <-chan struct{}) {
	end := time.Now().Add(callerLimit)
	c := call{id: id, host: routeHost, path: resumablePrefix + "2f", model: modelName + "/a1", body: []byte(id), deadline: callerLimit}
	c.onEvents = func(string) bool {
		select {
		case <-left:
			return false
		default:
			return true
		}
	}
	got := c.send(t.d.hosts[first%len(t.d.hosts)].front())
	t.d.rec.note("caller: %s begun: %s, last event %q", id, got, lastLine(got.body))
	if got.status != 200 || got.err == nil {
		return
	}
	body := wholeEvents(got.body)
	judged, wentOn := false, false
	for try := 1; try <= maxTries && !wentOn && time.Until(end) > 0; try++ {
		if try > 1 {
			time.Sleep(reconnectPause)
		}
		again := c
		again.id, again.resumes, again.lastEvent, again.onEvents = fmt.Sprintf("%s-%d", id, try), id, lastEvent(body), nil
		again.deadline = time.Until(end)
		h := t.d.hosts[(first+try)%len(t.d.hosts)]
		judged = t.inTouch()
		got := again.send(h.front())
		t.d.rec.note("caller: %s takes %s up behind event %s at %s, in touch %t: %s, last event %q", again.id, id, again.lastEvent, h.name, judged, got, lastLine(got.body))
		if wentOn = got.status == 200; wentOn {
			body += got.body
		}
	}
	t.noteTakeUp(judged, wentOn, body)
}

// noteTakeUp counts a stream by its last try.
func (t *takeUps) noteTakeUp(judged, wentOn bool, body string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if judged {
		t.takenUp.sent++
	}
	if judged && wentOn {
		t.takenUp.served++
	}
	if strings.Contains(body, "by v1") && strings.Contains(body, "by v2") {
		t.mixed++
	}
}

// beginOthers begins new streams at hosts that are in touch.
func (t *takeUps) beginOthers(stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
		if !t.inTouch() {
			continue
		}
		group.Go(func() {
			c := call{id: fmt.Sprintf("new-%d", i+1), host: routeHost, path: resumablePrefix + "2f", model: modelName + "/a1", body: []byte("new"), deadline: callerLimit}
			c.onEvents = func(body string) bool { return strings.Count(body, "\n\n") < 3 }
			got := c.send(t.d.hosts[i%len(t.d.hosts)].front())
			t.d.rec.note("caller: %s: %s", c.id, got)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.begun.sent++
			if got.status == 200 {
				t.begun.served++
			}
		})
	}
}

// wholeEvents returns the whole events at the beginning of a body.
func wholeEvents(body string) string {
	return body[:strings.LastIndex(body, "\n\n")+2]
}

// lastEvent returns the ID of the last event of a body.
func lastEvent(body string) string {
	id := ""
	for _, line := range strings.Split(body, "\n") {
		if value, ok := strings.CutPrefix(line, "id: "); ok {
			id = value
		}
	}
	return id
}
