package engine

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// sendQueue is a connection that tells itself what hasn't arrived; others are asked through their socket.
type sendQueue interface {
	// Unacknowledged returns the number of bytes sent whose arrival the other side hasn't confirmed.
	Unacknowledged() int
}

// allArrived reports whether the other side's system has confirmed all that was sent on a connection. It
// is false if that is not known.
func allArrived(conn net.Conn) bool {
	switch conn := conn.(type) {
	case sendQueue:
		return conn.Unacknowledged() == 0
	case syscall.Conn:
		queued, err := queuedBytes(conn)
		return err == nil && queued == 0
	default:
		return false
	}
}

// queuedBytes returns the number of bytes in a socket's send queue, which holds them until they are
// confirmed.
func queuedBytes(conn syscall.Conn) (queued int, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) { queued, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if controlErr != nil {
		return 0, controlErr
	}
	return queued, err
}
