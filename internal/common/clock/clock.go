// Package clock provides the clocks of the system. It is the only package under
// internal that reads the wall clock.
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

// processStart is the start time of the process, with a monotonic reading.
var processStart = time.Now()

// System returns the wall time of the process start plus the monotonic time
// since, so that steps of the machine's clock do not affect decisions.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return processStart.Add(time.Since(processStart)) }

// BootTime returns the time since the machine booted (CLOCK_BOOTTIME), which also
// advances while the machine is suspended. It is not the time of day.
type BootTime struct{}

// Now returns the time since boot as a time since the Unix epoch.
func (BootTime) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return processStart.Add(time.Since(processStart))
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Wall returns the machine's time of day, including any steps of its clock.
type Wall struct{}

// Now returns the time of day.
func (Wall) Now() time.Time { return time.Now().Round(0) }

// Manual is a clock for tests that only Advance moves.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a clock set to the given time.
func NewManual(now time.Time) *Manual { return &Manual{now: now} }

// Now returns the time that the clock is set to.
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
