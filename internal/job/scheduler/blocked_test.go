package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/duty/clock"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/task/session"

	weir "greengageweir"
)

// reporting is a set of workers that always report the same.
type reporting struct {
	weir.TaskWorkers

	reports map[weir.InstanceID]weir.WorkerReport
}

func (rp reporting) Renew(_ context.Context, life weir.WorkerIncarnation, _ weir.RenewOrder) (weir.WorkerReport, error) {
	return rp.reports[life.ID], nil
}

type leads struct{}

func (leads) Leads() bool { return true }

// lastingFleet is a step of three lasting tasks, one each on w0, w1 and w2, of
// which one may be away, and an owner with sessions to the workers.
func lastingFleet(t *testing.T, percent map[string]int) (*Scheduler, *reign) {
	st := store.New()
	index := uint64(0)
	apply := func(ch store.Change) {
		data, err := store.Entry{At: testNow, Changes: []store.Change{ch}}.Encode()
		require.NoError(t, err)
		index++
		answers, ok := st.Apply(index, data).([]store.Result)
		require.True(t, ok)
		require.True(t, answers[0].Applied, answers[0].Reason)
	}
	apply(store.Change{Submit: &spec.Job{ID: "a", Steps: []spec.Step{{Count: 3, LongRunning: true, MaxUnavailable: 1}}}})
	ow := &Scheduler{Store: st, Logger: log.NewNopLogger(), wake: make(chan struct{}, 1)}
	re := &reign{sessions: map[weir.InstanceID]*attended{}, evicted: map[weir.RunKey]bool{}, machines: newMachineDuty(0)}
	for ix := range 3 {
		id := fmt.Sprint("w", ix)
		wk := store.Worker{ID: weir.InstanceID(id), Incarnation: 1, Address: id, Machine: "m" + id}
		key := weir.RunKey{Task: spec.TaskRef{Job: "a", Index: ix}, Run: 1}
		apply(store.Change{Join: &wk})
		apply(store.Change{Start: &store.RunStart{Task: key.Task, Run: 1, Worker: wk.ID, Incarnation: 1}})
		ss := &session.Session{
			Worker: weir.WorkerIncarnation{ID: wk.ID, Born: 1}, Lease: time.Second, Leadership: leads{}, Clock: clock.BootTime{}, OnChange: func() {},
			Workers: reporting{reports: map[weir.InstanceID]weir.WorkerReport{wk.ID: {
				Clock: time.Hour, Born: 1, Running: []weir.RunningTask{{RunKey: key, Percent: percent[id]}},
			}}},
		}
		require.NoError(t, ss.Default())
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() { _ = ss.Run(ctx) }()
		require.Eventually(t, func() bool { _, list := ss.Running(); return len(list) == 1 }, 5*time.Second, time.Millisecond)
		re.sessions[wk.ID] = &attended{ss: ss, worker: wk, cancel: cancel}
	}
	return ow, re
}

// TestPlannedWorkRespectsTasksThatAreAway tries each reason for which a task
// elsewhere counts as away.
func TestPlannedWorkRespectsTasksThatAreAway(t *testing.T) {
	allWork := map[string]int{"w0": 100, "w1": 100, "w2": 100}
	blocked := func(ow *Scheduler, re *reign) (found bool) {
		ow.Store.Read(func(rd store.Reader) {
			step, _ := ow.blocked(re, rd, "w0")
			found = step != nil
		})
		return found
	}
	ow, re := lastingFleet(t, allWork)
	require.False(t, blocked(ow, re), "all others are at work")

	re.machines.intent["mw1"] = true
	require.True(t, blocked(ow, re), "w1 is about to go")
	delete(re.machines.intent, "mw1")

	re.evicted[weir.RunKey{Task: spec.TaskRef{Job: "a", Index: 2}, Run: 1}] = true
	require.True(t, blocked(ow, re), "a task elsewhere is being stopped")
	delete(re.evicted, weir.RunKey{Task: spec.TaskRef{Job: "a", Index: 2}, Run: 1})

	delete(re.sessions, "w2")
	require.True(t, blocked(ow, re), "nothing is heard of w2")

	ow, re = lastingFleet(t, map[string]int{"w0": 100, "w1": 40, "w2": 100})
	require.True(t, blocked(ow, re), "w1's task is starting")
}
