package store

import (
	"time"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// Entry is one record of the replicated log. Its changes are applied in order
// and atomically.
type Entry struct {
	// At is the wall clock time of the leader that proposed the entry.
	At      time.Time `json:"at"`
	Changes []Change  `json:"c"`
}

// Change is one change of the state; exactly one field is set.
type Change struct {
	Catalog *catalog.Packed   `json:"cat,omitempty"`
	Submit  *spec.Job         `json:"sub,omitempty"`
	Cancel  *spec.JobID       `json:"can,omitempty"`
	Join    *Worker           `json:"join,omitempty"`
	Leave   *WorkerLeave      `json:"leave,omitempty"`
	Crash   *WorkerCrash      `json:"crash,omitempty"`
	Lapse   *WorkerCrash      `json:"lapse,omitempty"`
	Restart *WorkerRestart    `json:"restart,omitempty"`
	Answer  *RunsAnswered     `json:"ans,omitempty"`
	Start   *RunStart         `json:"st,omitempty"`
	End     *RunEnd           `json:"end,omitempty"`
	Forget  []spec.JobID      `json:"forget,omitempty"`
	Wave    *Wave             `json:"wave,omitempty"`
	Machine *MachineOperation `json:"mach,omitempty"`
}

// Worker is one incarnation of an instance that runs tasks, as it announced
// itself.
type Worker struct {
	ID weir.InstanceID `json:"id"`
	// Incarnation distinguishes restarts under one id: the start time in
	// milliseconds since 1970.
	Incarnation int64          `json:"born"`
	Machine     string         `json:"machine,omitempty"`
	Pool        weir.PoolName  `json:"pool"`
	Address     string         `json:"addr"`
	Zone        weir.Zone      `json:"zone"`
	Kind        string         `json:"kind,omitempty"`
	Rack        string         `json:"rack,omitempty"`
	Capacity    spec.Resources `json:"room"`
	// Draining workers are given no new tasks.
	Draining bool `json:"draining,omitempty"`
	// Sequence increases with each announcement of an incarnation, so that a
	// delayed announcement is recognized as outdated.
	Sequence int64 `json:"seq,omitempty"`
	// Restarted says that an earlier incarnation had the same id, or that a later one
	// has answered, so that this one may hold a lease from an order to another. It is
	// set by the state, not by announcements.
	Restarted bool `json:"restarted,omitempty"`
}

// EqualIgnoringSequence reports whether two announcements describe a worker
// alike in all but the sequence number.
func (wk Worker) EqualIgnoringSequence(other Worker) bool {
	wk.Sequence, wk.Restarted = other.Sequence, other.Restarted
	return wk == other
}

// WorkerLeave removes one incarnation of a worker, on which nothing runs any
// more.
type WorkerLeave struct {
	ID          weir.InstanceID `json:"id"`
	Incarnation int64           `json:"born"`
	Reason      string          `json:"why"`
	// Departed says that the worker itself announced its end, so that this
	// incarnation never comes back.
	Departed bool `json:"gone,omitempty"`
	// Recent holds, if its lease has lapsed, the runs that the worker confirmed to
	// have started right before it fell silent. It has crashed or is cut off.
	Recent []RunKey `json:"recent,omitempty"`
	// Unconfirmed holds those whose start orders may have arrived before then.
	Unconfirmed []RunKey `json:"unconfirmed,omitempty"`
}

// WorkerCrash says that a worker's incarnation has ended without an order, as its
// successor shows. As a lapse it says that the leases of the incarnation have expired,
// while other runs of it may not be over. Recent holds the runs that it confirmed to have
// started right before.
type WorkerCrash struct {
	ID          weir.InstanceID `json:"id"`
	Incarnation int64           `json:"born"`
	Recent      []RunKey        `json:"recent"`
	// Unconfirmed holds those whose start orders may have arrived before.
	Unconfirmed []RunKey `json:"unconfirmed,omitempty"`
}

// WorkerRestart says that another incarnation has answered calls to a worker, which
// has not announced itself yet. It may have taken orders that were meant for the one
// that is registered.
type WorkerRestart struct {
	ID          weir.InstanceID `json:"id"`
	Incarnation int64           `json:"born"`
	// Settled says instead that the registered incarnation has answered, and holds no
	// lease from an order to another one any more.
	Settled bool `json:"settled,omitempty"`
}

// RunsAnswered says that the start orders of runs were answered, so that no later
// incarnation of their worker can carry them out.
type RunsAnswered struct {
	Worker weir.InstanceID `json:"w"`
	Runs   []RunKey        `json:"runs"`
}

// RunStart records the intent to start a run. It is committed before the order
// is sent, so that every later leader knows on which worker the run may be.
type RunStart struct {
	Task        spec.TaskRef    `json:"t"`
	Run         int             `json:"r"`
	Worker      weir.InstanceID `json:"w"`
	Incarnation int64           `json:"b"`
}

// EndReason tells why a run ended.
type EndReason string

// The reasons for the end of a run.
const (
	EndDone   EndReason = "done"
	EndFailed EndReason = "failed"
	// EndStopped, EndLeaseExpired, EndBroken and EndAlone are reported by a
	// worker for runs that ended through no fault of the task.
	EndStopped      EndReason = "stopped"
	EndLeaseExpired EndReason = "lapsed"
	EndBroken       EndReason = "broken"
	EndAlone        EndReason = "alone"
	// EndLost says that the run has certainly ended, but no reason was reported.
	EndLost EndReason = "lost"
	// EndRefused says that the worker refused to start it.
	EndRefused EndReason = "refused"
)

// ReportedEnd returns the reason for an end that a worker has listed. One that the protocol
// does not name counts as EndLost: the run is over, and it is no failure of the task.
func ReportedEnd(reason string) EndReason {
	switch end := EndReason(reason); end {
	case EndDone, EndFailed, EndStopped, EndLeaseExpired, EndBroken, EndAlone:
		return end
	default:
		return EndLost
	}
}

// RunEnd records the end of one run.
type RunEnd struct {
	Task       spec.TaskRef `json:"t"`
	Run        int          `json:"r"`
	Reason     EndReason    `json:"h"`
	Checkpoint string       `json:"cp,omitempty"`
}

// Wave is a request for the maintenance of a set of machines.
type Wave struct {
	Number   int64     `json:"number"`
	Machines []string  `json:"machines"`
	Deadline time.Time `json:"deadline"`
	// MaxParallel limits the machines that are under maintenance at a time.
	MaxParallel int `json:"atOnce"`
	// Started holds the machines whose maintenance has started. It is written also if
	// it is empty, since earlier versions do not restore it otherwise.
	Started map[string]bool `json:"begun"`
}

// AllStarted reports whether the maintenance of every machine has started.
func (wv Wave) AllStarted() bool {
	for _, mc := range wv.Machines {
		if !wv.Started[mc] {
			return false
		}
	}
	return true
}

// MachineOperation records that an operation on a machine was ordered, has
// started, was not executed, or was withdrawn.
type MachineOperation struct {
	Machine string `json:"machine"`
	// Wave is set for maintenance, Pool for a move.
	Wave int64         `json:"wave,omitempty"`
	Pool weir.PoolName `json:"pool,omitempty"`
	// Worker and Incarnation identify the worker that the operation shuts down.
	Worker      weir.InstanceID `json:"worker,omitempty"`
	Incarnation int64           `json:"born,omitempty"`
	Started     bool            `json:"begun,omitempty"`
	// NotExecuted says that the platform certainly did not execute the operation
	// and will not do so.
	NotExecuted bool `json:"void,omitempty"`
	// Withdrawn says that the platform has not executed the operation and that it is not
	// ordered any more; it may be ordered again later.
	Withdrawn bool `json:"back,omitempty"`
}
