package rig

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Halves returns the two halves of the body with which a plainrunner answers a request.
func Halves(id string) (first, second string) {
	return "begin " + id + strings.Repeat(" berth", 20) + "\n", "end " + id + "\n"
}

// Process is a runner that is a process of its own. It is started again at once when it has ended, under the same
// instance and address.
type Process struct {
	Instance, Address string

	rig     *Rig
	program string
	mu      sync.Mutex
	command *exec.Cmd
	// bornMS is when the present process was started, in Unix milliseconds.
	bornMS int64
	over   bool
}

// AddProcess starts a runner of a service without models as a process of its own, and registers it in the store.
func (r *Rig) AddProcess(number int, program, service string, slots int) (*Process, error) {
	listener, err := net.Listen("tcp", r.RunnerIP(number)+":0")
	if err != nil {
		return nil, err
	}
	process := &Process{Instance: fmt.Sprintf("i-%08x", 0x7a00+number), Address: listener.Addr().String(), rig: r, program: program}
	_ = listener.Close()
	started := make(chan error, 1)
	go process.keep(started)
	if err := <-started; err != nil {
		return nil, err
	}
	go func() {
		for sequence := 0; ; sequence++ {
			r.Store.Put("servers", process.Instance, map[string]any{
				"service": service, "address": process.Address, "zone": fmt.Sprintf("hall-%d", number%3+1), "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0,
				"sequence": sequence, "born": process.born(),
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return process, nil
}

// keep starts the process, and again whenever it ends.
func (p *Process) keep(started chan<- error) {
	for {
		p.mu.Lock()
		if p.over {
			p.mu.Unlock()
			return
		}
		p.command = exec.Command(p.program, p.Address, p.Instance)
		p.command.Stderr = os.Stderr
		p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err := p.command.Start()
		p.bornMS = time.Now().UnixMilli()
		command := p.command
		p.mu.Unlock()
		if started != nil {
			started <- err
			started = nil
		}
		if err != nil {
			return
		}
		_ = command.Wait()
		p.rig.Note("runner %s has ended", p.Instance)
	}
}

// born returns when the present process was started.
func (p *Process) born() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bornMS
}

// Kill ends the present process with SIGKILL.
func (p *Process) Kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rig.Note("runner %s: killed", p.Instance)
	_ = p.command.Process.Kill()
}

// Stop ends the process for good.
func (p *Process) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	_ = p.command.Process.Kill()
}
