// Package awake bounds waits for others by the time for which this process was running, so that it
// does not take its own standstill for their silence.
package awake

import (
	"context"
	"time"

	"github.com/cherrystage/cherrystage/internal/standstill"
	"github.com/pkg/errors"
)

// maxExtension bounds how long a wait is continued beyond its time limit. It matters only for a
// process that stops: nobody tells the monitor then that the process is running.
const maxExtension = 5 * time.Second

// resolution is how late the monitor may notice the beginning of a standstill.
const resolution = 2 * standstill.Interval

// Between returns for how long the process was certainly running between two times.
//
// The monitor notices the beginning of a standstill late. Without resolution a time limit that is
// shorter than that would have passed whenever the process stood still.
func Between(m *standstill.Monitor, from, to time.Time) time.Duration {
	running := m.Awake(from, to)
	stood := to.Sub(from) - running
	return running - min(stood, resolution)
}

// Clock tells the time for which this process was running. The zero value knows of no standstill.
// It is safe for concurrent use.
type Clock struct {
	// Now is the clock of Standstill.
	Now        func() time.Time
	Standstill *standstill.Monitor
}

func (c Clock) now() time.Time {
	if c.Now == nil {
		return time.Now()
	}
	return c.Now()
}

// Limit is a time limit that counts from when it was made.
type Limit struct {
	clock  Clock
	since  time.Time
	length time.Duration
}

// NewLimit returns a time limit of a length.
func (c Clock) NewLimit(length time.Duration) Limit {
	return Limit{clock: c, since: c.now(), length: length}
}

// LimitOf returns the time limit that the deadline of a context sets, none if it has no deadline.
func (c Clock) LimitOf(ctx context.Context) Limit {
	deadline, ok := ctx.Deadline()
	if !ok {
		return c.NewLimit(0)
	}
	return c.NewLimit(time.Until(deadline))
}

// Left returns how much of the limit is left, 0 or less if it has passed.
func (l Limit) Left() time.Duration {
	return l.length - Between(l.clock.Standstill, l.since, l.clock.now())
}

// unusedShare is the part of a time limit, in the denominator, in which a process must not have been
// running before what did not happen within the limit says nothing.
const unusedShare = 4

// StoodStill reports whether the limit has passed by the clock but not by the time for which this
// process was running.
func (l Limit) StoodStill() bool {
	return l.clock.now().Sub(l.since) >= l.length && l.Left() > l.length/unusedShare
}

// Await calls wait with ctx, and again with a later deadline while the limit has not passed although
// that of ctx has: then this process stood still, and what it waits for may lie unread in a socket.
func (l Limit) Await(ctx context.Context, wait func(ctx context.Context) error) error {
	err := wait(ctx)
	began := l.clock.now()
	for err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded) && l.clock.now().Sub(began) < maxExtension {
		left := l.Left()
		if left <= 0 {
			return err
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), left)
		err = wait(ctx)
		cancel()
	}
	return err
}

// ErrExpired is returned if a time limit has passed.
var ErrExpired = errors.New("the time limit has passed")

// Receive waits for a value until the limit has passed or the context is done.
func Receive[T any](ctx context.Context, limit Limit, from <-chan T) (T, error) {
	var none T
	timer := time.NewTimer(limit.length)
	defer timer.Stop()
	var began time.Time
	for {
		select {
		case value := <-from:
			return value, nil
		case <-ctx.Done():
			return none, ctx.Err()
		case <-timer.C:
		}
		now := limit.clock.now()
		if began.IsZero() {
			began = now
		}
		left := limit.Left()
		if left <= 0 || now.Sub(began) >= maxExtension {
			return none, ErrExpired
		}
		timer.Reset(left)
	}
}
