package scheduler

import (
	"time"

	"greengageweir/internal/job/store"

	weir "greengageweir"
)

const (
	// fullSpeedPercent is the speed limit of a run when it starts, in percent.
	fullSpeedPercent = 100
	// speedStepPercent is added to the speed limit while the latency of the
	// serving tasks is below relaxThreshold.
	speedStepPercent = 20
	// relaxThreshold is the fraction of the latency target below which the speed
	// limit is raised.
	relaxThreshold = 0.8
	// throttleThreshold is the fraction of the latency target above which
	// best-effort tasks are slowed down. The reported latency is rough, and users
	// notice only latencies beyond the target.
	throttleThreshold = 0.95
)

// throttle is the speed limit of the best-effort tasks of one worker.
type throttle struct {
	percent int
	// reportedAt is when the report arrived from which percent was computed.
	reportedAt time.Time
	sent       map[weir.RunKey]int
}

// nextPercent returns the speed limit after a report in which worst is the
// highest latency of a serving task, as a fraction of its target. The limit falls
// fast, since users are affected, and rises slowly.
func (th throttle) nextPercent(worst float64) int {
	switch {
	case worst > 1:
		return th.percent / 4
	case worst > throttleThreshold:
		return th.percent / 2
	case worst < relaxThreshold:
		return min(th.percent+speedStepPercent, fullSpeedPercent)
	}
	return th.percent
}

// throttleAll keeps serving tasks within their latency targets by slowing down
// the best-effort tasks on the same workers.
func (sc *Scheduler) throttleAll(ls *leaderState) {
	sc.Store.Read(func(rd store.Reader) {
		for id, ws := range ls.sessions {
			sc.throttleWorker(ls, rd, id, ws)
		}
	})
}

func (sc *Scheduler) throttleWorker(ls *leaderState, rd store.Reader, id weir.InstanceID, ws *workerSession) {
	if rd.WorkerLoad(id).BestEffort == 0 {
		delete(ls.throttles, id)
		return
	}
	reportedAt, running := ws.session.Running()
	worst := 0.0
	var bestEffort []weir.RunKey
	for _, rt := range running {
		js := rd.Job(rt.Task.Job)
		if js == nil || js.Task(rt.Task) == nil {
			continue
		}
		step := js.Spec.Steps[rt.Task.Step]
		switch {
		case step.BestEffort:
			bestEffort = append(bestEffort, rt.RunKey)
		case step.LongRunning && step.TargetLatency > 0:
			worst = max(worst, rt.Measurement/float64(step.TargetLatency.Milliseconds()))
		}
	}
	th := ls.throttles[id]
	if len(bestEffort) == 0 {
		delete(ls.throttles, id)
		return
	}
	if th == nil {
		th = &throttle{percent: fullSpeedPercent, sent: map[weir.RunKey]int{}}
		ls.throttles[id] = th
	}
	if reportedAt.After(th.reportedAt) {
		th.reportedAt = reportedAt
		was := th.percent
		th.percent = th.nextPercent(worst)
		if was != th.percent {
			_ = sc.Logger.Log("level", "info", "msg", "speed limit of best-effort tasks changed", "worker", id, "percent", th.percent,
				"was", was, "worstShareOfTarget", worst, "filling", len(bestEffort))
		}
	}
	for _, key := range bestEffort {
		sent, ok := th.sent[key]
		if (!ok && th.percent != fullSpeedPercent) || (ok && sent != th.percent) {
			ws.session.Throttle(key, th.percent)
		}
		th.sent[key] = th.percent
	}
}
