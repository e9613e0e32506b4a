package scheduler

import (
	"context"
	"time"

	"greengageweir/internal/capacity/balance"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

const (
	// listEvery separates readings of the platform's list of machines. Only
	// machines without a worker are known from it alone.
	listEvery = 2 * time.Second
	// sentFor is how long a machine counts for the pool that it was sent to
	// before its worker shows itself: well over the time of a move.
	sentFor = 4 * time.Second
	// longestEstimate bounds a caller's estimate of one task.
	longestEstimate = 30 * time.Second
)

// sentTo is where a machine was sent, and when.
type sentTo struct {
	pool weir.PoolName
	at   time.Time
}

// needed is what a pool wanted at a time.
type needed struct {
	at       time.Time
	machines int
}

// list reads the platform's list of machines, away from the round.
func (ow *Scheduler) list(ctx context.Context, re *reign, now time.Time) {
	md := re.machines
	if md.listing || now.Sub(md.listedAt) < listEvery {
		return
	}
	md.listing = true
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, machineTimeout)
		defer cancel()
		machines, err := ow.Machines.Machines(callCtx)
		ow.mu.Lock()
		defer ow.mu.Unlock()
		md.listing = false
		md.listedAt = now
		if err != nil {
			_ = ow.Logger.Log("level", "warn", "msg", "machines not listed", "err", err)
			return
		}
		md.listed = make(map[string]weir.Machine, len(machines))
		for _, mc := range machines {
			md.listed[mc.Name] = mc
		}
	}()
}

// balance moves machines to where they are needed.
func (ow *Scheduler) balance(re *reign, rd store.Reader, byMachine map[string]store.Worker, now time.Time) {
	md := re.machines
	loads := ow.loads(rd)
	machines := ow.fleet(re, rd, byMachine, now)
	have := map[weir.PoolName]int{}
	closed := map[weir.PoolName]int{}
	for _, mc := range machines {
		have[mc.Pool]++
		if md.cordoned(mc.Name) {
			closed[mc.Pool]++
		}
	}
	var pools []balance.Pool
	md.short = false
	for _, po := range rd.Catalog().Pools {
		pl := balance.Pool{Name: po.Name, Standby: po.Standby}
		if !po.Standby {
			// Machines that wait for maintenance take no tasks.
			pl.Desired = balance.MachinesNeeded(loads[po.Name]) + closed[po.Name]
			pl.LendFloor, pl.ReleaseFloor = md.keep(po.Name, pl.Desired, now)
			if now.Sub(re.since) < balance.ReleaseHold {
				// A new leader has not seen yet what the pool wants at times.
				pl.ReleaseFloor = max(pl.ReleaseFloor, have[po.Name])
			}
			md.short = md.short || pl.Desired > have[po.Name]
		}
		pools = append(pools, pl)
	}
	dec := balance.Decide(pools, machines)
	md.leaving = make(map[string]bool, len(dec.Draining))
	for _, name := range dec.Draining {
		md.leaving[name] = true
	}
	for _, mv := range dec.Moves {
		ld := loads[mv.To]
		_ = ow.Logger.Log("level", "info", "msg", "machine moves", "machine", mv.Machine, "to", mv.To, "have", have[mv.To],
			"busy", ld.Busy, "waiting", ld.Waiting, "rate", ld.ArrivalRate, "lasting", ld.LongRunning)
		md.asked[mv.Machine] = time.Time{}
		ow.intend(re, store.MachineOperation{Machine: mv.Machine, Pool: mv.To}, byMachine[mv.Machine])
	}
}

// keep returns the most that a pool wanted within balance.LendHold and
// balance.Hold.
func (md *machineDuty) keep(pool weir.PoolName, want int, now time.Time) (lend, keep int) {
	recent := md.needs[pool]
	recent = append(recent, needed{at: now, machines: want})
	for now.Sub(recent[0].at) > balance.ReleaseHold {
		recent = recent[1:]
	}
	md.needs[pool] = recent
	for _, nd := range recent {
		keep = max(keep, nd.machines)
		if now.Sub(nd.at) <= balance.LendHold {
			lend = max(lend, nd.machines)
		}
	}
	return lend, keep
}

// loads sums up what the queues of each pool ask for.
func (ow *Scheduler) loads(rd store.Reader) map[weir.PoolName]balance.Load {
	wall := ow.Wall.Now()
	loads := map[weir.PoolName]balance.Load{}
	largest := 0
	rd.EachWorker(func(wk store.Worker) {
		ld := loads[wk.Pool]
		ld.MachineCapacity = max(ld.MachineCapacity, wk.Capacity.MilliCPU)
		largest = max(largest, ld.MachineCapacity)
		loads[wk.Pool] = ld
	})
	rd.EachActiveJob(func(js *store.JobState) {
		qu, ok := rd.Queue(js.Spec.Queue)
		if !ok || js.Phase.Terminal() {
			return
		}
		ld := loads[qu.Pool]
		ld.MachineCapacity = max(ld.MachineCapacity, largest)
		addLoad(&ld, js, wall)
		loads[qu.Pool] = ld
	})
	return loads
}

func addLoad(ld *balance.Load, js *store.JobState, wall time.Time) {
	fresh := wall.Sub(js.Accepted) < balance.ArrivalWindow
	for oc, round := range js.Occurrences {
		if js.Spec.DueAt(oc).After(wall) {
			break
		}
		for sp := range round {
			step := js.Spec.Steps[sp]
			cpu := step.Reserved().MilliCPU
			if cpu > ld.MachineCapacity {
				continue // no machine can run it
			}
			if step.LongRunning {
				ld.LongRunning += cpu * step.Count
				ld.MinMachines = max(ld.MinMachines, step.MinWorkers())
				continue
			}
			if fresh {
				work := float64(cpu*step.Count) * min(step.Estimate, longestEstimate).Seconds()
				ld.ArrivalRate += int(work / balance.ArrivalWindow.Seconds())
			}
			ready := js.StepReady(oc, sp)
			for ix := range round[sp].Tasks {
				switch tk := &round[sp].Tasks[ix]; {
				case tk.Placed():
					ld.Busy += cpu
				case !tk.Done && ready:
					ld.Waiting += cpu
				}
			}
		}
	}
}

// fleet lists the machines and what they are doing.
func (ow *Scheduler) fleet(re *reign, rd store.Reader, byMachine map[string]store.Worker, now time.Time) []balance.Machine {
	md := re.machines
	var out []balance.Machine
	for name, wk := range byMachine {
		if name == "" {
			continue
		}
		at := re.sessions[wk.ID]
		if at == nil || at.ss.Unreachable() || wk.Draining {
			continue // it serves nobody now
		}
		mc := balance.Machine{Name: name, Pool: wk.Pool}
		ca := ow.candidate(re, rd, name, wk)
		mc.Runs = ca.work
		mc.Movable = ca.lasting == 0 && at.ss.Usable() && !md.engaged(rd, name) && ow.myTurn(re, rd, name, now)
		if op, ok := rd.MachineOperation(name); ok && op.Pool != "" {
			mc.Pool = op.Pool
		}
		out = append(out, mc)
	}
	for name, listed := range md.listed {
		if _, ok := byMachine[name]; ok {
			continue
		}
		mc := balance.Machine{Name: name, Pool: listed.Pool, Movable: listed.State == weir.MachineUp && !md.engaged(rd, name) && ow.myTurn(re, rd, name, now)}
		if po, ok := rd.Catalog().PoolByName(listed.Pool); !ok || !po.Standby {
			// Without a worker a machine of another pool is on its way or lost.
			mc.Movable = false
			if listed.State == weir.MachineDown {
				continue
			}
		}
		if to, ok := md.sent[name]; ok && to.at.After(md.listedAt.Add(-listEvery)) && now.Sub(to.at) < sentFor {
			mc.Pool, mc.Movable = to.pool, false
		}
		if op, ok := rd.MachineOperation(name); ok && op.Pool != "" {
			mc.Pool, mc.Movable = op.Pool, false
		}
		out = append(out, mc)
	}
	return out
}

// engaged reports whether an operation on a machine is under way or near.
func (md *machineDuty) engaged(rd store.Reader, machine string) bool {
	_, ordered := rd.MachineOperation(machine)
	return ordered || md.intent[machine] || md.cordoned(machine)
}
