package ingress

import (
	"bytes"
	"context"
	"net"
	"sync"
)

// recordBytes bounds what is kept of a request's first bytes.
const recordBytes = 16 << 10

// framing is what a request's header says of its body's length.
type framing uint8

const (
	framingUnknown framing = iota
	framingOne
	framingBoth
)

// recorder keeps the first bytes of each request on a connection. net/http
// removes Content-Length where Transfer-Encoding stands beside it, so a handler
// cannot see both. A caller that sends both may mean to hide a second request
// in the body: what follows the chunks would be taken for a request of its own.
type recorder struct {
	net.Conn

	mu   sync.Mutex
	kept []byte
}

// Read implements net.Conn.
func (r *recorder) Read(into []byte) (int, error) {
	n, err := r.Conn.Read(into)
	r.mu.Lock()
	defer r.mu.Unlock()
	if room := recordBytes - len(r.kept); n > 0 && room > 0 {
		r.kept = append(r.kept, into[:min(n, room)]...)
	}
	return n, err
}

// reset begins with the next request.
func (r *recorder) reset() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept = r.kept[:0]
}

// framing looks for both headers in the last header that was read.
func (r *recorder) framing() framing {
	if r == nil {
		return framingUnknown
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	header, _, whole := bytes.Cut(r.kept, []byte("\r\n\r\n"))
	if !whole {
		return framingUnknown
	}
	for _, line := range bytes.Split(bytes.ToLower(header), []byte("\n")) {
		if bytes.HasPrefix(line, []byte("content-length")) {
			return framingBoth
		}
	}
	return framingOne
}

// WrapListener wraps a listener so that its connections record.
func WrapListener(inner net.Listener) net.Listener { return recording{inner} }

type recording struct{ net.Listener }

// Accept implements net.Listener.
func (l recording) Accept() (net.Conn, error) {
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

func recorderOf(ctx context.Context) *recorder {
	r, _ := ctx.Value(recorderKey{}).(*recorder)
	return r
}
