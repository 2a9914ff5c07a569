package adminclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cherrystage/cherrystage/internal/adminapi"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

// change is a change of one item.
var change = adminapi.ChangeRequest{ChangeID: "c", Ops: []inventory.Op{{DeleteRule: "r"}}}

// calls are one call of each kind, by name. Those that change something are listed in changes.
func calls(c *Client) map[string]func() error {
	ctx := context.Background()
	return map[string]func() error{
		"inventory": func() error { _, err := c.Inventory(ctx); return err },
		"audit":     func() error { _, err := c.Audit(ctx, 1); return err },
		"status":    func() error { _, err := c.Status(ctx); return err },
		"explain":   func() error { _, err := c.Explain(ctx, "q"); return err },
		"change":    func() error { _, err := c.Change(ctx, change); return err },
		"drain":     func() error { return c.Drain(ctx, "h") },
	}
}

var changes = map[string]bool{"change": true, "drain": true}

// requireFailures wants each call to fail, and each change to be one that may have been made.
func requireFailures(t *testing.T, handler http.HandlerFunc) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	for name, call := range calls(New(server.URL, "key", nil)) {
		err := call()
		must.Error(t, err, must.Sprint(name))
		var carrier verdict.Carrier
		must.Eq(t, changes[name], errors.As(err, &carrier), must.Sprint(name, ": ", err))
		if carrier != nil {
			must.Eq(t, verdict.MayHaveRun, carrier.Verdict())
		}
	}
}

// A host, or something before it, answers with success and without a result. The inventory was taken
// for empty, the change for one of nothing, the host for draining.
func TestAnswerWithoutAResultIsNoSuccess(t *testing.T) {
	for _, text := range []string{"", " ", "null", "{}", "{ }\n", "ok", `{"revision":`} {
		requireFailures(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) })
	}
}

// A host's answer to a change is one to something else.
func TestAnswerToAnotherCallIsNoSuccess(t *testing.T) {
	for _, text := range []string{`{"status":"ok"}`, `{"revision":3}`, `{"revision":0,"change_id":"c","ops":[{"delete_rule":"r"}]}`, `{"revision":3,"change_id":"other","ops":[{"delete_rule":"r"}]}`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }))
		c := New(server.URL, "key", nil)
		_, err := c.Change(t.Context(), change)
		must.Eq(t, verdict.MayHaveRun, verdict.Of(err), must.Sprint(text))
		must.Error(t, err)
		must.Error(t, c.Drain(t.Context(), "h"))
		server.Close()
	}
}

// A connection ends without an answer to a change, or with an error that tells nothing of it. The change
// was told as one that failed, though it may have been made.
func TestChangeWithoutAnAnswerMayHaveBeenMade(t *testing.T) {
	requireFailures(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	requireFailures(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) })
	requireFailures(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
}

// A host, or something before it, answers with a head that is none of HTTP. Whatever its body says, nothing is known.
func TestMalformedAnswerIsNoSuccess(t *testing.T) {
	for _, malformed := range standin.MalformedAnswers {
		text := malformed.Text("200 OK", "Content-Length: 21\r\n", `{"status":"draining"}`)
		c := New("http://host", "key", &http.Transport{DisableKeepAlives: true, DialContext: standin.DialAnswering(text)})
		err := c.Drain(t.Context(), "h")
		must.Error(t, err, must.Sprint(malformed.Name))
		must.Eq(t, verdict.MayHaveRun, verdict.Of(err))
		_, err = c.Status(t.Context())
		must.Error(t, err, must.Sprint(malformed.Name))
	}
}

// A change whose host can't be reached has not been made.
func TestChangeOfAnUnreachableHostHasNotBeenMade(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	must.NoError(t, listener.Close())
	_, err = New("http://"+listener.Addr().String(), "key", nil).Change(t.Context(), change)
	var carrier verdict.Carrier
	must.Error(t, err)
	must.False(t, errors.As(err, &carrier))
}

// The answers that hosts give are taken.
func TestAnswersOfHosts(t *testing.T) {
	var text string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }))
	defer server.Close()
	c := New(server.URL, "key", nil)
	for _, text = range []string{`{"revision":0,"ops":[]}`, `{"revision":3,"change_id":"c","ops":[{"delete_rule":"r"}]}`, `{"revision":1,"ops":[{"delete_rule":"r"}],"dry_run":true}`} {
		_, err := c.Change(t.Context(), change)
		must.NoError(t, err)
	}
	text = `{"status":"draining"}`
	must.NoError(t, c.Drain(t.Context(), "h"))
	text = `[]`
	_, err := c.Audit(t.Context(), 1)
	must.NoError(t, err)
}
