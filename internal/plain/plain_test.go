package plain

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/shoenig/test/must"
)

// answerWith makes one attempt at a service that answers with a text and closes the connection.
func answerWith(t *testing.T, text string) (Answer, *engine.Failure) {
	t.Helper()
	client := NewClient(standin.DialAnswering(text), time.Second)
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

// A service in trouble answers with a head that is none of HTTP, and says that the request has not run.
func TestMalformedAnswerIsNoAnswer(t *testing.T) {
	for _, malformed := range standin.MalformedAnswers {
		for _, lines := range []string{"", engine.HeaderNotRun + ": true\r\n"} {
			_, failure := answerWith(t, malformed.Text("200 OK", "Content-Length: 0\r\n"+lines, ""))
			must.NotNil(t, failure, must.Sprint(malformed.Name))
			must.Eq(t, verdict.MayHaveRun, failure.Verdict(), must.Sprint(malformed.Name))
		}
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

// A service sends an answer again as the next request arrives. Its caller would get another caller's answer,
// or be told that its request has not run.
func TestLateAnswersAreNotTakenForTheNext(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	service := &standin.RawServer{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/refused" {
				w.Header().Set(engine.HeaderNotRun, "true")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
			_, _ = io.WriteString(w, r.URL.Path)
		}),
		Conduct: func(*http.Request) standin.Conduct { return standin.Conduct{Repeat: standin.RepeatBeforeNext} },
	}
	go service.Serve(t.Context(), listener)
	client := NewClient((&net.Dialer{}).DialContext, 5*time.Second)
	for _, path := range []string{"/refused", "/first", "/refused", "/second"} {
		answer, failure := client.Do(t.Context(), Call{Address: listener.Addr().String(), Method: http.MethodGet, Path: path, Header: http.Header{}})
		if path == "/refused" {
			must.Eq(t, verdict.NotRun, failure.Verdict())
			continue
		}
		must.Nil(t, failure)
		must.Eq(t, path, string(answer.Body))
	}
}
