package losses

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// TraceLine is a log line about one request.
type TraceLine struct {
	At      time.Time `json:"@timestamp"`
	Host    string    `json:"host"`
	Message string    `json:"@message"`
	ID      string    `json:"id"`
	Runner  string    `json:"runner"`
	// Owner is the host that controls the runner. Asked lists the owners that did not admit the
	// request, as RUNNER@HOST.
	Owner     string `json:"owner"`
	Asked     string `json:"asked"`
	Answered  string `json:"answered"`
	Workspace string `json:"workspace"`
	// CountedBy is the host that counted the request for the quota of its workspace, or the
	// reason why none did; only a reason contains spaces.
	CountedBy string `json:"counted_by"`
	Cause     string `json:"cause"`
	Reason    string `json:"reason"`
	Error     string `json:"error"`
}

// Explanation returns the reason that the line gives for its outcome, or "".
func (l TraceLine) Explanation() string {
	for _, text := range []string{l.Answered, l.Cause, l.Error, l.Reason} {
		if text != "" {
			return text
		}
	}
	return ""
}

// ReadTrace returns the lines about one request in logs, sorted by time. Lines that cannot
// be parsed are ignored, because other lines of the request contain the same information.
func ReadTrace(logs io.Reader, id string) ([]TraceLine, error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	var found []TraceLine
	for scanner.Scan() {
		line := scanner.Bytes()
		jsonStart := bytes.IndexByte(line, '{')
		if jsonStart < 0 || !bytes.Contains(line, []byte(id)) {
			continue
		}
		var traceLine TraceLine
		if err := json.Unmarshal(line[jsonStart:], &traceLine); err == nil && traceLine.ID == id {
			found = append(found, traceLine)
		}
	}
	slices.SortStableFunc(found, func(a, b TraceLine) int { return a.At.Compare(b.At) })
	return found, errors.Wrap(scanner.Err(), "read logs")
}

// HostToRead is a host whose log contains more about a request, and the reason.
type HostToRead struct {
	Host string `json:"host"`
	Why  string `json:"why"`
}

// HostsToRead returns the hosts that took part in a request: the one that served it, the owner
// of its last runner, the one that counted it for the quota, and the owners that did not admit
// it. In a fleet of hundreds of hosts these are usually two to four.
func HostsToRead(lines []TraceLine) []HostToRead {
	var hosts []HostToRead
	add := func(host, why string) {
		known := slices.ContainsFunc(hosts, func(h HostToRead) bool { return h.Host == host })
		if host != "" && !known {
			hosts = append(hosts, HostToRead{Host: host, Why: why})
		}
	}
	for _, line := range lines {
		add(line.Host, "it served the request")
	}
	for _, line := range lines {
		add(line.Owner, "it gives "+line.Runner+" its orders, the last runner")
	}
	for _, line := range lines {
		if !strings.Contains(line.CountedBy, " ") {
			add(line.CountedBy, "it counted for the quota of "+line.Workspace)
		}
	}
	for _, line := range lines {
		for _, asked := range strings.Split(line.Asked, "; ") {
			runner, host, _ := strings.Cut(asked, "@")
			add(host, "it did not admit the request to "+runner)
		}
	}
	return hosts
}
