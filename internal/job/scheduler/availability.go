package scheduler

import (
	"time"

	"greengageweir/internal/job/store"
	"greengageweir/internal/schedule/placement"

	weir "greengageweir"
)

// workerView is a worker as seen by the placement.
type workerView = placement.Worker

// isolationTime is how long a worker on which a suspect task was started gets no
// tasks of other jobs.
const isolationTime = 300 * time.Millisecond

// suspectRuns returns the jobs with suspect tasks on each worker, and the job of a
// suspect task that was started there within isolationTime.
func (sc *Scheduler) suspectRuns(rd store.Reader) (jobs map[weir.InstanceID]map[weir.JobID]bool, reserved map[weir.InstanceID]weir.JobID) {
	jobs, reserved = map[weir.InstanceID]map[weir.JobID]bool{}, map[weir.InstanceID]weir.JobID{}
	wall := sc.Wall.Now()
	rd.EachSuspectRun(func(job weir.JobID, worker weir.InstanceID, started time.Time) {
		if jobs[worker] == nil {
			jobs[worker] = map[weir.JobID]bool{}
		}
		jobs[worker][job] = true
		if wall.Sub(started) < isolationTime {
			reserved[worker] = job
		}
	})
	return jobs, reserved
}

// unavailability is why a worker takes no tasks now.
type unavailability string

const (
	available        unavailability = ""
	workerDrains     unavailability = "draining"
	workerRestarted  unavailability = "started again"
	workerSilent     unavailability = "not responding"
	machineOrdered   unavailability = "maintenance or move ordered"
	orderNotAccepted unavailability = "maintenance or move not accepted yet"
	cordonedForWave  unavailability = "cordoned"
	leavesPool       unavailability = "about to move"
	backsOff         unavailability = "in backoff"
	workerNotInState unavailability = "gone"
)

// endsForNeed reports whether a worker takes tasks again if a waiting long-running task
// needs it; see neededMachines.
func (un unavailability) endsForNeed() bool {
	return un == orderNotAccepted || un == cordonedForWave || un == leavesPool
}

// workerUnavailability returns why the worker of a session takes no tasks now.
func (sc *Scheduler) workerUnavailability(ls *leaderState, rd store.Reader, id weir.InstanceID, ws *workerSession, now time.Time) unavailability {
	wk, ok := rd.Worker(id)
	switch {
	case !ok:
		return workerNotInState
	case wk.Draining:
		return workerDrains
	case wk.Incarnation != ws.worker.Incarnation:
		return workerRestarted
	case !ws.session.Usable():
		return workerSilent
	}
	if un := ls.machines.unavailability(rd, wk.Machine); un != available {
		return un
	}
	if ls.health[id].inBackoff(now) {
		return backsOff
	}
	return available
}

// usableWorkers returns the workers that can take tasks of the given jobs now.
func (sc *Scheduler) usableWorkers(ls *leaderState, rd store.Reader, now time.Time, jobs []pendingJob) []placement.Worker {
	return sc.workersIn(ls, rd, now, jobs, func(un unavailability) bool { return un == available })
}

// placeableWorkers returns the workers that can take tasks of the given jobs now, and those
// in backoff, which are there for long-running tasks that have no other.
func (sc *Scheduler) placeableWorkers(ls *leaderState, rd store.Reader, now time.Time, jobs []pendingJob) []placement.Worker {
	return sc.workersIn(ls, rd, now, jobs, func(un unavailability) bool { return un == available || un == backsOff })
}

// workersIn returns the workers of the given jobs' pools whose unavailability is accepted.
func (sc *Scheduler) workersIn(ls *leaderState, rd store.Reader, now time.Time, jobs []pendingJob, accept func(un unavailability) bool) []placement.Worker {
	pools := map[weir.PoolName]bool{}
	for _, dm := range jobs {
		pools[dm.queue.Pool] = true
	}
	suspects, reserved := sc.suspectRuns(rd)
	workers := make([]placement.Worker, 0, len(ls.sessions))
	for id, ws := range ls.sessions {
		if !pools[ws.worker.Pool] {
			continue
		}
		un := sc.workerUnavailability(ls, rd, id, ws, now)
		if !accept(un) {
			continue
		}
		wk, _ := rd.Worker(id)
		hl := ls.health[id]
		pw := placement.Worker{ID: id, Incarnation: wk.Incarnation, Pool: wk.Pool, Kind: wk.Kind, Rack: wk.Rack, Suspect: hl.suspect(now), InBackoff: un == backsOff, SuspectJobs: suspects[id], ReservedFor: reserved[id]}
		load := rd.WorkerLoad(id)
		pw.Free, pw.Serving, pw.BestEffort = wk.Capacity.Minus(load.Used), load.Serving, load.BestEffort
		workers = append(workers, pw)
	}
	return workers
}
