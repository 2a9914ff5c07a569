package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
)

// maxRecordedBytes bounds the bytes recorded of a request.
const maxRecordedBytes = 16 << 10

// framing is how a request's header declares the length of its body.
type framing uint8

const (
	framingUnknown framing = iota
	framingSingle
	framingConflict
)

// recorder records the first bytes of each request on a connection, to detect request
// smuggling. net/http removes Content-Length if Transfer-Encoding is present too, so a handler
// cannot see both. A caller that sends both may try to hide a second request in the body:
// what follows the chunks would be taken for a request of its own.
type recorder struct {
	net.Conn

	mu       sync.Mutex
	recorded []byte
	input    inputState
	// writeFailed is set once the caller's side has refused something.
	writeFailed bool
}

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

// Write implements net.Conn.
func (r *recorder) Write(data []byte) (int, error) {
	n, err := r.Conn.Write(data)
	if err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.writeFailed = true
	}
	return n, err
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

// Read implements net.Conn.
func (r *recorder) Read(into []byte) (int, error) {
	n, err := r.Conn.Read(into)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.input = max(r.input, inputStateOf(err))
	if room := maxRecordedBytes - len(r.recorded); n > 0 && room > 0 {
		r.recorded = append(r.recorded, into[:min(n, room)]...)
	}
	return n, err
}

// reset discards the recorded bytes before the next request.
func (r *recorder) reset() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorded = r.recorded[:0]
}

// detectFraming looks for Content-Length in the recorded header of a request that has
// Transfer-Encoding. The framing is unknown if the header was not recorded whole.
func (r *recorder) detectFraming() framing {
	if r == nil {
		return framingUnknown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	header, _, complete := bytes.Cut(r.recorded, []byte("\r\n\r\n"))
	if !complete {
		return framingUnknown
	}
	for _, line := range bytes.Split(bytes.ToLower(header), []byte("\n")) {
		if bytes.HasPrefix(line, []byte("content-length")) {
			return framingConflict
		}
	}
	return framingSingle
}

// WrapListener returns a listener whose connections record the first bytes of requests.
func WrapListener(inner net.Listener) net.Listener { return recordingListener{inner} }

type recordingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recorder{Conn: conn}, nil
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
