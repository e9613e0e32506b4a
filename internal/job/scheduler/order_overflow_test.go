package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/task/session"

	weir "greengageweir"
)

// acceptingWorker accepts and lists each run that it is ordered to start.
type acceptingWorker struct {
	weir.TaskWorkers

	clk     weir.Clock
	running map[weir.RunKey]bool
}

func (aw *acceptingWorker) Renew(_ context.Context, worker weir.WorkerIncarnation, _ weir.RenewOrder) (weir.WorkerReport, error) {
	rep := weir.WorkerReport{Clock: aw.clk.Now().Sub(time.Unix(0, 0)), Incarnation: worker.Incarnation}
	for key := range aw.running {
		rep.Running = append(rep.Running, weir.RunningTask{RunKey: key})
	}
	return rep, nil
}

func (aw *acceptingWorker) Start(_ context.Context, _ weir.WorkerIncarnation, order weir.StartOrder) (weir.OrderResponse, error) {
	aw.running[order.RunKey] = true
	return weir.OrderResponse{}, nil
}

func (aw *acceptingWorker) Forget(string) {}

// largeJobOnOneWorker returns a leading scheduler with a job of the given number of
// tasks, which one worker has enough resources for. Nothing is sent to the worker and
// nothing is committed until the test does so.
func largeJobOnOneWorker(t *testing.T, tasks int) (*Scheduler, *leaderState, *acceptingWorker) {
	ct := catalog.Catalog{
		Version: 1, Pools: []catalog.Pool{{Name: "desk"}},
		Queues: []catalog.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "desk", Timeout: time.Second, MaxAttempts: 3, Stretch: 2}},
	}
	packed, err := ct.Pack()
	require.NoError(t, err)
	st := store.New()
	data, err := store.Entry{At: testNow, Changes: []store.Change{
		{Catalog: packed},
		{Join: &store.Worker{ID: "w0", Incarnation: 1, Address: "w0", Machine: "mw0", Pool: "desk", Capacity: spec.Resources{MilliCPU: tasks}}},
		{Submit: &spec.Job{ID: "a", Queue: "h/q/", Steps: []spec.Step{{Count: tasks, Resources: spec.Resources{MilliCPU: 1}}}}},
	}}.Encode()
	require.NoError(t, err)
	st.Apply(1, data)
	gl := &gatedLog{st: st, index: 1, gate: make(chan struct{})}
	close(gl.gate)
	aw := &acceptingWorker{clk: clock.BootTime{}, running: map[weir.RunKey]bool{}}
	sc := &Scheduler{
		Store: st, Committer: &Committer{Log: gl, Wall: clock.Wall{}}, Leadership: firstTermLeader{}, Workers: aw, Clock: clock.BootTime{}, Wall: clock.Wall{},
		Logger: log.NewNopLogger(), Lease: time.Minute, Retention: time.Hour,
		runSession: func(context.Context, *session.Session) {},
	}
	require.NoError(t, sc.Default())
	require.NoError(t, sc.Committer.Default())
	ls := sc.newLeaderState(1)
	sc.setLeader(ls)
	sc.round(t.Context(), ls, sc.Clock.Now(), true)
	return sc, ls, aw
}

// commitQueued commits what the scheduler has submitted, which must not block.
func commitQueued(t *testing.T, com *Committer) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for len(com.queue) > 0 {
			com.commit(t.Context(), com.gather(<-com.queue))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		require.FailNow(t, "the committer is blocked")
	}
}

// TestMoreStartsThanOrderQueueHolds guards against a deadlock of the scheduler when
// the starts of one commit overflow the order queue of a worker.
func TestMoreStartsThanOrderQueueHolds(t *testing.T) {
	const tasks = 3000
	sc, ls, aw := largeJobOnOneWorker(t, tasks)
	ss := ls.sessions["w0"].session
	started := map[weir.TaskRef]bool{}
	for range 100 {
		ss.RenewOnce(t.Context())
		sc.round(t.Context(), ls, sc.Clock.Now(), true)
		commitQueued(t, sc.Committer)
		for ss.SendNext(t.Context()) {
		}
		for key := range aw.running {
			started[key.Task] = true
		}
		if len(started) == tasks {
			break
		}
		time.Sleep(refusalBackoff / 10)
	}
	require.Len(t, started, tasks, "every task is started")
	require.Len(t, aw.running, tasks, "no task is started twice")
	require.True(t, sc.Ready())
}
