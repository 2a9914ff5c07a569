package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crashPart is the part of prompts that crashes runners.
	crashPart = "badbadba"
	// promptParts is the number of parts of each prompt, the last one its own; crashPosition is where
	// the part stands among them, counted from 0.
	promptParts   = 20
	crashPosition = 17
	// partRunners is the number of runners, crashedFor how long one that crashed is away.
	partRunners = 6
	crashedFor  = 2 * time.Second
	// partsFor is how long requests are sent, badInterval and soundInterval the time between two.
	partsFor      = 30 * time.Second
	badInterval   = time.Second
	soundInterval = 150 * time.Millisecond
	// countedCrashes, stability and allowedArrivals are those of the rule.
	countedCrashes  = 5
	stability       = 3 * time.Second
	allowedArrivals = 3
)

// partLedger notes what runs with the part that crashes runners.
type partLedger struct {
	*ledger

	crashMu sync.Mutex
	crashes []time.Time
	late    int
}

func (l *partLedger) noteEvent(event runnerEvent) {
	l.note(event)
	if event.What != "runs" || !event.Crashing {
		return
	}
	l.crashMu.Lock()
	defer l.crashMu.Unlock()
	now := time.Now()
	if len(l.crashes) >= countedCrashes && now.After(l.crashes[countedCrashes-1].Add(stability)) {
		l.late++
	}
	l.crashes = append(l.crashes, now)
}

// prompt returns the parts of a prompt: those that all share, with the bad one among them or not, and
// a last one of its own.
func prompt(id string, bad bool) string {
	var parts []string
	for i := range promptParts - 1 {
		part := fmt.Sprintf("5c1e07%02x:40", i)
		if bad && i == crashPosition {
			part = crashPart + ":40"
		}
		parts = append(parts, part)
	}
	return strings.Join(append(parts, id+":66"), ",")
}

// longPrompts sends prompts of many parts, and among them some with a part that crashes each runner
// which begins to write an answer on it.
func longPrompts(d *deployment, disturbed bool) (bool, error) {
	d.configure()
	l := &partLedger{ledger: newLedger(d.rec)}
	options := runnerOptions{Service: engineService, Engine: true, Events: 20, Interval: 20 * time.Millisecond, CrashPart: crashPart}
	runners, err := d.startRunners(partRunners, options, l.noteEvent)
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var restarts sync.WaitGroup
	for _, p := range runners {
		restarts.Go(func() { d.keepRunning(p, l.noteEvent, stop) })
	}
	defer restarts.Wait()
	defer close(stop)
	if err := d.startHosts(3); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	var sound, served, cut atomic.Int64
	group.Go(func() {
		d.sendPrompts(&group, partsFor, soundInterval, "sound", false, func(got reply) {
			sound.Add(1)
			switch {
			case got.status == 200 && got.err == nil:
				served.Add(1)
			case got.status == 200:
				cut.Add(1)
			}
		})
	})
	if disturbed {
		group.Go(func() { d.sendPrompts(&group, partsFor, badInterval, "bad", true, func(reply) {}) })
	}
	group.Wait()
	l.crashMu.Lock()
	defer l.crashMu.Unlock()
	d.rec.note("%d of %d sound prompts served, %d cut after their first event; %d requests with the bad part reached runners, %d of them later than %s after the fifth crash", served.Load(), sound.Load(), cut.Load(), len(l.crashes), l.late, stability)
	if served.Load() == 0 {
		return false, fmt.Errorf("no sound prompt was served")
	}
	return l.late > allowedArrivals, nil
}

// sendPrompts sends a prompt to the hosts in turn at each interval.
func (d *deployment) sendPrompts(group *sync.WaitGroup, length, interval time.Duration, name string, bad bool, onReply func(reply)) {
	for i, end := 0, time.Now().Add(length); time.Now().Before(end); i++ {
		group.Go(func() {
			id := fmt.Sprintf("%s-%d", name, i+1)
			c := call{id: id, host: routeHost, path: planPrefix + "2f", model: modelName + "/a1", prefix: prompt(id, bad), body: []byte(id), deadline: 15 * time.Second}
			got := c.send(d.hosts[i%len(d.hosts)].front())
			d.rec.note("caller: %s: %s", id, got)
			onReply(got)
		})
		time.Sleep(interval)
	}
}

// keepRunning starts a runner again some time after it crashed, under the id that it had, until stop is
// closed.
func (d *deployment) keepRunning(p *runnerProcess, onEvent func(runnerEvent), stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			p.kill()
			return
		case <-p.exited:
		}
		d.rec.note("runner %s has crashed", p.options.Instance)
		select {
		case <-stop:
			return
		case <-time.After(crashedFor):
		}
		again, err := d.startRunner(p.options, onEvent)
		if err != nil {
			d.rec.note("runner %s does not start again: %v", p.options.Instance, err)
			return
		}
		p = again
	}
}
