// Package rig starts entry hosts as processes of their own, beside stand-ins of the platform's
// store, of runners and of callers, all on loopback addresses and the real clock.
package rig

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Rig is one run of a script.
type Rig struct {
	Store *Store

	dir     string
	prefix  string
	ports   [5]int
	started time.Time

	mu     sync.Mutex
	record *os.File
	hosts  []*Host
	ended  bool
}

// New prepares a run that writes its record to a file and its settings to a temporary folder.
func New(recordPath string) (*Rig, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	r := &Rig{Store: NewStore(), dir: dir, prefix: fmt.Sprintf("127.%d.%d.", 20+pid%200, pid/200%250), started: time.Now(), record: record}
	return r, r.choosePorts()
}

// serveStore serves the store at an address that only one host calls, and returns it: on loopback addresses a caller
// does not show which host it is.
func (r *Rig) serveStore(host string, number int) (string, error) {
	listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", r.prefix, 100+number))
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: r.Store.For(host)}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// choosePorts chooses ports that are free at the addresses of the hosts: for callers, readiness, control, and two
// internal ones in a row.
func (r *Rig) choosePorts() error {
	for first := 20000 + os.Getpid()%5000; first < 32000; first += 10 {
		free := true
		for host := 1; host <= 8 && free; host++ {
			for offset := range 5 {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", r.prefix, host, first+offset))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			r.ports = [5]int{first, first + 1, first + 2, first + 3, first + 4}
			return nil
		}
	}
	return fmt.Errorf("no free ports")
}

// Note writes a line to the record.
func (r *Rig) Note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ended {
		fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
	}
}

// Close ends all processes that were started, and the record.
func (r *Rig) Close() {
	r.mu.Lock()
	hosts := r.hosts
	r.mu.Unlock()
	for _, host := range hosts {
		host.Kill()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	_ = r.record.Close()
	_ = os.RemoveAll(r.dir)
}

// RunnerIP returns the address of a runner.
func (r *Rig) RunnerIP(number int) string { return fmt.Sprintf("%s%d", r.prefix, 20+number) }

// Host is an entry host, a process of its own.
type Host struct {
	Number int
	// IP is its address, Front that for callers.
	IP, Front, ready string

	rig      *Rig
	settings string
	files    uint64

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	// ending is set once the script itself ends the process.
	ending bool
	// EndedItself is how often the process ended though nobody had ended it.
	endedItself int
}

// Limits are those of an entry host's machine.
type Limits struct {
	MemoryMB, Files int
}

// AddHost writes the settings of host number and starts it. The seeds name all hosts up to count.
func (r *Rig) AddHost(number, count int, limits Limits) (*Host, error) {
	ip := fmt.Sprintf("%s%d", r.prefix, number)
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, r.ports[port]) }
	var seeds []string
	for seed := 1; seed <= min(3, count); seed++ {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s%d:%d", r.prefix, seed, r.ports[2])))
	}
	zone := fmt.Sprintf("hall-%d", (number-1)%3+1)
	store, err := r.serveStore(ip, number)
	if err != nil {
		return nil, err
	}
	text := fmt.Sprintf(`node = "front-%[1]s-%[2]d"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = %[3]q
zone = %[1]q
region = "area"
internalPorts = [%[4]d,%[5]d]
seeds = [%[6]s]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
[zones]
hall-1 = "area"
hall-2 = "area"
hall-3 = "area"
[listen]
front = %[7]q
readinessAddress = %[8]q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %[9]d
maxFds = %[10]d
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stabilityWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 56
recoveryS = 12
passMs = 120
retryAfterS = 0
requireFence = false
leaseMs = 3000
thawSlackMs = 300
ceilingWindowS = 5
ceilingOvershoot = 1.1
version_ms = 5000
[platform]
address = %[11]q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`, zone, number, ip, r.ports[3], r.ports[4], strings.Join(seeds, ","), at(0), at(1), limits.MemoryMB, limits.Files, store)
	path := filepath.Join(r.dir, fmt.Sprintf("boot-%d.toml", number))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	host := &Host{Number: number, IP: ip, Front: at(0), ready: at(1), rig: r, settings: path, files: uint64(limits.Files)}
	r.mu.Lock()
	r.hosts = append(r.hosts, host)
	r.mu.Unlock()
	return host, host.Start()
}

// Start starts the host's process with the command of the deploy file.
func (h *Host) Start() error {
	command := exec.Command("target/cherrystaged", "--platform")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHERRYSTAGE_SETTINGS=" + h.settings}
	log, err := os.OpenFile(filepath.Join(h.rig.dir, fmt.Sprintf("host-%d.log", h.Number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	limit := unix.Rlimit{Cur: h.files, Max: h.files}
	if err := unix.Prlimit(command.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return err
	}
	done := make(chan struct{})
	h.mu.Lock()
	h.command, h.done, h.ending = command, done, false
	h.mu.Unlock()
	h.rig.Note("host %d started, process %d", h.Number, command.Process.Pid)
	go h.wait(command, done)
	return nil
}

func (h *Host) wait(command *exec.Cmd, done chan struct{}) {
	err := command.Wait()
	h.mu.Lock()
	if !h.ending {
		h.endedItself++
		h.rig.Note("host %d ended by itself: %v; its last lines:\n%s", h.Number, err, h.LastLines(4))
	}
	h.mu.Unlock()
	close(done)
}

// EndedItself returns how often the process ended though nobody had ended it.
func (h *Host) EndedItself() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.endedItself
}

// Signal sends a signal to the process.
func (h *Host) Signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		h.ending = true
	}
	h.rig.Note("host %d: %s", h.Number, signal)
	_ = h.command.Process.Signal(signal)
}

// Kill ends the process and waits for its end.
func (h *Host) Kill() {
	h.Signal(syscall.SIGKILL)
	<-h.done
}

// Wait waits for the end of the process.
func (h *Host) Wait() { <-h.done }

// LastLines returns the last lines that the host has written.
func (h *Host) LastLines(count int) string {
	text, _ := os.ReadFile(filepath.Join(h.rig.dir, fmt.Sprintf("host-%d.log", h.Number)))
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}

// Lines returns the lines of the host's log that hold a text.
func (h *Host) Lines(holding string) []string {
	text, _ := os.ReadFile(filepath.Join(h.rig.dir, fmt.Sprintf("host-%d.log", h.Number)))
	var found []string
	for _, line := range strings.Split(string(text), "\n") {
		if strings.Contains(line, holding) {
			found = append(found, line)
		}
	}
	return found
}

// Ready asks the host whether it is ready, as the platform does.
func (h *Host) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/cherrystage/ready", nil)
	if err != nil {
		return false
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all hosts are ready.
func AwaitReady(hosts []*Host, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, host := range hosts {
			if host.Ready() {
				ready++
			}
		}
		if ready == len(hosts) {
			return true
		}
	}
	return false
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// Troubled reports whether the script is to bring about its disruption.
func Troubled() bool { return os.Getenv("TROUBLE") != "0" }

// PID returns the number of the host's process.
func (h *Host) PID() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.command.Process.Pid
}
