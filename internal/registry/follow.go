package registry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

const (
	// watchMargin is how long after its wait a watch without an answer is given
	// up.
	watchMargin = 2 * time.Second
	// retryFirst and retryMost bound the pause after a failed call. The longest
	// pause leaves half of a configuration's two seconds to be in force.
	// dueStep is how often it is looked whether the other hosts still pass on
	// what they learn.
	dueStep    = 200 * time.Millisecond
	retryFirst = 50 * time.Millisecond
	retryMost  = 500 * time.Millisecond
)

// Sink takes what a follower learns.
type Sink interface {
	// Listed replaces all records, as of a position of the store, and says whether the sink
	// knows all of that now. It does not go back to an earlier era.
	Listed(records []Record, at Position) bool
	// ListedStale replaces all records by those of a copy of the store, of no known position.
	ListedStale(records []Record)
	// Changed applies changes up to a position of the store.
	Changed(changes []Change, at Position)
	// Position tells up to where the sink is complete by the store's own word; its revision
	// is 0 before that.
	Position() Position
}

// Follower keeps a sink up to date with one kind of record.
type Follower struct {
	Store Store
	Kind  string
	Sink  Sink
	Now   func() time.Time
	Log   hclog.Logger

	// Wait is how long a watch waits. A watch is not trusted alone: it may hear
	// nothing of a change and stay open. The next one begins where it began and
	// gets the change at once, so Wait bounds how late a change is seen.
	Wait time.Duration
	// MinInterval is the least time between two watches. Changes that come in between
	// are told together, for the price of one call.
	MinInterval time.Duration
	// WatchDelay gives how long the next watch may be left to other hosts, which pass on
	// what they learn; it may be nil.
	WatchDelay func() time.Duration
	// MaxRetryPause gives the longest pause after a failed call while other hosts look
	// after this kind of record as well; it may be nil.
	MaxRetryPause func() time.Duration
	// DeferList says that the first listing is of no use yet; it may be nil. Hosts that
	// all start while the store is down then ask for one kind of record and not
	// for each.
	DeferList func() bool
	// OnStaleList is set where the first listing may come from a copy of the store that is
	// some seconds behind, and is called after it. Others, or the next listing, tell what
	// has changed since. No watch goes on from a copy: what it holds may be of an earlier
	// era, and the watch would miss what the store has lost of that.
	//
	// The load it answers: hundreds of hosts start in the same second and list each
	// kind of record, two thirds of all that they ever ask of the store.
	OnStaleList func()
	// OnConfirmed is called once the sink has taken an answer that is not from a copy, with
	// a moment up to which the sink has everything; it may be nil.
	//
	// Called before, a host that takes half a second to read a configuration told others
	// meanwhile that the one before was the newest.
	OnConfirmed func(asOf time.Time)
	// OnOutageEnd is called when the store answers again after it was out of reach
	// for a time; it may be nil.
	OnOutageEnd func(length time.Duration)

	lost   atomic.Bool
	lostAt time.Time
	// forgotten says that the store's history no longer reaches back to what the sink knows.
	forgotten bool
}

// Run lists, then watches, until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.hold(ctx)
	pause := retryFirst
	relist := !f.copied(ctx)
	for ctx.Err() == nil {
		if !relist && f.WatchDelay != nil {
			if due := f.WatchDelay(); due > 0 {
				timing.Sleep(ctx, min(due, dueStep))
				continue
			}
		}
		begun := f.Now()
		err := f.step(ctx, relist)
		if err == nil {
			timing.Sleep(ctx, f.MinInterval-f.Now().Sub(begun))
			relist = false
			pause = retryFirst
			continue
		}
		gone := errors.Is(err, ErrHistoryGone)
		relist = relist || gone
		f.missed(ctx, err)
		if gone {
			f.forgotten = true
			continue
		}
		f.pause(ctx, f.spread(pause))
		// Others have told what a listing would: the next watch goes on from there.
		relist = relist && !f.informed()
		pause = min(2*pause, retryMost)
	}
}

// holdStep is how often it is looked whether the first listing may begin.
const holdStep = 10 * time.Millisecond

func (f *Follower) hold(ctx context.Context) {
	for ctx.Err() == nil && f.DeferList != nil && f.DeferList() && !f.knows() {
		timing.Sleep(ctx, holdStep)
	}
}

// spread gives the pause after a failed call. Where other hosts ask as well it is
// long from the first time on, and differs from host to host.
func (f *Follower) spread(pause time.Duration) time.Duration {
	longest := f.longestPause()
	if longest <= retryMost {
		return pause
	}
	return longest/2 + rand.N(longest/2)
}

// pause waits after a failed call, as long as other hosts make up for it, or until one of
// them has had an answer from the store.
//
// Waited out, a pause of an outage leaves a host of a large fleet deaf for many seconds
// after it, whatever becomes meanwhile of the hosts that watch.
func (f *Follower) pause(ctx context.Context, pause time.Duration) {
	begun := f.Now()
	for ctx.Err() == nil && !f.informed() {
		left := min(pause, f.longestPause()) - f.Now().Sub(begun)
		if left <= 0 {
			return
		}
		timing.Sleep(ctx, min(left, dueStep))
	}
}

// informed says that others have told this host enough not to ask the store.
func (f *Follower) informed() bool {
	return f.WatchDelay != nil && f.knows() && f.WatchDelay() > 0
}

// longestPause is short for a host that knows nothing yet: all hosts may have
// started together, and nobody could tell it.
func (f *Follower) longestPause() time.Duration {
	if f.MaxRetryPause == nil || !f.knows() {
		return retryMost
	}
	return f.MaxRetryPause()
}

// copied takes the first listing from a copy, and says whether it was had.
func (f *Follower) copied(ctx context.Context) bool {
	if f.OnStaleList == nil || ctx.Err() != nil {
		return false
	}
	listing, err := f.Store.ListStale(ctx, f.Kind)
	if err != nil || listing.Revision == 0 {
		f.Log.Debug("no listing from a copy", "kind", f.Kind, "revision", listing.Revision, "error", err)
		return false
	}
	f.Sink.ListedStale(listing.Records)
	f.OnStaleList()
	return true
}

// knows says that the sink has the store's own word.
func (f *Follower) knows() bool { return f.Sink.Position().Revision > 0 }

func (f *Follower) step(ctx context.Context, relist bool) error {
	if relist || !f.knows() {
		return f.list(ctx)
	}
	return f.watch(ctx)
}

// errEarlierEra: the store's answer is of an earlier era than what is known. It was under way
// while others told of the later one.
var errEarlierEra = errors.New("the store's answer is of an earlier era than what is known")

func (f *Follower) list(ctx context.Context) error {
	listing, err := f.Store.List(ctx, f.Kind)
	if err != nil {
		return err
	}
	asOf := f.Now().Add(-listing.Age)
	f.regained()
	f.tellListing(listing)
	if !f.Sink.Listed(listing.Records, listing.Position) {
		return errEarlierEra
	}
	f.forgotten = false
	f.confirm(asOf)
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+watchMargin)
	defer cancel()
	asked := f.Now()
	known := f.Sink.Position()
	changes, err := f.Store.Watch(ctx, f.Kind, known.Revision, f.Wait)
	if err != nil {
		return err
	}
	if changes.Era != known.Era {
		// These are changes after a revision of another history. Taken, all that the store
		// lost would stay known, and what it says instead unknown, without an end.
		f.Log.Warn("store's era changed", "kind", f.Kind, "before", known.Era, "era", changes.Era, "revision", changes.Revision, "known_revision", known.Revision)
		return ErrHistoryGone
	}
	asOf := f.Now().Add(-changes.Age)
	if waited := asked.Add(f.Wait); len(changes.List) == 0 && asOf.After(waited) {
		// A host that was suspended reads the answer later than the store gave it.
		asOf = waited
	}
	f.regained()
	f.Sink.Changed(changes.List, changes.Position)
	f.confirm(asOf)
	return nil
}

// tellListing logs a listing that follows a lost history, or is of another era or older than
// what is known.
func (f *Follower) tellListing(listing Listing) {
	known := f.Sink.Position()
	if f.forgotten || f.knows() && (listing.Era != known.Era || listing.Before(known)) {
		f.Log.Info("records listed again", "kind", f.Kind, "era", listing.Era, "revision", listing.Revision, "known_era", known.Era, "known_revision", known.Revision, "records", len(listing.Records))
	}
}

func (f *Follower) confirm(asOf time.Time) {
	if f.OnConfirmed != nil {
		f.OnConfirmed(asOf)
	}
}

func (f *Follower) regained() {
	if f.lost.CompareAndSwap(true, false) {
		if f.OnOutageEnd != nil {
			f.OnOutageEnd(f.Now().Sub(f.lostAt))
		}
		f.Log.Info("dependency regained", "dependency", "store", "kind", f.Kind, "revision", f.Sink.Position().Revision)
	}
}

func (f *Follower) missed(ctx context.Context, err error) {
	if ctx.Err() != nil || errors.Is(err, ErrHistoryGone) || !f.lost.CompareAndSwap(false, true) {
		return
	}
	f.lostAt = f.Now()
	f.Log.Warn("dependency lost", "dependency", "store", "kind", f.Kind, "revision", f.Sink.Position().Revision, "error", err.Error())
}
