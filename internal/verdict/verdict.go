// Package verdict represents whether a request may have run on its target, which determines
// whether it may be retried.
package verdict

import (
	"github.com/pkg/errors"
)

// Verdict says whether a request has run. The zero value is MayHaveRun, so that a missing
// verdict never leads to a second run.
type Verdict uint8

const (
	// MayHaveRun means that the request, or a part of it, may have reached a target.
	MayHaveRun Verdict = iota
	// NotRun means that no target has started the request and none will.
	NotRun
	// Ran means that a target has run the request to completion.
	Ran
)

// Names of the verdicts in headers, JSON and logs.
const (
	nameNotRun     = "not-run"
	nameMayHaveRun = "may-have-run"
	nameRan        = "ran"
)

// String returns the verdict's name in headers, JSON and logs.
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

// Parse returns the verdict with the given name.
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

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	parsed, err := Parse(string(text))
	if err != nil {
		return err
	}
	*v = parsed
	return nil
}

// Carrier is an error that has a verdict.
type Carrier interface {
	error
	Verdict() Verdict
}

// Of returns the verdict of an error, or MayHaveRun for an error without one.
func Of(err error) Verdict {
	var carrier Carrier
	if errors.As(err, &carrier) {
		return carrier.Verdict()
	}
	return MayHaveRun
}
