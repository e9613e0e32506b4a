// Package play runs the real owner of jobs against a stand-in fleet under a
// load, and tells what callers got and what it cost. The log is one that
// commits after the time of a sync; messages, moves and tasks take their time.
// It waits with the time package alone: a command plays in real time, tests in
// simulated time.
//
// Usage:
//
//	res := play.Player{Load: play.Small(), Seed: 1}.Run(ctx)
//	play.Print(os.Stdout, []play.Result{res})
package play

import (
	"context"
	"sync"
	"time"

	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/duty/clock"
	"greengageweir/internal/duty/errkind"
	"greengageweir/internal/duty/run"
	"greengageweir/internal/job/handler"
	"greengageweir/internal/job/scheduler"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/standin/fleet"
	"greengageweir/internal/standin/taskworker"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	weir "greengageweir"
)

// Kind tells the errors of this package apart.
type Kind string

// The kinds of errors.
const (
	// KindRefused says that a call of the load itself failed.
	KindRefused Kind = "call failed"
	KindPlot    Kind = "plot not written"
	KindLoad    Kind = "load not readable"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	// syncTime is how long the log takes for an entry: a sync here, the way to
	// the others and back.
	syncTime = 5 * time.Millisecond
	// lead is how long workers are up before the load begins.
	lead = 3 * time.Second
	// finish is how long jobs may end after it.
	finish = 14 * time.Second
	// announceEvery is how often a worker announces itself until it is taken.
	announceEvery = 100 * time.Millisecond
	// settle is how long calls that are under way at the end take at most.
	settle = 2 * time.Second
	// sampleEvery separates looks at the fleet.
	sampleEvery = 100 * time.Millisecond
	// lateShare times the objective is when a late answer is of no use.
	lateShare = 3
)

// Policy is how capacity follows demand.
type Policy string

// The policies.
const (
	// PolicyOwner is the product's own.
	PolicyOwner Policy = "owner"
	// PolicyStatic moves no machine.
	PolicyStatic Policy = "static"
	// PolicyReactive follows thresholds of use, one machine a look.
	PolicyReactive Policy = "reactive"
	// PolicyKnown knows what will be asked when; it bounds what a forecast can
	// gain.
	PolicyKnown Policy = "known"
)

// Policies are all of them, baselines first.
func Policies() []Policy { return []Policy{PolicyStatic, PolicyReactive, PolicyOwner, PolicyKnown} }

// Player plays one load. Set the exported fields before Run.
type Player struct {
	Load   Load
	Policy Policy
	Seed   int64
	Logger log.Logger
}

// alone is the leadership of a log with one member.
type alone struct{}

func (alone) Leads() bool      { return true }
func (alone) Term() uint64     { return 1 }
func (alone) LeaderID() string { return "" }

// slowLog commits each entry after the time of a sync.
type slowLog struct {
	machine *store.Store
	index   uint64
}

// Propose implements owner.Proposer; the committer calls it in turn.
func (sl *slowLog) Propose(_ context.Context, data []byte) (any, error) {
	time.Sleep(syncTime)
	sl.index++
	return sl.machine.Apply(sl.index, data), nil
}

// stage is one play.
type stage struct {
	Player
	clock   clock.Wall
	store   *store.Store
	service *handler.Handler
	fleet   *fleet.Fleet
	jobs    []planned
	// lengths and needs are complete before anything runs.
	lengths map[weir.JobID]planned
	needs   map[weir.JobID][]spec.Step

	samples []Sample

	mu    sync.Mutex
	began map[weir.JobID]time.Time
}

// Run plays the load and returns what came of it.
func (pl Player) Run(ctx context.Context) (Result, error) {
	if pl.Logger == nil {
		pl.Logger = log.NewNopLogger()
	}
	sg := &stage{Player: pl, store: store.New(), jobs: pl.Load.draw(pl.Seed), lengths: map[weir.JobID]planned{}, needs: map[weir.JobID][]spec.Step{}, began: map[weir.JobID]time.Time{}}
	for _, pd := range sg.jobs {
		sg.lengths[pd.job.ID], sg.needs[pd.job.ID] = pd, pd.job.Steps
	}
	for _, po := range pl.Load.Pools {
		for _, jb := range po.lasting() {
			sg.needs[jb.ID] = jb.Steps
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer func() {
		cancel()
		wg.Wait()
		time.Sleep(settle)
	}()
	steps := sg.build(ctx)
	if err := run.Defaults(steps...); err != nil {
		return Result{}, err
	}
	for _, stp := range steps {
		wg.Go(func() { _ = stp.Run(ctx) })
	}
	if err := sg.prepare(ctx); err != nil {
		return Result{}, err
	}
	before := sg.fleet.Counts()
	sg.perform(ctx)
	res := sg.result(before, sg.fleet.Counts())
	return res, nil
}

// build makes the parts of the program that lead, and the fleet.
func (sg *stage) build(ctx context.Context) []weir.Component {
	com := &scheduler.Committer{Log: &slowLog{machine: sg.store}, Wall: sg.clock}
	sg.fleet = &fleet.Fleet{
		Clock: sg.clock, Task: sg.task, Announce: func(wk store.Worker) { sg.announce(ctx, wk) }, Standby: standby,
		MoveTime: sg.Load.MoveTime, MaintenanceTime: 2 * time.Second,
	}
	own := &scheduler.Scheduler{
		Store: sg.store, Committer: com, Leadership: alone{}, Workers: sg.fleet, Clock: sg.clock, Wall: sg.clock, Logger: sg.Logger,
		Lease: 3 * time.Second, Retention: time.Minute, MachineOrderDelay: 3500 * time.Millisecond,
	}
	if sg.Policy == PolicyOwner {
		own.Machines = sg.fleet
	}
	sg.store.Clock = sg.clock
	sg.store.OnApplied = own.Wake
	sg.service = &handler.Handler{
		Store: sg.store, Committer: com, Owner: own, Leader: alone{}, Clock: sg.clock, Wall: sg.clock, Logger: sg.Logger,
	}
	return []weir.Component{com, own}
}

// task tells what a run does, and notes when its job began.
func (sg *stage) task(order weir.RunOrder) taskworker.Task {
	sg.note(order.Task, sg.clock.Now())
	out := taskworker.Task{Resources: sg.needs[order.Task.Job][order.Task.Step].Reserved(), LongRunning: true}
	if pd, ok := sg.lengths[order.Task.Job]; ok {
		out.Duration, out.LongRunning = pd.lengths[order.Task.Step][order.Task.Index], false
	}
	return out
}

// note keeps when a job began.
func (sg *stage) note(task weir.TaskRef, at time.Time) {
	sg.mu.Lock()
	defer sg.mu.Unlock()
	if _, ok := sg.began[task.Job]; !ok {
		sg.began[task.Job] = at
	}
}

// announce tells the owner of a worker until it is taken.
func (sg *stage) announce(ctx context.Context, wk store.Worker) {
	ann := &jobapi.Announcement{Worker: wk}
	go func() {
		for ctx.Err() == nil && sg.call(ctx, jobapi.Call{Kind: jobapi.Announce, Worker: ann}) != nil {
			sleep(ctx, announceEvery)
		}
	}()
}

// prepare brings configuration, machines and lasting jobs in.
func (sg *stage) prepare(ctx context.Context) error {
	for sg.call(ctx, jobapi.Call{Kind: jobapi.PutCatalog, Catalog: sg.Load.catalog()}) != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(announceEvery)
	}
	room := spec.Resources{MilliCPU: int(sg.Load.Room * 1000), MemoryMB: 1 << 20}
	number := 0
	add := func(pool weir.PoolName, count int) {
		for range count {
			sg.fleet.Add(fleet.Machine{Name: machineName(number), Pool: pool, Rack: rackName(number / sg.Load.Rack), Room: room})
			number++
		}
	}
	for _, po := range sg.Load.Pools {
		add(po.Name, po.Machines)
	}
	add(standby, sg.Load.Standby)
	for _, po := range sg.Load.Pools {
		for _, jb := range po.lasting() {
			if err := sg.call(ctx, submission(po.Name, jb)); err != nil {
				return err
			}
		}
	}
	time.Sleep(lead)
	return nil
}

func submission(pool weir.PoolName, jb *spec.Job) jobapi.Call {
	return jobapi.Call{Kind: jobapi.Submit, Host: "play", Path: "/" + string(pool) + "/" + string(jb.ID), Job: jb}
}

func (sg *stage) call(ctx context.Context, call jobapi.Call) error {
	if rep := sg.service.Handle(ctx, call); rep.Outcome != jobapi.OK {
		return &Error{Op: string(call.Kind), Kind: KindRefused, Err: errors.New(rep.Reason)}
	}
	return nil
}

// perform submits the jobs at their times and waits for the last.
func (sg *stage) perform(ctx context.Context) {
	begin := sg.clock.Now()
	var wg sync.WaitGroup
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	wg.Go(func() { sg.watch(watchCtx, begin) })
	if sg.Policy == PolicyReactive || sg.Policy == PolicyKnown {
		bl := &baseline{stage: sg, high: map[weir.PoolName]time.Duration{}}
		wg.Go(func() { bl.run(watchCtx, begin) })
	}
	for _, wv := range sg.Load.Waves {
		wg.Go(func() { sg.wave(ctx, wv) })
	}
	for ix, cr := range sg.Load.Crashes {
		wg.Go(func() { sg.crash(ctx, ix, cr) })
	}
	for _, pd := range sg.jobs {
		sleep(ctx, pd.at-sg.clock.Now().Sub(begin))
		wg.Go(func() { _ = sg.call(ctx, submission(pd.pool.Name, pd.job)) })
	}
	sleep(ctx, sg.Load.Duration+finish-sg.clock.Now().Sub(begin))
	stop()
	wg.Wait()
}

// watch samples the fleet until the context ends.
func (sg *stage) watch(ctx context.Context, begin time.Time) {
	for ctx.Err() == nil {
		sm := Sample{At: sg.clock.Now().Sub(begin)}
		for _, vw := range sg.fleet.Views() {
			if vw.Pool != standby {
				sm.Pooled += sg.Load.Room
			}
			sm.Busy += vw.Cores
		}
		sg.samples = append(sg.samples, sm)
		sleep(ctx, sampleEvery)
	}
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// wave asks for maintenance of each machine that a share picks.
func (sg *stage) wave(ctx context.Context, wv Wave) {
	sleep(ctx, wv.At)
	order := &store.Wave{Number: 1, MaxParallel: wv.AtOnce, Deadline: sg.clock.Now().Add(wv.Within)}
	for number := range sg.Load.machines() {
		if picked(number, wv.Share) {
			order.Machines = append(order.Machines, machineName(number))
		}
	}
	_ = sg.call(ctx, jobapi.Call{Kind: jobapi.StartWave, Wave: order})
}

func (sg *stage) crash(ctx context.Context, ix int, cr Crash) {
	sleep(ctx, cr.At)
	for number := range sg.Load.machines() {
		if picked(number+ix+1, cr.Share) {
			sg.fleet.Crash(machineName(number), cr.Away)
		}
	}
}
