package greengageweir

import (
	"context"
	"time"
)

// JobID is the caller's name of a job.
type JobID string

// TaskRef names one task of a job.
type TaskRef struct {
	Job        JobID `json:"j"`
	Occurrence int   `json:"o,omitempty"`
	Step       int   `json:"s,omitempty"`
	Index      int   `json:"i,omitempty"`
}

// StepRef returns the first task of the task's step, which names the step.
func (tr TaskRef) StepRef() TaskRef {
	tr.Index = 0
	return tr
}

// RunKey names one run of one task. Run numbers rise from 1 and are never
// used twice.
type RunKey struct {
	Task TaskRef
	Run  int
}

// WorkerIncarnation is one life of a worker, and where to reach it.
type WorkerIncarnation struct {
	ID      InstanceID
	Born    int64
	Address string
}

// RunOrder orders a worker to start a run.
type RunOrder struct {
	RunKey
	// Text is the caller's, as it was handed in.
	Text string
	// Until is the worker's lease on its own clock.
	Until time.Duration
	// Token is the fencing token of the leader that orders.
	Token uint64
	// Checkpoint is where the run resumes; empty is from the start.
	Checkpoint string
	// Ticket is the adviser's permission; empty where none is needed.
	Ticket string
}

// Refusal tells why a worker did not start a run. It has certainly not
// started it.
type Refusal string

// The reasons of a refusal.
const (
	// RefusedNone is no refusal.
	RefusedNone Refusal = ""
	// RefusedFenced says that a later leader has been at the worker.
	RefusedFenced Refusal = "fenced"
	// RefusedStale says that this or a later run was stopped or has ended there.
	RefusedStale Refusal = "old run"
	// RefusedLeaseExpired says that the lease had passed on arrival.
	RefusedLeaseExpired Refusal = "late"
	// RefusedCapacity says that the worker has no room.
	RefusedCapacity Refusal = "no room"
	// RefusedTicket says that the adviser's permission is missing or expired.
	RefusedTicket Refusal = "no ticket"
	// RefusedUnhealthy says that the worker is not healthy.
	RefusedUnhealthy Refusal = "not healthy"
	// RefusedIncarnation says that another life of the worker answered.
	RefusedIncarnation Refusal = "another life"
	// RefusedInvalid says that the worker cannot read the order.
	RefusedInvalid Refusal = "invalid"
)

// RunEnd is one entry of a worker's list of ends.
type RunEnd struct {
	RunKey
	// Number rises by one with each end of a worker's life.
	Number int64
	// How is the worker's word for it, see internal/job/store.
	How        string
	Checkpoint string
}

// RunningTask is one entry of a worker's list of what runs.
type RunningTask struct {
	RunKey
	Checkpoint string
	// Percent is the progress of a task that ends, and 100 for a lasting task
	// that is at work.
	Percent int
	// Rough is a figure of the last half second: for a task that serves its
	// own users, the tail of its response times in milliseconds; for others,
	// the thousandths of a core in use.
	Rough float64
}

// WorkerReport is a worker's account of itself.
type WorkerReport struct {
	// Clock is the worker's own steady clock.
	Clock   time.Duration
	Born    int64
	Running []RunningTask
	// Ends are those that were not acknowledged, oldest first.
	Ends []RunEnd
}

// RenewOrder extends a worker's lease and asks for its report.
type RenewOrder struct {
	// Until is the lease on the worker's clock; zero extends nothing.
	Until time.Duration
	Token uint64
	// Acknowledged is the number of the last end that is recorded.
	Acknowledged int64
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// OrderResponse is a worker's answer to an order.
type OrderResponse struct {
	Refusal Refusal
	Clock   time.Duration
}

// TaskWorkers sends orders to workers. An error means that the order may have
// been carried out, or may still be.
type TaskWorkers interface {
	Start(ctx context.Context, life WorkerIncarnation, order RunOrder) (OrderResponse, error)
	Stop(ctx context.Context, life WorkerIncarnation, key RunKey, token uint64) (OrderResponse, error)
	Renew(ctx context.Context, life WorkerIncarnation, order RenewOrder) (WorkerReport, error)
	// Throttle lets a run work at a share of its speed, from 0 to 100 percent.
	Throttle(ctx context.Context, life WorkerIncarnation, key RunKey, percent int, token uint64) (OrderResponse, error)
	// Forget closes the connections to an address that is no longer used.
	Forget(address string)
}

// Leadership tells whether orders may be given at a moment: whether this
// process still leads for sure.
type Leadership interface {
	Leads() bool
}

// MachineState is where a machine is in its life at the platform.
type MachineState string

// The states of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "maintenance"
	MachineDown        MachineState = "down"
)

// Machine is one machine of the fleet as its platform lists it.
type Machine struct {
	Name   string
	Pool   PoolName
	State  MachineState
	Zone   Zone
	Worker InstanceID
}

// MachineResponse is the platform's answer to an order.
type MachineResponse string

// The answers.
const (
	// MachineAccepted says that the operation has begun, or has been done.
	MachineAccepted MachineResponse = "accepted"
	// MachineBusy says that the machine is not up.
	MachineBusy MachineResponse = "busy"
	// MachineRefused says that the order can never be carried out.
	MachineRefused MachineResponse = "refused"
	// MachineThrottled says that too many orders came at once.
	MachineThrottled MachineResponse = "throttled"
)

// MachineOrder names who orders, for one operation on one machine.
type MachineOrder struct {
	Machine string
	Holder  string
	Token   uint64
	// Wave is set for maintenance, Pool for a move.
	Wave int64
	Pool PoolName
}

// MachinePlatform acts on machines. An error means that the order may have
// been carried out.
type MachinePlatform interface {
	Machines(ctx context.Context) ([]Machine, error)
	Order(ctx context.Context, order MachineOrder) (MachineResponse, error)
}

// Advice names the workers that may run a step, with the ticket that each
// start there must carry.
type Advice struct {
	Tickets map[InstanceID]string
	// Validity is how long the tickets hold.
	Validity time.Duration
}

// Adviser tells which workers may run a step. It answers one question of a
// process at a time, and slowly; the answer for a step does not change, but
// tickets expire.
type Adviser interface {
	Advise(ctx context.Context, step TaskRef, workers []InstanceID) (Advice, error)
}
