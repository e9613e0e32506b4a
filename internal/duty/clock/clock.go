// Package clock is the one place under internal that reads the wall clock.
//
// Usage:
//
//	now := clock.System{}.Now()
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// origin is the start of the process, with a monotonic reading.
var origin = time.Now()

// System is the clock of the machine. Its wall time is that of the start of
// the process plus the monotonic time since, so that a step of the machine's
// clock does not reach decisions.
type System struct{}

// Now returns the present time.
func (System) Now() time.Time { return origin.Add(time.Since(origin)) }

// BootTime counts the time since the machine started, also while it stood still.
// It does not tell the time of day.
type BootTime struct{}

// Now returns the time since the machine's start as a time after 1970.
func (BootTime) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return origin.Add(time.Since(origin))
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Wall is the machine's time of day, with all its steps.
type Wall struct{}

// Now returns the time of day.
func (Wall) Now() time.Time { return time.Now().Round(0) }

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
