package losses

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

const rankedLines = `{"@message":"request","id":"a","workspace":"harbour","precedence":[0,2],"rank":3,"status":200,"complete":true,"first_ms":900,"target_ms":600}
{"@message":"request","id":"b","workspace":"harbour","precedence":[0,2],"rank":0,"status":200,"complete":true}
{"@message":"request","id":"c","workspace":"pilots","rank":[2,0],"precedence":[1,0],"status":503,"answered":"no runner"}
{"@message":"request","id":"d","workspace":"harbour","precedence":[0,10],"status":499}
{"@message":"request","id":"e","rank":[7,0],"status":200,"complete":true,"gap_ms":400,"target_gap_ms":300}`

// Guards against outcomes in the wrong group: the precedence is not taken from the field rank, the
// runner's position in the adapter's order, and is sorted by number.
func TestOutcomesByRankAndWorkspace(t *testing.T) {
	requests, unreadable, err := ReadRequests(strings.NewReader(rankedLines))
	must.NoError(t, err)
	must.Eq(t, 0, unreadable)
	rows, err := CountOutcomes(requests, Filter{}, ByRank)
	must.NoError(t, err)
	must.Eq(t, []Outcomes{
		{Group: "0,2", Precedence: Precedence{Workspace: 0, Route: 2, Known: true}, Requests: 2, OnTime: 1, Late: 1},
		{Group: "0,10", Precedence: Precedence{Workspace: 0, Route: 10, Known: true}, Requests: 1, Other: 1},
		{Group: "1,0", Precedence: Precedence{Workspace: 1, Route: 0, Known: true}, Requests: 1, Refused: 1},
		{Group: "-", Requests: 1, Late: 1},
	}, rows)
	rows, err = CountOutcomes(requests, Filter{}, ByWorkspace)
	must.NoError(t, err)
	must.Eq(t, "harbour", rows[0].Group)
	must.Eq(t, 3, rows[0].Requests)
	must.Eq(t, "-", rows[1].Group)
	must.Eq(t, "pilots", rows[2].Group)
	must.Eq(t, 1, rows[2].Refused)
}

// Guards against a table of one row that looks like a result: lines of hosts that don't order by
// priority have no precedence.
func TestOutcomesOfLinesWithoutGroup(t *testing.T) {
	requests, _, err := ReadRequests(strings.NewReader(`{"@message":"request","id":"a","rank":3,"status":200,"complete":true}`))
	must.NoError(t, err)
	_, err = CountOutcomes(requests, Filter{}, ByRank)
	must.ErrorContains(t, err, "tells the rank")
	_, err = CountOutcomes(requests, Filter{Kind: "streaming"}, ByWorkspace)
	must.ErrorContains(t, err, "tells the workspace")
}
