package session

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/clock"

	weir "greengageweir"
)

// scriptedWorker answers renewals with the given reports in turn, then with errors,
// and records the leases that it is granted.
type scriptedWorker struct {
	weir.TaskWorkers

	reports []weir.WorkerReport
	until   []time.Duration
	wait    []time.Duration
}

func (sw *scriptedWorker) Renew(_ context.Context, _ weir.WorkerIncarnation, order weir.RenewOrder) (weir.WorkerReport, error) {
	sw.until, sw.wait = append(sw.until, order.Until), append(sw.wait, order.Wait)
	if len(sw.reports) == 0 {
		return weir.WorkerReport{}, errors.New("no response")
	}
	rep := sw.reports[0]
	sw.reports = sw.reports[1:]
	return rep, nil
}

// TestNextIncarnationMayHoldLongestLease guards against tasks that are started
// elsewhere while a worker that has started again under its id still runs them.
func TestNextIncarnationMayHoldLongestLease(t *testing.T) {
	clk := clock.NewManual(time.Unix(1_800_000_000, 0))
	sw := &scriptedWorker{reports: []weir.WorkerReport{
		{Clock: time.Hour, Incarnation: 1}, {Clock: time.Hour, Incarnation: 1}, {Clock: time.Second, Incarnation: 2}, {Clock: time.Second, Incarnation: 2},
	}}
	ss := &Session{
		Worker: weir.WorkerIncarnation{ID: "w", Incarnation: 1}, Lease: 3 * time.Second, MaxLease: 10 * time.Second,
		Leadership: alwaysLeader{}, Clock: clk, OnChange: func() {}, Workers: sw,
	}
	require.NoError(t, ss.Default())
	for range 5 {
		ss.RenewOnce(t.Context())
	}
	lease := time.Hour + 3*time.Second
	require.Equal(t, []time.Duration{0, lease, lease, 0, 0}, sw.until, "the next incarnation is granted no lease on the clock of this one")
	require.Equal(t, renewWait, sw.wait[len(sw.wait)-1], "it is not asked again at once")
	require.True(t, ss.Unreachable())
	clk.Advance(10 * time.Second)
	require.False(t, ss.LeaseExpired(clk.Now()), "it may have taken the longest lease")
	clk.Advance(500 * time.Millisecond)
	require.True(t, ss.LeaseExpired(clk.Now()))
}

// fencingWorker answers a renewal with a clock that is behind while a start order is
// under way, and refuses the order for its token.
type fencingWorker struct {
	scriptedWorker

	session *Session
	tokens  []uint64
}

func (fw *fencingWorker) Start(ctx context.Context, _ weir.WorkerIncarnation, order weir.StartOrder) (weir.OrderResponse, error) {
	fw.tokens = append(fw.tokens, order.Token)
	fw.reports = []weir.WorkerReport{{Clock: time.Minute, Incarnation: 1}, {Clock: time.Minute, Incarnation: 1}}
	fw.session.RenewOnce(ctx)
	fw.session.RenewOnce(ctx)
	return weir.OrderResponse{Clock: time.Minute, Refusal: weir.RefusedFenced}, nil
}

// TestStartFencedByOwnToken guards against a task that waits for good because its start
// order was refused for a token that the same session has raised meanwhile.
func TestStartFencedByOwnToken(t *testing.T) {
	fw := &fencingWorker{scriptedWorker: scriptedWorker{reports: []weir.WorkerReport{{Clock: time.Hour, Incarnation: 1}}}}
	ss := &Session{
		Worker: weir.WorkerIncarnation{ID: "w", Incarnation: 1}, Token: 8, Lease: 3 * time.Second, MaxLease: 10 * time.Second,
		Leadership: alwaysLeader{}, Clock: clock.NewManual(time.Unix(1_800_000_000, 0)), OnChange: func() {}, Workers: fw,
	}
	fw.session = ss
	require.NoError(t, ss.Default())
	ss.RenewOnce(t.Context())
	key := weir.RunKey{Task: weir.TaskRef{Job: "a"}, Run: 1}
	ss.Start(weir.StartOrder{RunKey: key})
	require.True(t, ss.SendNext(t.Context()))
	require.Equal(t, []uint64{8}, fw.tokens)
	require.Equal(t, uint64(9), ss.currentToken())
	out := ss.Reconcile(ss.Clock.Now(), []PlacedRun{{Key: key, Wanted: true}})
	require.Contains(t, out.Refused, key)
}
