package scheduler

import (
	"context"
	"slices"
	"strings"
	"time"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/schedule/placement"

	"github.com/VictoriaMetrics/metrics"

	weir "greengageweir"
)

// placeTasks computes placements, commits them as run starts and then orders the
// runs. Only one set of starts is in progress at a time, since the next placement
// must take them into account.
func (sc *Scheduler) placeTasks(ctx context.Context, ls *leaderState, now time.Time) {
	if ls.committingStarts {
		return
	}
	var starts []placement.Placement
	sc.Store.Read(func(rd store.Reader) {
		jobs := sc.pendingJobs(ls, rd)
		if len(jobs) == 0 {
			return
		}
		workers := sc.placeableWorkers(ls, rd, now, jobs)
		groups := sc.readyGroups(ctx, ls, rd, jobs, maxFreeByPool(workers), ls.doubtfulTasks(now))
		teams, pools := teamUse(rd, jobs, sc.Wall.Now())
		starts = placement.Place(sc.Wall.Now(), groups, workers, teams, pools)
		sc.adviseOnNewWorkers(ctx, ls, rd, groups, starts)
	})
	if len(starts) == 0 {
		return
	}
	changes := make([]store.Change, len(starts))
	for ix, pl := range starts {
		changes[ix] = store.Change{Start: &store.RunStart{Task: pl.Task, Run: pl.Run, Worker: pl.Worker, Incarnation: pl.Incarnation}}
	}
	ls.committingStarts = true
	for _, pl := range starts {
		ls.pendingStarts[weir.RunKey{Task: pl.Task, Run: pl.Run}] = true
	}
	if !sc.Committer.Submit(changes, func(results []store.Result, err error) { sc.orderStarts(ls, starts, results, err) }) {
		ls.clearPendingStarts()
	}
}

// clearPendingStarts records that no starts are being committed any more.
func (ls *leaderState) clearPendingStarts() {
	ls.committingStarts = false
	clear(ls.pendingStarts)
}

// orderStarts orders the runs whose starts have been committed. It runs on the
// committer's goroutine.
func (sc *Scheduler) orderStarts(ls *leaderState, starts []placement.Placement, results []store.Result, err error) {
	defer sc.Wake()
	sc.mu.Lock()
	defer sc.mu.Unlock()
	defer ls.clearPendingStarts()
	if err != nil || sc.leader != ls {
		_ = sc.Logger.Log("level", "warn", "msg", "run starts not committed", "count", len(starts), "err", err)
		return
	}
	placed := map[weir.TaskRef][]weir.InstanceID{}
	sc.Store.Read(func(rd store.Reader) {
		for ix, pl := range starts {
			if !results[ix].Applied {
				_ = sc.Logger.Log("level", "info", "msg", "run start rejected", "job", pl.Task.Job, "task", pl.Task,
					"run", pl.Run, "worker", pl.Worker, "reason", results[ix].Reason)
				continue
			}
			sc.orderRun(ls, rd, pl)
			placed[pl.Task.StepRef()] = append(placed[pl.Task.StepRef()], pl.Worker)
		}
	})
	for step, workers := range placed {
		_ = sc.Logger.Log("level", "info", "msg", "tasks placed", "job", step.Job, "step", step, "count", len(workers),
			"workers", strings.Join(workerNames(workers), " "))
	}
}

// workerNames returns the names of workers without consecutive duplicates.
func workerNames(workers []weir.InstanceID) []string {
	var out []string
	for _, id := range slices.Compact(workers) {
		out = append(out, string(id))
	}
	return out
}

// orderRun orders a committed run start, unless its job or worker is gone meanwhile.
func (sc *Scheduler) orderRun(ls *leaderState, rd store.Reader, pl placement.Placement) {
	ws := ls.sessions[pl.Worker]
	js := rd.Job(pl.Task.Job)
	if ws == nil || ws.worker.Incarnation != pl.Incarnation || js == nil || js.Phase.Terminal() {
		return
	}
	key := weir.RunKey{Task: pl.Task, Run: pl.Run}
	if js.Task(pl.Task) == nil || !js.GangComplete(key) {
		return
	}
	order := weir.StartOrder{RunKey: key, Text: js.Spec.Text, Checkpoint: js.Checkpoint(pl.Task)}
	if ad := ls.advice[pl.Task.StepRef()]; ad != nil {
		order.Ticket = ad.tickets[pl.Worker]
	}
	ws.session.Start(order)
	metrics.GetOrCreateCounter("weir_runs_ordered_total").Inc()
	_ = sc.Logger.Log("level", "debug", "msg", "run ordered", "job", pl.Task.Job, "task", pl.Task, "run", pl.Run,
		"worker", pl.Worker, "checkpoint", order.Checkpoint)
}

// pendingJob is a job that may have tasks to place, and its queue.
type pendingJob struct {
	job   *store.JobState
	queue catalog.Queue
}

// pendingJobs returns the jobs that may have tasks to place, or to reserve room for.
func (sc *Scheduler) pendingJobs(ls *leaderState, rd store.Reader) []pendingJob {
	evicted := map[weir.JobID]bool{}
	for key := range ls.evicted {
		evicted[key.Task.Job] = true
	}
	var out []pendingJob
	rd.EachActiveJob(func(js *store.JobState) {
		if js.Phase.Terminal() || (!js.MayNeedPlacement() && !evicted[js.Spec.ID]) {
			return
		}
		if qu, ok := rd.Queue(js.Spec.Queue); ok {
			out = append(out, pendingJob{job: js, queue: qu})
		}
	})
	return out
}

// maxFreeByPool returns, for each pool and each resource, the maximum that is free
// on any of its workers. Steps that do not fit into it can be skipped.
func maxFreeByPool(workers []placement.Worker) map[weir.PoolName]spec.Resources {
	free := map[weir.PoolName]spec.Resources{}
	for _, wk := range workers {
		free[wk.Pool] = free[wk.Pool].Max(wk.Free)
	}
	return free
}

// teamUse returns the teams of the configuration, and what they use of the pools in
// which tasks of the given jobs may have to be placed. It returns nil if there are
// no teams.
func teamUse(rd store.Reader, jobs []pendingJob, wall time.Time) (map[weir.TeamName]placement.Team, map[weir.PoolName]placement.PoolUse) {
	teams, pools := map[weir.TeamName]placement.Team{}, map[weir.PoolName]placement.PoolUse{}
	rd.EachTeam(func(tm catalog.Team) {
		teams[tm.Name] = placement.Team{Weight: tm.Weight, Startable: tm.Cap.Left(rd.TeamUse(tm.Name))}
	})
	if len(teams) == 0 {
		return nil, nil
	}
	for _, pj := range jobs {
		pu, ok := pools[pj.queue.Pool]
		if !ok {
			pu.Teams = map[weir.TeamName]spec.Resources{}
			pools[pj.queue.Pool] = pu
		}
		tm := pj.job.Spec.Team
		if _, ok := pu.Teams[tm]; tm != "" && !ok && hasReadyStep(pj.job, wall) {
			pu.Teams[tm] = spec.Resources{}
		}
	}
	rd.EachWorker(func(wk store.Worker) {
		pu, ok := pools[wk.Pool]
		if !ok {
			return
		}
		pu.Capacity = pu.Capacity.Plus(wk.Capacity)
		pools[wk.Pool] = pu
		for _, tl := range rd.TeamLoads(wk.ID) {
			pu.Teams[tl.Team] = pu.Teams[tl.Team].Plus(tl.Used)
		}
	})
	return teams, pools
}

// hasReadyStep reports whether the job has a step that runs or may start. A team
// with nothing but jobs that are due later takes no share.
func hasReadyStep(js *store.JobState, wall time.Time) bool {
	for oc, steps := range js.Occurrences {
		if js.Spec.DueAt(oc).After(wall) {
			return false
		}
		for sp := range steps {
			if steps[sp].TasksLeft > 0 && js.StepReady(oc, sp) {
				return true
			}
		}
	}
	return false
}

// readyGroups returns the steps with tasks that may start now.
func (sc *Scheduler) readyGroups(ctx context.Context, ls *leaderState, rd store.Reader, jobs []pendingJob, free map[weir.PoolName]spec.Resources, doubtful map[weir.TaskRef]bool) []placement.Group {
	var groups []placement.Group
	wall := sc.Wall.Now()
	for _, dm := range jobs {
		js, qu := dm.job, dm.queue
		for oc := range js.Occurrences {
			if due := js.Spec.DueAt(oc); due.After(wall) {
				break
			}
			for sp := range js.Occurrences[oc] {
				if !js.Spec.Steps[sp].Reserved().Fits(free[qu.Pool]) {
					continue
				}
				gr, ok := sc.group(ls, js, qu, oc, sp, doubtful)
				if !ok {
					continue
				}
				gr.RemainingWork = remainingWork(js, oc)
				if qu.Adviser != nil {
					if gr.AllowedWorkers = sc.tickets(ctx, ls, rd, gr.Step, qu); gr.AllowedWorkers == nil {
						continue
					}
				}
				groups = append(groups, gr)
			}
		}
	}
	return groups
}

// remainingWork returns the unfinished work of one occurrence in core-seconds,
// based on the caller's estimates.
func remainingWork(js *store.JobState, oc int) float64 {
	work := 0.0
	for sp, ss := range js.Occurrences[oc] {
		step := js.Spec.Steps[sp]
		work += float64(ss.TasksLeft*step.Resources.MilliCPU) / 1000 * step.Estimate.Seconds()
	}
	return work
}

// group returns the tasks of a step that may start now, which are none of the doubtful
// ones, and the long-running ones that are evicted; it reports false if there are none. A
// step that may run has its workers in the group also then, unless it is a gang.
func (sc *Scheduler) group(ls *leaderState, js *store.JobState, qu catalog.Queue, oc, sp int, doubtful map[weir.TaskRef]bool) (placement.Group, bool) {
	ss := &js.Occurrences[oc][sp]
	if ss.TasksLeft == 0 || !js.StepReady(oc, sp) {
		return placement.Group{}, false
	}
	step := js.Spec.Steps[sp]
	ref := spec.TaskRef{Job: js.Spec.ID, Occurrence: oc, Step: sp}
	gr := placement.Group{
		Step: ref, Spec: step, Pool: qu.Pool, Team: js.Spec.Team, Priority: qu.Priority,
		StartBy: latestStart(js.Spec, js.Accepted, qu, oc, sp), RunsByWorker: map[weir.InstanceID]int{},
	}
	highest := 0
	for ix := range ss.Tasks {
		tk := &ss.Tasks[ix]
		highest = max(highest, tk.Run)
		ref.Index = ix
		if tk.Placed() {
			gr.RunsByWorker[tk.Worker]++
			if step.LongRunning && ls.evicted[weir.RunKey{Task: ref, Run: tk.Run}] {
				gr.Tasks = append(gr.Tasks, placement.Task{Index: ix, Run: tk.Run + 1, Stopping: true})
			}
			continue
		}
		if !tk.Done && !doubtful[ref] {
			since := tk.WaitingSince(js.Accepted)
			gr.Tasks = append(gr.Tasks, placement.Task{
				Index: ix, Run: tk.Run + 1, Checkpoint: tk.Checkpoint, AvoidWorker: ls.avoidWorker[ref], WaitingSince: since,
				Suspect: tk.Suspect(),
			})
			gr.EndsBackoff = gr.EndsBackoff || step.LongRunning && sc.Wall.Now().Sub(since) >= longestBackoff
		}
	}
	if step.Gang {
		if len(gr.Tasks) < len(ss.Tasks) {
			return placement.Group{}, false
		}
		for ix := range gr.Tasks {
			gr.Tasks[ix].Run = highest + 1
		}
	}
	return gr, len(gr.Tasks) > 0
}

// latestStart returns when a step must start for its job to meet its objective,
// based on the caller's estimates.
func latestStart(jb spec.Job, accepted time.Time, qu catalog.Queue, oc, sp int) time.Time {
	due := jb.DueAt(oc)
	if due.IsZero() {
		due = accepted
	}
	// rest[i] is the longest chain of estimates from step i to the end.
	rest := make([]time.Duration, len(jb.Steps))
	longest := time.Duration(0)
	for ix := len(jb.Steps) - 1; ix >= 0; ix-- {
		rest[ix] += jb.Steps[ix].Estimate
		longest = max(longest, rest[ix])
		for _, before := range jb.Steps[ix].After {
			rest[before] = max(rest[before], rest[ix])
		}
	}
	objective := due.Add(qu.TargetLatency + time.Duration(qu.Stretch*float64(longest)))
	return objective.Add(-rest[sp])
}
