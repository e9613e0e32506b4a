package scheduler

import (
	"time"

	"greengageweir/internal/job/store"

	"github.com/VictoriaMetrics/metrics"

	weir "greengageweir"
)

const (
	// suspectAfter is how many consecutive failures make a worker suspect. A
	// healthy worker fails a few tasks in a hundred, so three in a row are rare.
	suspectAfter = 3
	// backoffAfter is how many consecutive failures put a worker into backoff,
	// in which it gets no tasks.
	backoffAfter = 4
	// backoffMin and backoffMax limit the backoff, which doubles with each
	// failure and ends with one success. A task has few attempts, so a failing
	// worker must not use them up.
	backoffMin = 500 * time.Millisecond
	backoffMax = 4 * time.Second
	// longestBackoff is how long a long-running task has no run because the workers that
	// have room for it are in backoff. Its attempts are not limited.
	longestBackoff = 2 * time.Second
	// refusalBackoff is how long a worker gets no tasks after it refused a start.
	refusalBackoff = 250 * time.Millisecond
)

// health is the record of failures of one worker in this term.
type health struct {
	failures     int // consecutive
	backoffUntil time.Time
	backoff      time.Duration
	// slowUntil is the end of the period in which the worker is suspect because
	// it had a slow run.
	slowUntil time.Time
}

func (hl *health) inBackoff(now time.Time) bool { return hl != nil && now.Before(hl.backoffUntil) }

func (hl *health) suspect(now time.Time) bool {
	return hl != nil && (hl.failures >= suspectAfter || now.Before(hl.slowUntil))
}

func (ls *leaderState) healthOf(id weir.InstanceID) *health {
	hl := ls.health[id]
	if hl == nil {
		hl = &health{}
		ls.health[id] = hl
	}
	return hl
}

// updateHealth updates a worker's health after the end of a run.
func (sc *Scheduler) updateHealth(ls *leaderState, id weir.InstanceID, en store.RunEnd, now time.Time) {
	hl := ls.healthOf(id)
	switch en.Reason {
	case store.EndDone:
		hl.failures, hl.backoff, hl.backoffUntil = 0, 0, time.Time{}
		delete(ls.avoidWorker, en.Task)
		delete(ls.stoppedSlow, en.Task)
	case store.EndFailed:
		ls.avoidWorker[en.Task] = id
		hl.failures++
		if hl.failures >= backoffAfter {
			hl.backoff = min(max(2*hl.backoff, backoffMin), backoffMax)
			hl.backoffUntil = now.Add(hl.backoff)
			_ = sc.Logger.Log("level", "warn", "msg", "worker in backoff after failures", "worker", id,
				"failures", hl.failures, "rest", hl.backoff.String())
		}
	default:
	}
}

// handleRefusal handles a start that a worker refused: it drops the step's
// tickets if the worker rejected its ticket and puts the worker into backoff
// otherwise.
func (sc *Scheduler) handleRefusal(ls *leaderState, id weir.InstanceID, key weir.RunKey, reason weir.Refusal, now time.Time) {
	if reason == weir.RefusedTicket {
		delete(ls.advice, key.Task.StepRef())
	} else {
		ls.healthOf(id).backoffUntil = now.Add(refusalBackoff)
	}
	metrics.GetOrCreateCounter(`weir_starts_refused_total{reason="` + string(reason) + `"}`).Inc()
	_ = sc.Logger.Log("level", "info", "msg", "run start refused", "job", key.Task.Job, "task", key.Task, "run", key.Run,
		"worker", id, "reason", string(reason))
}
