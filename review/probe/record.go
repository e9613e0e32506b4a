package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"greengageweir/internal/common/clock"
)

// recorder writes what was sent, answered and run, with the milliseconds since the
// start of the case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// starts holds the names of the tasks whose runs have begun.
	starts []string
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path) //nolint:gosec // the script names the file
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: now()}, nil
}

func now() time.Time { return clock.System{}.Now() }

func (rc *recorder) log(kind, format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	line := fmt.Sprintf("%8d %-10s %s\n", now().Sub(rc.start).Milliseconds(), kind, fmt.Sprintf(format, args...))
	_, _ = rc.file.WriteString(line)
	fmt.Print(line)
}

func (rc *recorder) close() { _ = rc.file.Close() }

// started notes the start of a run.
func (rc *recorder) started(name string) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.starts = append(rc.starts, name)
}

// hasStarted reports whether a run of a task whose name begins so has begun.
func (rc *recorder) hasStarted(prefix string) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return slices.ContainsFunc(rc.starts, func(name string) bool { return strings.HasPrefix(name, prefix) })
}
