package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/task/session"

	weir "greengageweir"
)

// staticWorkers are workers that always return the same report.
type staticWorkers struct {
	weir.TaskWorkers

	reports map[weir.InstanceID]weir.WorkerReport
}

func (sw staticWorkers) Renew(_ context.Context, worker weir.WorkerIncarnation, _ weir.RenewOrder) (weir.WorkerReport, error) {
	return sw.reports[worker.ID], nil
}

type alwaysLeader struct{}

func (alwaysLeader) IsLeader() bool { return true }

// threeLongRunningTasks returns a scheduler with sessions to the workers w0, w1
// and w2, each of which runs one long-running task of the same step. One task of
// the step may be unavailable.
func threeLongRunningTasks(t *testing.T, percent map[string]int) (*Scheduler, *leaderState) {
	st := store.New()
	index := uint64(0)
	apply := func(ch store.Change) {
		data, err := store.Entry{At: testNow, Changes: []store.Change{ch}}.Encode()
		require.NoError(t, err)
		index++
		results, ok := st.Apply(index, data).([]store.Result)
		require.True(t, ok)
		require.True(t, results[0].Applied, results[0].Reason)
	}
	apply(store.Change{Submit: &spec.Job{ID: "a", Steps: []spec.Step{{Count: 3, LongRunning: true, MaxUnavailable: 1}}}})
	sc := &Scheduler{Store: st, Logger: log.NewNopLogger(), wake: make(chan struct{}, 1)}
	ls := &leaderState{sessions: map[weir.InstanceID]*workerSession{}, evicted: map[weir.RunKey]bool{}, machines: newMachineState(0)}
	for ix := range 3 {
		id := fmt.Sprint("w", ix)
		wk := store.Worker{ID: weir.InstanceID(id), Incarnation: 1, Address: id, Machine: "m" + id}
		key := weir.RunKey{Task: spec.TaskRef{Job: "a", Index: ix}, Run: 1}
		apply(store.Change{Join: &wk})
		apply(store.Change{Start: &store.RunStart{Task: key.Task, Run: 1, Worker: wk.ID, Incarnation: 1}})
		ss := &session.Session{
			Worker: weir.WorkerIncarnation{ID: wk.ID, Incarnation: 1}, Lease: time.Second, Leadership: alwaysLeader{}, Clock: clock.BootTime{}, OnChange: func() {},
			Workers: staticWorkers{reports: map[weir.InstanceID]weir.WorkerReport{wk.ID: {
				Clock: time.Hour, Incarnation: 1, Running: []weir.RunningTask{{RunKey: key, Percent: percent[id]}},
			}}},
		}
		require.NoError(t, ss.Default())
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() { _ = ss.Run(ctx) }()
		require.Eventually(t, func() bool { _, list := ss.Running(); return len(list) == 1 }, 5*time.Second, time.Millisecond)
		ls.sessions[wk.ID] = &workerSession{session: ss, worker: wk, cancel: cancel}
	}
	return sc, ls
}

// TestUnavailableTaskBlocksMaintenance checks each reason for which a task on
// another worker counts as unavailable: pending machine operation, eviction, lost
// session and incomplete start.
func TestUnavailableTaskBlocksMaintenance(t *testing.T) {
	fullSpeed := map[string]int{"w0": 100, "w1": 100, "w2": 100}
	blocked := func(sc *Scheduler, ls *leaderState) (found bool) {
		sc.Store.Read(func(rd store.Reader) {
			step, _ := sc.blockingStep(ls, rd, "w0")
			found = step != nil
		})
		return found
	}
	sc, ls := threeLongRunningTasks(t, fullSpeed)
	require.False(t, blocked(sc, ls), "all other tasks are fully running")

	ls.machines.pendingCommit["mw1"] = true
	require.True(t, blocked(sc, ls), "an operation on w1's machine is being committed")
	delete(ls.machines.pendingCommit, "mw1")

	ls.evicted[weir.RunKey{Task: spec.TaskRef{Job: "a", Index: 2}, Run: 1}] = true
	require.True(t, blocked(sc, ls), "the run on w2 is being evicted")
	delete(ls.evicted, weir.RunKey{Task: spec.TaskRef{Job: "a", Index: 2}, Run: 1})

	delete(ls.sessions, "w2")
	require.True(t, blocked(sc, ls), "no session to w2")

	sc, ls = threeLongRunningTasks(t, map[string]int{"w0": 100, "w1": 40, "w2": 100})
	require.True(t, blocked(sc, ls), "the task on w1 is still starting")
}
