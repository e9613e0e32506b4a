// Package store is the replicated state machine of jobs, workers, configuration
// and maintenance: the same log entries give the same state on every replica.
// It does not decide where tasks run, but it refuses changes that would break a
// guarantee, such as a second concurrent run of a task.
//
// Usage:
//
//	st := store.New()
//	nd := &node.Node{Machine: st, ...}
//	data, err := store.Entry{At: now, Changes: changes}.Encode()
//	results, err := nd.Propose(ctx, data)       // one Result for each change
//	st.Read(func(rd store.Reader) { ... })      // consistent, must not block
package store

import (
	"encoding/json"
	"sync"
	"time"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/common/invariant"
	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// KindFormat means that an entry or a snapshot cannot be decoded or encoded.
const KindFormat Kind = "unreadable"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// Result is the result of applying one change.
type Result struct {
	// Applied says that the state contains the change.
	Applied bool
	// Reason says why the change was refused, or "known" if the state contained
	// it before.
	Reason string
	// CrashedRuns counts the runs under which the change showed a worker to have
	// crashed, GivenUp holds the jobs that have failed for it.
	CrashedRuns int
	GivenUp     []spec.JobID
}

var applied = Result{Applied: true}

func refused(reason string) Result { return Result{Reason: reason} }

// Store is the state machine of the replicated log. It is safe for concurrent
// use.
type Store struct {
	// OnApplied is called after each entry and each restored snapshot, without the
	// lock held; it may be nil.
	OnApplied func()
	// Clock timestamps the machine operations that this replica applies; nil
	// disables the timestamps.
	Clock weir.Clock

	mu sync.RWMutex
	st *state
	// operationSeenAt holds when this replica last applied an operation on each
	// machine, and restoredAt when it last restored a snapshot.
	operationSeenAt map[string]time.Time
	restoredAt      time.Time
}

// New returns an empty store.
func New() *Store { return &Store{st: newState(), operationSeenAt: map[string]time.Time{}} }

// Encode returns the entry in the log's format.
func (en Entry) Encode() ([]byte, error) {
	data, err := json.Marshal(en)
	if err != nil {
		return nil, &Error{Op: "encode entry", Kind: KindFormat, Err: err}
	}
	return data, nil
}

// Apply implements node.StateMachine; it returns a []Result.
func (sr *Store) Apply(index uint64, data []byte) any {
	var en Entry
	if err := json.Unmarshal(data, &en); err != nil {
		invariant.Check(false, "entryReadable", "index", index, "err", err)
		sr.Skip(index)
		return []Result(nil)
	}
	answers := make([]Result, len(en.Changes))
	sr.mu.Lock()
	sr.st.Index = index
	for ix := range en.Changes {
		answers[ix] = sr.st.apply(en.At, &en.Changes[ix])
		if op := en.Changes[ix].Machine; op != nil && sr.Clock != nil {
			sr.operationSeenAt[op.Machine] = sr.Clock.Now()
		}
	}
	sr.mu.Unlock()
	if sr.OnApplied != nil {
		sr.OnApplied()
	}
	return answers
}

// Skip implements node.StateMachine.
func (sr *Store) Skip(index uint64) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.st.Index = index
}

// Snapshot implements node.StateMachine.
func (sr *Store) Snapshot() ([]byte, error) {
	sr.mu.RLock()
	defer sr.mu.RUnlock()
	data, err := json.Marshal(sr.st)
	if err != nil {
		return nil, &Error{Op: "snapshot", Kind: KindFormat, Err: err}
	}
	return data, nil
}

// Restore implements node.StateMachine.
func (sr *Store) Restore(index uint64, data []byte) error {
	st := newState()
	if err := json.Unmarshal(data, st); err != nil {
		return &Error{Op: "restore", Kind: KindFormat, Err: err}
	}
	if len(st.Packed.Data) > 0 {
		ct, err := st.Packed.Unpack()
		if err != nil {
			return &Error{Op: "restore", Kind: KindFormat, Err: err}
		}
		st.Catalog = ct
	}
	st.Index = index
	st.rebuildIndexes()
	sr.mu.Lock()
	st.WorkerRevision = sr.st.WorkerRevision + 1
	sr.st = st
	if sr.Clock != nil {
		sr.restoredAt = sr.Clock.Now()
	}
	sr.mu.Unlock()
	if sr.OnApplied != nil {
		sr.OnApplied()
	}
	return nil
}

func (st *state) apply(at time.Time, ch *Change) Result {
	switch {
	case ch.Catalog != nil:
		return st.applyCatalog(at, ch.Catalog)
	case ch.Submit != nil:
		return st.applySubmit(at, ch.Submit)
	case ch.Cancel != nil:
		return st.applyCancel(at, *ch.Cancel)
	case ch.Join != nil:
		return st.applyJoin(at, ch.Join)
	case ch.Leave != nil:
		return st.applyLeave(at, ch.Leave)
	case ch.Crash != nil:
		return st.applyCrash(at, ch.Crash)
	case ch.Lapse != nil:
		return st.applyLapse(at, ch.Lapse)
	case ch.Answer != nil:
		return st.applyAnswer(ch.Answer)
	case ch.Restart != nil:
		return st.applyRestart(ch.Restart)
	case ch.Start != nil:
		return st.applyStart(at, ch.Start)
	case ch.End != nil:
		return st.applyEnd(at, ch.End)
	case ch.Forget != nil:
		return st.applyForget(ch.Forget)
	case ch.Wave != nil:
		return st.applyWave(ch.Wave)
	case ch.Machine != nil:
		return st.applyMachine(ch.Machine)
	}
	return refused("empty change")
}

// applyCatalog keeps the highest version; a version that is not higher is
// refused.
func (st *state) applyCatalog(at time.Time, pk *catalog.Packed) Result {
	if pk.Version <= st.Packed.Version {
		return refused("version is not newer")
	}
	ct, err := pk.Unpack()
	if err != nil {
		invariant.Check(false, "catalogReadable", "version", pk.Version, "err", err)
		return refused("unreadable")
	}
	before := st.Queues
	st.Packed, st.Catalog = *pk, ct
	st.rebuildQueues()
	st.keepRemoved(before)
	for id := range st.Active {
		st.failIfExhausted(at, st.Jobs[id])
	}
	return applied
}

// failIfExhausted fails a job with a task that has failed as often as its queue allows
// now.
func (st *state) failIfExhausted(at time.Time, js *JobState) {
	for _, steps := range js.Occurrences {
		for sp := range steps {
			for ix := range steps[sp].Tasks {
				if tk := &steps[sp].Tasks[ix]; !tk.Done && st.exhausted(js, tk) {
					st.endJob(at, js, Failed)
					return
				}
			}
		}
	}
}

// exhausted reports whether a task has failed as often as the job's queue allows.
func (st *state) exhausted(js *JobState, tk *Task) bool {
	qu, ok := st.queue(js.Spec.Queue)
	return ok && tk.Failures >= max(qu.MaxAttempts, 1) && !js.Phase.Terminal()
}

func (st *state) applySubmit(at time.Time, jb *spec.Job) Result {
	if st.Jobs[jb.ID] != nil {
		return Result{Applied: true, Reason: "known"}
	}
	js := &JobState{Spec: *jb, Accepted: at, Phase: Queued, OccurrencesLeft: jb.Occurrences()}
	js.Occurrences = make([][]StepState, jb.Occurrences())
	for oc := range js.Occurrences {
		js.Occurrences[oc] = make([]StepState, len(jb.Steps))
		for sp, step := range jb.Steps {
			js.Occurrences[oc][sp] = StepState{Tasks: make([]Task, step.Count), TasksLeft: step.Count}
		}
	}
	st.Jobs[jb.ID] = js
	st.Active[jb.ID] = true
	st.setWeight(js, currentWeight(js))
	st.setWorkLeft(js, js.estimatedWorkLeft())
	st.addToQueue(js)
	return applied
}

func (st *state) applyCancel(at time.Time, id spec.JobID) Result {
	js := st.Jobs[id]
	if js == nil {
		return refused("unknown job")
	}
	js.Cancelled = true
	if !js.Phase.Terminal() {
		st.endJob(at, js, Cancelled)
	}
	return applied
}

// endJob moves a job to a terminal phase. Runs that may be on workers are kept
// until their end is recorded.
func (st *state) endJob(at time.Time, js *JobState, ph Phase) {
	js.Phase = ph
	js.Ended = at
	st.setWorkLeft(js, spec.Work{})
	st.removeFromQueue(js)
	st.dropDetails(js)
}

// dropDetails removes the steps and the text of a job that has ended, once no
// run of it is left on a worker.
func (st *state) dropDetails(js *JobState) {
	if !js.Phase.Terminal() || js.Placed > 0 {
		return
	}
	js.Occurrences = nil
	js.Spec.Text = ""
	js.Spec.Steps = nil
	st.setWeight(js, currentWeight(js))
	delete(st.Active, js.Spec.ID)
	delete(st.Suspects, js.Spec.ID)
}

func (st *state) applyForget(ids []spec.JobID) Result {
	for _, id := range ids {
		if js := st.Jobs[id]; js != nil && js.Phase.Terminal() && js.Placed == 0 {
			st.setWeight(js, 0)
			delete(st.Jobs, id)
		}
	}
	return applied
}

func (st *state) applyStart(at time.Time, sa *RunStart) Result {
	js := st.Jobs[sa.Task.Job]
	if js == nil || js.Phase.Terminal() {
		return refused("job has ended")
	}
	tk := js.Task(sa.Task)
	wk := st.Workers[sa.Worker]
	switch {
	case tk == nil:
		return refused("no such task")
	case tk.Done || !isNextRun(js.Spec.Steps[sa.Task.Step], tk.Run, sa.Run):
		return refused("not the next run")
	case tk.Placed():
		// Speculative runs are not supported yet, so this applies to all steps.
		return refused("the previous run has not ended")
	case wk == nil || wk.Incarnation != sa.Incarnation:
		return refused("worker incarnation is not registered")
	case wk.Draining:
		return refused("worker is draining")
	case !js.StepReady(sa.Task.Occurrence, sa.Task.Step):
		return refused("an earlier step is not done")
	case !st.withinCap(js, sa.Task):
		return refused("the team's cap is reached")
	}
	tk.Run, tk.Worker, tk.Incarnation, tk.StartedAt, tk.Answered = sa.Run, sa.Worker, sa.Incarnation, at, false
	js.Placed++
	st.addRun(js, sa.Task, tk)
	st.removeFromQueue(js)
	if !js.Started {
		js.Started = true
		js.Phase = Running
	}
	return applied
}

// withinCap reports whether the start of a task keeps its team's use within the cap.
// A gang counts with all its members that are not placed: the starts of its members
// are separate changes of one entry, so that the first of them admits or refuses the
// whole gang, and no gang is placed in part because of a cap. A team that is in no
// configuration has no cap.
func (st *state) withinCap(js *JobState, rf spec.TaskRef) bool {
	tm, ok := st.Teams[js.Spec.Team]
	if !ok || !tm.Capped() {
		return true
	}
	step, count := js.Spec.Steps[rf.Step], 1
	if step.Gang {
		count = 0
		for ix := range js.Occurrences[rf.Occurrence][rf.Step].Tasks {
			if !js.Occurrences[rf.Occurrence][rf.Step].Tasks[ix].Placed() {
				count++
			}
		}
	}
	return tm.StartsAllowed(st.TeamUse[tm.Name], step.Resources) >= count
}

func (st *state) applyEnd(at time.Time, en *RunEnd) Result {
	js := st.Jobs[en.Task.Job]
	if js == nil || js.Occurrences == nil {
		return refused("job has ended")
	}
	tk := js.Task(en.Task)
	if tk == nil || tk.Run != en.Run || !tk.Placed() {
		return refused("not the current run")
	}
	st.releaseTask(at, js, en.Task, tk)
	if en.Checkpoint != "" {
		tk.Checkpoint = en.Checkpoint
	}
	step := js.Spec.Steps[en.Task.Step]
	switch {
	case tk.Done:
		// The end of another member already completed the whole gang.
	case en.Reason == EndDone && !step.LongRunning:
		st.taskDone(at, js, en.Task, tk, step)
	case en.Reason == EndFailed && !step.LongRunning:
		st.taskFailed(at, js, en, tk, step)
	}
	js.Begun = js.Begun || (en.Reason != EndLost && en.Reason != EndRefused)
	st.addToQueue(js)
	st.dropDetails(js)
	return applied
}

// isNextRun reports whether run number next may follow last. The members of a
// gang share one run number, so a member may skip numbers.
func isNextRun(step spec.Step, last, next int) bool {
	return next == last+1 || (step.Gang && next > last)
}

// taskFailed counts a failed run and fails the job after the last attempt. A
// gang counts one failure per run, however many of its members report one.
func (st *state) taskFailed(at time.Time, js *JobState, en *RunEnd, tk *Task, step spec.Step) {
	if step.Gang {
		tk = &js.Occurrences[en.Task.Occurrence][en.Task.Step].Tasks[0]
	}
	if tk.FailedRun >= en.Run {
		return
	}
	tk.FailedRun = en.Run
	tk.Failures++
	if st.exhausted(js, tk) {
		st.endJob(at, js, Failed)
	}
}

func (st *state) releaseTask(at time.Time, js *JobState, rf spec.TaskRef, tk *Task) {
	st.removeRun(js, rf, tk)
	tk.Worker, tk.Incarnation, tk.EndedAt, tk.Answered = "", 0, at, false
	js.Placed--
}

func (st *state) taskDone(at time.Time, js *JobState, rf spec.TaskRef, tk *Task, step spec.Step) {
	ss := &js.Occurrences[rf.Occurrence][rf.Step]
	before := ss.TasksLeft
	if step.Gang {
		// The end of one member completes the gang. The runs of the other members
		// stay listed until their own ends are recorded.
		for ix := range ss.Tasks {
			ss.Tasks[ix].Done = true
		}
		ss.TasksLeft = 0
	} else {
		tk.Done = true
		tk.Checkpoint = ""
		ss.TasksLeft--
	}
	if js.countsForTeam() {
		st.setWorkLeft(js, js.left.Minus(js.Spec.TaskWork(rf.Step).Tasks(before-ss.TasksLeft)))
	}
	for _, other := range js.Occurrences[rf.Occurrence] {
		if other.TasksLeft > 0 {
			return
		}
	}
	js.OccurrencesLeft--
	if js.OccurrencesLeft == 0 && !js.Phase.Terminal() {
		st.endJob(at, js, Done)
	}
}
