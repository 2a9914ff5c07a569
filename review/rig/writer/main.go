// Command writer shows what entries of another writer in the list of runners do that name a service that is not
// configured, at the addresses of runners: they are written two seconds after the machines are back from the final
// fault. The runners and their own entries are there all the while.
package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cherrystage/cherrystage/review/rig"
)

const (
	hosts    = 3
	files    = 4100
	memoryMB = 284
	work     = 30 * time.Millisecond
	// recovery is recoveryS, after which a quarter of the requests has to be served.
	recovery = 12 * time.Second
	// asked is the number of requests before the fault, and after the recovery.
	asked = 60
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: writer FOLDER")
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
		runner, err := r.AddRunner(number, "desk", 6, map[string]time.Duration{"/": work})
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
	time.Sleep(3 * time.Second)
	before := ask(r, all, "before")
	// The final fault: all processes are killed, and started again a second later.
	for _, host := range all {
		host.Kill()
	}
	time.Sleep(time.Second)
	for _, host := range all {
		if err := host.Start(); err != nil {
			r.Note("not started again: %v", err)
			return rig.ExitNotRun
		}
	}
	time.Sleep(2 * time.Second)
	if rig.Troubled() {
		write(r, runners)
	}
	time.Sleep(recovery - time.Second)
	after := ask(r, all, "after")
	summary := fmt.Sprintf("served %d of %d before the fault, %d of %d later than %s after the machines were back", before, asked, after, asked, recovery)
	r.Note("%s", summary)
	for _, host := range all {
		r.Note("host %d ready: %t; its last lines:\n%s", host.Number, host.Ready(), host.LastLines(2))
	}
	fmt.Println(summary)
	switch {
	case before*4 < asked:
		return rig.ExitNotRun
	case after*4 < asked:
		return rig.ExitBroken
	default:
		return rig.ExitHeld
	}
}

// write writes entries as another writer might.
func write(r *rig.Rig, runners []*rig.Runner) {
	for number, runner := range runners {
		r.Note("another writer writes an entry of a service that is not configured at %s", runner.Address)
		r.Store.Put("servers", fmt.Sprintf("x-%d", number), map[string]any{
			"service": "harbour-lights", "address": runner.Address, "zone": runner.Zone, "version": "v1", "slots": 4, "state": "ready", "coldLeftMs": 0, "sequence": 1,
		})
	}
}

// ask sends requests to all hosts in turn, each on a channel of its own, and returns how many were served.
func ask(r *rig.Rig, all []*rig.Host, when string) int {
	served := 0
	for number := range asked {
		id := fmt.Sprintf("%s-%d", when, number)
		caller, err := r.Connect(all[number%len(all)].Front)
		if err != nil {
			r.Note("caller: %s: no channel: %v", id, err)
			continue
		}
		answer := caller.Request(http.MethodGet, "/read/2f", id, 3*time.Second)
		caller.Close()
		r.Note("caller: %s: %d, stamped %t, %v", id, answer.Status, answer.Stamped, answer.Err)
		if answer.Status == http.StatusOK && answer.Stamped {
			served++
		}
		time.Sleep(50 * time.Millisecond)
	}
	return served
}
