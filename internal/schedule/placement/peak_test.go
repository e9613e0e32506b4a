package placement

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// peak simulates a queue whose demand exceeds the capacity of its pool for some
// seconds, with one call of Place per time step.
type peak struct {
	rng     *rand.Rand
	span    time.Duration
	workers []Worker
	jobs    []*peakJob
	running []peakRun
	// begun is the start tag of the last job that began, served the finish tag of
	// each team; see byStartTag.
	begun  float64
	served map[weir.TeamName]float64
	// held counts, for each team, the tasks that ran in each time step of the last
	// two thirds of fairPeriod.
	held map[weir.TeamName]int
}

// peakOrder is the order of jobs in a simulation.
type peakOrder int

const (
	byLatestStart peakOrder = iota
	byWork
	// byStartTag is strict start-time fair queueing over teams of equal weight.
	byStartTag
	// byShare is the order of Place with teams of equal weight.
	byShare
)

type peakJob struct {
	id         string
	team       weir.TeamName
	tag        float64
	arrives    time.Duration
	width      int
	duration   time.Duration
	due        time.Duration
	unstarted  int
	unfinished int
	ended      time.Duration
}

type peakRun struct {
	job    *peakJob
	worker int
	until  time.Duration
	need   spec.Resources
}

const (
	peakStep    = 20 * time.Millisecond
	peakCores   = 64
	peakWorkers = 4
	// arrivalPeriod is how long jobs arrive, observedPeriod the length of the
	// simulation.
	arrivalPeriod  = 6 * time.Second
	observedPeriod = 40 * time.Second
)

// newPeak generates jobs with about twice the work that the workers can do during
// the arrival period.
func newPeak(seed int64) *peak {
	pk := &peak{rng: rand.New(rand.NewSource(seed)), span: observedPeriod}
	for ix := range peakWorkers {
		pk.workers = append(pk.workers, worker(fmt.Sprint("w", ix), peakCores))
	}
	capacity := float64(peakWorkers*peakCores) * arrivalPeriod.Seconds()
	for work := 0.0; work < 2*capacity; {
		jb := &peakJob{
			id: fmt.Sprint("j", len(pk.jobs)), arrives: time.Duration(pk.rng.Int63n(int64(arrivalPeriod))),
			width: 1 + pk.rng.Intn(12), duration: 300*time.Millisecond + time.Duration(pk.rng.Int63n(int64(1500*time.Millisecond))),
		}
		jb.unstarted, jb.unfinished = jb.width, jb.width
		jb.due = jb.arrives + 600*time.Millisecond + time.Duration(1.6*float64(jb.duration))
		work += float64(4*jb.width) * jb.duration.Seconds()
		pk.jobs = append(pk.jobs, jb)
	}
	return pk
}

// run runs the simulation and returns how many jobs met their objective.
func (pk *peak) run(order peakOrder) int {
	start := testNow
	for at := time.Duration(0); at < pk.span; at += peakStep {
		pk.finish(at)
		var groups []Group
		for _, jb := range pk.jobs {
			if jb.unstarted == 0 || jb.arrives > at {
				continue
			}
			gr := group(jb.id, spec.Step{Count: jb.unstarted, Resources: spec.Resources{MilliCPU: 4000}, Estimate: jb.duration})
			gr.StartBy = start.Add(jb.due - jb.duration)
			switch order {
			case byWork, byShare:
				gr.RemainingWork = jb.work()
				gr.Team = jb.team
			case byStartTag:
				gr.RemainingWork, gr.StartBy = pk.startTag(jb), start.Add(time.Hour)
			}
			groups = append(groups, gr)
		}
		var teams map[weir.TeamName]Team
		var pools map[weir.PoolName]PoolUse
		if order == byShare {
			teams, pools = pk.teams()
		}
		for _, pl := range Place(start.Add(at), groups, pk.workers, teams, pools) {
			pk.start(at, pl)
		}
		for _, rn := range pk.running {
			if pk.held != nil && at >= fairPeriod/3 && at < fairPeriod {
				pk.held[rn.job.team]++
			}
		}
	}
	met := 0
	for _, jb := range pk.jobs {
		if jb.met() {
			met++
		}
	}
	return met
}

func (jb *peakJob) met() bool { return jb.unfinished == 0 && jb.ended <= jb.due }

// work is the work of the tasks that have not started, in core-seconds.
func (jb *peakJob) work() float64 { return float64(4*jb.unstarted) * jb.duration.Seconds() }

// startTag returns the start tag of a job, and sets it on arrival.
func (pk *peak) startTag(jb *peakJob) float64 {
	if jb.tag == 0 {
		jb.tag = max(pk.begun, pk.served[jb.team])
		pk.served[jb.team] = jb.tag + jb.work()
	}
	return jb.tag
}

// teams returns teams of equal weight and what they use.
func (pk *peak) teams() (map[weir.TeamName]Team, map[weir.PoolName]PoolUse) {
	teams, use := map[weir.TeamName]Team{}, map[weir.TeamName]spec.Resources{}
	for _, jb := range pk.jobs {
		teams[jb.team] = Team{Weight: 1, Startable: noCap}
	}
	for _, rn := range pk.running {
		use[rn.job.team] = use[rn.job.team].Plus(rn.need)
	}
	capacity := spec.Resources{MilliCPU: peakWorkers * peakCores * 1000}
	return teams, map[weir.PoolName]PoolUse{"desk": {Capacity: capacity, Teams: use}}
}

func (pk *peak) start(at time.Duration, pl Placement) {
	for _, jb := range pk.jobs {
		if weir.JobID(jb.id) != pl.Task.Job {
			continue
		}
		jb.unstarted--
		pk.begun = max(pk.begun, jb.tag)
		for ix := range pk.workers {
			if pk.workers[ix].ID == pl.Worker {
				need := spec.Resources{MilliCPU: 4000}
				pk.workers[ix].Free = pk.workers[ix].Free.Minus(need)
				pk.running = append(pk.running, peakRun{job: jb, worker: ix, until: at + jb.duration, need: need})
			}
		}
	}
}

func (pk *peak) finish(at time.Duration) {
	left := pk.running[:0]
	for _, rn := range pk.running {
		if rn.until > at {
			left = append(left, rn)
			continue
		}
		pk.workers[rn.worker].Free = pk.workers[rn.worker].Free.Plus(rn.need)
		rn.job.unfinished--
		rn.job.ended = at
	}
	pk.running = left
}

// TestLeastWorkFirstMeetsMoreObjectives compares two orders of jobs at a peak of
// twice the capacity: least remaining work first, and by latest start alone as the
// baseline.
func TestLeastWorkFirstMeetsMoreObjectives(t *testing.T) {
	total, met, baseline := 0, 0, 0
	for seed := range int64(5) {
		met += newPeak(seed).run(byWork)
		baseline += newPeak(seed).run(byLatestStart)
		total += len(newPeak(seed).jobs)
	}
	t.Logf("of %d jobs met their objective: %d by least work, %d by latest start", total, met, baseline)
	require.Greater(t, met, baseline+total/10, "a tenth more of the jobs meet their objective")
}

// TestEveryJobEndsAfterPeak checks that no job starves under least work first.
func TestEveryJobEndsAfterPeak(t *testing.T) {
	pk := newPeak(1)
	pk.run(byWork)
	for _, jb := range pk.jobs {
		require.Zero(t, jb.unfinished, "%s of width %d", jb.id, jb.width)
	}
}
