package store

import (
	"time"

	"greengageweir/internal/job/spec"
)

const (
	// startSpread is how long after a run another one may have been started on the
	// worker, if the first one is to be the cause of its crash.
	startSpread = 250 * time.Millisecond
	// soleCrashes is how many crashes fail a job if the last one can be due to no
	// other job, soleAnyCrashes the same with those of starts that were not confirmed,
	// and maxCrashes how many do in any case. The callers' limit is three crashes and
	// two further starts.
	soleCrashes    = 2
	soleAnyCrashes = 3
	maxCrashes     = 4
)

// lapse holds the runs that were the last to start on a worker that was lost, and
// those whose starts it may have received last. Sole says that all of them are of one
// job.
type lapse struct {
	Incarnation int64    `json:"born"`
	Runs        []RunKey `json:"runs,omitempty"`
	Unconfirmed []RunKey `json:"unconfirmed,omitempty"`
	Sole        bool     `json:"sole,omitempty"`
}

// applyCrash counts the crash of a worker that was neither told to end nor about
// to.
func (st *state) applyCrash(at time.Time, cr *WorkerCrash) Result {
	wk := st.Workers[cr.ID]
	if wk == nil || wk.Incarnation != cr.Incarnation {
		return refused("not the current incarnation")
	}
	if !st.unplanned(wk) {
		return refused("its end was planned")
	}
	return st.recordCrash(at, st.lastStarted(wk, cr.Recent, cr.Unconfirmed))
}

// unplanned reports whether a worker that is gone was neither told to leave nor
// about to.
func (st *state) unplanned(wk *Worker) bool {
	return !wk.Draining && st.MachineOperations[wk.Machine] == nil
}

// lastStarted returns the runs that may have crashed a worker right after their
// start: those of the recent ones after which no other was started there.
func (st *state) lastStarted(wk *Worker, recent, unconfirmed []RunKey) lapse {
	var latest time.Time
	for key := range st.Runs[wk.ID] {
		if at := st.startedAt(key); at.After(latest) {
			latest = at
		}
	}
	jobs := map[spec.JobID]bool{}
	for key := range st.Runs[wk.ID] {
		if latest.Sub(st.startedAt(key)) <= startSpread {
			jobs[key.Task.Job] = true
		}
	}
	last := func(keys []RunKey) (out []RunKey) {
		for _, key := range keys {
			if _, here := st.Runs[wk.ID][key]; here && latest.Sub(st.startedAt(key)) <= startSpread {
				out = append(out, key)
			}
		}
		return out
	}
	return lapse{Incarnation: wk.Incarnation, Runs: last(recent), Unconfirmed: last(unconfirmed), Sole: len(jobs) == 1}
}

// startedAt returns when the start of a run that may be on a worker was committed.
func (st *state) startedAt(key RunKey) time.Time {
	if tk := st.Jobs[key.Task.Job].Task(key.Task); tk != nil {
		return tk.StartedAt
	}
	return time.Time{}
}

// takeLapsed returns the runs that were lost with the last worker of a machine, if
// a worker that announces itself there shows that the last one has ended.
func (st *state) takeLapsed(wk *Worker) lapse {
	lp, ok := st.Lapsed[wk.Machine]
	if !ok || wk.Incarnation < lp.Incarnation {
		return lapse{}
	}
	delete(st.Lapsed, wk.Machine)
	if wk.Incarnation == lp.Incarnation {
		return lapse{} // it was cut off
	}
	return lp
}

// provenIn returns the runs of a lapse whose tasks have crashed enough workers
// before that this one counts without a sign of its successor.
func (st *state) provenIn(lp lapse) lapse {
	var proven []RunKey
	for _, key := range lp.Runs {
		if tk := st.Jobs[key.Task.Job].Task(key.Task); tk != nil && tk.Crashes >= soleCrashes {
			proven = append(proven, key)
		}
	}
	return lapse{Runs: proven, Sole: lp.Sole}
}

// recordCrash counts the crash of a worker against the tasks that may have caused
// it, and fails jobs that have caused too many.
func (st *state) recordCrash(at time.Time, lp lapse) Result {
	res := applied
	for _, key := range lp.Runs {
		st.recordTaskCrash(at, key, true, lp.Sole, &res)
	}
	for _, key := range lp.Unconfirmed {
		st.recordTaskCrash(at, key, false, lp.Sole, &res)
	}
	return res
}

// recordTaskCrash counts a crash against one task, and fails its job if it has caused
// too many.
func (st *state) recordTaskCrash(at time.Time, key RunKey, confirmed, sole bool, res *Result) {
	js := st.Jobs[key.Task.Job]
	if js == nil || js.Phase.Terminal() {
		return
	}
	tk := js.Task(key.Task)
	if tk == nil || tk.Done || key.Run <= tk.CrashedRun {
		return
	}
	res.CrashedRuns++
	if confirmed {
		tk.Crashes++
	} else {
		tk.UnconfirmedCrashes++
	}
	tk.CrashedRun = key.Run
	st.Suspects[key.Task.Job] = true
	crashes := tk.Crashes + tk.UnconfirmedCrashes
	if crashes >= maxCrashes || (sole && crashes >= soleAnyCrashes) || (sole && confirmed && tk.Crashes >= soleCrashes) {
		st.endJob(at, js, Failed)
		res.GivenUp = append(res.GivenUp, key.Task.Job)
	}
}
