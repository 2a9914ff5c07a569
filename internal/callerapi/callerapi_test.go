package callerapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/dispatch"
	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/plain"
	"github.com/cherrystage/cherrystage/internal/standalone"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// fakeDispatcher returns preset pieces and refusals, and records the last request.
type fakeDispatcher struct {
	last    dispatch.Request
	pieces  []string
	refusal *dispatch.Refusal
}

func (f *fakeDispatcher) Complete(_ context.Context, req dispatch.Request, pass func(engine.Piece) error) *dispatch.Refusal {
	f.last = req
	for i, text := range f.pieces {
		if err := pass(engine.Piece{Position: i, Data: []byte(text)}); err != nil {
			return &dispatch.Refusal{Verdict: verdict.MayHaveRun}
		}
	}
	return f.refusal
}

func (f *fakeDispatcher) Service(_ context.Context, req dispatch.Request, _ plain.Call) (plain.Answer, *dispatch.Refusal) {
	f.last = req
	return plain.Answer{Status: 201, Header: http.Header{"X-Own": {"kept"}}, Body: []byte("made")}, f.refusal
}

type fakeLimiter struct{ full bool }

func (f fakeLimiter) Begin() bool { return !f.full }
func (fakeLimiter) End()          {}

// fakeState is a host that is ready.
type fakeState struct{}

func (fakeState) Ready() bool    { return true }
func (fakeState) Stopping() bool { return false }

type fixedInventory struct{ snapshot *inventory.Snapshot }

func (f fixedInventory) Snapshot() *inventory.Snapshot { return f.snapshot }

func snapshot(t *testing.T) *inventory.Snapshot {
	t.Helper()
	document := standalone.Sample()
	document.Callers = append(document.Callers, inventory.Caller{Name: "farm", KeyDigest: standalone.Digest("farm-key")})
	document.Adapters[0].Callers = []string{"pilot-desk"}
	applied, err := inventory.Empty().Apply(1, inventory.Diff(inventory.Empty(), document))
	must.NoError(t, err)
	return applied
}

// testRequest is a request and the expected response.
type testRequest struct {
	name, method, path, key, body string
	header                        http.Header
	full                          bool
	dispatcher                    fakeDispatcher
	status                        int
	code, verdict, retry          string
}

const firstPiece = `{"id":"x","model":"mooring-plan@2","choices":[{"index":0,"text":"one ","delta":{}}]}`
const secondPiece = `{"id":"x","model":"mooring-plan@2","choices":[{"index":0,"text":"two","finish_reason":"stop","delta":{}}]}`

func TestResponsePerRequestAndOutcome(t *testing.T) {
	completion := `{"model":"mooring-plan"}`
	refused := fakeDispatcher{refusal: &dispatch.Refusal{Status: 429, Code: "overloaded", Verdict: verdict.NotRun, RetryAfter: 1500 * time.Millisecond}}
	completed := fakeDispatcher{pieces: []string{firstPiece, secondPiece}}
	for _, row := range []testRequest{
		{name: "no key", key: "-", body: completion, status: 401, code: codeUnauthorized, verdict: "not-run"},
		{name: "unknown key", key: "x", body: completion, status: 401, code: codeUnauthorized, verdict: "not-run"},
		{name: "not allowed", key: "farm-key", body: completion, status: 403, code: codeForbidden, verdict: "not-run"},
		{name: "no such adapter", body: `{"model":"nothing"}`, status: 404, code: codeUnknownModel, verdict: "not-run"},
		{name: "no such version", body: `{"model":"mooring-plan@9"}`, status: 404, code: codeUnknownModel, verdict: "not-run"},
		{name: "no model", body: `{"prompt":"x"}`, status: 400, code: codeBadRequest, verdict: "not-run"},
		{name: "not JSON", body: `{`, status: 400, code: codeBadRequest, verdict: "not-run"},
		{name: "not an object", body: `[1]`, status: 400, code: codeBadRequest, verdict: "not-run"},
		{name: "too large", body: `{"model":"` + strings.Repeat("x", 2000) + `"}`, status: 413, code: codeTooLarge, verdict: "not-run"},
		{name: "key too long", body: completion, header: http.Header{HeaderIdempotencyKey: {strings.Repeat("k", 300)}}, status: 400, code: codeBadRequest, verdict: "not-run"},
		{name: "no such path", path: "/v2", body: completion, status: 404, code: codeBadRequest, verdict: "not-run"},
		{name: "too many streams", body: completion, full: true, status: 503, code: dispatch.CodeOverloaded, verdict: "not-run", retry: "1"},
		{name: "refused", body: completion, dispatcher: refused, status: 429, code: "overloaded", verdict: "not-run", retry: "2"},
		{name: "complete response", body: completion, dispatcher: completed, status: 200, verdict: "ran"},
		{name: "models", method: "GET", path: "/v1/models", status: 200},
		{name: "service", path: "/services/dispatch-api/tugs/7", status: 201, verdict: "ran"},
		{name: "no such service", path: "/services/other/x", status: 404, code: codeUnknownModel, verdict: "not-run"},
	} {
		t.Run(row.name, func(t *testing.T) {
			recorder := row.send(t)
			must.Eq(t, row.status, recorder.Code, must.Sprint(recorder.Body.String()))
			must.Eq(t, row.verdict, recorder.Header().Get(HeaderVerdict))
			must.Eq(t, row.retry, recorder.Header().Get("Retry-After"))
			if row.code != "" {
				var body errorBody
				must.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &body))
				must.Eq(t, row.code, body.Code)
				must.Eq(t, row.verdict, body.Verdict.String())
			}
		})
	}
}

func (e *testRequest) send(t *testing.T) *httptest.ResponseRecorder {
	t.Helper()
	method, path, key := e.method, e.path, e.key
	if method == "" {
		method = http.MethodPost
	}
	if path == "" {
		path = "/v1/completions"
	}
	if key == "" {
		key = standalone.CallerKey
	}
	req := httptest.NewRequest(method, path, strings.NewReader(e.body))
	for name, values := range e.header {
		req.Header[name] = values
	}
	if key != "-" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	api := New(&e.dispatcher, fixedInventory{snapshot(t)}, fakeLimiter{e.full}, fakeState{}, 1000, hclog.NewNullLogger())
	recorder := httptest.NewRecorder()
	api.Handler().ServeHTTP(recorder, req)
	return recorder
}

func TestWholeAnswerIsAssembled(t *testing.T) {
	e := testRequest{body: `{"model":"mooring-plan"}`, dispatcher: fakeDispatcher{pieces: []string{firstPiece, secondPiece}}}
	recorder := e.send(t)
	must.StrContains(t, recorder.Body.String(), `"text":"one two"`)
	must.StrContains(t, recorder.Body.String(), `"finish_reason":"stop"`)
	must.Eq(t, "mooring-plan@2", e.dispatcher.last.Model)
}

func TestBrokenStreamHasNoDoneMarker(t *testing.T) {
	// An answer breaks off after its first piece. The stream ends with an event
	// that gives the reason and the verdict, and without [DONE].
	e := testRequest{
		body:       `{"model":"mooring-plan","stream":true}`,
		dispatcher: fakeDispatcher{pieces: []string{firstPiece}, refusal: &dispatch.Refusal{Code: "answer_cut", Verdict: verdict.MayHaveRun}},
	}
	text := e.send(t).Body.String()
	must.StrContains(t, text, "event: error\ndata: ")
	must.StrContains(t, text, `"verdict":"may-have-run"`)
	must.StrNotContains(t, text, doneMarker)
}

const doneMarker = "[DONE]"

func TestRequestPolicy(t *testing.T) {
	e := testRequest{path: "/services/dispatch-api/tugs/7", header: http.Header{HeaderIdempotencyKey: {"k"}}}
	e.send(t)
	must.False(t, e.dispatcher.last.Idempotent)
	must.Eq(t, "k", e.dispatcher.last.IdempotencyKey)
	must.Eq(t, 5, e.dispatcher.last.Priority)
	e = testRequest{path: "/services/dispatch-api/berths"}
	e.send(t)
	must.True(t, e.dispatcher.last.Idempotent)
	e = testRequest{path: "/services/dispatch-api/berths", header: http.Header{HeaderIdempotent: {"false"}}}
	e.send(t)
	must.False(t, e.dispatcher.last.Idempotent)
}

func FuzzEngineBody(f *testing.F) {
	f.Add([]byte(`{"model":"a","stream":false,"prompt":"x"}`))
	f.Add([]byte(`{"model":"a","model":"b","stream":"yes"}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		// Whatever a caller sends, the engine gets the resolved model and
		// streaming, or the request is refused as not run.
		body, err := engineBody(raw, "a@1")
		if err != nil {
			var refusal *dispatch.Refusal
			must.True(t, errors.As(err, &refusal))
			must.Eq(t, verdict.NotRun, refusal.Verdict)
			return
		}
		var got struct {
			Model  string `json:"model"`
			Stream bool   `json:"stream"`
		}
		must.NoError(t, json.Unmarshal(body, &got))
		must.Eq(t, "a@1", got.Model)
		must.True(t, got.Stream)
	})
}
