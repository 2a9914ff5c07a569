package configlog

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
)

// maxPutAttempts bounds the attempts of a write after lost responses and conflicts.
const maxPutAttempts = 4

// Objects is the part of the object API that the log uses.
type Objects interface {
	Get(ctx context.Context, key string) (objectapi.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion objectapi.Version) (objectapi.Version, error)
}

// Proposal is a change requested by an operator.
type Proposal struct {
	// ChangeID is chosen by the operator's tool. A proposal that is sent again
	// under the same identifier is accepted only once.
	ChangeID string
	Operator string
	// From is the revision that the change is based on.
	From inventory.Revision
	Note string
	Ops  []inventory.Op
}

// StaleError reports a change that was based on an old revision.
type StaleError struct {
	From    inventory.Revision
	Current inventory.Revision
	// Since contains the changes accepted after From, as far as they could be read.
	Since []Change
}

// Error implements error.
func (e *StaleError) Error() string {
	var since []string
	for _, change := range e.Since {
		since = append(since, fmt.Sprintf("%d by %s: %s", change.Revision, change.Operator, strings.Join(change.ItemNames(), ", ")))
	}
	return fmt.Sprintf("made from revision %d, but revision %d is in force; since then: %s", e.From, e.Current, strings.Join(since, "; "))
}

// Verdict returns NotRun: a refused change has no effect.
func (e *StaleError) Verdict() verdict.Verdict { return verdict.NotRun }

// RejectedError reports an invalid change.
type RejectedError struct{ Cause error }

// Error implements error.
func (e *RejectedError) Error() string { return "change rejected: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RejectedError) Unwrap() error { return e.Cause }

// Verdict returns NotRun: a rejected change has no effect.
func (e *RejectedError) Verdict() verdict.Verdict { return verdict.NotRun }

// OutcomeUnknownError reports a change that may or may not have been accepted.
type OutcomeUnknownError struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("change %s may or may not have been accepted: send it again under the same identifier, or look for it in the audit trail: %s", e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Verdict returns MayHaveRun: the change may be in force.
func (e *OutcomeUnknownError) Verdict() verdict.Verdict { return verdict.MayHaveRun }

// maxItemNames is the number of items of one change that a message lists.
const maxItemNames = 5

// ItemNames returns the names of the first items that a change modifies, and how many
// more there are.
func (c Change) ItemNames() []string {
	var items []string
	for _, op := range c.Ops {
		if len(items) == maxItemNames {
			return append(items, fmt.Sprintf("and %d more", c.Items-maxItemNames))
		}
		items = append(items, op.Item())
	}
	if c.OpsInChunks {
		items = append(items, fmt.Sprintf("%d items", c.Items))
	}
	return items
}

// Publisher writes changes to the log.
type Publisher struct {
	objects Objects
	reader  *Reader
}

// NewPublisher returns a publisher.
func NewPublisher(objects Objects) *Publisher {
	return &Publisher{objects: objects, reader: NewReader(objects)}
}

// Publish attempts to get a change accepted and returns it with its revision. It starts
// from a known snapshot of any revision and reads what was accepted since. The error
// carries a verdict: NotRun if the change was not accepted and never
// will be, MayHaveRun if that is not known.
func (p *Publisher) Publish(ctx context.Context, known *inventory.Snapshot, proposal Proposal, now time.Time) (Change, error) {
	var lost error
	for range maxPutAttempts {
		change, err := p.publishOnce(ctx, known, proposal, now)
		if err == nil {
			return change, nil
		}
		if errors.Is(err, objectapi.ErrConflict) {
			// Another operator's change was accepted first and this one is not in
			// force: read the head again and decide by its new state.
			continue
		}
		if !errors.Is(err, objectapi.ErrAnswerLost) {
			return Change{}, finalError(proposal, lost, err)
		}
		lost = err
	}
	return Change{}, finalError(proposal, lost, errors.New("too many tries"))
}

// finalError returns the error after the last attempt. Once a response was lost, only a
// newer head that does not name the change proves that it was not accepted.
func finalError(proposal Proposal, lost, err error) error {
	var stale *StaleError
	if lost == nil || errors.As(err, &stale) {
		return err
	}
	return &OutcomeUnknownError{ChangeID: proposal.ChangeID, Cause: lost}
}

func (p *Publisher) publishOnce(ctx context.Context, known *inventory.Snapshot, proposal Proposal, now time.Time) (Change, error) {
	head, version, err := p.reader.Head(ctx)
	if err != nil {
		return Change{}, err
	}
	if ref, ok := head.Find(proposal.ChangeID); ok {
		return p.reader.Change(ctx, ref)
	}
	if proposal.From != head.Revision {
		return Change{}, p.staleError(ctx, head, proposal)
	}
	snapshot, _, err := p.reader.CatchUp(ctx, known, head)
	if err != nil {
		return Change{}, err
	}
	next, err := snapshot.Apply(head.Revision+1, proposal.Ops)
	if err != nil {
		return Change{}, &RejectedError{Cause: err}
	}
	change := Change{
		ID: proposal.ChangeID, Operator: proposal.Operator, At: now.UTC(), From: proposal.From,
		Revision: head.Revision + 1, Note: proposal.Note, Previous: head.last(),
		Ops: proposal.Ops, Items: len(proposal.Ops),
	}
	return p.writeChange(ctx, head, version, change, next)
}

func (p *Publisher) writeChange(ctx context.Context, head Head, version objectapi.Version, change Change, next *inventory.Snapshot) (Change, error) {
	text, err := json.Marshal(change)
	if err != nil {
		return Change{}, &RejectedError{Cause: err}
	}
	if len(text) > maxInlineOpsBytes {
		change.OpsInChunks = true
		change.Ops = nil
		text, _ = json.Marshal(change)
	}
	nextHead := head.withChange(change)
	if change.OpsInChunks || change.Revision-head.ChunksRevision >= compactionInterval {
		if nextHead.Chunks, err = p.writeChunks(ctx, next); err != nil {
			return Change{}, err
		}
		nextHead.ChunksRevision = change.Revision
	}
	if err := p.createImmutable(ctx, change.Ref().Key(), text); err != nil {
		return Change{}, err
	}
	headText, err := json.Marshal(nextHead)
	if err != nil {
		return Change{}, &RejectedError{Cause: err}
	}
	_, err = p.objects.Put(ctx, HeadKey, headText, version)
	return change, err
}

func (p *Publisher) staleError(ctx context.Context, head Head, proposal Proposal) error {
	stale := &StaleError{From: proposal.From, Current: head.Revision}
	refs, _ := head.After(proposal.From)
	for _, ref := range refs {
		change, err := p.reader.Change(ctx, ref)
		if err != nil {
			return stale
		}
		stale.Since = append(stale.Since, change)
	}
	return stale
}
