package site

import (
	"testing"

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
