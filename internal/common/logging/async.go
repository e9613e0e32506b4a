package logging

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// queueSize bounds the lines that wait to be written: a few seconds of a busy
// process's output, in less than a few megabytes.
const queueSize = 4096

// Async is a writer that never blocks. It drops and counts lines while its queue
// is full.
type Async struct{ lines chan []byte }

// NewAsync returns an Async that writes to wr from a goroutine of its own.
func NewAsync(wr io.Writer) *Async {
	as := &Async{lines: make(chan []byte, queueSize)}
	go func() {
		for line := range as.lines {
			if _, err := wr.Write(line); err != nil {
				metrics.GetOrCreateCounter("weir_log_lines_failed_total").Inc()
			}
		}
	}()
	return as
}

// Write implements io.Writer. It always reports success.
func (as *Async) Write(line []byte) (int, error) {
	select {
	case as.lines <- append([]byte(nil), line...):
	default:
		metrics.GetOrCreateCounter("weir_log_lines_dropped_total").Inc()
	}
	return len(line), nil
}
