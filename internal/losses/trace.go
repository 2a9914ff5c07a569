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

// TraceLine is what one log line tells of one request.
type TraceLine struct {
	At      time.Time `json:"@timestamp"`
	Host    string    `json:"host"`
	Message string    `json:"@message"`
	ID      string    `json:"id"`
	Runner  string    `json:"runner"`
	// Owner is the host that gives the runner its orders, Asked are the owners that did
	// not admit the request, with their runners, as RUNNER@HOST.
	Owner    string `json:"owner"`
	Asked    string `json:"asked"`
	Answered string `json:"answered"`
	// Workspace is whose request it is, CountedBy the host that counted for its quota, or
	// a word on why none was asked.
	Workspace string `json:"workspace"`
	CountedBy string `json:"counted_by"`
	Cause     string `json:"cause"`
	Reason    string `json:"reason"`
	Error     string `json:"error"`
}

// Explanation is why the line's decision went as it did, empty where it does not say.
func (l TraceLine) Explanation() string {
	for _, word := range []string{l.Answered, l.Cause, l.Error, l.Reason} {
		if word != "" {
			return word
		}
	}
	return ""
}

// ReadTrace takes the lines on one request out of logs, in the order of their time. Lines
// that cannot be read are passed over: another line of the request says as much.
func ReadTrace(logs io.Reader, id string) ([]TraceLine, error) {
	lines := bufio.NewScanner(logs)
	lines.Buffer(nil, maxLine)
	var found []TraceLine
	for lines.Scan() {
		line := lines.Bytes()
		begin := bytes.IndexByte(line, '{')
		if begin < 0 || !bytes.Contains(line, []byte(id)) {
			continue
		}
		var traced TraceLine
		if err := json.Unmarshal(line[begin:], &traced); err == nil && traced.ID == id {
			found = append(found, traced)
		}
	}
	slices.SortStableFunc(found, func(a, b TraceLine) int { return a.At.Compare(b.At) })
	return found, errors.Wrap(lines.Err(), "read logs")
}

// HostToRead is a host whose log says more of a request, and why.
type HostToRead struct {
	Host string `json:"host"`
	Why  string `json:"why"`
}

// HostsToRead names the hosts that decided on a request: the one that served it, the
// owner of its last runner, the one that counted for its quota, and the owners that did not
// admit it. Of a fleet of hundreds these are mostly two to four.
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
