package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/standin/workermodel"
	"greengageweir/internal/task/session"

	weir "greengageweir"
)

// lateWorkers is the client for model workers. Orders to those that are late get no
// answer and are carried out when deliver is called.
type lateWorkers struct {
	weir.TaskWorkers

	clk    *clock.Manual
	models map[weir.InstanceID]*workermodel.Worker
	late   map[weir.InstanceID]bool
	held   []func()
	// inFlight is called while the next order that is not answered is in flight.
	inFlight func()
}

func newLateWorkers(clk *clock.Manual, models ...*workermodel.Worker) *lateWorkers {
	lw := &lateWorkers{clk: clk, models: map[weir.InstanceID]*workermodel.Worker{}, late: map[weir.InstanceID]bool{}}
	for _, model := range models {
		lw.models[model.ID] = model
	}
	return lw
}

func (lw *lateWorkers) order(id weir.InstanceID, do func(model *workermodel.Worker)) error {
	if lw.late[id] {
		lw.held = append(lw.held, func() { do(lw.models[id]) })
		if inFlight := lw.inFlight; inFlight != nil {
			lw.inFlight = nil
			inFlight()
		}
		return errNoResponse
	}
	do(lw.models[id])
	return nil
}

func (lw *lateWorkers) deliver() {
	for _, do := range lw.held {
		do()
	}
	lw.held = nil
}

func (lw *lateWorkers) Renew(_ context.Context, worker weir.WorkerIncarnation, order weir.RenewOrder) (rep weir.WorkerReport, err error) {
	err = lw.order(worker.ID, func(model *workermodel.Worker) { rep = model.Renew(lw.clk.Now(), order) })
	return rep, err
}

func (lw *lateWorkers) Start(_ context.Context, worker weir.WorkerIncarnation, order weir.StartOrder) (resp weir.OrderResponse, err error) {
	err = lw.order(worker.ID, func(model *workermodel.Worker) { resp = model.Start(lw.clk.Now(), order) })
	return resp, err
}

func (lw *lateWorkers) Stop(_ context.Context, worker weir.WorkerIncarnation, key weir.RunKey, token uint64) (resp weir.OrderResponse, err error) {
	err = lw.order(worker.ID, func(model *workermodel.Worker) { resp = model.Stop(lw.clk.Now(), key, token) })
	return resp, err
}

func (lw *lateWorkers) Forget(string) {}

// scheduler returns a scheduler whose sessions with the worker are stepped by the test.
func (lw *lateWorkers) scheduler() *Scheduler {
	return &Scheduler{
		Store: store.New(), Workers: lw, Leadership: firstTermLeader{}, Clock: lw.clk, Wall: lw.clk, Logger: log.NewNopLogger(), Lease: simLease, MaxLease: workermodel.HoldMax,
		runSession: func(context.Context, *session.Session) {}, wake: make(chan struct{}, 1),
	}
}

// TestLateOrdersToNextIncarnation guards against tasks that run twice because a worker
// that is back under its id takes calls that were meant for its former incarnation: an
// acknowledgement forgets ends that nobody has seen, a lease on the former clock keeps
// tasks running after the leader has given them up, a start is carried out late.
func TestLateOrdersToNextIncarnation(t *testing.T) {
	lw := newLateWorkers(clock.NewManual(testNow), workermodel.New("w0", 1, testNow))
	sc := lw.scheduler()
	ls := sc.newLeaderState(3)
	open := func(incarnation int64) *session.Session {
		wk := store.Worker{ID: "w0", Incarnation: incarnation, Restarted: incarnation > 1}
		ss := sc.openSession(t.Context(), ls, wk, lw.clk.Now()).session
		ss.RenewOnce(t.Context())
		return ss
	}
	run := func(ss *session.Session, job spec.JobID) weir.RunKey {
		key := weir.RunKey{Task: weir.TaskRef{Job: job}, Run: 1}
		ss.Start(weir.StartOrder{RunKey: key})
		require.True(t, ss.SendNext(t.Context()))
		return key
	}

	first := open(1)
	lw.models["w0"].EndRun(run(first, "a"), store.EndDone)
	first.RenewOnce(t.Context())
	first.EndsCommitted(first.Reconcile(lw.clk.Now(), nil).Number)
	lw.late["w0"] = true
	late := run(first, "late")
	first.RenewOnce(t.Context()) // with a lease and an acknowledgement
	lw.late["w0"] = false

	lw.models["w0"].Restart(2, lw.clk.Now())
	second := open(2)
	lw.clk.Advance(5 * time.Second)
	second.RenewOnce(t.Context())
	lw.models["w0"].EndRun(run(second, "b"), store.EndDone)
	key := run(second, "c")
	lw.deliver()
	require.NotContains(t, lw.models["w0"].Runs, late, "the start was for the former incarnation")

	second.RenewOnce(t.Context())
	out := second.Reconcile(lw.clk.Now(), []session.PlacedRun{{Key: key, Wanted: true}})
	require.Len(t, out.Ends, 1, "the end of b was not acknowledged")
	second.EndsCommitted(out.Number)

	lw.late["w0"] = true
	for range 200 {
		lw.clk.Advance(100 * time.Millisecond)
		second.RenewOnce(t.Context())
		lw.models["w0"].ExpireLease(lw.clk.Now())
		if len(lw.models["w0"].Runs) == 0 {
			return
		}
		require.False(t, second.LeaseExpired(lw.clk.Now()), "its tasks still run")
	}
	require.Fail(t, "the lease does not end")
}

// TestLateLeaseBeforeFirstAnswer guards against tasks that are started elsewhere while
// a worker that took a late lease right before its first answer still runs them.
func TestLateLeaseBeforeFirstAnswer(t *testing.T) {
	lw := newLateWorkers(clock.NewManual(testNow), workermodel.New("w0", 2, testNow))
	sc := lw.scheduler()
	lw.late["w0"] = true
	wk := store.Worker{ID: "w0", Incarnation: 2, Restarted: true}
	ss := sc.openSession(t.Context(), sc.newLeaderState(3), wk, lw.clk.Now()).session
	ss.RenewOnce(t.Context())
	lw.clk.Advance(6 * time.Second)
	key := weir.RunKey{Task: weir.TaskRef{Job: "a"}, Run: 1}
	lw.models["w0"].Start(lw.clk.Now(), weir.StartOrder{RunKey: key, Token: 3, Until: 24 * time.Hour})
	lw.late["w0"] = false
	ss.RenewOnce(t.Context())
	lw.late["w0"] = true
	ss.RenewOnce(t.Context())
	lw.clk.Advance(workermodel.HoldMax - 100*time.Millisecond)
	lw.models["w0"].ExpireLease(lw.clk.Now())
	require.Contains(t, lw.models["w0"].Runs, key)
	require.False(t, ss.LeaseExpired(lw.clk.Now()))
	lw.clk.Advance(time.Second)
	require.True(t, ss.LeaseExpired(lw.clk.Now()), "its tasks wait no longer than for that lease")
}

// restartedWorkers answer as the next incarnation.
type restartedWorkers struct{ *acceptingWorkers }

func (rw restartedWorkers) Renew(ctx context.Context, worker weir.WorkerIncarnation, order weir.RenewOrder) (weir.WorkerReport, error) {
	rep, err := rw.acceptingWorkers.Renew(ctx, worker, order)
	rep.Incarnation++
	return rep, err
}

// TestAnsweredRestartIsRecorded guards against a later leader that does not know that a
// worker may hold the longest lease, since its next incarnation has answered but was
// cut off before it announced itself.
func TestAnsweredRestartIsRecorded(t *testing.T) {
	sp := newStepped(t, nil, nil)
	sp.join("w0", 1)
	restarted := func() (known bool) {
		sp.gl.st.Read(func(rd store.Reader) {
			wk, _ := rd.Worker("w0")
			known = wk.Restarted
		})
		return known
	}
	sp.step(0)
	require.False(t, restarted())
	sp.sc.Workers = restartedWorkers{sp.workers}
	sp.ls.sessions["w0"].session.Workers = sp.sc.Workers
	sp.step(time.Second)
	sp.step(time.Second)
	require.True(t, restarted())
}
