// Command plainrunner is a stand-in for a runner of a service without models, a process of its own. Its answers have
// neither a length nor chunks and end with their channels. It writes each in two halves, with its work between them.
package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cherrystage/cherrystage/review/rig"
)

// work is the time between the two halves of an answer.
const work = 150 * time.Millisecond

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: plainrunner ADDRESS INSTANCE")
		os.Exit(rig.ExitNotRun)
	}
	listener, err := net.Listen("tcp", os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(rig.ExitNotRun)
	}
	runner := &runner{instance: os.Args[2]}
	_ = (&http.Server{Handler: runner}).Serve(listener)
}

type runner struct{ instance string }

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("X-Cherrystage-Request-Id")
	w.Header().Set("X-Cherrystage-Instance-Id", r.instance)
	if expected := request.Header.Get("X-Cherrystage-Expect-Instance"); expected != "" && expected != r.instance {
		w.Header().Set("X-Cherrystage-Request-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/health" {
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	first, second := rig.Halves(id)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Cherrystage-Request-Id: %s\r\nX-Cherrystage-Response-Stamp: stamp-%s-%s\r\n\r\n%s", id, r.instance, id, first)
	time.Sleep(work)
	_, _ = io.WriteString(conn, second)
}
