// Package losses reads the request lines in the logs of hosts and determines why requests were
// not served on time.
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

// Cause is the reason why a request was not served on time.
type Cause string

// Causes. Refused and Failed are prefixes, followed by the logged reason.
const (
	OnTime        Cause = "on time"
	CallerLeft    Cause = "the caller left"
	Refused       Cause = "refused: "
	Failed        Cause = "failed: "
	RunnerFailed  Cause = "failed: the runner's own answer"
	Truncated     Cause = "the answer was broken off"
	LateLoad      Cause = "late: waited for its adapter"
	LateRetries   Cause = "late: sent more than once"
	LateRunner    Cause = "late: the runner was slow to begin"
	LatePause     Cause = "late: a pause between two events"
	unknownReason       = "no reason logged"
)

const (
	// statusCallerLeft is logged as the status of a request whose caller closed the connection.
	statusCallerLeft = 499
	// dominantShare is the share of the target latency above which waiting for an adapter load
	// is the cause of a late response.
	dominantShare = 0.5
	// maxLineBytes limits the length of a line. A request line has about 1 KB.
	maxLineBytes = 1 << 20
)

// Request is a request as logged. Times are in milliseconds.
type Request struct {
	Message     string    `json:"@message"`
	At          time.Time `json:"@timestamp"`
	ID          string    `json:"id"`
	Kind        string    `json:"kind"`
	Workspace   string    `json:"workspace"`
	Route       string    `json:"route"`
	Status      int       `json:"status"`
	Complete    bool      `json:"complete"`
	Sends       int       `json:"sends"`
	DurationMS  float64   `json:"ms"`
	FirstMS     float64   `json:"first_ms"`
	LoadWaitMS  float64   `json:"load_wait_ms"`
	GapMS       float64   `json:"gap_ms"`
	TargetMS    float64   `json:"target_ms"`
	TargetGapMS float64   `json:"target_gap_ms"`
	// Answered is the reason that the response gave for a refusal or a failure.
	Answered string `json:"answered"`
	// NotAdmitted lists the reasons for which runners did not admit the request, separated by
	// "; ".
	NotAdmitted string `json:"not_admitted"`
	// FailureCause is the cause of the last failed attempt.
	FailureCause string `json:"cause"`
	// Precedence is absent where requests aren't ordered by priority.
	Precedence Precedence `json:"precedence"`
}

// Cause returns the reason why a request was not served on time, or OnTime.
func (r Request) Cause() Cause {
	switch {
	case r.Status == statusCallerLeft:
		return CallerLeft
	case r.Status == http.StatusServiceUnavailable, r.Status == http.StatusTooManyRequests:
		return Refused + Cause(r.refusalReason())
	case r.Status >= http.StatusInternalServerError && r.Answered == "" && r.FailureCause == "":
		return RunnerFailed
	case r.Status >= http.StatusInternalServerError:
		return Failed + Cause(firstNonEmpty(r.Answered, r.FailureCause))
	case !r.Complete:
		return Truncated
	case r.TargetMS > 0 && r.FirstMS > r.TargetMS:
		return r.lateCause()
	case r.TargetGapMS > 0 && r.GapMS > r.TargetGapMS:
		return LatePause
	default:
		return OnTime
	}
}

// lateCause returns the cause of a response that began too late.
func (r Request) lateCause() Cause {
	switch {
	case r.LoadWaitMS > dominantShare*r.TargetMS:
		return LateLoad
	case r.Sends > 1:
		return LateRetries
	default:
		return LateRunner
	}
}

// refusalReason returns the most frequent reason for which runners did not admit the request or,
// if none was logged, that of the response.
func (r Request) refusalReason() string {
	if r.NotAdmitted == "" {
		return firstNonEmpty(r.Answered, r.FailureCause)
	}
	reasons := strings.Split(r.NotAdmitted, "; ")
	counts := map[string]int{}
	mostFrequent := reasons[0]
	for _, reason := range reasons {
		counts[reason]++
		if counts[reason] > counts[mostFrequent] {
			mostFrequent = reason
		}
	}
	return mostFrequent
}

func firstNonEmpty(values ...string) string {
	for _, value := range values {
		if value != "" {
			return value
		}
	}
	return unknownReason
}

// Summary summarizes the requests with one cause. Times are medians in milliseconds.
type Summary struct {
	Cause            Cause   `json:"cause"`
	Requests         int     `json:"requests"`
	Share            float64 `json:"share"`
	MedianDurationMS float64 `json:"took_ms"`
	MedianLoadWaitMS float64 `json:"waited_ms"`
	// WorstWindow is the start of the time window with the most requests; Example is the ID of
	// one request.
	WorstWindow time.Time `json:"worst"`
	Example     string    `json:"example"`
}

// windowLength is the length of the time windows among which the worst is determined.
const windowLength = 2 * time.Second

// ReadRequests reads the request lines in logs. It ignores other lines and any prefix before the
// JSON of a line, and counts the request lines that cannot be parsed.
func ReadRequests(logs io.Reader) (requests []Request, unreadable int, err error) {
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line := scanner.Bytes()
		jsonStart := bytes.IndexByte(line, '{')
		if jsonStart < 0 || !bytes.Contains(line, []byte(`"@message":"request"`)) {
			continue
		}
		var request Request
		if err := json.Unmarshal(line[jsonStart:], &request); err != nil {
			unreadable++
			continue
		}
		requests = append(requests, request)
	}
	return requests, unreadable, errors.Wrap(scanner.Err(), "read logs")
}

// Filter selects requests; empty fields match all.
type Filter struct {
	Kind      string
	Workspace string
}

func (f Filter) matches(r Request) bool {
	return (f.Kind == "" || f.Kind == r.Kind) && (f.Workspace == "" || f.Workspace == r.Workspace)
}

// Summarize groups the requests that match a filter by cause, the most frequent cause first.
func Summarize(requests []Request, filter Filter) []Summary {
	byCause := map[Cause][]Request{}
	total := 0
	for _, request := range requests {
		if !filter.matches(request) {
			continue
		}
		total++
		cause := request.Cause()
		byCause[cause] = append(byCause[cause], request)
	}
	summaries := make([]Summary, 0, len(byCause))
	for cause, group := range byCause {
		summaries = append(summaries, summarizeCause(cause, group, total))
	}
	slices.SortFunc(summaries, func(a, b Summary) int {
		if a.Requests != b.Requests {
			return b.Requests - a.Requests
		}
		return strings.Compare(string(a.Cause), string(b.Cause))
	})
	return summaries
}

func summarizeCause(cause Cause, group []Request, total int) Summary {
	summary := Summary{
		Cause: cause, Requests: len(group), Share: float64(len(group)) / float64(total), Example: group[0].ID,
		MedianDurationMS: median(group, func(r Request) float64 { return r.DurationMS }),
		MedianLoadWaitMS: median(group, func(r Request) float64 { return r.LoadWaitMS }),
	}
	most := 0
	counts := map[time.Time]int{}
	for _, request := range group {
		at := request.At.Truncate(windowLength)
		counts[at]++
		if counts[at] > most {
			most, summary.WorstWindow = counts[at], at
		}
	}
	return summary
}

func median(requests []Request, of func(Request) float64) float64 {
	values := make([]float64, 0, len(requests))
	for _, request := range requests {
		values = append(values, of(request))
	}
	slices.Sort(values)
	return values[len(values)/2]
}
