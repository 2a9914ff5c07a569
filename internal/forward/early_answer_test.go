package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/reach"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/shoenig/test/must"
)

// idDialect sends and parses the request's ID and the not-run header.
type idDialect struct{ stubDialect }

func (idDialect) SetRequestHeaders(header, _ http.Header, metadata RequestMetadata, _ Attempt) {
	header.Set("Id", metadata.ID)
}

func (idDialect) ParseResponse(_ int, header http.Header) ResponseMetadata {
	return ResponseMetadata{RequestID: header.Get("Id"), NotRun: header.Get("Not-Run") != "", Stamped: true}
}

// longBodyBytes is more than the buffers of a connection hold.
const longBodyBytes = 12 << 20

// A runner refuses a request before its long body is in, and keeps the connection. The rest of that body must
// not be taken for a request, nor a request that follows for the rest.
func TestEarlyRefusalOfALongBodyIsTrue(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	var mu sync.Mutex
	bodies := map[string]string{}
	runner := &standin.RawServer{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			mu.Lock()
			defer mu.Unlock()
			bodies[r.Header.Get("Id")] = string(body)
			w.Header().Set("Id", r.Header.Get("Id"))
		}),
		Conduct: func(r *http.Request) standin.Conduct {
			return standin.Conduct{Early: strings.HasPrefix(r.Header.Get("Id"), "long")}
		},
		Refuse: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	}
	go runner.Serve(t.Context(), listener)
	client := NewClient(idDialect{}, reach.DirectOnly((&net.Dialer{}).DialContext))
	send := func(id, body string) (*Response, *Failure) {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		request := &Request{RequestMetadata: RequestMetadata{ID: id}, Method: http.MethodPost, Host: "h", Target: "/x", Header: http.Header{}, Body: []byte(body)}
		answer, failure := client.Do(ctx, listener.Addr().String(), request, Attempt{})
		if answer != nil {
			_, _ = io.Copy(io.Discard, answer.Body)
			_ = answer.Body.Close()
		}
		return answer, failure
	}
	long := strings.Repeat("POST /smuggled HTTP/1.1\r\nId: smuggled\r\nContent-Length: 0\r\n\r\n", longBodyBytes/60)
	for i := range 20 {
		_, failure := send(fmt.Sprintf("long%d", i), long)
		must.NotNil(t, failure)
		if failure.Verdict == verdict.NotRun {
			must.Eq(t, ReasonRefused, failure.Reason)
		}
		short := fmt.Sprintf("short%d", i)
		_, failure = send(short, "body of "+short)
		must.Nil(t, failure)
		mu.Lock()
		must.Eq(t, "body of "+short, bodies[short])
		mu.Unlock()
	}
	must.MapLen(t, 20, bodies, must.Sprint("nothing else ran"))
}
