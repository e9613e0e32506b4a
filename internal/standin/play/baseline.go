package play

import (
	"context"
	"slices"
	"time"

	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/job/store"
	"greengageweir/internal/standin/fleet"

	weir "greengageweir"
)

const (
	// controlInterval is the time between two adjustments of a baseline policy.
	controlInterval = 100 * time.Millisecond
	// highUtilization and lowUtilization are the shares of a pool's cores in use
	// at which the reactive policy adds a machine, or returns one to standby.
	highUtilization, lowUtilization = 0.8, 0.4
	// scaleDownDelay is how long a pool must stay below lowUtilization before it
	// gives up a machine.
	scaleDownDelay = 3 * time.Second
	// knownHeadroom multiplies the known demand, because tasks do not pack
	// machines evenly.
	knownHeadroom = 1.15
)

// baselineScaler moves machines in place of the scheduler, for comparison. It
// reads the state of the fleet directly, without cost or delay, and moves only
// idle machines.
type baselineScaler struct {
	*simulationRun
	// lastAboveLow is when each pool was last above lowUtilization, as the time
	// since the load began.
	lastAboveLow map[weir.PoolName]time.Duration
}

// run adjusts the pools until the context is cancelled; begin is the start of
// the load.
func (bl *baselineScaler) run(ctx context.Context, begin time.Time) {
	for ctx.Err() == nil {
		bl.adjust(ctx, bl.clock.Now().Sub(begin))
		sleep(ctx, controlInterval)
	}
}

// adjust moves idle machines towards the desired sizes; at is the time since the
// load began.
func (bl *baselineScaler) adjust(ctx context.Context, at time.Duration) {
	have, idle := map[weir.PoolName]int{}, map[weir.PoolName][]fleet.MachineStatus{}
	used := map[weir.PoolName]float64{}
	for _, vw := range bl.fleet.Statuses() {
		have[vw.Pool]++
		used[vw.Pool] += vw.Cores
		if vw.Up && vw.Runs == 0 {
			idle[vw.Pool] = append(idle[vw.Pool], vw)
		}
	}
	want := bl.desiredMachines(at, have, used)
	for _, po := range bl.Load.Pools {
		for lack := want[po.Name] - have[po.Name]; lack > 0; lack-- {
			if !bl.addMachine(ctx, po.Name, want, have, idle) {
				break
			}
		}
	}
	for _, po := range bl.Load.Pools {
		for surplus := have[po.Name] - want[po.Name]; surplus > 0 && len(idle[po.Name]) > 0; surplus-- {
			bl.moveMachine(ctx, idle, have, po.Name, standby)
		}
	}
}

// desiredMachines returns how many machines each pool should have.
func (bl *baselineScaler) desiredMachines(at time.Duration, have map[weir.PoolName]int, used map[weir.PoolName]float64) map[weir.PoolName]int {
	out := map[weir.PoolName]int{}
	for _, po := range bl.Load.Pools {
		floor := min(po.LongRunningTasks, have[po.Name])
		switch bl.Policy {
		case PolicyKnown:
			out[po.Name] = max(floor, bl.Load.machinesForKnownDemand(po, at))
		default:
			use := used[po.Name] / (float64(max(have[po.Name], 1)) * bl.Load.MachineCores)
			if use > lowUtilization {
				bl.lastAboveLow[po.Name] = at
			}
			out[po.Name] = have[po.Name]
			switch {
			case use > highUtilization:
				out[po.Name]++
			case at-bl.lastAboveLow[po.Name] > scaleDownDelay:
				out[po.Name] = max(floor, have[po.Name]-1)
			}
		}
	}
	return out
}

// machinesForKnownDemand returns how many machines a pool needs for the highest
// rate of now, one move time ahead, and one move time ago.
func (ld Load) machinesForKnownDemand(po Pool, at time.Duration) int {
	rate := max(ld.rate(po, max(at, 0)), ld.rate(po, max(at+ld.MoveTime, 0)), ld.rate(po, max(at-ld.MoveTime, 0)))
	cores := knownHeadroom*rate*po.Steps*po.TasksPerStep*po.TaskSeconds*po.Cores + float64(po.LongRunningJobs*po.LongRunningTasks)*po.LongRunningCores
	return int((cores + ld.MachineCores - 1) / ld.MachineCores)
}

// addMachine moves an idle machine to a pool, from a pool with more machines than
// desired or else from standby. It returns false if there is none.
func (bl *baselineScaler) addMachine(ctx context.Context, to weir.PoolName, want, have map[weir.PoolName]int, idle map[weir.PoolName][]fleet.MachineStatus) bool {
	from := standby
	for _, po := range bl.Load.Pools {
		if po.Name != to && len(idle[po.Name]) > 0 && have[po.Name] > want[po.Name] {
			from = po.Name
		}
	}
	if len(idle[from]) == 0 {
		return false
	}
	bl.moveMachine(ctx, idle, have, from, to)
	return true
}

// moveMachine moves the first idle machine of a pool and updates the counts. It
// deregisters the worker first.
func (bl *baselineScaler) moveMachine(ctx context.Context, idle map[weir.PoolName][]fleet.MachineStatus, have map[weir.PoolName]int, from, to weir.PoolName) {
	vw := idle[from][0]
	idle[from] = slices.Delete(idle[from], 0, 1)
	have[from]--
	have[to]++
	if vw.Worker != "" {
		_ = bl.call(ctx, jobapi.Call{Kind: jobapi.Depart, Worker: &jobapi.Announcement{Worker: store.Worker{ID: vw.Worker}}})
	}
	_, _ = bl.fleet.Order(ctx, weir.MachineOrder{Machine: vw.Name, Pool: to})
}
