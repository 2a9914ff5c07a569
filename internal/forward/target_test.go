package forward

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/shoenig/test/must"
)

// A runner must get the path and query that its caller sent, byte for byte. With a path that begins with two
// slashes it got a request to another host, and ran another path.
func TestRequestLineHasTheCallersTarget(t *testing.T) {
	for _, target := range []string{
		"/", "/a", "/a//b", "//berth-7/tugs", "///", "//", "//a?x=//b", "//a?", "/a?", "//h:80/a", "//user@h/a", "//a%2fb/%C3%A9", "//a/../b;c=d,e", "/a|b\"<>^`{}",
		"/a%2fb|c", "/a?x=1%2b2&x=|", "//a?x=|", "/\xc3\xa9",
	} {
		must.True(t, CanSend(target), must.Sprint(target))
		must.Eq(t, "POST "+target+" HTTP/1.1", sentRequestLine(t, target))
	}
	for _, target := range []string{"//a|b", "//a b", "//a%zz", "//\xc3\xa9"} {
		must.False(t, CanSend(target), must.Sprint(target))
	}
}

// sentRequestLine returns the line that a runner gets for a target.
func sentRequestLine(t *testing.T, target string) string {
	t.Helper()
	network := standin.NewNetwork()
	defer network.Close()
	listener, err := network.Host("r").Listen("80")
	must.NoError(t, err)
	line := make(chan string, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		text, _ := bufio.NewReader(conn).ReadString('\n')
		line <- strings.TrimSpace(text)
		_ = conn.Close()
	}()
	transport := newTransport(network.Host("h").Dial, keepAlive)
	response, err := transport.RoundTrip(&http.Request{Method: http.MethodPost, URL: runnerURL("r:80", target), Host: "h", Header: http.Header{}})
	must.Error(t, err)
	if response != nil {
		_ = response.Body.Close()
	}
	return <-line
}
