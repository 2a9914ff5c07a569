package ingress

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func observe(p *Pressure, late ...time.Duration) {
	for _, l := range late {
		p.Observe(l)
	}
}

// A process that was suspended once is not overloaded; one whose timers are late again and again is,
// until they are on time again.
func TestPressureFollowsTypicalLateness(t *testing.T) {
	p := &Pressure{}
	observe(p, 0, 0, time.Second, 0, 3*time.Second)
	must.False(t, p.High())
	observe(p, 80*time.Millisecond, 60*time.Millisecond)
	must.True(t, p.High())
	observe(p, 0, time.Millisecond)
	must.True(t, p.High())
	observe(p, 0)
	must.False(t, p.High())
}

// Most new connections come to a host that cannot keep up. Their callers go elsewhere at once if they
// are closed unread; open connections are served on.
func TestOverloadedHostClosesNewConnectionsUnread(t *testing.T) {
	p := &Pressure{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	shedding := p.WrapListener(listener)
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := shedding.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	defer func() { _ = shedding.Close() }()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", listener.Addr().String())
		must.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	first := dial()
	open := <-accepted
	observe(p, time.Second, time.Second, time.Second, time.Second, time.Second)
	refused := dial()
	must.NoError(t, refused.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = refused.Read(make([]byte, 1))
	must.Error(t, err)
	must.Eq(t, 1, p.Shed.Load())
	_, err = io.WriteString(open, "served on")
	must.NoError(t, err)
	_, err = io.ReadFull(first, make([]byte, len("served on")))
	must.NoError(t, err)
	observe(p, 0, 0, 0)
	dial()
	must.NotNil(t, <-accepted)
}
