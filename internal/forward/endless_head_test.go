package forward

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/shoenig/test/must"
)

// A runner sends a head without an end. Of each such answer net/http would keep 10 MB by itself: a few
// dozen of them exceed a host's memory, and all its requests are lost.
func TestHeadWithoutEndIsGivenUpSoon(t *testing.T) {
	network := standin.NewNetwork()
	listener, err := network.Host("r").Listen("80")
	must.NoError(t, err)
	defer network.Close()
	sent := make(chan int, 1)
	go func() { sent <- floodHead(listener) }()
	transport := newTransport(network.Host("h").Dial, keepAlive)
	_, err = (&http.Client{Transport: transport}).Get("http://r:80/")
	must.Error(t, err)
	must.LessEq(t, 2*maxResponseHeadBytes, <-sent)
}

// floodHead answers the next connection with a head without an end until that is closed, and returns the
// number of bytes that were taken.
func floodHead(listener net.Listener) (sent int) {
	conn, err := listener.Accept()
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Read(make([]byte, 1024))
	text := "HTTP/1.1 200 OK\r\n"
	for {
		n, err := conn.Write([]byte(text))
		sent += n
		if err != nil {
			return sent
		}
		text = strings.Repeat("X-Junk: a\r\n", 100)
	}
}
