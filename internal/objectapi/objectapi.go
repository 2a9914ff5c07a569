// Package objectapi is the client of the platform's object API: values of up to a
// megabyte with versions, conditional updates and watches. It stores all state that
// must outlive a host.
package objectapi

import (
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/pkg/errors"
)

// MaxValueBytes is the size of the largest value that the platform takes.
const MaxValueBytes = 1 << 20

// Version is the platform's version of an object. It increases with every write
// to any object. Zero means that the object does not exist.
type Version uint64

// Object is one stored value.
type Object struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value,omitempty"`
}

// Event reports that an object changed or was deleted.
type Event struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Deleted bool    `json:"deleted,omitempty"`
}

// Listing is the response to a list, with the platform's version at that moment.
type Listing struct {
	Items   []Object `json:"items"`
	Version Version  `json:"version"`
}

// Changes is the response to a watch. Reset says that the platform no longer
// knows all changes since the requested version, so the watcher must list again.
type Changes struct {
	Events  []Event `json:"events"`
	Version Version `json:"version"`
	Reset   bool    `json:"reset,omitempty"`
}

// Causes of a failed call.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version is not the given one.
	ErrConflict = errors.New("object has changed since it was read")
	// ErrUnavailable means that the object API did not take the call.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrAnswerLost means that the call was sent and no response came; a write may or
	// may not have taken effect.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Verdict returns whether a write may have taken effect.
func (e *Error) Verdict() verdict.Verdict {
	if errors.Is(e.Cause, ErrAnswerLost) {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}
