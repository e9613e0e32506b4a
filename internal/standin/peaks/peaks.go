// Package peaks measures what a fleet needs to start urgent work in time when
// each service peaks in turn. It drives the real placement with a clock of its
// own, through seeded demand, under several policies.
//
// Usage:
//
//	out := peaks.Run(peaks.Fleet{Own: 3, Spare: 9}, peaks.Lending, peaks.Turns(40, 1))
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

// Policy is how a fleet meets a peak.
type Policy string

// The policies; the first two are baselines.
const (
	// Static pools keep their instances.
	Static Policy = "static pools"
	// Reactive moves instances from the idlest pool to one that is over its
	// threshold.
	Reactive Policy = "reactive threshold"
	// Lending lets the spare pool's free slots serve any service.
	Lending Policy = "spare pool lends"
	// LendingAll marks every pool as spare.
	LendingAll Policy = "all pools lend"
)

const (
	services    = 5
	slots       = 8
	meanWork    = 500 * time.Millisecond
	startWithin = 2500 * time.Millisecond
	step        = 10 * time.Millisecond
	length      = 120 * time.Second

	reactEvery = time.Second
	// moveTime is how long an instance is out of service while it moves.
	moveTime  = 2 * time.Second
	busyAbove = 0.8
	idleBelow = 0.4
	// movesAtOnce bounds the instances that one reaction moves.
	movesAtOnce = 4
)

// Fleet is the number of instances in each ordinary pool and in the spare.
type Fleet struct {
	Own   int
	Spare int
	// Keep is how many instances the reactive policy leaves in a pool.
	Keep int
}

// Size returns the number of instances.
func (fl Fleet) Size() int { return fl.Own*(services-1) + fl.Spare }

// Demand returns the arrivals a second of a service at a time.
type Demand struct {
	Name string
	Seed int64
	Rate func(service int, at time.Duration) float64
}

// Outcome is what a run showed.
type Outcome struct {
	// InTime is the share of requests that started within 2.5 s.
	InTime float64
	// AtOnce is the share that did not wait.
	AtOnce float64
	// Idle is the mean number of idle instances: the buffer.
	Idle  float64
	Busy  float64
	Moves int
}

const turn = 4 * time.Second

// Turns lets each service ask for five times its mean for four seconds in
// turn, and for a twentieth of it in between.
func Turns(mean float64, seed int64) Demand {
	return Demand{Name: "peaks in turn", Seed: seed, Rate: func(service int, at time.Duration) float64 {
		if int(at/turn)%services == service {
			return 5 * mean
		}
		return mean / 20
	}}
}

// Broken breaks the pattern: who peaks next is random, and in one turn of
// eight two services peak at once.
func Broken(mean float64, seed int64) Demand {
	rng := rand.New(rand.NewSource(seed)) //nolint:gosec // a seeded trace
	count := int(length/turn) + 1
	first, second := make([]int, count), make([]int, count)
	for ix := range first {
		first[ix], second[ix] = rng.Intn(services), -1
		if rng.Intn(8) == 0 {
			second[ix] = rng.Intn(services)
		}
	}
	return Demand{Name: "pattern broken", Seed: seed, Rate: func(service int, at time.Duration) float64 {
		if ix := int(at / turn); first[ix] == service || second[ix] == service {
			return 5 * mean
		}
		return mean / 20
	}}
}

// job is a request that waits or runs.
type job struct {
	req     *weir.Request
	arrived time.Duration
	ends    time.Duration
	slot    *routing.Slot
}

type running []*job

// Len implements heap.Interface.
func (ru running) Len() int { return len(ru) }

// Less implements heap.Interface.
func (ru running) Less(a, b int) bool { return ru[a].ends < ru[b].ends }

// Swap implements heap.Interface.
func (ru running) Swap(a, b int) { ru[a], ru[b] = ru[b], ru[a] }

// Push implements heap.Interface.
func (ru *running) Push(val any) { *ru = append(*ru, val.(*job)) }

// Pop implements heap.Interface.
func (ru *running) Pop() any {
	old := *ru
	last := old[len(old)-1]
	*ru = old[:len(old)-1]
	return last
}

// simulation is one run.
type simulation struct {
	clk     *clock.Manual
	tb      *routing.Table
	vw      view.View
	policy  Policy
	demand  Demand
	rng     *rand.Rand
	at      time.Duration
	queues  [services][]*job
	busy    [services]int
	running running
	moving  map[weir.InstanceID]arrival
	keep    int

	started, inTime, atOnce, moves int
	busySum                        float64
}

// arrival is when a moving instance reaches its new pool.
type arrival struct {
	at time.Duration
	to weir.PoolName
}

// Run measures a fleet under a policy and demand.
func Run(fl Fleet, policy Policy, demand Demand) Outcome {
	sm := &simulation{
		clk: clock.NewManual(time.Unix(1_800_000_000, 0)), policy: policy, demand: demand,
		rng: rand.New(rand.NewSource(demand.Seed)), moving: map[weir.InstanceID]arrival{}, //nolint:gosec // a seeded run
	}
	sm.keep = max(fl.Keep, 1)
	sm.build(fl)
	for ; sm.at < length; sm.at += step {
		sm.tick()
	}
	ticks := float64(length / step)
	total := float64(sm.started + sm.late())
	busy := sm.busySum / ticks / slots
	return Outcome{
		InTime: float64(sm.inTime) / total, AtOnce: float64(sm.atOnce) / total,
		Busy: busy, Idle: float64(fl.Size()) - busy, Moves: sm.moves,
	}
}

// late counts the requests that wait at the end and are too late already.
func (sm *simulation) late() int {
	count := 0
	for _, queue := range sm.queues {
		for _, jb := range queue {
			if sm.at-jb.arrived > startWithin {
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
		Limits:   model.Limits{SlotsPerInstance: slots, ConnectionsPerInstance: 64},
		Services: map[weir.ServiceName]model.Service{}, Pools: map[weir.PoolName]model.Pool{},
	}
	for service := range services {
		name := weir.ServiceName(poolName(service))
		spare := sm.policy == LendingAll || (sm.policy == Lending && service == services-1)
		cfg.Services[name] = model.Service{Name: name, QueueLength: math.MaxInt32}
		cfg.Pools[poolName(service)] = model.Pool{Name: poolName(service), Service: name, Spare: spare}
		size := fl.Own
		if service == services-1 {
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
	sm.clk.Advance(step)
	if sm.at%time.Second == 0 {
		sm.announce()
	}
	for len(sm.running) > 0 && sm.running[0].ends <= sm.at {
		done, _ := heap.Pop(&sm.running).(*job)
		done.slot.Release(routing.Succeeded)
		sm.busy[serviceOf(done.req)]--
	}
	if sm.policy == Reactive {
		sm.react()
	}
	for service := range services {
		sm.arrive(service)
		sm.start(service)
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

// arrive adds the arrivals of one step, a Poisson number of them.
func (sm *simulation) arrive(service int) {
	mean := sm.demand.Rate(service, sm.at) * step.Seconds()
	for chance := sm.rng.ExpFloat64(); chance < mean; chance += sm.rng.ExpFloat64() {
		sm.queues[service] = append(sm.queues[service], &job{arrived: sm.at, req: &weir.Request{
			Service: weir.ServiceName(poolName(service)), Class: weir.Urgent, Deadline: sm.clk.Now().Add(time.Hour),
		}})
	}
}

func (sm *simulation) start(service int) {
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
		if wait := sm.at - next.arrived; wait <= startWithin {
			sm.inTime++
			if wait == 0 {
				sm.atOnce++
			}
		}
	}
}
