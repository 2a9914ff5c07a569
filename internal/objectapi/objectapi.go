// Package objectapi is the adapter to the platform's object API: values of up
// to a megabyte with versions, conditional updates and watches. All that must
// outlive a host is kept there.
package objectapi

import (
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
)

// MaxValueBytes is the largest value that the platform takes.
const MaxValueBytes = 1 << 20

// Version is the platform's version of an object. It grows with every write
// to any object. Zero stands for an object that does not exist.
type Version uint64

// Object is one stored value.
type Object struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value,omitempty"`
}

// Event tells that an object changed or was deleted.
type Event struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Deleted bool    `json:"deleted,omitempty"`
}

// Listing is the answer to a list or a watch, with the platform's version at
// that moment.
type Listing struct {
	Items   []Object `json:"items"`
	Version Version  `json:"version"`
}

// Changes is the answer to a watch. Reset says that the platform no longer
// knows all changes since the asked version, so the watcher must list again.
type Changes struct {
	Events  []Event `json:"events"`
	Version Version `json:"version"`
	Reset   bool    `json:"reset,omitempty"`
}

// Causes of a failed call.
var (
	// ErrNotFound: the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict: the object's version is not the one that the caller gave.
	ErrConflict = errors.New("object has changed since it was read")
	// ErrUnavailable: the object API did not take the call.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrAnswerLost: the call was sent and no answer came; a write may or may
	// not have taken effect.
	ErrAnswerLost = errors.New("answer of the object API lost")
)

// Error is a failed call, with the verdict on its effect.
type Error struct {
	Op     string // get, put, delete, list or watch
	Key    string
	Cause  error // one of the causes above
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	text := "object API: " + e.Op + " " + e.Key + ": " + e.Cause.Error()
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	return text
}

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Verdict says whether a write may have taken effect.
func (e *Error) Verdict() verdict.Verdict {
	if errors.Is(e.Cause, ErrAnswerLost) {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
