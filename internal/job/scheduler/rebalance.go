package scheduler

import (
	"context"
	"slices"
	"time"

	"greengageweir/internal/capacity/balance"
	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

const (
	// machineListInterval is the time between requests for the platform's list of
	// machines. The list is the only source for machines without a worker.
	machineListInterval = 2 * time.Second
	// destinationTTL is how long a machine without a worker counts for the pool to
	// which it was sent, which is much longer than a move takes.
	destinationTTL = 4 * time.Second
	// maxEstimate limits a caller's estimate of one task.
	maxEstimate = 30 * time.Second
)

// destination is the pool to which a machine was sent, and when.
type destination struct {
	pool weir.PoolName
	at   time.Time
}

// demandSample is the number of machines that a pool needed at a time.
type demandSample struct {
	at       time.Time
	machines int
}

// refreshMachineList requests the platform's list of machines in the background.
func (sc *Scheduler) refreshMachineList(ctx context.Context, ls *leaderState, now time.Time) {
	mst := ls.machines
	if mst.listing || now.Sub(mst.listRequestedAt) < machineListInterval {
		return
	}
	mst.listing, mst.listRequestedAt = true, now
	sc.inBackground(func() {
		callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		machines, err := sc.Machines.Machines(callCtx)
		sc.mu.Lock()
		defer sc.mu.Unlock()
		mst.listing = false
		if err != nil {
			_ = sc.Logger.Log("level", "warn", "msg", "cannot list machines", "err", err)
			return
		}
		mst.listedAt = now
		mst.listed = make(map[string]weir.Machine, len(machines))
		for _, mc := range machines {
			mst.listed[mc.Name] = mc
		}
	})
}

// rebalance moves machines to the pools that need them.
func (sc *Scheduler) rebalance(ls *leaderState, rd store.Reader, byMachine map[string]store.Worker, now time.Time) {
	mst := ls.machines
	loads, withLate := sc.poolLoads(ls, rd, now)
	machines := sc.balanceMachines(ls, rd, byMachine, now)
	have := map[weir.PoolName]int{}
	cordoned := map[weir.PoolName]int{}
	for _, mc := range machines {
		have[mc.Pool]++
		if mst.cordoned(mc.Name) {
			cordoned[mc.Pool]++
		}
	}
	var pools []balance.Pool
	mst.shortage = false
	for _, po := range rd.Catalog().Pools {
		pl := balance.Pool{Name: po.Name, Standby: po.Standby}
		if !po.Standby {
			// Cordoned machines take no tasks.
			pl.Desired = balance.MachinesNeeded(loads[po.Name]) + cordoned[po.Name]
			pl.WithLate = balance.MachinesNeeded(withLate[po.Name]) + cordoned[po.Name]
			pl.LendFloor, pl.ReleaseFloor = mst.peakDemand(po.Name, pl.Desired, now)
			if now.Sub(ls.since) < balance.ReleaseHold {
				// A new leader does not know the pool's recent demand yet.
				pl.ReleaseFloor = max(pl.ReleaseFloor, have[po.Name])
			}
			mst.shortage = mst.shortage || pl.Desired > have[po.Name]
		}
		pools = append(pools, pl)
	}
	dec := balance.Decide(pools, machines)
	mst.draining = make(map[string]bool, len(dec.Draining))
	for _, name := range dec.Draining {
		mst.draining[name] = true
	}
	for _, mv := range dec.Moves {
		load := withLate[mv.TargetPool]
		_ = sc.Logger.Log("level", "info", "msg", "machine move submitted", "machine", mv.Machine, "to", mv.TargetPool, "have", have[mv.TargetPool],
			"busy", load.Busy.String(), "waiting", load.Waiting.String(), "rate", load.ArrivalRate.String(),
			"lasting", load.LongRunning.String(), "stuck", load.Stuck.String(), "waitingInTime", loads[mv.TargetPool].Waiting.String())
		mst.lastOrderAt[mv.Machine] = time.Time{}
		sc.commitOperation(ls, store.MachineOperation{Machine: mv.Machine, Pool: mv.TargetPool}, byMachine[mv.Machine])
	}
}

// peakDemand records the machines that a pool needs now and returns the maximum that
// it needed within balance.LendHold and balance.ReleaseHold.
func (mst *machineState) peakDemand(pool weir.PoolName, needed int, now time.Time) (lendFloor, releaseFloor int) {
	recent := mst.demandHistory[pool]
	recent = append(recent, demandSample{at: now, machines: needed})
	for now.Sub(recent[0].at) > balance.ReleaseHold {
		recent = recent[1:]
	}
	mst.demandHistory[pool] = recent
	for _, nd := range recent {
		releaseFloor = max(releaseFloor, nd.machines)
		if now.Sub(nd.at) <= balance.LendHold {
			lendFloor = max(lendFloor, nd.machines)
		}
	}
	return lendFloor, releaseFloor
}

// poolLoads returns the load that the queues of each pool put on it, without and
// with the waiting tasks that can no longer meet their objective.
func (sc *Scheduler) poolLoads(ls *leaderState, rd store.Reader, now time.Time) (loads, withLate map[weir.PoolName]balance.Load) {
	wall := sc.Wall.Now()
	loads, withLate = map[weir.PoolName]balance.Load{}, map[weir.PoolName]balance.Load{}
	lateTasks := map[weir.PoolName]lateLoad{}
	var largest spec.Resources
	rd.EachWorker(func(wk store.Worker) {
		ld := loads[wk.Pool]
		ld.MachineCapacity = ld.MachineCapacity.Max(wk.Capacity)
		largest = largest.Max(wk.Capacity)
		loads[wk.Pool] = ld
	})
	rooms := sc.freeRooms(ls, rd, now)
	capped := map[weir.TeamName]*cappedTeam{}
	rd.EachActiveJob(func(js *store.JobState) {
		qu, ok := rd.Queue(js.Spec.Queue)
		if !ok || js.Phase.Terminal() {
			return
		}
		ld := loads[qu.Pool]
		ld.MachineCapacity = ld.MachineCapacity.Max(largest)
		ld.Usable = len(rooms[qu.Pool])
		loads[qu.Pool] = ld
		if tm, ok := rd.Team(js.Spec.Team); ok && tm.Capped() {
			if capped[tm.Name] == nil {
				capped[tm.Name] = &cappedTeam{team: tm, use: rd.TeamUse(tm.Name)}
			}
			capped[tm.Name].jobs = append(capped[tm.Name].jobs, js)
			return
		}
		late := lateTasks[qu.Pool]
		eachStepLoad(js, qu, ld.MachineCapacity, rooms[qu.Pool], wall, func(sl stepLoad) { sl.addTo(&ld, &late) })
		loads[qu.Pool], lateTasks[qu.Pool] = ld, late
	})
	for _, ct := range capped {
		ct.addLoads(rd, loads, rooms, wall, func(sl stepLoad) {
			ld, late := loads[sl.pool], lateTasks[sl.pool]
			sl.addTo(&ld, &late)
			loads[sl.pool], lateTasks[sl.pool] = ld, late
		})
	}
	for name, ld := range loads {
		ld.Waiting, ld.Stuck = ld.Waiting.Plus(lateTasks[name].waiting), ld.Stuck.Plus(lateTasks[name].stuck)
		withLate[name] = ld
	}
	return loads, withLate
}

// lateLoad is what the waiting tasks request that can no longer meet their
// objective.
type lateLoad struct{ waiting, stuck spec.Resources }

// freeRooms returns what the usable workers of each pool that has jobs have free.
func (sc *Scheduler) freeRooms(ls *leaderState, rd store.Reader, now time.Time) map[weir.PoolName][]spec.Resources {
	rooms := map[weir.PoolName][]spec.Resources{}
	for _, wk := range sc.usableWorkers(ls, rd, now, sc.pendingJobs(ls, rd)) {
		rooms[wk.Pool] = append(rooms[wk.Pool], wk.Free)
	}
	return rooms
}

// stepLoad is what one step of an occurrence puts on its pool.
type stepLoad struct {
	pool weir.PoolName
	step *spec.Step
	// placed counts the tasks that may be on workers, starting those to be started,
	// and stuck those of the latter that have waited for room for long.
	placed, starting, stuck int
	// ready says that earlier steps hold no task back, late that those to be started
	// can no longer meet their objective.
	ready, late bool
	// arriving is how many tasks at a time the step adds to the arrival rate.
	arriving float64
}

// eachStepLoad calls do for each step of a job that is due and puts a load on its pool.
// Tasks that are larger than any machine put none.
func eachStepLoad(js *store.JobState, qu catalog.Queue, machine spec.Resources, rooms []spec.Resources, wall time.Time, do func(sl stepLoad)) {
	recent := wall.Sub(js.Accepted) < balance.ArrivalWindow
	for oc, steps := range js.Occurrences {
		if js.Spec.DueAt(oc).After(wall) {
			break
		}
		for sp := range steps {
			step := &js.Spec.Steps[sp]
			need := step.Reserved()
			if !need.Fits(machine) {
				continue
			}
			sl := stepLoad{pool: qu.Pool, step: step, ready: js.StepReady(oc, sp)}
			sl.placed, sl.starting = countTasks(steps[sp], sl.ready)
			sl.late = sl.starting > 0 && !step.LongRunning && latestStart(js.Spec, js.Accepted, qu, oc, sp).Before(wall)
			if sl.starting > 0 && !slices.ContainsFunc(rooms, need.Fits) {
				sl.stuck = stuckTasks(steps[sp], js.ReadySince(oc, sp), wall)
			}
			switch {
			case step.LongRunning:
				// Machines are there when the steps before are done.
				sl.starting = step.Count - sl.placed
			case recent:
				share := min(step.Estimate, maxEstimate).Seconds() / balance.ArrivalWindow.Seconds()
				sl.arriving = float64(step.Count) * share
			}
			if sl.placed > 0 || sl.starting > 0 || sl.arriving > 0 {
				do(sl)
			}
		}
	}
}

func (sl stepLoad) addTo(ld *balance.Load, late *lateLoad) {
	need := sl.step.Reserved()
	waiting, stuck := &ld.Waiting, &ld.Stuck
	if sl.late {
		waiting, stuck = &late.waiting, &late.stuck
	}
	*stuck = stuck.Plus(need.Times(float64(sl.stuck)))
	if sl.step.LongRunning {
		count := sl.placed + sl.starting
		ld.LongRunning = ld.LongRunning.Plus(need.Times(float64(count)))
		ld.MinMachines = max(ld.MinMachines, sl.step.WithCount(count).MinWorkers())
		return
	}
	ld.ArrivalRate = ld.ArrivalRate.Plus(need.Times(sl.arriving))
	ld.Busy = ld.Busy.Plus(need.Times(float64(sl.placed)))
	*waiting = waiting.Plus(need.Times(float64(sl.starting)))
}

// countTasks counts the tasks of a step that are placed and those that may start.
func countTasks(ss store.StepState, ready bool) (placed, waiting int) {
	for ix := range ss.Tasks {
		switch tk := &ss.Tasks[ix]; {
		case tk.Placed():
			placed++
		case !tk.Done && ready:
			waiting++
		}
	}
	return placed, waiting
}

// stuckTasks counts the tasks of a step that have waited longer than
// balance.StuckAfter.
func stuckTasks(ss store.StepState, ready, wall time.Time) int {
	count := 0
	for ix := range ss.Tasks {
		tk := &ss.Tasks[ix]
		if !tk.Placed() && !tk.Done && wall.Sub(tk.WaitingSince(ready)) > balance.StuckAfter {
			count++
		}
	}
	return count
}

// balanceMachines returns the machines with their pools and loads, as input for
// the balance package.
func (sc *Scheduler) balanceMachines(ls *leaderState, rd store.Reader, byMachine map[string]store.Worker, now time.Time) []balance.Machine {
	mst := ls.machines
	var out []balance.Machine
	for name, wk := range byMachine {
		if name == "" {
			continue
		}
		ws := ls.sessions[wk.ID]
		if ws == nil || ws.session.Unreachable() || wk.Draining {
			continue // takes no tasks now
		}
		mc := balance.Machine{Name: name, Pool: wk.Pool}
		ca := sc.candidate(ls, rd, name, wk)
		mc.Runs = ca.batchRuns
		mc.Movable = ca.longRunning == 0 && !mst.needed[name] && ws.session.Usable() && !mst.operationPending(rd, name) && sc.mayOrder(ls, rd, name, now)
		if op, ok := rd.MachineOperation(name); ok && op.Pool != "" {
			mc.Pool = op.Pool
		}
		out = append(out, mc)
	}
	for name, listed := range mst.listed {
		if _, ok := byMachine[name]; ok {
			continue
		}
		mc := balance.Machine{Name: name, Pool: listed.Pool, Movable: listed.State == weir.MachineUp && !mst.operationPending(rd, name) && sc.mayOrder(ls, rd, name, now)}
		if po, ok := rd.Catalog().PoolByName(listed.Pool); !ok || !po.Standby {
			// Outside standby pools, a machine without a worker is moving or lost.
			mc.Movable = false
			if listed.State == weir.MachineDown {
				continue
			}
		}
		if to, ok := mst.destinations[name]; ok && to.at.After(mst.listedAt.Add(-machineListInterval)) && now.Sub(to.at) < destinationTTL {
			mc.Pool, mc.Movable = to.pool, false
		}
		if op, ok := rd.MachineOperation(name); ok && op.Pool != "" {
			mc.Pool, mc.Movable = op.Pool, false
		}
		out = append(out, mc)
	}
	return out
}

// operationPending reports whether an operation on a machine is in progress or
// about to be committed.
func (mst *machineState) operationPending(rd store.Reader, machine string) bool {
	_, ordered := rd.MachineOperation(machine)
	return ordered || mst.pendingCommit[machine] || mst.cordoned(machine)
}
