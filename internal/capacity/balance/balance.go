// Package balance decides which machines move between pools. It is a pure
// function of the demand of each pool and the pools of the machines.
//
// It is designed for queues whose demand peaks one after the other, for some
// seconds, at several times the capacity of their pool, while the other pools are
// nearly idle. Idle machines cost as much as busy ones unless they are in a standby
// pool.
//
// Usage:
//
//	need := balance.MachinesNeeded(load)    // machines that a pool needs now
//	dec := balance.Decide(pools, machines)  // dec.Moves to order, dec.Draining to keep free of new tasks
package balance

import (
	"cmp"
	"slices"
	"time"

	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// Load is the load of a pool's queues.
type Load struct {
	// LongRunning is reserved by long-running tasks, Busy by other running tasks.
	LongRunning spec.Resources
	Busy        spec.Resources
	// Waiting is requested by tasks that are ready but not running.
	Waiting spec.Resources
	// ArrivalRate is the estimated work of the jobs that arrived within the last
	// ArrivalWindow, divided by the window: what they will use at a time.
	ArrivalRate spec.Resources
	// Stuck is requested by tasks that have waited longer than StuckAfter and fit
	// on none of the Usable workers, however much these have free in total.
	Stuck  spec.Resources
	Usable int
	// MachineCapacity is the capacity of one machine.
	MachineCapacity spec.Resources
	// MinMachines is the number of machines over which long-running tasks must be
	// spread.
	MinMachines int
}

const (
	// ArrivalWindow is the period over which arriving work is counted. It covers
	// several jobs of a rising queue and is short compared with the time of a
	// move.
	ArrivalWindow = 400 * time.Millisecond
	// StuckAfter is how long a task waits for room on the pool's workers before
	// other machines are called for it. Most tasks end sooner than that.
	StuckAfter = 400 * time.Millisecond
	// ReleaseHold is how long a pool keeps machines that it no longer needs before
	// they move to a standby pool. Two moves cost about as much as running a
	// machine for two to three seconds.
	ReleaseHold = 2 * time.Second
	// LendHold is the same for machines that another pool needs now. It is long
	// enough to bridge the gap between two jobs.
	LendHold = 500 * time.Millisecond
	// spareMachines is added to the machines that long-running tasks need, for
	// machines that are lost or under maintenance.
	spareMachines = 0
	// headroom is the factor on the load of tasks that are not long-running, since
	// tasks do not fill machines evenly.
	headroom = 1.15
)

// MachinesNeeded returns how many machines a pool with the given load needs: as
// many as the scarcest resource requires.
func MachinesNeeded(ld Load) int {
	need := 1
	if ld.MinMachines > 0 {
		need = ld.MinMachines + spareMachines
	}
	for _, of := range resources {
		capacity := of(ld.MachineCapacity)
		if capacity <= 0 {
			continue
		}
		load := float64(of(ld.LongRunning)) + headroom*float64(max(of(ld.Busy)+of(ld.Waiting), of(ld.ArrivalRate)))
		need = max(need, ceilDiv(int(load), capacity))
		if stuck := of(ld.Stuck); stuck > 0 {
			need = max(need, ld.Usable+ceilDiv(stuck, capacity))
		}
	}
	return need
}

// resources are the resources that limit how many tasks fit on a machine.
var resources = []func(rs spec.Resources) int{
	func(rs spec.Resources) int { return rs.MilliCPU },
	func(rs spec.Resources) int { return rs.MemoryMB },
	func(rs spec.Resources) int { return rs.GPU },
}

func ceilDiv(amount, unit int) int { return (amount + unit - 1) / unit }

// Pool is the demand of a pool for machines.
type Pool struct {
	Name    weir.PoolName
	Standby bool
	// Desired is the number of machines that the pool needs now. LendFloor and
	// ReleaseFloor are the maximum that it needed within LendHold and ReleaseHold:
	// it lends machines to other pools, or releases them to a standby pool, only
	// beyond that number.
	Desired      int
	LendFloor    int
	ReleaseFloor int
	// WithLate is the number of machines that the pool needs if it is also to run
	// the tasks that can no longer meet their objective. It gets those beyond
	// Desired only from pools that have them to spare once no pool lacks any.
	WithLate int
}

// Machine is a machine with its pool and load.
type Machine struct {
	Name string
	Pool weir.PoolName
	// Movable is set if the machine may be ordered to move: it is up, no
	// operation is pending for it, and it runs no long-running task.
	Movable bool
	// Runs counts the runs that would be lost by a move.
	Runs int
}

// Move sends a machine to another pool.
type Move struct {
	Machine    string
	TargetPool weir.PoolName
}

// Decision is the result of Decide.
type Decision struct {
	Moves []Move
	// Draining lists machines that should get no new tasks, since they will move
	// once they are idle.
	Draining []string
}

type balancer struct {
	pools    []Pool
	byPool   map[weir.PoolName][]Machine
	decision Decision
}

// Decide moves idle machines to the pools that lack machines. It takes them from
// the pool with the largest surplus first and from standby pools last, since a
// surplus machine would otherwise cost a separate move to standby. Machines that
// no pool needs move to a standby pool.
func Decide(pools []Pool, machines []Machine) Decision {
	ba := &balancer{pools: slices.Clone(pools), byPool: map[weir.PoolName][]Machine{}}
	for _, mc := range machines {
		ba.byPool[mc.Pool] = append(ba.byPool[mc.Pool], mc)
	}
	for _, list := range ba.byPool {
		slices.SortFunc(list, func(one, other Machine) int {
			return cmp.Or(cmp.Compare(one.Runs, other.Runs), cmp.Compare(one.Name, other.Name))
		})
	}
	ba.drainDonors(ba.supplyAll(func(po Pool) int { return po.Desired }))
	for ix := range ba.pools {
		// From here on, no pool gives up what its late tasks need.
		po := &ba.pools[ix]
		po.LendFloor, po.ReleaseFloor = max(po.LendFloor, po.WithLate), max(po.ReleaseFloor, po.WithLate)
	}
	if len(ba.decision.Draining) == 0 {
		ba.supplyAll(func(po Pool) int { return po.WithLate })
	}
	ba.releaseSurplus()
	return ba.decision
}

// supplyAll moves idle machines to the pools that lack some of those they want,
// and returns how many are lacking in the end.
func (ba *balancer) supplyAll(wanted func(po Pool) int) int {
	for {
		needy, lack := ba.largestShortage(wanted)
		if needy < 0 || !ba.supply(ba.pools[needy].Name) {
			return lack
		}
	}
}

// largestShortage returns the index of the pool that lacks most machines and how
// many it lacks, -1 if no pool lacks any.
func (ba *balancer) largestShortage(wanted func(po Pool) int) (best, lack int) {
	best = -1
	for ix, po := range ba.pools {
		if short := wanted(po) - len(ba.byPool[po.Name]); !po.Standby && short > lack {
			best, lack = ix, short
		}
	}
	return best, lack
}

// drainDonors drains up to lack busy machines of pools with a surplus, so that
// they can move to a pool that lacks machines once they are idle.
func (ba *balancer) drainDonors(lack int) {
	for lack > 0 {
		donor, most := -1, 0
		for ix, po := range ba.pools {
			if spare := len(ba.byPool[po.Name]) - po.LendFloor; spare > most && ba.leastBusyMovable(po.Name) >= 0 {
				donor, most = ix, spare
			}
		}
		if donor < 0 {
			return
		}
		pool := ba.pools[donor].Name
		at := ba.leastBusyMovable(pool)
		ba.decision.Draining = append(ba.decision.Draining, ba.byPool[pool][at].Name)
		ba.byPool[pool] = slices.Delete(ba.byPool[pool], at, at+1)
		lack--
	}
}

// leastBusyMovable returns the index of the busy machine of a pool with the fewest
// runs that may move, or -1.
func (ba *balancer) leastBusyMovable(pool weir.PoolName) int {
	return slices.IndexFunc(ba.byPool[pool], func(mc Machine) bool { return mc.Movable && mc.Runs > 0 })
}

// supply moves one idle machine to a pool; it reports false if no pool can lend
// one.
func (ba *balancer) supply(to weir.PoolName) bool {
	donor, most := -1, 0
	for ix, po := range ba.pools {
		if po.Name == to || ba.idleMovable(po.Name) < 0 {
			continue
		}
		spare := len(ba.byPool[po.Name]) - po.LendFloor
		if po.Standby {
			spare = min(spare, 1) // donates after all other pools
		}
		if spare > most {
			donor, most = ix, spare
		}
	}
	if donor < 0 {
		return false
	}
	ba.move(ba.pools[donor].Name, ba.idleMovable(ba.pools[donor].Name), to)
	return true
}

// idleMovable returns the index of a machine of a pool that may move and runs
// nothing, or -1.
func (ba *balancer) idleMovable(pool weir.PoolName) int {
	return slices.IndexFunc(ba.byPool[pool], func(mc Machine) bool { return mc.Movable && mc.Runs == 0 })
}

func (ba *balancer) move(from weir.PoolName, at int, to weir.PoolName) {
	mc := ba.byPool[from][at]
	ba.byPool[from] = slices.Delete(ba.byPool[from], at, at+1)
	// A moving machine counts for its new pool, but cannot move again.
	mc.Movable = false
	ba.byPool[to] = append(ba.byPool[to], mc)
	ba.decision.Moves = append(ba.decision.Moves, Move{Machine: mc.Name, TargetPool: to})
}

// releaseSurplus moves idle machines that pools no longer need to a standby pool
// and drains busy ones.
func (ba *balancer) releaseSurplus() {
	at := slices.IndexFunc(ba.pools, func(po Pool) bool { return po.Standby })
	if at < 0 {
		return
	}
	standby := ba.pools[at].Name
	for _, po := range ba.pools {
		if po.Standby {
			continue
		}
		surplus := len(ba.byPool[po.Name]) - po.ReleaseFloor
		for _, mc := range slices.Clone(ba.byPool[po.Name]) {
			if surplus <= 0 {
				break
			}
			if !mc.Movable {
				continue
			}
			surplus--
			if mc.Runs > 0 {
				ba.decision.Draining = append(ba.decision.Draining, mc.Name)
				continue
			}
			ba.move(po.Name, slices.IndexFunc(ba.byPool[po.Name], func(other Machine) bool { return other.Name == mc.Name }), standby)
		}
	}
}
