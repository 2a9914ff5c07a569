// Package verdict holds the answer to the one question that decides about a
// retry: may the request have run on its target?
package verdict

import (
	"github.com/pkg/errors"
)

// Verdict says whether a request may have run. The zero value is MayHaveRun,
// so that a verdict nobody thought of never leads to a second run.
type Verdict uint8

const (
	// MayHaveRun: the request, or a part of it, may have reached a target.
	MayHaveRun Verdict = iota
	// NotRun: no target has begun the request, and none will.
	NotRun
	// Ran: a target has run the request to its end.
	Ran
)

// Names of the verdicts, as callers and operators read them.
const (
	nameNotRun     = "not-run"
	nameMayHaveRun = "may-have-run"
	nameRan        = "ran"
)

// String gives the verdict's name in headers, JSON and logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return nameNotRun
	case Ran:
		return nameRan
	default:
		return nameMayHaveRun
	}
}

// Parse reads a verdict's name.
func Parse(name string) (Verdict, error) {
	switch name {
	case nameNotRun:
		return NotRun, nil
	case nameMayHaveRun:
		return MayHaveRun, nil
	case nameRan:
		return Ran, nil
	default:
		return MayHaveRun, errors.Errorf("unknown verdict %q: want %s, %s or %s", name, nameNotRun, nameMayHaveRun, nameRan)
	}
}

// MarshalText writes the verdict's name.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText reads the verdict's name.
func (v *Verdict) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*v = parsed
	return nil
}

// Carrier is an error that knows its verdict.
type Carrier interface {
	error
	Verdict() Verdict
}

// Of gives the verdict that an error carries, and MayHaveRun for an error that
// carries none.
func Of(err error) Verdict {
	var carrier Carrier
	if errors.As(err, &carrier) {
		return carrier.Verdict()
	}
	return MayHaveRun
}
