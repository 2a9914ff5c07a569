// Command truncate shows that a caller gets the beginning of an answer as a whole one, if the runner is killed in the
// middle of an answer without a length and started again at once under its id.
package main

import (
	"fmt"
	"net/http"
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
	// kills is how often a runner is killed, each killEvery after the one before.
	kills     = 12
	killEvery = 2500 * time.Millisecond
	// callersPerHost callers send one request after the other to each host.
	callersPerHost = 4
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: truncate FOLDER")
		return rig.ExitNotRun
	}
	r, err := rig.New(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return rig.ExitNotRun
	}
	defer r.Close()
	r.PutConfig(7, 30_000)
	var runners []*rig.Process
	for number := 1; number <= 3; number++ {
		runner, err := r.AddProcess(number, filepath.Join(filepath.Dir(os.Args[0]), "plainrunner"), "desk", 24)
		if err != nil {
			r.Note("no runner: %v", err)
			return rig.ExitNotRun
		}
		defer runner.Stop()
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
	time.Sleep(2 * time.Second)
	return play(r, all, runners)
}

func play(r *rig.Rig, all []*rig.Host, runners []*rig.Process) int {
	stop := make(chan struct{})
	var whole, parts, failed atomic.Int64
	var callers sync.WaitGroup
	for _, host := range all {
		for number := range callersPerHost {
			callers.Go(func() { keepAsking(r, host, number, stop, &whole, &parts, &failed) })
		}
	}
	for number := range kills {
		time.Sleep(killEvery)
		if rig.Troubled() {
			runners[number%len(runners)].Kill()
		}
	}
	time.Sleep(time.Second)
	close(stop)
	callers.Wait()
	summary := fmt.Sprintf("%d answers with success were whole, %d were not; %d requests got no success", whole.Load(), parts.Load(), failed.Load())
	r.Note("%s", summary)
	fmt.Println(summary)
	switch {
	case whole.Load() == 0:
		return rig.ExitNotRun
	case parts.Load() > 0:
		return rig.ExitBroken
	default:
		return rig.ExitHeld
	}
}

// keepAsking sends calls that may run once only on a kept channel.
func keepAsking(r *rig.Rig, host *rig.Host, number int, stop chan struct{}, whole, parts, failed *atomic.Int64) {
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
		default:
		}
		id := fmt.Sprintf("call-%d-%d-%d", host.Number, number, count)
		answer := caller.Request(http.MethodPost, "/call/2f", id, 3*time.Second)
		first, second := rig.Halves(id)
		switch {
		case answer.Err != nil:
			r.Note("caller: %s: the channel ended without an answer: %v", id, answer.Err)
			return
		case answer.Status != http.StatusOK:
			failed.Add(1)
			r.Note("caller: %s: %d", id, answer.Status)
			time.Sleep(answer.RetryAfter)
		case answer.Body != first+second:
			parts.Add(1)
			r.Note("caller: %s: 200, stamped %t, and a body that is not whole: %q", id, answer.Stamped, answer.Body)
		default:
			whole.Add(1)
			r.Note("caller: %s: 200, whole", id)
		}
	}
}
