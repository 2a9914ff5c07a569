package registry

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

// eraChangingStore answers a watch while the replica moves to another era.
type eraChangingStore struct {
	Store
	during func()
}

func (e *eraChangingStore) Watch(_ context.Context, _ string, since uint64, _ time.Duration) (Changes, error) {
	e.during()
	return Changes{Position: Position{Revision: since + 1}}, nil
}

// A watch of era 0 is under way while the replica moves to era 1 by a peer. Its answer is ignored,
// but confirms the replica.
func TestIgnoredChangesDoNotConfirm(t *testing.T) {
	r := NewReplica()
	r.Listed(nil, Position{Revision: 10})
	confirmed := 0
	f := &Follower{Store: &eraChangingStore{during: func() { r.Listed(nil, Position{Era: 1, Revision: 5}) }}, Kind: "k", Sink: r, Now: time.Now, Log: hclog.NewNullLogger(), Wait: time.Second,
		OnConfirmed: func(time.Time) { confirmed++ }}
	must.ErrorIs(t, f.watch(t.Context()), errEarlierEra)
	must.Eq(t, 0, confirmed, must.Sprintf("confirmed at %+v by an answer of era 0", r.Position()))
}

// A late read finds a record that was removed since. It must not spread to other hosts again.
func TestRemovedRecordDoesNotSpread(t *testing.T) {
	ghost := Record{Name: "host.a", Revision: 2, Spec: []byte(`{"broken":true}`)}
	w, q := NewReplica(), NewReplica()
	for _, r := range []*Replica{w, q} {
		r.Listed([]Record{ghost}, Position{Revision: 10})
		r.Changed([]Change{{Record: Record{Name: "host.a", Revision: 2}, Removed: true}}, Position{Revision: 12})
	}
	w.Put(ghost)
	w.Changed([]Change{{Record: Record{Name: "x", Revision: 13, Spec: []byte(`{}`)}}}, Position{Revision: 13})
	base := q.Version()
	changes, ok := w.ChangedSince(base.Position)
	if !ok || !q.MergeChanges(changes, base) {
		parts, base := q.Parts()
		q.MergeParts(w.DifferingParts(parts), base)
	}
	_, back := q.Get("host.a")
	must.False(t, back, must.Sprintf("q at %+v has the removed record again", q.Position()))
}
