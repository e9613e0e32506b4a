// Package plan decides which task goes to which worker. It is a pure function
// of what is ready, what is free and the time; nothing is remembered between
// calls.
//
// The load it answers: queues whose demand rises by turns to several times
// what their pool holds, jobs of steps that are many tasks wide, and tasks
// that last and must not share a worker with others of their step.
//
// Usage:
//
//	for _, pl := range plan.Place(now, groups, workers) { ... }
package placement

import (
	"cmp"
	"slices"
	"time"

	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// Task is one task of a group that may start.
type Task struct {
	Index      int
	Run        int
	Checkpoint string
	// AvoidWorker names a worker on which it ended badly last; it may be empty.
	AvoidWorker weir.InstanceID
	// WaitingSince is when the task began to wait.
	WaitingSince time.Time
}

// spreadPatience is how long a lasting task waits for a worker that holds
// fewer of its step than planned work may take away: a machine that was sent
// for is there after about 1.6 s.
const spreadPatience = 2 * time.Second

// Group is the tasks of one step of one occurrence that may start now.
type Group struct {
	Step  weir.TaskRef // names the step
	Spec  spec.Step
	Pool  weir.PoolName
	Tasks []Task
	// Priority 0 goes first.
	Priority int
	// StartBy is when the step has to start for the job to meet its objective.
	StartBy time.Time
	// RemainingWork is what is left of the whole job, in core-seconds.
	RemainingWork float64
	// RunsByWorker counts the step's runs at each worker.
	RunsByWorker map[weir.InstanceID]int
	// AllowedWorkers holds the only workers that may run the step; nil allows all.
	AllowedWorkers map[weir.InstanceID]string
}

// Worker is a worker that may take tasks.
type Worker struct {
	ID          weir.InstanceID
	Incarnation int64
	Pool        weir.PoolName
	Kind        string
	Rack        string
	// Free is the room that no run takes.
	Free spec.Resources
	// Serving and Filling count the lasting tasks, apart from those that use
	// what others leave.
	Serving    int
	BestEffort int
	// Suspect workers are used only where there is no other.
	Suspect bool
}

// Placement is one start.
type Placement struct {
	Task        weir.TaskRef
	Run         int
	Worker      weir.InstanceID
	Incarnation int64
}

// Place returns the starts that are possible now, most urgent groups first.
func Place(now time.Time, groups []Group, workers []Worker) []Placement {
	ordered := slices.Clone(groups)
	slices.SortStableFunc(ordered, func(one, other Group) int {
		return cmp.Or(
			cmp.Compare(one.class(now), other.class(now)),
			// The least work first lets most jobs meet their objective when
			// there is too much of it.
			cmp.Compare(one.RemainingWork, other.RemainingWork),
			one.StartBy.Compare(other.StartBy),
			cmp.Compare(one.Step.Job, other.Step.Job),
			cmp.Compare(one.Step.Step, other.Step.Step),
		)
	})
	byPool := map[weir.PoolName][]*Worker{}
	for ix := range workers {
		wk := workers[ix]
		byPool[wk.Pool] = append(byPool[wk.Pool], &wk)
	}
	var out []Placement
	for _, gr := range ordered {
		out = append(out, place(now, gr, byPool[gr.Pool])...)
	}
	return out
}

// class orders groups before their times: lasting tasks serve users already,
// and a job that has missed its objective must not make others miss theirs.
func (gr Group) class(now time.Time) int {
	switch {
	case gr.Spec.LongRunning && !gr.Spec.BestEffort:
		return 0
	case gr.Spec.LongRunning:
		return 1
	case !gr.StartBy.Before(now):
		return 2 + gr.Priority
	default:
		return 1000 + gr.Priority
	}
}

func place(now time.Time, gr Group, workers []*Worker) []Placement {
	if !slices.ContainsFunc(workers, func(wk *Worker) bool { return wk.accepts(gr, gr.RunsByWorker) }) {
		return nil
	}
	var before []Worker
	if gr.Spec.Gang {
		before = make([]Worker, len(workers))
		for ix, wk := range workers {
			before[ix] = *wk
		}
	}
	on := make(map[weir.InstanceID]int, len(gr.RunsByWorker))
	for id, count := range gr.RunsByWorker {
		on[id] = count
	}
	rack := chooseRack(gr, workers)
	var out []Placement
	for _, tk := range gr.Tasks {
		wk := choose(gr, tk, on, rack, workers)
		if wk == nil || (gr.crowds(on[wk.ID]) && tk.waits(now)) {
			break
		}
		wk.take(gr.Spec)
		on[wk.ID]++
		out = append(out, Placement{Task: gr.ref(tk), Run: tk.Run, Worker: wk.ID, Incarnation: wk.Incarnation})
	}
	if gr.Spec.Gang && len(out) < len(gr.Tasks) {
		for ix, wk := range workers {
			*wk = before[ix]
		}
		return nil
	}
	return out
}

func (gr Group) ref(tk Task) weir.TaskRef {
	rf := gr.Step
	rf.Index = tk.Index
	return rf
}

func (wk *Worker) take(st spec.Step) {
	wk.Free = wk.Free.Minus(st.Reserved())
	switch {
	case st.BestEffort:
		wk.BestEffort++
	case st.LongRunning:
		wk.Serving++
	}
}

// chooseRack returns the rack that the whole group should be on, or "".
func chooseRack(gr Group, workers []*Worker) string {
	if gr.Spec.DataRack != "" {
		return gr.Spec.DataRack
	}
	if !gr.Spec.OneRack {
		return ""
	}
	fits := map[string]int{}
	for _, wk := range workers {
		if wk.accepts(gr, nil) {
			fits[wk.Rack] += wk.holds(gr.Spec)
		}
	}
	best := ""
	for rack, count := range fits {
		if best == "" || count > fits[best] || (count == fits[best] && rack < best) {
			best = rack
		}
	}
	return best
}

// holds counts how many more tasks of a step fit.
func (wk *Worker) holds(st spec.Step) int {
	need, room, count := st.Reserved(), wk.Free, 0
	for need.Fits(room) && count < st.Count {
		room = room.Minus(need)
		count++
	}
	return count
}

func (wk *Worker) accepts(gr Group, on map[weir.InstanceID]int) bool {
	st := gr.Spec
	if _, ok := gr.AllowedWorkers[wk.ID]; gr.AllowedWorkers != nil && !ok {
		return false
	}
	if st.Label != "" && st.Label != wk.Kind && st.Label != wk.Rack {
		return false
	}
	if st.MaxPerWorker > 0 && on[wk.ID] >= st.MaxPerWorker {
		return false
	}
	return st.Reserved().Fits(wk.Free)
}

// choose returns the best worker for a task, nil where there is none.
func choose(gr Group, tk Task, on map[weir.InstanceID]int, rack string, workers []*Worker) *Worker {
	var best *Worker
	for _, wk := range workers {
		if !wk.accepts(gr, on) {
			continue
		}
		if best == nil || better(gr, tk, on, rack, wk, best) {
			best = wk
		}
	}
	return best
}

// better reports whether one worker is a better place than another.
func better(gr Group, tk Task, on map[weir.InstanceID]int, rack string, one, other *Worker) bool {
	if order := compareBool(one.Suspect || one.ID == tk.AvoidWorker, other.Suspect || other.ID == tk.AvoidWorker); order != 0 {
		return order < 0
	}
	if order := compareBool(one.Rack != rack, other.Rack != rack); rack != "" && order != 0 {
		return order < 0
	}
	if order := gr.together(on, one, other); order != 0 {
		return order < 0
	}
	if order := gr.disturbance(one, other); order != 0 {
		return order < 0
	}
	// Machines with lasting tasks cannot be spared anyway; tasks gather there
	// and then on the fullest machine, so that others can go.
	if order := compareBool(!one.keeps(), !other.keeps()); order != 0 {
		return order < 0
	}
	if one.Free.MilliCPU != other.Free.MilliCPU {
		return one.Free.MilliCPU < other.Free.MilliCPU
	}
	return one.ID < other.ID
}

// together keeps lasting tasks of one step apart, since a worker's maintenance
// takes all of them away at once.
func (gr Group) together(on map[weir.InstanceID]int, one, other *Worker) int {
	if !gr.Spec.LongRunning {
		return 0
	}
	return cmp.Compare(on[one.ID], on[other.ID])
}

// crowds reports whether one more task on a worker that holds some of its step
// is one too many for the worker's maintenance.
func (gr Group) crowds(held int) bool {
	return gr.Spec.LongRunning && gr.Spec.MaxUnavailable > 0 && held >= gr.Spec.MaxUnavailable
}

// waits reports whether a task has not waited long for a better worker. A time
// of day that was set back ends the wait.
func (tk Task) waits(now time.Time) bool {
	waited := now.Sub(tk.WaitingSince)
	return waited >= 0 && waited < spreadPatience
}

// keeps reports whether lasting tasks tie the worker to its pool.
func (wk *Worker) keeps() bool { return wk.Serving+wk.BestEffort > 0 }

// disturbance keeps tasks that fill away from tasks that serve.
func (gr Group) disturbance(one, other *Worker) int {
	switch {
	case gr.Spec.BestEffort:
		return cmp.Compare(one.Serving, other.Serving)
	case gr.Spec.LongRunning:
		return cmp.Compare(one.BestEffort, other.BestEffort)
	}
	return 0
}

func compareBool(one, other bool) int {
	switch {
	case one == other:
		return 0
	case other:
		return -1
	}
	return 1
}
