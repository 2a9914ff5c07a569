package hostlist_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/fleet"
	"github.com/cherrystage/cherrystage/internal/hostlist"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/shoenig/test/must"
)

const listed = `{"version":7,"hosts":[{"id":"r1","role":"runner","state":"leaving","data_centre":"hall","address":"10.0.0.1:80"}]}`

func answer(status int, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, text)
	}
}

func TestOnlyCompleteListsAreAccepted(t *testing.T) {
	// The host list answers correctly, incorrectly, late or not at all. Anything but a
	// complete list must be an error, so that the previous list stays in use.
	for _, row := range []struct {
		name  string
		serve http.HandlerFunc
		ok    bool
	}{
		{"a list", answer(http.StatusOK, listed), true},
		{"an outage", answer(http.StatusServiceUnavailable, listed), false},
		{"not JSON", answer(http.StatusOK, "<html>"), false},
		{"cut short", answer(http.StatusOK, listed[:40]), false},
		{"no answer", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := standin.NewNetwork()
				listener, err := network.Host("platform").Listen("80")
				must.NoError(t, err)
				server := &http.Server{Handler: row.serve}
				go func() { _ = server.Serve(listener) }()
				client := hostlist.NewClient("http://platform:80/", &http.Transport{DialContext: network.Host("e1").Dial})
				list, err := client.Hosts(context.Background())
				must.Eq(t, row.ok, err == nil)
				if row.ok {
					must.Eq(t, 7, list.Version)
					must.Eq(t, fleet.StateLeaving, list.Hosts[0].State)
				}
				_ = server.Close()
				network.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}
