package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"greengageweir/internal/job/store"

	weir "greengageweir"
)

const (
	// drainPatience is how long a machine is kept free of new tasks before
	// its maintenance, so that what runs there can end; most tasks take less.
	drainPatience = 2500 * time.Millisecond
	// wavePatience is the time that a wave's pace allows for each machine: its
	// drain and its maintenance take half of it.
	wavePatience = 9 * time.Second
	// tellEvery separates lines about maintenance that has to wait.
	tellEvery = time.Second
	// drainAhead is how many machines beyond those that may be away are kept
	// free, so that the next can go at once.
	drainAhead = 1
	// lastingAhead is how many machines with lasting tasks of one pool are
	// kept free at a time: one that goes and the next.
	lastingAhead = 2
)

// candidate is a machine that waits for maintenance.
type candidate struct {
	machine string
	worker  weir.InstanceID
	pool    weir.PoolName
	// work counts the runs that end by themselves, lasting those that do not.
	work     int
	lasting  int
	cordoned bool
}

// advance begins what may begin of one wave.
func (ow *Scheduler) advance(re *reign, rd store.Reader, wv *store.Wave, byMachine map[string]store.Worker, now time.Time) {
	md := re.machines
	away := 0
	var waiting []candidate
	for _, machine := range wv.Machines {
		op, ordered := rd.MachineOperation(machine)
		switch {
		case ordered && op.Wave == wv.Number:
			away++
		case md.intent[machine] && !ordered && !wv.Started[machine]:
			away++
		case ordered:
		case wv.Started[machine]:
			if ow.back(re, byMachine[machine], machine) {
				delete(md.cordon, machine)
			} else {
				away++
			}
		default:
			waiting = append(waiting, ow.candidate(re, rd, machine, byMachine[machine]))
		}
	}
	free := waveWidth(len(waiting), wv.MaxParallel, wv.Deadline.Sub(ow.Wall.Now()), md.short) - away
	sortCandidates(waiting)
	for _, machine := range toDrain(waiting, free+drainAhead) {
		md.cordon[machine] = now
	}
	ow.begin(re, rd, wv, waiting, free, now)
}

// sortCandidates puts machines with lasting tasks first: they have to wait for
// each other, so they hold a wave up if they start late.
func sortCandidates(waiting []candidate) {
	slices.SortFunc(waiting, func(one, other candidate) int {
		return cmp.Or(boolRank(other.cordoned)-boolRank(one.cordoned), boolRank(other.lasting > 0)-boolRank(one.lasting > 0),
			cmp.Compare(one.work, other.work), cmp.Compare(one.lasting, other.lasting), cmp.Compare(one.machine, other.machine))
	})
}

// toDrain returns the machines that are to be kept free of new tasks besides
// those that are: at most width without lasting tasks, and of those with
// lasting tasks lastingAhead a pool, as more of them could not go at once.
func toDrain(waiting []candidate, width int) []string {
	var out []string
	plain, lasting := 0, map[weir.PoolName]int{}
	for _, ca := range waiting {
		switch {
		case ca.lasting > 0 && lasting[ca.pool] < lastingAhead:
			lasting[ca.pool]++
		case ca.lasting == 0 && plain < width:
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

// waveWidth returns how many machines of a wave may be away at a time. While
// pools lack machines it is what the deadline asks for, with some to spare.
func waveWidth(waiting, atOnce int, left time.Duration, short bool) int {
	atOnce = max(atOnce, 1)
	if !short || left <= 0 {
		return atOnce
	}
	needed := math.Ceil(float64(waiting) * wavePatience.Seconds() / left.Seconds())
	return min(atOnce, max(int(needed), 1))
}

// begin commits the intent for machines that may go; the order follows once
// the intent is in the state.
func (ow *Scheduler) begin(re *reign, rd store.Reader, wv *store.Wave, waiting []candidate, free int, now time.Time) {
	md := re.machines
	for _, ca := range waiting {
		if free <= 0 {
			break
		}
		since, ok := md.cordon[ca.machine]
		if !ok || md.busy[ca.machine] || !ow.myTurn(re, rd, ca.machine, now) {
			continue
		}
		if ca.work > 0 && (now.Sub(since) < drainPatience || ow.save(re, rd, ca.worker)) {
			continue
		}
		if step, away := ow.blocked(re, rd, ca.worker); step != nil {
			if now.Sub(since) > drainPatience && now.Sub(md.toldAt) > tellEvery {
				md.toldAt = now
				ow.spread(re, rd, ca.worker, *step)
				_ = ow.Logger.Log("level", "info", "msg", "maintenance waits", "machine", ca.machine, "worker", ca.worker,
					"wave", wv.Number, "job", step.Job, "step", step, "away", away)
			}
			continue
		}
		free--
		md.asked[ca.machine] = time.Time{}
		op := store.MachineOperation{Machine: ca.machine, Wave: wv.Number}
		_ = ow.Logger.Log("level", "info", "msg", "maintenance begins", "machine", ca.machine, "worker", ca.worker,
			"wave", wv.Number, "runs", ca.work, "lasting", ca.lasting)
		wk, _ := rd.Worker(ca.worker)
		ow.intend(re, op, wk)
	}
}

// save stops what can resume elsewhere from where it is. It reports whether
// such runs are left.
func (ow *Scheduler) save(re *reign, rd store.Reader, id weir.InstanceID) bool {
	left := false
	for key := range rd.Runs(id) {
		step := rd.Job(key.Task.Job).Spec.Steps[key.Task.Step]
		if step.Checkpointing && !step.LongRunning {
			ow.evict(re, id, key)
			left = true
		}
	}
	return left
}

// spread stops one of several lasting tasks of a step at one worker, so that
// it goes on elsewhere and the worker can do without the others.
func (ow *Scheduler) spread(re *reign, rd store.Reader, id weir.InstanceID, step weir.TaskRef) {
	var here []weir.RunKey
	for key := range rd.Runs(id) {
		if key.Task.StepRef() == step {
			here = append(here, key)
		}
	}
	if len(here) < 2 || ow.away(re, rd, id, step) > 0 {
		return
	}
	ow.evict(re, id, here[0])
}

func (ow *Scheduler) evict(re *reign, id weir.InstanceID, key weir.RunKey) {
	if re.evicted[key] {
		return
	}
	re.evicted[key] = true
	re.sessions[id].dirty = true
	ow.Wake()
	_ = ow.Logger.Log("level", "info", "msg", "run evicted", "job", key.Task.Job, "task", key.Task, "run", key.Run, "worker", id)
}

// blocked names a step of which more lasting tasks would be away than it
// allows if all that runs at a worker ended, and how many are away already; it
// is nil where there is none. A task counts as away unless its worker lists it
// at full work.
func (ow *Scheduler) blocked(re *reign, rd store.Reader, id weir.InstanceID) (step *weir.TaskRef, away int) {
	steps := map[weir.TaskRef]int{}
	for key := range rd.Runs(id) {
		js := rd.Job(key.Task.Job)
		if !js.Phase.Terminal() && js.Spec.Steps[key.Task.Step].MaxUnavailable > 0 {
			steps[key.Task.StepRef()]++
		}
	}
	for ref, here := range steps {
		away = here - 1 + ow.away(re, rd, id, ref)
		if away >= rd.Job(ref.Job).Spec.Steps[ref.Step].MaxUnavailable {
			return &ref, away
		}
	}
	return nil, 0
}

// away counts the tasks of a step that are neither at a worker nor at work
// elsewhere.
func (ow *Scheduler) away(re *reign, rd store.Reader, id weir.InstanceID, step weir.TaskRef) int {
	count := 0
	tasks := rd.Job(step.Job).Occurrences[step.Occurrence][step.Step].Tasks
	for ix := range tasks {
		tk := &tasks[ix]
		step.Index = ix
		key := weir.RunKey{Task: step, Run: tk.Run}
		if re.evicted[key] || (tk.Worker != id && !ow.atWork(re, rd, key, tk.Worker)) {
			count++
		}
	}
	return count
}

// atWork reports whether a lasting task works at a worker that no planned work
// is about to end.
func (ow *Scheduler) atWork(re *reign, rd store.Reader, key weir.RunKey, id weir.InstanceID) bool {
	at := re.sessions[id]
	if at == nil || re.machines.intent[at.worker.Machine] {
		return false
	}
	if _, ordered := rd.MachineOperation(at.worker.Machine); ordered {
		return false
	}
	return at.ss.AtFullSpeed(key)
}
