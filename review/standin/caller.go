package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call is a caller's request on a connection of its own, which is kept until its answer has ended.
type call struct {
	id, host, path, model string
	body                  []byte
	deadline              time.Duration
	// prefix is the list of the prompt's parts.
	prefix string
}

// reply is what the caller got. err is set if the connection ended without a whole answer.
type reply struct {
	sent   bool
	status int
	stamp  string
	body   string
	err    error
}

func (r reply) String() string {
	text := fmt.Sprintf("status %d, stamp %q, %d bytes", r.status, r.stamp, len(r.body))
	if r.err != nil {
		return text + ", not whole: " + r.err.Error()
	}
	return text + ", whole"
}

// patience is how much longer than its deadline a caller waits.
const patience = 5 * time.Second

// send sends the request to a host and reads the answer.
func (c call) send(address string) (got reply) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(c.deadline + patience))
	if _, err := conn.Write(c.bytes()); err != nil {
		return reply{err: err}
	}
	got.sent = true
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		got.err = err
		return got
	}
	defer func() { _ = response.Body.Close() }()
	got.status, got.stamp = response.StatusCode, response.Header.Get("X-Cherrystage-Response-Stamp")
	body, err := io.ReadAll(response.Body)
	got.body, got.err = string(body), err
	return got
}

// bytes returns the request as it is sent.
func (c call) bytes() []byte {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Cherrystage-Request-Id: %s\r\nX-Cherrystage-Deadline-Ms: %d\r\nContent-Length: %d\r\n", c.path, c.host, c.id, c.deadline.Milliseconds(), len(c.body))
	if c.model != "" {
		_, _ = fmt.Fprintf(&text, "X-Cherrystage-Model: %s\r\nX-Cherrystage-Token-Counts: 826,290\r\nX-Cherrystage-Prompt-Prefix: %s\r\n", c.model, c.prefix)
	}
	text.WriteString("\r\n")
	return append([]byte(text.String()), c.body...)
}
