// Package invariant asserts the promises of the system at the point of
// decision. A violation is counted, logged and kept for the state dump; in
// tests and soak runs it ends the process.
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

// FatalEnv is the environment variable that makes a violation fatal.
const FatalEnv = "WEIR_INVARIANTS_FATAL"

const keptViolations = 32

// Violation is one broken invariant.
type Violation struct {
	Name   string `json:"name"`
	Detail string `json:"detail"`
}

var (
	mu     sync.Mutex
	kept   []Violation
	logger log.Logger = log.NewNopLogger()
	fatal             = os.Getenv(FatalEnv) != ""
)

// SetLogger sets where violations are logged.
func SetLogger(lg log.Logger) {
	mu.Lock()
	defer mu.Unlock()
	logger = lg
}

// Check records a violation of the named invariant unless ok holds.
func Check(ok bool, name string, keyvals ...any) {
	if ok {
		return
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`weir_invariant_violations_total{name=%q}`, name)).Inc()
	mu.Lock()
	defer mu.Unlock()
	if len(kept) < keptViolations {
		kept = append(kept, Violation{Name: name, Detail: fmt.Sprint(keyvals...)})
	}
	_ = logger.Log(append([]any{"level", "error", "msg", "invariant violated", "invariant", name}, keyvals...)...)
	if fatal {
		panic(fmt.Sprintf("invariant %s violated: %v", name, keyvals))
	}
}

// Violations returns the first violations seen by this process.
func Violations() []Violation {
	mu.Lock()
	defer mu.Unlock()
	return append([]Violation{}, kept...)
}
