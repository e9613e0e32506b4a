package play

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"

	"github.com/pkg/errors"

	weir "greengageweir"
)

// standby is the pool whose machines are powered off.
const standby weir.PoolName = "standby"

// Pool is a pool and the queue that feeds it.
type Pool struct {
	Name     weir.PoolName
	Machines int
	// JobsPerSecond is the mean arrival rate of jobs.
	JobsPerSecond float64
	Priority      int
	// Steps, TasksPerStep, Cores and TaskSeconds are the means of the steps of a
	// job, the tasks of a step, and the cores and duration of a task.
	Steps, TasksPerStep, Cores, TaskSeconds float64
	// TaskVariation is the spread of task durations within a step, EstimateError
	// that of the callers' estimates, both as the standard deviation of the
	// logarithm.
	TaskVariation, EstimateError float64
	Checkpointing                bool
	// Phase is the position of the pool in the cycle of peaks, see Load.Period.
	Phase int
	// Worth is the value of a job of mean size that meets its objective,
	// LateWorth that of one that is late.
	Worth, LateWorth float64
	// LongRunningJobs is the number of jobs that run until stopped,
	// LongRunningTasks the number of tasks of each, LongRunningCores the cores
	// of a task. One task of such a job may be unavailable at a time.
	LongRunningJobs, LongRunningTasks int
	LongRunningCores                  float64
	// MemoryGB is the mean memory of a task, LongRunningMemoryGB that of a
	// long-running one; 0 means that it needs next to none.
	MemoryGB, LongRunningMemoryGB float64
	// CrashingShare is the share of jobs with a task that crashes its worker.
	CrashingShare float64
}

// Wave is planned maintenance of a share of the machines. It starts at At, and its
// deadline is Within later.
type Wave struct {
	At, Within  time.Duration
	Share       float64
	MaxParallel int
}

// Crash stops a share of the machines at At without notice. They return after
// Downtime.
type Crash struct {
	At, Downtime time.Duration
	Share        float64
}

// Load describes a fleet, the demand on it, and its disruptions and costs. The
// demand of each pool peaks in turn at PeakFactor times its mean, and is
// BaseFactor times its mean otherwise.
type Load struct {
	Name     string
	Duration time.Duration
	Pools    []Pool
	// Standby is the number of machines that are powered off at the start.
	Standby int
	// MachineCores is the number of cores of a machine.
	MachineCores float64
	// MachineMemoryGB is the memory of a machine; 0 means more than tasks need.
	MachineMemoryGB float64
	MachinesPerRack int
	// Period is how long one pool is at its peak; Pool.Phase counts periods.
	Period                 time.Duration
	PeakFactor, BaseFactor float64
	// Stretch and Target make up the latency objective of a job: Stretch times
	// its critical path, plus Target.
	Stretch  float64
	Target   time.Duration
	MoveTime time.Duration
	Waves    []Wave
	Crashes  []Crash
	// CrashDelay is the time from the start of a task that crashes its worker to the
	// crash, CrashTime how long the worker is down then.
	CrashDelay, CrashTime time.Duration
	// MachineCost is the cost of a machine in a pool for one second, MoveCost
	// that of one move, both as shares of the total worth of all jobs.
	MachineCost, MoveCost float64
}

// Small returns a load like those of the users' two sites: 48 machines, eight of
// them on standby, and four pools that peak in turn.
func Small() Load {
	short := Pool{Steps: 1.6, TasksPerStep: 6, Cores: 3.5, TaskSeconds: 1, TaskVariation: 0.15, EstimateError: 0.2, Worth: 0.5, LateWorth: 0.035}
	long := Pool{
		Steps: 2, TasksPerStep: 8, Cores: 7.7, TaskSeconds: 2.1, TaskVariation: 0.3, EstimateError: 0.2, Worth: 3.85, LateWorth: 0.27, Priority: 1, Checkpointing: true,
	}
	ld := Load{
		Name: "small", Duration: 34 * time.Second, Standby: 8, MachineCores: 64, MachinesPerRack: 4,
		Period: 4500 * time.Millisecond, PeakFactor: 4, BaseFactor: 0.05, Stretch: 1.6, Target: 600 * time.Millisecond,
		MoveTime: 1500 * time.Millisecond, MachineCost: 0.157 / 1100, MoveCost: 0.025 / 230,
	}
	for ix, po := range []Pool{short, long, short, long} {
		po.Name = weir.PoolName([]string{"north", "central", "south", "district"}[ix])
		po.Machines = []int{8, 9, 11, 12}[ix]
		po.JobsPerSecond = []float64{7.26, 1.06, 9.09, 1.3}[ix]
		po.Phase, po.LongRunningJobs, po.LongRunningTasks, po.LongRunningCores = ix, 2, 5, 6
		ld.Pools = append(ld.Pools, po)
	}
	return ld
}

// Grown returns a load like those of the users' sites after growth: 349 machines.
func Grown() Load {
	ld := Small()
	ld.Name, ld.Duration, ld.Standby, ld.MachinesPerRack = "grown", 41*time.Second, 56, 12
	ld.MachineCost, ld.MoveCost = 0.152/22600, 0.0068/890
	for ix := range ld.Pools {
		po := &ld.Pools[ix]
		po.Machines = []int{61, 69, 78, 85}[ix]
		po.JobsPerSecond = []float64{22.4, 4.58, 28, 5.6}[ix]
		po.TasksPerStep, po.Cores = 8, []float64{6.2, 13, 6.2, 13}[ix]
		po.LongRunningJobs, po.LongRunningTasks = 4, 24
	}
	return ld
}

// Memory returns a load of few jobs whose tasks need more memory than processor
// time, as do the long-running tasks beside them.
func Memory() Load {
	ld := Small()
	ld.Name, ld.MachineMemoryGB, ld.PeakFactor, ld.BaseFactor = "memory", 256, 1, 1
	for ix := range ld.Pools {
		po := &ld.Pools[ix]
		po.JobsPerSecond, po.MemoryGB, po.LongRunningMemoryGB = 0.5, 35, 100
		po.LongRunningCores = 9.6
	}
	return ld
}

// Overload returns a load in which the first pool is asked for far more in its turn
// than all machines can do, so that late jobs are left when the next turns begin.
func Overload() Load {
	ld := Small()
	ld.Name = "overload"
	ld.Pools[0].JobsPerSecond *= 4
	return ld
}

// Crashing returns a load in which some jobs of one pool have a task that crashes
// each worker that starts it.
func Crashing() Load {
	ld := Small()
	ld.Name, ld.CrashDelay, ld.CrashTime = "crashing", 10*time.Millisecond, 3200*time.Millisecond
	ld.Pools[0].CrashingShare = 0.05
	return ld
}

// WithTrouble returns the load with a maintenance wave over almost half of the
// machines and two crashes.
func (ld Load) WithTrouble() Load {
	ld.Name += "Trouble"
	ld.Waves = []Wave{{At: 2 * time.Second, Within: 26 * time.Second, Share: 0.45, MaxParallel: max(ld.machines()/6, 1)}}
	ld.Crashes = []Crash{
		{At: 10 * time.Second, Downtime: 7 * time.Second, Share: 0.08}, {At: 20 * time.Second, Downtime: 5 * time.Second, Share: 0.08},
	}
	return ld
}

// loads returns all named loads.
func loads() []Load {
	return []Load{Small(), Small().WithTrouble(), Grown(), Grown().WithTrouble(), Memory(), Crashing(), Overload()}
}

// LoadNames returns the names that LoadByName accepts.
func LoadNames() []string {
	var names []string
	for _, ld := range loads() {
		names = append(names, ld.Name)
	}
	return names
}

// LoadByName returns the load with a name, or an error of KindLoad.
func LoadByName(name string) (Load, error) {
	for _, ld := range loads() {
		if ld.Name == name {
			return ld, nil
		}
	}
	return Load{}, &Error{Op: "load " + name, Kind: KindLoad, Err: errors.Errorf("known loads: %v", LoadNames())}
}

// machines returns the number of machines, standby included.
func (ld Load) machines() int {
	count := ld.Standby
	for _, po := range ld.Pools {
		count += po.Machines
	}
	return count
}

// catalog returns the pools and queues that the load needs.
func (ld Load) catalog() *catalog.Catalog {
	ct := &catalog.Catalog{Version: 1, Document: []byte("{}"), Pools: []catalog.Pool{{Name: standby, Standby: true}}}
	for _, po := range ld.Pools {
		ct.Pools = append(ct.Pools, catalog.Pool{Name: po.Name, EnforcesCapacity: true})
		ct.Queues = append(ct.Queues, catalog.Queue{
			Name: string(po.Name), Host: "play", Prefix: "/" + string(po.Name) + "/", Pool: po.Name, Timeout: 3 * time.Second,
			TargetLatency: ld.Target, Stretch: ld.Stretch, Priority: po.Priority, MaxAttempts: 3,
		})
	}
	return ct
}

// rate returns the arrival rate of a pool's jobs, per second, at a time.
func (ld Load) rate(po Pool, at time.Duration) float64 {
	turn := int(at / ld.Period)
	if turn%len(ld.Pools) == po.Phase {
		return po.JobsPerSecond * ld.PeakFactor
	}
	return po.JobsPerSecond * ld.BaseFactor
}

// plannedJob is a job to submit, with the actual durations of its tasks.
type plannedJob struct {
	pool      Pool
	at        time.Duration
	job       *spec.Job
	durations [][]time.Duration
	// criticalPath is the sum of the longest task durations of all steps, work
	// the core-seconds of all tasks.
	criticalPath time.Duration
	work         float64
	// crashing is set if the first task crashes each worker that starts it.
	crashing bool
}

const (
	// arrivalStep is the resolution of the random arrival times.
	arrivalStep    = 10 * time.Millisecond
	megabytesPerGB = 1024
)

// drawJobs returns the random jobs of a seed in order of submission.
func (ld Load) drawJobs(seed int64) []plannedJob {
	rng := rand.New(rand.NewSource(seed)) //nolint:gosec // the load must be reproducible, not secret
	var out []plannedJob
	for at := time.Duration(0); at < ld.Duration; at += arrivalStep {
		for _, po := range ld.Pools {
			if rng.Float64() < ld.rate(po, at)*arrivalStep.Seconds() {
				out = append(out, ld.drawJob(rng, po, at, len(out)))
			}
		}
	}
	return out
}

// lognormal draws a log-normal value with the given mean, capped at most; spread
// is the standard deviation of its logarithm.
func lognormal(rng *rand.Rand, mean, spread, most float64) float64 {
	return min(mean*math.Exp(rng.NormFloat64()*spread-spread*spread/2), most)
}

// drawJob draws a job whose steps run one after the other.
func (ld Load) drawJob(rng *rand.Rand, po Pool, at time.Duration, number int) plannedJob {
	pd := plannedJob{pool: po, at: at, job: &spec.Job{ID: weir.JobID(fmt.Sprintf("%s-%d", po.Name, number)), Text: "play"}}
	for sp := range max(1, int(math.Round(lognormal(rng, po.Steps, 0.4, 2.5*po.Steps)))) {
		mean := lognormal(rng, po.TaskSeconds, 0.5, 2.5*po.TaskSeconds)
		st := spec.Step{
			Count:     max(1, int(math.Round(lognormal(rng, po.TasksPerStep, 0.6, 4*po.TasksPerStep)))),
			Resources: spec.Resources{MilliCPU: int(1000 * lognormal(rng, po.Cores, 0.45, 3*po.Cores)), MemoryMB: 1},
			Estimate:  time.Duration(lognormal(rng, mean, po.EstimateError, 3*mean) * float64(time.Second)), Checkpointing: po.Checkpointing,
		}
		if po.MemoryGB > 0 {
			st.Resources.MemoryMB = int(megabytesPerGB * lognormal(rng, po.MemoryGB, 0.6, 3*po.MemoryGB))
		}
		if sp > 0 {
			st.After = []int{sp - 1}
		}
		longest, lengths := time.Duration(0), make([]time.Duration, st.Count)
		for ix := range lengths {
			lengths[ix] = time.Duration(lognormal(rng, mean, po.TaskVariation, 3*mean) * float64(time.Second))
			longest = max(longest, lengths[ix])
			pd.work += lengths[ix].Seconds() * float64(st.Resources.MilliCPU) / 1000
		}
		pd.criticalPath += longest
		pd.job.Steps = append(pd.job.Steps, st)
		pd.durations = append(pd.durations, lengths)
	}
	pd.crashing = po.CrashingShare > 0 && rng.Float64() < po.CrashingShare
	return pd
}

// newLongRunningJobs returns the long-running jobs of a pool.
func (po Pool) newLongRunningJobs() []*spec.Job {
	var out []*spec.Job
	for ix := range po.LongRunningJobs {
		out = append(out, &spec.Job{ID: weir.JobID(fmt.Sprintf("%s-lasting-%d", po.Name, ix)), Text: "play", Steps: []spec.Step{{
			Count: po.LongRunningTasks, Resources: spec.Resources{MilliCPU: int(1000 * po.LongRunningCores), MemoryMB: 1 + int(megabytesPerGB*po.LongRunningMemoryGB)}, LongRunning: true,
			MaxPerWorker: 1, MaxUnavailable: 1,
		}}})
	}
	return out
}
