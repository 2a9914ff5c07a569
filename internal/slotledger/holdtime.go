package slotledger

import "time"

const (
	// initialHold is the assumed time for which a slot is held until some have been returned.
	initialHold = 50 * time.Millisecond
	// holdWeight is the weight of one returned slot in the mean. At 400 requests a second the
	// mean follows a change within a tenth of a second.
	holdWeight = 1.0 / 32
)

// holdTime is the mean time for which a slot is held.
type holdTime struct{ average float64 }

func newHoldTime() holdTime { return holdTime{average: float64(initialHold)} }

func (h *holdTime) observe(held time.Duration) {
	h.average += holdWeight * (float64(max(0, held)) - h.average)
}

func (h *holdTime) mean() time.Duration { return time.Duration(h.average) }
