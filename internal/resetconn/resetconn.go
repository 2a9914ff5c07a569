// Package resetconn provides TCP connections whose reads tell a reset from a regular end.
//
// A socket reports a reset once, to whichever call asks first. If a write under way gets it, a read sees a
// regular end, io.EOF: a part of an answer that ends with its connection would look whole.
package resetconn

import (
	"context"
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Dial returns a dial function, as net.Dialer's DialContext, whose TCP connections return an error that wraps
// syscall.ECONNRESET from Read where the other side has reset them, also if a write has been told before.
func Dial[F ~func(ctx context.Context, network, address string) (net.Conn, error)](dial F) F {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return New(c), nil
	}
}

// New returns a connection as those of Dial, or c itself if it is none over TCP. Its sending side cannot be closed
// by itself: the state of a socket does not tell then how the other side has ended.
func New(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	return &conn{Conn: tcp, tcp: tcp}
}

// conn embeds the interface, so that nothing reads past Read.
type conn struct {
	net.Conn
	tcp *net.TCPConn
}

// Read implements net.Conn.
func (c *conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	if err == io.EOF && !c.endedRegularly() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return n, err
}

// SetLinger sets what becomes of unsent data when the connection is closed, as net.TCPConn does.
func (c *conn) SetLinger(seconds int) error { return c.tcp.SetLinger(seconds) }

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// endedRegularly reports whether the other side has ended its side of the connection and not reset it.
//
// After a regular end the socket waits to be closed by this side; after a reset it is closed, whichever call was
// told. A socket that this process has closed meanwhile shows nothing: it does so once a write has failed.
func (c *conn) endedRegularly() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	regular := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		regular = err == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && regular
}
