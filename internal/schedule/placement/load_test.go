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

// load is a queue whose demand rises for some seconds to more than its pool
// holds, played through Place step by step.
type load struct {
	rng     *rand.Rand
	workers []Worker
	jobs    []*loadJob
	running []loadRun
}

type loadJob struct {
	id       string
	arrives  time.Duration
	width    int
	length   time.Duration
	due      time.Duration
	toStart  int
	unending int
	ended    time.Duration
}

type loadRun struct {
	job    *loadJob
	worker int
	until  time.Duration
	need   spec.Resources
}

const (
	loadStep    = 20 * time.Millisecond
	loadCores   = 64
	loadWorkers = 4
	// loadFor is how long jobs arrive, loadUntil how long they are watched.
	loadFor   = 6 * time.Second
	loadUntil = 40 * time.Second
)

// newLoad draws jobs for about twice what the workers can do while they come.
func newLoad(seed int64) *load {
	ld := &load{rng: rand.New(rand.NewSource(seed))}
	for ix := range loadWorkers {
		ld.workers = append(ld.workers, worker(fmt.Sprint("w", ix), loadCores))
	}
	capacity := float64(loadWorkers*loadCores) * loadFor.Seconds()
	for work := 0.0; work < 2*capacity; {
		jb := &loadJob{
			id: fmt.Sprint("j", len(ld.jobs)), arrives: time.Duration(ld.rng.Int63n(int64(loadFor))),
			width: 1 + ld.rng.Intn(12), length: 300*time.Millisecond + time.Duration(ld.rng.Int63n(int64(1500*time.Millisecond))),
		}
		jb.toStart, jb.unending = jb.width, jb.width
		jb.due = jb.arrives + 600*time.Millisecond + time.Duration(1.6*float64(jb.length))
		work += float64(4*jb.width) * jb.length.Seconds()
		ld.jobs = append(ld.jobs, jb)
	}
	return ld
}

// play runs the load and returns how many jobs met their objective.
func (ld *load) play(byWork bool) int {
	start := testNow
	for at := time.Duration(0); at < loadUntil; at += loadStep {
		ld.end(at)
		var groups []Group
		for _, jb := range ld.jobs {
			if jb.toStart == 0 || jb.arrives > at {
				continue
			}
			gr := group(jb.id, spec.Step{Count: jb.toStart, Resources: spec.Resources{MilliCPU: 4000}, Estimate: jb.length})
			gr.StartBy = start.Add(jb.due - jb.length)
			if byWork {
				gr.RemainingWork = float64(4*jb.toStart) * jb.length.Seconds()
			}
			groups = append(groups, gr)
		}
		for _, pl := range Place(start.Add(at), groups, ld.workers) {
			ld.begin(at, pl)
		}
	}
	met := 0
	for _, jb := range ld.jobs {
		if jb.unending == 0 && jb.ended <= jb.due {
			met++
		}
	}
	return met
}

func (ld *load) begin(at time.Duration, pl Placement) {
	for _, jb := range ld.jobs {
		if weir.JobID(jb.id) != pl.Task.Job {
			continue
		}
		jb.toStart--
		for ix := range ld.workers {
			if ld.workers[ix].ID == pl.Worker {
				need := spec.Resources{MilliCPU: 4000}
				ld.workers[ix].Free = ld.workers[ix].Free.Minus(need)
				ld.running = append(ld.running, loadRun{job: jb, worker: ix, until: at + jb.length, need: need})
			}
		}
	}
}

func (ld *load) end(at time.Duration) {
	left := ld.running[:0]
	for _, rn := range ld.running {
		if rn.until > at {
			left = append(left, rn)
			continue
		}
		ld.workers[rn.worker].Free = ld.workers[rn.worker].Free.Plus(rn.need)
		rn.job.unending--
		rn.job.ended = at
	}
	ld.running = left
}

// TestLeastWorkFirstServesMoreCallers plays a peak of twice the capacity, with
// the latest start first as the baseline.
func TestLeastWorkFirstServesMoreCallers(t *testing.T) {
	total, met, baseline := 0, 0, 0
	for seed := range int64(5) {
		met += newLoad(seed).play(true)
		baseline += newLoad(seed).play(false)
		total += len(newLoad(seed).jobs)
	}
	t.Logf("of %d jobs met their objective: %d by least work, %d by latest start", total, met, baseline)
	require.Greater(t, met, baseline+total/10, "a tenth more of the callers are served in time")
}

// TestNobodyWaitsForEver: every job ends once the peak is over.
func TestNobodyWaitsForEver(t *testing.T) {
	ld := newLoad(1)
	ld.play(true)
	for _, jb := range ld.jobs {
		require.Zero(t, jb.unending, "%s of width %d", jb.id, jb.width)
	}
}
