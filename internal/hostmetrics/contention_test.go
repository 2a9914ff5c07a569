package hostmetrics

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against one host that is away, slow to upgrade or broken and that hides all others: their
// pages are merged, and it is named with the reason.
func TestSumContentionNamesMissingHosts(t *testing.T) {
	serve := func(page string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, page) }))
		t.Cleanup(server.Close)
		return server.URL
	}
	a := serve(`{"requests_open":3,"contention":{"requests":[{"workspace_priority":0,"route_priority":1,"workspace":"w","open":2}]}}`)
	b := serve(`{"contention":{"requests":[{"workspace_priority":0,"route_priority":1,"workspace":"w","open":1}],"field_of_a_later_version":7}}`)
	malformed, earlier := serve(`{"contention":{"requests":"many"}}`), serve(`{"requests_open":3}`)
	away := "127.0.0.1:1"
	fleet := SumContention(t.Context(), []string{malformed, a, away, earlier, b})
	must.Eq(t, 2, fleet.Hosts)
	must.Len(t, 1, fleet.Requests)
	must.Eq(t, 3, fleet.Totals.Open)
	must.Len(t, 3, fleet.Missing)
	must.Eq(t, malformed, fleet.Missing[0].Host)
	must.StrContains(t, fleet.Missing[0].Error, "metrics: json")
	must.Eq(t, away, fleet.Missing[1].Host)
	must.StrContains(t, fleet.Missing[1].Error, "refused")
	must.Eq(t, errNoContention.Error(), fleet.Missing[2].Error)
}

// Guards against hosts that cannot be given as operators know them.
func TestPageURL(t *testing.T) {
	for host, want := range map[string]string{
		"http://10.1.0.4:7399/metrics": "http://10.1.0.4:7399/metrics",
		"h1":                           "http://h1:7399/metrics",
		"10.1.0.4":                     "http://10.1.0.4:7399/metrics",
		"h1:80":                        "http://h1:80/metrics",
		"fe80::1":                      "http://[fe80::1]:7399/metrics",
		"[fe80::1]":                    "http://[fe80::1]:7399/metrics",
		"[fe80::1]:80":                 "http://[fe80::1]:80/metrics",
	} {
		must.Eq(t, want, PageURL(host))
	}
}
