package scheduler

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// blockingPlatform records orders and does not respond to them.
type blockingPlatform struct {
	weir.MachinePlatform

	mu     sync.Mutex
	orders []weir.MachineOrder
}

func (bp *blockingPlatform) Order(ctx context.Context, order weir.MachineOrder) (weir.MachineResponse, error) {
	bp.mu.Lock()
	bp.orders = append(bp.orders, order)
	bp.mu.Unlock()
	<-ctx.Done()
	return "", ctx.Err()
}

func (bp *blockingPlatform) count() int {
	bp.mu.Lock()
	defer bp.mu.Unlock()
	return len(bp.orders)
}

type firstTermLeader struct{ alwaysLeader }

func (firstTermLeader) LeaderTerm() uint64 { return 1 }

// withPendingOrders returns a scheduler with 120 pending machine orders: a hundred
// moves to a standby pool, ten for maintenance and ten moves to an active pool.
func withPendingOrders(t *testing.T, perSecond float64) (*Scheduler, *leaderState, *blockingPlatform) {
	ct := catalog.Catalog{Version: 1, Pools: []catalog.Pool{{Name: "desk"}, {Name: "off", Standby: true}}}
	packed, err := ct.Pack()
	require.NoError(t, err)
	changes := []store.Change{{Catalog: packed}}
	for ix := range 120 {
		op := &store.MachineOperation{Machine: fmt.Sprintf("m%03d", ix), Pool: "off"}
		switch {
		case ix >= 110:
			op.Pool = "desk"
		case ix >= 100:
			op.Pool, op.Wave = "", 7
		}
		changes = append(changes, store.Change{Machine: op})
	}
	bp := &blockingPlatform{}
	sc := &Scheduler{Store: storeWith(t, changes...), Machines: bp, Leadership: firstTermLeader{}, Logger: log.NewNopLogger(), wake: make(chan struct{}, 1)}
	ls := &leaderState{term: 1, since: testNow, machines: newMachineState(perSecond)}
	for ix := range 120 {
		ls.machines.orderedHere[fmt.Sprintf("m%03d", ix)] = true
	}
	return sc, ls, bp
}

// TestUrgentMachineOrdersAreSentFirst covers a demand peak that shifts from one
// pool to another in a fleet of hundreds of machines: moves to the active pool and
// maintenance must not wait behind moves to the standby pool, and the number of
// orders in flight is limited.
func TestUrgentMachineOrdersAreSentFirst(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	sc, ls, bp := withPendingOrders(t, 0)
	sc.orderMachines(ctx, ls, testNow)
	require.Eventually(t, func() bool { return bp.count() == maxOrdersInFlight }, 10*time.Second, time.Millisecond)
	sc.orderMachines(ctx, ls, after(1))
	require.Never(t, func() bool { return bp.count() > maxOrdersInFlight }, 20*time.Millisecond, 5*time.Millisecond)
	kinds := map[string]int{}
	for _, order := range bp.orders {
		kinds[fmt.Sprint(order.Pool, order.Wave)]++
	}
	require.Equal(t, map[string]int{"desk0": 10, "7": 10, "off0": maxOrdersInFlight - 20}, kinds)
}

func TestMachineOrdersKeepPlatformRateLimit(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	sc, ls, bp := withPendingOrders(t, 64)
	sc.orderMachines(ctx, ls, testNow)
	require.Eventually(t, func() bool { return bp.count() == 16 }, 10*time.Second, time.Millisecond, "the burst covers a quarter of a second")
	for _, order := range bp.orders[:10] {
		require.NotEqual(t, weir.PoolName("off"), order.Pool, "moves to standby pools come last")
	}
	sc.orderMachines(ctx, ls, after(100))
	require.Eventually(t, func() bool { return bp.count() == 16+5 }, 10*time.Second, time.Millisecond, "nine tenths of 64 orders a second")
}
