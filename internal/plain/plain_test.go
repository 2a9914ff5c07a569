package plain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/shoenig/test/must"
)

// answerWith makes one attempt at a service that answers with a text and closes the connection.
func answerWith(t *testing.T, text string) (Answer, *engine.Failure) {
	t.Helper()
	near, far := net.Pipe()
	go func() {
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			_, _ = io.WriteString(far, text)
		}
		_ = far.Close()
	}()
	client := NewClient(func(context.Context, string, string) (net.Conn, error) { return near, nil }, time.Second)
	return client.Do(t.Context(), Call{Address: "service:80", Method: http.MethodGet, Path: "/x", Header: http.Header{}})
}

// A service answers with a status that no final answer has. The host's own answer failed on it, and its
// caller's connection was closed without one.
func TestStatusOfNoFinalAnswerIsMalformed(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		_, failure := answerWith(t, "HTTP/1.1 "+status+" Status\r\nContent-Length: 0\r\n\r\n")
		must.NotNil(t, failure)
		must.Eq(t, engine.CodeMalformed, failure.Code)
		must.Eq(t, verdict.MayHaveRun, failure.Verdict())
	}
}

// A service's connection breaks off in the middle of its answer.
func TestCutAnswerIsNoAnswer(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n", "HTTP/1.1 200 OK\r\nConte", ""} {
		_, failure := answerWith(t, text)
		must.NotNil(t, failure)
		must.Eq(t, verdict.MayHaveRun, failure.Verdict())
	}
}
