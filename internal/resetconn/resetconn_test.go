package resetconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
)

const (
	// uploadBytes is more than the sockets of a connection hold.
	uploadBytes = 16 << 20
	// triesEach is the number of connections of each kind: which call is told of a reset is a race.
	triesEach = 20
	// endWait is a time within which a read tells an end that has arrived.
	endWait = 5 * time.Second
)

// peerOf returns the two ends of a connection, the first one of Dial.
func peerOf(t *testing.T) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	near, err = Dial((&net.Dialer{}).DialContext)(t.Context(), "tcp", listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = near.Close() })
	accepted, err := listener.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return near, accepted.(*net.TCPConn)
}

// A runner sends a part of its answer and resets the connection. Where a write of this side is blocked, it gets the
// reset, and the read would tell a regular end: the part would look whole.
func TestResetThatAWriteIsToldIsNoRegularEnd(t *testing.T) {
	reset := func(far *net.TCPConn) {
		_ = far.SetLinger(0)
		_ = far.Close()
	}
	for _, scene := range []struct {
		name   string
		upload int
		end    func(far *net.TCPConn)
		whole  bool
	}{
		{name: "reset during a long upload", upload: uploadBytes, end: reset},
		{name: "closed with the upload unread", upload: uploadBytes, end: func(far *net.TCPConn) { _ = far.Close() }},
		{name: "reset behind a short upload", upload: 1024, end: reset},
		{name: "closed with a short upload unread", upload: 1024, end: func(far *net.TCPConn) { _ = far.Close() }},
		{name: "reset without an upload", end: reset},
		{name: "regular end during a long upload", upload: uploadBytes, end: func(far *net.TCPConn) { _ = far.CloseWrite() }, whole: true},
		{name: "regular end behind the upload", upload: uploadBytes, end: func(far *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, far, uploadBytes-1)
			_ = far.Close()
		}, whole: true},
		{name: "regular end without an upload", end: func(far *net.TCPConn) { _ = far.Close() }, whole: true},
	} {
		for _, pause := range []time.Duration{0, 300 * time.Microsecond, 20 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %s", scene.name, pause), func(t *testing.T) {
				t.Parallel()
				for range triesEach {
					near, far := peerOf(t)
					go func() { _, _ = near.Write(make([]byte, scene.upload)) }()
					if scene.upload > 0 {
						// A connection that is closed before anything has arrived ends regularly.
						_, err := far.Read(make([]byte, 1))
						must.NoError(t, err)
					}
					_, err := io.WriteString(far, "part")
					must.NoError(t, err)
					time.Sleep(pause)
					go scene.end(far)
					_ = near.SetReadDeadline(time.Now().Add(endWait))
					read, err := io.ReadAll(near)
					if scene.whole {
						must.NoError(t, err)
						must.Eq(t, "part", string(read))
					} else {
						must.ErrorIs(t, err, syscall.ECONNRESET)
					}
					_ = near.Close()
					_ = far.Close()
				}
			})
		}
	}
}

// A read that goes on after a reset must not find a regular end later.
func TestResetStaysAReset(t *testing.T) {
	near, far := peerOf(t)
	_ = far.SetLinger(0)
	_ = far.Close()
	for range 3 {
		_, err := near.Read(make([]byte, 1))
		must.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// Nothing may read past Read: io.Copy would take the regular end of the socket for one.
func TestCopyIsToldOfAReset(t *testing.T) {
	near, far := peerOf(t)
	go func() { _, _ = near.Write(make([]byte, uploadBytes)) }()
	time.Sleep(20 * time.Millisecond)
	_ = far.SetLinger(0)
	_ = far.Close()
	_, err := io.Copy(io.Discard, near)
	must.ErrorIs(t, err, syscall.ECONNRESET)
	_, passesBy := near.(io.WriterTo)
	must.False(t, passesBy)
}

// Connections of other kinds are left as they are, and a failed dial stays one.
func TestOtherConnectionsAreLeft(t *testing.T) {
	near, far := net.Pipe()
	must.True(t, New(near) == near)
	go func() { _ = far.Close() }()
	_, err := near.Read(make([]byte, 1))
	must.True(t, err == io.EOF)
	failed := errors.New("no route")
	_, err = Dial(func(context.Context, string, string) (net.Conn, error) { return nil, failed })(t.Context(), "tcp", "a:1")
	must.ErrorIs(t, err, failed)
}
