// Package claims ensures that a non-idempotent request runs at most once, even if its caller
// retries it through another host or after the first host failed: before the request is sent,
// its idempotency key is claimed with a conditional write to the object API, which only one host
// can win.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/cherrystage/cherrystage/internal/objectapi"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
)

const (
	keyPrefix = "claims/"
	// claimAttempts bounds the writes with which Begin claims a key, finishAttempts those with
	// which Finish records an outcome. finishBackoff is the wait after the first failed write of
	// Finish; it doubles each time.
	claimAttempts  = 3
	finishAttempts = 4
	finishBackoff  = 250 * time.Millisecond
)

// Objects is the part of the object API that claims use.
type Objects interface {
	Get(ctx context.Context, key string) (objectapi.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion objectapi.Version) (objectapi.Version, error)
	List(ctx context.Context, prefix string) (objectapi.Listing, error)
	Delete(ctx context.Context, key string, ifVersion objectapi.Version) error
}

// Retention is how long a claim is kept. A day covers every caller that retries a request, over
// all three shifts of a working day, and bounds the number of stored claims.
const Retention = 24 * time.Hour

// record is a stored claim. Outcome is the verdict's name. It is empty while the request may be
// in progress, and stays empty if the claiming host fails.
type record struct {
	// Nonce distinguishes this attempt from all others, so that a host whose response was lost
	// recognizes its own claim.
	Nonce   string    `json:"nonce"`
	Request string    `json:"request"`
	Host    string    `json:"host"`
	At      time.Time `json:"at"`
	Outcome string    `json:"ended,omitempty"`
}

// Claim is the exclusive right to run a request.
type Claim struct {
	store   *Store
	key     string
	record  record
	version objectapi.Version
}

// DuplicateError rejects a request whose key was claimed before.
type DuplicateError struct {
	Request string
	At      time.Time
	Earlier verdict.Verdict
}

// Error implements error.
func (e *DuplicateError) Error() string {
	return "the same Idempotency-Key came before, as request " + e.Request + " at " + e.At.Format(time.RFC3339) + "; its verdict is " + e.Earlier.String()
}

// Verdict returns the verdict of the earlier request.
func (e *DuplicateError) Verdict() verdict.Verdict { return e.Earlier }

// ErrUnavailable rejects a request whose key could not be claimed.
var ErrUnavailable = errors.New("the claim that keeps this request from running twice cannot be made now")

// Store stores claims in the object API.
type Store struct {
	objects Objects
	host    string
}

// NewStore returns a store of claims for a host.
func NewStore(objects Objects, host string) *Store {
	return &Store{objects: objects, host: host}
}

func objectKey(caller, key string) string {
	digest := sha256.Sum256([]byte(caller + "\x00" + key))
	return keyPrefix + hex.EncodeToString(digest[:])
}

// Begin claims a caller's key. It returns a DuplicateError if the key was claimed before by a
// request that ran or may have run.
func (s *Store) Begin(ctx context.Context, caller, key, request, nonce string, now time.Time) (*Claim, error) {
	claim := &Claim{store: s, key: objectKey(caller, key)}
	claim.record = record{Nonce: nonce, Request: request, Host: s.host, At: now.UTC()}
	text, err := json.Marshal(claim.record)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim")
	}
	var expected objectapi.Version
	for range claimAttempts {
		version, err := s.objects.Put(ctx, claim.key, text, expected)
		switch {
		case err == nil:
			claim.version = version
			return claim, nil
		case errors.Is(err, objectapi.ErrUnavailable):
			return nil, errors.Wrap(ErrUnavailable, err.Error())
		}
		// Either the key is taken or the response was lost: the stored record decides.
		earlier, version, err := s.read(ctx, claim.key)
		switch {
		case errors.Is(err, objectapi.ErrNotFound):
			expected = 0
		case err != nil:
			return nil, errors.Wrap(ErrUnavailable, err.Error())
		case earlier.Nonce == nonce:
			claim.version = version
			return claim, nil
		case earlier.Outcome != verdict.NotRun.String():
			return nil, newDuplicateError(earlier)
		default:
			expected = version
		}
	}
	return nil, ErrUnavailable
}

// Sweep removes the claims that are older than Retention and returns their number. The removal
// is conditional, so a claim that has changed since the listing is kept.
//
// A claim is stored for every non-idempotent request with a key. If claims were never removed,
// they would fill the object API and slow down every listing.
func (s *Store) Sweep(ctx context.Context, now time.Time) (int, error) {
	listing, err := s.objects.List(ctx, keyPrefix)
	if err != nil {
		return 0, errors.Wrap(err, "list claims")
	}
	removed := 0
	for _, object := range listing.Items {
		var rec record
		if err := json.Unmarshal(object.Value, &rec); err != nil {
			return removed, errors.Wrapf(err, "decode claim %s", object.Key)
		}
		if now.Sub(rec.At) < Retention {
			continue
		}
		err := s.objects.Delete(ctx, object.Key, object.Version)
		if err != nil && !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrNotFound) {
			return removed, errors.Wrapf(err, "remove claim %s", object.Key)
		}
		removed++
	}
	return removed, nil
}

func newDuplicateError(earlier record) *DuplicateError {
	// Without an outcome the request may be in progress, or its host may have failed: in both
	// cases it may have run.
	outcome, err := verdict.Parse(earlier.Outcome)
	if err != nil {
		outcome = verdict.MayHaveRun
	}
	return &DuplicateError{Request: earlier.Request, At: earlier.At, Earlier: outcome}
}

func (s *Store) read(ctx context.Context, key string) (record, objectapi.Version, error) {
	object, err := s.objects.Get(ctx, key)
	if err != nil {
		return record{}, 0, err
	}
	var rec record
	err = json.Unmarshal(object.Value, &rec)
	return rec, object.Version, errors.Wrap(err, "decode claim")
}

// Finish records the outcome of the request. It retries for a while in the background if the
// object API is unavailable. A claim that is never finished counts as one that may have run,
// which is safe.
func (c *Claim) Finish(ctx context.Context, outcome verdict.Verdict) {
	c.record.Outcome = outcome.String()
	text, err := json.Marshal(c.record)
	if err != nil {
		return
	}
	ctx = context.WithoutCancel(ctx)
	go func() {
		for try := range finishAttempts {
			_, err := c.store.objects.Put(ctx, c.key, text, c.version)
			if err == nil || errors.Is(err, objectapi.ErrConflict) {
				return
			}
			time.Sleep(finishBackoff << try)
		}
	}()
}
