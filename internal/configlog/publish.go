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

const lostAnswerTries = 4

// Objects is what the log needs of the object API.
type Objects interface {
	Get(ctx context.Context, key string) (objectapi.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion objectapi.Version) (objectapi.Version, error)
}

// Proposal is a change that an operator wants.
type Proposal struct {
	// ChangeID is chosen by the operator's tool. The same proposal sent again
	// under it is accepted only once.
	ChangeID string
	Operator string
	From     inventory.Revision
	Note     string
	Ops      []inventory.Op
}

// StaleError refuses a change that was made from an old revision.
type StaleError struct {
	From    inventory.Revision
	Current inventory.Revision
	Since   []Change
}

// Error implements error.
func (e *StaleError) Error() string {
	var since []string
	for _, change := range e.Since {
		since = append(since, fmt.Sprintf("%d by %s: %s", change.Revision, change.Operator, strings.Join(change.ItemNames(), ", ")))
	}
	return fmt.Sprintf("made from revision %d, but revision %d is in force; since then: %s", e.From, e.Current, strings.Join(since, "; "))
}

// Verdict says that a refused change has no effect.
func (e *StaleError) Verdict() verdict.Verdict { return verdict.NotRun }

// RejectedError refuses a change that is wrong in itself.
type RejectedError struct{ Cause error }

// Error implements error.
func (e *RejectedError) Error() string { return "change rejected: " + e.Cause.Error() }

// Unwrap gives the cause.
func (e *RejectedError) Unwrap() error { return e.Cause }

// Verdict says that a rejected change has no effect.
func (e *RejectedError) Verdict() verdict.Verdict { return verdict.NotRun }

// OutcomeUnknownError says that a change may or may not have been accepted.
type OutcomeUnknownError struct {
	ChangeID string
	Cause    error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("change %s may or may not have been accepted: send it again under the same identifier, or look for it in the audit trail: %s", e.ChangeID, e.Cause)
}

// Unwrap gives the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// Verdict says that the change may be in force.
func (e *OutcomeUnknownError) Verdict() verdict.Verdict { return verdict.MayHaveRun }

// touchedLimit bounds the items that a message lists of one change.
const touchedLimit = 5

// ItemNames lists the items that a change touches, the first few of many.
func (c Change) ItemNames() []string {
	var items []string
	for _, op := range c.Ops {
		if len(items) == touchedLimit {
			return append(items, fmt.Sprintf("and %d more", c.Items-touchedLimit))
		}
		items = append(items, op.Item())
	}
	if c.OpsInChunks {
		items = append(items, fmt.Sprintf("%d items", c.Items))
	}
	return items
}

// Publisher writes changes.
type Publisher struct {
	objects Objects
	reader  *Reader
}

// NewPublisher makes a publisher.
func NewPublisher(objects Objects) *Publisher {
	return &Publisher{objects: objects, reader: NewReader(objects)}
}

// Publish tries to have a change accepted and gives it with its revision. The
// error carries a verdict: NotRun if the change was not accepted and never
// will be, MayHaveRun if that is not known.
func (p *Publisher) Publish(ctx context.Context, known *inventory.Snapshot, proposal Proposal, now time.Time) (Change, error) {
	var lost error
	for range lostAnswerTries {
		change, err := p.try(ctx, known, proposal, now)
		if err == nil {
			return change, nil
		}
		if errors.Is(err, objectapi.ErrConflict) {
			// Another operator's change won the race: read the head again and
			// refuse or accept on what it says now. Nothing of ours is in force.
			continue
		}
		if !errors.Is(err, objectapi.ErrAnswerLost) {
			return Change{}, settle(proposal, lost, err)
		}
		lost = err
	}
	return Change{}, settle(proposal, lost, errors.New("too many tries"))
}

// settle gives the error after which no further try is made. Once an answer
// was lost, only a head that has moved on proves that the change is not in it.
func settle(proposal Proposal, lost, err error) error {
	var stale *StaleError
	if lost == nil || errors.As(err, &stale) {
		return err
	}
	return &OutcomeUnknownError{ChangeID: proposal.ChangeID, Cause: lost}
}

func (p *Publisher) try(ctx context.Context, known *inventory.Snapshot, proposal Proposal, now time.Time) (Change, error) {
	head, version, err := p.reader.Head(ctx)
	if err != nil {
		return Change{}, err
	}
	if ref, ok := head.Find(proposal.ChangeID); ok {
		return p.reader.Change(ctx, ref)
	}
	if proposal.From != head.Revision {
		return Change{}, p.stale(ctx, head, proposal)
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
	return p.write(ctx, head, version, change, next)
}

func (p *Publisher) write(ctx context.Context, head Head, version objectapi.Version, change Change, next *inventory.Snapshot) (Change, error) {
	text, err := json.Marshal(change)
	if err != nil {
		return Change{}, &RejectedError{Cause: err}
	}
	if len(text) > inlineOpsBytes {
		change.OpsInChunks = true
		change.Ops = nil
		text, _ = json.Marshal(change)
	}
	nextHead := head.extend(change)
	if change.OpsInChunks || change.Revision-head.ChunksRevision >= compactAfter {
		if nextHead.Chunks, err = p.writeChunks(ctx, next); err != nil {
			return Change{}, err
		}
		nextHead.ChunksRevision = change.Revision
	}
	if err := p.createOnce(ctx, change.Ref().Key(), text); err != nil {
		return Change{}, err
	}
	headText, err := json.Marshal(nextHead)
	if err != nil {
		return Change{}, &RejectedError{Cause: err}
	}
	_, err = p.objects.Put(ctx, HeadKey, headText, version)
	return change, err
}

func (p *Publisher) stale(ctx context.Context, head Head, proposal Proposal) error {
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
