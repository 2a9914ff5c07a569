package precedence

import (
	"testing"
	"time"

	"github.com/cherrystage/cherrystage/internal/site"
	"github.com/shoenig/test/must"
)

func rank(workspace int) Rank {
	return Rank{Awaited: true, Precedence: site.Precedence{Workspace: workspace}}
}

func TestDisplacedLoadIsTheLowestAndLatest(t *testing.T) {
	queued := []QueuedLoad{
		{Rank: rank(3), DueAt: epoch}, {Rank: rank(5), DueAt: epoch}, {Rank: rank(5), DueAt: epoch.Add(time.Second)},
		{Rank: Rank{Awaited: true, Protected: true, Precedence: site.Precedence{Workspace: 9}}},
	}
	index, found := Displaced(queued, rank(4))
	must.True(t, found)
	must.Eq(t, 2, index)
	_, found = Displaced(queued, rank(5))
	must.False(t, found, must.Sprint("none ranks lower"))
	queued = append(queued, QueuedLoad{})
	index, found = Displaced(queued, rank(9))
	must.True(t, found)
	must.Eq(t, 4, index, must.Sprint("no request waits for it"))
	_, found = Displaced(nil, rank(0))
	must.False(t, found)
}
