// Command crowd shows that an entry host ends when it has no file descriptor left while another host connects to it:
// the platform hands most new channels to one host for some seconds, and the other hosts are restarted in turn meanwhile.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cherrystage/cherrystage/review/rig"
)

const (
	hosts = 3
	// files is the number of descriptors of a machine of the smallest of the users' installations.
	files    = 3075
	memoryMB = 284
	// ownFiles is the number of descriptors that the callers may need.
	ownFiles = 10_000
	// crowdPerS new channels a second come to one host: fewer than the requests of that installation. They come for
	// crowdTime, or a little longer where they come more slowly.
	crowdPerS = 600
	crowdTime = 9 * time.Second
	// enough is the number of channels from which the other host may start again.
	enough = files + 200
	// crowdPatience is how long a caller of the crowd waits for its answer.
	crowdPatience = 1600 * time.Millisecond
	// kept is how many callers with a kept channel send one request after the other to that host.
	kept = 12
	// callWork and readWork are how long a runner works on a request.
	callWork = 400 * time.Millisecond
	readWork = 20 * time.Millisecond
	// idleTimeoutMS is how long a channel may be idle; callers reuse one that was for four fifths of it.
	idleTimeoutMS = 30_000
	// lostAllowed is the number of requests that the rule allows to be lost.
	lostAllowed = 3
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: crowd FOLDER")
		return rig.ExitNotRun
	}
	var own syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &own); err != nil || own.Max < ownFiles {
		fmt.Fprintln(os.Stderr, "too few descriptors for the callers:", own.Max, err)
		return rig.ExitNotRun
	}
	r, err := rig.New(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return rig.ExitNotRun
	}
	defer r.Close()
	r.PutConfig(7, idleTimeoutMS)
	var runners []*rig.Runner
	for number := 1; number <= 3; number++ {
		runner, err := r.AddRunner(number, "desk", 24, map[string]time.Duration{"/call/": callWork, "/read/": readWork})
		if err != nil {
			r.Note("no runner: %v", err)
			return rig.ExitNotRun
		}
		runners = append(runners, runner)
	}
	var all []*rig.Host
	for number := 1; number <= hosts; number++ {
		host, err := r.AddHost(number, hosts, rig.Limits{MemoryMB: memoryMB, Files: files})
		if err != nil {
			r.Note("no host: %v", err)
			return rig.ExitNotRun
		}
		all = append(all, host)
	}
	if !rig.AwaitReady(all, 15*time.Second) {
		r.Note("not ready")
		return rig.ExitNotRun
	}
	time.Sleep(4 * time.Second)
	return play(r, all, runners)
}

func play(r *rig.Rig, all []*rig.Host, runners []*rig.Runner) int {
	crowded, restarted := all[0], all[1:]
	stop := make(chan struct{})
	var results results
	var callers sync.WaitGroup
	for number := range kept {
		callers.Go(func() { keepAsking(r, crowded, number, stop, &results) })
	}
	time.Sleep(2 * time.Second)
	var crowd sync.WaitGroup
	var opened atomic.Int64
	came := make(chan struct{})
	if rig.Troubled() {
		crowd.Go(func() { come(r, crowded, &opened, came) })
	}
	began := time.Now()
	time.Sleep(crowdTime / 3)
	// Planned work: the other hosts are stopped and started in turn.
	for _, host := range restarted {
		host.Signal(syscall.SIGTERM)
		host.Wait()
		for rig.Troubled() && opened.Load() < enough && time.Since(began) < 2*crowdTime {
			time.Sleep(50 * time.Millisecond)
		}
		if err := host.Start(); err != nil {
			r.Note("not started again: %v", err)
			return rig.ExitNotRun
		}
		time.Sleep(time.Second)
	}
	time.Sleep(max(time.Second, time.Until(began.Add(crowdTime))))
	close(came)
	time.Sleep(3 * time.Second)
	close(stop)
	callers.Wait()
	crowd.Wait()
	served, lost := results.served.Load(), 0
	for _, runner := range runners {
		for _, run := range runner.Runs() {
			if _, unanswered := results.unanswered.Load(run.ID); unanswered {
				r.Note("lost: %s was passed on to %s, and its channel ended without an answer", run.ID, runner.Instance)
				lost++
			}
		}
	}
	summary := fmt.Sprintf("served %d, passed on and lost %d, host 1 ended by itself %d times", served, lost, crowded.EndedItself())
	r.Note("%s", summary)
	fmt.Println(summary)
	switch {
	case served == 0:
		return rig.ExitNotRun
	case lost > lostAllowed:
		return rig.ExitBroken
	default:
		return rig.ExitHeld
	}
}

// results is what the callers with kept channels got.
type results struct {
	served atomic.Int64
	// unanswered holds the requests whose channel ended without an answer.
	unanswered sync.Map
}

// keepAsking sends calls on a kept channel, one after the other.
func keepAsking(r *rig.Rig, host *rig.Host, number int, stop chan struct{}, results *results) {
	caller, err := r.Connect(host.Front)
	if err != nil {
		r.Note("caller %d: no channel: %v", number, err)
		return
	}
	defer caller.Close()
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		default:
		}
		id := fmt.Sprintf("call-%d-%d", number, count)
		answer := caller.Request(http.MethodPost, "/call/2f", id, 5*time.Second)
		switch {
		case answer.Err != nil:
			r.Note("caller: %s: the channel ended without an answer: %v", id, answer.Err)
			results.unanswered.Store(id, true)
			return
		case answer.Status == http.StatusOK:
			results.served.Add(1)
		default:
			r.Note("caller: %s: %d", id, answer.Status)
			time.Sleep(answer.RetryAfter)
		}
	}
}

// come opens channels to a host until came is closed, and counts them. Each carries one request and is kept.
func come(r *rig.Rig, host *rig.Host, opened *atomic.Int64, came <-chan struct{}) {
	r.Note("the crowd comes")
	var open sync.WaitGroup
	var answered atomic.Int64
	gone := make(chan struct{})
	ticker := time.NewTicker(time.Second / crowdPerS)
	defer ticker.Stop()
	coming := true
	for number := 0; coming; number++ {
		select {
		case <-ticker.C:
		case <-came:
			coming = false
		}
		open.Go(func() {
			caller, err := r.Connect(host.Front)
			if err != nil {
				return
			}
			defer caller.Close()
			opened.Add(1)
			if caller.Request(http.MethodGet, "/read/2f", fmt.Sprintf("crowd-%d", number), crowdPatience).Err != nil {
				return
			}
			answered.Add(1)
			<-gone
		})
	}
	r.Note("the crowd is there: %d channels, %d answered", opened.Load(), answered.Load())
	// Less than four fifths of the time for which a channel may be idle.
	time.Sleep(10 * time.Second)
	close(gone)
	open.Wait()
}
