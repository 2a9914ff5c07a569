package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/board"
	"github.com/cherrystage/cherrystage/internal/directory"
	"github.com/cherrystage/cherrystage/internal/forward"
	"github.com/cherrystage/cherrystage/internal/quarantine"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/retrybudget"
	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// Names of the deployment that requests are served in.
const (
	llm   = "llm"
	model = "base"
	// stampHeader marks a runner's answers, versionHeader is the version that a
	// request is meant for, notRunHeader a runner's word that it did not run one.
	stampHeader   = "Stamp"
	versionHeader = "Version"
	notRunHeader  = "Not-Run"
	// instanceHeader is the runner that a request is meant for.
	instanceHeader = "Instance"
)

// records decodes records that are the JSON of what they mean.
type records struct{ config *site.Config }

func (r records) Config(json.RawMessage) (*site.Config, error) { return r.config, nil }

func (records) Runner(name string, spec json.RawMessage) (*site.Runner, error) {
	runner := &site.Runner{}
	err := json.Unmarshal(spec, runner)
	runner.ID, runner.Instance = name, name
	return runner, err
}

func (records) StripRunner(spec json.RawMessage) json.RawMessage         { return spec }
func (records) StripAdapterVersion(spec json.RawMessage) json.RawMessage { return spec }
func (records) StripConfig(spec json.RawMessage) json.RawMessage         { return spec }

func (records) AdapterVersion(spec json.RawMessage) (site.AdapterVersion, error) {
	var version site.AdapterVersion
	err := json.Unmarshal(spec, &version)
	return version, err
}

// headers is a dialect of a few headers.
type headers struct{}

func (headers) ParseRequest(http.Header) (forward.RequestMetadata, error) {
	return forward.RequestMetadata{}, nil
}

func (headers) SetRequestHeaders(header, _ http.Header, ask forward.RequestMetadata, send forward.Attempt) {
	header.Set("Id", ask.ID)
	header.Set(versionHeader, fmt.Sprint(send.AdapterVersion))
	header.Set(instanceHeader, send.Instance)
}

func (headers) ParseResponse(_ int, header http.Header) forward.ResponseMetadata {
	return forward.ResponseMetadata{RequestID: header.Get("Id"), Stamped: header.Get(stampHeader) != "", NotRun: header.Get(notRunHeader) != ""}
}

// owners plays the owners of runners. Admissions are answered in turn; after the
// last one all are admitted at once.
type owners struct {
	mu      sync.Mutex
	answers []func(runner *site.Runner, ask adapters.AdmissionRequest) (adapters.AdmissionResult, error)
	asked   []adapters.AdmissionRequest
	// ended counts the places that were given back.
	ended int
}

func (o *owners) Admit(_ context.Context, runner *site.Runner, ask adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked = append(o.asked, ask)
	if len(o.answers) == 0 {
		return adapters.AdmissionResult{At: time.Now()}, nil
	}
	answer := o.answers[0]
	o.answers = o.answers[1:]
	return answer(runner, ask)
}

func (o *owners) Release(*site.Runner, site.Adapter) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended++
}

// pressure takes what runners say, and holds nothing back but from the runners that rest.
type pressure struct{ rests map[string]time.Duration }

func (*pressure) HandleSignal(*site.Runner, *board.Signal, string, time.Time) {}

func (p *pressure) Acquire(_ context.Context, runner *site.Runner) (time.Duration, bool) {
	wait, rests := p.rests[runner.ID]
	return wait, !rests
}

func (*owners) ReportPlaced(*site.Runner, adapters.Key, *site.Runner) {}
func (*owners) ReportFirstEvent(*site.Runner, int, time.Duration)     {}
func (*owners) OwnerOf(*site.Runner) string                           { return "" }
func (*owners) ReportMissing(*site.Runner, adapters.Key)              {}
func (*owners) ReportOutcome(string, bool, bool)                      {}
func (*owners) ReportRefused(string)                                  {}

// world is a server of one host before runners in memory, in virtual time.
type world struct {
	t         *testing.T
	owners    *owners
	pressure  *pressure
	directory *directory.Directory
	server    *Server
	revision  uint64
	// sent gives the versions that requests reached runners with.
	mu   sync.Mutex
	sent []string
	// answer answers in the runners' place where it is set.
	answer http.HandlerFunc
}

// inWorld runs a test with so many runners of one model.
func inWorld(t *testing.T, runners int, run func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		net := standin.NewNetwork()
		defer net.Close()
		w := &world{t: t, owners: &owners{}, pressure: &pressure{rests: map[string]time.Duration{}}}
		engine := &site.Engine{Slots: 12, AdapterSlots: 10, Models: []site.Model{{Name: model}}}
		config := site.NewConfig(1, nil, []*site.Service{{Name: llm, Engine: engine}}, site.Limits{})
		w.directory = directory.New(records{config: config}, time.Now, hclog.NewNullLogger())
		w.directory.Configs.Changed([]registry.Change{{Record: registry.Record{Name: "main", Revision: 1}}}, registry.Position{Revision: 1})
		for i := range runners {
			name := fmt.Sprintf("r%d", i)
			w.put(w.directory.Runners, name, site.Runner{Service: llm, Address: name + ":80", Slots: 12, Models: []string{model}})
			listener, err := net.Host(name).Listen("80")
			must.NoError(t, err)
			server := &http.Server{Handler: http.HandlerFunc(w.run)}
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
		}
		w.server = New(Deps{
			Directory: w.directory, Board: board.New(), Owners: w.owners, Backpressure: w.pressure, Quarantine: quarantine.New(),
			Client:     forward.NewClient(headers{}, net.Host("host").Dial),
			RetryLimit: retrybudget.Limit{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
			Ages:       func() (config, runners time.Duration) { return 0, 0 },
			HostCount:  func() int { return 1 }, Now: time.Now, Log: hclog.NewNullLogger(),
		})
		run(w)
	})
}

func (w *world) put(into *registry.Replica, name string, spec any) {
	raw, err := json.Marshal(spec)
	must.NoError(w.t, err)
	w.revision++
	into.Changed([]registry.Change{{Record: registry.Record{Name: name, Revision: w.revision, Spec: raw}}}, registry.Position{Revision: w.revision})
}

// name puts an adapter's version in force.
func (w *world) name(adapter string, version int64) {
	w.put(w.directory.Versions, adapter, site.AdapterVersion{Adapter: site.Adapter{Model: model, Name: adapter}, Version: version})
}

func (w *world) run(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	w.sent = append(w.sent, r.Header.Get(versionHeader))
	w.mu.Unlock()
	if w.answer != nil {
		w.answer(rw, r)
		return
	}
	rw.Header().Set("Id", r.Header.Get("Id"))
	rw.Header().Set(stampHeader, "s")
	rw.Header().Set("Content-Type", eventStream)
	_, _ = rw.Write([]byte("id: 1\ndata: piece\n\n"))
}

// ask serves one request for an adapter and gives its answer.
func (w *world) ask(adapter string, patience time.Duration) *httptest.ResponseRecorder {
	route := &site.Route{
		Name: "live", Kind: site.Streaming, Timeout: patience, TargetLatency: 600 * time.Millisecond, TargetGap: 250 * time.Millisecond,
		MaxAttempts: 1, Targets: []site.Target{{Service: llm, Weight: 1}},
	}
	request := &forward.Request{
		RequestMetadata: forward.RequestMetadata{ID: "q", Adapter: site.Adapter{Model: model, Name: adapter}, PromptTokens: 800, OutputTokens: 100},
		Method:          http.MethodPost, Host: "host", Target: "/live/x", Header: http.Header{},
	}
	answer := httptest.NewRecorder()
	w.server.Serve(w.t.Context(), answer, route, request, time.Now())
	return answer
}

// later answers an admission with a time ahead.
func later(wait time.Duration, again bool) func(*site.Runner, adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
	return func(*site.Runner, adapters.AdmissionRequest) (adapters.AdmissionResult, error) {
		return adapters.AdmissionResult{At: time.Now().Add(wait), AskAgain: again}, nil
	}
}
