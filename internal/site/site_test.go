package site

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// The longest matching prefix wins in any order of the routes, and host names are
// case-insensitive.
func TestLongestPrefixWins(t *testing.T) {
	config := NewConfig(1, []*Route{
		{Name: "all", Host: "A.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "x", Host: "a.example", Prefix: "/x/"},
	}, nil, Limits{})
	for path, want := range map[string]string{"/": "all", "/xy": "all", "/x/1": "x", "/x/y/1": "deep"} {
		route, ok := config.Match("a.EXAMPLE", path)
		must.True(t, ok)
		must.Eq(t, want, route.Name, must.Sprint(path))
	}
	_, ok := config.Match("b.example", "/")
	must.False(t, ok)
}

// Each target receives its share of the requests, and a target of weight 0 none.
func TestPickByWeight(t *testing.T) {
	route := &Route{Targets: []Target{{Service: "a", Weight: 1}, {Service: "none"}, {Service: "b", Weight: 3}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[route.PickService(float64(i)/1000)]++
	}
	must.Eq(t, map[string]int{"a": 250, "b": 750}, counts)
	must.Eq(t, "", (&Route{}).PickService(0.5))
	must.Eq(t, "b", route.PickService(1), must.Sprint("a draw at the end"))
}

// Of requests that are not idempotent, only resumable streams may run twice.
func TestOnlyIdempotentOrResumableMayRepeat(t *testing.T) {
	must.False(t, (&Route{}).MayRepeat())
	must.False(t, (&Route{Resumable: true}).MayRepeat())
	must.True(t, (&Route{Kind: Idempotent}).MayRepeat())
	must.False(t, (&Route{Kind: Streaming}).MayRepeat())
	must.True(t, (&Route{Kind: Streaming, Resumable: true}).MayRepeat())
}

// The ID of a lifetime maps back to the instance.
func TestLifetimeIDMapsBackToInstance(t *testing.T) {
	must.Eq(t, "i-1", LifetimeID("i-1", 0))
	must.NotEq(t, LifetimeID("i-1", 7), LifetimeID("i-1", 8))
	must.Eq(t, "i-1", InstanceOf(LifetimeID("i-1", 7)))
	must.Eq(t, "i-1", InstanceOf("i-1"))
	withStart := (&Runner{ID: "i-1", Instance: "i-1"}).WithStart(9)
	must.Eq(t, LifetimeID("i-1", 9), withStart.ID)
	must.Eq(t, "i-1", withStart.Instance)
	parsed := ParseAdapter(Adapter{Model: "m", Name: "a/b"}.String())
	must.Eq(t, Adapter{Model: "m", Name: "a/b"}, parsed)
}

// A request with the lower priority of its workspace goes first, whatever its route's.
func TestPrecedence(t *testing.T) {
	first, second := 0, 1
	urgent, usual := &Workspace{Priority: &first}, &Workspace{Priority: &second}
	live, bulk := &Route{Priority: 0}, &Route{Priority: 2}
	order := []Precedence{PrecedenceOf(urgent, live), PrecedenceOf(urgent, bulk), PrecedenceOf(usual, live), PrecedenceOf(usual, bulk), PrecedenceOf(nil, bulk)}
	for i := range len(order) - 1 {
		must.Negative(t, order[i].Compare(order[i+1]))
	}
}

// A configuration whose workspaces have no priorities must be served as before.
func TestOnlyPrioritiesOfWorkspacesAskForAnOrder(t *testing.T) {
	priority := 1
	config := NewConfig(1, []*Route{{Host: "a", Priority: 2}}, nil, Limits{})
	must.False(t, config.OrdersByPriority())
	config.Workspaces = NewWorkspaces([]*Workspace{{Name: "w"}})
	must.False(t, config.OrdersByPriority())
	config.Workspaces = NewWorkspaces([]*Workspace{{Name: "w"}, {Name: "v", Priority: &priority}})
	must.True(t, config.OrdersByPriority())
}

func TestLeastTargetGap(t *testing.T) {
	config := NewConfig(1, []*Route{
		{Host: "a", TargetGap: 300 * time.Millisecond, Targets: []Target{{Service: "s", Weight: 1}}},
		{Host: "b", TargetGap: 250 * time.Millisecond, Targets: []Target{{Service: "s", Weight: 1}, {Service: "t", Weight: 1}}},
		{Host: "b", Targets: []Target{{Service: "u", Weight: 1}}},
	}, nil, Limits{})
	must.Eq(t, 250*time.Millisecond, config.LeastTargetGap("t"))
	must.Eq(t, 250*time.Millisecond, config.LeastTargetGap("s"))
	must.Eq(t, 0, config.LeastTargetGap("u"))
}
