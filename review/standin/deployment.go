package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// routeHost is the host name of all routes.
	routeHost = "berth.example"
	// frontPort, readyPort, firstInternalPort and metricsPort are the same on all hosts, each of
	// which has a loopback address of its own; the last is that of the deploy file.
	frontPort         = 18149
	readyPort         = 18141
	firstInternalPort = 17380
	metricsPort       = 7399
	// memoryMB is the memory limit of a process on the site's sheet.
	memoryMB = 284
	// readyTimeout bounds the wait for hosts to become ready.
	readyTimeout = 15 * time.Second
)

// deployment is a store, its operator's configuration and some hosts, on loopback addresses.
type deployment struct {
	rec    *recorder
	dir    string
	daemon []string
	store  *store
	// storeAddress is that of the store's listener.
	storeAddress string
	hosts        []*host

	runnersMu sync.Mutex
	runners   []*runnerProcess
}

// host is an entry host's process.
type host struct {
	name, ip, settings string
	log                string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func newDeployment(rec *recorder) (*deployment, error) {
	dir, err := os.MkdirTemp("", "cherrystage-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir, store: newStore()}
	if d.daemon, err = deployCommand(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, d.store) }()
	return d, nil
}

// deployCommand returns the command of the entry role in the deploy file.
func deployCommand() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if command, ok := strings.CutPrefix(line, `run = "`); ok {
			return strings.Fields(strings.TrimSuffix(strings.TrimSpace(command), `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml has no run line")
}

// freeNetwork returns the prefix of loopback addresses on which the ports of hosts are free.
func freeNetwork(hosts int) (string, error) {
	for i := range 200 {
		prefix := fmt.Sprintf("127.%d.%d.", 60+(os.Getpid()/200)%100, (os.Getpid()+i)%200+1)
		if networkIsFree(prefix, hosts) {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback network")
}

func networkIsFree(prefix string, hosts int) bool {
	for i := range hosts {
		for _, port := range []int{frontPort, readyPort, firstInternalPort, firstInternalPort + 1, metricsPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, i+1, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// startHosts writes the settings of some hosts, starts them and waits until all are ready.
func (d *deployment) startHosts(count int) error {
	prefix, err := freeNetwork(count)
	if err != nil {
		return err
	}
	for i := range count {
		h := &host{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s%d", prefix, i+1)}
		h.settings, h.log = filepath.Join(d.dir, h.name+".toml"), filepath.Join(d.dir, h.name+".log")
		if err := os.WriteFile(h.settings, []byte(d.settingsOf(h, prefix+"1")), 0o600); err != nil {
			return err
		}
		if err := d.start(h); err != nil {
			return err
		}
		d.hosts = append(d.hosts, h)
	}
	for _, h := range d.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
	}
	// Hosts that start together find each other and their witnesses in the first seconds.
	time.Sleep(3 * time.Second)
	return nil
}

func (d *deployment) settingsOf(h *host, seed string) string {
	return fmt.Sprintf(`node = %q
role = "entry"
machineClass = "front"
serves = ["front"]
ip = %q
zone = "kushiro-hall"
region = "hokkaido"
internalPorts = [%d, %d]
seeds = ["%s:8144"]
bootstrap = true
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
[zones]
kushiro-hall = "hokkaido"
[listen]
front = "%s:%d"
readinessAddress = "%s:%d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stabilityWindowMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxSkewMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 54
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
address = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`, h.name, h.ip, firstInternalPort, firstInternalPort+15, seed, h.ip, frontPort, h.ip, readyPort, memoryMB, d.storeAddress)
}

// start starts a host's process with the command of the deploy file.
func (d *deployment) start(h *host) error {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(d.daemon[0], d.daemon[1:]...)
	command.Env = []string{"CHERRYSTAGE_SETTINGS=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = log, log
	// The process ends with this one, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.command, h.exited = command, exited
	h.mu.Unlock()
	d.rec.note("%s started, process %d", h.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		_ = log.Close()
		d.rec.note("%s ended: %v", h.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to a host's process.
func (h *host) signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.command != nil {
		_ = h.command.Process.Signal(signal)
	}
}

func (h *host) front() string { return fmt.Sprintf("%s:%d", h.ip, frontPort) }

// awaitReady waits until the readiness probe is answered with 200.
func (h *host) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/cherrystage/ready", h.ip, readyPort), nil)
		if err != nil {
			cancel()
			return err
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		cancel()
		if err == nil && response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %s", h.name, readyTimeout)
}

// end ends all hosts and runners and removes the folder.
func (d *deployment) end() {
	d.runnersMu.Lock()
	for _, p := range d.runners {
		p.kill()
	}
	d.runnersMu.Unlock()
	for _, h := range d.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	_ = os.RemoveAll(d.dir)
}
