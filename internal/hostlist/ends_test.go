package hostlist_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/cherrystage/cherrystage/internal/hostlist"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/cherrystage/cherrystage/internal/weights"
	"github.com/shoenig/test/must"
)

// answering returns a transport to a server that writes a body with neither a length nor chunks and closes the
// connection.
func answering(body string) http.RoundTripper { return transportTo("HTTP/1.1 200 OK\r\n\r\n" + body) }

func transportTo(text string) http.RoundTripper {
	return &http.Transport{DisableKeepAlives: true, DialContext: standin.DialAnswering(text)}
}

// The platform ends in the middle of its host list, or of the weight store's limits. Hosts that are missing from
// a part of the list would count as gone.
func TestPartOfAListIsNoList(t *testing.T) {
	const hosts, limits = `{"version":4,"hosts":[{"id":"a"},{"id":"b"}]}`, `{"rate":3.5,"parallel":12}`
	for length := range len(hosts) {
		_, err := hostlist.NewClient("http://platform", answering(hosts[:length])).Hosts(t.Context())
		must.Error(t, err, must.Sprint(hosts[:length]))
	}
	for length := range len(limits) {
		_, err := weights.NewClient("http://platform", answering(limits[:length])).Limits(t.Context())
		must.Error(t, err, must.Sprint(limits[:length]))
	}
	list, err := hostlist.NewClient("http://platform", answering(hosts)).Hosts(t.Context())
	must.NoError(t, err)
	must.Len(t, 2, list.Hosts)
}

// The platform, or a gateway before it, answers with a head that is none of HTTP beside a complete list. Hosts and
// limits in it may be anyone's.
func TestMalformedAnswerIsNoList(t *testing.T) {
	const hosts, limits = `{"version":4,"hosts":[{"id":"a"},{"id":"b"}]}`, `{"per_second":3.5}`
	_, err := weights.NewClient("http://platform", answering(limits)).Limits(t.Context())
	must.NoError(t, err)
	for _, malformed := range standin.MalformedAnswers {
		text := func(body string) string {
			return malformed.Text("200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body)
		}
		_, err := hostlist.NewClient("http://platform", transportTo(text(hosts))).Hosts(t.Context())
		must.Error(t, err, must.Sprint(malformed.Name))
		_, err = weights.NewClient("http://platform", transportTo(text(limits))).Limits(t.Context())
		must.Error(t, err, must.Sprint(malformed.Name))
	}
}
