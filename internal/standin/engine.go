package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
)

// EngineConfig sets how a stand-in engine behaves.
type EngineConfig struct {
	ID          string
	Slots       int
	MaxBatch    int
	TokenTime   time.Duration
	LoadTime    time.Duration
	ReportLag   time.Duration
	ChecksFence bool
	Tokens      int
	Weights     *Weights
	// Broken names models whose load always fails.
	Broken map[string]bool
}

// Engine plays a model engine. It counts broken promises for the tests.
type Engine struct {
	cfg EngineConfig

	mu       sync.Mutex
	boot     int
	fence    uint64
	resident map[string]*slot
	streams  map[string]*stream
	reports  []timedReport
	seq      uint64
	faults   Faults
	counts   Counts
	runs     map[string]int
	// running requests over time, for the mean fill of the steps that were run.
	running    int
	runningAt  time.Time
	busy, work time.Duration
}

// Fill gives the mean share of the batch that was used, over the time in which
// the engine ran at all.
func (e *Engine) Fill() (busy time.Duration, fill float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accountLocked(0)
	if e.busy == 0 {
		return 0, 0
	}
	return e.busy, float64(e.work) / float64(e.busy) / float64(e.cfg.MaxBatch)
}

func (e *Engine) accountLocked(change int) {
	now := time.Now()
	if e.running > 0 {
		elapsed := now.Sub(e.runningAt)
		e.busy += elapsed
		e.work += elapsed * time.Duration(min(e.running, e.cfg.MaxBatch))
	}
	e.running += change
	e.runningAt = now
}

// Faults switches an engine's misbehaviour.
type Faults struct {
	WrongName    bool // answers under another adapter's name
	ResetAt      int  // cuts the connection before this piece, when above zero
	SilentAt     int  // stops writing at this piece until resumed, when above zero
	Shuffle      bool // sends pieces out of order and twice
	RefuseNotRun int  // refuses so many requests as not run
	Fail500      int  // fails so many requests with status 500
	HoldOrder    func(order engine.Order)
}

// Counts tells what an engine saw.
type Counts struct {
	Requests, Cancels, Resumes, Loads, Evictions, StaleOrders int
	EvictedInUse, NoSlot                                      int
}

type slot struct {
	ready   bool
	running int
}

type stream struct {
	model    string
	chat     bool
	tokens   int
	canceled chan struct{}
	once     sync.Once
	started  time.Time
}

type timedReport struct {
	at     time.Time
	report engine.Report
}

// NewEngine makes an engine with empty slots.
func NewEngine(cfg EngineConfig) *Engine {
	e := &Engine{cfg: cfg, runs: map[string]int{}}
	e.Restart()
	return e
}

// Restart empties the engine as a cold start does.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot++
	e.resident = map[string]*slot{}
	e.streams = map[string]*stream{}
	e.reports = nil
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Counts gives what the engine saw so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Runs tells how often a caller's request was begun here.
func (e *Engine) Runs(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}

// ResidentCount gives the number of slots that hold a model.
func (e *Engine) ResidentCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.resident)
}

// Resident tells whether a model is loaded.
func (e *Engine) Resident(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.resident[model]
	return s != nil && s.ready
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/v1/completions", r.URL.Path == "/v1/chat/completions":
		e.complete(w, r)
	case r.URL.Path == "/v1/orders":
		e.order(w, r)
	case r.URL.Path == "/v1/load":
		writeJSON(w, http.StatusOK, e.report(time.Now()))
	case strings.HasPrefix(r.URL.Path, "/v1/streams/"):
		e.streamCall(w, r, strings.TrimPrefix(r.URL.Path, "/v1/streams/"))
	default:
		http.NotFound(w, r)
	}
}

type completionRequest struct {
	Model     string `json:"model"`
	MaxTokens int    `json:"max_tokens"`
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", "not a completion request", true)
		return
	}
	if status, code := e.refusal(req.Model); status != 0 {
		refuse(w, status, code, req.Model, status != http.StatusInternalServerError)
		return
	}
	st := e.begin(r, req)
	defer e.end(st)
	e.write(w, r, st, 0)
}

func (e *Engine) refusal(model string) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Requests++
	if e.faults.Fail500 > 0 {
		e.faults.Fail500--
		return http.StatusInternalServerError, "internal"
	}
	if e.faults.RefuseNotRun > 0 {
		e.faults.RefuseNotRun--
		return http.StatusServiceUnavailable, engine.CodeBusy
	}
	if s := e.resident[model]; s == nil || !s.ready {
		return http.StatusNotFound, engine.CodeNotLoaded
	}
	return 0, ""
}

func (e *Engine) begin(r *http.Request, req completionRequest) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := req.MaxTokens
	if tokens <= 0 {
		tokens = e.cfg.Tokens
	}
	st := &stream{
		model:    req.Model,
		chat:     r.URL.Path == "/v1/chat/completions",
		tokens:   tokens,
		canceled: make(chan struct{}),
		started:  time.Now(),
	}
	e.resident[req.Model].running++
	e.accountLocked(1)
	e.runs[r.Header.Get(engine.HeaderTrace)]++
	e.streams[r.Header.Get(engine.HeaderRequestID)] = st
	return st
}

// end leaves the stream's record, so that it can be resumed, and frees its
// place in the batch.
func (e *Engine) end(st *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accountLocked(-1)
	if s := e.resident[st.model]; s != nil {
		s.running--
	}
}

func (e *Engine) write(w http.ResponseWriter, r *http.Request, st *stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	e.mu.Lock()
	faults := e.faults
	e.mu.Unlock()
	for _, position := range order(from, st.tokens, faults.Shuffle) {
		if !e.waitFor(r, st, position) {
			return
		}
		if faults.ResetAt > 0 && position == faults.ResetAt && from == 0 {
			panic(http.ErrAbortHandler)
		}
		if faults.SilentAt > 0 && position == faults.SilentAt && from == 0 {
			<-r.Context().Done()
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", position, e.piece(st, position, faults.WrongName))
		flusher.Flush()
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", st.tokens)
}

func (e *Engine) waitFor(r *http.Request, st *stream, position int) bool {
	due := st.started.Add(time.Duration(position+1) * e.cfg.TokenTime)
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-st.canceled:
		return false
	case <-r.Context().Done():
		return false
	}
}

// order gives the positions to write; shuffled, every second pair is swapped
// and its first piece sent twice.
func order(from, to int, shuffle bool) []int {
	var positions []int
	for position := from; position < to; position++ {
		positions = append(positions, position)
	}
	if !shuffle {
		return positions
	}
	var shuffled []int
	for i := 0; i < len(positions); i += 2 {
		if i+1 < len(positions) {
			shuffled = append(shuffled, positions[i+1], positions[i], positions[i+1])
			continue
		}
		shuffled = append(shuffled, positions[i])
	}
	return shuffled
}

func (e *Engine) piece(st *stream, position int, wrongName bool) string {
	model := st.model
	if wrongName {
		model = "someone-else@1"
	}
	finish := "null"
	if position == st.tokens-1 {
		finish = `"stop"`
	}
	content := fmt.Sprintf(`"text":"t%d "`, position)
	if st.chat {
		content = fmt.Sprintf(`"delta":{"content":"t%d "}`, position)
	}
	return fmt.Sprintf(`{"id":"cmpl","model":%q,"served_by":%q,"choices":[{"index":0,%s,"finish_reason":%s}]}`,
		model, e.cfg.ID, content, finish)
}

func (e *Engine) streamCall(w http.ResponseWriter, r *http.Request, id string) {
	e.mu.Lock()
	st := e.streams[id]
	if r.Method == http.MethodDelete {
		e.counts.Cancels++
	} else {
		e.counts.Resumes++
	}
	e.mu.Unlock()
	if st == nil {
		refuse(w, http.StatusNotFound, "unknown_stream", id, false)
		return
	}
	if r.Method == http.MethodDelete {
		st.once.Do(func() { close(st.canceled) })
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	e.write(w, r, st, from)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		refuse(w, http.StatusBadRequest, "bad_request", "not an order", true)
		return
	}
	e.mu.Lock()
	hold := e.faults.HoldOrder
	e.mu.Unlock()
	if hold != nil {
		hold(order)
	}
	status, code := e.take(order)
	if code == "" && order.Kind == engine.OrderLoad {
		status, code = e.load(order.Model)
	}
	if code != "" {
		refuse(w, status, code, order.Model, true)
		return
	}
	writeJSON(w, http.StatusOK, order)
}

func (e *Engine) take(order engine.Order) (int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFence && order.Fence < e.fence {
		e.counts.StaleOrders++
		return http.StatusConflict, engine.CodeStaleFence
	}
	e.fence = max(e.fence, order.Fence)
	if order.Kind == engine.OrderEvict {
		if s := e.resident[order.Model]; s != nil {
			e.counts.Evictions++
			if s.running > 0 {
				e.counts.EvictedInUse++
			}
		}
		delete(e.resident, order.Model)
		return http.StatusOK, ""
	}
	if e.resident[order.Model] == nil && len(e.resident) >= e.cfg.Slots {
		e.counts.NoSlot++
		return http.StatusConflict, engine.CodeNoSlot
	}
	if e.resident[order.Model] == nil {
		e.resident[order.Model] = &slot{}
	}
	return http.StatusOK, ""
}

func (e *Engine) load(model string) (int, string) {
	e.mu.Lock()
	boot := e.boot
	s := e.resident[model]
	e.mu.Unlock()
	if s.ready {
		return http.StatusOK, ""
	}
	e.cfg.Weights.fetch(e.cfg.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Loads++
	if e.boot != boot {
		return http.StatusInternalServerError, engine.CodeLoadFailed
	}
	if e.cfg.Broken[model] {
		delete(e.resident, model)
		return http.StatusInternalServerError, engine.CodeLoadFailed
	}
	s.ready = true
	return http.StatusOK, ""
}

// report gives the newest report that is at least the lag old.
func (e *Engine) report(now time.Time) engine.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	e.reports = append(e.reports, timedReport{at: now, report: e.currentLocked()})
	chosen := e.reports[0]
	kept := 0
	for i, candidate := range e.reports {
		if now.Sub(candidate.at) >= e.cfg.ReportLag {
			chosen = candidate
			kept = i
		}
	}
	e.reports = e.reports[kept:]
	report := chosen.report
	report.LagMS = now.Sub(chosen.at).Milliseconds()
	return report
}

func (e *Engine) currentLocked() engine.Report {
	report := engine.Report{
		BootID:   e.cfg.ID + "-" + strconv.Itoa(e.boot),
		Seq:      e.seq,
		Slots:    e.cfg.Slots,
		MaxBatch: e.cfg.MaxBatch,
	}
	for model, s := range e.resident {
		if !s.ready {
			continue
		}
		report.Resident = append(report.Resident, engine.ResidentModel{Model: model, Running: s.running})
		report.Running += s.running
	}
	report.Fill = min(1, float64(report.Running)/float64(e.cfg.MaxBatch))
	return report
}

func refuse(w http.ResponseWriter, status int, code, message string, notRun bool) {
	if notRun {
		w.Header().Set(engine.HeaderNotRun, "true")
	}
	writeJSON(w, status, engine.ErrorResponse{Code: code, Message: message})
}
