package session

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/duty/clock"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

const testLease = 3 * time.Second

// fakeWorker answers renewals from its own clock until it falls silent.
type fakeWorker struct {
	weir.TaskWorkers

	mu     sync.Mutex
	clk    *clock.Manual
	silent bool
	until  time.Duration
	// answered is the worker's clock at its last answer.
	answered time.Duration
	reports  weir.WorkerReport
	stops    []weir.RunKey
	starts   []weir.RunKey
}

func (fw *fakeWorker) clock() time.Duration { return fw.clk.Now().Sub(time.Unix(0, 0)) }

func (fw *fakeWorker) Renew(_ context.Context, _ weir.WorkerIncarnation, order weir.RenewOrder) (weir.WorkerReport, error) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	// An order without an answer may still be carried out.
	fw.until = max(fw.until, order.Until)
	if fw.silent {
		return weir.WorkerReport{}, errors.New("silent")
	}
	rep := fw.reports
	rep.Clock = fw.clock()
	fw.answered = rep.Clock
	return rep, nil
}

func (fw *fakeWorker) Start(_ context.Context, _ weir.WorkerIncarnation, order weir.RunOrder) (weir.OrderResponse, error) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.starts = append(fw.starts, order.RunKey)
	return weir.OrderResponse{Clock: fw.clock()}, nil
}

func (fw *fakeWorker) Stop(_ context.Context, _ weir.WorkerIncarnation, key weir.RunKey, _ uint64) (weir.OrderResponse, error) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.stops = append(fw.stops, key)
	return weir.OrderResponse{Clock: fw.clock()}, nil
}

type always struct{}

func (always) Leads() bool { return true }

func newSession(t *testing.T) (*Session, *fakeWorker) {
	clk := clock.NewManual(time.Unix(100, 0))
	fw := &fakeWorker{clk: clk}
	ss := &Session{
		Worker: weir.WorkerIncarnation{ID: "w1", Born: 1, Address: "w1"}, Token: 7, Lease: testLease, Workers: fw, Leadership: always{},
		Clock: clk, OnChange: func() {},
	}
	require.NoError(t, ss.Default())
	return ss, fw
}

func TestSilentWorkerLapsesAndNotBeforeItsLease(t *testing.T) {
	ctx := context.Background()
	ss, fw := newSession(t)
	require.True(t, ss.renew(ctx))
	require.True(t, ss.renew(ctx))
	fw.silent = true
	for range 100 {
		fw.clk.Advance(100 * time.Millisecond)
		ss.renew(ctx)
		if ss.LeaseExpired(fw.clk.Now()) {
			break
		}
	}
	require.True(t, ss.LeaseExpired(fw.clk.Now()), "renewals that are not answered must not put it off for ever")
	slow := fw.answered + time.Duration(float64(fw.clock()-fw.answered)*clockSlack)
	require.Greater(t, slow, fw.until, "also on a clock that is 2 % slow the lease is over")
}

func TestAnsweringWorkerNeverLapses(t *testing.T) {
	ss, fw := newSession(t)
	for range 100 {
		ss.renew(context.Background())
		fw.clk.Advance(time.Second)
		require.False(t, ss.LeaseExpired(fw.clk.Now()))
	}
}

func TestEndsAreHandedOutUntilTheyAreRecorded(t *testing.T) {
	ctx := context.Background()
	ss, fw := newSession(t)
	key := weir.RunKey{Task: weir.TaskRef{Job: "a"}, Run: 1}
	fw.reports.Ends = []weir.RunEnd{{RunKey: key, Number: 1, How: string(store.EndDone)}}
	require.True(t, ss.takeReport(fw.clk.Now(), fw.reports))
	placed := []PlacedRun{{Key: key, Wanted: true}}
	require.Len(t, ss.Reconcile(fw.clk.Now(), placed).Ends, 1)
	require.Empty(t, ss.Reconcile(fw.clk.Now(), placed).Ends, "it is being recorded")
	ss.EndsNotCommitted()
	out := ss.Reconcile(fw.clk.Now(), placed)
	require.Len(t, out.Ends, 1)
	ss.EndsCommitted(out.Number)
	require.False(t, ss.takeReport(fw.clk.Now(), fw.reports), "listed again, known already")
	ss.renew(ctx)
	require.Empty(t, ss.Reconcile(fw.clk.Now(), nil).Ends)
}

// TestEndsAreRecordedInOrder plays a change of the log that fails while ends
// that came later wait: recording these must not pass over the first.
func TestEndsAreRecordedInOrder(t *testing.T) {
	ss, fw := newSession(t)
	key := func(ix int) weir.RunKey { return weir.RunKey{Task: weir.TaskRef{Job: "a", Index: ix}, Run: 1} }
	end := func(ix int) weir.RunEnd {
		return weir.RunEnd{RunKey: key(ix), Number: int64(ix), How: string(store.EndDone)}
	}
	placed := []PlacedRun{{Key: key(1), Wanted: true}, {Key: key(2), Wanted: true}}
	ss.takeReport(fw.clk.Now(), weir.WorkerReport{Ends: []weir.RunEnd{end(1)}})
	first := ss.Reconcile(fw.clk.Now(), placed)
	require.Len(t, first.Ends, 1)
	ss.takeReport(fw.clk.Now(), weir.WorkerReport{Ends: []weir.RunEnd{end(1), end(2)}})
	second := ss.Reconcile(fw.clk.Now(), placed)
	ss.EndsNotCommitted()
	if len(second.Ends) > 0 {
		ss.EndsCommitted(second.Number)
	}
	require.Len(t, ss.Reconcile(fw.clk.Now(), placed).Ends, 2, "both are still to be recorded")
}

// cancelledStart returns a session whose only start was cancelled before it was
// sent.
func cancelledStart(t *testing.T) (*Session, *fakeWorker, weir.RunKey) {
	ss, fw := newSession(t)
	ss.renew(context.Background())
	key := weir.RunKey{Task: weir.TaskRef{Job: "a"}, Run: 1}
	ss.Start(weir.RunOrder{RunKey: key})
	ss.Reconcile(fw.clk.Now(), []PlacedRun{{Key: key}})
	for len(ss.orders) > 0 {
		(<-ss.orders)(context.Background())
	}
	return ss, fw, key
}

// TestVerdictIsHandedOutOnce keeps a slow log from being flooded.
func TestVerdictIsHandedOutOnce(t *testing.T) {
	ss, fw, key := cancelledStart(t)
	placed := []PlacedRun{{Key: key}}
	require.Len(t, ss.Reconcile(fw.clk.Now(), placed).Ends, 1)
	require.Empty(t, ss.Reconcile(fw.clk.Now(), placed).Ends, "it is being recorded")
	ss.EndsNotCommitted()
	require.Len(t, ss.Reconcile(fw.clk.Now(), placed).Ends, 1)
}

func TestUnknownRunIsStopped(t *testing.T) {
	ss, fw := newSession(t)
	key := weir.RunKey{Task: weir.TaskRef{Job: "a"}, Run: 1}
	fw.reports.Running = []weir.RunningTask{{RunKey: key}}
	ss.takeReport(fw.clk.Now(), fw.reports)
	ss.Reconcile(fw.clk.Now(), nil)
	(<-ss.orders)(context.Background())
	require.Equal(t, []weir.RunKey{key}, fw.stops)
}

func TestStartOfACancelledRunIsNotSent(t *testing.T) {
	ss, fw, key := cancelledStart(t)
	require.Empty(t, fw.starts)
	out := ss.Reconcile(fw.clk.Now(), []PlacedRun{{Key: key}})
	require.Equal(t, []store.RunEnd{{Task: key.Task, Run: 1, Reason: store.EndRefused}}, out.Ends)
}

// TestAnswersThatOvertakeEachOther plays a look that was asked for after a
// renewal and answered before it, but arrives last.
func TestAnswersThatOvertakeEachOther(t *testing.T) {
	ss, fw := newSession(t)
	ss.renew(context.Background())
	key := weir.RunKey{Task: weir.TaskRef{Job: "a"}, Run: 1}
	ss.Start(weir.RunOrder{RunKey: key})
	renewalSent := fw.clk.Now()
	fw.clk.Advance(100 * time.Millisecond)
	lookSent := fw.clk.Now()
	fw.clk.Advance(10 * time.Millisecond)
	(<-ss.orders)(context.Background())
	fw.clk.Advance(10 * time.Millisecond)
	ss.takeReport(renewalSent, weir.WorkerReport{Running: []weir.RunningTask{{RunKey: key}}})
	ss.takeReport(lookSent, weir.WorkerReport{})
	out := ss.Reconcile(fw.clk.Now(), []PlacedRun{{Key: key, Wanted: true}})
	require.Empty(t, out.Ends, "the run is there")
	require.Empty(t, ss.orders, "and is not stopped")
	fw.clk.Advance(10 * time.Millisecond)
	ss.takeReport(fw.clk.Now(), weir.WorkerReport{})
	out = ss.Reconcile(fw.clk.Now(), []PlacedRun{{Key: key, Wanted: true}})
	require.Len(t, out.Ends, 1, "a report asked for later shows that it is over")
}
