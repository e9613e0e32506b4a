package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/capacity/balance"
	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// cappedJob is a job of team "t" in the queue of a pool, accepted some time ago.
type cappedJob struct {
	pool weir.PoolName
	ago  time.Duration
	// placed is how many tasks of the first step are started.
	placed int
	steps  []spec.Step
	team   weir.TeamName
}

const (
	inTime = 300 * time.Millisecond // also counts as arriving
	old    = 2 * time.Second        // no longer counts as arriving, and is stuck
	late   = time.Hour
)

// loadsOf returns the loads of the pools p and q, with one worker of eight cores each
// that is not usable, for jobs of the team "t" with the given cap.
func loadsOf(t *testing.T, limit spec.Resources, jobs ...cappedJob) (loads, withLate map[weir.PoolName]balance.Load) {
	sp := newStepped(t, nil, nil)
	queue := func(pool weir.PoolName) catalog.Queue {
		return catalog.Queue{Name: string(pool), Host: "h", Prefix: "/" + string(pool) + "/", Pool: pool, Timeout: time.Second, MaxAttempts: 3, Stretch: 2, TargetLatency: time.Minute}
	}
	packed, err := catalog.Catalog{
		Version: 2, Pools: []catalog.Pool{{Name: "p"}, {Name: "q"}}, Queues: []catalog.Queue{queue("p"), queue("q")},
		Teams: []catalog.Team{{Name: "t", Cap: limit}, {Name: "uncapped"}},
	}.Pack()
	require.NoError(t, err)
	capacity := spec.Resources{MilliCPU: 8000, MemoryMB: 8000, GPU: 8}
	sp.apply(store.Change{Catalog: packed},
		store.Change{Join: &store.Worker{ID: "wp", Incarnation: 1, Pool: "p", Address: "wp", Capacity: capacity}},
		store.Change{Join: &store.Worker{ID: "wq", Incarnation: 1, Pool: "q", Address: "wq", Capacity: capacity}})
	now := sp.clk.Now()
	for ix, cj := range jobs {
		id := spec.JobID(fmt.Sprintf("j%02d", ix))
		if cj.team == "" {
			cj.team = "t"
		}
		changes := []store.Change{{Submit: &spec.Job{ID: id, Queue: "h/" + string(cj.pool) + "/", Team: cj.team, Steps: cj.steps}}}
		for task := range cj.placed {
			changes = append(changes, store.Change{Start: &store.RunStart{Task: spec.TaskRef{Job: id, Index: task}, Run: 1, Worker: "w" + weir.InstanceID(cj.pool), Incarnation: 1}})
		}
		data, err := store.Entry{At: now.Add(-cj.ago), Changes: changes}.Encode()
		require.NoError(t, err)
		_, err = sp.gl.Propose(t.Context(), data)
		require.NoError(t, err)
	}
	sp.gl.st.Read(func(rd store.Reader) { loads, withLate = sp.sc.poolLoads(sp.ls, rd, now) })
	return loads, withLate
}

func coreTasks(count int) []spec.Step {
	return []spec.Step{{Count: count, Resources: spec.Resources{MilliCPU: 1000}, Estimate: time.Second}}
}

func ofCores(count int) spec.Resources { return spec.Resources{MilliCPU: 1000 * count} }

// TestTasksBeyondCapCallNoMachines guards against machines that move to a pool for
// tasks that the cap of their team holds back.
func TestTasksBeyondCapCallNoMachines(t *testing.T) {
	gang := []spec.Step{{Count: 3, Resources: ofCores(1), Gang: true, Estimate: time.Second}}
	serving := []spec.Step{{Count: 6, Resources: ofCores(1), LongRunning: true, MaxUnavailable: 1}}
	after := append(coreTasks(1), spec.Step{Count: 6, Resources: ofCores(1), LongRunning: true, After: []int{0}})
	bestEffort := []spec.Step{{Count: 6, Resources: spec.Resources{MilliCPU: 1000, MemoryMB: 10}, BestEffort: true, LongRunning: true}}
	accelerated := []spec.Step{{Count: 6, Resources: spec.Resources{MilliCPU: 1000, GPU: 1}, Estimate: time.Second}}
	type want struct{ busy, waiting, stuck, lasting, lateWaiting spec.Resources }
	cases := map[string]struct {
		limit spec.Resources
		jobs  []cappedJob
		p, q  want
	}{
		"no cap": {
			spec.Resources{},
			[]cappedJob{{pool: "p", ago: old, steps: coreTasks(9)}, {pool: "q", ago: old, steps: coreTasks(9)}},
			want{waiting: ofCores(9), stuck: ofCores(9)},
			want{waiting: ofCores(9), stuck: ofCores(9)},
		},
		"one cap over all pools": {
			ofCores(4),
			[]cappedJob{{pool: "p", ago: old, steps: coreTasks(3)}, {pool: "q", ago: old / 2, steps: coreTasks(3)}},
			want{waiting: ofCores(3), stuck: ofCores(3)},
			want{waiting: ofCores(1), stuck: ofCores(1)},
		},
		"runs count first": {
			ofCores(4),
			[]cappedJob{{pool: "p", ago: old / 2, steps: coreTasks(9)}, {pool: "q", ago: old, placed: 3, steps: coreTasks(3)}},
			want{waiting: ofCores(1), stuck: ofCores(1)},
			want{busy: ofCores(3)},
		},
		"cap reached": {
			ofCores(4),
			[]cappedJob{{pool: "p", ago: old, placed: 4, steps: coreTasks(9)}, {pool: "q", ago: old, steps: coreTasks(9)}},
			want{busy: ofCores(4)},
			want{},
		},
		"late tasks after those in time": {
			ofCores(4),
			[]cappedJob{{pool: "p", ago: late, steps: coreTasks(3)}, {pool: "q", ago: old, steps: coreTasks(2)}},
			want{lateWaiting: ofCores(2)},
			want{waiting: ofCores(2), stuck: ofCores(2)},
		},
		"gang as a whole": {
			ofCores(4),
			[]cappedJob{{pool: "p", ago: old, steps: coreTasks(2)}, {pool: "q", ago: old / 2, steps: gang}},
			want{waiting: ofCores(2), stuck: ofCores(2)},
			want{},
		},
		"long-running tasks": {
			ofCores(4),
			[]cappedJob{{pool: "p", ago: old, steps: serving}, {pool: "q", ago: old, steps: serving}},
			want{lasting: ofCores(4), stuck: ofCores(4)},
			want{},
		},
		"long-running tasks that other steps hold back come last": {
			ofCores(4),
			[]cappedJob{{pool: "p", ago: old, steps: after}, {pool: "q", ago: old / 2, steps: coreTasks(2)}},
			want{waiting: ofCores(1), stuck: ofCores(1), lasting: ofCores(1)},
			want{waiting: ofCores(2), stuck: ofCores(2)},
		},
		"best-effort tasks count in full": {
			ofCores(2),
			[]cappedJob{{pool: "p", ago: old, steps: bestEffort}},
			want{lasting: spec.Resources{MemoryMB: 20}, stuck: spec.Resources{MemoryMB: 20}},
			want{},
		},
		"capped in another resource": {
			spec.Resources{GPU: 2},
			[]cappedJob{{pool: "p", ago: old, steps: accelerated}},
			want{waiting: spec.Resources{MilliCPU: 2000, GPU: 2}, stuck: spec.Resources{MilliCPU: 2000, GPU: 2}},
			want{},
		},
		"another team": {
			ofCores(1),
			[]cappedJob{{pool: "p", ago: old, steps: coreTasks(9), team: "uncapped"}, {pool: "p", ago: old, steps: coreTasks(9)}},
			want{waiting: ofCores(10), stuck: ofCores(10)},
			want{},
		},
		"team of no configuration": {
			ofCores(1),
			[]cappedJob{{pool: "p", ago: old, steps: coreTasks(9), team: "gone"}},
			want{waiting: ofCores(9), stuck: ofCores(9)},
			want{},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			loads, withLate := loadsOf(t, tc.limit, tc.jobs...)
			for pool, expected := range map[weir.PoolName]want{"p": tc.p, "q": tc.q} {
				ld := loads[pool]
				got := want{ld.Busy, ld.Waiting, ld.Stuck, ld.LongRunning, withLate[pool].Waiting.Minus(ld.Waiting)}
				require.Equal(t, expected, got, pool)
			}
		})
	}
}

// TestArrivalsBeyondCapCallNoMachines guards against machines that move to a pool for
// jobs of a team that can run only some of them at a time.
func TestArrivalsBeyondCapCallNoMachines(t *testing.T) {
	rate := func(limit spec.Resources, jobs ...cappedJob) (p, q spec.Resources) {
		loads, _ := loadsOf(t, limit, jobs...)
		return loads["p"].ArrivalRate, loads["q"].ArrivalRate
	}
	// Four tasks of a second within 0.4 s will use ten cores.
	arriving := func(pool weir.PoolName, ago time.Duration) cappedJob {
		return cappedJob{pool: pool, ago: ago, steps: coreTasks(4)}
	}
	p, q := rate(spec.Resources{}, arriving("p", inTime), arriving("q", inTime))
	require.Equal(t, [2]spec.Resources{ofCores(10), ofCores(10)}, [2]spec.Resources{p, q}, "without a cap")
	p, q = rate(ofCores(12), arriving("p", inTime), arriving("q", inTime/2))
	require.Equal(t, [2]spec.Resources{ofCores(8), ofCores(4)}, [2]spec.Resources{p, q}, "four of each wait, and four more can run")
	p, q = rate(ofCores(8), arriving("p", inTime), cappedJob{pool: "q", ago: old, placed: 8, steps: coreTasks(8)})
	require.Equal(t, [2]spec.Resources{{}, {}}, [2]spec.Resources{p, q}, "the cap is reached in another pool")
	p, _ = rate(ofCores(8), arriving("p", inTime), cappedJob{pool: "p", ago: old, placed: 8, steps: coreTasks(8)})
	require.Equal(t, ofCores(8), p, "the arriving tasks follow those that run in the pool")
	accelerated := cappedJob{pool: "p", ago: inTime, steps: []spec.Step{{Count: 4, Resources: spec.Resources{MilliCPU: 1000, GPU: 1}, Estimate: time.Second}}}
	p, _ = rate(spec.Resources{GPU: 2}, accelerated)
	require.Equal(t, spec.Resources{MilliCPU: 2000, GPU: 2}, p, "capped in another resource")
}

// TestCappedLoadIsDeterministic guards against machines that move to and fro since the
// tasks that count depend on the order in which jobs are visited.
func TestCappedLoadIsDeterministic(t *testing.T) {
	var jobs []cappedJob
	for ix := range 20 {
		jobs = append(jobs, cappedJob{pool: []weir.PoolName{"p", "q"}[ix%2], ago: inTime, steps: coreTasks(1 + ix%3)})
	}
	first, firstLate := loadsOf(t, ofCores(13), jobs...)
	require.Equal(t, ofCores(13), first["p"].Waiting.Plus(first["q"].Waiting))
	for range 20 {
		again, againLate := loadsOf(t, ofCores(13), jobs...)
		require.Equal(t, first, again)
		require.Equal(t, firstLate, againLate)
	}
}

// TestCappedMinMachines guards against machines over which no tasks can be spread.
func TestCappedMinMachines(t *testing.T) {
	serving := []spec.Step{{Count: 6, Resources: ofCores(1), LongRunning: true, MaxUnavailable: 1}}
	loads, _ := loadsOf(t, ofCores(4), cappedJob{pool: "p", ago: old, steps: serving})
	require.Equal(t, 4, loads["p"].MinMachines)
	loads, _ = loadsOf(t, spec.Resources{}, cappedJob{pool: "p", ago: old, steps: serving})
	require.Equal(t, 6, loads["p"].MinMachines)
}
