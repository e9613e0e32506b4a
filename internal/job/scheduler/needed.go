package scheduler

import (
	"context"
	"slices"
	"time"

	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/schedule/placement"

	weir "greengageweir"
)

// neededMachines returns the machines that waiting long-running tasks are placed on next.
// Maintenance and moves leave them alone until then: a task that lasts must not wait while
// a worker has room for it. Machines of the due set, whose maintenance is due, are needed
// only for tasks that no others take; machines that get no new tasks, because their
// maintenance is about to start or they are about to move, for what is left then; and those
// whose worker does not respond, such as to a new leader yet, for the rest.
func (sc *Scheduler) neededMachines(ctx context.Context, ls *leaderState, rd store.Reader, due map[string]bool, now time.Time) map[string]bool {
	jobs := slices.DeleteFunc(sc.pendingLongRunning(ls, rd), func(pj pendingJob) bool { return !sc.longRunningWaits(ls, pj) })
	if len(jobs) == 0 {
		return nil
	}
	usable := sc.placeableWorkers(ls, rd, now, jobs)
	for ix := range usable {
		wk, _ := rd.Worker(usable[ix].ID)
		usable[ix].Suspect = usable[ix].Suspect || due[wk.Machine]
	}
	stages := [][]workerView{
		usable,
		sc.workersIn(ls, rd, now, jobs, unavailability.endsForNeed),
		sc.workersIn(ls, rd, now, jobs, func(un unavailability) bool { return un == workerSilent }),
	}
	needed := map[string]bool{}
	var workers []workerView
	left := sc.longRunningGroups(ctx, ls, rd, jobs, maxFreeByPool(slices.Concat(stages...)), now)
	for stage, more := range stages {
		if len(left) == 0 {
			break
		}
		for ix := range more {
			more[ix].Suspect = more[ix].Suspect || stage > 0
		}
		workers = append(workers, more...)
		placed := sc.placeInTheEnd(rd, left, workers)
		for _, pl := range placed {
			if wk, ok := rd.Worker(pl.Worker); ok && wk.Machine != "" {
				needed[wk.Machine] = true
			}
		}
		workers = placement.Reserve(workers, left, placed)
		left = placement.Without(left, placed)
	}
	return needed
}

// longRunningWaits reports whether a job has a long-running task that waits or is evicted.
func (sc *Scheduler) longRunningWaits(ls *leaderState, pj pendingJob) bool {
	for oc := range pj.job.Occurrences {
		for sp := range pj.job.Spec.Steps {
			if !pj.job.Spec.Steps[sp].LongRunning {
				continue
			}
			if _, ok := sc.group(ls, pj.job, pj.queue, oc, sp, nil); ok {
				return true
			}
		}
	}
	return false
}

// pendingLongRunning returns the jobs that may have long-running tasks to place, or to
// reserve room for.
func (sc *Scheduler) pendingLongRunning(ls *leaderState, rd store.Reader) []pendingJob {
	return slices.DeleteFunc(sc.pendingJobs(ls, rd), func(pj pendingJob) bool { return !pj.job.Spec.LongRunning() })
}

// longRunningGroups returns the long-running steps with the tasks that may start now, and
// the evicted ones as if they might.
func (sc *Scheduler) longRunningGroups(ctx context.Context, ls *leaderState, rd store.Reader, jobs []pendingJob, free map[weir.PoolName]spec.Resources, now time.Time) []placement.Group {
	groups := sc.readyGroups(ctx, ls, rd, jobs, free, ls.doubtfulTasks(now))
	for _, gr := range groups {
		for ix := range gr.Tasks {
			gr.Tasks[ix].Stopping = false
		}
	}
	return slices.DeleteFunc(groups, func(gr placement.Group) bool { return !gr.Spec.LongRunning })
}

// placeInTheEnd returns where the tasks of long-running steps are placed once they wait for
// no better worker any more.
func (sc *Scheduler) placeInTheEnd(rd store.Reader, groups []placement.Group, workers []workerView) []placement.Placement {
	wall := sc.Wall.Now()
	var jobs []pendingJob
	for _, gr := range groups {
		js := rd.Job(gr.Step.Job)
		if qu, ok := rd.Queue(js.Spec.Queue); ok {
			jobs = append(jobs, pendingJob{job: js, queue: qu})
		}
	}
	teams, pools := teamUse(rd, jobs, wall)
	return placement.Place(wall.Add(placement.MaxSpreadWait), groups, workers, teams, pools)
}

// uncordonNeeded gives a machine back to its work if a waiting long-running task needs it.
// It reports whether one does.
func (sc *Scheduler) uncordonNeeded(ls *leaderState, machine string, worker weir.InstanceID) bool {
	mst := ls.machines
	if !mst.needed[machine] {
		return false
	}
	if _, cordoned := mst.cordon[machine]; cordoned {
		delete(mst.cordon, machine)
		_ = sc.Logger.Log("level", "info", "msg", "machine uncordoned, a waiting task needs it", "machine", machine, "worker", worker)
	}
	return true
}
