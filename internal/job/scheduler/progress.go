package scheduler

import (
	"time"

	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

const (
	// stallAfter is how long a run may make no progress, provided that at its
	// expected speed it would have made stallShare percent meanwhile. Reports
	// arrive at least once a second.
	stallAfter = 1300 * time.Millisecond
	stallShare = 10
	// slowShare is the fraction of the expected progress below which a run is
	// slow. Estimates and the tasks of a step vary by some tens of percent, while
	// a slow worker is several times slower.
	slowShare = 0.4
	// slowAfter is how long a run is observed before it is classified.
	slowAfter = 700 * time.Millisecond
	// slowWorkerPeriod is how long a worker with a slow run is suspect, so that
	// other workers are preferred.
	slowWorkerPeriod = 3 * time.Second
	// fullProgress is the progress of a finished task, in percent.
	fullProgress = 100
)

// progress is the observed progress of one run.
type progress struct {
	since        time.Time // first report
	firstPercent int       // percent in the first report
	percent      int
	progressedAt time.Time // when percent last increased
}

// update returns the progress after a report.
func (pg progress) update(percent int, at time.Time) progress {
	if pg.since.IsZero() {
		return progress{since: at, firstPercent: percent, percent: percent, progressedAt: at}
	}
	if percent > pg.percent {
		pg.percent, pg.progressedAt = percent, at
	}
	return pg
}

// runSpeed classifies a run's progress.
type runSpeed int

const (
	speedNormal runSpeed = iota
	// speedSlow runs go on, but their worker becomes suspect.
	speedSlow
	// speedStalled runs would end sooner if they were restarted elsewhere.
	speedStalled
)

// classify compares a run's progress with the estimate for a healthy worker.
func (pg progress) classify(now time.Time, estimate time.Duration) runSpeed {
	observed := now.Sub(pg.since)
	if estimate <= 0 || observed < slowAfter {
		return speedNormal
	}
	sinceProgress := now.Sub(pg.progressedAt)
	if sinceProgress > stallAfter && sinceProgress.Seconds()/estimate.Seconds()*fullProgress > stallShare {
		return speedStalled
	}
	expected := observed.Seconds() / estimate.Seconds() * fullProgress
	made := float64(pg.percent - pg.firstPercent)
	if made >= slowShare*expected {
		return speedNormal
	}
	if made <= 0 {
		return speedSlow
	}
	remaining := time.Duration(float64(fullProgress-pg.percent) / made * float64(observed))
	if remaining > 2*estimate {
		return speedStalled
	}
	return speedSlow
}

// checkProgress checks the progress of all runs: stalled runs are stopped and
// restarted elsewhere, and the workers of slow or stalled runs become suspect for
// a while.
func (sc *Scheduler) checkProgress(ls *leaderState) {
	current := make(map[weir.RunKey]progress, len(ls.runProgress))
	sc.Store.Read(func(rd store.Reader) {
		for id, ws := range ls.sessions {
			reportedAt, running := ws.session.Running()
			runs := rd.WorkerRuns(id)
			for _, rt := range running {
				if _, ok := runs[rt.RunKey]; !ok {
					continue
				}
				js := rd.Job(rt.Task.Job)
				step := js.Spec.Steps[rt.Task.Step]
				if js.Phase.Terminal() || step.LongRunning || step.Gang {
					continue
				}
				pg := ls.runProgress[rt.RunKey].update(rt.Percent, reportedAt)
				current[rt.RunKey] = pg
				sc.handleProgress(ls, id, rt.RunKey, pg, step, reportedAt)
			}
		}
	})
	ls.runProgress = current
}

func (sc *Scheduler) handleProgress(ls *leaderState, id weir.InstanceID, key weir.RunKey, pg progress, step spec.Step, reportedAt time.Time) {
	speed := pg.classify(reportedAt, step.Estimate)
	if speed == speedNormal || ls.stoppedSlow[key.Task] {
		// A task that was slow on another worker too is longer than estimated.
		return
	}
	hl := ls.healthOf(id)
	hl.slowUntil = reportedAt.Add(slowWorkerPeriod)
	if speed == speedStalled && !ls.evicted[key] {
		ls.avoidWorker[key.Task] = id
		ls.stoppedSlow[key.Task] = true
		_ = sc.Logger.Log("level", "info", "msg", "run too slow", "job", key.Task.Job, "task", key.Task, "run", key.Run,
			"worker", id, "percent", pg.percent, "watched", reportedAt.Sub(pg.since).String(), "estimate", step.Estimate.String())
		sc.evict(ls, id, key)
	}
}
