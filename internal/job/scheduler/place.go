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

// place commits and orders the starts that the plan asks for. Only one plan is
// under way at a time, since the next must know of its starts.
func (ow *Scheduler) place(ctx context.Context, re *reign, now time.Time) {
	if re.planning {
		return
	}
	var starts []placement.Placement
	ow.Store.Read(func(rd store.Reader) {
		demand := ow.demand(rd)
		if len(demand) == 0 {
			return
		}
		workers := ow.usable(re, rd, now, demand)
		groups := ow.ready(ctx, re, rd, demand, roomOf(workers))
		starts = placement.Place(ow.Wall.Now(), groups, workers)
	})
	if len(starts) == 0 {
		return
	}
	changes := make([]store.Change, len(starts))
	for ix, pl := range starts {
		changes[ix] = store.Change{Start: &store.RunStart{Task: pl.Task, Run: pl.Run, Worker: pl.Worker, Incarnation: pl.Incarnation}}
	}
	re.planning = true
	for _, pl := range starts {
		re.starting[weir.RunKey{Task: pl.Task, Run: pl.Run}] = true
	}
	if !ow.Committer.Submit(changes, func(answers []store.Result, err error) { ow.started(re, starts, answers, err) }) {
		re.planned()
	}
}

// planned notes that no starts are being committed any more.
func (re *reign) planned() {
	re.planning = false
	clear(re.starting)
}

// started orders the runs whose intents are committed. It runs on the
// committer's goroutine.
func (ow *Scheduler) started(re *reign, starts []placement.Placement, answers []store.Result, err error) {
	defer ow.Wake()
	ow.mu.Lock()
	defer ow.mu.Unlock()
	defer re.planned()
	if err != nil || ow.reign != re {
		_ = ow.Logger.Log("level", "warn", "msg", "starts not committed", "count", len(starts), "err", err)
		return
	}
	placed := map[weir.TaskRef][]weir.InstanceID{}
	ow.Store.Read(func(rd store.Reader) {
		for ix, pl := range starts {
			if !answers[ix].Applied {
				_ = ow.Logger.Log("level", "info", "msg", "start not taken", "job", pl.Task.Job, "task", pl.Task,
					"run", pl.Run, "worker", pl.Worker, "reason", answers[ix].Reason)
				continue
			}
			ow.order(re, rd, pl)
			placed[pl.Task.StepRef()] = append(placed[pl.Task.StepRef()], pl.Worker)
		}
	})
	for step, workers := range placed {
		_ = ow.Logger.Log("level", "info", "msg", "tasks placed", "job", step.Job, "step", step, "count", len(workers),
			"workers", strings.Join(names(workers), " "))
	}
}

// names lists workers without repeating one that stands several times in a row.
func names(workers []weir.InstanceID) []string {
	var out []string
	for _, id := range slices.Compact(workers) {
		out = append(out, string(id))
	}
	return out
}

func (ow *Scheduler) order(re *reign, rd store.Reader, pl placement.Placement) {
	at := re.sessions[pl.Worker]
	js := rd.Job(pl.Task.Job)
	if at == nil || at.worker.Incarnation != pl.Incarnation || js == nil || js.Phase.Terminal() {
		return
	}
	key := weir.RunKey{Task: pl.Task, Run: pl.Run}
	if js.Task(pl.Task) == nil || !js.GangComplete(key) {
		return
	}
	order := weir.RunOrder{RunKey: key, Text: js.Spec.Text, Checkpoint: js.Checkpoint(pl.Task)}
	if ad := re.advice[pl.Task.StepRef()]; ad != nil {
		order.Ticket = ad.tickets[pl.Worker]
	}
	at.ss.Start(order)
	metrics.GetOrCreateCounter("weir_runs_ordered_total").Inc()
	_ = ow.Logger.Log("level", "debug", "msg", "run ordered", "job", pl.Task.Job, "task", pl.Task, "run", pl.Run,
		"worker", pl.Worker, "checkpoint", order.Checkpoint)
}

// demanded is a job that may have tasks to place, and its queue.
type demanded struct {
	job   *store.JobState
	queue catalog.Queue
}

// demand lists the jobs that may have tasks to place.
func (ow *Scheduler) demand(rd store.Reader) []demanded {
	var out []demanded
	rd.EachActiveJob(func(js *store.JobState) {
		if js.Phase.Terminal() || !js.MayNeedPlacement() {
			return
		}
		if qu, ok := rd.Queue(js.Spec.Queue); ok {
			out = append(out, demanded{job: js, queue: qu})
		}
	})
	return out
}

// roomOf returns, for each pool, the most that any of its workers has free of
// each kind of room. What does not fit there need not be looked at further.
func roomOf(workers []placement.Worker) map[weir.PoolName]spec.Resources {
	room := map[weir.PoolName]spec.Resources{}
	for _, wk := range workers {
		most := room[wk.Pool]
		room[wk.Pool] = spec.Resources{
			MilliCPU: max(most.MilliCPU, wk.Free.MilliCPU), MemoryMB: max(most.MemoryMB, wk.Free.MemoryMB), GPU: max(most.GPU, wk.Free.GPU),
		}
	}
	return room
}

// ready lists the steps with tasks that may start now.
func (ow *Scheduler) ready(ctx context.Context, re *reign, rd store.Reader, demand []demanded, room map[weir.PoolName]spec.Resources) []placement.Group {
	var groups []placement.Group
	wall := ow.Wall.Now()
	for _, dm := range demand {
		js, qu := dm.job, dm.queue
		for oc := range js.Occurrences {
			if due := js.Spec.DueAt(oc); due.After(wall) {
				break
			}
			for sp := range js.Occurrences[oc] {
				if !js.Spec.Steps[sp].Reserved().Fits(room[qu.Pool]) {
					continue
				}
				gr, ok := ow.group(re, js, qu, oc, sp)
				if !ok {
					continue
				}
				gr.RemainingWork = workLeft(js, oc)
				if qu.Advice != nil {
					if gr.AllowedWorkers = ow.tickets(ctx, re, rd, gr.Step, qu); gr.AllowedWorkers == nil {
						continue
					}
				}
				groups = append(groups, gr)
			}
		}
	}
	return groups
}

// workLeft sums up what is not done of one occurrence, in core-seconds by the
// caller's estimates.
func workLeft(js *store.JobState, oc int) float64 {
	work := 0.0
	for sp, ss := range js.Occurrences[oc] {
		step := js.Spec.Steps[sp]
		work += float64(ss.TasksLeft*step.Resources.MilliCPU) / 1000 * step.Estimate.Seconds()
	}
	return work
}

func (ow *Scheduler) group(re *reign, js *store.JobState, qu catalog.Queue, oc, sp int) (placement.Group, bool) {
	ss := &js.Occurrences[oc][sp]
	if ss.TasksLeft == 0 || !js.StepReady(oc, sp) {
		return placement.Group{}, false
	}
	step := js.Spec.Steps[sp]
	ref := spec.TaskRef{Job: js.Spec.ID, Occurrence: oc, Step: sp}
	gr := placement.Group{
		Step: ref, Spec: step, Pool: qu.Pool, Priority: qu.Priority,
		StartBy: startBy(js.Spec, js.Accepted, qu, oc, sp), RunsByWorker: map[weir.InstanceID]int{},
	}
	highest := 0
	for ix := range ss.Tasks {
		tk := &ss.Tasks[ix]
		highest = max(highest, tk.Run)
		if tk.Placed() {
			gr.RunsByWorker[tk.Worker]++
			continue
		}
		if !tk.Done {
			ref.Index = ix
			since := js.Accepted
			if tk.EndedAt.After(since) {
				since = tk.EndedAt
			}
			gr.Tasks = append(gr.Tasks, placement.Task{Index: ix, Run: tk.Run + 1, Checkpoint: tk.Checkpoint, AvoidWorker: re.avoid[ref], WaitingSince: since})
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

// startBy returns when a step must start for its job to meet its objective,
// going by the caller's estimates.
func startBy(jb spec.Job, accepted time.Time, qu catalog.Queue, oc, sp int) time.Time {
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

// workerView is a worker as the plan sees it.
type workerView = placement.Worker

// usable lists the workers that can take tasks of some jobs now.
func (ow *Scheduler) usable(re *reign, rd store.Reader, now time.Time, demand []demanded) []placement.Worker {
	pools := map[weir.PoolName]bool{}
	for _, dm := range demand {
		pools[dm.queue.Pool] = true
	}
	workers := make([]placement.Worker, 0, len(re.sessions))
	for id, at := range re.sessions {
		if !pools[at.worker.Pool] {
			continue
		}
		wk, ok := rd.Worker(id)
		if !ok || wk.Draining || wk.Incarnation != at.worker.Incarnation || !at.ss.Usable() || re.machines.closed(rd, wk.Machine) {
			continue
		}
		hl := re.health[id]
		if hl.resting(now) {
			continue
		}
		pw := placement.Worker{ID: id, Incarnation: wk.Incarnation, Pool: wk.Pool, Kind: wk.Kind, Rack: wk.Rack, Free: wk.Capacity, Suspect: hl.suspect(now)}
		load := rd.Load(id)
		pw.Free, pw.Serving, pw.BestEffort = wk.Capacity.Minus(load.Used), load.Serving, load.BestEffort
		workers = append(workers, pw)
	}
	return workers
}
