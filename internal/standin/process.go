package standin

import (
	"context"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/standstill"
	"github.com/cherrystage/cherrystage/internal/timing"
)

// Process plays the process of a host that can be suspended, in virtual time. It tells its monitor
// that it is running except while it is suspended. Its timers fire while it is suspended, not after.
type Process struct {
	Monitor standstill.Monitor

	mu             sync.Mutex
	suspendedUntil time.Time
}

// StartProcess starts a process that runs until the context ends.
func StartProcess(ctx context.Context) *Process {
	p := &Process{}
	p.tick()
	go timing.Every(ctx, standstill.Interval, p.tick)
	return p
}

func (p *Process) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); !now.Before(p.suspendedUntil) {
		p.Monitor.Tick(now)
	}
}

// Suspend suspends the process for a time.
func (p *Process) Suspend(length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspendedUntil = time.Now().Add(length)
}
