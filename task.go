package greengageweir

import (
	"context"
	"errors"
	"time"
)

// JobID is the id that the caller gave to a job.
type JobID string

// TaskRef identifies one task of a job.
type TaskRef struct {
	Job        JobID `json:"j"`
	Occurrence int   `json:"o,omitempty"`
	Step       int   `json:"s,omitempty"`
	Index      int   `json:"i,omitempty"`
}

// StepRef returns the first task of the task's step, which identifies the step.
func (tr TaskRef) StepRef() TaskRef {
	tr.Index = 0
	return tr
}

// RunKey identifies one run of one task. Run numbers increase from 1 and are
// never reused.
type RunKey struct {
	Task TaskRef
	Run  int
}

// WorkerIncarnation identifies one incarnation of a worker and its address.
type WorkerIncarnation struct {
	ID InstanceID
	// Incarnation is the worker's start time in milliseconds since 1970.
	Incarnation int64 `json:"Born"`
	Address     string
}

// StartOrder is an order to start a run.
type StartOrder struct {
	RunKey
	// Text is the job's text, as the caller submitted it.
	Text string
	// Until is when the worker's lease expires, on the worker's clock.
	Until time.Duration
	// Token is the fencing token of the leader that sends the order.
	Token uint64
	// Checkpoint is the checkpoint to resume from; empty means from the start.
	Checkpoint string
	// Ticket is the adviser's ticket for this worker; empty if none is needed.
	Ticket string
}

// Refusal is the reason why a worker refused an order. A refused run was
// certainly not started.
type Refusal string

// The reasons for a refusal.
const (
	// RefusedNone means that the order was accepted.
	RefusedNone Refusal = ""
	// RefusedFenced means that the worker has seen a higher fencing token.
	RefusedFenced Refusal = "fenced"
	// RefusedStale means that this or a later run was stopped or has ended on the
	// worker.
	RefusedStale Refusal = "old run"
	// RefusedLeaseExpired means that the lease had expired when the order arrived.
	RefusedLeaseExpired Refusal = "late"
	// RefusedCapacity means that the worker has not enough free resources.
	RefusedCapacity Refusal = "no room"
	// RefusedTicket means that the adviser's ticket is missing or expired.
	RefusedTicket Refusal = "no ticket"
	// RefusedUnhealthy means that the worker is not healthy.
	RefusedUnhealthy Refusal = "not healthy"
	// RefusedIncarnation means that the order reached another incarnation of the
	// worker.
	RefusedIncarnation Refusal = "another life"
	// RefusedInvalid means that the worker cannot decode the order.
	RefusedInvalid Refusal = "invalid"
)

// RunEnd is the end of one run as a worker reports it.
type RunEnd struct {
	RunKey
	// Number increases by one with each end on one incarnation of the worker.
	Number int64
	// Reason is an EndReason of internal/job/store.
	Reason     string `json:"How"`
	Checkpoint string
}

// RunningTask is one run in progress as a worker reports it.
type RunningTask struct {
	RunKey
	Checkpoint string
	// Percent is the progress of a batch task, and 100 for a long-running task
	// that is working.
	Percent int
	// Measurement is a rough measurement over the last half second: the tail
	// latency in milliseconds of a task that serves users, and the processor use
	// in thousandths of a core of others.
	Measurement float64 `json:"Rough"`
}

// WorkerReport is a worker's report of its running and ended runs.
type WorkerReport struct {
	// Clock is the reading of the worker's monotonic clock.
	Clock       time.Duration
	Incarnation int64 `json:"Born"`
	Running     []RunningTask
	// Ends holds the ends that were not acknowledged yet, oldest first.
	Ends []RunEnd
	// Fenced says that the worker has seen a higher fencing token, so that the renewal
	// had no effect. The lists are empty then.
	Fenced bool `json:"Fenced,omitempty"`
}

// RenewOrder renews a worker's lease and requests its report.
type RenewOrder struct {
	// Until is when the lease expires, on the worker's clock; zero does not renew
	// it.
	Until time.Duration
	Token uint64
	// Acknowledged is the number of the last end that is committed.
	Acknowledged int64
	// Wait is how long the worker may wait for a run to end before it replies.
	Wait time.Duration
}

// OrderResponse is a worker's response to an order.
type OrderResponse struct {
	Refusal Refusal
	Clock   time.Duration
}

// ErrNotSent is wrapped by errors for orders of which no byte was sent.
var ErrNotSent = errors.New("order was not sent")

// TaskWorkers sends orders to workers. An error means that the order may have
// been executed, or may still be, unless it wraps ErrNotSent.
type TaskWorkers interface {
	Start(ctx context.Context, worker WorkerIncarnation, order StartOrder) (OrderResponse, error)
	Stop(ctx context.Context, worker WorkerIncarnation, key RunKey, token uint64) (OrderResponse, error)
	Renew(ctx context.Context, worker WorkerIncarnation, order RenewOrder) (WorkerReport, error)
	// Throttle limits a run to a share of its speed, from 0 to 100 percent.
	Throttle(ctx context.Context, worker WorkerIncarnation, key RunKey, percent int, token uint64) (OrderResponse, error)
	// Forget closes the connections to an address that is no longer in use.
	Forget(address string)
}

// Leadership tells whether this process may send orders now. IsLeader reports
// whether it is certainly still the leader.
type Leadership interface {
	IsLeader() bool
}

// MachineState is the state of a machine at its platform.
type MachineState string

// The states of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "maintenance"
	MachineDown        MachineState = "down"
)

// Machine is one machine of the fleet as the platform lists it.
type Machine struct {
	Name   string
	Pool   PoolName
	State  MachineState
	Zone   Zone
	Worker InstanceID
}

// MachineResponse is the platform's response to a machine order.
type MachineResponse string

// The responses to a machine order.
const (
	// MachineAccepted means that the operation has started or is done.
	MachineAccepted MachineResponse = "accepted"
	// MachineBusy means that the machine is not up.
	MachineBusy MachineResponse = "busy"
	// MachineRefused means that the order can never be executed.
	MachineRefused MachineResponse = "refused"
	// MachineThrottled means that orders exceeded the platform's rate limit.
	MachineThrottled MachineResponse = "throttled"
)

// MachineOrder orders one operation on one machine, on behalf of a leader.
type MachineOrder struct {
	Machine     string
	LeaseHolder string
	Token       uint64
	// Wave is set for maintenance, Pool for a move to another pool.
	Wave int64
	Pool PoolName
	// Permitted is asked again right before the order is written to the network,
	// since the process may have been suspended meanwhile; nil permits the order.
	Permitted func() bool
}

// MachinePlatform lists machines and executes orders on them. An error means
// that the order may have been executed.
type MachinePlatform interface {
	Machines(ctx context.Context) ([]Machine, error)
	Order(ctx context.Context, order MachineOrder) (MachineResponse, error)
}

// Advice holds the workers that may run a step, each with the ticket that its
// start orders must carry.
type Advice struct {
	Tickets map[InstanceID]string
	// Validity is how long the tickets are valid.
	Validity time.Duration
}

// Adviser decides which workers may run a step. It is slow and handles one call
// of a process at a time. The workers of a step do not change, but tickets
// expire.
type Adviser interface {
	Advise(ctx context.Context, step TaskRef, workers []InstanceID) (Advice, error)
}
