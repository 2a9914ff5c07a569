package engine

import (
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// What a system has received counts as arrived although its process hasn't read it, and what it has no
// room for does not.
func TestArrivalOverTCP(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("request"))
	must.NoError(t, err)
	for began := time.Now(); !allArrived(conn); time.Sleep(time.Millisecond) {
		must.Less(t, 5*time.Second, time.Since(began))
	}
	_ = conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	for err == nil {
		_, err = conn.Write(make([]byte, 1<<20))
	}
	must.False(t, allArrived(conn))
}

// A connection that tells nothing of what has arrived.
func TestArrivalIsNotAssumed(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	defer func() { _ = far.Close() }()
	must.False(t, allArrived(near))
}
