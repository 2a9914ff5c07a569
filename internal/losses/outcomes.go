package losses

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Grouping selects how requests are grouped for Outcomes.
type Grouping string

// The groupings.
const (
	ByRank      Grouping = "rank"
	ByWorkspace Grouping = "workspace"
)

// noGroup is the group of requests whose lines don't tell theirs.
const noGroup = "-"

// Outcomes counts the requests of one group by outcome.
type Outcomes struct {
	// Group is a precedence as W,R (the priorities of the workspace and of the route), or the
	// name of a workspace, or "-" for requests without one.
	Group    string `json:"group"`
	Requests int    `json:"requests"`
	OnTime   int    `json:"on_time"`
	Late     int    `json:"late"`
	Refused  int    `json:"refused"`
	// Other counts requests that failed, broke off or whose caller left.
	Other int `json:"other"`

	// Precedence is that of the group, if requests are grouped by it.
	Precedence Precedence `json:"-"`
}

// Precedence is a request's position in the priority order as logged, see site.Precedence.
type Precedence struct {
	Workspace, Route int
	// Known is set if the line tells the precedence.
	Known bool
}

// UnmarshalJSON accepts [W,R]. Anything else leaves the precedence unknown, so that the rest of the
// line is still counted.
func (p *Precedence) UnmarshalJSON(raw []byte) error {
	var pair []int
	if json.Unmarshal(raw, &pair) == nil && len(pair) == 2 {
		*p = Precedence{Workspace: pair[0], Route: pair[1], Known: true}
	}
	return nil
}

// String returns W,R, or "-" if the precedence is unknown.
func (p Precedence) String() string {
	if !p.Known {
		return noGroup
	}
	return fmt.Sprintf("%d,%d", p.Workspace, p.Route)
}

// compare orders known precedences before unknown ones.
func (p Precedence) compare(other Precedence) int {
	if p.Known != other.Known {
		if p.Known {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(p.Workspace, other.Workspace), cmp.Compare(p.Route, other.Route))
}

// CountOutcomes counts the requests that match a filter by group and outcome. Precedences are
// sorted, highest first, and workspaces by the number of requests, most first. It returns an error
// if no line tells the group.
func CountOutcomes(requests []Request, filter Filter, by Grouping) ([]Outcomes, error) {
	byGroup := map[string]*Outcomes{}
	for _, request := range requests {
		if !filter.matches(request) {
			continue
		}
		group := request.group(by)
		if byGroup[group] == nil {
			byGroup[group] = &Outcomes{Group: group}
			if by == ByRank {
				byGroup[group].Precedence = request.Precedence
			}
		}
		byGroup[group].add(request.Cause())
	}
	if len(byGroup) == 0 || (len(byGroup) == 1 && byGroup[noGroup] != nil) {
		return nil, errors.Errorf("no line of these requests tells the %s", by)
	}
	rows := make([]Outcomes, 0, len(byGroup))
	for _, outcomes := range byGroup {
		rows = append(rows, *outcomes)
	}
	slices.SortFunc(rows, func(a, b Outcomes) int {
		if by == ByRank {
			return a.Precedence.compare(b.Precedence)
		}
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), strings.Compare(a.Group, b.Group))
	})
	return rows, nil
}

func (r Request) group(by Grouping) string {
	if by == ByRank {
		return r.Precedence.String()
	}
	return cmp.Or(r.Workspace, noGroup)
}

func (o *Outcomes) add(cause Cause) {
	o.Requests++
	switch {
	case cause == OnTime:
		o.OnTime++
	case slices.Contains([]Cause{LateLoad, LateRetries, LateRunner, LatePause}, cause):
		o.Late++
	case strings.HasPrefix(string(cause), string(Refused)):
		o.Refused++
	default:
		o.Other++
	}
}
