package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/configlog"
	"github.com/cherrystage/cherrystage/internal/credential"
	"github.com/cherrystage/cherrystage/internal/dispatch"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/standalone"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/shoenig/test/must"
)

// fakeNode is a node whose calls return a preset error, or succeed.
type fakeNode struct {
	err      error
	proposal configlog.Proposal
	accepted int
}

func (f *fakeNode) Publish(_ context.Context, _ *inventory.Snapshot, p configlog.Proposal, _ time.Time) (configlog.Change, error) {
	f.proposal = p
	return configlog.Change{ID: p.ChangeID, Revision: p.From + 1}, f.err
}

func (f *fakeNode) Audit(context.Context, int) ([]configlog.Change, error) { return nil, f.err }
func (f *fakeNode) Snapshot() *inventory.Snapshot                          { return sample() }
func (f *fakeNode) Accepted(configlog.Change)                              { f.accepted++ }
func (f *fakeNode) Status() Status                                         { return Status{Host: "e1"} }
func (f *fakeNode) Explain(context.Context, string) (dispatch.TraceReport, bool) {
	return dispatch.TraceReport{}, f.err == nil
}
func (f *fakeNode) Drain(context.Context, string) error { return f.err }

func sample() *inventory.Snapshot {
	snapshot, err := inventory.Empty().Apply(4, inventory.Diff(inventory.Empty(), standalone.Sample()))
	if err != nil {
		panic(err)
	}
	return snapshot
}

func TestResponsePerRequestAndFailure(t *testing.T) {
	const deletion = `{"change_id":"c1","from":4,"ops":[{"delete_rule":"tug-calls-once"}]}`
	unavailable := &objectapi.Error{Op: "get", Cause: objectapi.ErrUnavailable}
	for _, row := range []struct {
		name, method, path, key, body string
		err                           error
		status                        int
		code                          string
		verdict                       verdict.Verdict
		accepted                      int
	}{
		{name: "no key", method: "GET", path: "/v1/status", key: "-", status: 401, code: CodeUnauthorized, verdict: verdict.NotRun},
		{name: "a caller's key", method: "GET", path: "/v1/status", key: standalone.CallerKey, status: 401, code: CodeUnauthorized, verdict: verdict.NotRun},
		{name: "health needs no key", method: "GET", path: "/healthz", key: "-", status: 200},
		{name: "status", method: "GET", path: "/v1/status", status: 200},
		{name: "inventory", method: "GET", path: "/v1/inventory", status: 200},
		{name: "accepted", method: "POST", path: "/v1/changes", body: deletion, status: 200, accepted: 1},
		{name: "nothing to change", method: "POST", path: "/v1/changes", body: `{"change_id":"c1","from":4}`, status: 200},
		{name: "dry run", method: "POST", path: "/v1/changes", body: `{"dry_run":true,"ops":[{"delete_rule":"tug-calls-once"}]}`, status: 200},
		{name: "dry run of a rejected change", method: "POST", path: "/v1/changes", body: `{"dry_run":true,"ops":[{"delete_rule":"x"}]}`, status: 422, code: CodeRejected, verdict: verdict.NotRun},
		{name: "no identifier", method: "POST", path: "/v1/changes", body: `{"ops":[]}`, status: 400, code: CodeBadRequest, verdict: verdict.NotRun},
		{name: "misspelt field", method: "POST", path: "/v1/changes", body: `{"change_id":"c","opps":[]}`, status: 400, code: CodeBadRequest, verdict: verdict.NotRun},
		{name: "ops and document", method: "POST", path: "/v1/changes", body: `{"change_id":"c","ops":[{}],"document":{}}`, status: 400, code: CodeBadRequest, verdict: verdict.NotRun},
		{name: "old revision", method: "POST", path: "/v1/changes", body: deletion, err: &configlog.StaleError{From: 4, Current: 5}, status: 409, code: CodeStale, verdict: verdict.NotRun},
		{name: "rejected change", method: "POST", path: "/v1/changes", body: deletion, err: &configlog.RejectedError{Cause: errors.New("x")}, status: 422, code: CodeRejected, verdict: verdict.NotRun},
		{name: "outcome unknown", method: "POST", path: "/v1/changes", body: deletion, err: &configlog.OutcomeUnknownError{ChangeID: "c1", Cause: errors.New("x")}, status: 504, code: CodeUnknown, verdict: verdict.MayHaveRun},
		{name: "platform unavailable", method: "POST", path: "/v1/changes", body: deletion, err: unavailable, status: 503, code: CodeUnavailable, verdict: verdict.NotRun},
		{name: "audit while the platform is unavailable", method: "GET", path: "/v1/changes", err: unavailable, status: 503, code: CodeUnavailable, verdict: verdict.NotRun},
		{name: "audit with an invalid limit", method: "GET", path: "/v1/changes?limit=0", status: 400, code: CodeBadRequest, verdict: verdict.NotRun},
		{name: "unknown request", method: "GET", path: "/v1/requests/x", err: unavailable, status: 404, code: CodeNotFound, verdict: verdict.NotRun},
		{name: "unknown host", method: "POST", path: "/v1/hosts/x/drain", err: unavailable, status: 404, code: CodeNotFound, verdict: verdict.NotRun},
		{name: "metrics need a key", method: "GET", path: "/debug/vars", key: "-", status: 401, code: CodeUnauthorized, verdict: verdict.NotRun},
	} {
		t.Run(row.name, func(t *testing.T) {
			node := &fakeNode{err: row.err}
			recorder := send(node, row.method, row.path, row.key, row.body)
			must.Eq(t, row.status, recorder.Code, must.Sprint(recorder.Body.String()))
			must.Eq(t, row.accepted, node.accepted)
			if row.code == "" {
				return
			}
			var body ErrorResult
			must.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &body))
			must.Eq(t, row.code, body.Code)
			must.Eq(t, row.verdict, body.Verdict)
		})
	}
}

func send(node *fakeNode, method, path, key, body string) *httptest.ResponseRecorder {
	if key == "" {
		key = standalone.OperatorKey
	}
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "-" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	api := New(node, node, node, credential.Holders{credential.Of(standalone.OperatorKey): "kim"})
	recorder := httptest.NewRecorder()
	api.Handler().ServeHTTP(recorder, req)
	return recorder
}

func TestChangeRecordsOperator(t *testing.T) {
	node := &fakeNode{}
	send(node, http.MethodPost, "/v1/changes", "", `{"change_id":"c1","from":4,"note":"n","ops":[{"delete_rule":"tug-calls-once"}]}`)
	must.Eq(t, "kim", node.proposal.Operator)
	must.Eq(t, "n", node.proposal.Note)
	must.Eq(t, inventory.Revision(4), node.proposal.From)
}

func FuzzChange(f *testing.F) {
	f.Add([]byte(`{"change_id":"c","from":4,"ops":[{"delete_rule":"tug-calls-once"}]}`))
	f.Add([]byte(`{"change_id":"c","document":{"adapters":[{"name":"a","base":"b","versions":["1"],"current":"1"}]},"dry_run":true}`))
	f.Add([]byte(`{"change_id":"c","ops":[{}],"dry_run":true}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		// Every body gets a response, and no change is reported as accepted
		// unless the publisher accepted it.
		node := &fakeNode{err: errors.New("refused")}
		recorder := send(node, http.MethodPost, "/v1/changes", "", string(body))
		must.NotEq(t, 0, recorder.Code)
		must.Eq(t, 0, node.accepted)
	})
}
