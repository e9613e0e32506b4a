package store

import (
	"time"
)

// applyJoin records a worker and removes every older worker on the same machine
// or address, whose runs are lost. A later incarnation of the same id takes over
// the runs instead, since the leader can ask it which of them still run.
func (st *state) applyJoin(at time.Time, wk *Worker) Result {
	old := st.Workers[wk.ID]
	if old != nil && old.Incarnation > wk.Incarnation {
		return refused("an earlier life")
	}
	if old != nil && old.Incarnation == wk.Incarnation && old.Sequence > wk.Sequence {
		return refused("earlier word of this life")
	}
	if wk.Incarnation > 0 && wk.Incarnation <= st.Departed[wk.ID].Incarnation {
		return refused("it has left")
	}
	for id, other := range st.Workers {
		same := other.Address == wk.Address || (wk.Machine != "" && other.Machine == wk.Machine)
		if id == wk.ID || !same {
			continue
		}
		if other.Incarnation > wk.Incarnation {
			return refused("another worker has its place")
		}
		st.removeWorker(at, other)
	}
	if old != nil && old.Incarnation != wk.Incarnation {
		st.reassignRuns(old, wk)
	}
	fresh := *wk
	switch {
	case old == nil:
		fresh.Restarted = false
	case old.Incarnation != wk.Incarnation:
		fresh.Restarted = true
	default:
		fresh.Restarted = old.Restarted
	}
	st.Workers[wk.ID] = &fresh
	st.WorkerRevision++
	return st.recordCrash(at, st.takeLapsed(wk))
}

// reassignRuns moves the runs of an earlier incarnation to the new incarnation of
// the same id, since a start order in transit may reach the new incarnation.
func (st *state) reassignRuns(old, wk *Worker) {
	for key := range st.Runs[old.ID] {
		if tk := st.Jobs[key.Task.Job].Task(key.Task); tk != nil {
			tk.Incarnation = wk.Incarnation
		}
	}
}

func (st *state) applyRestart(rs *WorkerRestart) Result {
	wk := st.Workers[rs.ID]
	if wk == nil || wk.Incarnation != rs.Incarnation {
		return refused("not the current incarnation")
	}
	fresh := *wk
	fresh.Restarted = !rs.Settled
	st.Workers[rs.ID] = &fresh
	st.WorkerRevision++
	return applied
}

func (st *state) applyAnswer(an *RunsAnswered) Result {
	for _, key := range an.Runs {
		if _, here := st.Runs[an.Worker][key]; here {
			st.Jobs[key.Task.Job].Task(key.Task).Answered = true
		}
	}
	return applied
}

// applyLapse records the runs that may have crashed a worker whose leases have expired.
// The worker stays until the runs that its unanswered orders may begin are over.
func (st *state) applyLapse(at time.Time, cr *WorkerCrash) Result {
	wk := st.Workers[cr.ID]
	if wk == nil || wk.Incarnation != cr.Incarnation {
		return refused("not the current incarnation")
	}
	return st.recordLapse(at, wk, cr.Recent, cr.Unconfirmed)
}

func (st *state) recordLapse(at time.Time, wk *Worker, recent, unconfirmed []RunKey) Result {
	if len(recent)+len(unconfirmed) == 0 || wk.Machine == "" || !st.unplanned(wk) {
		return applied
	}
	lp := st.lastStarted(wk, recent, unconfirmed)
	st.Lapsed[wk.Machine] = lp
	return st.recordCrash(at, st.provenIn(lp))
}

func (st *state) applyLeave(at time.Time, lv *WorkerLeave) Result {
	wk := st.Workers[lv.ID]
	if wk == nil || wk.Incarnation != lv.Incarnation {
		return refused("not the current incarnation")
	}
	res := st.recordLapse(at, wk, lv.Recent, lv.Unconfirmed)
	st.removeWorker(at, wk)
	if lv.Departed {
		st.recordDeparture(at, lv)
	}
	return res
}

// departure is when an incarnation of a worker left for good.
type departure struct {
	Incarnation int64     `json:"born"`
	At          time.Time `json:"at"`
}

// departureMemory is how long a departure is remembered, which is far longer than
// an announcement can be under way.
const departureMemory = 10 * time.Minute

func (st *state) recordDeparture(at time.Time, lv *WorkerLeave) {
	for id, dp := range st.Departed {
		if at.Sub(dp.At) > departureMemory {
			delete(st.Departed, id)
		}
	}
	st.Departed[lv.ID] = departure{Incarnation: lv.Incarnation, At: at}
}

// removeWorker removes a worker and records its runs as lost.
func (st *state) removeWorker(at time.Time, wk *Worker) {
	keys := make([]RunKey, 0, len(st.Runs[wk.ID]))
	for key := range st.Runs[wk.ID] {
		keys = append(keys, key)
	}
	for _, key := range keys {
		st.applyEnd(at, &RunEnd{Task: key.Task, Run: key.Run, Reason: EndLost})
	}
	delete(st.Workers, wk.ID)
	delete(st.Runs, wk.ID)
	delete(st.Loads, wk.ID)
	delete(st.TeamLoads, wk.ID)
	st.WorkerRevision++
}

func (st *state) applyWave(wv *Wave) Result {
	if st.Waves[wv.Number] != nil {
		return Result{Applied: true, Reason: "known"}
	}
	fresh := *wv
	fresh.Started = map[string]bool{}
	st.Waves[wv.Number] = &fresh
	return applied
}

func (st *state) applyMachine(op *MachineOperation) Result {
	if op.Withdrawn {
		delete(st.MachineOperations, op.Machine)
		return applied
	}
	if !op.Started && !op.NotExecuted {
		if st.MachineOperations[op.Machine] != nil {
			return refused("an operation is in progress")
		}
		fresh := *op
		st.MachineOperations[op.Machine] = &fresh
		delete(st.Lapsed, op.Machine) // its next worker will be there by order
		return applied
	}
	delete(st.MachineOperations, op.Machine)
	// An operation that the platform did not execute counts as started too, so
	// that a machine that the platform does not know cannot block the wave.
	if wv := st.Waves[op.Wave]; wv != nil {
		wv.Started[op.Machine] = true
	}
	return applied
}

// Reader gives access to one consistent state for the duration of Store.Read.
type Reader struct {
	st *state
	sr *Store
}

// Read calls read with the current state; read must not block.
func (sr *Store) Read(read func(rd Reader)) {
	sr.mu.RLock()
	defer sr.mu.RUnlock()
	read(Reader{st: sr.st, sr: sr})
}
