// Package fleet is a stand-in for a whole fleet of machines in one process: it
// takes the orders for tasks and for machines as workers and their platform
// would, and lets tasks take the time that the load says. It waits with the
// time package alone, so that tests can play it in simulated time.
//
// Usage:
//
//	fl := &fleet.Fleet{Clock: clk, Task: task, Announce: announce, MoveTime: time.Second}
//	fl.Add(fleet.Machine{Name: "m1", Pool: "desk", Rack: "r1", Room: room})
//	own := &owner.Owner{Workers: fl, Machines: fl, ...}
package fleet

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"greengageweir/internal/duty/errkind"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/standin/taskworker"

	weir "greengageweir"
)

// Kind tells the errors of this package apart.
type Kind string

// KindSilent says that nobody answers at an address.
const KindSilent Kind = "no answer"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	// oneWay is how long a message takes in each direction.
	oneWay = 500 * time.Microsecond
)

// Machine is one machine of the fleet.
type Machine struct {
	Name string
	Pool weir.PoolName
	Rack string
	Room spec.Resources
}

// Fleet is a set of machines. Set the exported fields before use.
type Fleet struct {
	Clock weir.Clock
	// Task tells what a run does when it begins; it must not block.
	Task func(order weir.RunOrder) taskworker.Task
	// Announce tells of a worker that has come up.
	Announce func(wk store.Worker)
	// Standby names the pool whose machines are off.
	Standby weir.PoolName
	// MoveTime and MaintenanceTime are how long a machine is away.
	MoveTime        time.Duration
	MaintenanceTime time.Duration

	refused atomic.Int64

	mu       sync.Mutex
	machines map[string]*machine
	workers  map[weir.InstanceID]*taskworker.Worker
	// counted holds what is over: the work of workers that are gone, and the
	// time in pools until sampled.
	counted Counts
	sampled time.Time
}

// Counts is what was seen of the fleet.
type Counts struct {
	// Refused counts starts that found no room, Moves the machines that changed
	// their pool.
	Refused, Moves int
	// Lost counts runs that ended with their machine, and LostWork what they
	// had done, in core-seconds.
	Lost     int
	LostWork float64
	// PoolTime sums up how long machines were in pools that are not off, and
	// Busy how much of that was worked, in core-seconds.
	PoolTime time.Duration
	Busy     float64
}

type machine struct {
	Machine
	state weir.MachineState
	life  int
	id    weir.InstanceID // of its worker, "" where none is up
}

// Add puts a machine into the fleet and brings its worker up.
func (fl *Fleet) Add(mc Machine) {
	fl.mu.Lock()
	if fl.machines == nil {
		fl.machines, fl.workers = map[string]*machine{}, map[weir.InstanceID]*taskworker.Worker{}
		fl.sampled = fl.Clock.Now()
	}
	one := &machine{Machine: mc}
	fl.machines[mc.Name] = one
	fl.mu.Unlock()
	fl.bringUp(one)
}

// bringUp starts a worker on a machine, unless its pool is off.
func (fl *Fleet) bringUp(mc *machine) {
	fl.mu.Lock()
	fl.sample()
	mc.state = weir.MachineUp
	if mc.Pool == fl.Standby {
		fl.mu.Unlock()
		return
	}
	mc.life++
	now := fl.Clock.Now()
	mc.id = weir.InstanceID(fmt.Sprintf("%s-%d", mc.Name, mc.life))
	fl.workers[mc.id] = &taskworker.Worker{ID: mc.id, Born: now.UnixMilli(), Clock: fl.Clock, Task: fl.Task, Capacity: mc.Room}
	wk := store.Worker{
		ID: mc.id, Incarnation: now.UnixMilli(), Machine: mc.Name, Pool: mc.Pool, Address: string(mc.id), Rack: mc.Rack, Capacity: mc.Room,
	}
	fl.mu.Unlock()
	fl.Announce(wk)
}

// takeDown ends a machine's worker and all that runs there. The lock is held.
func (fl *Fleet) takeDown(mc *machine) {
	wk := fl.workers[mc.id]
	delete(fl.workers, mc.id)
	mc.id = ""
	if wk == nil {
		return
	}
	us := wk.Usage()
	wk.Kill()
	fl.counted.Lost += us.Runs
	fl.counted.LostWork += us.RunningWork
	fl.counted.Busy += us.TotalWork
}

// sample adds the time since the last change of pools to the counts. The lock
// is held.
func (fl *Fleet) sample() {
	now := fl.Clock.Now()
	span := now.Sub(fl.sampled)
	fl.sampled = now
	for _, mc := range fl.machines {
		if mc.Pool != fl.Standby {
			fl.counted.PoolTime += span
		}
	}
}

// Counts returns what was seen so far.
func (fl *Fleet) Counts() Counts {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.sample()
	out := fl.counted
	out.Refused = int(fl.refused.Load())
	for _, wk := range fl.workers {
		out.Busy += wk.Usage().TotalWork
	}
	return out
}

// View is what can be seen of a machine.
type View struct {
	Name   string
	Pool   weir.PoolName
	Up     bool
	Worker weir.InstanceID
	// Runs is how many tasks run there, on Cores cores.
	Runs  int
	Cores float64
}

// Views returns what can be seen of each machine, by name.
func (fl *Fleet) Views() []View {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	out := make([]View, 0, len(fl.machines))
	for _, mc := range fl.machines {
		vw := View{Name: mc.Name, Pool: mc.Pool, Up: mc.state == weir.MachineUp, Worker: mc.id}
		if wk := fl.workers[mc.id]; wk != nil {
			us := wk.Usage()
			vw.Runs, vw.Cores = us.Runs, us.Cores
		}
		out = append(out, vw)
	}
	slices.SortFunc(out, func(one, other View) int { return cmp.Compare(one.Name, other.Name) })
	return out
}

// Crash ends a machine's worker without notice and brings another up later.
func (fl *Fleet) Crash(name string, away time.Duration) {
	fl.mu.Lock()
	fl.sample()
	mc := fl.machines[name]
	fl.takeDown(mc)
	mc.state = weir.MachineDown
	fl.mu.Unlock()
	time.AfterFunc(away, func() { fl.bringUp(mc) })
}

// Machines implements weir.MachinePlatform.
func (fl *Fleet) Machines(context.Context) ([]weir.Machine, error) {
	time.Sleep(2 * oneWay)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	var out []weir.Machine
	for _, mc := range fl.machines {
		out = append(out, weir.Machine{Name: mc.Name, Pool: mc.Pool, State: mc.state, Worker: mc.id})
	}
	return out, nil
}

// Order implements weir.MachinePlatform.
func (fl *Fleet) Order(_ context.Context, order weir.MachineOrder) (weir.MachineResponse, error) {
	time.Sleep(2 * oneWay)
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
	fl.sample()
	fl.takeDown(mc)
	away := fl.MaintenanceTime
	mc.state = weir.MachineMaintenance
	if order.Wave == 0 {
		mc.Pool, mc.state, away = order.Pool, weir.MachineMoving, fl.MoveTime
		fl.counted.Moves++
	}
	time.AfterFunc(away, func() { fl.bringUp(mc) })
	return weir.MachineAccepted, nil
}
