package scheduler

import (
	"cmp"
	"slices"
	"time"

	"greengageweir/internal/capacity/balance"
	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// cappedTeam limits the load that the jobs of a team with a cap put on all pools
// together: tasks that the cap holds back need no machines.
type cappedTeam struct {
	team catalog.Team
	// use is what the team's runs request, together with the tasks that count as
	// load so far.
	use  spec.Resources
	jobs []*store.JobState
}

// addLoads calls add for the load of the team's jobs. Ready tasks in time count
// first, since they are placed first, then the expected arrivals, then late tasks and
// those that other steps hold back; among each, the jobs that were accepted first.
func (ct *cappedTeam) addLoads(
	rd store.Reader, loads map[weir.PoolName]balance.Load, rooms map[weir.PoolName][]spec.Resources, wall time.Time, add func(sl stepLoad),
) {
	slices.SortFunc(ct.jobs, func(one, other *store.JobState) int {
		if order := one.Accepted.Compare(other.Accepted); order != 0 {
			return order
		}
		return cmp.Compare(one.Spec.ID, other.Spec.ID)
	})
	var arriving, later []stepLoad
	// held is what the team's batch tasks reserve, or are to reserve, in each pool.
	held := map[weir.PoolName]spec.Resources{}
	for _, js := range ct.jobs {
		qu, _ := rd.Queue(js.Spec.Queue)
		pool := qu.Pool
		here := held[pool]
		eachStepLoad(js, qu, loads[pool].MachineCapacity, rooms[pool], wall, func(sl stepLoad) {
			if sl.arriving > 0 {
				arriving = append(arriving, stepLoad{pool: pool, step: sl.step, arriving: sl.arriving})
				sl.arriving = 0
			}
			count := sl.placed
			if sl.starting > 0 && (sl.late || !sl.ready) {
				later = append(later, sl)
			} else {
				sl = ct.admit(sl)
				count += sl.starting
				if count > 0 {
					add(sl)
				}
			}
			if !sl.step.LongRunning {
				here = here.Plus(sl.step.Reserved().Times(float64(count)))
			}
		})
		held[pool] = here
	}
	for _, sl := range arriving {
		add(ct.admitArrivals(sl, held))
	}
	for _, sl := range later {
		add(ct.admit(sl))
	}
}

// admit limits the tasks to be started to those that the cap allows, and counts them
// as used. A gang starts as a whole or not at all.
func (ct *cappedTeam) admit(sl stepLoad) stepLoad {
	allowed := min(sl.starting, ct.team.StartsAllowed(ct.use, sl.step.Resources))
	if sl.step.Gang && allowed < sl.starting {
		allowed = 0
	}
	ct.use = ct.use.Plus(sl.step.Resources.Times(float64(allowed)))
	sl.starting, sl.stuck = allowed, min(sl.stuck, allowed)
	return sl
}

// admitArrivals limits what a step adds to the arrival rate of its pool. The arrival
// rate includes the tasks that are there already, so that it counts as used only
// beyond what the team holds in the pool.
func (ct *cappedTeam) admitArrivals(sl stepLoad, held map[weir.PoolName]spec.Resources) stepLoad {
	need, there := sl.step.Reserved(), sl.arriving
	for _, cr := range catalog.CapResources {
		if amount := cr.Of(need); amount > 0 {
			there = min(there, float64(cr.Of(held[sl.pool]))/float64(amount))
		}
	}
	held[sl.pool] = held[sl.pool].Minus(need.Times(there))
	extra := min(sl.arriving-there, float64(ct.team.StartsAllowed(ct.use, sl.step.Resources)))
	ct.use = ct.use.Plus(sl.step.Resources.Times(extra))
	sl.arriving = there + extra
	return sl
}
