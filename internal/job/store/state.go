package store

import (
	"time"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// Phase is where a job is in its life.
type Phase string

// The phases of a job.
const (
	Queued    Phase = "queued"
	Running   Phase = "running"
	Done      Phase = "done"
	Failed    Phase = "failed"
	Cancelled Phase = "cancelled"
)

// Terminal reports whether the job has ended.
func (ph Phase) Terminal() bool { return ph == Done || ph == Failed || ph == Cancelled }

// Task is what is known of one task.
type Task struct {
	// Run is the number of the latest run, 0 before the first.
	Run int `json:"r,omitempty"`
	// Worker and Born name where the run is, while it is not over.
	Worker      weir.InstanceID `json:"w,omitempty"`
	Incarnation int64           `json:"b,omitempty"`
	Done        bool            `json:"d,omitempty"`
	// Failures counts the runs that ended as failed, and FailedRun is the last
	// of them; a gang's are kept with its first task.
	Failures  int `json:"f,omitempty"`
	FailedRun int `json:"fr,omitempty"`
	// Checkpoint is where the next run resumes.
	Checkpoint string `json:"cp,omitempty"`
	// StartedAt is when the latest run was ordered, EndedAt when it ended.
	StartedAt time.Time `json:"sa,omitzero"`
	EndedAt   time.Time `json:"ea,omitzero"`
}

// Placed reports whether a run of the task may be at a worker.
func (tk *Task) Placed() bool { return tk.Worker != "" }

// StepState holds the tasks of one step of one occurrence.
type StepState struct {
	Tasks []Task `json:"t"`
	// TasksLeft counts the tasks that are not done.
	TasksLeft int `json:"l"`
}

// JobState is what is known of one job.
type JobState struct {
	Spec     spec.Job  `json:"spec"`
	Accepted time.Time `json:"at"`
	Phase    Phase     `json:"phase"`
	// Started says that a run of some task was ordered.
	Started bool `json:"begun,omitempty"`
	// Occurrences holds the steps of each occurrence; nil when it is over.
	Occurrences [][]StepState `json:"rounds,omitempty"`
	// OccurrencesLeft counts the occurrences that are not done.
	OccurrencesLeft int       `json:"left"`
	Ended           time.Time `json:"ended,omitzero"`
	// Placed counts the runs that may be at workers.
	Placed int `json:"placed,omitempty"`
}

// Task returns a task, nil where there is none.
func (js *JobState) Task(rf spec.TaskRef) *Task {
	if rf.Occurrence >= len(js.Occurrences) || rf.Step >= len(js.Spec.Steps) || js.Occurrences[rf.Occurrence] == nil {
		return nil
	}
	st := &js.Occurrences[rf.Occurrence][rf.Step]
	if rf.Index < 0 || rf.Index >= len(st.Tasks) {
		return nil
	}
	return &st.Tasks[rf.Index]
}

// Checkpoint returns where the next run of a task resumes. All members of a
// gang resume from the same.
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

// GangComplete reports whether a run may do useful work: a member of a gang does
// nothing unless all others of its run are at workers too.
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

// MayNeedPlacement reports whether a task of an occurrence may have to be placed.
func (js *JobState) MayNeedPlacement() bool {
	if js.OccurrencesLeft > 1 {
		return true
	}
	left := 0
	for _, round := range js.Occurrences {
		for sp := range round {
			if js.Spec.Steps[sp].Gang {
				return true // members that are placed may be done
			}
			left += round[sp].TasksLeft
		}
	}
	return left > js.Placed
}

// StepReady reports whether all steps before a step are done.
func (js *JobState) StepReady(occurrence, step int) bool {
	for _, before := range js.Spec.Steps[step].After {
		if js.Occurrences[occurrence][before].TasksLeft > 0 {
			return false
		}
	}
	return true
}

// state is the whole replicated state.
type state struct {
	Index   uint64                                        `json:"index"`
	Packed  catalog.Packed                                `json:"catalog"`
	Jobs    map[spec.JobID]*JobState                      `json:"jobs"`
	Workers map[weir.InstanceID]*Worker                   `json:"workers"`
	Waves   map[int64]*Wave                               `json:"waves"`
	Orders  map[string]*MachineOperation                  `json:"orders"`
	Active  map[spec.JobID]bool                           `json:"-"`
	ByQueue map[string]map[spec.JobID]bool                `json:"-"`
	Runs    map[weir.InstanceID]map[RunKey]spec.Resources `json:"-"`
	Loads   map[weir.InstanceID]WorkerLoad                `json:"-"`
	// Catalog is what Packed holds, and Queues its queues by key.
	Catalog catalog.Catalog          `json:"-"`
	Queues  map[string]catalog.Queue `json:"-"`
	// WorkerChanges counts the changes of workers that this member applied.
	WorkerChanges uint64 `json:"-"`
}

// WorkerLoad sums up the runs that may be at a worker.
type WorkerLoad struct {
	// Used is the room that they take.
	Used spec.Resources
	// Serving counts the lasting tasks that serve users, BestEffort those that use
	// what others leave.
	Serving, BestEffort int
	// LongRunning and Batch count all that last and all that end by themselves.
	LongRunning, Batch int
}

// with returns the load with count more runs of a step.
func (wl WorkerLoad) with(step spec.Step, count int) WorkerLoad {
	need := step.Reserved()
	wl.Used = wl.Used.Plus(spec.Resources{MilliCPU: count * need.MilliCPU, MemoryMB: count * need.MemoryMB, GPU: count * need.GPU})
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

// RunKey names one run of one task.
type RunKey = weir.RunKey

func newState() *state {
	st := &state{
		Jobs: map[spec.JobID]*JobState{}, Workers: map[weir.InstanceID]*Worker{},
		Waves: map[int64]*Wave{}, Orders: map[string]*MachineOperation{},
	}
	st.index()
	return st
}

// index rebuilds what follows from the rest.
func (st *state) index() {
	st.Active = map[spec.JobID]bool{}
	st.ByQueue = map[string]map[spec.JobID]bool{}
	st.Runs = map[weir.InstanceID]map[RunKey]spec.Resources{}
	st.Loads = map[weir.InstanceID]WorkerLoad{}
	st.indexQueues()
	for id, js := range st.Jobs {
		if js.Occurrences != nil {
			st.Active[id] = true
		}
		st.addToQueue(js)
		for oc, round := range js.Occurrences {
			for sp := range round {
				for ix := range round[sp].Tasks {
					tk := &round[sp].Tasks[ix]
					if tk.Placed() {
						st.addRun(js, spec.TaskRef{Job: id, Occurrence: oc, Step: sp, Index: ix}, tk)
					}
				}
			}
		}
	}
}

func (st *state) indexQueues() {
	st.Queues = make(map[string]catalog.Queue, len(st.Catalog.Queues))
	for _, qu := range st.Catalog.Queues {
		st.Queues[qu.Key()] = qu
	}
}

func (st *state) addToQueue(js *JobState) {
	if js.Started || js.Phase.Terminal() {
		return
	}
	jobs := st.ByQueue[js.Spec.Queue]
	if jobs == nil {
		jobs = map[spec.JobID]bool{}
		st.ByQueue[js.Spec.Queue] = jobs
	}
	jobs[js.Spec.ID] = true
}

func (st *state) leaveQueue(js *JobState) { delete(st.ByQueue[js.Spec.Queue], js.Spec.ID) }

func (st *state) addRun(js *JobState, rf spec.TaskRef, tk *Task) {
	runs := st.Runs[tk.Worker]
	if runs == nil {
		runs = map[RunKey]spec.Resources{}
		st.Runs[tk.Worker] = runs
	}
	step := js.Spec.Steps[rf.Step]
	runs[RunKey{Task: rf, Run: tk.Run}] = step.Reserved()
	st.Loads[tk.Worker] = st.Loads[tk.Worker].with(step, 1)
}

func (st *state) dropRun(js *JobState, rf spec.TaskRef, tk *Task) {
	delete(st.Runs[tk.Worker], RunKey{Task: rf, Run: tk.Run})
	st.Loads[tk.Worker] = st.Loads[tk.Worker].with(js.Spec.Steps[rf.Step], -1)
}
