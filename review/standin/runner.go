package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runnerOptions say how a runner stand-in behaves. A runner is a process of its own, so that it can
// be killed.
type runnerOptions struct {
	Instance, Address, Service string
	// Born is the Unix millisecond of the process's start.
	Born int64
	// Engine is set for a model runner. It holds base models and adapters, and takes orders.
	Engine bool
	// Events is the number of events of a stream, one each Interval; with none, a request is
	// answered after Work with a body.
	Events         int
	Interval, Work time.Duration
	// CrashPart is a part of prompts, never the last, on which the runner crashes as it begins to
	// write an answer; "" for none.
	CrashPart string
}

// modelName is the base model of all engines, adapterSlots the places for its adapters.
const (
	modelName    = "base"
	adapterSlots = 30
)

// runnerEvent is a line that a runner writes: what it received and what it did.
type runnerEvent struct {
	Runner string `json:"runner"`
	What   string `json:"what"`
	ID     string `json:"id,omitempty"`
	Method string `json:"method,omitempty"`
	// Target is the request line's target, Path the path that a server reads from it.
	Target string `json:"target,omitempty"`
	Path   string `json:"path,omitempty"`
	Host   string `json:"host,omitempty"`
	Bytes  int64  `json:"bytes,omitempty"`
	Events int    `json:"events,omitempty"`
	// Crashing is set for a request with the part that crashes the runner.
	Crashing bool `json:"crashing,omitempty"`
}

// runnerProcess is a runner of which this process is the parent.
type runnerProcess struct {
	options runnerOptions
	command *exec.Cmd
	exited  chan struct{}
}

// startRunner starts a runner's process, lists it in the store and passes its events on.
func (d *deployment) startRunner(options runnerOptions, onEvent func(runnerEvent)) (*runnerProcess, error) {
	options.Born = time.Now().UnixMilli()
	encoded, err := json.Marshal(options)
	if err != nil {
		return nil, err
	}
	command := exec.Command(os.Args[0], "runner", string(encoded))
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &runnerProcess{options: options, command: command, exited: make(chan struct{})}
	listening := make(chan struct{})
	go func() {
		p.readEvents(output, listening, onEvent)
		_ = command.Wait()
		close(p.exited)
	}()
	select {
	case <-listening:
	case <-p.exited:
		return nil, fmt.Errorf("runner %s ended at its start", options.Instance)
	}
	d.runnersMu.Lock()
	d.runners = append(d.runners, p)
	d.runnersMu.Unlock()
	d.rec.note("runner %s started at %s, process %d", options.Instance, options.Address, command.Process.Pid)
	d.store.put("servers", options.Instance, options.entry("ready"))
	return p, nil
}

func (p *runnerProcess) readEvents(output io.Reader, listening chan<- struct{}, onEvent func(runnerEvent)) {
	var once sync.Once
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var event runnerEvent
		if json.Unmarshal(lines.Bytes(), &event) != nil {
			continue
		}
		if event.What == "listening" {
			once.Do(func() { close(listening) })
			continue
		}
		if onEvent != nil {
			onEvent(event)
		}
	}
}

// kill ends a runner's process as a crash does.
func (p *runnerProcess) kill() {
	_ = p.command.Process.Signal(syscall.SIGKILL)
	<-p.exited
}

// entry is the runner's entry in the store.
func (o runnerOptions) entry(state string) map[string]any {
	slots := 6
	if o.Engine {
		slots = 64
	}
	entry := map[string]any{
		"service": o.Service, "address": o.Address, "zone": "kushiro-hall", "version": "v1", "slots": slots,
		"state": state, "coldLeftMs": 0, "sequence": 1, "born": o.Born,
	}
	if o.Engine {
		entry["stage"] = "colocated"
		entry["models"] = []any{map[string]any{"name": modelName, "version": 1, "adapters": []string{}}}
	}
	return entry
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// runnerMain is the process of a runner.
func runnerMain(encoded string) error {
	r := &runner{adapters: map[string]bool{}}
	if err := json.Unmarshal([]byte(encoded), &r.options); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", r.options.Address)
	if err != nil {
		return err
	}
	r.emit(runnerEvent{What: "listening"})
	return http.Serve(listener, r)
}

// runner is a sound server that speaks what PROTOCOL.md says of runners.
type runner struct {
	options runnerOptions

	outputMu sync.Mutex

	mu       sync.Mutex
	sequence int64
	adapters map[string]bool
	running  int
}

func (r *runner) emit(event runnerEvent) {
	event.Runner = r.options.Instance
	r.outputMu.Lock()
	defer r.outputMu.Unlock()
	_ = json.NewEncoder(os.Stdout).Encode(event)
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("X-Cherrystage-Instance-Id", r.options.Instance)
	if expected := request.Header.Get("X-Cherrystage-Expect-Instance"); expected != "" && expected != r.options.Instance {
		w.Header().Set("X-Cherrystage-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/health":
		w.WriteHeader(http.StatusOK)
	case "/cherrystage/report":
		r.report(w)
	case "/cherrystage/order":
		r.order(w, request)
	default:
		r.request(w, request)
	}
}

func (r *runner) report(w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := []string{}
	for name := range r.adapters {
		held = append(held, name+"@1")
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "colocated", "busy": false, "sequence": r.sequence, "waiting": 0, "running": r.running,
		"kvUsed": 0, "kvTotal": 154016, "handles": 0, "born": r.options.Born, "incoming": []string{},
		"models": []any{map[string]any{"name": modelName, "version": 1, "adapters": held}},
	})
}

// order carries an order out at once.
func (r *runner) order(w http.ResponseWriter, request *http.Request) {
	var body struct {
		Operation, Model, Adapter, Holder string
		Precondition                      *int64
		FenceToken                        uint64
	}
	if json.NewDecoder(request.Body).Decode(&body) != nil || body.Holder == "" || body.FenceToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case body.Precondition != nil && *body.Precondition != r.sequence:
		w.WriteHeader(http.StatusConflict)
		return
	case body.Operation == "load":
		r.adapters[body.Adapter] = true
	default:
		delete(r.adapters, body.Adapter)
	}
	r.sequence++
	if len(r.adapters) > adapterSlots {
		os.Exit(1)
	}
	w.WriteHeader(http.StatusOK)
}

// request runs a request.
func (r *runner) request(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Cherrystage-Request-Id")
	w.Header().Set("X-Cherrystage-Request-Id", id)
	if id == "" {
		w.Header().Set("X-Cherrystage-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	read, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		return
	}
	if !r.holds(request.Header.Get("X-Cherrystage-Model")) {
		w.Header().Set("X-Cherrystage-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	crashing := r.crashesOn(request.Header.Get("X-Cherrystage-Prompt-Prefix"))
	r.emit(runnerEvent{What: "runs", ID: id, Method: request.Method, Target: request.RequestURI, Path: request.URL.Path, Host: request.Host, Bytes: read, Crashing: crashing})
	r.count(1)
	defer r.count(-1)
	if crashing {
		time.Sleep(r.options.Interval)
		os.Exit(1)
	}
	stamp := "stamp-" + r.options.Instance + "-" + id
	switch {
	case r.options.Events == 0:
		r.answer(w, request, id, stamp)
	default:
		r.stream(w, request, id, stamp)
	}
}

// crashesOn reports whether a prompt has the part that crashes the runner.
func (r *runner) crashesOn(prefix string) bool {
	parts := strings.Split(prefix, ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); r.options.CrashPart != "" && id == r.options.CrashPart {
			return true
		}
	}
	return false
}

func (r *runner) count(by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running += by
}

// holds reports whether the adapter of a request for a model is present.
func (r *runner) holds(model string) bool {
	if !r.options.Engine {
		return true
	}
	name, adapter, named := strings.Cut(model, "/")
	r.mu.Lock()
	defer r.mu.Unlock()
	return name == modelName && (!named || r.adapters[adapter])
}

// wholeAnswer is the body of an answer that is no stream.
func wholeAnswer(id string) string { return "answer to " + id + "\n" }

func (r *runner) answer(w http.ResponseWriter, request *http.Request, id, stamp string) {
	select {
	case <-time.After(r.options.Work):
	case <-request.Context().Done():
		r.emit(runnerEvent{What: "left by its caller", ID: id})
		return
	}
	w.Header().Set("X-Cherrystage-Response-Stamp", stamp)
	_, _ = io.WriteString(w, wholeAnswer(id))
	r.emit(runnerEvent{What: "answered", ID: id})
}

// streamEvent is an event of a stream.
func streamEvent(number int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number) }

func (r *runner) stream(w http.ResponseWriter, request *http.Request, id, stamp string) {
	w.Header().Set("X-Cherrystage-Response-Stamp", stamp)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= r.options.Events; i++ {
		select {
		case <-time.After(r.options.Interval):
		case <-request.Context().Done():
			r.emit(runnerEvent{What: "left by its caller", ID: id, Events: i - 1})
			return
		}
		_, _ = io.WriteString(w, streamEvent(i))
		_ = http.NewResponseController(w).Flush()
	}
	r.emit(runnerEvent{What: "answered", ID: id, Events: r.options.Events})
}
