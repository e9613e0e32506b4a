package scheduler

import (
	"context"
	"slices"
	"time"

	"greengageweir/internal/job/store"
	"greengageweir/internal/schedule/placement"

	weir "greengageweir"
)

// neededMachines returns the machines that waiting long-running tasks are placed on next.
// Maintenance and moves leave them alone until then: a task that lasts must not wait while
// a worker has room for it. Machines of the due set, whose maintenance is due, are needed
// only for tasks that no others take, and machines that get no new tasks, because their
// maintenance is about to start or they are about to move, only for what is left then.
func (sc *Scheduler) neededMachines(ctx context.Context, ls *leaderState, rd store.Reader, due map[string]bool, now time.Time) map[string]bool {
	jobs := slices.DeleteFunc(sc.pendingJobs(rd), func(pj pendingJob) bool { return !pj.job.Spec.LongRunning() })
	if len(jobs) == 0 {
		return nil
	}
	usable := sc.usableWorkers(ls, rd, now, jobs)
	withheld := sc.workersIn(ls, rd, now, jobs, func(un unavailability) bool { return un == cordonedForWave || un == leavesPool })
	free := maxFreeByPool(slices.Concat(usable, withheld))
	groups := sc.readyGroups(ctx, ls, rd, jobs, free, ls.doubtfulTasks(now))
	groups = slices.DeleteFunc(groups, func(gr placement.Group) bool { return !gr.Spec.LongRunning })
	for ix := range usable {
		wk, _ := rd.Worker(usable[ix].ID)
		usable[ix].Suspect = usable[ix].Suspect || due[wk.Machine]
	}
	// Tasks that wait for a better worker take the one that there is in the end.
	wall := sc.Wall.Now().Add(placement.MaxSpreadWait)
	teams, pools := teamUse(rd, jobs, sc.Wall.Now())
	placed := placement.Place(wall, groups, usable, teams, pools)
	if left := placement.Without(groups, placed); len(left) > 0 && len(withheld) > 0 {
		for ix := range withheld {
			withheld[ix].Suspect = true
		}
		all := append(placement.Reserve(usable, groups, placed), withheld...)
		placed = append(placed, placement.Place(wall, left, all, teams, pools)...)
	}
	needed := map[string]bool{}
	for _, pl := range placed {
		if wk, ok := rd.Worker(pl.Worker); ok && wk.Machine != "" {
			needed[wk.Machine] = true
		}
	}
	return needed
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
