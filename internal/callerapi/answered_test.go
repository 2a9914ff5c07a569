package callerapi

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/cherrystage/cherrystage/internal/dispatch"
	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/plain"
	"github.com/cherrystage/cherrystage/internal/standalone"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

const (
	wholeRequest  = `{"model":"mooring-plan"}`
	streamRequest = `{"model":"mooring-plan","stream":true}`
	servicePath   = "/services/dispatch-api/tugs/7"
)

// An engine ends its answer without a piece. A caller of a whole answer got a success with nothing in
// it.
func TestEmptyAnswerIsNoSuccess(t *testing.T) {
	for _, body := range []string{wholeRequest, streamRequest} {
		e := testRequest{body: body}
		recorder := e.send(t)
		must.Eq(t, http.StatusBadGateway, recorder.Code)
		must.Eq(t, "ran", recorder.Header().Get(HeaderVerdict))
	}
}

// panickingDispatcher panics once it has passed some pieces on.
type panickingDispatcher struct{ pieces []string }

func (p panickingDispatcher) Complete(_ context.Context, _ dispatch.Request, pass func(engine.Piece) error) *dispatch.Refusal {
	for i, text := range p.pieces {
		_ = pass(engine.Piece{Position: i, Data: []byte(text)})
	}
	panic("a fault")
}

func (panickingDispatcher) Service(context.Context, dispatch.Request, plain.Call) (plain.Answer, *dispatch.Refusal) {
	panic("a fault")
}

// exchange sends a request to an API on a connection of its own.
func exchange(t *testing.T, dispatcher Dispatcher, method, path, body string) (*http.Response, string, error) {
	t.Helper()
	api := New(dispatcher, fixedInventory{snapshot(t)}, fakeLimiter{}, fakeState{}, 1000, hclog.NewNullLogger())
	server := httptest.NewServer(api.Handler())
	defer server.Close()
	req, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+standalone.CallerKey)
	resp, err := http.DefaultTransport.RoundTrip(req)
	must.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp, string(text), err
}

// A handler that panics before it has written anything closed the connection without an answer.
func TestHandlerThatPanicsIsAnswered(t *testing.T) {
	for path, body := range map[string]string{"/v1/completions": wholeRequest, "/v1/chat/completions": streamRequest, servicePath: ""} {
		resp, _, err := exchange(t, panickingDispatcher{}, http.MethodPost, path, body)
		must.NoError(t, err)
		must.Eq(t, http.StatusInternalServerError, resp.StatusCode)
		must.Eq(t, "may-have-run", resp.Header.Get(HeaderVerdict))
	}
}

// A stream whose handler panics must not look whole.
func TestStreamThatPanicsIsCut(t *testing.T) {
	_, text, err := exchange(t, panickingDispatcher{pieces: []string{firstPiece}}, http.MethodPost, "/v1/completions", streamRequest)
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
	must.StrNotContains(t, text, doneMarker)
}

// An engine refuses a request with a status of success, or with one that is none.
func TestRefusalIsNoSuccess(t *testing.T) {
	for _, status := range []int{0, 99, http.StatusSwitchingProtocols, http.StatusOK, http.StatusNoContent, http.StatusFound} {
		refused := &fakeDispatcher{refusal: &dispatch.Refusal{Status: status, Code: "a_code", Verdict: verdict.MayHaveRun}}
		resp, text, err := exchange(t, refused, http.MethodPost, "/v1/completions", wholeRequest)
		must.NoError(t, err)
		must.Eq(t, http.StatusInternalServerError, resp.StatusCode)
		must.StrContains(t, text, "a_code")
	}
}

// answeringDispatcher answers calls to services.
type answeringDispatcher struct {
	fakeDispatcher
	answer plain.Answer
}

func (a *answeringDispatcher) Service(context.Context, dispatch.Request, plain.Call) (plain.Answer, *dispatch.Refusal) {
	return a.answer, nil
}

// A service's answer without a body keeps the length of the body that was not sent.
func TestServiceAnswersWithoutABody(t *testing.T) {
	for _, test := range []struct {
		method string
		status int
		length []string
	}{
		{method: http.MethodHead, status: http.StatusOK, length: []string{"12"}},
		{method: http.MethodGet, status: http.StatusNoContent},
		{method: http.MethodGet, status: http.StatusNotModified},
		{method: http.MethodGet, status: http.StatusOK, length: []string{"0"}},
	} {
		header := http.Header{}
		if test.length != nil {
			header["Content-Length"] = test.length
		}
		d := &answeringDispatcher{answer: plain.Answer{Status: test.status, Header: header}}
		resp, text, err := exchange(t, d, test.method, servicePath, "")
		must.NoError(t, err)
		must.Eq(t, test.status, resp.StatusCode)
		must.Eq(t, test.length, resp.Header["Content-Length"])
		must.Eq(t, "", text)
	}
}
