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
	// controlEvery is how often a baseline looks at the fleet.
	controlEvery = 100 * time.Millisecond
	// highUse and lowUse are the shares of a pool's room in use at which the
	// reactive baseline brings a machine, or sends one to stand by.
	highUse, lowUse = 0.8, 0.4
	// calm is how long a pool must be under lowUse before it gives up a machine.
	calm = 3 * time.Second
	// knownHeadroom is added to the known demand, as tasks do not fill machines
	// evenly.
	knownHeadroom = 1.15
)

// baseline moves machines instead of the owner. It sees the fleet as it is, at
// no cost, and moves only machines on which nothing runs.
type baseline struct {
	*stage
	// high is when a pool was last above lowUse.
	high map[weir.PoolName]time.Duration
}

// run looks and moves until the context ends; at is the time since the load
// began.
func (bl *baseline) run(ctx context.Context, begin time.Time) {
	for ctx.Err() == nil {
		bl.round(ctx, bl.clock.Now().Sub(begin))
		sleep(ctx, controlEvery)
	}
}

func (bl *baseline) round(ctx context.Context, at time.Duration) {
	have, idle := map[weir.PoolName]int{}, map[weir.PoolName][]fleet.View{}
	used := map[weir.PoolName]float64{}
	for _, vw := range bl.fleet.Views() {
		have[vw.Pool]++
		used[vw.Pool] += vw.Cores
		if vw.Up && vw.Runs == 0 {
			idle[vw.Pool] = append(idle[vw.Pool], vw)
		}
	}
	want := bl.want(at, have, used)
	for _, po := range bl.Load.Pools {
		for lack := want[po.Name] - have[po.Name]; lack > 0; lack-- {
			if !bl.bring(ctx, po.Name, want, have, idle) {
				break
			}
		}
	}
	for _, po := range bl.Load.Pools {
		for surplus := have[po.Name] - want[po.Name]; surplus > 0 && len(idle[po.Name]) > 0; surplus-- {
			bl.move(ctx, idle, have, po.Name, standby)
		}
	}
}

// want is how many machines each pool should have.
func (bl *baseline) want(at time.Duration, have map[weir.PoolName]int, used map[weir.PoolName]float64) map[weir.PoolName]int {
	out := map[weir.PoolName]int{}
	for _, po := range bl.Load.Pools {
		floor := min(po.LastingWidth, have[po.Name])
		switch bl.Policy {
		case PolicyKnown:
			out[po.Name] = max(floor, bl.Load.known(po, at))
		default:
			use := used[po.Name] / (float64(max(have[po.Name], 1)) * bl.Load.Room)
			if use > lowUse {
				bl.high[po.Name] = at
			}
			out[po.Name] = have[po.Name]
			switch {
			case use > highUse:
				out[po.Name]++
			case at-bl.high[po.Name] > calm:
				out[po.Name] = max(floor, have[po.Name]-1)
			}
		}
	}
	return out
}

// known is how many machines a pool needs for the most that is asked of it
// within the time that a move takes, and for what was asked just before.
func (ld Load) known(po Pool, at time.Duration) int {
	rate := max(ld.rate(po, max(at, 0)), ld.rate(po, max(at+ld.MoveTime, 0)), ld.rate(po, max(at-ld.MoveTime, 0)))
	cores := knownHeadroom*rate*po.Steps*po.Width*po.Work*po.Cores + float64(po.Lasting*po.LastingWidth)*po.LastingCores
	return int((cores + ld.Room - 1) / ld.Room)
}

// bring sends an idle machine of a pool with some to spare, or one that stands
// by, to a pool.
func (bl *baseline) bring(ctx context.Context, to weir.PoolName, want, have map[weir.PoolName]int, idle map[weir.PoolName][]fleet.View) bool {
	from := standby
	for _, po := range bl.Load.Pools {
		if po.Name != to && len(idle[po.Name]) > 0 && have[po.Name] > want[po.Name] {
			from = po.Name
		}
	}
	if len(idle[from]) == 0 {
		return false
	}
	bl.move(ctx, idle, have, from, to)
	return true
}

func (bl *baseline) move(ctx context.Context, idle map[weir.PoolName][]fleet.View, have map[weir.PoolName]int, from, to weir.PoolName) {
	vw := idle[from][0]
	idle[from] = slices.Delete(idle[from], 0, 1)
	have[from]--
	have[to]++
	if vw.Worker != "" {
		_ = bl.call(ctx, jobapi.Call{Kind: jobapi.Depart, Worker: &jobapi.Announcement{Worker: store.Worker{ID: vw.Worker}}})
	}
	_, _ = bl.fleet.Order(ctx, weir.MachineOrder{Machine: vw.Name, Pool: to})
}
