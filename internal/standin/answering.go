package standin

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
)

// DialAnswering returns a dial function to a server that reads one request, answers it with a text and closes the
// connection.
func DialAnswering(text string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			if request, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(far, text)
			}
			_ = far.Close()
		}()
		return near, nil
	}
}

// MalformedAnswer is an answer whose head is none of HTTP.
type MalformedAnswer struct {
	Name string
	// status stands in place of the due one, unless it is "". field is one more line of the head.
	status, field string
	// interim is the head of an interim answer before it.
	interim string
}

// MalformedAnswers are the kinds of malformed answers.
var MalformedAnswers = []MalformedAnswer{
	{Name: "status 000", status: "000 OK"},
	{Name: "status 099", status: "099 OK"},
	{Name: "status 101 without a request for it", status: "101 Switching Protocols"},
	{Name: "status 600", status: "600 OK"},
	{Name: "status 999", status: "999 OK"},
	{Name: "status with a sign", status: "+20 OK"},
	{Name: "status with a minus", status: "-00 OK"},
	{Name: "status of two digits", status: "20 OK"},
	{Name: "status of four digits", status: "2000 OK"},
	{Name: "status without digits", status: "abc OK"},
	{Name: "blank within a name", field: "X Bar: 4\r\n"},
	{Name: "blank behind a name", field: "X-Bar : 4\r\n"},
	{Name: "blank behind the name of the chunks", field: "Transfer-Encoding : chunked\r\n"},
	{Name: "blank behind the name of the length", field: "Content-Length : 1\r\n"},
	{Name: "tab behind a name", field: "X-Bar\t: 4\r\n"},
	{Name: "control byte in a name", field: "X\x01Bar: 4\r\n"},
	{Name: "DEL in a name", field: "X-Bar\x7f: 4\r\n"},
	{Name: "control byte in a value", field: "X-Bar: \x01\r\n"},
	{Name: "line without a colon", field: "X-Bar\r\n"},
	{Name: "blank in a name of an interim answer", interim: "HTTP/1.1 103 Early Hints\r\nX-Bar : 4\r\n\r\n"},
	{Name: "control byte in a name of an interim answer", interim: "HTTP/1.1 103 Early Hints\r\nX\x01: 4\r\n\r\n"},
}

// Text returns the answer, given the status, the other lines of the head and the body that it would have.
func (m MalformedAnswer) Text(status, lines, body string) string {
	if m.status != "" {
		status = m.status
	}
	return m.interim + "HTTP/1.1 " + status + "\r\n" + lines + m.field + "\r\n" + body
}
