// Package guardedconn provides connections that write a request only while it is valid, and
// that deliver nothing of it once they are closed.
package guardedconn

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
)

// DialFunc connects to an address, as net.Dialer's DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ErrNoLongerValid is returned for a request that may not be sent any more.
var ErrNoLongerValid = errors.New("the request may not be sent any more")

// Dial returns a dial function for connections that discard unsent data when they are closed.
//
// Otherwise the kernel would go on delivering an order after its sender has given up, for up
// to the TCP user timeout. The orders of two hosts are only as far apart as they should be if
// each arrives within its time limit.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
			if err := tcp.SetLinger(0); err != nil {
				_ = c.Close()
				return nil, errors.Wrap(err, "set linger")
			}
		}
		return &conn{Conn: c}, nil
	}
}

// conn is a connection for one request at a time.
type conn struct {
	net.Conn
	// valid reports whether the present request may still be written. It is nil if it always
	// may.
	valid atomic.Pointer[func() bool]
}

// Write implements net.Conn. This is the last point at which an order can be held back: a
// process that stands still before it may run again when the runner has another owner.
func (c *conn) Write(data []byte) (int, error) {
	if valid := c.valid.Load(); valid != nil && !(*valid)() {
		return 0, ErrNoLongerValid
	}
	return c.Conn.Write(data)
}

// WithValidity returns a context for an HTTP request that is only written while it is valid,
// or always if valid is nil. It has an effect on connections of Dial.
func WithValidity(ctx context.Context, valid func() bool) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c, ok := info.Conn.(*conn)
		switch {
		case !ok:
		case valid == nil:
			c.valid.Store(nil)
		default:
			c.valid.Store(&valid)
		}
	}})
}
