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

// slowPlatform notes orders and does not answer them.
type slowPlatform struct {
	weir.MachinePlatform

	mu     sync.Mutex
	orders []weir.MachineOrder
}

func (sp *slowPlatform) Order(ctx context.Context, order weir.MachineOrder) (weir.MachineResponse, error) {
	sp.mu.Lock()
	sp.orders = append(sp.orders, order)
	sp.mu.Unlock()
	<-ctx.Done()
	return "", ctx.Err()
}

func (sp *slowPlatform) count() int {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	return len(sp.orders)
}

type firstTerm struct{ leads }

func (firstTerm) Term() uint64 { return 1 }

// owing returns an owner with intents for machines: a hundred go to stand by,
// ten are due for maintenance and ten go to a pool that works.
func owing(t *testing.T, perSecond float64) (*Scheduler, *reign, *slowPlatform) {
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
	sp := &slowPlatform{}
	ow := &Scheduler{Store: storeWith(t, changes...), Machines: sp, Leadership: firstTerm{}, Logger: log.NewNopLogger(), wake: make(chan struct{}, 1)}
	re := &reign{term: 1, since: testNow, machines: newMachineDuty(perSecond)}
	for ix := range 120 {
		re.machines.mine[fmt.Sprintf("m%03d", ix)] = true
	}
	return ow, re, sp
}

// TestMachineOrdersAreUrgentFirstAndBounded plays the moment when a peak turns
// from one pool to the next in a fleet of hundreds.
func TestMachineOrdersAreUrgentFirstAndBounded(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ow, re, sp := owing(t, 0)
	ow.orderMachines(ctx, re, testNow)
	require.Eventually(t, func() bool { return sp.count() == machineSlots }, 10*time.Second, time.Millisecond)
	ow.orderMachines(ctx, re, after(1))
	require.Never(t, func() bool { return sp.count() > machineSlots }, 20*time.Millisecond, 5*time.Millisecond)
	kinds := map[string]int{}
	for _, order := range sp.orders {
		kinds[fmt.Sprint(order.Pool, order.Wave)]++
	}
	require.Equal(t, map[string]int{"desk0": 10, "7": 10, "off0": machineSlots - 20}, kinds)
}

func TestMachineOrdersKeepThePlatformsRate(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ow, re, sp := owing(t, 64)
	ow.orderMachines(ctx, re, testNow)
	require.Eventually(t, func() bool { return sp.count() == 16 }, 10*time.Second, time.Millisecond, "a quarter of a second's")
	for _, order := range sp.orders[:10] {
		require.NotEqual(t, weir.PoolName("off"), order.Pool, "what works goes first")
	}
	ow.orderMachines(ctx, re, after(100))
	require.Eventually(t, func() bool { return sp.count() == 16+5 }, 10*time.Second, time.Millisecond, "nine tenths of 64 a second")
}
