// Package peaks measures how many instances a fleet needs to start urgent
// requests in time when the demand of its services peaks at different times. It
// drives the real placement with a manual clock and seeded demand, and compares
// several policies.
//
// Usage:
//
//	out := peaks.Run(peaks.Fleet{PerPool: 3, Spare: 9}, peaks.Lending, peaks.Rotating(40, 1))
//	fmt.Println(out.InTime, out.Idle, out.Moves)
package peaks

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"time"

	weir "greengageweir"
	"greengageweir/internal/common/clock"
	"greengageweir/internal/config/model"
	"greengageweir/internal/contract/endpoint"
	"greengageweir/internal/entry/routing"
	"greengageweir/internal/fleet/view"
)

// Policy decides how a fleet handles a peak.
type Policy string

// The policies. The first two are baselines.
const (
	// Static keeps every instance in its pool.
	Static Policy = "static pools"
	// Reactive moves instances from the least loaded pool to a pool above the
	// load threshold.
	Reactive Policy = "reactive threshold"
	// Lending lets any service use the free slots of the spare pool.
	Lending Policy = "spare pool lends"
	// LendingAll lets any service use the free slots of every pool.
	LendingAll Policy = "all pools lend"
)

const (
	serviceCount     = 5
	slotsPerInstance = 8
	meanWork         = 500 * time.Millisecond
	startDeadline    = 2500 * time.Millisecond
	tickInterval     = 10 * time.Millisecond
	duration         = 120 * time.Second

	reactInterval = time.Second
	// moveTime is how long an instance is out of service while it moves.
	moveTime = 2 * time.Second
	highLoad = 0.8
	lowLoad  = 0.4
	// maxMovesPerReaction limits the instances moved to a pool at a time.
	maxMovesPerReaction = 4
)

// Fleet holds the sizes of the pools.
type Fleet struct {
	// PerPool is the number of instances in each ordinary pool, Spare that in
	// the spare pool.
	PerPool int
	Spare   int
	// MinPerPool is how many instances the reactive policy leaves in a pool, at
	// least 1.
	MinPerPool int
}

// Size returns the number of instances.
func (fl Fleet) Size() int { return fl.PerPool*(serviceCount-1) + fl.Spare }

// Demand is a named trace. Rate returns the arrivals per second of a service at a
// time.
type Demand struct {
	Name string
	Seed int64
	Rate func(service int, at time.Duration) float64
}

// Outcome is the result of a run.
type Outcome struct {
	// InTime is the share of requests that started within 2.5 s.
	InTime float64
	// Immediate is the share of requests that started without waiting.
	Immediate float64
	// Idle and Busy are the mean numbers of idle and of busy instances.
	Idle  float64
	Busy  float64
	Moves int
}

const peakLength = 4 * time.Second

// Rotating returns a demand in which the services peak one after the other, at
// five times the mean for four seconds, and need a twentieth of the mean
// otherwise.
func Rotating(mean float64, seed int64) Demand {
	return Demand{Name: "peaks in turn", Seed: seed, Rate: func(service int, at time.Duration) float64 {
		if int(at/peakLength)%serviceCount == service {
			return 5 * mean
		}
		return mean / 20
	}}
}

// Random returns a demand without a pattern: the service that peaks next is
// random, and in one of eight peaks a second service may peak as well.
func Random(mean float64, seed int64) Demand {
	rng := rand.New(rand.NewSource(seed)) //nolint:gosec // a seeded trace
	count := int(duration/peakLength) + 1
	first, second := make([]int, count), make([]int, count)
	for ix := range first {
		first[ix], second[ix] = rng.Intn(serviceCount), -1
		if rng.Intn(8) == 0 {
			second[ix] = rng.Intn(serviceCount)
		}
	}
	return Demand{Name: "pattern broken", Seed: seed, Rate: func(service int, at time.Duration) float64 {
		if ix := int(at / peakLength); first[ix] == service || second[ix] == service {
			return 5 * mean
		}
		return mean / 20
	}}
}

// queuedRequest is a request that is waiting or running.
type queuedRequest struct {
	req     *weir.Request
	arrived time.Duration
	ends    time.Duration
	slot    *routing.Slot
}

// runHeap orders running requests by their end.
type runHeap []*queuedRequest

// Len implements heap.Interface.
func (ru runHeap) Len() int { return len(ru) }

// Less implements heap.Interface.
func (ru runHeap) Less(a, b int) bool { return ru[a].ends < ru[b].ends }

// Swap implements heap.Interface.
func (ru runHeap) Swap(a, b int) { ru[a], ru[b] = ru[b], ru[a] }

// Push implements heap.Interface.
func (ru *runHeap) Push(val any) { *ru = append(*ru, val.(*queuedRequest)) }

// Pop implements heap.Interface.
func (ru *runHeap) Pop() any {
	old := *ru
	last := old[len(old)-1]
	*ru = old[:len(old)-1]
	return last
}

// simulation is the state of one run.
type simulation struct {
	clk        *clock.Manual
	tb         *routing.Table
	vw         view.View
	policy     Policy
	demand     Demand
	rng        *rand.Rand
	at         time.Duration
	queues     [serviceCount][]*queuedRequest
	busy       [serviceCount]int
	running    runHeap
	moving     map[weir.InstanceID]pendingMove
	minPerPool int

	started, inTime, immediate, moves int
	busySum                           float64
}

// pendingMove is the arrival time and the new pool of a moving instance.
type pendingMove struct {
	at time.Duration
	to weir.PoolName
}

// Run simulates a fleet under a policy and a demand.
func Run(fl Fleet, policy Policy, demand Demand) Outcome {
	sm := &simulation{
		clk: clock.NewManual(time.Unix(1_800_000_000, 0)), policy: policy, demand: demand,
		rng: rand.New(rand.NewSource(demand.Seed)), moving: map[weir.InstanceID]pendingMove{}, //nolint:gosec // a seeded run
	}
	sm.minPerPool = max(fl.MinPerPool, 1)
	sm.build(fl)
	for ; sm.at < duration; sm.at += tickInterval {
		sm.tick()
	}
	ticks := float64(duration / tickInterval)
	total := float64(sm.started + sm.countLate())
	busy := sm.busySum / ticks / slotsPerInstance
	return Outcome{
		InTime: float64(sm.inTime) / total, Immediate: float64(sm.immediate) / total,
		Busy: busy, Idle: float64(fl.Size()) - busy, Moves: sm.moves,
	}
}

// countLate counts the requests still queued beyond the start deadline.
func (sm *simulation) countLate() int {
	count := 0
	for _, queue := range sm.queues {
		for _, jb := range queue {
			if sm.at-jb.arrived > startDeadline {
				count++
			}
		}
	}
	return count
}

func poolName(service int) weir.PoolName { return weir.PoolName(fmt.Sprintf("pool-%d", service)) }

func (sm *simulation) build(fl Fleet) {
	sm.vw = view.View{Index: 1, Members: map[weir.InstanceID]view.Member{}}
	cfg := model.Config{
		Limits:   model.Limits{SlotsPerInstance: slotsPerInstance, ConnectionsPerInstance: 64},
		Services: map[weir.ServiceName]model.Service{}, Pools: map[weir.PoolName]model.Pool{},
	}
	for service := range serviceCount {
		name := weir.ServiceName(poolName(service))
		spare := sm.policy == LendingAll || (sm.policy == Lending && service == serviceCount-1)
		cfg.Services[name] = model.Service{Name: name, QueueLength: math.MaxInt32}
		cfg.Pools[poolName(service)] = model.Pool{Name: poolName(service), Service: name, Spare: spare}
		size := fl.PerPool
		if service == serviceCount-1 {
			size = fl.Spare
		}
		for ix := range size {
			id := weir.InstanceID(fmt.Sprintf("n-%d-%02d", service, ix))
			sm.vw.Members[id] = view.Member{Instance: id, Pool: poolName(service), Phase: view.Serving}
		}
	}
	sm.vw.Config = cfg
	sm.tb = routing.New(sm.clk, "zone")
	sm.tb.SetView(sm.vw)
	sm.announce()
}

func (sm *simulation) announce() {
	for id := range sm.vw.Members {
		sm.tb.Announce(endpoint.Announcement{Instance: id, Address: "127.0.0.1:1", State: endpoint.Serving})
	}
}

func (sm *simulation) tick() {
	sm.clk.Advance(tickInterval)
	if sm.at%time.Second == 0 {
		sm.announce()
	}
	for len(sm.running) > 0 && sm.running[0].ends <= sm.at {
		done, _ := heap.Pop(&sm.running).(*queuedRequest)
		done.slot.Release(routing.Succeeded)
		sm.busy[serviceOf(done.req)]--
	}
	if sm.policy == Reactive {
		sm.react()
	}
	for service := range serviceCount {
		sm.addArrivals(service)
		sm.startRequests(service)
	}
	for _, busy := range sm.busy {
		sm.busySum += float64(busy)
	}
}

func serviceOf(req *weir.Request) int {
	var service int
	_, _ = fmt.Sscanf(string(req.Service), "pool-%d", &service)
	return service
}

// addArrivals queues the requests that arrive during one tick, a
// Poisson-distributed number.
func (sm *simulation) addArrivals(service int) {
	mean := sm.demand.Rate(service, sm.at) * tickInterval.Seconds()
	for chance := sm.rng.ExpFloat64(); chance < mean; chance += sm.rng.ExpFloat64() {
		sm.queues[service] = append(sm.queues[service], &queuedRequest{arrived: sm.at, req: &weir.Request{
			Service: weir.ServiceName(poolName(service)), Class: weir.Urgent, Deadline: sm.clk.Now().Add(time.Hour),
		}})
	}
}

// startRequests starts queued requests in order until no slot is free.
func (sm *simulation) startRequests(service int) {
	for len(sm.queues[service]) > 0 {
		next := sm.queues[service][0]
		slot, err := sm.tb.TryAcquire(next.req)
		if err != nil {
			return
		}
		sm.queues[service] = sm.queues[service][1:]
		next.slot = slot
		next.ends = sm.at + time.Duration(sm.rng.ExpFloat64()*float64(meanWork))
		heap.Push(&sm.running, next)
		sm.busy[service]++
		sm.started++
		if wait := sm.at - next.arrived; wait <= startDeadline {
			sm.inTime++
			if wait == 0 {
				sm.immediate++
			}
		}
	}
}
