package placement

import (
	"cmp"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// placeWithoutTeams is the order of placement from before there were teams.
func placeWithoutTeams(now time.Time, groups []Group, workers []Worker) []Placement {
	ordered := slices.Clone(groups)
	slices.SortStableFunc(ordered, func(one, other Group) int {
		return cmp.Or(
			cmp.Compare(one.class(now), other.class(now)),
			cmp.Compare(one.RemainingWork, other.RemainingWork),
			one.StartBy.Compare(other.StartBy),
			cmp.Compare(one.Step.Job, other.Step.Job),
			cmp.Compare(one.Step.Step, other.Step.Step),
		)
	})
	byPool := map[weir.PoolName][]*Worker{}
	for ix := range workers {
		wk := workers[ix]
		byPool[wk.Pool] = append(byPool[wk.Pool], &wk)
	}
	pools := make(map[weir.PoolName]*pool, len(byPool))
	for name, list := range byPool {
		pools[name] = newPool(list)
	}
	var out []Placement
	for _, gr := range ordered {
		if po := pools[gr.Pool]; po != nil {
			out = append(out, placeGroupWithoutTeams(now, gr, po)...)
		}
	}
	return out
}

func placeGroupWithoutTeams(now time.Time, gr Group, po *pool) []Placement {
	if len(gr.Tasks) == 0 || (!gr.anyOrder(gr.Tasks[0], "") && !slices.ContainsFunc(po.workers, func(wk *Worker) bool { return wk.accepts(gr, gr.RunsByWorker) })) {
		return nil
	}
	var before []Worker
	if gr.Spec.Gang {
		before = make([]Worker, len(po.workers))
		for ix, wk := range po.workers {
			before[ix] = *wk
		}
	}
	on := maps.Clone(gr.RunsByWorker)
	if on == nil {
		on = map[weir.InstanceID]int{}
	}
	rack := chooseRack(gr, po.workers)
	var out []Placement
	for _, tk := range gr.Tasks {
		wk := po.choose(now, gr, tk, on, rack)
		if wk == nil && tk.Suspect {
			continue
		}
		waits := wk != nil && gr.exceedsMaxUnavailable(on[wk.ID]) && tk.waitsForSpread(now)
		if wk == nil || (waits && gr.Spec.Gang) {
			break
		}
		po.reserve(wk, gr, tk)
		on[wk.ID]++
		if waits {
			continue
		}
		out = append(out, Placement{Task: gr.ref(tk), Run: tk.Run, Worker: wk.ID, Incarnation: wk.Incarnation})
	}
	if gr.Spec.Gang && len(out) < len(gr.Tasks) {
		for ix, wk := range po.workers {
			*wk = before[ix]
		}
		po.sort()
		return nil
	}
	return out
}

// mixedBacklog returns a backlog with steps of all kinds in two pools.
func mixedBacklog(seed int64) ([]Group, []Worker) {
	groups, workers := backlog(seed, 60, 30)
	rng := rand.New(rand.NewSource(seed))
	for ix := range workers {
		workers[ix].Pool = []weir.PoolName{"desk", "lab"}[rng.Intn(2)]
		workers[ix].Rack = []string{"r1", "r2", "r3"}[rng.Intn(3)]
	}
	for ix := range groups {
		gr := &groups[ix]
		gr.Pool = []weir.PoolName{"desk", "lab", "none"}[rng.Intn(3)]
		gr.Priority, gr.RemainingWork = rng.Intn(2), float64(rng.Intn(5))
		gr.StartBy = testNow.Add(time.Duration(rng.Intn(3)-1) * time.Second)
		gr.Spec.Gang, gr.Spec.OneRack = rng.Intn(5) == 0, rng.Intn(5) == 0
		gr.Spec.LongRunning, gr.Spec.BestEffort, gr.Spec.MaxUnavailable = rng.Intn(4) == 0, rng.Intn(4) == 0, rng.Intn(3)
		for ix := range gr.Tasks {
			gr.Tasks[ix].WaitingSince, gr.Tasks[ix].Suspect = testNow.Add(-time.Duration(rng.Intn(4))*time.Second), rng.Intn(10) == 0
		}
	}
	return groups, workers
}

// TestOrderWithoutTeamsIsUnchanged guards against teams that change what is placed in
// a configuration without them, or with a single team, which has the whole pool.
func TestOrderWithoutTeamsIsUnchanged(t *testing.T) {
	placed := 0
	for seed := range int64(200) {
		groups, workers := mixedBacklog(seed)
		want := placeWithoutTeams(testNow, groups, workers)
		require.Equal(t, want, Place(testNow, groups, workers, nil, nil), "seed %d", seed)
		placed += len(want)
		for ix := range groups {
			groups[ix].Team = "only"
		}
		teams := map[weir.TeamName]Team{"only": {Weight: 1, Startable: spec.Resources{}.Left(spec.Resources{})}}
		require.Equal(t, want, Place(testNow, groups, workers, teams, poolUses(workers)), "one team, seed %d", seed)
	}
	require.Greater(t, placed, 200*20, "the backlogs place something")
}

// poolUses returns the capacity of each pool without runs of teams.
func poolUses(workers []Worker) map[weir.PoolName]PoolUse {
	out := map[weir.PoolName]PoolUse{}
	for _, wk := range workers {
		pu := out[wk.Pool]
		pu.Capacity = pu.Capacity.Plus(wk.Free)
		out[wk.Pool] = pu
	}
	return out
}

func BenchmarkPlaceBacklogWithoutTeams(b *testing.B) {
	groups, workers := backlog(1, 250, 500)
	b.ReportAllocs()
	for b.Loop() {
		require.NotEmpty(b, placeWithoutTeams(testNow, groups, workers))
	}
}
