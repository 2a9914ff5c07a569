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

// EngineConfig configures a stand-in engine.
type EngineConfig struct {
	ID          string
	Slots       int
	MaxBatch    int
	TokenTime   time.Duration
	LoadTime    time.Duration
	ReportLag   time.Duration
	ChecksFence bool
	Tokens      int
	WeightStore *WeightStore
	// FailingModels names models whose load always fails.
	FailingModels map[string]bool
}

// Engine is a stand-in for a model engine. It counts protocol violations for the tests.
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
	// running counts the running requests and runningAt is when it last changed. busy is
	// the time with any running request; work is the time that requests have spent in the
	// batch, summed over all of them.
	running    int
	runningAt  time.Time
	busy, work time.Duration
}

// BatchUtilization returns the time during which any request was running, and the mean
// share of the batch in use during it.
func (e *Engine) BatchUtilization() (busy time.Duration, fill float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accountLocked(0)
	if e.busy == 0 {
		return 0, 0
	}
	return e.busy, float64(e.work) / float64(e.busy) / float64(e.cfg.MaxBatch)
}

// accountLocked updates busy and work and changes the number of running requests.
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

// Faults are the faults that an engine injects.
type Faults struct {
	WrongName    bool // answers with another adapter's name
	ResetAt      int  // resets the connection before this event, if above zero
	SilentAt     int  // stops writing at this event until resumed, if above zero
	Shuffle      bool // sends events out of order and repeats some
	RefuseNotRun int  // number of requests to refuse as not run
	Fail500      int  // number of requests to fail with status 500
	HoldOrder    func(order engine.Order)
}

// Counts holds an engine's counters. StaleOrders counts orders refused for an old fencing
// token, EvictedInUse evictions of adapters with running requests, NoSlot loads that found
// no free slot.
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

// NewEngine returns an engine with empty slots.
func NewEngine(cfg EngineConfig) *Engine {
	e := &Engine{cfg: cfg, runs: map[string]int{}}
	e.Restart()
	return e
}

// Restart simulates a cold start: the engine has a new boot identifier and empty slots.
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

// Counts returns the engine's counters.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Runs returns how often the engine began a caller's request.
func (e *Engine) Runs(request string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request]
}

// ResidentCount returns the number of slots that hold or are loading a model.
func (e *Engine) ResidentCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.resident)
}

// Resident reports whether a model is loaded.
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
	w.Header().Set(engine.HeaderRequestID, r.Header.Get(engine.HeaderRequestID))
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "not a completion request", true)
		return
	}
	if status, code := e.checkRequest(req.Model); status != 0 {
		writeError(w, status, code, req.Model, status != http.StatusInternalServerError)
		return
	}
	st := e.startStream(r, req)
	defer e.endStream(st)
	e.writeEvents(w, r, st, 0)
}

func (e *Engine) checkRequest(model string) (int, string) {
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

func (e *Engine) startStream(r *http.Request, req completionRequest) *stream {
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

// endStream frees the stream's place in the batch. The stream is kept so that it can be
// resumed.
func (e *Engine) endStream(st *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accountLocked(-1)
	if s := e.resident[st.model]; s != nil {
		s.running--
	}
}

func (e *Engine) writeEvents(w http.ResponseWriter, r *http.Request, st *stream, from int) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	e.mu.Lock()
	faults := e.faults
	e.mu.Unlock()
	for _, position := range eventOrder(from, st.tokens, faults.Shuffle) {
		if !e.waitUntilDue(r, st, position) {
			return
		}
		if faults.ResetAt > 0 && position == faults.ResetAt && from == 0 {
			panic(http.ErrAbortHandler)
		}
		if faults.SilentAt > 0 && position == faults.SilentAt && from == 0 {
			<-r.Context().Done()
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", position, e.eventData(st, position, faults.WrongName))
		flusher.Flush()
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: [DONE]\n\n", st.tokens)
}

func (e *Engine) waitUntilDue(r *http.Request, st *stream, position int) bool {
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

// eventOrder returns the positions of the events to write. With shuffle, the events of each
// pair are swapped and the later one is sent twice.
func eventOrder(from, to int, shuffle bool) []int {
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

func (e *Engine) eventData(st *stream, position int, wrongName bool) string {
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
		writeError(w, http.StatusNotFound, "unknown_stream", id, false)
		return
	}
	if r.Method == http.MethodDelete {
		st.once.Do(func() { close(st.canceled) })
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	e.writeEvents(w, r, st, from)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", "not an order", true)
		return
	}
	e.mu.Lock()
	hold := e.faults.HoldOrder
	e.mu.Unlock()
	if hold != nil {
		hold(order)
	}
	status, code := e.applyOrder(order)
	if code == "" && order.Kind == engine.OrderLoad {
		status, code = e.load(order.Model)
	}
	if code != "" {
		writeError(w, status, code, order.Model, true)
		return
	}
	writeJSON(w, http.StatusOK, order)
}

func (e *Engine) applyOrder(order engine.Order) (int, string) {
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
	e.cfg.WeightStore.fetch(e.cfg.LoadTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Loads++
	if e.boot != boot {
		return http.StatusInternalServerError, engine.CodeLoadFailed
	}
	if e.cfg.FailingModels[model] {
		delete(e.resident, model)
		return http.StatusInternalServerError, engine.CodeLoadFailed
	}
	s.ready = true
	return http.StatusOK, ""
}

// report returns the newest report that is at least ReportLag old, or the oldest one.
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

func writeError(w http.ResponseWriter, status int, code, message string, notRun bool) {
	if notRun {
		w.Header().Set(engine.HeaderNotRun, "true")
	}
	writeJSON(w, status, engine.ErrorResponse{Code: code, Message: message})
}
