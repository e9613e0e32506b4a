package logging

import (
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// queueSize bounds the lines that wait to be written: a few seconds of a busy
// process's output, in less than a few megabytes.
const queueSize = 4096

// Async is a writer that never blocks. It drops and counts lines while its queue
// is full.
type Async struct{ queue chan queued }

// queued is a line to write, or a request to report that all lines before it are
// written.
type queued struct {
	line    []byte
	written chan struct{}
}

// NewAsync returns an Async that writes to wr from a goroutine of its own.
func NewAsync(wr io.Writer) *Async {
	as := &Async{queue: make(chan queued, queueSize)}
	go func() {
		for qu := range as.queue {
			if qu.written != nil {
				close(qu.written)
				continue
			}
			if _, err := wr.Write(qu.line); err != nil {
				metrics.GetOrCreateCounter("weir_log_lines_failed_total").Inc()
			}
		}
	}()
	return as
}

// Write implements io.Writer. It always reports success.
func (as *Async) Write(line []byte) (int, error) {
	select {
	case as.queue <- queued{line: append([]byte(nil), line...)}:
	default:
		metrics.GetOrCreateCounter("weir_log_lines_dropped_total").Inc()
	}
	return len(line), nil
}

// Flush waits until the lines before it are written. It returns false after the
// given time, so that a stuck reader does not keep a process from ending.
func (as *Async) Flush(within time.Duration) bool {
	timer := time.NewTimer(within)
	defer timer.Stop()
	written := make(chan struct{})
	select {
	case as.queue <- queued{written: written}:
	case <-timer.C:
		return false
	}
	select {
	case <-written:
		return true
	case <-timer.C:
		return false
	}
}
