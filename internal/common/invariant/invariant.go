// Package invariant checks the system's invariants at the point where a decision
// depends on them. A violation is counted, logged and kept for the state dump. In
// tests and soak runs it panics.
//
// Usage:
//
//	invariant.Check(free >= 0, "slotsWithinLimit", "instance", id, "free", free)
package invariant

import (
	"fmt"
	"os"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
)

// FatalEnv is the environment variable that makes violations panic if not empty.
const FatalEnv = "WEIR_INVARIANTS_FATAL"

// maxRecorded bounds the violations kept for the state dump.
const maxRecorded = 32

// Violation is one violation of an invariant.
type Violation struct {
	Name   string `json:"name"`
	Detail string `json:"detail"`
}

var (
	mu       sync.Mutex
	recorded []Violation
	logger   log.Logger = log.NewNopLogger()
	fatal               = os.Getenv(FatalEnv) != ""
)

// SetLogger sets where violations are logged.
func SetLogger(lg log.Logger) {
	mu.Lock()
	defer mu.Unlock()
	logger = lg
}

// Check records a violation of the named invariant if ok is false. keyvals are
// added to the log line and to the violation's detail.
func Check(ok bool, name string, keyvals ...any) {
	if ok {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`weir_invariant_violations_total{name=%q}`, name)).Inc()
	mu.Lock()
	defer mu.Unlock()
	if len(recorded) < maxRecorded {
		recorded = append(recorded, Violation{Name: name, Detail: fmt.Sprint(keyvals...)})
	}
	_ = logger.Log(append([]any{"level", "error", "msg", "invariant violated", "invariant", name}, keyvals...)...)
	if fatal {
		panic(fmt.Sprintf("invariant %s violated: %v", name, keyvals))
	}
}

// Violations returns the first violations in this process, up to
// maxRecorded.
func Violations() []Violation {
	mu.Lock()
	defer mu.Unlock()
	return append([]Violation{}, recorded...)
}
