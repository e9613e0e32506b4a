package scheduler

import (
	"time"

	"greengageweir/internal/job/store"

	"github.com/VictoriaMetrics/metrics"

	weir "greengageweir"
)

const (
	// suspectAfter is how many failures in a row make a worker suspect: a
	// sound worker fails a few tasks in a hundred, so three in a row are rare.
	suspectAfter = 3
	// restAfter is how many in a row keep tasks away from it for a while.
	restAfter = 4
	// restMin and restMax bound that while; it doubles with each failure, and
	// one success ends it. The attempts of a task are few.
	restMin = 500 * time.Millisecond
	restMax = 4 * time.Second
	// refusalRest is how long a worker that refused a start is left alone.
	refusalRest = 250 * time.Millisecond
)

// health is what a leader has seen of one worker.
type health struct {
	failures  int // in a row
	restUntil time.Time
	rest      time.Duration
	// slowUntil is until when the worker is used only for want of others.
	slowUntil time.Time
}

func (hl *health) resting(now time.Time) bool { return hl != nil && now.Before(hl.restUntil) }

func (hl *health) suspect(now time.Time) bool {
	return hl != nil && (hl.failures >= suspectAfter || now.Before(hl.slowUntil))
}

func (re *reign) healthOf(id weir.InstanceID) *health {
	hl := re.health[id]
	if hl == nil {
		hl = &health{}
		re.health[id] = hl
	}
	return hl
}

// noteEnd learns from the end of a run.
func (ow *Scheduler) noteEnd(re *reign, id weir.InstanceID, en store.RunEnd, now time.Time) {
	hl := re.healthOf(id)
	switch en.Reason {
	case store.EndDone:
		hl.failures, hl.rest, hl.restUntil = 0, 0, time.Time{}
		delete(re.avoid, en.Task)
		delete(re.slow, en.Task)
	case store.EndFailed:
		re.avoid[en.Task] = id
		hl.failures++
		if hl.failures >= restAfter {
			hl.rest = min(max(2*hl.rest, restMin), restMax)
			hl.restUntil = now.Add(hl.rest)
			_ = ow.Logger.Log("level", "warn", "msg", "worker rests after failures", "worker", id,
				"failures", hl.failures, "rest", hl.rest.String())
		}
	default:
	}
}

// noteRefusal learns from a start that a worker refused.
func (ow *Scheduler) noteRefusal(re *reign, id weir.InstanceID, key weir.RunKey, reason weir.Refusal, now time.Time) {
	if reason == weir.RefusedTicket {
		delete(re.advice, key.Task.StepRef())
	} else {
		re.healthOf(id).restUntil = now.Add(refusalRest)
	}
	metrics.GetOrCreateCounter(`weir_starts_refused_total{reason="` + string(reason) + `"}`).Inc()
	_ = ow.Logger.Log("level", "info", "msg", "start refused", "job", key.Task.Job, "task", key.Task, "run", key.Run,
		"worker", id, "reason", string(reason))
}
