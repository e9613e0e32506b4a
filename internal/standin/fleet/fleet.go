// Package fleet simulates a fleet of machines in one process. It takes orders for
// tasks and for machines as workers and their platform would, and runs each task
// for the duration that the load specifies. It waits only through the time
// package, so that tests can run it in simulated time.
//
// Usage:
//
//	fl := &fleet.Fleet{Clock: clk, Task: task, OnWorkerUp: announce, MoveTime: time.Second}
//	fl.Add(fleet.Machine{Name: "m1", Pool: "desk", Rack: "r1", Capacity: capacity})
//	sch := &scheduler.Scheduler{Workers: fl, Machines: fl, ...}
package fleet

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/standin/taskworker"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// KindNoAnswer means that no worker responds at an address.
const KindNoAnswer Kind = "no answer"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	// oneWayLatency is the network latency in each direction.
	oneWayLatency = 500 * time.Microsecond
)

// Machine describes a machine of the fleet.
type Machine struct {
	Name     string
	Pool     weir.PoolName
	Rack     string
	Capacity spec.Resources
}

// Fleet simulates a set of machines and their workers. Set the exported fields
// before use.
type Fleet struct {
	Clock weir.Clock
	// Task returns the simulated work of a run at its start; it must not block.
	Task func(order weir.StartOrder) taskworker.Task
	// Crashes reports whether a run crashes its worker CrashDelay after its start;
	// nil means that none does. CrashTime is how long the worker is down then.
	Crashes    func(order weir.StartOrder) bool
	CrashDelay time.Duration
	CrashTime  time.Duration
	// OnWorkerUp is called with each worker that has started.
	OnWorkerUp func(wk store.Worker)
	// StandbyPool is the pool whose machines are powered off.
	StandbyPool weir.PoolName
	// MoveTime and MaintenanceTime are how long a machine is down for a move to
	// another pool and for maintenance.
	MoveTime        time.Duration
	MaintenanceTime time.Duration

	refused atomic.Int64

	mu       sync.Mutex
	machines map[string]*machine
	workers  map[weir.InstanceID]*taskworker.Worker
	// totals holds the work of stopped workers, and the time of machines in pools
	// until lastSample.
	totals     Counts
	lastSample time.Time
}

// Counts holds totals since the fleet was created.
type Counts struct {
	// RefusedStarts counts starts refused for lack of capacity, Moves the
	// moves of machines between pools.
	RefusedStarts, Moves int
	// LostRuns counts runs that ended with their worker, LostWork their work, in
	// core-seconds.
	LostRuns int
	LostWork float64
	// PoolTime is the summed time of machines in all pools but the standby
	// pool, BusyCoreSeconds the work of all tasks.
	PoolTime        time.Duration
	BusyCoreSeconds float64
}

type machine struct {
	Machine
	state       weir.MachineState
	incarnation int
	workerID    weir.InstanceID // "" if no worker is running
}

// Add adds a machine to the fleet and starts its worker.
func (fl *Fleet) Add(mc Machine) {
	fl.mu.Lock()
	if fl.machines == nil {
		fl.machines, fl.workers = map[string]*machine{}, map[weir.InstanceID]*taskworker.Worker{}
		fl.lastSample = fl.Clock.Now()
	}
	one := &machine{Machine: mc}
	fl.machines[mc.Name] = one
	fl.mu.Unlock()
	fl.startWorker(one)
}

// startWorker marks a machine as up and starts a worker there, unless the
// machine is in the standby pool.
func (fl *Fleet) startWorker(mc *machine) {
	fl.mu.Lock()
	fl.addPoolTime()
	mc.state = weir.MachineUp
	if mc.Pool == fl.StandbyPool {
		fl.mu.Unlock()
		return
	}
	mc.incarnation++
	now := fl.Clock.Now()
	mc.workerID = weir.InstanceID(fmt.Sprintf("%s-%d", mc.Name, mc.incarnation))
	fl.workers[mc.workerID] = &taskworker.Worker{ID: mc.workerID, Born: now.UnixMilli(), Clock: fl.Clock, Task: fl.runOn(mc, mc.workerID), Capacity: mc.Capacity}
	wk := store.Worker{
		ID: mc.workerID, Incarnation: now.UnixMilli(), Machine: mc.Name, Pool: mc.Pool, Address: string(mc.workerID), Rack: mc.Rack, Capacity: mc.Capacity,
	}
	fl.mu.Unlock()
	fl.OnWorkerUp(wk)
}

// runOn returns the simulated work of runs on a worker. Some crash it.
func (fl *Fleet) runOn(mc *machine, id weir.InstanceID) func(order weir.StartOrder) taskworker.Task {
	return func(order weir.StartOrder) taskworker.Task {
		if fl.Crashes != nil && fl.Crashes(order) {
			time.AfterFunc(fl.CrashDelay, func() { fl.crashWorker(mc, id) })
		}
		return fl.Task(order)
	}
}

// crashWorker crashes a worker unless it has stopped already.
func (fl *Fleet) crashWorker(mc *machine, id weir.InstanceID) {
	fl.mu.Lock()
	current := mc.workerID == id
	fl.mu.Unlock()
	if current {
		fl.Crash(mc.Name, fl.CrashTime)
	}
}

// stopWorker stops a machine's worker with all its runs. The lock must be held.
func (fl *Fleet) stopWorker(mc *machine) {
	wk := fl.workers[mc.workerID]
	delete(fl.workers, mc.workerID)
	mc.workerID = ""
	if wk == nil {
		return
	}
	us := wk.Usage()
	wk.Kill()
	fl.totals.LostRuns += us.Runs
	fl.totals.LostWork += us.RunningWork
	fl.totals.BusyCoreSeconds += us.TotalWork
}

// addPoolTime adds the time since lastSample to PoolTime. It must run before a
// machine changes its pool, with the lock held.
func (fl *Fleet) addPoolTime() {
	now := fl.Clock.Now()
	span := now.Sub(fl.lastSample)
	fl.lastSample = now
	for _, mc := range fl.machines {
		if mc.Pool != fl.StandbyPool {
			fl.totals.PoolTime += span
		}
	}
}

// Counts returns the totals so far.
func (fl *Fleet) Counts() Counts {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.addPoolTime()
	out := fl.totals
	out.RefusedStarts = int(fl.refused.Load())
	for _, wk := range fl.workers {
		out.BusyCoreSeconds += wk.Usage().TotalWork
	}
	return out
}

// MachineStatus is the observed state of a machine.
type MachineStatus struct {
	Name   string
	Pool   weir.PoolName
	Up     bool
	Worker weir.InstanceID
	// Runs is the number of tasks in progress, Cores the cores reserved for them.
	Runs  int
	Cores float64
}

// Statuses returns the state of every machine, sorted by name.
func (fl *Fleet) Statuses() []MachineStatus {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	out := make([]MachineStatus, 0, len(fl.machines))
	for _, mc := range fl.machines {
		vw := MachineStatus{Name: mc.Name, Pool: mc.Pool, Up: mc.state == weir.MachineUp, Worker: mc.workerID}
		if wk := fl.workers[mc.workerID]; wk != nil {
			us := wk.Usage()
			vw.Runs, vw.Cores = us.Runs, us.Cores
		}
		out = append(out, vw)
	}
	slices.SortFunc(out, func(one, other MachineStatus) int { return cmp.Compare(one.Name, other.Name) })
	return out
}

// Crash stops a machine's worker without notice and starts another after away.
func (fl *Fleet) Crash(name string, away time.Duration) {
	fl.mu.Lock()
	fl.addPoolTime()
	mc := fl.machines[name]
	fl.stopWorker(mc)
	mc.state = weir.MachineDown
	fl.mu.Unlock()
	time.AfterFunc(away, func() { fl.startWorker(mc) })
}

// Machines implements weir.MachinePlatform.
func (fl *Fleet) Machines(context.Context) ([]weir.Machine, error) {
	time.Sleep(2 * oneWayLatency)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var out []weir.Machine
	for _, mc := range fl.machines {
		out = append(out, weir.Machine{Name: mc.Name, Pool: mc.Pool, State: mc.state, Worker: mc.workerID})
	}
	return out, nil
}

// Order implements weir.MachinePlatform.
func (fl *Fleet) Order(_ context.Context, order weir.MachineOrder) (weir.MachineResponse, error) {
	time.Sleep(2 * oneWayLatency)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	mc := fl.machines[order.Machine]
	switch {
	case mc == nil:
		return weir.MachineRefused, nil
	case order.Wave == 0 && mc.Pool == order.Pool:
		return weir.MachineAccepted, nil
	case mc.state != weir.MachineUp:
		return weir.MachineBusy, nil
	}
	fl.addPoolTime()
	fl.stopWorker(mc)
	away := fl.MaintenanceTime
	mc.state = weir.MachineMaintenance
	if order.Wave == 0 {
		mc.Pool, mc.state, away = order.Pool, weir.MachineMoving, fl.MoveTime
		fl.totals.Moves++
	}
	time.AfterFunc(away, func() { fl.startWorker(mc) })
	return weir.MachineAccepted, nil
}
