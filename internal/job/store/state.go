package store

import (
	"cmp"
	"slices"
	"time"

	"greengageweir/internal/common/invariant"
	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// Phase is a phase of the lifecycle of a job.
type Phase string

// The phases of a job.
const (
	Queued    Phase = "queued"
	Running   Phase = "running"
	Done      Phase = "done"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// Terminal reports whether a job in this phase has ended.
func (ph Phase) Terminal() bool { return ph == Done || ph == Failed || ph == Cancelled }

// Task is the state of one task.
type Task struct {
	// Run is the number of the latest run, 0 before the first.
	Run int `json:"r,omitempty"`
	// Worker and Incarnation identify the worker of the latest run until its end
	// is recorded.
	Worker      weir.InstanceID `json:"w,omitempty"`
	Incarnation int64           `json:"b,omitempty"`
	// Answered says that the order to start the latest run was answered.
	Answered bool `json:"an,omitempty"`
	Done     bool `json:"d,omitempty"`
	// Failures counts the failed runs, and FailedRun is the number of the last
	// one. The first task of a gang holds them for the whole gang.
	Failures  int `json:"f,omitempty"`
	FailedRun int `json:"fr,omitempty"`
	// Checkpoint is the checkpoint that the next run resumes from.
	Checkpoint string `json:"cp,omitempty"`
	// Crashes counts the workers that have crashed right after they started the
	// task, UnconfirmedCrashes those that did before they confirmed its start.
	// CrashedRun is the last run that counted.
	Crashes            int `json:"cr,omitempty"`
	UnconfirmedCrashes int `json:"ucr,omitempty"`
	CrashedRun         int `json:"crr,omitempty"`
	// StartedAt is when the start of the latest run was committed, EndedAt when
	// its end was.
	StartedAt time.Time `json:"sa,omitzero"`
	EndedAt   time.Time `json:"ea,omitzero"`
}

// Placed reports whether a run of the task may be on a worker.
func (tk *Task) Placed() bool { return tk.Worker != "" }

// Suspect reports whether the task may have crashed a worker.
func (tk *Task) Suspect() bool { return tk.Crashes+tk.UnconfirmedCrashes > 0 }

// WaitingSince returns since when a task without a run waits, if its step was
// ready at the given time.
func (tk *Task) WaitingSince(ready time.Time) time.Time {
	if tk.EndedAt.After(ready) {
		return tk.EndedAt
	}
	return ready
}

// StepState holds the tasks of one step of one occurrence.
type StepState struct {
	Tasks []Task `json:"t"`
	// TasksLeft is the number of tasks that are not done.
	TasksLeft int `json:"l"`
}

// JobState is the state of one job.
type JobState struct {
	Spec     spec.Job  `json:"spec"`
	Accepted time.Time `json:"at"`
	Phase    Phase     `json:"phase"`
	// Started says that the start of some task was committed.
	Started bool `json:"begun,omitempty"`
	// Occurrences holds the steps of each occurrence. It is nil once the job has
	// ended and no run of it is left on a worker.
	Occurrences [][]StepState `json:"rounds,omitempty"`
	// OccurrencesLeft is the number of occurrences that are not done.
	OccurrencesLeft int       `json:"left"`
	Ended           time.Time `json:"ended,omitzero"`
	// Placed is the number of runs that may be on workers.
	Placed int `json:"placed,omitempty"`
	// Begun says that some run has ended in another way than by being lost or refused,
	// so that it was certainly at work.
	Begun bool `json:"ran,omitempty"`
	// Cancelled says that the caller has cancelled the job, also if it had failed
	// before.
	Cancelled bool `json:"cancelled,omitempty"`

	// left is the unfinished work that TeamJobs counts for the job.
	left spec.Work
	// weight is what the state's Weight counts for the job.
	weight int64
}

// Live reports whether tasks of a step go on: those of a job that has not ended and,
// until the caller cancels it, the long-running tasks of a job that has failed, if
// only some of them may be unavailable at a time. Stopping them is up to the caller.
func (js *JobState) Live(step spec.Step) bool {
	if js.Phase == Failed && !js.Cancelled {
		return step.LongRunning && step.MaxUnavailable > 0
	}
	return !js.Phase.Terminal()
}

// Wants reports whether a run that may be on a worker is to go on.
func (js *JobState) Wants(key RunKey) bool {
	return js.Live(js.Spec.Steps[key.Task.Step]) && !js.Task(key.Task).Done && js.GangComplete(key)
}

// Task returns a task, or nil if there is none. The numbers of the reference may be
// any, since references come from workers.
func (js *JobState) Task(rf spec.TaskRef) *Task {
	if !inRange(rf.Occurrence, js.Occurrences) || !inRange(rf.Step, js.Occurrences[rf.Occurrence]) {
		return nil
	}
	tasks := js.Occurrences[rf.Occurrence][rf.Step].Tasks
	if !inRange(rf.Index, tasks) {
		return nil
	}
	return &tasks[rf.Index]
}

func inRange[T any](index int, list []T) bool { return index >= 0 && index < len(list) }

// Checkpoint returns the checkpoint that the next run of a task resumes from.
// All members of a gang resume from the same checkpoint.
func (js *JobState) Checkpoint(rf spec.TaskRef) string {
	if !js.Spec.Steps[rf.Step].Gang {
		return js.Task(rf).Checkpoint
	}
	for ix := range js.Occurrences[rf.Occurrence][rf.Step].Tasks {
		if cp := js.Occurrences[rf.Occurrence][rf.Step].Tasks[ix].Checkpoint; cp != "" {
			return cp
		}
	}
	return ""
}

// GangComplete reports whether a run can make progress: a member of a gang is
// idle until all members are on workers with the same run number. It is always
// true for other tasks.
func (js *JobState) GangComplete(key RunKey) bool {
	if !js.Spec.Steps[key.Task.Step].Gang {
		return true
	}
	tasks := js.Occurrences[key.Task.Occurrence][key.Task.Step].Tasks
	for ix := range tasks {
		if !tasks[ix].Placed() || tasks[ix].Run != key.Run {
			return false
		}
	}
	return true
}

// MayNeedPlacement reports whether some task of the job may have to be placed.
func (js *JobState) MayNeedPlacement() bool {
	if js.OccurrencesLeft > 1 {
		return true
	}
	left := 0
	for _, steps := range js.Occurrences {
		for sp := range steps {
			if js.Spec.Steps[sp].Gang {
				return true // Placed also counts members that are done already.
			}
			left += steps[sp].TasksLeft
		}
	}
	return left > js.Placed
}

// StepReady reports whether all steps that a step depends on are done.
func (js *JobState) StepReady(occurrence, step int) bool {
	for _, before := range js.Spec.Steps[step].After {
		if js.Occurrences[occurrence][before].TasksLeft > 0 {
			return false
		}
	}
	return true
}

// ReadySince returns since when the steps that a step depends on are done.
func (js *JobState) ReadySince(occurrence, step int) time.Time {
	since := js.Accepted
	if due := js.Spec.DueAt(occurrence); due.After(since) {
		since = due
	}
	for _, before := range js.Spec.Steps[step].After {
		for ix := range js.Occurrences[occurrence][before].Tasks {
			if ended := js.Occurrences[occurrence][before].Tasks[ix].EndedAt; ended.After(since) {
				since = ended
			}
		}
	}
	return since
}

// state is the complete replicated state. Fields without a name in JSON are
// indexes that are rebuilt from the others.
type state struct {
	Index             uint64                       `json:"index"`
	Packed            catalog.Packed               `json:"catalog"`
	Jobs              map[spec.JobID]*JobState     `json:"jobs"`
	Workers           map[weir.InstanceID]*Worker  `json:"workers"`
	Waves             map[int64]*Wave              `json:"waves"`
	MachineOperations map[string]*MachineOperation `json:"orders"`
	// Departed holds the last incarnation of workers that have left, so that a
	// delayed announcement does not bring one back.
	Departed map[weir.InstanceID]departure `json:"departed,omitempty"`
	// Lapsed holds the runs that were lost when a worker's lease lapsed, by
	// machine, until the machine's next worker tells whether it had crashed.
	Lapsed map[string]lapse `json:"lapsed,omitempty"`
	// Removed holds the queues, by key, that the configuration in force lacks, but that have
	// jobs which go on, as they were configured last.
	Removed map[string]catalog.Queue `json:"removed,omitempty"`
	// Suspects holds the active jobs with a task under which a worker has crashed.
	Suspects map[spec.JobID]bool                           `json:"-"`
	Active   map[spec.JobID]bool                           `json:"-"`
	ByQueue  map[string]map[spec.JobID]bool                `json:"-"`
	Runs     map[weir.InstanceID]map[RunKey]spec.Resources `json:"-"`
	Loads    map[weir.InstanceID]WorkerLoad                `json:"-"`
	// Catalog is Packed in its unpacked form, and Queues holds its queues by key.
	Catalog catalog.Catalog          `json:"-"`
	Queues  map[string]catalog.Queue `json:"-"`
	// Teams holds the configuration's teams by name, TeamsByKey their names by the
	// hashes of their keys.
	Teams      map[weir.TeamName]catalog.Team    `json:"-"`
	TeamsByKey map[catalog.KeyHash]weir.TeamName `json:"-"`
	// TeamUse is what the runs of each team that may be on workers request.
	TeamUse map[weir.TeamName]spec.Resources `json:"-"`
	// TeamLoads holds what the runs that may be on each worker reserve by team, in
	// the order of the teams' names.
	TeamLoads map[weir.InstanceID][]TeamLoad `json:"-"`
	// TeamJobs holds the work of each team with active jobs.
	TeamJobs map[weir.TeamName]*teamJobs `json:"-"`
	// Weight is the sum of the weights of all jobs, in bytes.
	Weight int64 `json:"-"`
	// WorkerRevision counts the changes of workers that this replica applied.
	WorkerRevision uint64 `json:"-"`
}

// WorkerLoad holds totals of the runs that may be on a worker.
type WorkerLoad struct {
	// Used is the sum of the resources that they reserve.
	Used spec.Resources
	// Serving counts the long-running tasks with reserved processor time,
	// BestEffort the tasks without.
	Serving, BestEffort int
	// LongRunning counts the tasks that run until cancelled, Batch all others.
	LongRunning, Batch int
}

// add returns the load with count more runs of a step; count may be negative.
func (wl WorkerLoad) add(step spec.Step, count int) WorkerLoad {
	reserved := step.Reserved()
	wl.Used = wl.Used.Plus(spec.Resources{MilliCPU: count * reserved.MilliCPU, MemoryMB: count * reserved.MemoryMB, GPU: count * reserved.GPU})
	switch {
	case step.BestEffort:
		wl.BestEffort += count
	case step.LongRunning:
		wl.Serving += count
	}
	if step.LongRunning {
		wl.LongRunning += count
	} else {
		wl.Batch += count
	}
	return wl
}

// TeamLoad is what the runs of one team that may be on a worker reserve.
type TeamLoad struct {
	Team weir.TeamName
	Used spec.Resources
	Runs int
}

// addTeamLoad counts sign more runs of a step on a worker for a team; sign is 1 or
// -1.
func (st *state) addTeamLoad(worker weir.InstanceID, team weir.TeamName, step spec.Step, sign int) {
	loads := st.TeamLoads[worker]
	at, ok := slices.BinarySearchFunc(loads, team, func(tl TeamLoad, team weir.TeamName) int { return cmp.Compare(tl.Team, team) })
	if !ok {
		loads = slices.Insert(loads, at, TeamLoad{Team: team})
	}
	loads[at].Used = loads[at].Used.Plus(step.Reserved().Multiple(sign))
	if loads[at].Runs += sign; loads[at].Runs == 0 {
		loads = slices.Delete(loads, at, at+1)
	}
	st.TeamLoads[worker] = loads
	if len(loads) == 0 {
		delete(st.TeamLoads, worker)
	}
}

// RunKey identifies one run of one task.
type RunKey = weir.RunKey

func newState() *state {
	st := &state{
		Jobs: map[spec.JobID]*JobState{}, Workers: map[weir.InstanceID]*Worker{},
		Waves: map[int64]*Wave{}, MachineOperations: map[string]*MachineOperation{}, Departed: map[weir.InstanceID]departure{}, Lapsed: map[string]lapse{},
	}
	st.rebuildIndexes()
	return st
}

// rebuildIndexes derives the fields that a snapshot does not hold, and creates the maps
// that it leaves out.
func (st *state) rebuildIndexes() {
	for _, wv := range st.Waves {
		if wv.Started == nil {
			wv.Started = map[string]bool{}
		}
	}
	st.Active = map[spec.JobID]bool{}
	st.Suspects = map[spec.JobID]bool{}
	if st.Lapsed == nil {
		st.Lapsed = map[string]lapse{}
	}
	st.ByQueue = map[string]map[spec.JobID]bool{}
	st.Runs = map[weir.InstanceID]map[RunKey]spec.Resources{}
	st.Loads = map[weir.InstanceID]WorkerLoad{}
	st.TeamUse = map[weir.TeamName]spec.Resources{}
	st.TeamLoads = map[weir.InstanceID][]TeamLoad{}
	st.TeamJobs = map[weir.TeamName]*teamJobs{}
	st.rebuildQueues()
	st.Weight = 0
	for id, js := range st.Jobs {
		st.setWeight(js, currentWeight(js))
		if js.Occurrences != nil {
			st.Active[id] = true
		}
		st.setWorkLeft(js, js.estimatedWorkLeft())
		st.addToQueue(js)
		for oc, steps := range js.Occurrences {
			for sp := range steps {
				for ix := range steps[sp].Tasks {
					tk := &steps[sp].Tasks[ix]
					if tk.Suspect() {
						st.Suspects[id] = true
					}
					if tk.Placed() {
						st.addRun(js, spec.TaskRef{Job: id, Occurrence: oc, Step: sp, Index: ix}, tk)
					}
				}
			}
		}
	}
}

// queue returns a queue of the configuration, or one that was removed and has jobs that go on.
func (st *state) queue(key string) (catalog.Queue, bool) {
	if qu, ok := st.Queues[key]; ok {
		return qu, true
	}
	qu, ok := st.Removed[key]
	return qu, ok
}

// keepRemoved keeps the queues of the active jobs that the new configuration lacks.
func (st *state) keepRemoved(before map[string]catalog.Queue) {
	removed := map[string]catalog.Queue{}
	for id := range st.Active {
		key := st.Jobs[id].Spec.Queue
		if _, ok := st.Queues[key]; ok {
			continue
		}
		if qu, ok := before[key]; ok {
			removed[key] = qu
		} else if qu, ok := st.Removed[key]; ok {
			removed[key] = qu
		}
	}
	st.Removed = removed
}

func (st *state) rebuildQueues() {
	st.Queues = make(map[string]catalog.Queue, len(st.Catalog.Queues))
	for _, qu := range st.Catalog.Queues {
		st.Queues[qu.Key()] = qu
	}
	st.Teams = make(map[weir.TeamName]catalog.Team, len(st.Catalog.Teams))
	st.TeamsByKey = map[catalog.KeyHash]weir.TeamName{}
	for _, tm := range st.Catalog.Teams {
		st.Teams[tm.Name] = tm
		for _, hash := range tm.KeyHashes {
			st.TeamsByKey[hash] = tm.Name
		}
	}
}

// addToQueue counts a job as pending if no run of it is, or certainly was, at work.
func (st *state) addToQueue(js *JobState) {
	if js.Placed > 0 || js.Begun || js.Phase.Terminal() {
		return
	}
	jobs := st.ByQueue[js.Spec.Queue]
	if jobs == nil {
		jobs = map[spec.JobID]bool{}
		st.ByQueue[js.Spec.Queue] = jobs
	}
	if !jobs[js.Spec.ID] {
		jobs[js.Spec.ID] = true
		st.countPending(js.Spec.Team, 1)
	}
}

func (st *state) removeFromQueue(js *JobState) {
	if jobs := st.ByQueue[js.Spec.Queue]; jobs[js.Spec.ID] {
		delete(jobs, js.Spec.ID)
		st.countPending(js.Spec.Team, -1)
	}
}

func (st *state) addRun(js *JobState, rf spec.TaskRef, tk *Task) {
	runs := st.Runs[tk.Worker]
	if runs == nil {
		runs = map[RunKey]spec.Resources{}
		st.Runs[tk.Worker] = runs
	}
	step := js.Spec.Steps[rf.Step]
	runs[RunKey{Task: rf, Run: tk.Run}] = step.Reserved()
	st.Loads[tk.Worker] = st.Loads[tk.Worker].add(step, 1)
	if tm := js.Spec.Team; tm != "" {
		st.TeamUse[tm] = st.TeamUse[tm].Plus(step.Resources)
		st.addTeamLoad(tk.Worker, tm, step, 1)
	}
}

func (st *state) removeRun(js *JobState, rf spec.TaskRef, tk *Task) {
	delete(st.Runs[tk.Worker], RunKey{Task: rf, Run: tk.Run})
	step := js.Spec.Steps[rf.Step]
	st.Loads[tk.Worker] = st.Loads[tk.Worker].add(step, -1)
	if tm := js.Spec.Team; tm != "" {
		use := st.TeamUse[tm].Minus(step.Resources)
		invariant.Check(use.MilliCPU >= 0 && use.MemoryMB >= 0 && use.GPU >= 0, "teamUseNotNegative", "team", tm, "use", use)
		st.TeamUse[tm] = use
		st.addTeamLoad(tk.Worker, tm, step, -1)
		if st.TeamUse[tm] == (spec.Resources{}) {
			delete(st.TeamUse, tm)
		}
	}
}
