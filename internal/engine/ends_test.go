package engine_test

import (
	"context"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/shoenig/test/must"
)

// framings are the ways in which an answer ends. Each writes the first part of a body, and the end of the
// answer only where the part is the whole.
var framings = map[string]func(whole string, length int) string{
	"length": func(whole string, length int) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(whole)) + "\r\n\r\n" + whole[:length]
	},
	"chunks": func(whole string, length int) string {
		text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		if length > 0 {
			text += strconv.FormatInt(int64(length), 16) + "\r\n" + whole[:length] + "\r\n"
		}
		if length == len(whole) {
			text += "0\r\n\r\n"
		}
		return text
	},
	"a last chunk behind a part": func(whole string, length int) string {
		return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(length), 16) + "\r\n" + whole[:length] + "\r\n0\r\n\r\n"
	},
	"neither": func(whole string, length int) string { return "HTTP/1.1 200 OK\r\n\r\n" + whole[:length] },
	"neither, HTTP/1.0": func(whole string, length int) string {
		return "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\n" + whole[:length]
	},
}

// completeFrom makes one attempt at an engine that answers with a text, closes the connection, and takes no
// other connection.
func completeFrom(t *testing.T, text string) (delivered int, failure *engine.Failure) {
	t.Helper()
	near, err := standin.DialAnswering(text)(t.Context(), "tcp", "engine:80")
	must.NoError(t, err)
	conns := make(chan net.Conn, 1)
	conns <- near
	client := engine.NewClient(engine.Config{
		Dial: func(context.Context, string, string) (net.Conn, error) {
			select {
			case conn := <-conns:
				return conn, nil
			default:
				return nil, net.ErrClosed
			}
		},
		ConnectTimeout: time.Second, FirstPieceTimeout: time.Second, SilenceTimeout: time.Second, OrderTimeout: time.Second, MaxResumes: 1,
	})
	call := engine.Call{Address: "engine:80", Path: "/v1/completions", Body: []byte("{}"), Model: "m@1", AttemptID: "1"}
	failure = client.Complete(t.Context(), call, func(engine.Piece) error { delivered++; return nil })
	return delivered, failure
}

// An engine's process ends in the middle of a stream, behind each byte of it, and its connection closes as
// at the end. Whatever the framing says, the caller would take the part for the whole answer, also where it
// ends behind a whole event or within the one that ends the stream. No part of an event may reach it.
func TestStreamWithoutItsLastEventIsNotWhole(t *testing.T) {
	for lineEnd, name := range map[string]string{"\n": "LF", "\r\n": "CRLF", "\r": "CR"} {
		whole := strings.ReplaceAll(piece(0)+piece(1)+done, "\n", lineEnd)
		first, second := len(strings.ReplaceAll(piece(0), "\n", lineEnd)), len(strings.ReplaceAll(piece(0)+piece(1), "\n", lineEnd))
		for framing, write := range framings {
			for length := range len(whole) - len(lineEnd) + 1 {
				delivered, failure := completeFrom(t, write(whole, length))
				must.NotNil(t, failure, must.Sprintf("%s, %s: %q", framing, name, whole[:length]))
				must.LessEq(t, 2, delivered)
				must.True(t, delivered == 0 || length >= first-len(lineEnd)+1)
				must.True(t, delivered < 2 || length >= second-len(lineEnd)+1)
			}
			delivered, failure := completeFrom(t, write(whole, len(whole)))
			must.Nil(t, failure, must.Sprintf("%s, %s", framing, name))
			must.Eq(t, 2, delivered)
		}
	}
}

// A load report breaks off in its middle. The host would take the adapters that are missing from it for
// evicted.
func TestPartOfAReportIsNoReport(t *testing.T) {
	const whole = `{"boot":"b","seq":7,"resident":[{"model":"m@1","running":1},{"model":"n@1","running":2}]}`
	for length := range len(whole) {
		_, err := reportFrom(t, framings["neither"](whole, length))
		must.Error(t, err, must.Sprint(whole[:length]))
	}
	report, err := reportFrom(t, framings["neither"](whole, len(whole)))
	must.NoError(t, err)
	must.Len(t, 2, report.Resident)
}

// reportFrom fetches a load report from an engine that answers with a text and closes the connection.
func reportFrom(t *testing.T, text string) (engine.Report, error) {
	t.Helper()
	return clientOf(text).Report(t.Context(), "engine:80")
}

// An engine in trouble answers with a head that is none of HTTP, beside a whole stream, a report or a refusal of an
// order. Nothing of it may be believed: a request or an order that may have run would count as not run.
func TestMalformedAnswerTellsNothing(t *testing.T) {
	whole := piece(0) + piece(1) + done
	const report = `{"boot":"b","seq":7,"resident":[]}`
	for _, malformed := range standin.MalformedAnswers {
		t.Run(malformed.Name, func(t *testing.T) {
			for _, status := range []string{"200 OK", "404 Not Found", "503 Service Unavailable"} {
				lines := "Content-Type: text/event-stream\r\n" + engine.HeaderNotRun + ": true\r\nContent-Length: " + strconv.Itoa(len(whole)) + "\r\n"
				delivered, failure := completeFrom(t, malformed.Text(status, lines, whole))
				must.NotNil(t, failure)
				must.Eq(t, verdict.MayHaveRun, failure.Verdict())
				must.Eq(t, 0, delivered)
			}
			_, err := reportFrom(t, malformed.Text("200 OK", "Content-Length: "+strconv.Itoa(len(report))+"\r\n", report))
			must.Error(t, err)
			for _, status := range []string{"200 OK", "409 Conflict"} {
				err = clientOf(malformed.Text(status, "Content-Length: 15\r\n", `{"code":"busy"}`)).Order(t.Context(), "engine:80", engine.Order{Kind: engine.OrderLoad, Model: "m@1"})
				must.Error(t, err)
				must.Eq(t, verdict.MayHaveRun, verdict.Of(err))
			}
		})
	}
}

// clientOf returns a client of an engine that answers with a text and closes the connection.
func clientOf(text string) *engine.Client {
	return engine.NewClient(engine.Config{
		Dial:           standin.DialAnswering(text),
		ConnectTimeout: time.Second, FirstPieceTimeout: time.Second, SilenceTimeout: time.Second, OrderTimeout: time.Second,
	})
}
