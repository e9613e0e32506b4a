package logging

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// asyncLines bounds the lines that wait to be written: some seconds of a busy
// process, and under a few megabytes.
const asyncLines = 4096

// Async is a writer that never blocks: lines that find no room are counted and
// dropped.
type Async struct{ lines chan []byte }

// NewAsync starts writing to wr.
func NewAsync(wr io.Writer) *Async {
	as := &Async{lines: make(chan []byte, asyncLines)}
	go func() {
		for line := range as.lines {
			if _, err := wr.Write(line); err != nil {
				metrics.GetOrCreateCounter("weir_log_lines_failed_total").Inc()
			}
		}
	}()
	return as
}

// Write implements io.Writer.
func (as *Async) Write(line []byte) (int, error) {
	select {
	case as.lines <- append([]byte(nil), line...):
	default:
		metrics.GetOrCreateCounter("weir_log_lines_dropped_total").Inc()
	}
	return len(line), nil
}
