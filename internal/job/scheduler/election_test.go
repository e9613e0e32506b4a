package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/job/store"
	"greengageweir/internal/task/session"

	weir "greengageweir"
)

// TestPriorLeasesCountAfterElection covers a worker that does not respond to a new
// leader: it may hold a lease of the earlier one, and, if it has started again
// under its id, the longest lease that workers accept.
func TestPriorLeasesCountAfterElection(t *testing.T) {
	for name, tc := range map[string]struct {
		restarted bool
		expired   time.Duration
	}{
		"same incarnation": {false, priorLeaderGrace + 3*time.Second + 150*time.Millisecond},
		"started again":    {true, priorLeaderGrace + 6*time.Second + 300*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			clk := clock.NewManual(testNow)
			sc := &Scheduler{
				Store: store.New(), Workers: silentWorkers{}, Leadership: firstTermLeader{}, Clock: clk, Logger: log.NewNopLogger(), Lease: 3 * time.Second, MaxLease: 6 * time.Second, wake: make(chan struct{}, 1),
				runSession: func(context.Context, *session.Session) {},
			}
			ls := &leaderState{term: 2, since: testNow, sessions: map[weir.InstanceID]*workerSession{}}
			ws := sc.openSession(t.Context(), ls, store.Worker{ID: "w0", Incarnation: 1, Restarted: tc.restarted}, testNow)
			ws.session.RenewOnce(t.Context())
			require.False(t, ws.session.LeaseExpired(testNow.Add(tc.expired-time.Millisecond)))
			require.True(t, ws.session.LeaseExpired(testNow.Add(tc.expired+time.Millisecond)))
		})
	}
}

// silentWorkers respond to nothing.
type silentWorkers struct{ weir.TaskWorkers }

func (silentWorkers) Renew(context.Context, weir.WorkerIncarnation, weir.RenewOrder) (weir.WorkerReport, error) {
	return weir.WorkerReport{}, errNoResponse
}

// TestNewLeaderLeavesOrderedMachinesAlone covers an order of an earlier leader that
// may still be under way when another leader is elected.
func TestNewLeaderLeavesOrderedMachinesAlone(t *testing.T) {
	st := store.New()
	st.Clock = clock.NewManual(testNow)
	data, err := store.Entry{At: testNow, Changes: []store.Change{{Machine: &store.MachineOperation{Machine: "m0", Wave: 1}}}}.Encode()
	require.NoError(t, err)
	st.Apply(1, data)
	sc := &Scheduler{Store: st, Leadership: firstTermLeader{}, Logger: log.NewNopLogger(), MachineOrderDelay: simOrderDelay}
	ls := &leaderState{term: 1, since: after(1000), machines: newMachineState(0)}
	count := func(now time.Time) (out int) {
		st.Read(func(rd store.Reader) { out = len(sc.pendingOrders(ls, rd, now)) })
		return out
	}
	require.Zero(t, count(after(1000).Add(simOrderDelay-time.Millisecond)))
	require.Equal(t, 1, count(after(1000).Add(simOrderDelay)))
}

// leaderOf leads in a term.
type leaderOf struct {
	alwaysLeader
	term uint64
}

func (lo *leaderOf) LeaderTerm() uint64 { return lo.term }

// TestNotReadyInTheNextTermOfItsOwn guards against answers from an old state, such as an older
// configuration, by a process that lost its term and leads again before it has noticed:
// another leader may have committed entries between the two that it has not applied.
func TestNotReadyInTheNextTermOfItsOwn(t *testing.T) {
	lo := &leaderOf{term: 5}
	sc := &Scheduler{Store: store.New(), Leadership: lo, Clock: clock.NewManual(testNow)}
	sc.setLeader(sc.newLeaderState(5))
	require.True(t, sc.Ready())
	lo.term = 7
	require.False(t, sc.Ready())
	sc.setLeader(sc.newLeaderState(7))
	require.True(t, sc.Ready())
}
