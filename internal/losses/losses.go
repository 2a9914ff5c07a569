// Package losses reads the lines that hosts log of requests and says why those that
// were not served on time were not.
package losses

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Cause is why a request was not served on time.
type Cause string

// Causes, in the order in which they are looked for.
const (
	OnTime       Cause = "on time"
	CallerLeft   Cause = "the caller left"
	Refused      Cause = "refused: "
	Failed       Cause = "failed: "
	RunnerFailed Cause = "failed: the runner's own answer"
	Truncated    Cause = "the answer was broken off"
	LateLoad     Cause = "late: waited for its adapter"
	LateRetries  Cause = "late: sent more than once"
	LateRunner   Cause = "late: the runner was slow to begin"
	LatePause    Cause = "late: a pause between two events"
	unnamedCause       = "no reason logged"
)

const (
	// statusLeft stands in the lines for a caller that closed its connection.
	statusLeft = 499
	// mostlyShare of the target spent on one thing makes it the cause of a late
	// answer.
	mostlyShare = 0.5
	// maxLine bounds one line; a request's is some 1 KB.
	maxLine = 1 << 20
)

// Request is what a line tells of a request. Times are in milliseconds.
type Request struct {
	Message      string    `json:"@message"`
	At           time.Time `json:"@timestamp"`
	ID           string    `json:"id"`
	Kind         string    `json:"kind"`
	Workspace    string    `json:"workspace"`
	Route        string    `json:"route"`
	Status       int       `json:"status"`
	Complete     bool      `json:"complete"`
	Sends        int       `json:"sends"`
	DurationMS   float64   `json:"ms"`
	FirstMS      float64   `json:"first_ms"`
	LoadWaitMS   float64   `json:"load_wait_ms"`
	GapMS        float64   `json:"gap_ms"`
	TargetMS     float64   `json:"target_ms"`
	TargetGapMS  float64   `json:"target_gap_ms"`
	Answered     string    `json:"answered"`
	NotAdmitted  string    `json:"not_admitted"`
	FailureCause string    `json:"cause"`
}

// Cause says why a request was not served on time.
func (r Request) Cause() Cause {
	switch {
	case r.Status == statusLeft:
		return CallerLeft
	case r.Status == http.StatusServiceUnavailable, r.Status == http.StatusTooManyRequests:
		return Refused + Cause(r.refusal())
	case r.Status >= http.StatusInternalServerError && r.Answered == "" && r.FailureCause == "":
		return RunnerFailed
	case r.Status >= http.StatusInternalServerError:
		return Failed + Cause(or(r.Answered, r.FailureCause))
	case !r.Complete:
		return Truncated
	case r.TargetMS > 0 && r.FirstMS > r.TargetMS:
		return r.late()
	case r.TargetGapMS > 0 && r.GapMS > r.TargetGapMS:
		return LatePause
	default:
		return OnTime
	}
}

// late says what took most of the time of an answer that began too late.
func (r Request) late() Cause {
	switch {
	case r.LoadWaitMS > mostlyShare*r.TargetMS:
		return LateLoad
	case r.Sends > 1:
		return LateRetries
	default:
		return LateRunner
	}
}

// refusal is the word that the request met most often while it looked for a runner.
func (r Request) refusal() string {
	if r.NotAdmitted == "" {
		return or(r.Answered, r.FailureCause)
	}
	words := strings.Split(r.NotAdmitted, "; ")
	counts := map[string]int{}
	most := words[0]
	for _, word := range words {
		counts[word]++
		if counts[word] > counts[most] {
			most = word
		}
	}
	return most
}

func or(words ...string) string {
	for _, word := range words {
		if word != "" {
			return word
		}
	}
	return unnamedCause
}

// Summary sums up the requests of one cause. Times are medians in milliseconds.
type Summary struct {
	Cause            Cause   `json:"cause"`
	Requests         int     `json:"requests"`
	Share            float64 `json:"share"`
	MedianDurationMS float64 `json:"took_ms"`
	MedianLoadWaitMS float64 `json:"waited_ms"`
	// Worst is the window that had most of them, Example one request's ID.
	WorstWindow time.Time `json:"worst"`
	Example     string    `json:"example"`
}

// window is the length of the spans of which the worst is named.
const window = 2 * time.Second

// ReadRequests takes the request lines out of logs. Lines of other kinds, and what stands
// before a line's JSON, are passed over; unread counts the lines of requests that
// cannot be read.
func ReadRequests(logs io.Reader) (requests []Request, unread int, err error) {
	lines := bufio.NewScanner(logs)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line := lines.Bytes()
		begin := bytes.IndexByte(line, '{')
		if begin < 0 || !bytes.Contains(line, []byte(`"@message":"request"`)) {
			continue
		}
		var request Request
		if err := json.Unmarshal(line[begin:], &request); err != nil {
			unread++
			continue
		}
		requests = append(requests, request)
	}
	return requests, unread, errors.Wrap(lines.Err(), "read logs")
}

// Filter narrows requests down; what is empty matches all.
type Filter struct {
	Kind      string
	Workspace string
}

func (f Filter) takes(r Request) bool {
	return (f.Kind == "" || f.Kind == r.Kind) && (f.Workspace == "" || f.Workspace == r.Workspace)
}

// Summarize groups requests up by cause, the most frequent first.
func Summarize(requests []Request, filter Filter) []Summary {
	byCause := map[Cause][]Request{}
	total := 0
	for _, request := range requests {
		if !filter.takes(request) {
			continue
		}
		total++
		cause := request.Cause()
		byCause[cause] = append(byCause[cause], request)
	}
	rows := make([]Summary, 0, len(byCause))
	for cause, found := range byCause {
		rows = append(rows, rowOf(cause, found, total))
	}
	slices.SortFunc(rows, func(a, b Summary) int {
		if a.Requests != b.Requests {
			return b.Requests - a.Requests
		}
		return strings.Compare(string(a.Cause), string(b.Cause))
	})
	return rows
}

func rowOf(cause Cause, found []Request, total int) Summary {
	row := Summary{
		Cause: cause, Requests: len(found), Share: float64(len(found)) / float64(total), Example: found[0].ID,
		MedianDurationMS: median(found, func(r Request) float64 { return r.DurationMS }),
		MedianLoadWaitMS: median(found, func(r Request) float64 { return r.LoadWaitMS }),
	}
	most := 0
	counts := map[time.Time]int{}
	for _, request := range found {
		at := request.At.Truncate(window)
		counts[at]++
		if counts[at] > most {
			most, row.WorstWindow = counts[at], at
		}
	}
	return row
}

func median(requests []Request, of func(Request) float64) float64 {
	values := make([]float64, 0, len(requests))
	for _, request := range requests {
		values = append(values, of(request))
	}
	slices.Sort(values)
	return values[len(values)/2]
}
