package scheduler

import (
	"time"

	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

const (
	// stallAfter is how long a run may show no progress, if at its expected
	// speed it would have shown stallShare percent. Reports come at least once
	// a second.
	stallAfter = 1300 * time.Millisecond
	stallShare = 10
	// slowShare is the share of the expected progress under which a run is
	// slow: estimates and the tasks of a step differ by some tens of percent,
	// slow workers by a factor of several.
	slowShare = 0.4
	// slowAfter is how long a run is watched before it is judged.
	slowAfter = 700 * time.Millisecond
	// slowFor is how long a worker with a slow run is used last.
	slowFor = 3 * time.Second
	// fullProgress is the percent of a task that is done.
	fullProgress = 100
)

// progress is what was seen of one run.
type progress struct {
	since   time.Time // first seen
	from    int       // percent then
	percent int
	changed time.Time // when percent rose last
}

// seen returns the progress after a report.
func (pg progress) seen(percent int, at time.Time) progress {
	if pg.since.IsZero() {
		return progress{since: at, from: percent, percent: percent, changed: at}
	}
	if percent > pg.percent {
		pg.percent, pg.changed = percent, at
	}
	return pg
}

// speed is the verdict on a run's progress.
type speed int

const (
	speedGood speed = iota
	// speedSlow runs may be left to end, but their worker is used last.
	speedSlow
	// speedHopeless runs would end sooner if they started anew elsewhere.
	speedHopeless
)

// judge compares a run's progress with the estimate of a sound run.
func (pg progress) judge(now time.Time, estimate time.Duration) speed {
	watched := now.Sub(pg.since)
	if estimate <= 0 || watched < slowAfter {
		return speedGood
	}
	still := now.Sub(pg.changed)
	if still > stallAfter && still.Seconds()/estimate.Seconds()*fullProgress > stallShare {
		return speedHopeless
	}
	expected := watched.Seconds() / estimate.Seconds() * fullProgress
	made := float64(pg.percent - pg.from)
	if made >= slowShare*expected {
		return speedGood
	}
	if made <= 0 {
		return speedSlow
	}
	rest := time.Duration(float64(fullProgress-pg.percent) / made * float64(watched))
	if rest > 2*estimate {
		return speedHopeless
	}
	return speedSlow
}

// watch looks at the progress of what runs: runs that stand still or crawl are
// stopped and go on elsewhere, and their workers are used last for a while.
func (ow *Scheduler) watch(re *reign) {
	fresh := make(map[weir.RunKey]progress, len(re.watched))
	ow.Store.Read(func(rd store.Reader) {
		for id, at := range re.sessions {
			arrived, running := at.ss.Running()
			runs := rd.Runs(id)
			for _, rt := range running {
				if _, ok := runs[rt.RunKey]; !ok {
					continue
				}
				js := rd.Job(rt.Task.Job)
				step := js.Spec.Steps[rt.Task.Step]
				if js.Phase.Terminal() || step.LongRunning || step.Gang {
					continue
				}
				pg := re.watched[rt.RunKey].seen(rt.Percent, arrived)
				fresh[rt.RunKey] = pg
				ow.judge(re, id, rt.RunKey, pg, step, arrived)
			}
		}
	})
	re.watched = fresh
}

func (ow *Scheduler) judge(re *reign, id weir.InstanceID, key weir.RunKey, pg progress, step spec.Step, arrived time.Time) {
	verdict := pg.judge(arrived, step.Estimate)
	if verdict == speedGood || re.slow[key.Task] {
		// A task that was slow elsewhere too is long by itself.
		return
	}
	hl := re.healthOf(id)
	hl.slowUntil = arrived.Add(slowFor)
	if verdict == speedHopeless && !re.evicted[key] {
		re.avoid[key.Task] = id
		re.slow[key.Task] = true
		_ = ow.Logger.Log("level", "info", "msg", "run too slow", "job", key.Task.Job, "task", key.Task, "run", key.Run,
			"worker", id, "percent", pg.percent, "watched", arrived.Sub(pg.since).String(), "estimate", step.Estimate.String())
		ow.evict(re, id, key)
	}
}
