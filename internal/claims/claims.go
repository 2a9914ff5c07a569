// Package claims makes a request that may run only once run at most once, also
// when its caller repeats it through another entry host, or after the first
// one died: before it is sent, its idempotency key is claimed in the object
// API, where no two hosts can claim the same.
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
	keyPrefix   = "claims/"
	claimTries  = 3
	finishTries = 4
	finishPause = 250 * time.Millisecond
)

// Objects is what claims need of the object API.
type Objects interface {
	Get(ctx context.Context, key string) (objectapi.Object, error)
	Put(ctx context.Context, key string, value []byte, ifVersion objectapi.Version) (objectapi.Version, error)
	List(ctx context.Context, prefix string) (objectapi.Listing, error)
	Delete(ctx context.Context, key string, ifVersion objectapi.Version) error
}

// Retention is how long a claim is kept: a day covers every caller that repeats
// a request, over all three shifts, and bounds what lies in the object API.
const Retention = 24 * time.Hour

// record is a stored claim. Ended is empty while the request may be under way;
// it stays so if the claiming host dies.
type record struct {
	// Nonce tells this try from all others, so that a host whose answer was
	// lost knows its own claim.
	Nonce   string    `json:"nonce"`
	Request string    `json:"request"`
	Host    string    `json:"host"`
	At      time.Time `json:"at"`
	Ended   string    `json:"ended,omitempty"`
}

// Claim is the right to run a request once.
type Claim struct {
	store   *Store
	key     string
	record  record
	version objectapi.Version
}

// DuplicateError refuses a request whose key has been claimed before.
type DuplicateError struct {
	Request string
	At      time.Time
	Earlier verdict.Verdict
}

// Error implements error.
func (e *DuplicateError) Error() string {
	return "the same Idempotency-Key came before, as request " + e.Request + " at " + e.At.Format(time.RFC3339) + "; its verdict is " + e.Earlier.String()
}

// Verdict gives the earlier request's verdict.
func (e *DuplicateError) Verdict() verdict.Verdict { return e.Earlier }

// ErrUnavailable refuses a request whose claim could not be made.
var ErrUnavailable = errors.New("the claim that keeps this request from running twice cannot be made now")

// Store makes claims.
type Store struct {
	objects Objects
	host    string
}

// NewStore makes a store of claims for a host.
func NewStore(objects Objects, host string) *Store {
	return &Store{objects: objects, host: host}
}

func objectKey(caller, key string) string {
	digest := sha256.Sum256([]byte(caller + "\x00" + key))
	return keyPrefix + hex.EncodeToString(digest[:])
}

// Begin claims a caller's key. It returns a DuplicateError if the key was
// claimed before by a request that ran or may have run.
func (s *Store) Begin(ctx context.Context, caller, key, request, nonce string, now time.Time) (*Claim, error) {
	claim := &Claim{store: s, key: objectKey(caller, key)}
	claim.record = record{Nonce: nonce, Request: request, Host: s.host, At: now.UTC()}
	text, err := json.Marshal(claim.record)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim")
	}
	var free objectapi.Version
	for range claimTries {
		version, err := s.objects.Put(ctx, claim.key, text, free)
		switch {
		case err == nil:
			claim.version = version
			return claim, nil
		case errors.Is(err, objectapi.ErrUnavailable):
			return nil, errors.Wrap(ErrUnavailable, err.Error())
		}
		// The key is taken, or the answer was lost: what stands there decides.
		earlier, version, err := s.read(ctx, claim.key)
		switch {
		case errors.Is(err, objectapi.ErrNotFound):
			free = 0
		case err != nil:
			return nil, errors.Wrap(ErrUnavailable, err.Error())
		case earlier.Nonce == nonce:
			claim.version = version
			return claim, nil
		case earlier.Ended != verdict.NotRun.String():
			return nil, duplicate(earlier)
		default:
			free = version
		}
	}
	return nil, ErrUnavailable
}

// Sweep removes claims that are older than Retention and gives their number. A
// claim that changed meanwhile stays: the removal is conditional.
//
// Claims are written for each once-only request. Never removed, they would fill
// the object API and slow every listing.
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

func duplicate(earlier record) *DuplicateError {
	// A claim without an end may be under way, or its host may have died: both may have run.
	ended, err := verdict.Parse(earlier.Ended)
	if err != nil {
		ended = verdict.MayHaveRun
	}
	return &DuplicateError{Request: earlier.Request, At: earlier.At, Earlier: ended}
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

// Finish notes how the request ended. It goes on in the background for a
// while if the object API is away; a claim that is never finished counts as
// one that may have run, which is safe.
func (c *Claim) Finish(ctx context.Context, ended verdict.Verdict) {
	c.record.Ended = ended.String()
	text, err := json.Marshal(c.record)
	if err != nil {
		return
	}
	ctx = context.WithoutCancel(ctx)
	go func() {
		for try := range finishTries {
			_, err := c.store.objects.Put(ctx, c.key, text, c.version)
			if err == nil || errors.Is(err, objectapi.ErrConflict) {
				return
			}
			time.Sleep(finishPause << try)
		}
	}()
}
