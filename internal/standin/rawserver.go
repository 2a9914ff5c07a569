package standin

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// RawServer serves HTTP/1.1 on plain TCP, with the faults of runners in trouble that net/http's server
// cannot show: it sends answers again, with the ID of another request or with none, ends them with their
// connection, refuses requests before their bodies are in, resets connections beyond a number and closes
// idle ones. It is safe for concurrent use; the exported fields are set before Serve.
type RawServer struct {
	Handler http.Handler
	// IDHeader is the header in which an answer names its request.
	IDHeader string
	// Conduct returns how a request is answered. It may be nil, which stands for no faults.
	Conduct func(r *http.Request) Conduct
	// Refuse writes the refusal of a request whose body has not been read, Begin the beginning of an answer to one.
	Refuse, Begin func(w http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	conns    map[*rawConn]bool
	maxConns int
	latestID string
	// repeats counts the answers sent again.
	repeats int
}

// Conduct is how a RawServer answers one request.
type Conduct struct {
	// Repeat is when the answer is sent again, RepeatAfter the delay of RepeatLate, and RepeatID
	// which request the copy names.
	Repeat      RepeatTime
	RepeatAfter time.Duration
	RepeatID    RepeatID
	// Unframed leaves out the answer's length, so that it ends with its connection.
	Unframed bool
	// Early refuses the request before its body has been read.
	Early bool
	// Malformed, if set, is what the head of the answer becomes. The connection closes behind it.
	Malformed *MalformedAnswer
	// Reset begins the answer before the request's body has been read, and resets the connection ResetAfter later.
	Reset      bool
	ResetAfter time.Duration
}

// RepeatTime is when an answer is sent again.
type RepeatTime uint8

// Times of an answer's repetition.
const (
	RepeatNever RepeatTime = iota
	// RepeatAtOnce sends it right behind the answer.
	RepeatAtOnce
	// RepeatLate sends it after a delay: while the connection is idle, or before the answer to the
	// request that is handled then.
	RepeatLate
	// RepeatBeforeNext sends it once the connection's next request has been read, before that is handled.
	RepeatBeforeNext
)

// RepeatID is which request a repeated answer names.
type RepeatID uint8

// Requests that a repeated answer names.
const (
	RepeatSameID RepeatID = iota
	RepeatOtherID
	RepeatNoID
)

// maxRepeatedBytes bounds the body of an answer that is sent again.
const maxRepeatedBytes = 64 << 10

// Serve serves a listener's connections until the context ends.
func (s *RawServer) Serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		s.CloseAll()
	})
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		c := &rawConn{Conn: conn, server: s, reader: bufio.NewReader(conn), idle: true}
		if !s.add(c) {
			resetConn(conn)
			continue
		}
		go func() {
			defer s.remove(c)
			c.serve(ctx)
		}()
	}
}

// SetMaxConns makes the server reset the connections beyond a number; 0 stands for no limit.
func (s *RawServer) SetMaxConns(limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxConns = limit
}

// CloseIdle closes the connections that handle no request.
func (s *RawServer) CloseIdle() { s.closeConns((*rawConn).isIdle) }

// CloseAll closes all connections.
func (s *RawServer) CloseAll() { s.closeConns(func(*rawConn) bool { return true }) }

// CloseInTurn closes all connections that are open now, in random order, spread over a time, as the end of a
// process does. Requests that arrive on them meanwhile are answered only if answers is set.
func (s *RawServer) CloseInTurn(over time.Duration, answers bool) {
	s.mu.Lock()
	open := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range open {
		c.dead.Store(!answers)
	}
	for i, c := range open {
		if i > 0 {
			time.Sleep(over / time.Duration(len(open)))
		}
		_ = c.Close()
	}
}

// Repeats returns the number of answers sent again.
func (s *RawServer) Repeats() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.repeats
}

func (s *RawServer) add(c *rawConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.maxConns > 0 && len(s.conns) >= s.maxConns {
		return false
	}
	if s.conns == nil {
		s.conns = map[*rawConn]bool{}
	}
	s.conns[c] = true
	return true
}

func (s *RawServer) remove(c *rawConn) {
	_ = c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *RawServer) closeConns(chosen func(*rawConn) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if chosen(c) {
			_ = c.Close()
		}
	}
}

// otherID returns the ID of the latest request that had another one.
func (s *RawServer) otherID(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	other := s.latestID
	s.latestID = id
	if other == "" || other == id {
		return "other-than-" + id
	}
	return other
}

func (s *RawServer) countRepeat() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repeats++
}

// resetConn closes a connection so that the other side sees it reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// rawConn is a connection of a RawServer.
type rawConn struct {
	net.Conn
	server *RawServer
	reader *bufio.Reader
	// due are the repeated answers that go before the next one.
	due [][]byte
	// dead is set once the process has ended and no request is answered any more.
	dead atomic.Bool

	stateMu sync.Mutex
	idle    bool
	// answerMu is held while an answer is written, so that a repeated one does not fall into it.
	answerMu sync.Mutex
}

func (c *rawConn) isIdle() bool {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return c.idle
}

func (c *rawConn) setIdle(idle bool) {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	c.idle = idle
}

func (c *rawConn) serve(ctx context.Context) {
	for {
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if c.dead.Load() {
			return
		}
		c.setIdle(false)
		request.RemoteAddr = c.RemoteAddr().String()
		for _, answer := range c.due {
			c.repeat(answer)
		}
		c.due = nil
		if !c.exchange(ctx, request) {
			return
		}
	}
}

// exchange answers a request, and reports whether the connection is kept.
func (c *rawConn) exchange(ctx context.Context, request *http.Request) (kept bool) {
	var conduct Conduct
	if c.server.Conduct != nil {
		conduct = c.server.Conduct(request)
	}
	if conduct.Reset {
		c.breakOff(request, conduct.ResetAfter)
		return false
	}
	handler := c.server.Handler
	if conduct.Early {
		handler = http.HandlerFunc(c.server.Refuse)
	} else if err := holdBody(request); err != nil {
		return false
	}
	w := &rawWriter{conn: c, header: http.Header{}, unframed: conduct.Unframed, malformed: conduct.Malformed}
	ended, more := c.handle(ctx, w, request, handler, conduct.Early)
	if !ended {
		return false
	}
	c.arrangeRepeat(conduct, w, request.Header.Get(c.server.IDHeader))
	w.release()
	if conduct.Early {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return false
		}
	}
	if conduct.Unframed || conduct.Malformed != nil || request.Close {
		return false
	}
	c.setIdle(true)
	return <-more
}

// breakOff begins an answer that ends with its connection, and resets that.
func (c *rawConn) breakOff(request *http.Request, after time.Duration) {
	w := &rawWriter{conn: c, header: http.Header{}, unframed: true}
	c.server.Begin(w, request)
	_ = w.FlushError()
	w.release()
	time.Sleep(after)
	resetConn(c.Conn)
}

// handle runs a handler to its end, and reports whether it wrote a whole answer. The request's context ends
// with the connection; more delivers whether there is more to read on it.
func (c *rawConn) handle(ctx context.Context, w *rawWriter, request *http.Request, handler http.Handler, early bool) (ended bool, more chan bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	more = make(chan bool, 1)
	if early {
		more <- true
	} else {
		go func() {
			_, err := c.reader.Peek(1)
			if err != nil {
				cancel()
			}
			more <- err == nil
		}()
	}
	defer func() {
		if cause := recover(); cause != nil {
			// As net/http's server does, a handler that gives up ends the connection.
			w.release()
			_ = c.Close()
		}
	}()
	handler.ServeHTTP(w, request.WithContext(ctx))
	w.finish()
	return w.err == nil, more
}

// holdBody reads a request's body, so that what follows it can be awaited.
func holdBody(request *http.Request) error {
	body, err := io.ReadAll(request.Body)
	request.Body = io.NopCloser(bytes.NewReader(body))
	return err
}

// arrangeRepeat sends an answer again, or arranges that. The caller holds answerMu.
func (c *rawConn) arrangeRepeat(conduct Conduct, w *rawWriter, id string) {
	other := c.server.otherID(id)
	if conduct.Repeat == RepeatNever || w.body.Len() > maxRepeatedBytes {
		return
	}
	header := w.header.Clone()
	switch conduct.RepeatID {
	case RepeatOtherID:
		header.Set(c.server.IDHeader, other)
	case RepeatNoID:
		header.Del(c.server.IDHeader)
	}
	answer := wholeAnswer(w.status, header, w.body.Bytes())
	switch conduct.Repeat {
	case RepeatAtOnce:
		c.server.countRepeat()
		_, _ = c.Write(answer)
	case RepeatLate:
		time.AfterFunc(conduct.RepeatAfter, func() { c.repeat(answer) })
	case RepeatBeforeNext:
		c.due = append(c.due, answer)
	}
}

func (c *rawConn) repeat(answer []byte) {
	c.answerMu.Lock()
	defer c.answerMu.Unlock()
	c.server.countRepeat()
	_, _ = c.Write(answer)
}

// wholeAnswer returns the bytes of an answer with a length.
func wholeAnswer(status int, header http.Header, body []byte) []byte {
	var out bytes.Buffer
	header = header.Clone()
	header.Set("Content-Length", fmt.Sprint(len(body)))
	writeHead(&out, status, header)
	out.Write(body)
	return out.Bytes()
}

func writeHead(out *bytes.Buffer, status int, header http.Header) {
	_, _ = fmt.Fprintf(out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(out)
	out.WriteString("\r\n")
}

// rawWriter is the http.ResponseWriter of a RawServer. What is not flushed is sent with its length.
type rawWriter struct {
	conn     *rawConn
	header   http.Header
	unframed bool
	// malformed, if set, is what the head becomes.
	malformed *MalformedAnswer
	status    int
	// begun is set once the head has been sent, chunked then unless the answer is unframed.
	begun bool
	// body is all that was written, sent how much of it was sent.
	body bytes.Buffer
	sent int
	err  error
}

// Header implements http.ResponseWriter.
func (w *rawWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *rawWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
}

// Unframed reports whether the answer ends with its connection, Malformed whether its head is none of HTTP.
func (w *rawWriter) Unframed() bool  { return w.unframed }
func (w *rawWriter) Malformed() bool { return w.malformed != nil }

// Write implements http.ResponseWriter.
func (w *rawWriter) Write(data []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	w.body.Write(data)
	return len(data), w.err
}

// FlushError sends what was written. http.ResponseController calls it.
func (w *rawWriter) FlushError() error {
	w.begin("Transfer-Encoding", "chunked")
	unsent := w.body.Bytes()[w.sent:]
	w.sent = w.body.Len()
	switch {
	case len(unsent) == 0:
	case w.unframed:
		w.write(unsent)
	default:
		w.write(fmt.Appendf(nil, "%x\r\n%s\r\n", len(unsent), unsent))
	}
	return w.err
}

// begin sends the head with a header for the framing, unless it has been sent.
func (w *rawWriter) begin(name, value string) {
	w.WriteHeader(http.StatusOK)
	if w.begun {
		return
	}
	w.begun = true
	w.conn.answerMu.Lock()
	header := w.header.Clone()
	if w.unframed {
		name, value = "Connection", "close"
	}
	header.Set(name, value)
	var head bytes.Buffer
	if w.malformed != nil {
		_ = header.Write(&head)
		w.write([]byte(w.malformed.Text(fmt.Sprintf("%d %s", w.status, http.StatusText(w.status)), head.String(), "")))
		return
	}
	writeHead(&head, w.status, header)
	w.write(head.Bytes())
}

// finish sends the rest of the answer. answerMu is held until release.
func (w *rawWriter) finish() {
	if !w.begun {
		w.begin("Content-Length", fmt.Sprint(w.body.Len()))
		w.write(w.body.Bytes())
		return
	}
	_ = w.FlushError()
	if !w.unframed {
		w.write([]byte("0\r\n\r\n"))
	}
}

// release lets other answers be written on the connection.
func (w *rawWriter) release() {
	if w.begun {
		w.begun = false
		w.conn.answerMu.Unlock()
	}
}

func (w *rawWriter) write(data []byte) {
	if w.err == nil {
		_, w.err = w.conn.Write(data)
	}
}
