package handler

import (
	"fmt"
	"sync"
	"time"

	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// jobShare is the divisor of the limit that one job may need.
	jobShare = 4
	// heavyWeight is the weight in bytes above which a job counts as heavy. Heavy jobs
	// get at most heavyShare quarters of the limit, so that there is room for others.
	heavyWeight = 128 << 10
	heavyShare  = 3
	// retryStateFull is the delay after which a refused submit may find room.
	retryStateFull = 2 * time.Second
)

// StateLimit limits the memory that jobs need in each replica. It is safe for
// concurrent use.
type StateLimit struct {
	// Bytes is the limit in bytes.
	Bytes int64

	mu sync.Mutex
	// pending is the weight of the jobs that are being committed.
	pending int64
}

// tooHeavy returns why a job can never be accepted, or "".
func (sl *StateLimit) tooHeavy(weight int64) string {
	if limit := sl.Bytes / jobShare; weight > limit {
		return fmt.Sprintf("the tasks of all occurrences need %d bytes, at most %d", weight, limit)
	}
	return ""
}

// reserve reserves room for a job beside those that are in the store, and reports
// whether there is any. The caller releases it once the job is in the store or was
// refused.
func (sl *StateLimit) reserve(stored, weight int64) bool {
	limit := sl.Bytes
	if weight > heavyWeight {
		limit = limit / 4 * heavyShare
	}
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if stored+sl.pending+weight > limit {
		return false
	}
	sl.pending += weight
	return true
}

func (sl *StateLimit) release(weight int64) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.pending -= weight
}

// reserveState reserves room for a job. It returns the reply to the submit if there is
// none, else the function that releases the room.
func (sv *Handler) reserveState(jb *spec.Job) (release func(), rep *jobapi.Reply) {
	if sv.StateLimit == nil {
		return func() {}, nil
	}
	weight, stored := store.Weight(jb), int64(0)
	if reason := sv.StateLimit.tooHeavy(weight); reason != "" {
		return nil, &jobapi.Reply{Outcome: jobapi.Invalid, Reason: reason}
	}
	sv.Store.Read(func(rd store.Reader) { stored = rd.Weight() })
	if sv.StateLimit.reserve(stored, weight) {
		return func() { sv.StateLimit.release(weight) }, nil
	}
	metrics.GetOrCreateCounter("weir_jobs_refused_for_state_total").Inc()
	_ = sv.Logger.Log("level", "info", "msg", "job refused", "reason", "state", "job", jb.ID, "queue", jb.Queue, "team", jb.Team,
		"bytes", weight, "stored", stored, "limit", sv.StateLimit.Bytes)
	return nil, &jobapi.Reply{Outcome: jobapi.Refused, Reason: "too many jobs are stored", RetryAfter: retryStateFull}
}
