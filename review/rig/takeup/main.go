// Command takeup shows that no stream goes on that callers take up after a loss of all hosts, if runners of two
// software versions serve.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/review/rig"
)

const (
	hosts    = 3
	files    = 4100
	memoryMB = 284
	// taken streams are taken up again, and as many begin anew at the same time.
	taken = 40
	// limit is how long a caller waits in all.
	limit = 15 * time.Second
	// down is how long the hosts are away, touch is stabilityWindowMs.
	down  = 500 * time.Millisecond
	touch = 3 * time.Second
	tries = 3
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: takeup FOLDER")
		return rig.ExitNotRun
	}
	r, err := rig.New(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return rig.ExitNotRun
	}
	defer r.Close()
	r.PutConfig(7, 30_000)
	for number, version := range []string{"v1", "v1", "v1", "v2", "v2", "v2"} {
		if _, err := r.AddRunnerOf(number+1, "desk", version, 64, nil); err != nil {
			r.Note("no runner: %v", err)
			return rig.ExitNotRun
		}
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
	// Both versions are to be in service for good.
	time.Sleep(10 * time.Second)
	return play(r, all)
}

func play(r *rig.Rig, all []*rig.Host) int {
	streams := make([]*rig.Stream, taken)
	leave := make(chan struct{})
	var first sync.WaitGroup
	for number := range streams {
		streams[number] = &rig.Stream{Versions: map[string]bool{}}
		first.Go(func() { try(r, all[number%hosts], streams[number], fmt.Sprintf("first-%d", number), leave) })
	}
	time.Sleep(2 * time.Second)
	if rig.Troubled() {
		for _, host := range all {
			host.Kill()
		}
	} else {
		close(leave)
	}
	first.Wait()
	time.Sleep(down)
	if rig.Troubled() {
		for _, host := range all {
			if err := host.Start(); err != nil {
				r.Note("not started again: %v", err)
				return rig.ExitNotRun
			}
		}
	}
	rig.AwaitReady(all, 10*time.Second)
	time.Sleep(touch + 500*time.Millisecond)
	broken := 0
	for _, stream := range streams {
		if stream.Last > 0 && !stream.Whole {
			broken++
		}
	}
	var goOn, begin, mixed atomic.Int64
	var second sync.WaitGroup
	never := make(chan struct{})
	for number, stream := range streams {
		second.Go(func() {
			if takeUp(r, all, stream, number, never) {
				goOn.Add(1)
			}
			if len(stream.Versions) > 1 {
				mixed.Add(1)
			}
		})
		second.Go(func() {
			fresh := &rig.Stream{Versions: map[string]bool{}}
			if try(r, all[number%hosts], fresh, fmt.Sprintf("new-%d", number), never) > 0 {
				begin.Add(1)
			}
		})
	}
	second.Wait()
	summary := fmt.Sprintf("%d of %d streams that were taken up went on (%d held two versions); %d of %d new ones began", goOn.Load(), broken, mixed.Load(), begin.Load(), taken)
	r.Note("%s", summary)
	fmt.Println(summary)
	switch {
	case broken < 12 || begin.Load() < 12:
		return rig.ExitNotRun
	case float64(goOn.Load())/float64(broken) < float64(begin.Load())/taken/2:
		return rig.ExitBroken
	default:
		return rig.ExitHeld
	}
}

// takeUp takes a stream up again, and as often as its caller may, after the time that it is told.
func takeUp(r *rig.Rig, all []*rig.Host, stream *rig.Stream, number int, never <-chan struct{}) bool {
	for count := range tries {
		host := all[(number+1+count)%hosts]
		caller, err := r.Connect(host.Front)
		if err != nil {
			r.Note("caller: no channel to host %d: %v", host.Number, err)
			continue
		}
		id := fmt.Sprintf("taken-%d-%d", number, count)
		status, wait, events := caller.Begin(stream, id, limit-6*time.Second, never)
		caller.Close()
		r.Note("caller: %s at host %d: %d, %d events, come back in %s", id, host.Number, status, events, wait)
		if events > 0 {
			return true
		}
		time.Sleep(wait)
	}
	return false
}

// try begins a stream at a host and returns the number of events that came.
func try(r *rig.Rig, host *rig.Host, stream *rig.Stream, id string, leave <-chan struct{}) int {
	caller, err := r.Connect(host.Front)
	if err != nil {
		r.Note("caller: no channel to host %d: %v", host.Number, err)
		return 0
	}
	defer caller.Close()
	status, _, events := caller.Begin(stream, id, limit, leave)
	r.Note("caller: %s at host %d: %d, %d events", id, host.Number, status, events)
	return events
}
