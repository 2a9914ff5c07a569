package main

import (
	"bytes"
	"context"
	"encoding/json"
	stdlog "log"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
	"golang.org/x/sys/unix"
)

// socketOption returns an option of a TCP connection.
func socketOption(t *testing.T, conn net.Conn, level, option int) int {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	must.NoError(t, err)
	var value int
	var optionErr error
	must.NoError(t, raw.Control(func(fd uintptr) { value, optionErr = unix.GetsockoptInt(int(fd), level, option) }))
	must.NoError(t, optionErr)
	return value
}

// A sound runner is silent for a second and a half. Whichever of unanswered data and unanswered
// probes gives up first, it must not be before that: the connection's answer would be cut off.
// Dead hosts and stores are noticed within two seconds.
func TestConnectionsToRunnersOutliveASilence(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer func() { _ = listener.Close() }()
	for _, test := range []struct {
		name           string
		dial           func(ctx context.Context, network, address string) (net.Conn, error)
		least, longest time.Duration
	}{
		{"runners", dialRunner, 2500 * time.Millisecond, 4 * time.Second},
		{"hosts and the store", dialPlatform, time.Second, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			conn, err := test.dial(t.Context(), "tcp", listener.Addr().String())
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			userTimeout := time.Duration(socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond
			idle := time.Duration(socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)) * time.Second
			must.Eq(t, 1, socketOption(t, conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE))
			// A user timeout that is set replaces the number of probes.
			giveUp := max(idle, userTimeout)
			must.Between(t, test.least, giveUp, test.longest)
			must.Between(t, test.least, userTimeout, test.longest)
		})
	}
}

// Guards against a reset that looks like a regular end, as the write of a long request was told of it: each
// connection that the process opens must tell the read too.
func TestEachConnectionTellsAReset(t *testing.T) {
	for name, dial := range map[string]func(ctx context.Context, network, address string) (net.Conn, error){
		"runners": dialRunner, "hosts and the store": dialPlatform, "own mode": dialOwnMode,
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			must.NoError(t, err)
			defer func() { _ = listener.Close() }()
			conn, err := dial(t.Context(), "tcp", listener.Addr().String())
			must.NoError(t, err)
			defer func() { _ = conn.Close() }()
			far, err := listener.Accept()
			must.NoError(t, err)
			written := make(chan error, 1)
			go func() {
				_, err := conn.Write(make([]byte, 16<<20))
				written <- err
			}()
			_, err = far.Read(make([]byte, 1))
			must.NoError(t, err)
			must.NoError(t, far.(*net.TCPConn).SetLinger(0))
			must.NoError(t, far.Close())
			// Nothing reads until the write has been told.
			must.ErrorIs(t, <-written, syscall.ECONNRESET)
			_, err = conn.Read(make([]byte, 1))
			must.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}

// Guards against lines of libraries outside the log: net/http writes there what a runner sends on an idle
// connection.
func TestStandardLogIsPartOfTheLog(t *testing.T) {
	flags, output := stdlog.Flags(), stdlog.Writer()
	t.Cleanup(func() {
		stdlog.SetFlags(flags)
		stdlog.SetOutput(output)
	})
	var out bytes.Buffer
	redirectStandardLog(hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: &out}).With("host", "h"))
	stdlog.Printf("Unsolicited response starting with %q", "HTTP/1.1 200\r\n")
	var line struct {
		Message string `json:"@message"`
		Level   string `json:"@level"`
		Host    string `json:"host"`
	}
	must.NoError(t, json.Unmarshal(out.Bytes(), &line))
	must.Eq(t, "info", line.Level)
	must.Eq(t, "h", line.Host)
	must.StrContains(t, line.Message, "Unsolicited")
}
