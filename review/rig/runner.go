package rig

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is a request that a runner began to work on.
type Run struct {
	ID, Path, From string
	At             time.Time
	Whole          bool
}

// Runner is a stand-in for a runner of a service without models.
type Runner struct {
	Instance, Address, Zone, Service string
	// Version is the version of its software.
	Version string
	Slots   int
	// Work is how long it works on a request, by the prefix of its path.
	Work map[string]time.Duration

	rig    *Rig
	born   int64
	mu     sync.Mutex
	runs   []Run
	closed chan struct{}
	server *http.Server
}

// AddRunner starts a runner and registers it in the store, which it goes on doing about every 1.2 s.
func (r *Rig) AddRunner(number int, service string, slots int, work map[string]time.Duration) (*Runner, error) {
	return r.AddRunnerOf(number, service, "v1", slots, work)
}

// AddRunnerOf is AddRunner for a version of the runners' software.
func (r *Rig) AddRunnerOf(number int, service, version string, slots int, work map[string]time.Duration) (*Runner, error) {
	listener, err := net.Listen("tcp", r.RunnerIP(number)+":0")
	if err != nil {
		return nil, err
	}
	runner := &Runner{
		Instance: fmt.Sprintf("i-%08x", 0x5f00+number), Address: listener.Addr().String(), Zone: fmt.Sprintf("hall-%d", number%3+1),
		Service: service, Version: version, Slots: slots, Work: work, rig: r, born: time.Now().UnixMilli(), closed: make(chan struct{}),
	}
	runner.server = &http.Server{Handler: runner}
	go func() { _ = runner.server.Serve(listener) }()
	go runner.beat()
	return runner, nil
}

func (r *Runner) beat() {
	ticker := time.NewTicker(1200 * time.Millisecond)
	defer ticker.Stop()
	for sequence := 0; ; sequence++ {
		r.rig.Store.Put("servers", r.Instance, map[string]any{
			"service": r.Service, "address": r.Address, "zone": r.Zone, "version": r.Version, "slots": r.Slots, "state": "ready", "coldLeftMs": 0, "sequence": sequence, "born": r.born,
		})
		select {
		case <-r.closed:
			return
		case <-ticker.C:
		}
	}
}

// Leave removes the runner's entry without a word before; the runner goes on serving.
func (r *Runner) Leave() {
	close(r.closed)
	time.Sleep(5 * time.Millisecond)
	r.rig.Store.Remove("servers", r.Instance)
	r.rig.Note("runner %s leaves: its entry has been removed", r.Instance)
}

// End ends the runner with all its connections.
func (r *Runner) End() {
	r.rig.Note("runner %s ends", r.Instance)
	_ = r.server.Close()
}

// Runs returns the requests that the runner began to work on.
func (r *Runner) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("X-Cherrystage-Expect-Instance"); expected != "" && expected != r.Instance {
		w.Header().Set("X-Cherrystage-Instance-Id", r.Instance)
		w.Header().Set("X-Cherrystage-Request-Id", request.Header.Get("X-Cherrystage-Request-Id"))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/health" {
		w.Header().Set("X-Cherrystage-Instance-Id", r.Instance)
		return
	}
	id := request.Header.Get("X-Cherrystage-Request-Id")
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	r.mu.Lock()
	number := len(r.runs)
	r.runs = append(r.runs, Run{ID: id, Path: request.URL.Path, From: hostOf(request.RemoteAddr), At: time.Now()})
	r.mu.Unlock()
	r.rig.Note("runner %s runs %s from %s", r.Instance, id, hostOf(request.RemoteAddr))
	if strings.HasPrefix(request.URL.Path, streamPrefix) {
		r.stream(w, request, id)
		return
	}
	select {
	case <-time.After(r.workOn(request.URL.Path)):
	case <-request.Context().Done():
		r.rig.Note("runner %s: the channel of %s was closed while it ran", r.Instance, id)
		return
	}
	w.Header().Set("X-Cherrystage-Request-Id", id)
	w.Header().Set("X-Cherrystage-Response-Stamp", "stamp-"+r.Instance+"-"+id)
	if _, err := fmt.Fprintf(w, "answer to %s\n", id); err == nil {
		r.mu.Lock()
		r.runs[number].Whole = true
		r.mu.Unlock()
	}
}

func (r *Runner) workOn(path string) time.Duration {
	for prefix, work := range r.Work {
		if strings.HasPrefix(path, prefix) {
			return work
		}
	}
	return 0
}

// Streams are answered on streamPrefix: Events events with increasing ids, one each eventEvery.
const (
	streamPrefix = "/live/"
	Events       = 60
	eventEvery   = 150 * time.Millisecond
)

// stream answers with the events behind the one that the request names.
func (r *Runner) stream(w http.ResponseWriter, request *http.Request, id string) {
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Cherrystage-Request-Id", id)
	w.Header().Set("X-Cherrystage-Response-Stamp", "stamp-"+r.Instance+"-"+id)
	for number := last + 1; number <= Events; number++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", number, number, r.Version); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-time.After(eventEvery):
		case <-request.Context().Done():
			return
		}
	}
}
