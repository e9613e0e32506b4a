package store

import (
	"time"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// Catalog is the configuration in force.
func (rd Reader) Catalog() catalog.Catalog { return rd.st.Catalog }

// Packed is the configuration in force, packed.
func (rd Reader) Packed() catalog.Packed { return rd.st.Packed }

// Queue returns the queue with a key.
func (rd Reader) Queue(key string) (catalog.Queue, bool) {
	qu, ok := rd.st.Queues[key]
	return qu, ok
}

// Job returns a job, nil where it is not known. It must not be changed, nor
// kept beyond the read.
func (rd Reader) Job(id spec.JobID) *JobState { return rd.st.Jobs[id] }

// EachActiveJob calls a function for each job that has tasks to run or runs that
// may be at workers.
func (rd Reader) EachActiveJob(do func(js *JobState)) {
	for id := range rd.st.Active {
		do(rd.st.Jobs[id])
	}
}

// Pending counts the jobs of a queue that have not begun.
func (rd Reader) Pending(queue string) int { return len(rd.st.ByQueue[queue]) }

// Worker returns a worker.
func (rd Reader) Worker(id weir.InstanceID) (Worker, bool) {
	wk, ok := rd.st.Workers[id]
	if !ok {
		return Worker{}, false
	}
	return *wk, true
}

// EachWorker calls a function for each worker.
func (rd Reader) EachWorker(do func(wk Worker)) {
	for _, wk := range rd.st.Workers {
		do(*wk)
	}
}

// Runs returns the runs that may be at a worker, with what they count.
func (rd Reader) Runs(id weir.InstanceID) map[RunKey]spec.Resources { return rd.st.Runs[id] }

// Load sums up the runs that may be at a worker.
func (rd Reader) Load(id weir.InstanceID) WorkerLoad { return rd.st.Loads[id] }

// WorkerRevision changes whenever a worker does; it compares only within one
// life of this process.
func (rd Reader) WorkerRevision() uint64 { return rd.st.WorkerChanges }

// Waves returns the maintenance waves; they must not be changed.
func (rd Reader) Waves() map[int64]*Wave { return rd.st.Waves }

// MachineOperation returns the operation under way on a machine.
func (rd Reader) MachineOperation(machine string) (MachineOperation, bool) {
	op, ok := rd.st.Orders[machine]
	if !ok {
		return MachineOperation{}, false
	}
	return *op, true
}

// JobsEndedBefore returns jobs that ended before a time, at most limit of them.
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

// EachMachineOperation calls a function for each operation under way on a machine.
func (rd Reader) EachMachineOperation(do func(op MachineOperation)) {
	for _, op := range rd.st.Orders {
		do(*op)
	}
}

// MachineOperationSeenAt returns when this member learned last of an order for a machine.
// An order in a snapshot counts from when that was taken over.
func (rd Reader) MachineOperationSeenAt(machine string) time.Time {
	at := rd.sr.orderedAt[machine]
	if at.Before(rd.sr.restoredAt) {
		return rd.sr.restoredAt
	}
	return at
}
