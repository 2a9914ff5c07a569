package experiment

import "time"

// weightStore brings adapters. Beyond a number of loads at a time it divides its
// rate among them.
type weightStore struct {
	clock *clock
	full  int
	load  time.Duration

	active []*fetch
	// at is up to when the progress of the active fetches is counted.
	at time.Time
	// generation makes an event that was planned before a change void.
	generation int
}

type fetch struct {
	// left is the time that is still needed at full speed.
	left time.Duration
	done func()
}

// bring begins a fetch.
func (s *weightStore) bring(done func()) *fetch {
	s.advance()
	f := &fetch{left: s.load, done: done}
	s.active = append(s.active, f)
	s.plan()
	return f
}

// drop gives a fetch up.
func (s *weightStore) drop(f *fetch) {
	s.advance()
	s.remove(f)
	s.plan()
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
	if len(s.active) <= s.full {
		return 1
	}
	return float64(s.full) / float64(len(s.active))
}

func (s *weightStore) advance() {
	passed := time.Duration(float64(s.clock.now.Sub(s.at)) * s.rate())
	s.at = s.clock.now
	for _, f := range s.active {
		f.left -= passed
	}
}

// plan sets the time at which the next fetch is over.
func (s *weightStore) plan() {
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
		s.plan()
		first.done()
	})
}
