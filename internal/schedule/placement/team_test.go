package placement

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

var noCap = spec.Resources{}.Left(spec.Resources{})

// teamGroup returns a group of a team whose job has the same name; work orders it.
func teamGroup(team string, work float64, step spec.Step) Group {
	return group(team, step, func(gr *Group) { gr.Team, gr.RemainingWork = weir.TeamName(team), work })
}

func countsByJob(placements []Placement) map[weir.JobID]int {
	out := map[weir.JobID]int{}
	for _, pl := range placements {
		out[pl.Task.Job]++
	}
	return out
}

// TestTeamWithManyTimesItsLoad guards against a team that takes the shares of
// nineteen others by sending seven times its usual load, all of it ahead in the
// order by remaining work. The pool is empty and has the capacity of the usual load,
// eight tasks for each team.
func TestTeamWithManyTimesItsLoad(t *testing.T) {
	cases := map[string]struct {
		need           spec.Resources
		weight         float64
		othersAsk      int
		hot, minOthers int
	}{
		"processor time": {need: spec.Resources{MilliCPU: 4000, MemoryMB: 1}, weight: 1, othersAsk: 8, hot: 8, minOthers: 8},
		"memory":         {need: spec.Resources{MilliCPU: 1, MemoryMB: 4000}, weight: 1, othersAsk: 8, hot: 8, minOthers: 8},
		"accelerators":   {need: spec.Resources{MilliCPU: 1, GPU: 4}, weight: 1, othersAsk: 8, hot: 8, minOthers: 8},
		// The shares are 15.2 and 7.6 tasks. The hot team is first among those that
		// may exceed theirs by less than a task.
		"weight of two":  {need: spec.Resources{MilliCPU: 4000}, weight: 2, othersAsk: 16, hot: 16, minOthers: 7},
		"all ask double": {need: spec.Resources{MilliCPU: 4000}, weight: 1, othersAsk: 16, hot: 8, minOthers: 8},
		"room is left":   {need: spec.Resources{MilliCPU: 4000}, weight: 1, othersAsk: 5, hot: 56, minOthers: 5},
		"weight of zero": {need: spec.Resources{MilliCPU: 4000}, weight: 0, othersAsk: 9, hot: 0, minOthers: 8},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			wk := worker("w", 0)
			wk.Free = tc.need.Multiple(20 * 8)
			teams := map[weir.TeamName]Team{"hot": {Weight: tc.weight, Startable: noCap}}
			groups := []Group{teamGroup("hot", 1, spec.Step{Count: 56, Resources: tc.need})}
			for ix := range 19 {
				gr := teamGroup(fmt.Sprint("t", ix), float64(2+ix), spec.Step{Count: tc.othersAsk, Resources: tc.need})
				groups, teams[gr.Team] = append(groups, gr), Team{Weight: 1, Startable: noCap}
			}
			placed := Place(testNow, groups, []Worker{wk}, teams, poolUses([]Worker{wk}))
			require.Len(t, placed, min(160, 56+19*tc.othersAsk), "no room is left idle")
			got := countsByJob(placed)
			require.Equal(t, tc.hot, got["hot"])
			for _, gr := range groups[1:] {
				require.GreaterOrEqual(t, got[gr.Step.Job], tc.minOthers, "%s has its share, apart from a part of a task", gr.Team)
			}
		})
	}
}

func TestPlaceTeams(t *testing.T) {
	use := func(cores ...int) PoolUse {
		pu := PoolUse{Capacity: spec.Resources{MilliCPU: 12_000, MemoryMB: 1000}, Teams: map[weir.TeamName]spec.Resources{}}
		for ix, count := range cores {
			pu.Teams[weir.TeamName("abc"[ix:ix+1])] = spec.Resources{MilliCPU: count * 1000}
		}
		return pu
	}
	equal := func(startable ...int) map[weir.TeamName]Team {
		teams := map[weir.TeamName]Team{"a": {Weight: 1, Startable: noCap}, "b": {Weight: 1, Startable: noCap}, "c": {Weight: 1, Startable: noCap}}
		for ix, count := range startable {
			teams[weir.TeamName("abc"[ix:ix+1])] = Team{Weight: 1, Startable: spec.Resources{MilliCPU: count * 1000, MemoryMB: spec.NoLimit, GPU: spec.NoLimit}}
		}
		return teams
	}
	gang := spec.Step{Count: 4, Resources: cores(1), Gang: true}
	tasks := func(count int) spec.Step { return spec.Step{Count: count, Resources: cores(1)} }
	cases := map[string]struct {
		groups []Group
		free   int
		teams  map[weir.TeamName]Team
		use    PoolUse
		want   map[weir.JobID]int
	}{
		"no more than the cap, and others go on": {
			[]Group{teamGroup("a", 1, tasks(9)), teamGroup("b", 2, tasks(3))}, 12, equal(2), use(), map[weir.JobID]int{"a": 2, "b": 3},
		},
		"the cap holds over all pools": {
			[]Group{teamGroup("a", 1, tasks(2)), func() Group { gr := teamGroup("a", 2, tasks(2)); gr.Step.Job, gr.Pool = "a2", "lab"; return gr }()},
			12, equal(3), use(),
			map[weir.JobID]int{"a": 2, "a2": 1},
		},
		"a cap lowered below the use": {
			[]Group{teamGroup("a", 1, tasks(9)), teamGroup("b", 2, tasks(1))}, 4, equal(-3), use(8), map[weir.JobID]int{"b": 1},
		},
		"a cap raised in a full pool": {[]Group{teamGroup("a", 1, tasks(9))}, 0, equal(5), use(12), map[weir.JobID]int{}},
		"best-effort tasks count in full under a cap": {
			[]Group{teamGroup("a", 1, spec.Step{Count: 9, Resources: cores(2), BestEffort: true})}, 0, equal(4), use(), map[weir.JobID]int{"a": 2},
		},
		"no part of a gang that is wider than the cap": {
			[]Group{teamGroup("a", 1, gang), teamGroup("b", 2, tasks(1))}, 12, equal(3), use(), map[weir.JobID]int{"b": 1},
		},
		"a gang that just fits the cap": {[]Group{teamGroup("a", 1, gang)}, 12, equal(4), use(), map[weir.JobID]int{"a": 4}},
		"a gang that does not fit uses up no cap": {
			[]Group{teamGroup("a", 1, gang), func() Group { gr := teamGroup("a", 2, tasks(3)); gr.Step.Job = "a2"; return gr }()},
			3, equal(4), use(),
			map[weir.JobID]int{"a2": 3},
		},
		"a gang of a team above its share goes second": {
			[]Group{teamGroup("a", 1, gang), teamGroup("b", 2, tasks(2))}, 5, equal(), use(7), map[weir.JobID]int{"b": 2},
		},
		"a team that comes late goes first": {
			[]Group{teamGroup("a", 1, tasks(9)), teamGroup("b", 1, tasks(9)), teamGroup("c", 2, tasks(9))}, 3, equal(), use(6, 6), map[weir.JobID]int{"c": 3},
		},
		"room that nobody else asks for": {[]Group{teamGroup("a", 1, tasks(9))}, 4, equal(), use(8, 0), map[weir.JobID]int{"a": 4}},
		"a share counts the teams that wait without a group": {
			[]Group{teamGroup("a", 1, tasks(9)), teamGroup("b", 2, tasks(2))}, 3, equal(), use(5, 2, 0), map[weir.JobID]int{"a": 1, "b": 2},
		},
		"late steps of a team below its share after others in time": {
			[]Group{teamGroup("a", 2, tasks(3)), func() Group {
				gr := teamGroup("b", 1, tasks(3))
				gr.StartBy = testNow.Add(-1)
				return gr
			}()}, 3, equal(), use(9), map[weir.JobID]int{"a": 3},
		},
		"groups without a team are above no share": {
			[]Group{teamGroup("a", 2, tasks(9)), teamGroup("", 1, tasks(3))}, 3, equal(), use(), map[weir.JobID]int{"": 3},
		},
		"a removed team last, without a cap": {
			[]Group{teamGroup("gone", 1, spec.Step{Count: 9, Resources: cores(1), LongRunning: true}), func() Group {
				gr := teamGroup("a", 2, tasks(3))
				gr.StartBy = testNow.Add(-1)
				return gr
			}()}, 4, equal(), use(9), map[weir.JobID]int{"a": 3, "gone": 1},
		},
		"equal shares if no team has a weight": {
			[]Group{teamGroup("a", 1, tasks(9)), teamGroup("b", 2, tasks(9))},
			12,
			map[weir.TeamName]Team{"a": {Startable: noCap}, "b": {Startable: noCap}},
			use(),
			map[weir.JobID]int{"a": 6, "b": 6},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			wk, lab := worker("w", tc.free), worker("lab", 12)
			lab.Pool = "lab"
			pools := map[weir.PoolName]PoolUse{"desk": tc.use}
			require.Equal(t, tc.want, countsByJob(Place(testNow, tc.groups, []Worker{wk, lab}, tc.teams, pools)))
			require.Equal(t, tc.use, pools["desk"], "arguments are not modified")
		})
	}
}
