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

	weir "greengageweir"
)

// acceptingPlatform is a platform that accepts every order.
type acceptingPlatform struct {
	weir.MachinePlatform

	orders chan weir.MachineOrder
}

func (ap *acceptingPlatform) Order(_ context.Context, order weir.MachineOrder) (weir.MachineResponse, error) {
	ap.orders <- order
	return weir.MachineAccepted, nil
}

// gatedLog blocks proposals until the gate is opened.
type gatedLog struct {
	st    *store.Store
	index uint64
	gate  chan struct{}
}

func (gl *gatedLog) Propose(_ context.Context, data []byte) (any, error) {
	<-gl.gate
	gl.index++
	return gl.st.Apply(gl.index, data), nil
}

// TestLateResponseKeepsNewIncarnation covers a machine that was moved by an order
// whose response was lost. The order is sent again and accepted while the machine's
// next worker incarnation already runs a task, which must not be ended.
func TestLateResponseKeepsNewIncarnation(t *testing.T) {
	move := store.MachineOperation{Machine: "mw0", Pool: "desk", Worker: "w0", Incarnation: 1}
	next := store.Worker{ID: "w2", Incarnation: 2, Address: "w2", Machine: "mw0"}
	st := storeWith(t, store.Change{Submit: &spec.Job{ID: "a", Steps: []spec.Step{{Count: 1}}}}, store.Change{Machine: &move},
		store.Change{Join: &next}, store.Change{Start: &store.RunStart{Task: spec.TaskRef{Job: "a"}, Run: 1, Worker: "w2", Incarnation: 2}})
	gl := &gatedLog{st: st, index: 1, gate: make(chan struct{})}
	com := &Committer{Log: gl, Wall: clock.Wall{}}
	require.NoError(t, com.Default())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = com.Run(ctx) }()
	ap := &acceptingPlatform{orders: make(chan weir.MachineOrder, 8)}
	sc := &Scheduler{
		Store: st, Machines: ap, Leadership: firstTermLeader{}, Committer: com, Clock: clock.BootTime{}, Logger: log.NewNopLogger(), wake: make(chan struct{}, 1),
	}
	ls := &leaderState{term: 1, since: testNow, machines: newMachineState(0), sessions: map[weir.InstanceID]*workerSession{}}
	ls.machines.orderedHere["mw0"] = true
	sc.leader = ls
	sc.mu.Lock()
	sc.orderMachines(ctx, ls, testNow)
	sc.mu.Unlock()
	<-ap.orders
	// The response has arrived but is not recorded yet.
	require.Never(t, func() bool {
		sc.mu.Lock()
		sc.orderMachines(ctx, ls, after(60_000))
		sc.mu.Unlock()
		return len(ap.orders) > 0
	}, 50*time.Millisecond, 5*time.Millisecond, "the order is not sent again before its response is recorded")
	close(gl.gate)
	require.Eventually(t, func() bool {
		open := true
		st.Read(func(rd store.Reader) { _, open = rd.MachineOperation("mw0") })
		return !open
	}, 10*time.Second, time.Millisecond)
	st.Read(func(rd store.Reader) {
		require.True(t, rd.Job("a").Task(spec.TaskRef{Job: "a"}).Placed(), "the run of the new incarnation goes on")
		_, ok := rd.Worker("w2")
		require.True(t, ok)
	})
}
