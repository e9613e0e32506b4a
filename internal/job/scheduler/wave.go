package scheduler

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"greengageweir/internal/job/store"
	"greengageweir/internal/schedule/placement"

	weir "greengageweir"
)

const (
	// drainPeriod is how long a machine gets no new tasks before its maintenance,
	// so that running tasks can finish; most tasks take less.
	drainPeriod = 2500 * time.Millisecond
	// timePerMachine is the time planned for each machine of a wave; drain and
	// maintenance take half of it.
	timePerMachine = 9 * time.Second
	// waitLogInterval is the minimum time between log lines about blocked
	// maintenance.
	waitLogInterval = time.Second
	// extraCordoned is how many machines are cordoned beyond those that may be
	// under maintenance, so that the next one can start at once.
	extraCordoned = 1
	// blockedPatience is how long a machine whose maintenance is blocked by its
	// long-running tasks stays cordoned. They usually run elsewhere within half of it.
	blockedPatience = 4 * time.Second
	// blockedCheckInterval is how often it is evaluated whether the maintenance of a
	// machine that is no longer cordoned can start.
	blockedCheckInterval = time.Second
	// maxLongRunningCordoned is how many machines with long-running tasks are
	// cordoned per pool: the one that starts maintenance and the next.
	maxLongRunningCordoned = 2
)

// candidate is a machine that waits for maintenance.
type candidate struct {
	machine string
	worker  weir.InstanceID
	pool    weir.PoolName
	// batchRuns counts the runs that end by themselves, longRunning those that
	// do not.
	batchRuns   int
	longRunning int
	cordoned    bool
	// excluded says that it is not to be cordoned: its maintenance has been blocked for
	// longer than blockedPatience, or a waiting task needs it.
	excluded bool
}

// advanceWave starts the maintenance of the machines of one wave that may start
// now.
func (sc *Scheduler) advanceWave(ctx context.Context, ls *leaderState, rd store.Reader, wv *store.Wave, byMachine map[string]store.Worker, now time.Time) {
	mst := ls.machines
	inProgress := 0
	var waiting []candidate
	for _, machine := range wv.Machines {
		op, ordered := rd.MachineOperation(machine)
		switch {
		case ordered && op.Wave == wv.Number:
			inProgress++
		case mst.pendingCommit[machine] && !ordered && !wv.Started[machine]:
			inProgress++
		case wv.Started[machine]:
			if !sc.maintenanceDone(ls, wv.Number, byMachine[machine], machine) {
				inProgress++
			} else if mst.cordon[machine].wave == wv.Number {
				delete(mst.cordon, machine)
			}
		case ordered || mst.isAway(machine):
			// It can be ordered once it is back.
		default:
			ca := sc.candidate(ls, rd, machine, byMachine[machine])
			ca.excluded = sc.uncordonNeeded(ls, machine, ca.worker) || sc.maintenanceStuck(ctx, ls, rd, ca, now)
			ca.cordoned = ca.cordoned && !ca.excluded
			waiting = append(waiting, ca)
			continue
		}
		delete(mst.blocked, machine)
	}
	free := waveParallelism(len(waiting), wv.MaxParallel, wv.Deadline.Sub(sc.Wall.Now()), mst.shortage) - inProgress
	sortCandidates(waiting)
	for _, machine := range machinesToCordon(waiting, free+extraCordoned) {
		mst.cordon[machine] = cordon{wave: wv.Number, since: now}
	}
	sc.startMaintenance(ctx, ls, rd, wv, waiting, free, now)
}

// maintenanceStuck reports whether a machine's maintenance has been blocked for longer than
// blockedPatience. The machine is then not cordoned, so that it goes on with its work, until
// the maintenance can start. It is blocked while its worker holds more tasks of a step than
// may be unavailable, unless one of them can run elsewhere.
func (sc *Scheduler) maintenanceStuck(ctx context.Context, ls *leaderState, rd store.Reader, ca candidate, now time.Time) bool {
	mst := ls.machines
	bl, known := mst.blocked[ca.machine]
	if !ca.cordoned && (!known || now.Sub(bl.checkedAt) < blockedCheckInterval) {
		return known
	}
	step, unavailable := sc.blockingStep(ls, rd, ca.worker)
	movable := false
	if step != nil {
		_, movable = sc.movableRun(ctx, ls, rd, ca.worker, *step, now)
	}
	if step == nil || movable {
		delete(mst.blocked, ca.machine)
		return false
	}
	if !known {
		bl.since = now
	}
	bl.checkedAt = now
	mst.blocked[ca.machine] = bl
	if ca.cordoned && now.Sub(bl.since) < blockedPatience {
		return false
	}
	if ca.cordoned {
		delete(mst.cordon, ca.machine)
		_ = sc.Logger.Log("level", "info", "msg", "machine uncordoned, its maintenance is blocked", "machine", ca.machine, "worker", ca.worker,
			"job", step.Job, "step", *step, "away", unavailable, "blockedFor", now.Sub(bl.since).String())
	}
	return true
}

// maintenanceDone reports whether the maintenance of a machine for a wave, which has
// started, is over. It may be away for another operation since.
func (sc *Scheduler) maintenanceDone(ls *leaderState, wave int64, wk store.Worker, machine string) bool {
	if last, away := ls.machines.away[machine]; away {
		return last != wave
	}
	return sc.operationOver(ls, wk, machine)
}

// sortCandidates sorts machines with long-running tasks first: they have to wait
// for each other and delay the wave if they start late.
func sortCandidates(waiting []candidate) {
	slices.SortFunc(waiting, func(one, other candidate) int {
		return cmp.Or(boolToInt(other.cordoned)-boolToInt(one.cordoned), boolToInt(other.longRunning > 0)-boolToInt(one.longRunning > 0),
			cmp.Compare(one.batchRuns, other.batchRuns), cmp.Compare(one.longRunning, other.longRunning), cmp.Compare(one.machine, other.machine))
	})
}

// machinesToCordon returns the machines to cordon in addition to those that are.
// It counts up to width machines without long-running tasks, and up to
// maxLongRunningCordoned per pool of those with long-running tasks, since more of
// them could not start at once.
func machinesToCordon(waiting []candidate, width int) []string {
	var out []string
	plain, longRunning := 0, map[weir.PoolName]int{}
	for _, ca := range waiting {
		switch {
		case ca.excluded:
			continue
		case ca.longRunning > 0 && longRunning[ca.pool] < maxLongRunningCordoned:
			longRunning[ca.pool]++
		case ca.longRunning == 0 && plain < width:
			plain++
		default:
			continue
		}
		if !ca.cordoned {
			out = append(out, ca.machine)
		}
	}
	return out
}

// waveParallelism returns how many machines of a wave may be under maintenance at
// a time. During a shortage of machines it is only as many as the deadline
// requires, with a margin.
func waveParallelism(waiting, maxParallel int, left time.Duration, shortage bool) int {
	maxParallel = max(maxParallel, 1)
	if !shortage || left <= 0 {
		return maxParallel
	}
	needed := math.Ceil(float64(waiting) * timePerMachine.Seconds() / left.Seconds())
	return min(maxParallel, max(int(needed), 1))
}

// startMaintenance commits the maintenance operation of the machines that may
// start; the order is sent once the operation is applied to the state.
func (sc *Scheduler) startMaintenance(ctx context.Context, ls *leaderState, rd store.Reader, wv *store.Wave, waiting []candidate, free int, now time.Time) {
	mst := ls.machines
	for _, ca := range waiting {
		if free <= 0 {
			break
		}
		cd, ok := mst.cordon[ca.machine]
		if !ok || mst.inFlight[ca.machine] || !sc.mayOrder(ls, rd, ca.machine, now) {
			continue
		}
		if ca.batchRuns > 0 && now.Sub(cd.since) < drainPeriod {
			continue
		}
		if step, unavailable := sc.blockingStep(ls, rd, ca.worker); step != nil {
			if now.Sub(cd.since) <= drainPeriod {
				continue
			}
			if key, ok := sc.movableRun(ctx, ls, rd, ca.worker, *step, now); ok {
				sc.evict(ls, ca.worker, key)
			}
			if now.Sub(mst.waitLoggedAt) > waitLogInterval {
				mst.waitLoggedAt = now
				_ = sc.Logger.Log("level", "info", "msg", "maintenance blocked by unavailable tasks", "machine", ca.machine, "worker", ca.worker,
					"wave", wv.Number, "job", step.Job, "step", step, "away", unavailable)
			}
			continue
		}
		if ca.batchRuns > 0 && sc.evictCheckpointed(ls, rd, ca.worker) {
			continue
		}
		free--
		mst.lastOrderAt[ca.machine] = time.Time{}
		op := store.MachineOperation{Machine: ca.machine, Wave: wv.Number}
		_ = sc.Logger.Log("level", "info", "msg", "maintenance operation submitted", "machine", ca.machine, "worker", ca.worker,
			"wave", wv.Number, "runs", ca.batchRuns, "lasting", ca.longRunning)
		wk, _ := rd.Worker(ca.worker)
		sc.commitOperation(ls, op, wk)
	}
}

// evictCheckpointed stops the runs that can resume elsewhere from a checkpoint. It
// reports whether such runs are left.
func (sc *Scheduler) evictCheckpointed(ls *leaderState, rd store.Reader, id weir.InstanceID) bool {
	left := false
	for key := range rd.WorkerRuns(id) {
		step := rd.Job(key.Task.Job).Spec.Steps[key.Task.Step]
		if step.Checkpointing && !step.LongRunning {
			sc.evict(ls, id, key)
			left = true
		}
	}
	return left
}

// movableRun returns one of several long-running tasks of a step at one worker that can run
// elsewhere now, so that fewer tasks of the step are unavailable during the worker's
// maintenance. It reports false if there is none, or if stopping it would make more tasks
// unavailable than one.
func (sc *Scheduler) movableRun(ctx context.Context, ls *leaderState, rd store.Reader, id weir.InstanceID, step weir.TaskRef, now time.Time) (weir.RunKey, bool) {
	var here []weir.RunKey
	for key := range rd.WorkerRuns(id) {
		if key.Task.StepRef() == step {
			here = append(here, key)
		}
	}
	js := rd.Job(step.Job)
	if len(here) < 2 || js.Phase.Terminal() || js.Spec.Steps[step.Step].Gang || sc.unavailable(ls, rd, id, step) > 0 {
		return weir.RunKey{}, false
	}
	return here[0], sc.fitsElsewhere(ctx, ls, rd, id, here[0], now)
}

// fitsElsewhere reports whether a worker other than the given one can take a run's task now,
// beside the long-running tasks that wait or are evicted already.
func (sc *Scheduler) fitsElsewhere(ctx context.Context, ls *leaderState, rd store.Reader, id weir.InstanceID, key weir.RunKey, now time.Time) bool {
	js := rd.Job(key.Task.Job)
	qu, ok := rd.Queue(js.Spec.Queue)
	if !ok {
		return false
	}
	jobs := append(sc.pendingLongRunning(ls, rd), pendingJob{job: js, queue: qu})
	workers := sc.usableWorkers(ls, rd, now, jobs)
	workers = slices.DeleteFunc(workers, func(wk workerView) bool { return wk.ID == id })
	groups := sc.longRunningGroups(ctx, ls, rd, jobs[:len(jobs)-1], maxFreeByPool(workers), now)
	placed := sc.placeInTheEnd(rd, groups, workers)
	workers = placement.Reserve(workers, groups, placed)
	gr, _ := sc.group(ls, js, qu, key.Task.Occurrence, key.Task.Step, nil)
	for _, pl := range placed {
		if pl.Task.StepRef() == gr.Step {
			gr.RunsByWorker[pl.Worker]++
		}
	}
	if qu.Adviser == nil {
		return placement.Fits(gr, workers)
	}
	if gr.AllowedWorkers = sc.tickets(ctx, ls, rd, gr.Step, qu); gr.AllowedWorkers == nil {
		return false
	}
	if placement.Fits(gr, workers) {
		return true
	}
	sc.adviseOnUnasked(ctx, ls, gr, qu, workers)
	return false
}

// evict marks a run to be stopped, so that its task is rescheduled elsewhere.
func (sc *Scheduler) evict(ls *leaderState, id weir.InstanceID, key weir.RunKey) {
	if ls.evicted[key] {
		return
	}
	ls.evicted[key] = true
	sc.markDirty(ls.sessions[id])
	_ = sc.Logger.Log("level", "info", "msg", "run evicted", "job", key.Task.Job, "task", key.Task, "run", key.Run, "worker", id)
}

// blockingStep returns a step that would have more unavailable tasks than it
// allows if all runs at a worker ended, nil if there is none, and how many of the
// step's tasks besides one at this worker would then be unavailable. A task counts
// as unavailable unless its worker reports it as fully running.
func (sc *Scheduler) blockingStep(ls *leaderState, rd store.Reader, id weir.InstanceID) (step *weir.TaskRef, unavailable int) {
	steps := map[weir.TaskRef]int{}
	for key := range rd.WorkerRuns(id) {
		js := rd.Job(key.Task.Job)
		if step := js.Spec.Steps[key.Task.Step]; js.Live(step) && step.MaxUnavailable > 0 {
			steps[key.Task.StepRef()]++
		}
	}
	for ref, here := range steps {
		unavailable = here - 1 + sc.unavailable(ls, rd, id, ref)
		if unavailable >= rd.Job(ref.Job).Spec.Steps[ref.Step].MaxUnavailable {
			return &ref, unavailable
		}
	}
	return nil, 0
}

// unavailable counts the tasks of a step that are neither at the given worker nor
// fully running elsewhere.
func (sc *Scheduler) unavailable(ls *leaderState, rd store.Reader, id weir.InstanceID, step weir.TaskRef) int {
	count := 0
	tasks := rd.Job(step.Job).Occurrences[step.Occurrence][step.Step].Tasks
	for ix := range tasks {
		tk := &tasks[ix]
		step.Index = ix
		key := weir.RunKey{Task: step, Run: tk.Run}
		if ls.evicted[key] || (tk.Worker != id && !sc.fullyRunning(ls, rd, key, tk.Worker)) {
			count++
		}
	}
	return count
}

// fullyRunning reports whether a long-running task is fully running on a worker
// that no machine operation is about to end.
func (sc *Scheduler) fullyRunning(ls *leaderState, rd store.Reader, key weir.RunKey, id weir.InstanceID) bool {
	ws := ls.sessions[id]
	if ws == nil || ls.machines.pendingCommit[ws.worker.Machine] {
		return false
	}
	if _, ordered := rd.MachineOperation(ws.worker.Machine); ordered {
		return false
	}
	return ws.session.AtFullSpeed(key)
}
