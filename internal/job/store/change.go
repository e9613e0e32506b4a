package store

import (
	"time"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// Entry is one record of the replicated log: changes that are applied in
// order, in one step.
type Entry struct {
	// At is the proposing leader's time of day.
	At      time.Time `json:"at"`
	Changes []Change  `json:"c"`
}

// Change is one change; exactly one field is set.
type Change struct {
	Catalog *catalog.Packed   `json:"cat,omitempty"`
	Submit  *spec.Job         `json:"sub,omitempty"`
	Cancel  *spec.JobID       `json:"can,omitempty"`
	Join    *Worker           `json:"join,omitempty"`
	Leave   *WorkerLeave      `json:"leave,omitempty"`
	Start   *RunStart         `json:"st,omitempty"`
	End     *RunEnd           `json:"end,omitempty"`
	Forget  []spec.JobID      `json:"forget,omitempty"`
	Wave    *Wave             `json:"wave,omitempty"`
	Machine *MachineOperation `json:"mach,omitempty"`
}

// Worker is one life of an instance that runs tasks.
type Worker struct {
	ID weir.InstanceID `json:"id"`
	// Incarnation tells the lives of one id apart: the time of the life's start in
	// milliseconds since 1970.
	Incarnation int64          `json:"born"`
	Machine     string         `json:"machine,omitempty"`
	Pool        weir.PoolName  `json:"pool"`
	Address     string         `json:"addr"`
	Zone        weir.Zone      `json:"zone"`
	Kind        string         `json:"kind,omitempty"`
	Rack        string         `json:"rack,omitempty"`
	Capacity    spec.Resources `json:"room"`
	// Draining workers get no new tasks.
	Draining bool `json:"draining,omitempty"`
	// Sequence rises with each announcement of a life, so that word that was
	// held up on its way is known as such.
	Sequence int64 `json:"seq,omitempty"`
}

// EqualIgnoringSequence reports whether two announcements say the same of a worker.
func (wk Worker) EqualIgnoringSequence(other Worker) bool {
	wk.Sequence = other.Sequence
	return wk == other
}

// WorkerLeave ends one life of a worker: nothing runs there any more.
type WorkerLeave struct {
	ID          weir.InstanceID `json:"id"`
	Incarnation int64           `json:"born"`
	Reason      string          `json:"why"`
}

// RunStart is the intent to start a run. It is committed before the order is
// sent, so that every later leader knows where a run may be.
type RunStart struct {
	Task        spec.TaskRef    `json:"t"`
	Run         int             `json:"r"`
	Worker      weir.InstanceID `json:"w"`
	Incarnation int64           `json:"b"`
}

// EndReason tells how a run ended.
type EndReason string

// The ways a run ends.
const (
	EndDone   EndReason = "done"
	EndFailed EndReason = "failed"
	// EndStopped, EndLapsed, EndBroken and EndAlone are a worker's words for
	// runs that ended through no fault of the task.
	EndStopped      EndReason = "stopped"
	EndLeaseExpired EndReason = "lapsed"
	EndBroken       EndReason = "broken"
	EndAlone        EndReason = "alone"
	// EndLost says that the run is surely over and has left no end.
	EndLost EndReason = "lost"
	// EndRefused says that the worker refused to start it.
	EndRefused EndReason = "refused"
)

// RunEnd is the end of one run.
type RunEnd struct {
	Task       spec.TaskRef `json:"t"`
	Run        int          `json:"r"`
	Reason     EndReason    `json:"h"`
	Checkpoint string       `json:"cp,omitempty"`
}

// Wave asks for the maintenance of machines.
type Wave struct {
	Number   int64     `json:"number"`
	Machines []string  `json:"machines"`
	Deadline time.Time `json:"deadline"`
	// MaxParallel bounds the machines that are away at a time.
	MaxParallel int `json:"atOnce"`
	// Started holds the machines whose maintenance has begun.
	Started map[string]bool `json:"begun,omitempty"`
}

// AllStarted reports whether each machine's maintenance has begun.
func (wv Wave) AllStarted() bool {
	for _, mc := range wv.Machines {
		if !wv.Started[mc] {
			return false
		}
	}
	return true
}

// MachineOperation records that an operation on a machine was ordered, or
// that it has begun.
type MachineOperation struct {
	Machine string `json:"machine"`
	// Wave is set for maintenance, Pool for a move.
	Wave int64         `json:"wave,omitempty"`
	Pool weir.PoolName `json:"pool,omitempty"`
	// Worker and Born name the life that the operation ends.
	Worker      weir.InstanceID `json:"worker,omitempty"`
	Incarnation int64           `json:"born,omitempty"`
	Started     bool            `json:"begun,omitempty"`
	// NotExecuted says that the platform certainly did not and will not do it.
	NotExecuted bool `json:"void,omitempty"`
}
