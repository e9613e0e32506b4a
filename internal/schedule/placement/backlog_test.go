package placement

import (
	"fmt"
	"math/rand"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// backlog returns the waiting steps and the workers of a pool that has grown to a
// large fleet's size while its queue waited.
func backlog(seed int64, steps, workers int) ([]Group, []Worker) {
	rng := rand.New(rand.NewSource(seed))
	pool := make([]Worker, 0, workers)
	for ix := range workers {
		wk := worker(fmt.Sprintf("w%03d", ix), 0)
		wk.Free = spec.Resources{MilliCPU: rng.Intn(64_000), MemoryMB: rng.Intn(262_144)}
		wk.Serving, wk.Suspect = max(0, rng.Intn(8)-6), rng.Intn(40) == 0
		pool = append(pool, wk)
	}
	var groups []Group
	for ix := range steps {
		gr := group(fmt.Sprintf("j%04d", ix), spec.Step{
			Count: 1 + rng.Intn(16), Resources: spec.Resources{MilliCPU: 1000 + rng.Intn(20_000), MemoryMB: rng.Intn(100_000)},
			MaxPerWorker: max(0, rng.Intn(20)-18),
		})
		for ix := range gr.Tasks {
			if rng.Intn(30) == 0 {
				gr.Tasks[ix].AvoidWorker = pool[rng.Intn(workers)].ID
			}
		}
		groups = append(groups, gr)
	}
	return groups, pool
}

// TestOrderedPoolChoosesLikeFullScan guards against an order of workers that
// differs from the comparison of all of them.
func TestOrderedPoolChoosesLikeFullScan(t *testing.T) {
	for seed := range int64(20) {
		groups, workers := backlog(seed, 60, 40)
		list := make([]*Worker, len(workers))
		for ix := range workers {
			list[ix] = &workers[ix]
		}
		po := newPool(list)
		for _, gr := range groups {
			on := map[weir.InstanceID]int{}
			for _, tk := range gr.Tasks {
				want := chooseWorker(gr, tk, on, "", list)
				got := po.choose(testNow, gr, tk, on, "")
				require.Same(t, want, got, "seed %d, job %s", seed, gr.Step.Job)
				if want == nil {
					break
				}
				po.reserve(want, gr, tk)
				on[want.ID]++
			}
		}
	}
}

func BenchmarkPlaceBacklog(b *testing.B) {
	groups, workers := backlog(1, 250, 500)
	b.ReportAllocs()
	for b.Loop() {
		require.NotEmpty(b, Place(testNow, groups, workers, nil, nil))
	}
}

func benchmarkTeams(b *testing.B, count int) {
	groups, workers := backlog(1, 250, 500)
	teams := map[weir.TeamName]Team{}
	for ix := range groups {
		groups[ix].Team = weir.TeamName(fmt.Sprint("t", ix%count))
		teams[groups[ix].Team] = Team{Weight: 1, Startable: spec.Resources{MilliCPU: 2_000_000, MemoryMB: spec.NoLimit, GPU: spec.NoLimit}}
	}
	pools := poolUses(workers)
	b.ReportAllocs()
	for b.Loop() {
		require.NotEmpty(b, Place(testNow, groups, workers, teams, pools))
	}
}

func BenchmarkPlaceBacklog20Teams(b *testing.B)  { benchmarkTeams(b, 20) }
func BenchmarkPlaceBacklog130Teams(b *testing.B) { benchmarkTeams(b, 130) }
