package store

import (
	"time"
)

// applyJoin records a worker. A later life of the same id, or on the same
// machine or address, ends the earlier one; what ran there is then uncertain
// only where the id is the same, and the leader asks the new life about it.
func (st *state) applyJoin(at time.Time, wk *Worker) Result {
	old := st.Workers[wk.ID]
	if old != nil && old.Incarnation > wk.Incarnation {
		return refused("an earlier life")
	}
	if old != nil && old.Incarnation == wk.Incarnation && old.Sequence > wk.Sequence {
		return refused("earlier word of this life")
	}
	for id, other := range st.Workers {
		same := other.Address == wk.Address || (wk.Machine != "" && other.Machine == wk.Machine)
		if id == wk.ID || !same {
			continue
		}
		if other.Incarnation > wk.Incarnation {
			return refused("another worker has its place")
		}
		st.endLife(at, other)
	}
	if old != nil && old.Incarnation != wk.Incarnation {
		st.moveRuns(old, wk)
	}
	fresh := *wk
	st.Workers[wk.ID] = &fresh
	st.WorkerChanges++
	return taken
}

// moveRuns ties the runs of an earlier life to the new life of the same id,
// since an order that was under way may reach the new life.
func (st *state) moveRuns(old, wk *Worker) {
	for key := range st.Runs[old.ID] {
		if tk := st.Jobs[key.Task.Job].Task(key.Task); tk != nil {
			tk.Incarnation = wk.Incarnation
		}
	}
}

func (st *state) applyLeave(at time.Time, lv *WorkerLeave) Result {
	wk := st.Workers[lv.ID]
	if wk == nil || wk.Incarnation != lv.Incarnation {
		return refused("not the present life")
	}
	st.endLife(at, wk)
	return taken
}

// endLife drops a worker; its runs are over.
func (st *state) endLife(at time.Time, wk *Worker) {
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
	st.WorkerChanges++
}

func (st *state) applyWave(wv *Wave) Result {
	if st.Waves[wv.Number] != nil {
		return Result{Applied: true, Reason: "known"}
	}
	fresh := *wv
	fresh.Started = map[string]bool{}
	st.Waves[wv.Number] = &fresh
	return taken
}

func (st *state) applyMachine(op *MachineOperation) Result {
	if !op.Started && !op.NotExecuted {
		if st.Orders[op.Machine] != nil {
			return refused("an operation is under way")
		}
		fresh := *op
		st.Orders[op.Machine] = &fresh
		return taken
	}
	delete(st.Orders, op.Machine)
	// A machine that the platform does not know, or not as part of the wave,
	// holds the wave up no longer.
	if wv := st.Waves[op.Wave]; wv != nil {
		wv.Started[op.Machine] = true
	}
	return taken
}

// Reader reads one consistent state, for the time of Store.Read.
type Reader struct {
	st *state
	sr *Store
}

// Read calls a function with the present state; it must not block.
func (sr *Store) Read(read func(rd Reader)) {
	sr.mu.RLock()
	defer sr.mu.RUnlock()
	read(Reader{st: sr.st, sr: sr})
}
