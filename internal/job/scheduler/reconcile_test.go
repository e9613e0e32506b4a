package scheduler

import (
	"context"
	"fmt"
	"sync"
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

// fakeWorker reports a fixed list of runs and records the stops that it is sent.
type fakeWorker struct {
	weir.TaskWorkers

	running []weir.RunningTask

	mu    sync.Mutex
	stops []weir.RunKey
}

func (wk *fakeWorker) Renew(context.Context, weir.WorkerIncarnation, weir.RenewOrder) (weir.WorkerReport, error) {
	return weir.WorkerReport{Clock: time.Hour, Incarnation: 1, Running: wk.running}, nil
}

func (wk *fakeWorker) Stop(_ context.Context, _ weir.WorkerIncarnation, key weir.RunKey, _ uint64) (weir.OrderResponse, error) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.stops = append(wk.stops, key)
	return weir.OrderResponse{}, nil
}

func (wk *fakeWorker) stopped() []weir.RunKey {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return append([]weir.RunKey(nil), wk.stops...)
}

// withSession returns a scheduler with a session to a fake worker w0 that has
// reported, and the session's entry in the leader state.
func withSession(t *testing.T, st *store.Store, running ...weir.RunningTask) (*Scheduler, *leaderState, *workerSession, *fakeWorker) {
	wk := &fakeWorker{running: running}
	sc := &Scheduler{Store: st, Logger: log.NewNopLogger(), wake: make(chan struct{}, 1)}
	ls := &leaderState{sessions: map[weir.InstanceID]*workerSession{}, pendingStarts: map[weir.RunKey]bool{}, evicted: map[weir.RunKey]bool{}}
	ws := &workerSession{worker: store.Worker{ID: "w0", Incarnation: 1}}
	ws.session = &session.Session{
		Worker: weir.WorkerIncarnation{ID: "w0", Incarnation: 1}, Lease: time.Minute, Leadership: alwaysLeader{}, Clock: clock.BootTime{}, OnChange: func() {}, Workers: wk,
	}
	require.NoError(t, ws.session.Default())
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = ws.session.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	require.Eventually(t, ws.session.Usable, 10*time.Second, time.Millisecond)
	ls.sessions["w0"] = ws
	return sc, ls, ws, wk
}

// storeWith returns a store with the workers w0 and w1 and the given changes
// applied.
func storeWith(t *testing.T, changes ...store.Change) *store.Store {
	st := store.New()
	all := []store.Change{}
	for ix := range 2 {
		id := fmt.Sprint("w", ix)
		all = append(all, store.Change{Join: &store.Worker{ID: weir.InstanceID(id), Incarnation: 1, Address: id, Machine: "m" + id}})
	}
	data, err := store.Entry{At: testNow, Changes: append(all, changes...)}.Encode()
	require.NoError(t, err)
	results, ok := st.Apply(1, data).([]store.Result)
	require.True(t, ok)
	for _, res := range results {
		require.True(t, res.Applied, res.Reason)
	}
	return st
}

func startAt(index int, worker weir.InstanceID) store.Change {
	return store.Change{Start: &store.RunStart{Task: spec.TaskRef{Job: "a", Index: index}, Run: 1, Worker: worker, Incarnation: 1}}
}

// TestCommittedStartIsNotStoppedBeforeItsOrder covers a reconciliation between the
// moment when a run start is applied to the state and the moment when the run is
// ordered: the run is not reported by the worker yet and must not be stopped.
func TestCommittedStartIsNotStoppedBeforeItsOrder(t *testing.T) {
	st := storeWith(t, store.Change{Submit: &spec.Job{ID: "a", Steps: []spec.Step{{Count: 1}}}}, startAt(0, "w0"))
	sc, ls, ws, wk := withSession(t, st)
	key := weir.RunKey{Task: spec.TaskRef{Job: "a"}, Run: 1}
	ls.pendingStarts[key] = true
	sc.reconcile(ls, "w0", ws, clock.BootTime{}.Now())
	ls.clearPendingStarts()
	require.Never(t, func() bool { return len(wk.stopped()) > 0 }, 50*time.Millisecond, 5*time.Millisecond)
	sc.reconcile(ls, "w0", ws, clock.BootTime{}.Now())
	require.Eventually(t, func() bool { return len(wk.stopped()) > 0 }, 10*time.Second, time.Millisecond,
		"a run that was not ordered in this term is stopped by its number")
}

// TestIncompleteGangIsStopped checks that the members of a gang are stopped when
// one member is missing. They would otherwise hold their resources and wait for
// the missing member until they time out.
func TestIncompleteGangIsStopped(t *testing.T) {
	gang := store.Change{Submit: &spec.Job{ID: "a", Steps: []spec.Step{{Count: 2, Gang: true}}}}
	first, second := weir.RunKey{Task: spec.TaskRef{Job: "a"}, Run: 1}, weir.RunKey{Task: spec.TaskRef{Job: "a", Index: 1}, Run: 1}
	st := storeWith(t, gang, startAt(0, "w0"), startAt(1, "w1"))
	st.Read(func(rd store.Reader) {
		require.True(t, rd.Job("a").GangComplete(first))
		require.True(t, rd.Job("a").GangComplete(second))
	})
	st = storeWith(t, gang, startAt(0, "w0"), startAt(1, "w1"),
		store.Change{End: &store.RunEnd{Task: second.Task, Run: 1, Reason: store.EndRefused}})
	sc, ls, ws, wk := withSession(t, st, weir.RunningTask{RunKey: first})
	sc.reconcile(ls, "w0", ws, clock.BootTime{}.Now())
	require.Eventually(t, func() bool { return len(wk.stopped()) > 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, first, wk.stopped()[0])
}
