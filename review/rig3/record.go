package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"greengageweir/internal/common/clock"
)

// record writes what was sent, answered and run, each line with the seconds since
// the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: clock.System{}.Now()}, nil
}

func (rc *record) note(format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	_, _ = fmt.Fprintf(rc.file, "%8.3f %s\n", clock.System{}.Now().Sub(rc.start).Seconds(), fmt.Sprintf(format, args...))
}

func now() time.Time { return clock.System{}.Now() }
