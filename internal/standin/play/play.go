// Package play runs the real job scheduler against a simulated fleet under a
// load, and reports what callers got and what it cost. The replicated log is
// replaced by one that commits after a fixed delay; messages, moves and tasks are
// simulated with their durations. It waits only through the time package, so that
// the command runs in real time and tests run in simulated time.
//
// Usage:
//
//	res, err := play.Simulation{Load: play.Small(), Seed: 1}.Run(ctx)
//	play.Print(os.Stdout, []play.Result{res})
package play

import (
	"context"
	"sync"
	"time"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/common/errkind"
	"greengageweir/internal/common/run"
	"greengageweir/internal/contract/jobapi"
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

// Kind classifies the errors of this package.
type Kind string

// The error kinds.
const (
	// KindRefused means that a call of the load to the job API failed.
	KindRefused Kind = "call failed"
	KindPlot    Kind = "plot not written"
	KindLoad    Kind = "load not readable"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	// syncTime is the commit latency of a log entry: a local disk sync and a
	// round trip to the other replicas.
	syncTime = 5 * time.Millisecond
	// warmup is how long workers run before the load begins.
	warmup = 3 * time.Second
	// completionTime is how long jobs may still complete after the load.
	completionTime = 14 * time.Second
	// announceInterval is the time between retries of a worker announcement, and
	// of the catalog at the start.
	announceInterval = 100 * time.Millisecond
	// shutdownGrace is longer than any call in progress at the end can take.
	shutdownGrace = 2 * time.Second
	// sampleInterval is the time between two samples of the fleet.
	sampleInterval = 100 * time.Millisecond
	// lateFactor times the objective is the time after which a job is worthless.
	lateFactor = 3
)

// Policy decides how machines follow demand.
type Policy string

// The policies.
const (
	// PolicyScheduler lets the job scheduler move machines.
	PolicyScheduler Policy = "owner"
	// PolicyStatic moves no machine.
	PolicyStatic Policy = "static"
	// PolicyReactive moves one machine at a time by utilization thresholds.
	PolicyReactive Policy = "reactive"
	// PolicyKnown knows future demand; it is an upper bound for any forecast.
	PolicyKnown Policy = "known"
)

// Policies returns all policies in the order of the table.
func Policies() []Policy { return []Policy{PolicyStatic, PolicyReactive, PolicyScheduler, PolicyKnown} }

// Simulation runs one load under a policy. Set the exported fields before Run.
type Simulation struct {
	Load   Load
	Policy Policy
	Seed   int64
	Logger log.Logger
}

// soleLeader implements the leadership of a log with a single member.
type soleLeader struct{}

func (soleLeader) IsLeader() bool     { return true }
func (soleLeader) LeaderTerm() uint64 { return 1 }
func (soleLeader) LeaderID() string   { return "" }

// delayedLog commits each entry after syncTime.
type delayedLog struct {
	store *store.Store
	index uint64
}

// Propose implements scheduler.Proposer. The committer never calls it
// concurrently.
func (sl *delayedLog) Propose(_ context.Context, data []byte) (any, error) {
	time.Sleep(syncTime)
	sl.index++
	return sl.store.Apply(sl.index, data), nil
}

// simulationRun is the state of one simulation.
type simulationRun struct {
	Simulation
	clock   clock.Wall
	store   *store.Store
	handler *handler.Handler
	fleet   *fleet.Fleet
	jobs    []plannedJob
	// planned and jobSteps are read-only once the components run.
	planned  map[weir.JobID]plannedJob
	jobSteps map[weir.JobID][]spec.Step

	samples []Sample

	mu          sync.Mutex
	firstStarts map[weir.JobID]time.Time
	// crashStarts counts the starts of each task that crashes its worker.
	crashStarts map[weir.TaskRef]int
}

// Run runs the load and returns its result.
func (si Simulation) Run(ctx context.Context) (Result, error) {
	if si.Logger == nil {
		si.Logger = log.NewNopLogger()
	}
	sr := &simulationRun{Simulation: si, store: store.New(), jobs: si.Load.drawJobs(si.Seed), planned: map[weir.JobID]plannedJob{}, jobSteps: map[weir.JobID][]spec.Step{}, firstStarts: map[weir.JobID]time.Time{}, crashStarts: map[weir.TaskRef]int{}}
	for _, pd := range sr.jobs {
		sr.planned[pd.job.ID], sr.jobSteps[pd.job.ID] = pd, pd.job.Steps
	}
	for _, po := range si.Load.Pools {
		for _, jb := range po.newLongRunningJobs() {
			sr.jobSteps[jb.ID] = jb.Steps
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer func() {
		cancel()
		wg.Wait()
		time.Sleep(shutdownGrace)
	}()
	components := sr.buildComponents(ctx)
	if err := run.Defaults(components...); err != nil {
		return Result{}, err
	}
	for _, co := range components {
		wg.Go(func() { _ = co.Run(ctx) })
	}
	if err := sr.setUp(ctx); err != nil {
		return Result{}, err
	}
	before := sr.fleet.Counts()
	sr.runLoad(ctx)
	res := sr.result(before, sr.fleet.Counts())
	return res, nil
}

// buildComponents creates the scheduler, its committer and handler, and the
// fleet. It returns the components to run.
func (sr *simulationRun) buildComponents(ctx context.Context) []weir.Component {
	com := &scheduler.Committer{Log: &delayedLog{store: sr.store}, Wall: sr.clock}
	sr.fleet = &fleet.Fleet{
		Clock: sr.clock, Task: sr.task, OnWorkerUp: func(wk store.Worker) { sr.announce(ctx, wk) }, StandbyPool: standby,
		MoveTime: sr.Load.MoveTime, MaintenanceTime: 2 * time.Second, Crashes: sr.crashes, CrashDelay: sr.Load.CrashDelay, CrashTime: sr.Load.CrashTime,
	}
	own := &scheduler.Scheduler{
		Store: sr.store, Committer: com, Leadership: soleLeader{}, Workers: sr.fleet, Clock: sr.clock, Wall: sr.clock, Logger: sr.Logger,
		Lease: 3 * time.Second, Retention: time.Minute, MachineOrderDelay: 3500 * time.Millisecond,
	}
	if sr.Policy == PolicyScheduler {
		own.Machines = sr.fleet
	}
	sr.store.Clock = sr.clock
	sr.store.OnApplied = own.Wake
	sr.handler = &handler.Handler{
		Store: sr.store, Committer: com, Scheduler: own, Leader: soleLeader{}, Clock: sr.clock, Wall: sr.clock, Logger: sr.Logger,
		Backlogs: &handler.Backlogs{},
	}
	return []weir.Component{com, own}
}

// task returns the simulated work of a run and records the start of its job.
func (sr *simulationRun) task(order weir.StartOrder) taskworker.Task {
	sr.recordStart(order.Task, sr.clock.Now())
	out := taskworker.Task{Resources: sr.jobSteps[order.Task.Job][order.Task.Step].Reserved(), LongRunning: true}
	if pd, ok := sr.planned[order.Task.Job]; ok {
		out.Duration, out.LongRunning = pd.durations[order.Task.Step][order.Task.Index], false
	}
	return out
}

// crashes reports whether a run crashes its worker, and counts those that do.
func (sr *simulationRun) crashes(order weir.StartOrder) bool {
	if !sr.planned[order.Task.Job].crashing || order.Task != (weir.TaskRef{Job: order.Task.Job}) {
		return false
	}
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.crashStarts[order.Task]++
	return true
}

// recordStart records the first start of a job.
func (sr *simulationRun) recordStart(task weir.TaskRef, at time.Time) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if _, ok := sr.firstStarts[task.Job]; !ok {
		sr.firstStarts[task.Job] = at
	}
}

// announce announces a worker to the handler, with retries until accepted.
func (sr *simulationRun) announce(ctx context.Context, wk store.Worker) {
	ann := &jobapi.Announcement{Worker: wk}
	go func() {
		for ctx.Err() == nil && sr.call(ctx, jobapi.Call{Kind: jobapi.Announce, Worker: ann}) != nil {
			sleep(ctx, announceInterval)
		}
	}()
}

// setUp applies the configuration, adds the machines and submits the
// long-running jobs.
func (sr *simulationRun) setUp(ctx context.Context) error {
	for sr.call(ctx, jobapi.Call{Kind: jobapi.PutCatalog, Catalog: sr.Load.catalog()}) != nil {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		time.Sleep(announceInterval)
	}
	capacity := spec.Resources{MilliCPU: int(sr.Load.MachineCores * 1000), MemoryMB: 1 << 20}
	if sr.Load.MachineMemoryGB > 0 {
		capacity.MemoryMB = int(megabytesPerGB * sr.Load.MachineMemoryGB)
	}
	number := 0
	add := func(pool weir.PoolName, count int) {
		for range count {
			sr.fleet.Add(fleet.Machine{Name: machineName(number), Pool: pool, Rack: rackName(number / sr.Load.MachinesPerRack), Capacity: capacity})
			number++
		}
	}
	for _, po := range sr.Load.Pools {
		add(po.Name, po.Machines)
	}
	add(standby, sr.Load.Standby)
	for _, po := range sr.Load.Pools {
		for _, jb := range po.newLongRunningJobs() {
			if err := sr.call(ctx, submission(po.Name, jb)); err != nil {
				return err
			}
		}
	}
	time.Sleep(warmup)
	return nil
}

func submission(pool weir.PoolName, jb *spec.Job) jobapi.Call {
	return jobapi.Call{Kind: jobapi.Submit, Host: "play", Path: "/" + string(pool) + "/" + string(jb.ID), Job: jb}
}

func (sr *simulationRun) call(ctx context.Context, call jobapi.Call) error {
	if rep := sr.handler.Handle(ctx, call); rep.Outcome != jobapi.OK {
		return &Error{Op: string(call.Kind), Kind: KindRefused, Err: errors.New(rep.Reason)}
	}
	return nil
}

// runLoad submits the jobs at their times and waits completionTime after the
// load.
func (sr *simulationRun) runLoad(ctx context.Context) {
	begin := sr.clock.Now()
	var wg sync.WaitGroup
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	wg.Go(func() { sr.sampleFleet(watchCtx, begin) })
	if sr.Policy == PolicyReactive || sr.Policy == PolicyKnown {
		bl := &baselineScaler{simulationRun: sr, lastAboveLow: map[weir.PoolName]time.Duration{}}
		wg.Go(func() { bl.run(watchCtx, begin) })
	}
	for _, wv := range sr.Load.Waves {
		wg.Go(func() { sr.startWave(ctx, wv) })
	}
	for ix, cr := range sr.Load.Crashes {
		wg.Go(func() { sr.crashMachines(ctx, ix, cr) })
	}
	for _, pd := range sr.jobs {
		sleep(ctx, pd.at-sr.clock.Now().Sub(begin))
		wg.Go(func() { _ = sr.call(ctx, submission(pd.pool.Name, pd.job)) })
	}
	sleep(ctx, sr.Load.Duration+completionTime-sr.clock.Now().Sub(begin))
	stop()
	wg.Wait()
}

// sampleFleet samples the fleet until the context is cancelled.
func (sr *simulationRun) sampleFleet(ctx context.Context, begin time.Time) {
	for ctx.Err() == nil {
		sm := Sample{At: sr.clock.Now().Sub(begin)}
		for _, vw := range sr.fleet.Statuses() {
			if vw.Pool != standby {
				sm.Pooled += sr.Load.MachineCores
			}
			sm.Busy += vw.Cores
		}
		sr.samples = append(sr.samples, sm)
		sleep(ctx, sampleInterval)
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

// startWave starts maintenance of the selected machines.
func (sr *simulationRun) startWave(ctx context.Context, wv Wave) {
	sleep(ctx, wv.At)
	order := &store.Wave{Number: 1, MaxParallel: wv.MaxParallel, Deadline: sr.clock.Now().Add(wv.Within)}
	for number := range sr.Load.machines() {
		if selected(number, wv.Share) {
			order.Machines = append(order.Machines, machineName(number))
		}
	}
	_ = sr.call(ctx, jobapi.Call{Kind: jobapi.StartWave, Wave: order})
}

// crashMachines crashes the selected machines; ix varies the selection.
func (sr *simulationRun) crashMachines(ctx context.Context, ix int, cr Crash) {
	sleep(ctx, cr.At)
	for number := range sr.Load.machines() {
		if selected(number+ix+1, cr.Share) {
			sr.fleet.Crash(machineName(number), cr.Downtime)
		}
	}
}
