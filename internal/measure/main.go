// Command measure takes the measurements in docs/MEASUREMENTS.md from running
// processes. It sends a bounded number of requests, to loopback addresses only.
package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/adminapi"
	"github.com/cherrystage/cherrystage/internal/adminclient"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

type options struct {
	Entry    string   `long:"entry" default:"127.0.0.1:8080" description:"an entry host's address for callers"`
	Engine   string   `long:"engine" description:"the engine's own address, for comparison"`
	Admins   []string `long:"admin" description:"administration APIs of the hosts, for changes"`
	Key      string   `long:"key" description:"caller's key"`
	AdminKey string   `long:"admin-key" description:"operator's key"`
	Model    string   `long:"model" default:"a1" description:"adapter"`
	Version  string   `long:"version" default:"1" description:"its current version"`
	PID      int      `long:"pid" description:"process ID of the daemon, whose processor time and memory are measured"`
	Requests int      `long:"requests" default:"2000" description:"number of requests in a latency run"`
	Parallel int      `long:"parallel" default:"8" description:"number of concurrent requests"`
	Pieces   int      `long:"pieces" default:"1" description:"number of pieces per answer"`
	Streams  int      `long:"streams" description:"number of streams to open, to measure the memory per stream"`
	Changes  int      `long:"changes" description:"number of changes to make and time"`
}

// ticksPerSecond is the unit of the processor times in /proc/PID/stat.
const ticksPerSecond = 100

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		os.Exit(1)
	}
}

func run(opts options) error {
	for _, address := range []string{opts.Entry, opts.Engine} {
		if host, _, err := net.SplitHostPort(address); address != "" && (err != nil || !net.ParseIP(host).IsLoopback()) {
			return errors.Errorf("%q is not a loopback address", address)
		}
	}
	switch {
	case opts.Changes > 0:
		return measureChanges(opts)
	case opts.Streams > 0:
		return measureStreams(opts)
	default:
		return measureLatency(opts)
	}
}

// measureLatency compares the time to the first byte through the entry host with that of
// the engine called directly, one run after the other.
func measureLatency(opts options) error {
	through := opts.endpoint(opts.Entry, opts.Model)
	direct := opts.endpoint(opts.Engine, opts.Model+"@"+opts.Version)
	if _, err := through.ask(); err != nil {
		return err
	}
	before := cpuSeconds(opts.PID)
	throughTimes, err := through.askAll(opts.Requests, opts.Parallel)
	if err != nil {
		return err
	}
	cpu := cpuSeconds(opts.PID) - before
	directTimes, err := direct.askAll(opts.Requests, opts.Parallel)
	if err != nil {
		return err
	}
	fmt.Printf("first byte through the host: p50 %s p99 %s; direct: p50 %s p99 %s; added p50 %s p99 %s\n",
		percentile(throughTimes, 0.5), percentile(throughTimes, 0.99), percentile(directTimes, 0.5), percentile(directTimes, 0.99),
		percentile(throughTimes, 0.5)-percentile(directTimes, 0.5), percentile(throughTimes, 0.99)-percentile(directTimes, 0.99))
	fmt.Printf("processor time: %.0f µs a request of %d pieces\n", cpu/float64(opts.Requests)*1e6, opts.Pieces)
	return nil
}

func percentile(times []time.Duration, q float64) time.Duration {
	return times[min(len(times)-1, int(q*float64(len(times))))].Round(time.Microsecond)
}

// endpoint is an address that requests are sent to.
type endpoint struct {
	url, key, body string
	client         *http.Client
}

func (o options) endpoint(address, model string) endpoint {
	return endpoint{
		url: "http://" + address + "/v1/completions", key: o.Key,
		body:   fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d}`, model, o.Pieces),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}},
	}
}

func (t endpoint) open() (*http.Response, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, t.url, bytes.NewReader([]byte(t.body)))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.Header.Set("Authorization", "Bearer "+t.key)
	resp, err := t.client.Do(req)
	if err == nil && resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, errors.Errorf("%s: %s", t.url, resp.Status)
	}
	return resp, errors.Wrap(err, t.url)
}

// ask sends one request and returns the time to its first byte.
func (t endpoint) ask() (time.Duration, error) {
	sent := time.Now()
	resp, err := t.open()
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	reader := bufio.NewReader(resp.Body)
	if _, err := reader.ReadByte(); err != nil {
		return 0, errors.Wrap(err, "first byte")
	}
	first := time.Since(sent)
	_, err = io.Copy(io.Discard, reader)
	return first, errors.Wrap(err, "answer")
}

func (t endpoint) askAll(count, parallel int) ([]time.Duration, error) {
	var mu sync.Mutex
	var times []time.Duration
	var failed error
	var wg sync.WaitGroup
	for range parallel {
		wg.Go(func() {
			for range count / parallel {
				first, err := t.ask()
				mu.Lock()
				if err != nil {
					failed = err
				}
				times = append(times, first)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	slices.Sort(times)
	return times, failed
}

// cpuSeconds returns the processor time that a process has used, or 0 if it is
// unknown.
func cpuSeconds(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / ticksPerSecond
}

// residentKB returns a process's resident memory in KB, or 0 if it is unknown.
func residentKB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			number, _ := strconv.Atoi(strings.Fields(rest)[0])
			return number
		}
	}
	return 0
}

// measureStreams opens streams and reports the daemon's memory per stream and the
// processor time per event.
func measureStreams(opts options) error {
	t := opts.endpoint(opts.Entry, opts.Model)
	if _, err := opts.endpoint(opts.Entry, opts.Model).ask(); err != nil {
		return err
	}
	before, cpuBefore, began := residentKB(opts.PID), cpuSeconds(opts.PID), time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	pieces, failed := 0, 0
	for range opts.Streams {
		wg.Go(func() {
			resp, err := t.open()
			if err != nil {
				mu.Lock()
				failed++
				mu.Unlock()
				return
			}
			defer func() { _ = resp.Body.Close() }()
			text, _ := io.ReadAll(resp.Body)
			mu.Lock()
			pieces += bytes.Count(text, []byte("\ndata: {"))
			mu.Unlock()
		})
	}
	peak := before
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	for open := true; open; {
		select {
		case <-done:
			open = false
		case <-time.After(100 * time.Millisecond):
			peak = max(peak, residentKB(opts.PID))
		}
	}
	cpu := cpuSeconds(opts.PID) - cpuBefore
	fmt.Printf("%d streams (%d failed), %d pieces in %.1f s: %.1f KB a stream at the peak (%d KB before, %d KB then); %.2f ms of processor time for 1,000 pieces\n",
		opts.Streams, failed, pieces, time.Since(began).Seconds(), float64(peak-before)/float64(opts.Streams), before, peak, cpu/float64(max(1, pieces))*1e6)
	return nil
}

// measureChanges makes changes through the first host and measures, for each, the time
// until it is in force on all hosts.
func measureChanges(opts options) error {
	var clients []*adminclient.Client
	for _, address := range opts.Admins {
		clients = append(clients, adminclient.New("http://"+address, opts.AdminKey, nil))
	}
	ctx := context.Background()
	var times []time.Duration
	for i := range opts.Changes {
		before, err := clients[0].Status(ctx)
		if err != nil {
			return err
		}
		rule := inventory.Rule{Name: "measured", Caller: fmt.Sprint("c", i), NonIdempotent: true}
		result, err := clients[0].Change(ctx, adminapi.ChangeRequest{
			ChangeID: fmt.Sprintf("measure-%d-%d", os.Getpid(), i), From: before.Revision, Ops: []inventory.Op{{PutRule: &rule}},
		})
		if err != nil {
			return err
		}
		accepted := time.Now()
		for _, client := range clients {
			for {
				status, err := client.Status(ctx)
				if err == nil && status.Revision >= result.Revision {
					break
				}
				time.Sleep(time.Millisecond)
			}
		}
		times = append(times, time.Since(accepted))
	}
	slices.Sort(times)
	fmt.Printf("accepted until in force on %d hosts: p50 %s p99 %s most %s\n", len(clients), percentile(times, 0.5), percentile(times, 0.99), times[len(times)-1].Round(time.Microsecond))
	return nil
}
