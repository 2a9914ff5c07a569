// Command smuggle shows that a request that is hidden in the chunked body of another one runs, if the outer one says
// that it is HTTP/1.0 and has a Content-Length too.
package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cherrystage/cherrystage/review/rig"
)

const (
	hosts    = 3
	files    = 4100
	memoryMB = 284
	work     = 30 * time.Millisecond
	// attempts is the number of outer requests.
	attempts = 9
)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: smuggle FOLDER")
		return rig.ExitNotRun
	}
	r, err := rig.New(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return rig.ExitNotRun
	}
	defer r.Close()
	r.PutConfig(7, 30_000)
	var runners []*rig.Runner
	for number := 1; number <= 3; number++ {
		runner, err := r.AddRunner(number, "desk", 6, map[string]time.Duration{"/": work})
		if err != nil {
			r.Note("no runner: %v", err)
			return rig.ExitNotRun
		}
		runners = append(runners, runner)
	}
	var all []*rig.Host
	for number := 1; number <= hosts; number++ {
		host, err := r.AddHost(number, hosts, rig.Limits{MemoryMB: memoryMB, Files: files})
		if err != nil {
			r.Note("no host: %v", err)
			return rig.ExitNotRun
		}
		all = append(all, host)
	}
	if !rig.AwaitReady(all, 15*time.Second) {
		r.Note("not ready")
		return rig.ExitNotRun
	}
	time.Sleep(2 * time.Second)
	for number := range attempts {
		send(r, all[number%len(all)], number)
	}
	return judge(r, runners)
}

// judge counts the requests that ran, and those that ran although no requester sent them as requests.
func judge(r *rig.Rig, runners []*rig.Runner) int {
	asked, unasked := 0, 0
	for _, runner := range runners {
		for _, run := range runner.Runs() {
			if strings.HasPrefix(run.ID, "outer-") {
				asked++
				continue
			}
			unasked++
			r.Note("unasked: %s ran at %s", run.ID, runner.Instance)
		}
	}
	summary := fmt.Sprintf("%d requests sent, %d of them ran; %d ran that were hidden in the body of another", attempts, asked, unasked)
	r.Note("%s", summary)
	fmt.Println(summary)
	switch {
	case unasked > 0:
		return rig.ExitBroken
	case !rig.Troubled() && asked < attempts:
		return rig.ExitNotRun
	default:
		return rig.ExitHeld
	}
}

// send sends a request whose body, in one chunk, has the text of another one. With the disruption it says that it is
// HTTP/1.0 and has the length of the chunk's first line as its Content-Length; without, it is a proper one.
func send(r *rig.Rig, host *rig.Host, number int) {
	hidden := fmt.Sprintf("POST /call/2f HTTP/1.1\r\nHost: ferry.example\r\nX-Cherrystage-Request-Id: hidden-%d\r\nX-Cherrystage-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n", number)
	line := fmt.Sprintf("%x\r\n", len(hidden))
	head := fmt.Sprintf("Host: ferry.example\r\nX-Cherrystage-Request-Id: outer-%d\r\nX-Cherrystage-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n", number)
	first := "POST /call/2f HTTP/1.1\r\n"
	if rig.Troubled() {
		first = "POST /call/2f HTTP/1.0\r\n"
		head += fmt.Sprintf("Connection: keep-alive\r\nContent-Length: %d\r\n", len(line))
	}
	text := first + head + "\r\n" + line + hidden + "\r\n0\r\n\r\n"
	conn, err := net.DialTimeout("tcp", host.Front, time.Second)
	if err != nil {
		r.Note("caller: no channel to host %d: %v", host.Number, err)
		return
	}
	defer func() { _ = conn.Close() }()
	r.Note("caller sends to host %d:\n%s", host.Number, text)
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(conn, text)
	answer, _ := io.ReadAll(conn)
	r.Note("caller gets:\n%s", answer)
}
