package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/duty/clock"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// doneBefore is a platform that answers an order that it carried out earlier.
type doneBefore struct {
	weir.MachinePlatform

	orders chan weir.MachineOrder
}

func (db *doneBefore) Order(_ context.Context, order weir.MachineOrder) (weir.MachineResponse, error) {
	db.orders <- order
	return weir.MachineAccepted, nil
}

// gatedLog applies entries once they are let through.
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

// TestLateAnswerEndsOnlyTheLifeThatWasOrderedAway plays a machine that was
// moved by an order without an answer: its next worker runs a task when the
// order, sent again, is answered.
func TestLateAnswerEndsOnlyTheLifeThatWasOrderedAway(t *testing.T) {
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
	db := &doneBefore{orders: make(chan weir.MachineOrder, 8)}
	ow := &Scheduler{
		Store: st, Machines: db, Leadership: firstTerm{}, Committer: com, Clock: clock.BootTime{}, Logger: log.NewNopLogger(), wake: make(chan struct{}, 1),
	}
	re := &reign{term: 1, since: testNow, machines: newMachineDuty(0), sessions: map[weir.InstanceID]*attended{}}
	re.machines.mine["mw0"] = true
	ow.reign = re
	ow.mu.Lock()
	ow.orderMachines(ctx, re, testNow)
	ow.mu.Unlock()
	<-db.orders
	// The answer is here, its record is not.
	require.Never(t, func() bool {
		ow.mu.Lock()
		ow.orderMachines(ctx, re, after(60_000))
		ow.mu.Unlock()
		return len(db.orders) > 0
	}, 50*time.Millisecond, 5*time.Millisecond, "the order is not sent again meanwhile")
	close(gl.gate)
	require.Eventually(t, func() bool {
		open := true
		st.Read(func(rd store.Reader) { _, open = rd.MachineOperation("mw0") })
		return !open
	}, 10*time.Second, time.Millisecond)
	st.Read(func(rd store.Reader) {
		require.True(t, rd.Job("a").Task(spec.TaskRef{Job: "a"}).Placed(), "the run at the next life goes on")
		_, ok := rd.Worker("w2")
		require.True(t, ok)
	})
}
