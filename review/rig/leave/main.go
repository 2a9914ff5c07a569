// Command leave shows that hosts send requests to a runner for seconds after it has left, if an outage of the store that
// was over long ago is followed by the loss of the two hosts that watch the list of runners.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cherrystage/cherrystage/review/rig"
)

const (
	hosts    = 5
	files    = 4100
	memoryMB = 284
	work     = 30 * time.Millisecond
	// outage is how long the store is away, calm how long it has been back when the hosts are lost.
	outage = 6 * time.Second
	calm   = 10 * time.Second
	// drain is drainMs; the runner goes on serving for linger after that.
	drain  = 2 * time.Second
	linger = 1500 * time.Millisecond
	// each caller sends a request every interval.
	callersPerHost = 4
	interval       = 50 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: leave FOLDER")
		return rig.ExitNotRun
	}
	r, err := rig.New(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return rig.ExitNotRun
	}
	defer r.Close()
	r.PutConfig(7, 30_000)
	var runners []*rig.Runner
	for number := 1; number <= 3; number++ {
		runner, err := r.AddRunner(number, "desk", 24, map[string]time.Duration{"/": work})
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
	time.Sleep(8 * time.Second)
	return play(r, all, runners)
}

func play(r *rig.Rig, all []*rig.Host, runners []*rig.Runner) int {
	if rig.Troubled() {
		r.Note("the store is away")
		r.Store.SetDown(true)
	}
	time.Sleep(outage)
	r.Store.SetDown(false)
	r.Note("the store is there")
	time.Sleep(calm)
	watchers := r.Store.Watchers("servers", 3*time.Second)
	r.Note("the list of runners is watched by %v", watchers)
	var lost, left []*rig.Host
	for _, host := range all {
		if slices.Contains(watchers, host.IP) {
			lost = append(lost, host)
		} else {
			left = append(left, host)
		}
	}
	if len(lost) != 2 {
		return rig.ExitNotRun
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for _, host := range left {
		for number := range callersPerHost {
			callers.Go(func() { keepAsking(r, host, number, stop) })
		}
	}
	time.Sleep(time.Second)
	for _, host := range lost {
		host.Signal(syscall.SIGKILL)
	}
	time.Sleep(500 * time.Millisecond)
	leaving := runners[0]
	leaving.Leave()
	leftAt := time.Now()
	time.Sleep(drain + linger)
	leaving.End()
	time.Sleep(time.Second)
	close(stop)
	callers.Wait()
	return judge(r, leaving, leftAt)
}

// judge counts the requests that reached the runner later than drain after it had left.
func judge(r *rig.Rig, leaving *rig.Runner, leftAt time.Time) int {
	late, last, before := 0, time.Duration(0), 0
	for _, run := range leaving.Runs() {
		after := run.At.Sub(leftAt)
		if after <= 0 {
			before++
		}
		if after > drain {
			late++
			r.Note("late: %s reached %s %d ms after its entry had been removed", run.ID, leaving.Instance, after.Milliseconds())
		}
		last = max(last, after)
	}
	summary := fmt.Sprintf("%d requests reached the runner before it left; %d later than %s after; the last one %d ms after", before, late, drain, last.Milliseconds())
	r.Note("%s", summary)
	fmt.Println(summary)
	switch {
	case before == 0:
		return rig.ExitNotRun
	case late > 0:
		return rig.ExitBroken
	default:
		return rig.ExitHeld
	}
}

// keepAsking sends calls that may run once only on a kept channel.
func keepAsking(r *rig.Rig, host *rig.Host, number int, stop chan struct{}) {
	caller, err := r.Connect(host.Front)
	if err != nil {
		r.Note("caller %d of host %d: no channel: %v", number, host.Number, err)
		return
	}
	defer caller.Close()
	for count := 0; ; count++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		id := fmt.Sprintf("call-%d-%d-%d", host.Number, number, count)
		answer := caller.Request(http.MethodPost, "/call/2f", id, 3*time.Second)
		if answer.Err != nil {
			r.Note("caller: %s: the channel ended without an answer: %v", id, answer.Err)
			return
		}
		if answer.Status != http.StatusOK {
			r.Note("caller: %s: %d", id, answer.Status)
			time.Sleep(answer.RetryAfter)
		}
	}
}
