// Package clock is the one place under internal that reads the wall clock.
//
// Usage:
//
//	now := clock.System{}.Now()
package clock

import (
	"sync"
	"time"
)

// origin is the start of the process, with a monotonic reading.
var origin = time.Now()

// System is the clock of the machine. Its wall time is that of the start of
// the process plus the monotonic time since, so that a step of the machine's
// clock does not reach decisions.
type System struct{}

// Now returns the present time.
func (System) Now() time.Time { return origin.Add(time.Since(origin)) }

// Manual is a clock that tests move by hand.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a clock that stands at the given time.
func NewManual(now time.Time) *Manual { return &Manual{now: now} }

// Now returns the time the clock stands at.
func (mc *Manual) Now() time.Time {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	return mc.now
}

// Advance moves the clock forward.
func (mc *Manual) Advance(by time.Duration) {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	mc.now = mc.now.Add(by)
}
