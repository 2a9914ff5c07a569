package hostmetrics

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// Metrics of a workspace are summed over the hosts that report it, and a host that does not
// respond is an error.
func TestSumWorkspaces(t *testing.T) {
	serve := func(page string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, page) }))
		t.Cleanup(server.Close)
		return server.URL
	}
	a := serve(`{"requests_open":3,"workspaces":{"harbour":{"rate":4200,"burst":4300,"in_tokens":true,"charged":2,"refused":1,"units":900,"returned":100}}}`)
	b := serve(`{"workspaces":{"harbour":{"rate":4200,"burst":4300,"in_tokens":true,"charged":3,"unknown":1,"units":50},"pilots":{"rate":5,"charged":1,"units":1}}}`)
	rows, err := SumWorkspaces(t.Context(), []string{a, b})
	must.NoError(t, err)
	must.Len(t, 2, rows)
	must.Eq(t, "harbour", rows[0].Name)
	must.Eq(t, 2, rows[0].Hosts)
	must.Eq(t, 5, rows[0].Charged)
	must.Eq(t, 1, rows[0].Refused)
	must.Eq(t, 1, rows[0].Unknown)
	must.Eq(t, 950, rows[0].Units)
	must.Eq(t, 4200, rows[0].Rate)
	must.Eq(t, 1, rows[1].Hosts)
	_, err = SumWorkspaces(t.Context(), []string{a, "http://127.0.0.1:1/metrics"})
	must.Error(t, err)
	_, err = SumWorkspaces(t.Context(), []string{serve("no metrics")})
	must.Error(t, err)
}
