package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Answer is what a caller got. Err is set if its channel ended without a whole answer.
type Answer struct {
	Status  int
	Stamped bool
	Body    string
	// RetryAfter is when the caller may ask again.
	RetryAfter time.Duration
	Err        error
}

// Caller is a stand-in for a requester with one channel, which it keeps.
type Caller struct {
	rig    *Rig
	conn   net.Conn
	reader *bufio.Reader
}

// Connect opens a channel to a host, within the second that requesters allow.
func (r *Rig) Connect(front string) (*Caller, error) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, err
	}
	return &Caller{rig: r, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the channel.
func (c *Caller) Close() { _ = c.conn.Close() }

// Request sends a request on the channel and reads its answer.
func (c *Caller) Request(method, path, id string, limit time.Duration) Answer {
	body := ""
	if method == http.MethodPost {
		body = "a body"
	}
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: ferry.example\r\nX-Cherrystage-Request-Id: %s\r\nX-Cherrystage-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, id, limit.Milliseconds(), len(body), body)
	if err != nil {
		return Answer{Err: err}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{Status: response.StatusCode, Err: err}
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return Answer{
		Status:     response.StatusCode,
		Body:       string(text),
		Stamped:    response.Header.Get("X-Cherrystage-Response-Stamp") != "",
		RetryAfter: time.Duration(seconds * float64(time.Second)),
	}
}
