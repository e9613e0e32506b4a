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

// standby is the pool whose machines are off.
const standby weir.PoolName = "standby"

// Pool is a pool and the queue that feeds it.
type Pool struct {
	Name     weir.PoolName
	Machines int
	// PerSecond is the mean rate of jobs.
	PerSecond float64
	Priority  int
	// Steps, Width, Cores and Work are the means of a job's steps, a step's
	// tasks, a task's cores and its seconds.
	Steps, Width, Cores, Work float64
	// Uneven is how much the tasks of a step differ, EstimateOff how wrong a
	// caller's estimate is, both as shares.
	Uneven, EstimateOff float64
	Checkpointing       bool
	// Phase is the pool's place in the turns of Load.Period.
	Phase int
	// Worth is that of a mean job in time, LateWorth of one that is late.
	Worth, LateWorth float64
	// Lasting is the number of jobs that last, LastingWidth the tasks of each,
	// LastingCores what one takes; one task of a job may be away at a time.
	Lasting, LastingWidth int
	LastingCores          float64
}

// Wave is maintenance of a share of the machines.
type Wave struct {
	At, Within time.Duration
	Share      float64
	AtOnce     int
}

// Crash takes machines away without notice.
type Crash struct {
	At, Away time.Duration
	Share    float64
}

// Load is what is asked of a fleet for some time. The pools' demand rises in
// turns to Peak times its mean, and is Swing of its mean in between.
type Load struct {
	Name     string
	Duration time.Duration
	Pools    []Pool
	// Standby is the number of machines that are off at first.
	Standby int
	// Room is a machine's cores, Rack how many machines share a rack.
	Room float64
	Rack int
	// Period is the time of one turn; Phase counts turns.
	Period      time.Duration
	Peak, Swing float64
	// Stretch and Target make up a job's objective: Stretch times its chain of
	// work, and Target more.
	Stretch  float64
	Target   time.Duration
	MoveTime time.Duration
	Waves    []Wave
	Crashes  []Crash
	// MachinePrice is what a second of a machine in a pool costs, MovePrice
	// what a move costs, both in shares of all that could be earned.
	MachinePrice, MovePrice float64
}

// Small is a load like those of the users' two sites: 48 machines, of which
// eight stand by, and four pools that peak in turn.
func Small() Load {
	short := Pool{Steps: 1.6, Width: 6, Cores: 3.5, Work: 1, Uneven: 0.15, EstimateOff: 0.2, Worth: 0.5, LateWorth: 0.035}
	long := Pool{
		Steps: 2, Width: 8, Cores: 7.7, Work: 2.1, Uneven: 0.3, EstimateOff: 0.2, Worth: 3.85, LateWorth: 0.27, Priority: 1, Checkpointing: true,
	}
	ld := Load{
		Name: "small", Duration: 34 * time.Second, Standby: 8, Room: 64, Rack: 4,
		Period: 4500 * time.Millisecond, Peak: 4, Swing: 0.05, Stretch: 1.6, Target: 600 * time.Millisecond,
		MoveTime: 1500 * time.Millisecond, MachinePrice: 0.157 / 1100, MovePrice: 0.025 / 230,
	}
	for ix, po := range []Pool{short, long, short, long} {
		po.Name = weir.PoolName([]string{"north", "central", "south", "district"}[ix])
		po.Machines = []int{8, 9, 11, 12}[ix]
		po.PerSecond = []float64{7.26, 1.06, 9.09, 1.3}[ix]
		po.Phase, po.Lasting, po.LastingWidth, po.LastingCores = ix, 2, 5, 6
		ld.Pools = append(ld.Pools, po)
	}
	return ld
}

// Grown is a load like those of the users' grown sites: 349 machines.
func Grown() Load {
	ld := Small()
	ld.Name, ld.Duration, ld.Standby, ld.Rack = "grown", 41*time.Second, 56, 12
	ld.MachinePrice, ld.MovePrice = 0.152/22600, 0.0068/890
	for ix := range ld.Pools {
		po := &ld.Pools[ix]
		po.Machines = []int{61, 69, 78, 85}[ix]
		po.PerSecond = []float64{22.4, 4.58, 28, 5.6}[ix]
		po.Width, po.Cores = 8, []float64{6.2, 13, 6.2, 13}[ix]
		po.Lasting, po.LastingWidth = 4, 24
	}
	return ld
}

// WithTrouble returns the load with a wave over half of the machines and
// machines that crash.
func (ld Load) WithTrouble() Load {
	ld.Name += "Trouble"
	ld.Waves = []Wave{{At: 2 * time.Second, Within: 26 * time.Second, Share: 0.45, AtOnce: max(ld.machines()/6, 1)}}
	ld.Crashes = []Crash{
		{At: 10 * time.Second, Away: 7 * time.Second, Share: 0.08}, {At: 20 * time.Second, Away: 5 * time.Second, Share: 0.08},
	}
	return ld
}

// loads are those that can be named.
func loads() []Load { return []Load{Small(), Small().WithTrouble(), Grown(), Grown().WithTrouble()} }

// LoadNames returns the names that LoadByName knows.
func LoadNames() []string {
	var names []string
	for _, ld := range loads() {
		names = append(names, ld.Name)
	}
	return names
}

// LoadByName returns one of the loads above.
func LoadByName(name string) (Load, error) {
	for _, ld := range loads() {
		if ld.Name == name {
			return ld, nil
		}
	}
	return Load{}, &Error{Op: "load " + name, Kind: KindLoad, Err: errors.Errorf("known are %v", LoadNames())}
}

func (ld Load) machines() int {
	count := ld.Standby
	for _, po := range ld.Pools {
		count += po.Machines
	}
	return count
}

// catalog is the configuration that the load needs.
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

// rate is how many jobs a pool's queue gets a second at a time.
func (ld Load) rate(po Pool, at time.Duration) float64 {
	turn := int(at / ld.Period)
	if turn%len(ld.Pools) == po.Phase {
		return po.PerSecond * ld.Peak
	}
	return po.PerSecond * ld.Swing
}

// planned is a job that the load will submit, with what its tasks really take.
type planned struct {
	pool    Pool
	at      time.Duration
	job     *spec.Job
	lengths [][]time.Duration
	// chain is the longest chain of work, work all of it in core-seconds.
	chain time.Duration
	work  float64
}

// step is how finely the arrival of jobs is drawn.
const step = 10 * time.Millisecond

// draw returns the jobs of one seed in order of their submission.
func (ld Load) draw(seed int64) []planned {
	rng := rand.New(rand.NewSource(seed)) //nolint:gosec // a load is no secret
	var out []planned
	for at := time.Duration(0); at < ld.Duration; at += step {
		for _, po := range ld.Pools {
			if rng.Float64() < ld.rate(po, at)*step.Seconds() {
				out = append(out, ld.drawJob(rng, po, at, len(out)))
			}
		}
	}
	return out
}

// around draws a value around a mean; spread is the deviation of its logarithm.
func around(rng *rand.Rand, mean, spread, most float64) float64 {
	return min(mean*math.Exp(rng.NormFloat64()*spread-spread*spread/2), most)
}

func (ld Load) drawJob(rng *rand.Rand, po Pool, at time.Duration, number int) planned {
	pd := planned{pool: po, at: at, job: &spec.Job{ID: weir.JobID(fmt.Sprintf("%s-%d", po.Name, number)), Text: "play"}}
	for sp := range max(1, int(math.Round(around(rng, po.Steps, 0.4, 2.5*po.Steps)))) {
		mean := around(rng, po.Work, 0.5, 2.5*po.Work)
		st := spec.Step{
			Count:     max(1, int(math.Round(around(rng, po.Width, 0.6, 4*po.Width)))),
			Resources: spec.Resources{MilliCPU: int(1000 * around(rng, po.Cores, 0.45, 3*po.Cores)), MemoryMB: 1},
			Estimate:  time.Duration(around(rng, mean, po.EstimateOff, 3*mean) * float64(time.Second)), Checkpointing: po.Checkpointing,
		}
		if sp > 0 {
			st.After = []int{sp - 1}
		}
		longest, lengths := time.Duration(0), make([]time.Duration, st.Count)
		for ix := range lengths {
			lengths[ix] = time.Duration(around(rng, mean, po.Uneven, 3*mean) * float64(time.Second))
			longest = max(longest, lengths[ix])
			pd.work += lengths[ix].Seconds() * float64(st.Resources.MilliCPU) / 1000
		}
		pd.chain += longest
		pd.job.Steps = append(pd.job.Steps, st)
		pd.lengths = append(pd.lengths, lengths)
	}
	return pd
}

// lasting returns the jobs of a pool that last.
func (po Pool) lasting() []*spec.Job {
	var out []*spec.Job
	for ix := range po.Lasting {
		out = append(out, &spec.Job{ID: weir.JobID(fmt.Sprintf("%s-lasting-%d", po.Name, ix)), Text: "play", Steps: []spec.Step{{
			Count: po.LastingWidth, Resources: spec.Resources{MilliCPU: int(1000 * po.LastingCores), MemoryMB: 1}, LongRunning: true,
			MaxPerWorker: 1, MaxUnavailable: 1,
		}}})
	}
	return out
}
