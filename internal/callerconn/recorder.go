package callerconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"time"
)

const (
	// maxRecordedBytes bounds the bytes recorded of a request.
	maxRecordedBytes = 16 << 10
	// maxReadAhead is the number of bytes that net/http may have read beyond a request: its buffer,
	// and one byte more while a handler runs.
	maxReadAhead = 4<<10 + 1
)

// Framing is how a request's header declares the length of its body.
type Framing uint8

// How a header declares the length of a body: unknown if it was not recorded whole, by one header, or
// by two that contradict each other.
const (
	FramingUnknown Framing = iota
	FramingSingle
	FramingConflict
)

// inputState is what became of the bytes that the caller sends.
type inputState uint8

const (
	// inputOpen means that the caller may send more.
	inputOpen inputState = iota
	// inputEnded means that the caller has closed its sending side, or the whole connection.
	inputEnded
	// inputBroken means that the connection is broken.
	inputBroken
)

// String returns the state's name in logs.
func (s inputState) String() string {
	return [...]string{"open", "ended", "broken"}[s]
}

// inputStateOf returns what an error of Read tells. A deadline tells nothing.
func inputStateOf(err error) inputState {
	var network net.Error
	switch {
	case err == nil, errors.As(err, &network) && network.Timeout():
		return inputOpen
	case errors.Is(err, io.EOF):
		return inputEnded
	default:
		return inputBroken
	}
}

// resetAtClose makes the coming Close of a TCP connection reset it.
//
// HTTP/1.0 knows no chunks, so an answer without a length ends with its connection: the caller would take a
// regular end for the end of an answer that breaks off.
func (r *recorder) resetAtClose() {
	if tcp, ok := r.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}

// recorder is a caller's connection. It records what net/http does not tell a handler.
//
// The first bytes of each request show request smuggling: net/http removes Content-Length if
// Transfer-Encoding is present too, so a handler cannot see both. A caller that sends both may try to
// hide a second request in the body: what follows the chunks would be taken for a request of its own.
//
// The number of bytes shows whether net/http has read further requests: if the connection were closed
// after the present one, they would be lost although they had been read.
type recorder struct {
	net.Conn
	connections *connections
	accepted    time.Time

	mu sync.Mutex
	// received is the number of bytes read since the first one of the present or next request,
	// recorded the beginning of them, tail the last ones behind it.
	received       int
	recorded, tail []byte
	// startUnknown is set if it is not known where the present request starts.
	startUnknown bool
	// used is set once a request has been handled, serving until its answer has been sent.
	used, serving bool
	// closing is set once the connection is being closed because it is idle.
	closing bool
	input   inputState
	// idleDeadlines counts the read deadlines that were set since the connection became idle.
	idleDeadlines int
	writes        int
	writeFailed   bool
}

// Read implements net.Conn.
func (r *recorder) Read(into []byte) (int, error) {
	n, err := r.Conn.Read(into)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closing {
		return 0, net.ErrClosed
	}
	r.input = max(r.input, inputStateOf(err))
	if n > 0 && r.awaitsRequest() {
		r.received, r.startUnknown = 0, false
		r.keepLast(0)
	}
	r.record(into[:n])
	return n, err
}

// awaitsRequest reports whether a request starts with the next byte although it was not known where the
// last one ended. After the first deadline that net/http sets on an idle connection, it reads only if
// there is no request in its buffer.
func (r *recorder) awaitsRequest() bool {
	return r.startUnknown && !r.serving && r.idleDeadlines == 1
}

// SetReadDeadline implements net.Conn.
func (r *recorder) SetReadDeadline(deadline time.Time) error {
	r.mu.Lock()
	r.idleDeadlines++
	r.mu.Unlock()
	return r.Conn.SetReadDeadline(deadline)
}

func (r *recorder) record(data []byte) {
	r.received += len(data)
	room := min(len(data), maxRecordedBytes-len(r.recorded))
	r.recorded = append(r.recorded, data[:room]...)
	data = data[room:]
	r.tail = append(r.tail, data[max(0, len(data)-maxReadAhead):]...)
	if excess := len(r.tail) - maxReadAhead; excess > 0 {
		r.tail = append(r.tail[:0], r.tail[excess:]...)
	}
}

// Write implements net.Conn.
func (r *recorder) Write(data []byte) (int, error) {
	// Counted before, since the caller may leave before the write has returned.
	r.countWrite()
	n, err := r.Conn.Write(data)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeFailed = r.writeFailed || err != nil
	return n, err
}

func (r *recorder) countWrite() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writes++
}

// writeCount returns the number of writes so far.
func (r *recorder) writeCount() int {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writes
}

// hasWriteFailed reports whether the caller's side has refused what was sent to it.
func (r *recorder) hasWriteFailed() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writeFailed
}

// inputState returns what became of the caller's input.
func (r *recorder) inputState() inputState {
	if r == nil {
		return inputOpen
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.input
}

// begin records that a request is being handled.
func (r *recorder) begin() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.used, r.serving = true, true
}

// end records that the request has been handled. What was read beyond it begins the next one.
func (r *recorder) end(request *http.Request) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ahead, known := r.readAhead(request)
	r.startUnknown = !known
	r.received = ahead
	r.keepLast(ahead)
}

// keepLast makes the last bytes that were read the beginning of the next request's.
func (r *recorder) keepLast(count int) {
	inTail := min(count, len(r.tail))
	kept := append(r.recorded[:0], r.recorded[len(r.recorded)-(count-inTail):]...)
	r.recorded = append(kept, r.tail[len(r.tail)-inTail:]...)
	r.tail = nil
}

// hasReadAhead reports whether bytes beyond the request may have been read.
func (r *recorder) hasReadAhead(request *http.Request) bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	ahead, known := r.readAhead(request)
	return ahead > 0 || !known
}

// readAhead returns the number of bytes that were read beyond the request, if that is known.
func (r *recorder) readAhead(request *http.Request) (ahead int, known bool) {
	if r.startUnknown {
		return 0, false
	}
	recorded, skipped := r.fromStart()
	header, body, complete := bytes.Cut(recorded, headerEnd)
	if !complete {
		return 0, false
	}
	if len(request.TransferEncoding) == 0 {
		ahead = r.received - skipped - len(header) - len(headerEnd) - int(max(0, request.ContentLength))
		return max(0, ahead), ahead <= maxReadAhead
	}
	if r.received > len(r.recorded) {
		return 0, false
	}
	return behindChunks(body)
}

// fromStart returns what is recorded from the request's first line on, and the number of bytes before
// it: net/http skips line ends behind the body of the request before.
func (r *recorder) fromStart() (recorded []byte, skipped int) {
	recorded = bytes.TrimLeft(r.recorded, string(lineEnd))
	return recorded, len(r.recorded) - len(recorded)
}

var (
	headerEnd = []byte("\r\n\r\n")
	lineEnd   = []byte("\r\n")
)

// chunkBufferBytes is enough for the line that begins a chunk.
const chunkBufferBytes = 256

// behindChunks returns the number of bytes behind a chunked body, if that is whole.
func behindChunks(body []byte) (int, bool) {
	unread := bytes.NewReader(body)
	buffered := bufio.NewReaderSize(unread, chunkBufferBytes)
	if _, err := io.Copy(io.Discard, httputil.NewChunkedReader(buffered)); err != nil {
		return 0, false
	}
	rest := body[len(body)-unread.Len()-buffered.Buffered():]
	if bytes.HasPrefix(rest, lineEnd) {
		return len(rest) - len(lineEnd), true
	}
	_, behind, complete := bytes.Cut(rest, headerEnd)
	return len(behind), complete
}

// FramingOf returns the framing of a request that has Transfer-Encoding.
func FramingOf(request *http.Request) Framing {
	return recorderFrom(request.Context()).detectFraming()
}

// detectFraming looks for Content-Length in the recorded header of a request that has
// Transfer-Encoding. The framing is unknown if the header was not recorded whole.
func (r *recorder) detectFraming() Framing {
	if r == nil {
		return FramingUnknown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	recorded, _ := r.fromStart()
	header, _, complete := bytes.Cut(recorded, headerEnd)
	if !complete || r.startUnknown {
		return FramingUnknown
	}
	for _, line := range bytes.Split(bytes.ToLower(header), []byte("\n")) {
		if bytes.HasPrefix(line, []byte("content-length")) {
			return FramingConflict
		}
	}
	return FramingSingle
}

type recorderKey struct{}

func withRecorder(ctx context.Context, conn net.Conn) context.Context {
	if r, ok := conn.(*recorder); ok {
		return context.WithValue(ctx, recorderKey{}, r)
	}
	return ctx
}

func recorderFrom(ctx context.Context) *recorder {
	r, _ := ctx.Value(recorderKey{}).(*recorder)
	return r
}
