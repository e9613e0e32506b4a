// Package store is the replicated state of jobs, workers, configuration and
// maintenance. It is a state machine of the replicated log: the same entries
// give the same state on every member. It decides nothing about placing; it
// refuses what would break a promise, such as a second run of a task.
//
// Usage:
//
//	st := store.New()
//	nd := &node.Node{Machine: st, ...}
//	data, err := store.Entry{At: now, Changes: changes}.Encode()
//	answers, err := nd.Propose(ctx, data)       // one Answer for each change
//	st.Read(func(rd store.Reader) { ... })      // consistent, must not block
package store

import (
	"encoding/json"
	"sync"
	"time"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/duty/errkind"
	"greengageweir/internal/duty/invariant"
	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// Kind tells the errors of this package apart.
type Kind string

// KindFormat says that an entry or a snapshot cannot be read or written.
const KindFormat Kind = "unreadable"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// Result is what became of one change.
type Result struct {
	// Applied says that the state now holds the change.
	Applied bool
	// Reason tells why it was not taken.
	Reason string
}

var taken = Result{Applied: true}

func refused(reason string) Result { return Result{Reason: reason} }

// Store is the state machine. It is safe for concurrent use.
type Store struct {
	// OnApplied is called after each entry, outside the lock; it may be nil.
	OnApplied func()
	// Clock dates orders for machines on this member; nil dates nothing.
	Clock weir.Clock

	mu sync.RWMutex
	st *state
	// orderedAt is when this member learned last of an order for a machine,
	// and restoredAt when it learned of all those in a snapshot.
	orderedAt  map[string]time.Time
	restoredAt time.Time
}

// New returns an empty store.
func New() *Store { return &Store{st: newState(), orderedAt: map[string]time.Time{}} }

// Encode returns the entry as the log keeps it.
func (en Entry) Encode() ([]byte, error) {
	data, err := json.Marshal(en)
	if err != nil {
		return nil, &Error{Op: "encode entry", Kind: KindFormat, Err: err}
	}
	return data, nil
}

// Apply implements node.Machine; it returns an []Answer.
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
			sr.orderedAt[op.Machine] = sr.Clock.Now()
		}
	}
	sr.mu.Unlock()
	if sr.OnApplied != nil {
		sr.OnApplied()
	}
	return answers
}

// Skip implements node.Machine.
func (sr *Store) Skip(index uint64) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.st.Index = index
}

// Snapshot implements node.Machine.
func (sr *Store) Snapshot() ([]byte, error) {
	sr.mu.RLock()
	defer sr.mu.RUnlock()
	data, err := json.Marshal(sr.st)
	if err != nil {
		return nil, &Error{Op: "snapshot", Kind: KindFormat, Err: err}
	}
	return data, nil
}

// Restore implements node.Machine.
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
	st.index()
	sr.mu.Lock()
	st.WorkerChanges = sr.st.WorkerChanges + 1
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
		return st.applyCatalog(ch.Catalog)
	case ch.Submit != nil:
		return st.applySubmit(at, ch.Submit)
	case ch.Cancel != nil:
		return st.applyCancel(at, *ch.Cancel)
	case ch.Join != nil:
		return st.applyJoin(at, ch.Join)
	case ch.Leave != nil:
		return st.applyLeave(at, ch.Leave)
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

// applyCatalog keeps the highest version; an older one changes nothing.
func (st *state) applyCatalog(pk *catalog.Packed) Result {
	if pk.Version <= st.Packed.Version {
		return refused("version is not newer")
	}
	ct, err := pk.Unpack()
	if err != nil {
		invariant.Check(false, "catalogReadable", "version", pk.Version, "err", err)
		return refused("unreadable")
	}
	st.Packed, st.Catalog = *pk, ct
	st.indexQueues()
	return taken
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
	st.addToQueue(js)
	return taken
}

func (st *state) applyCancel(at time.Time, id spec.JobID) Result {
	js := st.Jobs[id]
	if js == nil {
		return refused("unknown job")
	}
	if !js.Phase.Terminal() {
		st.end(at, js, Cancelled)
	}
	return taken
}

// end closes a job; runs that may be at workers stay known until they are over.
func (st *state) end(at time.Time, js *JobState, ph Phase) {
	js.Phase = ph
	js.Ended = at
	st.leaveQueue(js)
	st.settle(js)
}

// settle drops what is not needed once a job has ended and nothing of it is
// at a worker.
func (st *state) settle(js *JobState) {
	if !js.Phase.Terminal() || js.Placed > 0 {
		return
	}
	js.Occurrences = nil
	js.Spec.Text = ""
	js.Spec.Steps = nil
	delete(st.Active, js.Spec.ID)
}

func (st *state) applyForget(ids []spec.JobID) Result {
	for _, id := range ids {
		if js := st.Jobs[id]; js != nil && js.Phase.Terminal() && js.Placed == 0 {
			delete(st.Jobs, id)
		}
	}
	return taken
}

func (st *state) applyStart(at time.Time, sa *RunStart) Result {
	js := st.Jobs[sa.Task.Job]
	if js == nil || js.Phase.Terminal() {
		return refused("job is over")
	}
	tk := js.Task(sa.Task)
	wk := st.Workers[sa.Worker]
	switch {
	case tk == nil:
		return refused("no such task")
	case tk.Done || !follows(js.Spec.Steps[sa.Task.Step], tk.Run, sa.Run):
		return refused("not the next run")
	case tk.Placed():
		// Also where copies are allowed: they are not placed yet.
		return refused("a run is not over")
	case wk == nil || wk.Incarnation != sa.Incarnation:
		return refused("worker is gone")
	case wk.Draining:
		return refused("worker drains")
	case !js.StepReady(sa.Task.Occurrence, sa.Task.Step):
		return refused("an earlier step is not done")
	}
	tk.Run, tk.Worker, tk.Incarnation, tk.StartedAt = sa.Run, sa.Worker, sa.Incarnation, at
	js.Placed++
	st.addRun(js, sa.Task, tk)
	if !js.Started {
		st.leaveQueue(js)
		js.Started = true
		js.Phase = Running
	}
	return taken
}

func (st *state) applyEnd(at time.Time, en *RunEnd) Result {
	js := st.Jobs[en.Task.Job]
	if js == nil || js.Occurrences == nil {
		return refused("job is over")
	}
	tk := js.Task(en.Task)
	if tk == nil || tk.Run != en.Run || !tk.Placed() {
		return refused("not the present run")
	}
	st.free(at, js, en.Task, tk)
	if en.Checkpoint != "" {
		tk.Checkpoint = en.Checkpoint
	}
	step := js.Spec.Steps[en.Task.Step]
	switch {
	case tk.Done:
		// Another member's end stood for the whole gang.
	case en.Reason == EndDone && !step.LongRunning:
		st.taskDone(at, js, en.Task, tk, step)
	case en.Reason == EndFailed && !step.LongRunning:
		st.taskFailed(at, js, en, tk, step)
	}
	st.settle(js)
	return taken
}

// follows reports whether a run may follow another. The members of a gang
// share their run's number, so one of them may skip some.
func follows(step spec.Step, last, next int) bool {
	return next == last+1 || (step.Gang && next > last)
}

// taskFailed counts a failure. A gang fails once a run, however many of its
// members say so.
func (st *state) taskFailed(at time.Time, js *JobState, en *RunEnd, tk *Task, step spec.Step) {
	if step.Gang {
		tk = &js.Occurrences[en.Task.Occurrence][en.Task.Step].Tasks[0]
	}
	if tk.FailedRun >= en.Run {
		return
	}
	tk.FailedRun = en.Run
	tk.Failures++
	qu, ok := st.Queues[js.Spec.Queue]
	if ok && tk.Failures >= max(qu.MaxAttempts, 1) && !js.Phase.Terminal() {
		st.end(at, js, Failed)
	}
}

func (st *state) free(at time.Time, js *JobState, rf spec.TaskRef, tk *Task) {
	st.dropRun(js, rf, tk)
	tk.Worker, tk.Incarnation, tk.EndedAt = "", 0, at
	js.Placed--
}

func (st *state) taskDone(at time.Time, js *JobState, rf spec.TaskRef, tk *Task, step spec.Step) {
	ss := &js.Occurrences[rf.Occurrence][rf.Step]
	if step.Gang {
		// One end stands for all members; those still listed end by themselves.
		for ix := range ss.Tasks {
			ss.Tasks[ix].Done = true
		}
		ss.TasksLeft = 0
	} else {
		tk.Done = true
		tk.Checkpoint = ""
		ss.TasksLeft--
	}
	for _, other := range js.Occurrences[rf.Occurrence] {
		if other.TasksLeft > 0 {
			return
		}
	}
	js.OccurrencesLeft--
	if js.OccurrencesLeft == 0 && !js.Phase.Terminal() {
		st.end(at, js, Done)
	}
}
