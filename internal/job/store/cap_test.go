package store

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

const capReached = "the team's cap is reached"

// setTeams applies a configuration with the given teams.
func (fx *fixture) setTeams(version int64, teams ...catalog.Team) {
	fx.mustApply(fx.teamsChange(version, teams...))
}

func (fx *fixture) teamsChange(version int64, teams ...catalog.Team) Change {
	return Change{Catalog: packed(fx.t, catalog.Catalog{
		Version: version, Pools: []catalog.Pool{{Name: "desk"}}, Teams: teams,
		Queues: []catalog.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "desk", Timeout: time.Second, MaxAttempts: 2}},
	})}
}

func teamWithCap(rs spec.Resources) catalog.Team { return catalog.Team{Name: "t", Cap: rs} }

func cores(count int) spec.Resources { return spec.Resources{MilliCPU: 1000 * count} }

func (fx *fixture) submitOf(team weir.TeamName, id string, steps ...spec.Step) {
	fx.mustApply(Change{Submit: &spec.Job{ID: spec.JobID(id), Queue: "h/q/", Team: team, Steps: steps}})
}

// teamUse returns the use of the team "t".
func (fx *fixture) teamUse() (use spec.Resources) {
	fx.sr.Read(func(rd Reader) { use = rd.TeamUse("t") })
	return use
}

// restore replaces the store by one that is restored from its snapshot.
func (fx *fixture) restore() {
	data, err := fx.sr.Snapshot()
	require.NoError(fx.t, err)
	fx.sr = New()
	require.NoError(fx.t, fx.sr.Restore(fx.index, data))
}

// recountTeamUse adds up the requests of all runs that may be on workers.
func recountTeamUse(st *state) map[weir.TeamName]spec.Resources {
	use := map[weir.TeamName]spec.Resources{}
	for _, js := range st.Jobs {
		for _, steps := range js.Occurrences {
			for sp := range steps {
				for ix := range steps[sp].Tasks {
					if js.Spec.Team != "" && steps[sp].Tasks[ix].Placed() {
						use[js.Spec.Team] = use[js.Spec.Team].Plus(js.Spec.Steps[sp].Resources)
					}
				}
			}
		}
	}
	return withoutZeros(use)
}

// withoutZeros drops the teams whose runs request nothing, which may be listed or not.
func withoutZeros(use map[weir.TeamName]spec.Resources) map[weir.TeamName]spec.Resources {
	out := maps.Clone(use)
	maps.DeleteFunc(out, func(_ weir.TeamName, rs spec.Resources) bool { return rs == spec.Resources{} })
	return out
}

// TestStartsStayWithinCap guards against a start that brings a team above its cap
// in any resource.
func TestStartsStayWithinCap(t *testing.T) {
	bestEffort := spec.Step{Count: 3, Resources: cores(1), BestEffort: true, LongRunning: true}
	cases := map[string]struct {
		limit spec.Resources
		step  spec.Step
	}{
		"processor time": {cores(2), spec.Step{Count: 3, Resources: cores(1)}},
		"memory":         {spec.Resources{MemoryMB: 250}, spec.Step{Count: 3, Resources: spec.Resources{MilliCPU: 1, MemoryMB: 100}}},
		"accelerators":   {spec.Resources{GPU: 2}, spec.Step{Count: 3, Resources: spec.Resources{GPU: 1}}},
		"best effort":    {cores(2), bestEffort},
		"one of several": {spec.Resources{MilliCPU: 9000, MemoryMB: 9000, GPU: 2}, spec.Step{Count: 3, Resources: spec.Resources{MilliCPU: 10, MemoryMB: 10, GPU: 1}}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.setTeams(2, teamWithCap(tc.limit), catalog.Team{Name: "other", Cap: tc.limit})
			fx.submitOf("t", "a", tc.step)
			fx.submitOf("other", "b", tc.step)
			fx.submit("none", tc.step)
			fx.mustApply(start("a", 0, 0, 1, 0))
			fx.mustApply(start("a", 0, 1, 1, 1))
			fx.mustRefuse(start("a", 0, 2, 1, 2), capReached)
			fx.mustApply(start("b", 0, 0, 1, 0)) // another team has its own use
			for ix := range 3 {
				fx.mustApply(start("none", 0, ix, 1, ix))
			}
			fx.mustApply(end("a", 0, 0, 1, EndLost))
			fx.mustApply(start("a", 0, 2, 1, 2))
			fx.mustRefuse(start("a", 0, 0, 2, 0), capReached)
		})
	}
}

// TestLoweredAndRaisedCap guards against a lowered cap that stops runs or lets
// others start, and against one that stays in force after it is raised.
func TestLoweredAndRaisedCap(t *testing.T) {
	fx := newFixture(t)
	fx.setTeams(2, teamWithCap(cores(4)))
	fx.submitOf("t", "a", spec.Step{Count: 5, Resources: cores(1)}, spec.Step{Count: 1, Resources: spec.Resources{MemoryMB: 1}})
	for ix := range 3 {
		fx.mustApply(start("a", 0, ix, 1, ix))
	}
	fx.setTeams(3, teamWithCap(cores(2)))
	require.Equal(t, cores(3), fx.teamUse(), "no run is stopped")
	fx.mustRefuse(start("a", 0, 3, 1, 0), capReached)
	fx.mustRefuse(start("a", 1, 0, 1, 0), capReached)
	fx.mustApply(end("a", 0, 0, 1, EndDone))
	fx.mustRefuse(start("a", 0, 3, 1, 0), capReached)
	fx.mustApply(start("a", 1, 0, 1, 0)) // the use is at the cap and the start adds nothing to it
	fx.mustApply(end("a", 0, 1, 1, EndDone))
	fx.mustApply(start("a", 0, 3, 1, 0))
	fx.mustRefuse(start("a", 0, 4, 1, 0), capReached)
	fx.setTeams(4, teamWithCap(cores(3)))
	fx.mustApply(start("a", 0, 4, 1, 0))
	fx.setTeams(5, teamWithCap(spec.Resources{}))
	fx.submitOf("t", "b", spec.Step{Count: 1, Resources: cores(100)})
	fx.mustApply(start("b", 0, 0, 1, 0))
}

// TestTeamWithoutConfigurationHasNoCap guards against accepted jobs that never run
// because their team is taken out of the configuration.
func TestTeamWithoutConfigurationHasNoCap(t *testing.T) {
	fx := newFixture(t)
	fx.setTeams(2, teamWithCap(cores(1)))
	fx.submitOf("t", "a", spec.Step{Count: 3, Resources: cores(1)})
	fx.mustApply(start("a", 0, 0, 1, 0))
	fx.mustRefuse(start("a", 0, 1, 1, 0), capReached)
	fx.setTeams(3, catalog.Team{Name: "other", Cap: cores(1)})
	fx.mustApply(start("a", 0, 1, 1, 0))
	fx.mustApply(start("a", 0, 2, 1, 0))
	require.Equal(t, cores(3), fx.teamUse(), "the use is counted all the same")
	fx.setTeams(4, teamWithCap(cores(3)))
	fx.mustApply(end("a", 0, 0, 1, EndLost))
	fx.mustApply(start("a", 0, 0, 2, 0))
}

// TestRunsCountUntilTheirEndIsRecorded guards against a start next to a run that may
// still be on a worker: one that is being stopped, whose worker is lost or restarted,
// or that an earlier leader committed and no longer ordered.
func TestRunsCountUntilTheirEndIsRecorded(t *testing.T) {
	id := spec.JobID("a")
	cases := map[string]struct {
		before func(fx *fixture)
		end    Change
	}{
		"being stopped after a cancellation": {
			func(fx *fixture) { fx.mustApply(Change{Cancel: &id}) },
			end("a", 0, 0, 1, EndStopped),
		},
		"being stopped after a failure": {
			func(fx *fixture) {
				fx.mustApply(start("a", 0, 1, 1, 1))
				fx.mustApply(end("a", 0, 1, 1, EndFailed))
				fx.mustApply(start("a", 0, 1, 2, 1))
				fx.mustApply(end("a", 0, 1, 2, EndFailed))
				require.Equal(fx.t, Failed, fx.phase("a"))
			},
			end("a", 0, 0, 1, EndStopped),
		},
		"worker lost": {
			func(*fixture) {},
			Change{Leave: &WorkerLeave{ID: "w0", Incarnation: 1, Reason: "lease lapsed"}},
		},
		"worker restarted": {
			func(fx *fixture) { fx.mustApply(Change{Join: testWorker(0, 5)}) },
			end("a", 0, 0, 1, EndLost),
		},
		"worker draining": {
			func(fx *fixture) {
				wk := testWorker(0, 1)
				wk.Draining = true
				fx.mustApply(Change{Join: wk})
			},
			Change{Leave: &WorkerLeave{ID: "w0", Incarnation: 1, Departed: true}},
		},
		"worker replaced": {
			func(*fixture) {},
			Change{Join: func() *Worker {
				wk := testWorker(0, 5)
				wk.ID, wk.Address = "w9", "addr9"
				return wk
			}()},
		},
		"intent of a leader that died before its order": {
			func(fx *fixture) { fx.restore() },
			end("a", 0, 0, 1, EndRefused),
		},
		"member of a gang that another member completed": {
			func(fx *fixture) {
				fx.mustApply(end("a", 0, 0, 1, EndLost))
				fx.submitOf("t", "gang", spec.Step{Count: 2, Gang: true, Resources: spec.Resources{MemoryMB: 1}})
				fx.mustApply(start("gang", 0, 0, 1, 0))
				fx.mustApply(start("gang", 0, 1, 1, 1))
				fx.mustApply(end("gang", 0, 1, 1, EndDone))
				require.Equal(fx.t, Done, fx.phase("gang"))
			},
			end("gang", 0, 0, 1, EndStopped),
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.setTeams(2, teamWithCap(spec.Resources{MemoryMB: 2}))
			fx.submitOf("t", "a", spec.Step{Count: 2, Resources: spec.Resources{MemoryMB: 1}})
			fx.submitOf("t", "next", spec.Step{Count: 1, Resources: spec.Resources{MemoryMB: 2}})
			fx.mustApply(start("a", 0, 0, 1, 0))
			tc.before(fx)
			fx.mustRefuse(start("next", 0, 0, 1, 2), capReached)
			fx.restore()
			fx.mustRefuse(start("next", 0, 0, 1, 2), capReached)
			fx.mustApply(tc.end)
			require.Zero(t, fx.teamUse())
			fx.mustApply(start("next", 0, 0, 1, 2))
		})
	}
}

// TestLateStartsOfFormerLeader guards against starts that a paused leader decided
// under an earlier configuration and that are applied after a newer one.
func TestLateStartsOfFormerLeader(t *testing.T) {
	fx := newFixture(t)
	fx.setTeams(2, teamWithCap(cores(4)))
	fx.submitOf("t", "a", spec.Step{Count: 4, Resources: cores(1)})
	starts := []Change{start("a", 0, 0, 1, 0), start("a", 0, 1, 1, 1), start("a", 0, 2, 1, 2)}
	entry, err := Entry{At: testNow, Changes: starts}.Encode()
	require.NoError(t, err)

	fx.setTeams(3, teamWithCap(cores(2)))
	fx.mustApply(start("a", 0, 3, 1, 0)) // by the new leader
	fx.index++
	results, ok := fx.sr.Apply(fx.index, entry).([]Result)
	require.True(t, ok)
	require.Equal(t, []Result{applied, refused(capReached), refused(capReached)}, results)
	require.Equal(t, cores(2), fx.teamUse())
}

// TestGangIsAdmittedAsAWhole guards against a gang of which some members are placed
// and hold the team's cap until they are stopped.
func TestGangIsAdmittedAsAWhole(t *testing.T) {
	fx := newFixture(t)
	fx.setTeams(2, teamWithCap(cores(4)))
	fx.submitOf("t", "single", spec.Step{Count: 2, Resources: cores(1)})
	fx.submitOf("t", "gang", spec.Step{Count: 3, Gang: true, Resources: cores(1)})
	gang := func(run int) []Result {
		var changes []Change
		for ix := range 3 {
			changes = append(changes, start("gang", 0, ix, run, ix))
		}
		entry, err := Entry{At: testNow, Changes: changes}.Encode()
		require.NoError(t, err)
		fx.index++
		results, ok := fx.sr.Apply(fx.index, entry).([]Result)
		require.True(t, ok)
		return results
	}
	fx.mustApply(start("single", 0, 0, 1, 0))
	fx.mustApply(start("single", 0, 1, 1, 0))
	for _, res := range gang(1) {
		require.Equal(t, refused(capReached), res)
	}
	require.Equal(t, cores(2), fx.teamUse())
	fx.mustApply(end("single", 0, 0, 1, EndDone))
	for _, res := range gang(1) {
		require.Equal(t, applied, res)
	}
	require.Equal(t, cores(4), fx.teamUse())
	// A lost member is admitted again: the others count once.
	fx.mustApply(end("gang", 0, 1, 1, EndLost))
	fx.mustApply(start("gang", 0, 1, 2, 1))
}

// TestSnapshotWithoutTeams guards against a snapshot of a version without teams that
// cannot be read, or whose jobs a cap holds back.
func TestSnapshotWithoutTeams(t *testing.T) {
	const snapshot = `{"index":7,"catalog":{"version":0,"data":null},"jobs":{"a":{"spec":{"id":"a","queue":"h/q/","text":"",
		"steps":[{"count":2,"need":{"cpu":1000}}]},"at":"2027-01-15T08:00:00Z","phase":"running","begun":true,
		"rounds":[[{"t":[{"r":1,"w":"w0","b":1},{}],"l":2}]],"left":1,"placed":1}},
		"workers":{"w0":{"id":"w0","born":1,"pool":"desk","addr":"addr0","zone":"","room":{"cpu":8000}}},"waves":{},"orders":{}}`
	fx := &fixture{t: t, sr: New(), index: 7}
	require.NoError(t, fx.sr.Restore(7, []byte(snapshot)))
	require.Empty(t, fx.sr.st.TeamUse)
	fx.sr.Read(func(rd Reader) {
		require.Empty(t, rd.Catalog().Teams)
		require.Len(t, rd.WorkerRuns("w0"), 1)
	})
	fx.setTeams(1, teamWithCap(cores(1)))
	fx.mustApply(start("a", 0, 1, 1, 0))
	require.Empty(t, fx.sr.st.TeamUse, "a job without a team counts for none")
}

// TestTeamUseUnderRandomChanges applies random changes, also of the caps, and checks
// after each that the use is what the runs request, before and after a snapshot, and
// that no start has brought a team above its cap.
func TestTeamUseUnderRandomChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fx := newFixture(rt)
		teams := []weir.TeamName{"t", "u", ""}
		request := rapid.Custom(func(rt *rapid.T) spec.Resources {
			return spec.Resources{
				MilliCPU: 100 * rapid.IntRange(0, 3).Draw(rt, "cpu"), MemoryMB: rapid.IntRange(0, 3).Draw(rt, "memory"), GPU: rapid.IntRange(0, 2).Draw(rt, "gpu"),
			}
		})
		limits := rapid.Custom(func(rt *rapid.T) spec.Resources {
			return spec.Resources{
				MilliCPU: 100 * rapid.IntRange(0, 6).Draw(rt, "cpu"), MemoryMB: rapid.IntRange(0, 6).Draw(rt, "memory"), GPU: rapid.IntRange(0, 4).Draw(rt, "gpu"),
			}
		})
		for job := range 4 {
			fx.submitOf(rapid.SampledFrom(teams).Draw(rt, "team"), fmt.Sprint("j", job),
				spec.Step{Count: 2, Resources: request.Draw(rt, "request"), Gang: job == 0, BestEffort: job == 1},
				spec.Step{Count: 1, Resources: request.Draw(rt, "request"), After: []int{0}})
		}
		reasons := []EndReason{EndDone, EndFailed, EndLost, EndStopped, EndRefused}
		for step := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			job := fmt.Sprint("j", rapid.IntRange(0, 3).Draw(rt, "job"))
			sp, index := rapid.IntRange(0, 1).Draw(rt, "step"), rapid.IntRange(0, 1).Draw(rt, "index")
			run, worker := rapid.IntRange(1, 3).Draw(rt, "run"), rapid.IntRange(0, 2).Draw(rt, "worker")
			switch rapid.IntRange(0, 11).Draw(rt, "kind") {
			case 0, 1, 2, 3, 4:
				if fx.apply(start(job, sp, index, run, worker)).Applied {
					checkCap(rt, fx.sr.st, spec.JobID(job))
				}
			case 5, 6, 7:
				fx.apply(end(job, sp, index, run, rapid.SampledFrom(reasons).Draw(rt, "how")))
			case 8:
				id := spec.JobID(job)
				fx.apply(Change{Cancel: &id})
			case 9:
				fx.apply(Change{Leave: &WorkerLeave{ID: weir.InstanceID(fmt.Sprint("w", worker)), Incarnation: 1}})
			case 10:
				fx.apply(Change{Join: testWorker(worker, 1)})
			case 11:
				fx.setTeams(int64(step+2), teamWithCap(limits.Draw(rt, "cap")), catalog.Team{Name: "u", Cap: limits.Draw(rt, "cap")})
			}
			require.Equal(rt, recountTeamUse(fx.sr.st), withoutZeros(fx.sr.st.TeamUse))
		}
		before := withoutZeros(fx.sr.st.TeamUse)
		fx.restore()
		require.Equal(rt, before, withoutZeros(fx.sr.st.TeamUse))
	})
}

// checkCap checks the use of a job's team, of which a run has just started.
func checkCap(t require.TestingT, st *state, job spec.JobID) {
	team := st.Jobs[job].Spec.Team
	limit, use := st.Teams[team].Cap, recountTeamUse(st)[team]
	for _, cr := range catalog.CapResources {
		if cr.Of(limit) > 0 {
			require.LessOrEqual(t, cr.Of(use), cr.Of(limit), cr.Name)
		}
	}
}
