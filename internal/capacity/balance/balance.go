// Package balance decides which machines move between pools. It is a pure
// function of what each pool needs and where the machines are.
//
// The load it answers: queues whose demand rises by turns, for some seconds,
// to several times what their pool holds, while the other pools are nearly
// idle; machines that are idle cost as much as busy ones, unless they stand in
// a standby pool.
//
// Usage:
//
//	need := balance.Need(load)             // machines that a pool wants now
//	pl := balance.Decide(pools, machines)  // pl.Moves to order, pl.Leaving to keep free
package balance

import (
	"cmp"
	"slices"
	"time"

	weir "greengageweir"
)

// Load is what a pool's queues ask for, in thousandths of a core.
type Load struct {
	// LongRunning and Busy are taken by lasting tasks and by others.
	LongRunning int
	Busy        int
	// Waiting is what tasks that could start now still lack.
	Waiting int
	// ArrivalRate is the work that arrived lately, in thousandths of a core: the work
	// of the jobs of the last Window, divided by it.
	ArrivalRate int
	// MachineCapacity is what one machine holds.
	MachineCapacity int
	// MinMachines is the number of machines that lasting tasks need so as not to
	// share one.
	MinMachines int
}

const (
	// ArrivalWindow is how far back arriving work is counted: long enough for some
	// jobs of a rising queue, short against the time that a move takes.
	ArrivalWindow = 400 * time.Millisecond
	// ReleaseHold is how long a pool keeps what it needed last before machines stand
	// by. Two moves cost about as much as a machine for two to three seconds.
	ReleaseHold = 2 * time.Second
	// LendHold is the same for machines that another pool needs now: long
	// enough to bridge the gap between two jobs.
	LendHold = 500 * time.Millisecond
	// spread is added to the machines that lasting tasks need, for one that is
	// lost or under maintenance.
	spareSpread = 0
	// headroom is added to the load, as tasks do not fill machines evenly.
	headroom = 1.15
)

// MachinesNeeded returns how many machines a pool wants.
func MachinesNeeded(ld Load) int {
	floor := 1
	if ld.MinMachines > 0 {
		floor = ld.MinMachines + spareSpread
	}
	if ld.MachineCapacity <= 0 {
		return floor
	}
	load := float64(ld.LongRunning) + headroom*float64(max(ld.Busy+ld.Waiting, ld.ArrivalRate))
	return max(floor, int((load+float64(ld.MachineCapacity)-1)/float64(ld.MachineCapacity)))
}

// Pool is what a pool wants.
type Pool struct {
	Name    weir.PoolName
	Standby bool
	// Desired is the number of machines that it needs now; Lend and Keep are the
	// most that it needed within LendHold and Hold.
	Desired      int
	LendFloor    int
	ReleaseFloor int
}

// Machine is where a machine is.
type Machine struct {
	Name string
	Pool weir.PoolName
	// Movable says that it may be ordered about: it is up, its platform does
	// nothing with it, and no lasting task runs there.
	Movable bool
	// Runs counts the runs that would be lost with it.
	Runs int
}

// Move sends a machine to another pool.
type Move struct {
	Machine string
	To      weir.PoolName
}

// Decision is what should happen now.
type Decision struct {
	Moves []Move
	// Draining machines should get no new tasks, as they go once they are idle.
	Draining []string
}

type balancer struct {
	pools    []Pool
	byPool   map[weir.PoolName][]Machine
	decision Decision
}

// Decide moves idle machines to the pools that lack some: first those of the
// pool with most to spare, then those that stand by, as the former would cost
// a move of their own. What no pool needs goes to a standby pool.
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
	lack := 0
	for {
		needy, short := ba.mostNeedy()
		if needy < 0 {
			break
		}
		if !ba.supply(ba.pools[needy].Name) {
			lack = short
			break
		}
	}
	ba.clear(lack)
	ba.release()
	return ba.decision
}

// mostNeedy returns the pool that lacks most machines, -1 where none does.
func (ba *balancer) mostNeedy() (best, lack int) {
	best = -1
	for ix, po := range ba.pools {
		if short := po.Desired - len(ba.byPool[po.Name]); !po.Standby && short > lack {
			best, lack = ix, short
		}
	}
	return best, lack
}

// clear keeps machines of pools with some to spare free of new tasks, so that
// they can go to a pool that lacks them once they are idle.
func (ba *balancer) clear(lack int) {
	for lack > 0 {
		donor, most := -1, 0
		for ix, po := range ba.pools {
			if spare := len(ba.byPool[po.Name]) - po.LendFloor; spare > most && ba.busy(po.Name) >= 0 {
				donor, most = ix, spare
			}
		}
		if donor < 0 {
			return
		}
		pool := ba.pools[donor].Name
		at := ba.busy(pool)
		ba.decision.Draining = append(ba.decision.Draining, ba.byPool[pool][at].Name)
		ba.byPool[pool] = slices.Delete(ba.byPool[pool], at, at+1)
		lack--
	}
}

// busy returns the least busy machine of a pool that could go, or -1.
func (ba *balancer) busy(pool weir.PoolName) int {
	return slices.IndexFunc(ba.byPool[pool], func(mc Machine) bool { return mc.Movable && mc.Runs > 0 })
}

// supply sends one machine to a pool; it reports false where none can go.
func (ba *balancer) supply(to weir.PoolName) bool {
	donor, most := -1, 0
	for ix, po := range ba.pools {
		if po.Name == to || ba.idle(po.Name) < 0 {
			continue
		}
		spare := len(ba.byPool[po.Name]) - po.LendFloor
		if po.Standby {
			spare = min(spare, 1) // after all others
		}
		if spare > most {
			donor, most = ix, spare
		}
	}
	if donor < 0 {
		return false
	}
	ba.move(ba.pools[donor].Name, ba.idle(ba.pools[donor].Name), to)
	return true
}

// idle returns a machine of a pool that loses nothing by going, or -1.
func (ba *balancer) idle(pool weir.PoolName) int {
	return slices.IndexFunc(ba.byPool[pool], func(mc Machine) bool { return mc.Movable && mc.Runs == 0 })
}

func (ba *balancer) move(from weir.PoolName, at int, to weir.PoolName) {
	mc := ba.byPool[from][at]
	ba.byPool[from] = slices.Delete(ba.byPool[from], at, at+1)
	// On its way it counts for the pool, but cannot be sent on.
	mc.Movable = false
	ba.byPool[to] = append(ba.byPool[to], mc)
	ba.decision.Moves = append(ba.decision.Moves, Move{Machine: mc.Name, To: to})
}

// release sends what pools do not need to a standby pool, or keeps it free
// until it can go.
func (ba *balancer) release() {
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
