package session

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/job/store"
	"greengageweir/internal/standin/workermodel"

	weir "greengageweir"
)

// TestOverAt guards against tasks that start elsewhere while an unanswered order may still
// begin their run, or keep it running.
func TestOverAt(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	at := func(seconds int) time.Time { return begin.Add(time.Duration(seconds) * time.Second) }
	key := func(job weir.JobID, run int) weir.RunKey {
		return weir.RunKey{Task: weir.TaskRef{Job: job}, Run: run}
	}
	longest := maxOrderDelay + slowestSpan(workermodel.HoldMax)
	for name, tc := range map[string]struct {
		orders func(od *Outstanding)
		want   time.Time
	}{
		"no order":           {func(*Outstanding) {}, time.Time{}},
		"unanswered start":   {func(od *Outstanding) { od.StartSent(key("a", 1), at(0)) }, at(0).Add(longest)},
		"answered start":     {func(od *Outstanding) { od.StartSent(key("a", 1), at(0)); od.StartAnswered(key("a", 1)) }, time.Time{}},
		"start of another":   {func(od *Outstanding) { od.StartSent(key("b", 1), at(0)) }, time.Time{}},
		"unanswered renewal": {func(od *Outstanding) { od.LeaseSent(at(0)) }, time.Time{}},
		"an earlier run": {func(od *Outstanding) {
			od.StartSent(key("a", 1), at(0))
			od.StartSent(key("a", 2), at(3))
			od.StartAnswered(key("a", 2))
		}, at(0).Add(longest)},
		"a later start of another extends the lease": {func(od *Outstanding) {
			od.StartSent(key("a", 1), at(0))
			od.StartSent(key("b", 1), at(3))
		}, at(3).Add(longest)},
		"a later renewal extends the lease": {func(od *Outstanding) {
			od.StartSent(key("a", 1), at(0))
			od.LeaseSent(at(4))
		}, at(4).Add(longest)},
		"an answered renewal does not": {func(od *Outstanding) {
			od.StartSent(key("a", 1), at(0))
			od.LeaseSent(at(4))()
		}, at(0).Add(longest)},
		"a report before the longest delay": {func(od *Outstanding) {
			od.StartSent(key("a", 1), at(0))
			od.ReportRequested(at(0).Add(maxOrderDelay))
		}, at(0).Add(longest)},
		"a report after the longest delay": {func(od *Outstanding) {
			od.StartSent(key("a", 1), at(0))
			od.ReportRequested(at(0).Add(maxOrderDelay + time.Millisecond))
		}, time.Time{}},
	} {
		t.Run(name, func(t *testing.T) {
			od := NewOutstanding(workermodel.HoldMax)
			tc.orders(od)
			require.Equal(t, tc.want, od.OverAt(weir.TaskRef{Job: "a"}))
			doubtful := map[weir.TaskRef]bool{}
			od.DoubtfulTasks(at(0), doubtful)
			require.Equal(t, !tc.want.IsZero(), doubtful[weir.TaskRef{Job: "a"}])
			clear(doubtful)
			od.DoubtfulTasks(tc.want, doubtful)
			require.False(t, doubtful[weir.TaskRef{Job: "a"}], "they are over")
		})
	}
}

// recordingWorker lists one end, answers calls unless they fail, and records their orders.
type recordingWorker struct {
	weir.TaskWorkers

	clk        *clock.Manual
	fails      bool
	fenced     bool
	ends       []weir.RunEnd
	starts     []weir.StartOrder
	renewals   []weir.RenewOrder
	duringCall func()
}

func (rw *recordingWorker) answer() error {
	if during := rw.duringCall; during != nil {
		rw.duringCall = nil
		during()
	}
	if rw.fails {
		return errors.New("no response")
	}
	return nil
}

func (rw *recordingWorker) Renew(_ context.Context, _ weir.WorkerIncarnation, order weir.RenewOrder) (weir.WorkerReport, error) {
	rw.renewals = append(rw.renewals, order)
	err := rw.answer()
	if rw.fenced {
		return weir.WorkerReport{Fenced: true}, err
	}
	return weir.WorkerReport{Clock: rw.clk.Now().Sub(time.Unix(0, 0)), Incarnation: 1, Ends: rw.ends}, err
}

func (rw *recordingWorker) Start(_ context.Context, _ weir.WorkerIncarnation, order weir.StartOrder) (weir.OrderResponse, error) {
	rw.starts = append(rw.starts, order)
	return weir.OrderResponse{}, rw.answer()
}

// acknowledging returns a session that sends an acknowledgement with its next renewal.
func acknowledging(t *testing.T) (*Session, *recordingWorker) {
	rw := &recordingWorker{clk: clock.NewManual(time.Unix(1_800_000_000, 0))}
	rw.ends = []weir.RunEnd{{RunKey: weir.RunKey{Task: weir.TaskRef{Job: "z"}, Run: 1}, Number: 1, Reason: "done"}}
	ss := &Session{
		Worker: weir.WorkerIncarnation{ID: "w", Incarnation: 1}, Token: 5, Lease: 3 * time.Second, MaxLease: workermodel.HoldMax,
		Leadership: alwaysLeader{}, Clock: rw.clk, OnChange: func() {}, Workers: rw,
	}
	require.NoError(t, ss.Default())
	ss.RenewOnce(t.Context())
	ss.EndsCommitted(ss.Reconcile(rw.clk.Now(), nil).Number)
	return ss, rw
}

func sendStart(t *testing.T, ss *Session, job weir.JobID) weir.RunKey {
	key := weir.RunKey{Task: weir.TaskRef{Job: job}, Run: 1}
	ss.Start(weir.StartOrder{RunKey: key})
	require.True(t, ss.SendNext(t.Context()))
	return key
}

// TestStartIsFencedFromAcknowledgements guards against an end that is forgotten before it
// is seen, because a worker that has carried out a start takes an earlier acknowledgement.
func TestStartIsFencedFromAcknowledgements(t *testing.T) {
	for name, tc := range map[string]struct {
		before func(ss *Session, rw *recordingWorker)
		want   uint64
	}{
		"answered": {func(ss *Session, _ *recordingWorker) { ss.RenewOnce(t.Context()) }, 5},
		"not answered": {func(ss *Session, rw *recordingWorker) {
			rw.fails = true
			ss.RenewOnce(t.Context())
			rw.fails = false
			ss.RenewOnce(t.Context())
		}, 6},
		"repeated and answered": {func(ss *Session, rw *recordingWorker) {
			rw.fails = true
			ss.RenewOnce(t.Context())
			rw.fails = false
			ss.RenewOnce(t.Context())
			ss.RenewOnce(t.Context())
		}, 6},
	} {
		t.Run(name, func(t *testing.T) {
			ss, rw := acknowledging(t)
			tc.before(ss, rw)
			sendStart(t, ss, "a")
			require.Equal(t, tc.want, rw.starts[0].Token)
			sendStart(t, ss, "b")
			require.Equal(t, tc.want, rw.starts[1].Token, "once is enough")
		})
	}
	t.Run("in flight", func(t *testing.T) {
		ss, rw := acknowledging(t)
		rw.duringCall = func() { sendStart(t, ss, "a") }
		ss.RenewOnce(t.Context())
		require.Equal(t, int64(1), rw.renewals[len(rw.renewals)-1].Acknowledged)
		require.Equal(t, uint64(6), rw.starts[0].Token)
	})
}

// TestNoAcknowledgementBesideUnansweredStart guards against the same with a start that was
// sent first.
func TestNoAcknowledgementBesideUnansweredStart(t *testing.T) {
	ss, rw := acknowledging(t)
	rw.fails = true
	key := sendStart(t, ss, "a")
	rw.fails = false
	placed := []PlacedRun{{Key: key, Wanted: true}}
	ss.Reconcile(rw.clk.Now(), placed)
	ss.RenewOnce(t.Context())
	require.Zero(t, rw.renewals[len(rw.renewals)-1].Acknowledged)
	require.False(t, ss.LeaseExpired(rw.clk.Now()))
	rw.ends = append(rw.ends, weir.RunEnd{RunKey: key, Number: 2, Reason: "done"})
	ss.RenewOnce(t.Context())
	ss.EndsCommitted(ss.Reconcile(rw.clk.Now(), placed).Number)
	ss.RenewOnce(t.Context())
	require.Equal(t, int64(2), rw.renewals[len(rw.renewals)-1].Acknowledged, "the start was carried out")
}

// TestRenewalFencedByOwnStart guards against a worker that counts as unreachable, or as
// having forgotten its ends, because a start with a higher token overtook a renewal.
func TestRenewalFencedByOwnStart(t *testing.T) {
	ss, rw := acknowledging(t)
	rw.fenced = true
	rw.duringCall = func() { sendStart(t, ss, "a") }
	answered, _ := ss.RenewOnce(t.Context())
	require.True(t, answered, "it is sent again at once")
	require.False(t, ss.Unreachable())
	rw.fenced = false
	ss.RenewOnce(t.Context())
	repeated := rw.renewals[len(rw.renewals)-1]
	require.Equal(t, int64(1), repeated.Acknowledged)
	require.Equal(t, uint64(6), repeated.Token)
	ss.RenewOnce(t.Context())
	require.Equal(t, int64(1), rw.renewals[len(rw.renewals)-1].Acknowledged, "it still lists the end")
	rw.fenced = true
	ss.RenewOnce(t.Context())
	require.True(t, ss.Unreachable(), "a later leader has fenced it")
}

// TestSilentWorkerGetsNoFurtherStarts guards against many tasks that wait for the longest
// delay because their starts were sent to a worker that had already fallen silent.
func TestSilentWorkerGetsNoFurtherStarts(t *testing.T) {
	ss, rw := acknowledging(t)
	rw.fails = true
	sendStart(t, ss, "a")
	require.True(t, ss.Usable())
	rw.clk.Advance(silenceLimit + time.Millisecond)
	require.False(t, ss.Usable())
	key := sendStart(t, ss, "b")
	require.Len(t, rw.starts, 1)
	require.Contains(t, ss.Reconcile(rw.clk.Now(), []PlacedRun{{Key: key, Wanted: true}}).Refused, key)
	rw.fails = false
	ss.RenewOnce(t.Context())
	require.True(t, ss.Usable())
}

func (rw *recordingWorker) Stop(context.Context, weir.WorkerIncarnation, weir.RunKey, uint64) (weir.OrderResponse, error) {
	return weir.OrderResponse{}, rw.answer()
}

// TestStoppedStartHoldsUpNoOtherWorker guards against a lasting task that has no run for 22 s
// because an earlier start of it was not answered, though its worker has stopped that run and
// the next one was elsewhere; and against one that is forgotten while it may still run on that
// worker.
func TestStoppedStartHoldsUpNoOtherWorker(t *testing.T) {
	ss, rw := acknowledging(t)
	rw.fails = true
	key := sendStart(t, ss, "a")
	rw.fails = false
	placed := []PlacedRun{{Key: key, Wanted: true}}
	require.Empty(t, ss.Reconcile(rw.clk.Now(), placed).Ends)
	rw.clk.Advance(time.Millisecond)
	require.True(t, ss.SendNext(t.Context()), "the stop")
	require.False(t, ss.Outstanding.OverAt(key.Task).IsZero())
	rw.clk.Advance(time.Millisecond)
	ss.RenewOnce(t.Context())
	require.Len(t, ss.Reconcile(rw.clk.Now(), placed).Ends, 1)
	doubtful := map[weir.TaskRef]bool{}
	ss.Outstanding.DoubtfulTasks(rw.clk.Now(), doubtful)
	require.Empty(t, doubtful)
	require.False(t, ss.Outstanding.OverAt(key.Task).IsZero(), "the next incarnation may carry the start out")
	rw.clk.Advance(maxOrderDelay)
	ss.RenewOnce(t.Context())
	require.True(t, ss.Outstanding.OverAt(key.Task).IsZero())
}

// TestEndOfUnknownReason guards against a process that ends because of the reason that a
// worker gives for an end (review/9), and against a failure that is held against the task.
func TestEndOfUnknownReason(t *testing.T) {
	for _, reason := range []string{`killed "oom"`, "", "refused", "Done"} {
		ss, rw := acknowledging(t)
		key := weir.RunKey{Task: weir.TaskRef{Job: "a"}, Run: 1}
		rw.ends = []weir.RunEnd{{RunKey: key, Number: 2, Reason: reason}}
		ss.RenewOnce(t.Context())
		out := ss.Reconcile(rw.clk.Now(), []PlacedRun{{Key: key, Wanted: true}})
		require.Equal(t, []store.RunEnd{{Task: key.Task, Run: 1, Reason: store.EndLost}}, out.Ends, reason)
	}
}
