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

// Stream is what a caller has got of a stream.
type Stream struct {
	Status int
	// Began is the id of the request that brought the first event, Last the number of the last event, and Versions
	// the software versions whose events came.
	Began    string
	Last     int
	Versions map[string]bool
	Whole    bool
}

// Begin sends a request for a stream, or for the rest of one, and reads its events until it ends or stop is closed.
// It returns the status and how long the caller is asked to wait.
func (c *Caller) Begin(stream *Stream, id string, limit time.Duration, stop <-chan struct{}) (status int, retryAfter time.Duration, events int) {
	more := ""
	if stream.Last > 0 {
		more = fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", stream.Last, stream.Began)
	}
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	go func() {
		<-stop
		_ = c.conn.Close()
	}()
	_, err := fmt.Fprintf(c.conn, "GET /live/2f HTTP/1.1\r\nHost: ferry.example\r\nX-Cherrystage-Request-Id: %s\r\nX-Cherrystage-Deadline-Ms: %d\r\n%s\r\n", id, limit.Milliseconds(), more)
	if err != nil {
		return 0, 0, 0
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, 0, 0
	}
	defer func() { _ = response.Body.Close() }()
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, time.Duration(seconds * float64(time.Second)), 0
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		var number, again int
		var version string
		if _, err := fmt.Sscanf(lines.Text(), "data: event %d of %s", &again, &version); err == nil {
			stream.Versions[version] = true
			continue
		}
		if _, err := fmt.Sscanf(lines.Text(), "id: %d", &number); err == nil {
			if stream.Last == 0 {
				stream.Began = id
			}
			stream.Last = number
			events++
		}
	}
	stream.Whole = lines.Err() == nil && stream.Last == Events
	return response.StatusCode, 0, events
}
