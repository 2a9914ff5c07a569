package experiment

import "time"

// weightStore models the weight store. Beyond a number of concurrent fetches it divides its
// rate among them.
type weightStore struct {
	clock *clock
	// fullSpeed is the number of concurrent fetches at full speed, and loadTime the time of
	// each of them.
	fullSpeed int
	loadTime  time.Duration

	active []*fetch
	// advancedTo is the time up to which the progress of active fetches is counted.
	advancedTo time.Time
	// generation invalidates an event that was scheduled before a change.
	generation int
}

type fetch struct {
	// left is the time that is still needed at full speed.
	left time.Duration
	done func()
}

// startFetch starts a fetch.
func (s *weightStore) startFetch(done func()) *fetch {
	s.advance()
	f := &fetch{left: s.loadTime, done: done}
	s.active = append(s.active, f)
	s.scheduleNext()
	return f
}

// cancel aborts a fetch.
func (s *weightStore) cancel(f *fetch) {
	s.advance()
	s.remove(f)
	s.scheduleNext()
}

func (s *weightStore) remove(f *fetch) {
	for i, other := range s.active {
		if other == f {
			s.active = append(s.active[:i], s.active[i+1:]...)
			return
		}
	}
}

func (s *weightStore) rate() float64 {
	if len(s.active) <= s.fullSpeed {
		return 1
	}
	return float64(s.fullSpeed) / float64(len(s.active))
}

func (s *weightStore) advance() {
	passed := time.Duration(float64(s.clock.now.Sub(s.advancedTo)) * s.rate())
	s.advancedTo = s.clock.now
	for _, f := range s.active {
		f.left -= passed
	}
}

// scheduleNext schedules the completion of the next fetch.
func (s *weightStore) scheduleNext() {
	s.generation++
	if len(s.active) == 0 {
		return
	}
	first := s.active[0]
	for _, f := range s.active {
		if f.left < first.left {
			first = f
		}
	}
	generation := s.generation
	wait := time.Duration(float64(max(0, first.left)) / s.rate())
	s.clock.after(wait+time.Nanosecond, func() {
		if generation != s.generation {
			return
		}
		s.advance()
		s.remove(first)
		s.scheduleNext()
		first.done()
	})
}
