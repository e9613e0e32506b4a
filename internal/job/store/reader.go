package store

import (
	"time"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// Catalog returns the configuration in force.
func (rd Reader) Catalog() catalog.Catalog { return rd.st.Catalog }

// Packed returns the configuration in force in its packed form.
func (rd Reader) Packed() catalog.Packed { return rd.st.Packed }

// Queue returns the queue with the given key. One that the configuration in force lacks is
// returned as it was configured last, as long as jobs of it go on.
func (rd Reader) Queue(key string) (catalog.Queue, bool) { return rd.st.queue(key) }

// TeamForKey returns the team that has the given API key.
func (rd Reader) TeamForKey(key auth.Key) (weir.TeamName, bool) {
	name, ok := rd.st.TeamsByKey[catalog.HashKey(rd.st.Catalog.KeySalt, key)]
	return name, ok
}

// Team returns the team with the given name.
func (rd Reader) Team(name weir.TeamName) (catalog.Team, bool) {
	tm, ok := rd.st.Teams[name]
	return tm, ok
}

// TeamUse returns what the runs of a team that may be on workers request, also of
// best-effort tasks.
func (rd Reader) TeamUse(name weir.TeamName) spec.Resources { return rd.st.TeamUse[name] }

// EachTeam calls do for each team of the configuration.
func (rd Reader) EachTeam(do func(tm catalog.Team)) {
	for _, tm := range rd.st.Teams {
		do(tm)
	}
}

// TeamLoads returns what the runs that may be on a worker reserve by team. The
// result must not be modified, nor used after the read.
func (rd Reader) TeamLoads(id weir.InstanceID) []TeamLoad { return rd.st.TeamLoads[id] }

// TeamPending returns the number of jobs of a team of which no run is, or certainly
// was, at work.
func (rd Reader) TeamPending(name weir.TeamName) int {
	if tj := rd.st.TeamJobs[name]; tj != nil {
		return tj.Pending
	}
	return 0
}

// TeamWorkLeft returns the unfinished work of a team's jobs by the estimates, with all
// of the work of running tasks.
func (rd Reader) TeamWorkLeft(name weir.TeamName) spec.Work {
	if tj := rd.st.TeamJobs[name]; tj != nil {
		return tj.Left
	}
	return spec.Work{}
}

// EachTeamJob calls do for each job of a team with unfinished work.
func (rd Reader) EachTeamJob(name weir.TeamName, do func(js *JobState)) {
	if tj := rd.st.TeamJobs[name]; tj != nil {
		for _, js := range tj.Jobs {
			do(js)
		}
	}
}

// Job returns a job, or nil if it is unknown. The result must not be modified,
// nor used after the read.
func (rd Reader) Job(id spec.JobID) *JobState { return rd.st.Jobs[id] }

// EachActiveJob calls do for each job that has tasks left to run, or runs that
// may still be on workers.
func (rd Reader) EachActiveJob(do func(js *JobState)) {
	for id := range rd.st.Active {
		do(rd.st.Jobs[id])
	}
}

// EachSuspectRun calls do for each run that may be on a worker and whose task has
// had a worker crash under it, with the time at which its start was committed.
func (rd Reader) EachSuspectRun(do func(job spec.JobID, worker weir.InstanceID, started time.Time)) {
	for id := range rd.st.Suspects {
		for _, steps := range rd.st.Jobs[id].Occurrences {
			for sp := range steps {
				for ix := range steps[sp].Tasks {
					if tk := &steps[sp].Tasks[ix]; tk.Suspect() && tk.Placed() {
						do(id, tk.Worker, tk.StartedAt)
					}
				}
			}
		}
	}
}

// Pending returns the number of jobs of a queue of which no run is, or certainly was,
// at work.
func (rd Reader) Pending(queue string) int { return len(rd.st.ByQueue[queue]) }

// Worker returns the worker with the given id.
func (rd Reader) Worker(id weir.InstanceID) (Worker, bool) {
	wk, ok := rd.st.Workers[id]
	if !ok {
		return Worker{}, false
	}
	return *wk, true
}

// EachWorker calls do for each worker.
func (rd Reader) EachWorker(do func(wk Worker)) {
	for _, wk := range rd.st.Workers {
		do(*wk)
	}
}

// WorkerRuns returns the runs that may be on a worker, with the resources that each
// reserves.
func (rd Reader) WorkerRuns(id weir.InstanceID) map[RunKey]spec.Resources { return rd.st.Runs[id] }

// WorkerLoad returns the totals of the runs that may be on a worker.
func (rd Reader) WorkerLoad(id weir.InstanceID) WorkerLoad { return rd.st.Loads[id] }

// WorkerRevision changes whenever a worker changes. Values are comparable only
// until this process restarts.
func (rd Reader) WorkerRevision() uint64 { return rd.st.WorkerRevision }

// Waves returns the maintenance waves by number; they must not be modified.
func (rd Reader) Waves() map[int64]*Wave { return rd.st.Waves }

// MachineOperation returns the operation in progress on a machine.
func (rd Reader) MachineOperation(machine string) (MachineOperation, bool) {
	op, ok := rd.st.MachineOperations[machine]
	if !ok {
		return MachineOperation{}, false
	}
	return *op, true
}

// JobsEndedBefore returns at most limit jobs that ended before a time and have
// no runs left on workers.
func (rd Reader) JobsEndedBefore(before time.Time, limit int) []spec.JobID {
	var ids []spec.JobID
	for id, js := range rd.st.Jobs {
		if js.Phase.Terminal() && js.Placed == 0 && js.Ended.Before(before) {
			ids = append(ids, id)
			if len(ids) == limit {
				break
			}
		}
	}
	return ids
}

// EachMachineOperation calls do for each machine operation in progress.
func (rd Reader) EachMachineOperation(do func(op MachineOperation)) {
	for _, op := range rd.st.MachineOperations {
		do(*op)
	}
}

// MachineOperationSeenAt returns when this replica last applied an operation on
// a machine. Operations in a snapshot count from when it was restored.
func (rd Reader) MachineOperationSeenAt(machine string) time.Time {
	at := rd.sr.operationSeenAt[machine]
	if at.Before(rd.sr.restoredAt) {
		return rd.sr.restoredAt
	}
	return at
}
