package scheduler

import (
	"context"
	"fmt"
	"sync"
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

// idle is a worker that runs only what it is said to, and notes what it is told
// to stop.
type idle struct {
	weir.TaskWorkers

	running []weir.RunningTask

	mu    sync.Mutex
	stops []weir.RunKey
}

func (wk *idle) Renew(context.Context, weir.WorkerIncarnation, weir.RenewOrder) (weir.WorkerReport, error) {
	return weir.WorkerReport{Clock: time.Hour, Born: 1, Running: wk.running}, nil
}

func (wk *idle) Stop(_ context.Context, _ weir.WorkerIncarnation, key weir.RunKey, _ uint64) (weir.OrderResponse, error) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.stops = append(wk.stops, key)
	return weir.OrderResponse{}, nil
}

func (wk *idle) stopped() []weir.RunKey {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return append([]weir.RunKey(nil), wk.stops...)
}

// idleWorker returns an owner with a session to an idle worker w0 that has
// reported, and the session's place in the reign.
func idleWorker(t *testing.T, st *store.Store, running ...weir.RunningTask) (*Scheduler, *reign, *attended, *idle) {
	wk := &idle{running: running}
	ow := &Scheduler{Store: st, Logger: log.NewNopLogger(), wake: make(chan struct{}, 1)}
	re := &reign{sessions: map[weir.InstanceID]*attended{}, starting: map[weir.RunKey]bool{}, evicted: map[weir.RunKey]bool{}}
	at := &attended{worker: store.Worker{ID: "w0", Incarnation: 1}}
	at.ss = &session.Session{
		Worker: weir.WorkerIncarnation{ID: "w0", Born: 1}, Lease: time.Minute, Leadership: leads{}, Clock: clock.BootTime{}, OnChange: func() {}, Workers: wk,
	}
	require.NoError(t, at.ss.Default())
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = at.ss.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	require.Eventually(t, at.ss.Usable, 10*time.Second, time.Millisecond)
	re.sessions["w0"] = at
	return ow, re, at, wk
}

// storeWith returns a store with workers w0 and w1 and the changes applied.
func storeWith(t *testing.T, changes ...store.Change) *store.Store {
	st := store.New()
	all := []store.Change{}
	for ix := range 2 {
		id := fmt.Sprint("w", ix)
		all = append(all, store.Change{Join: &store.Worker{ID: weir.InstanceID(id), Incarnation: 1, Address: id, Machine: "m" + id}})
	}
	data, err := store.Entry{At: testNow, Changes: append(all, changes...)}.Encode()
	require.NoError(t, err)
	answers, ok := st.Apply(1, data).([]store.Result)
	require.True(t, ok)
	for _, ans := range answers {
		require.True(t, ans.Applied, ans.Reason)
	}
	return st
}

func startAt(index int, worker weir.InstanceID) store.Change {
	return store.Change{Start: &store.RunStart{Task: spec.TaskRef{Job: "a", Index: index}, Run: 1, Worker: worker, Incarnation: 1}}
}

// TestStartThatIsBeingOrderedIsNotStopped looks at the worker between the
// moment when a start is in the state and the moment when it is ordered.
func TestStartThatIsBeingOrderedIsNotStopped(t *testing.T) {
	st := storeWith(t, store.Change{Submit: &spec.Job{ID: "a", Steps: []spec.Step{{Count: 1}}}}, startAt(0, "w0"))
	ow, re, at, wk := idleWorker(t, st)
	key := weir.RunKey{Task: spec.TaskRef{Job: "a"}, Run: 1}
	re.starting[key] = true
	ow.reconcile(re, "w0", at, clock.BootTime{}.Now())
	re.planned()
	require.Never(t, func() bool { return len(wk.stopped()) > 0 }, 50*time.Millisecond, 5*time.Millisecond)
	ow.reconcile(re, "w0", at, clock.BootTime{}.Now())
	require.Eventually(t, func() bool { return len(wk.stopped()) > 0 }, 10*time.Second, time.Millisecond,
		"a run that nobody ordered in this reign is stopped by its number")
}

// TestGangIsStoppedOnceAMemberIsMissing frees its room at once, where its
// members would otherwise wait for the missing one until they give up.
func TestGangIsStoppedOnceAMemberIsMissing(t *testing.T) {
	gang := store.Change{Submit: &spec.Job{ID: "a", Steps: []spec.Step{{Count: 2, Gang: true}}}}
	first, second := weir.RunKey{Task: spec.TaskRef{Job: "a"}, Run: 1}, weir.RunKey{Task: spec.TaskRef{Job: "a", Index: 1}, Run: 1}
	st := storeWith(t, gang, startAt(0, "w0"), startAt(1, "w1"))
	st.Read(func(rd store.Reader) {
		require.True(t, rd.Job("a").GangComplete(first))
		require.True(t, rd.Job("a").GangComplete(second))
	})
	st = storeWith(t, gang, startAt(0, "w0"), startAt(1, "w1"),
		store.Change{End: &store.RunEnd{Task: second.Task, Run: 1, Reason: store.EndRefused}})
	ow, re, at, wk := idleWorker(t, st, weir.RunningTask{RunKey: first})
	ow.reconcile(re, "w0", at, clock.BootTime{}.Now())
	require.Eventually(t, func() bool { return len(wk.stopped()) > 0 }, 10*time.Second, time.Millisecond)
	require.Equal(t, first, wk.stopped()[0])
}
