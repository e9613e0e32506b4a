// Package placement assigns ready tasks to workers. It is a pure function of the
// ready tasks, the free resources and the time, and keeps no state between calls.
//
// It is designed for queues whose demand peaks one after the other at several
// times the capacity of their pool, for jobs whose steps have many parallel tasks,
// and for long-running tasks that must not share a worker with others of their
// step.
//
// Usage:
//
//	for _, pl := range placement.Place(now, groups, workers) { ... }
package placement

import (
	"cmp"
	"maps"
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
	// AvoidWorker is the worker on which the task last failed or was too slow; it
	// may be empty.
	AvoidWorker weir.InstanceID
	// WaitingSince is when the job was accepted or the task's last run ended.
	WaitingSince time.Time
	// Suspect is set if a worker has crashed soon after it started the task.
	Suspect bool
}

// spreadWait is how long a long-running task waits for a worker with fewer tasks
// of its step than may be unavailable at a time. A machine that was moved to the
// pool is usable after about 1.6 s.
const spreadWait = 2 * time.Second

// Group holds the tasks of one step of one job occurrence that may start now.
type Group struct {
	Step  weir.TaskRef // identifies the step; its task index is not used
	Spec  spec.Step
	Pool  weir.PoolName
	Tasks []Task
	// Priority is the priority of the job's queue; 0 goes first.
	Priority int
	// StartBy is the latest start of the step with which the job meets its
	// objective.
	StartBy time.Time
	// RemainingWork is the unfinished work of the whole job occurrence, in
	// core-seconds.
	RemainingWork float64
	// RunsByWorker counts the step's runs at each worker.
	RunsByWorker map[weir.InstanceID]int
	// AllowedWorkers holds the workers that may run the step, with their tickets;
	// nil allows all workers.
	AllowedWorkers map[weir.InstanceID]string
}

// Worker is a worker that may take tasks.
type Worker struct {
	ID          weir.InstanceID
	Incarnation int64
	Pool        weir.PoolName
	Kind        string
	Rack        string
	// Free is the resources that no run uses.
	Free spec.Resources
	// Serving counts the long-running tasks that serve users, BestEffort the
	// tasks that use only resources left over by others.
	Serving    int
	BestEffort int
	// Suspect workers are used only if no other worker fits, as are those with
	// suspect tasks, which SuspectJobs holds the jobs of.
	Suspect     bool
	SuspectJobs map[weir.JobID]bool
	// ReservedFor is the job of a suspect task that was started a moment ago: if the
	// worker crashes, no other job must come into question.
	ReservedFor weir.JobID

	used weir.JobID // the job that was last placed here
}

// Placement is the start of one run on a worker.
type Placement struct {
	Task        weir.TaskRef
	Run         int
	Worker      weir.InstanceID
	Incarnation int64
}

// Place returns the runs to start now, most urgent groups first.
func Place(now time.Time, groups []Group, workers []Worker) []Placement {
	ordered := slices.Clone(groups)
	slices.SortStableFunc(ordered, func(one, other Group) int {
		return cmp.Or(
			cmp.Compare(one.class(now), other.class(now)),
			// Under overload, the job with the least remaining work goes first, so
			// that as many jobs as possible meet their objective.
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
	pools := make(map[weir.PoolName]*pool, len(byPool))
	for name, list := range byPool {
		pools[name] = newPool(list)
	}
	var out []Placement
	for _, gr := range ordered {
		if po := pools[gr.Pool]; po != nil {
			out = append(out, placeGroup(now, gr, po)...)
		}
	}
	return out
}

// class is the first sort key of groups: long-running tasks go first, since users
// depend on them, and jobs that have missed their objective go last, so that they
// do not make other jobs miss theirs.
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

func placeGroup(now time.Time, gr Group, po *pool) []Placement {
	if len(gr.Tasks) == 0 || (!gr.anyOrder(gr.Tasks[0], "") && !slices.ContainsFunc(po.workers, func(wk *Worker) bool { return wk.accepts(gr, gr.RunsByWorker) })) {
		return nil
	}
	var before []Worker
	if gr.Spec.Gang {
		before = make([]Worker, len(po.workers))
		for ix, wk := range po.workers {
			before[ix] = *wk
		}
	}
	on := maps.Clone(gr.RunsByWorker)
	if on == nil {
		on = map[weir.InstanceID]int{}
	}
	rack := chooseRack(gr, po.workers)
	var out []Placement
	for _, tk := range gr.Tasks {
		wk := po.choose(now, gr, tk, on, rack)
		if wk == nil && tk.Suspect {
			continue
		}
		if wk == nil || (gr.exceedsMaxUnavailable(on[wk.ID]) && tk.waitsForSpread(now)) {
			break
		}
		po.reserve(wk, gr, tk)
		on[wk.ID]++
		out = append(out, Placement{Task: gr.ref(tk), Run: tk.Run, Worker: wk.ID, Incarnation: wk.Incarnation})
	}
	if gr.Spec.Gang && len(out) < len(gr.Tasks) {
		for ix, wk := range po.workers {
			*wk = before[ix]
		}
		po.sort()
		return nil
	}
	return out
}

func (gr Group) ref(tk Task) weir.TaskRef {
	rf := gr.Step
	rf.Index = tk.Index
	return rf
}

func (wk *Worker) reserve(st spec.Step) {
	wk.Free = wk.Free.Minus(st.Reserved())
	switch {
	case st.BestEffort:
		wk.BestEffort++
	case st.LongRunning:
		wk.Serving++
	}
}

// chooseRack returns the rack on which the whole group should run, or "" if any
// rack will do.
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
			fits[wk.Rack] += wk.fitCount(gr.Spec)
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

// fitCount returns how many more tasks of a step fit on the worker, up to the
// number of tasks of the step.
func (wk *Worker) fitCount(st spec.Step) int {
	need, room, count := st.Reserved(), wk.Free, 0
	for need.Fits(room) && count < st.Count {
		room = room.Minus(need)
		count++
	}
	return count
}

func (wk *Worker) accepts(gr Group, on map[weir.InstanceID]int) bool {
	st := gr.Spec
	if wk.ReservedFor != "" && wk.ReservedFor != gr.Step.Job {
		return false
	}
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

// chooseWorker returns the best worker for a task, nil if none accepts it.
func chooseWorker(gr Group, tk Task, on map[weir.InstanceID]int, rack string, workers []*Worker) *Worker {
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

// better reports whether one worker suits a task better than another.
func better(gr Group, tk Task, on map[weir.InstanceID]int, rack string, one, other *Worker) bool {
	if order := compareBool(one.avoided() || one.ID == tk.AvoidWorker, other.avoided() || other.ID == tk.AvoidWorker); order != 0 {
		return order < 0
	}
	if order := compareBool(one.Rack != rack, other.Rack != rack); rack != "" && order != 0 {
		return order < 0
	}
	if order := gr.compareColocation(on, one, other); order != 0 {
		return order < 0
	}
	if order := gr.compareInterference(one, other); order != 0 {
		return order < 0
	}
	// Machines with long-running tasks cannot move to another pool. Tasks are
	// packed onto them first and then onto the fullest machine, so that other
	// machines become idle and can move.
	if order := compareBool(!one.pinned(), !other.pinned()); order != 0 {
		return order < 0
	}
	if one.Free.MilliCPU != other.Free.MilliCPU {
		return one.Free.MilliCPU < other.Free.MilliCPU
	}
	return one.ID < other.ID
}

// compareColocation spreads the long-running tasks of one step over workers, since
// maintenance of a worker makes all tasks on it unavailable at once.
func (gr Group) compareColocation(on map[weir.InstanceID]int, one, other *Worker) int {
	if !gr.Spec.LongRunning {
		return 0
	}
	return cmp.Compare(on[one.ID], on[other.ID])
}

// exceedsMaxUnavailable reports whether one more task on a worker that runs held
// tasks of the step would make more tasks unavailable during the worker's
// maintenance than the step allows.
func (gr Group) exceedsMaxUnavailable(held int) bool {
	return gr.Spec.LongRunning && gr.Spec.MaxUnavailable > 0 && held >= gr.Spec.MaxUnavailable
}

// waitsForSpread reports whether a task may wait longer for a better worker. If
// the wall clock was set back, the wait ends.
func (tk Task) waitsForSpread(now time.Time) bool {
	waited := now.Sub(tk.WaitingSince)
	return waited >= 0 && waited < spreadWait
}

// avoided reports whether other workers are preferred.
func (wk *Worker) avoided() bool { return wk.Suspect || len(wk.SuspectJobs) > 0 }

// pinned reports whether long-running tasks prevent the worker's machine from
// moving to another pool.
func (wk *Worker) pinned() bool { return wk.Serving+wk.BestEffort > 0 }

// compareInterference keeps best-effort tasks and serving tasks on different
// workers.
func (gr Group) compareInterference(one, other *Worker) int {
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
