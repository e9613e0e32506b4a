// Package placement assigns ready tasks to workers. It is a pure function of the
// ready tasks, the free resources and the time, and keeps no state between calls.
//
// It is designed for queues whose demand peaks one after the other at several
// times the capacity of their pool, for jobs whose steps have many parallel tasks,
// and for long-running tasks that must not share a worker with others of their
// step.
//
// Teams share a pool by weighted dominant-resource fairness in two tiers: within
// each class of groups, tasks of teams at or below their share go first, and then
// tasks of the other teams, both with the least remaining work first. In the first
// tier, tasks that keep their team within its share go before those with which it
// exceeds it. No task is placed beyond a team's cap.
//
// Usage:
//
//	for _, pl := range placement.Place(now, groups, workers, teams, pools) { ... }
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
	// Stopping is set if a run of the task is being stopped, so that the task starts on
	// another worker, where room is reserved for it.
	Stopping bool
}

// MaxSpreadWait is how long a long-running task waits for a worker with fewer tasks
// of its step than may be unavailable at a time. A machine that was moved to the
// pool is usable after about 1.6 s.
const MaxSpreadWait = 2 * time.Second

// Group holds the tasks of one step of one job occurrence that may start now.
type Group struct {
	Step weir.TaskRef // identifies the step; its task index is not used
	Spec spec.Step
	Pool weir.PoolName
	// Team is the team of the job; it may be empty.
	Team  weir.TeamName
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
	// EndsBackoff says that the tasks have waited so long that they are also placed on
	// workers in backoff.
	EndsBackoff bool
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
	// InBackoff workers take only tasks of groups with EndsBackoff, and if no other fits.
	InBackoff bool
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

	// reserved is set if the run must not start yet: the task is being stopped elsewhere,
	// or waits for a better worker. Until then, no other task gets its room.
	reserved bool
}

// queued is a group while its tasks are placed.
type queued struct {
	Group
	class int
	// member is nil for a group without a team, and for one whose team is in no
	// configuration.
	member *member
	// placed tells which of Tasks were placed, or skipped, already.
	placed int
	// on counts the step's runs at each worker with those placed in this round,
	// once placing has begun; rack is the rack on which the group should run.
	on   map[weir.InstanceID]int
	rack string
}

// Place returns the runs to start now, most urgent groups first. Teams holds the
// teams of the configuration, and pools what they use of each pool.
func Place(now time.Time, groups []Group, workers []Worker, teams map[weir.TeamName]Team, pools map[weir.PoolName]PoolUse) []Placement {
	ordered := order(now, groups, teams, pools)
	byPool := map[weir.PoolName][]*Worker{}
	for ix := range workers {
		wk := workers[ix]
		byPool[wk.Pool] = append(byPool[wk.Pool], &wk)
	}
	free := make(map[weir.PoolName]*pool, len(byPool))
	for name, list := range byPool {
		free[name] = newPool(list)
	}
	var out []Placement
	for len(ordered) > 0 {
		end := 1
		for end < len(ordered) && ordered[end].class == ordered[0].class {
			end++
		}
		// A round only starts runs, so no task moves to an earlier tier. One pass
		// over the groups therefore places all tasks of a tier.
		left := ordered[:end]
		for ti := withinShare; ti <= aboveShare; ti++ {
			var deferred []*queued
			for _, qd := range left {
				po := free[qd.Pool]
				if po == nil {
					continue
				}
				var later bool
				if out, later = qd.place(now, po, ti, out); later {
					deferred = append(deferred, qd)
				}
			}
			left = deferred
		}
		ordered = ordered[end:]
	}
	return slices.DeleteFunc(out, func(pl Placement) bool { return pl.reserved })
}

// order returns the groups in the order in which they are placed, apart from the
// shares of teams.
func order(now time.Time, groups []Group, teams map[weir.TeamName]Team, pools map[weir.PoolName]PoolUse) []*queued {
	list := make([]queued, len(groups))
	ordered := make([]*queued, len(groups))
	mbs := members(groups, teams, pools)
	for ix, gr := range groups {
		list[ix] = queued{Group: gr, class: gr.class(now), member: mbs[memberKey{pool: gr.Pool, team: gr.Team}]}
		if gr.Team != "" && list[ix].member == nil {
			list[ix].class += removedTeam
		}
		ordered[ix] = &list[ix]
	}
	slices.SortStableFunc(ordered, func(one, other *queued) int {
		return cmp.Or(
			cmp.Compare(one.class, other.class),
			// Under overload, the job with the least remaining work goes first, so
			// that as many jobs as possible meet their objective.
			cmp.Compare(one.RemainingWork, other.RemainingWork),
			one.StartBy.Compare(other.StartBy),
			cmp.Compare(one.Step.Job, other.Step.Job),
			cmp.Compare(one.Step.Step, other.Step.Step),
		)
	})
	return ordered
}

// Classes of groups: long-running tasks, steps in time, steps that are late. Each
// of the last two is followed by the priorities. removedTeam is added to the class
// of groups whose team is in no configuration, which go after all others.
const (
	lateClass   = 1000
	removedTeam = 1_000_000
)

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
		return lateClass + gr.Priority
	}
}

// place places the group's remaining tasks of a tier and appends their placements to
// out. It reports true if tasks of a later tier are left.
func (qd *queued) place(now time.Time, po *pool, ti tier, out []Placement) (placements []Placement, deferred bool) {
	gr := qd.Group
	need, reserved := gr.Spec.Resources, gr.Spec.Reserved()
	if gr.Spec.Gang {
		need, reserved = need.Multiple(len(gr.Tasks)), reserved.Multiple(len(gr.Tasks))
	}
	for ; qd.placed < len(gr.Tasks); qd.placed++ {
		switch {
		case !qd.member.mayStart(need):
			return out, false
		case qd.member.tier(reserved) > ti:
			return out, true
		case qd.on == nil && !qd.begin(po):
			return out, false
		case gr.Spec.Gang:
			return qd.placeGang(now, po, out), false
		}
		tk := gr.Tasks[qd.placed]
		wk := po.choose(now, gr, tk, qd.on, qd.rack)
		if wk == nil && tk.Suspect {
			continue
		}
		if wk == nil {
			break
		}
		reserved := tk.Stopping || qd.waitsForSpread(now, wk, tk)
		qd.member.start(gr.Spec)
		out = append(out, qd.reserve(po, wk, tk, reserved))
	}
	return out, false
}

// begin prepares the placing of tasks; it reports false if no worker accepts one.
func (qd *queued) begin(po *pool) bool {
	gr := qd.Group
	if !gr.anyOrder(gr.Tasks[0], "") && !slices.ContainsFunc(po.workers, func(wk *Worker) bool { return wk.accepts(gr, gr.RunsByWorker) }) {
		return false
	}
	qd.on = maps.Clone(gr.RunsByWorker)
	if qd.on == nil {
		qd.on = map[weir.InstanceID]int{}
	}
	qd.rack = chooseRack(gr, po.workers)
	return true
}

// waitsForSpread reports whether a task waits for a worker with fewer tasks of its
// step than the given one.
func (qd *queued) waitsForSpread(now time.Time, wk *Worker, tk Task) bool {
	return qd.exceedsMaxUnavailable(qd.on[wk.ID]) && tk.waitsForSpread(now)
}

// reserve places a task on a worker, or only reserves room for it there.
func (qd *queued) reserve(po *pool, wk *Worker, tk Task, only bool) Placement {
	po.reserve(wk, qd.Group, tk)
	qd.on[wk.ID]++
	return Placement{Task: qd.ref(tk), Run: tk.Run, Worker: wk.ID, Incarnation: wk.Incarnation, reserved: only}
}

// placeGang places all tasks of a gang or none.
func (qd *queued) placeGang(now time.Time, po *pool, out []Placement) []Placement {
	before := make([]Worker, len(po.workers))
	for ix, wk := range po.workers {
		before[ix] = *wk
	}
	for ix, tk := range qd.Tasks {
		wk := po.choose(now, qd.Group, tk, qd.on, qd.rack)
		if wk == nil || qd.waitsForSpread(now, wk, tk) {
			for ix, wk := range po.workers {
				*wk = before[ix]
			}
			po.sort()
			return out[:len(out)-ix]
		}
		out = append(out, qd.reserve(po, wk, tk, false))
	}
	for range qd.Tasks {
		qd.member.start(qd.Spec)
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

// Refusal is why a worker takes no task of a group now.
type Refusal string

// The refusals; Accepted is none.
const (
	Accepted         Refusal = ""
	RefusedPool      Refusal = "another pool"
	RefusedIsolation Refusal = "reserved for a suspect task"
	RefusedBackoff   Refusal = "in backoff"
	RefusedPolicy    Refusal = "not allowed by the adviser"
	RefusedLabel     Refusal = "another kind or rack"
	RefusedLimit     Refusal = "limit of tasks on a worker"
	RefusedRoom      Refusal = "no room"
)

// Refusal returns why the worker takes no task of a group now.
func (wk *Worker) Refusal(gr Group) Refusal {
	if wk.Pool != gr.Pool {
		return RefusedPool
	}
	return wk.refusal(gr, gr.RunsByWorker)
}

func (wk *Worker) refusal(gr Group, on map[weir.InstanceID]int) Refusal {
	st := gr.Spec
	if wk.ReservedFor != "" && wk.ReservedFor != gr.Step.Job {
		return RefusedIsolation
	}
	if wk.InBackoff && !gr.EndsBackoff {
		return RefusedBackoff
	}
	if _, ok := gr.AllowedWorkers[wk.ID]; gr.AllowedWorkers != nil && !ok {
		return RefusedPolicy
	}
	if st.Label != "" && st.Label != wk.Kind && st.Label != wk.Rack {
		return RefusedLabel
	}
	if st.MaxPerWorker > 0 && on[wk.ID] >= st.MaxPerWorker {
		return RefusedLimit
	}
	if !st.Reserved().Fits(wk.Free) {
		return RefusedRoom
	}
	return Accepted
}

func (wk *Worker) accepts(gr Group, on map[weir.InstanceID]int) bool {
	return wk.refusal(gr, on) == Accepted
}

// Fits reports whether one of the workers accepts a task of the group.
func Fits(gr Group, workers []Worker) bool {
	return slices.ContainsFunc(workers, func(wk Worker) bool { return wk.Refusal(gr) == Accepted })
}

// Without returns the groups with the tasks that the given placements leave.
func Without(groups []Group, placed []Placement) []Group {
	runs := map[weir.TaskRef]weir.InstanceID{}
	for _, pl := range placed {
		runs[pl.Task] = pl.Worker
	}
	var out []Group
	for _, gr := range groups {
		left := gr
		left.Tasks, left.RunsByWorker = nil, map[weir.InstanceID]int{}
		maps.Copy(left.RunsByWorker, gr.RunsByWorker)
		for _, tk := range gr.Tasks {
			if id, ok := runs[gr.ref(tk)]; ok {
				left.RunsByWorker[id]++
				continue
			}
			left.Tasks = append(left.Tasks, tk)
		}
		if len(left.Tasks) > 0 {
			out = append(out, left)
		}
	}
	return out
}

// Reserve returns the workers with what the given placements of the groups' tasks leave
// free.
func Reserve(workers []Worker, groups []Group, placed []Placement) []Worker {
	steps := map[weir.TaskRef]spec.Step{}
	for _, gr := range groups {
		steps[gr.Step] = gr.Spec
	}
	out, at := slices.Clone(workers), make(map[weir.InstanceID]int, len(workers))
	for ix, wk := range out {
		at[wk.ID] = ix
	}
	for _, pl := range placed {
		out[at[pl.Worker]].reserve(steps[pl.Task.StepRef()])
	}
	return out
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
	return waited >= 0 && waited < MaxSpreadWait
}

// avoided reports whether other workers are preferred.
func (wk *Worker) avoided() bool { return wk.Suspect || wk.InBackoff || len(wk.SuspectJobs) > 0 }

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
