package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/shoenig/test/must"
)

// scriptedPaths leads to a runner that answers each request with a text and closes the connection.
type scriptedPaths struct{ text string }

func (scriptedPaths) Direct(string) bool   { return true }
func (scriptedPaths) MayRelay(string) bool { return false }
func (scriptedPaths) Heard()               {}
func (scriptedPaths) DialRelayed(context.Context, string, string) (net.Conn, error) {
	return nil, net.ErrClosed
}

func (p scriptedPaths) DialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	return standin.DialAnswering(p.text)(ctx, network, address)
}

const framedHead = "Id: q\r\nStamp: s\r\n"

// answerOf returns the answer to a request to a runner that writes a text, its body, and the error at its end.
func answerOf(t *testing.T, method, text string) (answer *Response, body string, err error) {
	t.Helper()
	client := NewClient(idDialect{}, scriptedPaths{text: text})
	answer, failure := client.Do(t.Context(), "runner:80", &Request{RequestMetadata: RequestMetadata{ID: "q"}, Method: method, Target: "/x", Header: http.Header{}}, Attempt{})
	must.Nil(t, failure, must.Sprint(text))
	read, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	return answer, string(read), err
}

// A runner's process ends in the middle of an answer, and its connection closes as at the end. Where the
// framing shows that a part is missing, it is an error; where it cannot, the answer must say so, or the host
// passes a part on as a whole answer.
func TestFramingShowsWhereAnAnswerEnds(t *testing.T) {
	for name, test := range map[string]struct {
		method, answer string
		cut, unproven  bool
	}{
		"length":                         {answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + framedHead + "\r\nab"},
		"part of a length":               {answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + framedHead + "\r\na", cut: true},
		"length, Connection: close":      {answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n" + framedHead + "\r\nab"},
		"part of it":                     {answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n" + framedHead + "\r\na", cut: true},
		"length of an HTTP/1.0 answer":   {answer: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n" + framedHead + "\r\nab"},
		"a part of an HTTP/1.0 answer":   {answer: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n" + framedHead + "\r\na", cut: true},
		"chunks":                         {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + framedHead + "\r\n2\r\nab\r\n0\r\n\r\n"},
		"chunks without the last":        {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + framedHead + "\r\n2\r\nab\r\n", cut: true},
		"chunks, Connection: close":      {answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n" + framedHead + "\r\n2\r\nab\r\n", cut: true},
		"a part of the last chunk":       {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + framedHead + "\r\n2\r\nab\r\n0\r\n", cut: true},
		"chunks beside a length":         {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n" + framedHead + "\r\n2\r\nab\r\n", cut: true},
		"neither":                        {answer: "HTTP/1.1 200 OK\r\n" + framedHead + "\r\nab", unproven: true},
		"neither, Connection: close":     {answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n" + framedHead + "\r\nab", unproven: true},
		"neither, HTTP/1.0":              {answer: "HTTP/1.0 200 OK\r\n" + framedHead + "\r\nab", unproven: true},
		"neither, and nothing":           {answer: "HTTP/1.1 200 OK\r\n" + framedHead + "\r\n", unproven: true},
		"chunks are unknown to HTTP/1.0": {answer: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + framedHead + "\r\n2\r\nab\r\n", unproven: true},
		"no content":                     {answer: "HTTP/1.1 204 No Content\r\n" + framedHead + "\r\n"},
		"not modified":                   {answer: "HTTP/1.1 304 Not Modified\r\n" + framedHead + "\r\n"},
		"no content, Connection: close":  {answer: "HTTP/1.1 204 No Content\r\nConnection: close\r\n" + framedHead + "\r\n"},
		"an interim answer before it":    {answer: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + framedHead + "\r\na", cut: true},
		"HEAD with a length":             {method: http.MethodHead, answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + framedHead + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			if test.method == "" {
				test.method = http.MethodGet
			}
			answer, _, err := answerOf(t, test.method, test.answer)
			must.Eq(t, test.cut, err != nil)
			must.Eq(t, test.unproven, answer.EndsWithConnection)
		})
	}
}

// A runner answers HEAD without a length, as it may. No body is due, so the answer is whole with its head; the
// host takes it for one that ends with its connection, which can't be shown to be whole.
func TestAnswerToHeadIsWholeWithoutALength(t *testing.T) {
	for _, status := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 404 Not Found"} {
		answer, body, err := answerOf(t, http.MethodHead, status+"\r\n"+framedHead+"\r\n")
		must.NoError(t, err)
		must.Eq(t, "", body)
		must.False(t, answer.EndsWithConnection)
	}
}

// A runner in trouble answers with a head that is none of HTTP. Whatever else it says, such as that the request has not
// run, its answer must not be believed, and counts against the runner.
func TestMalformedAnswerIsBroken(t *testing.T) {
	for _, malformed := range standin.MalformedAnswers {
		for _, status := range []string{"200 OK", "503 Service Unavailable", "421 Misdirected Request"} {
			t.Run(malformed.Name+" beside "+status, func(t *testing.T) {
				text := malformed.Text(status, "Content-Length: 2\r\nNot-Run: 1\r\n"+framedHead, "ab")
				client := NewClient(idDialect{}, scriptedPaths{text: text})
				answer, failure := client.Do(t.Context(), "runner:80", &Request{RequestMetadata: RequestMetadata{ID: "q"}, Method: http.MethodPost, Target: "/x", Header: http.Header{}}, Attempt{})
				must.Nil(t, answer)
				must.Eq(t, verdict.MayHaveRun, failure.Verdict)
				must.Eq(t, ReasonBroken, failure.Reason)
				must.True(t, failure.Connected)
				must.False(t, failure.ConnectionLost)
				must.Nil(t, failure.Metadata.Signal)
			})
		}
	}
}
