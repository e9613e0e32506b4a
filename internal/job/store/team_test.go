package store

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// checkTeamJobs recounts the work and the pending jobs of each team.
func checkTeamJobs(t require.TestingT, st *state) {
	want := map[weir.TeamName]*teamJobs{}
	load := func(name weir.TeamName) *teamJobs {
		if want[name] == nil {
			want[name] = &teamJobs{Jobs: map[spec.JobID]*JobState{}}
		}
		return want[name]
	}
	for id, js := range st.Jobs {
		team := js.Spec.Team
		if team == "" {
			continue
		}
		if !js.Phase.Terminal() && js.Placed == 0 && !js.Begun {
			load(team).Pending++
		}
		var left spec.Work
		if !js.Phase.Terminal() && js.Spec.Immediate() {
			for sp, ss := range js.Occurrences[0] {
				for ix := range ss.Tasks {
					if !ss.Tasks[ix].Done {
						left = left.Plus(js.Spec.TaskWork(sp))
					}
				}
			}
		}
		require.Equal(t, left, js.WorkLeft())
		if left != (spec.Work{}) {
			tj := load(team)
			tj.Left = tj.Left.Plus(left)
			tj.Jobs[id] = js
		}
	}
	require.Equal(t, want, st.TeamJobs)
}

func (fx *fixture) workLeft(team weir.TeamName) (left spec.Work) {
	fx.sr.Read(func(rd Reader) { left = rd.TeamWorkLeft(team) })
	return left
}

// TestTeamWorkFallsAsJobsEnd guards against a backlog that keeps work of jobs that have
// ended, for which submits of the team would be refused for ever.
func TestTeamWorkFallsAsJobsEnd(t *testing.T) {
	fx := newFixture(t)
	submit := func(id string, edit func(jb *spec.Job)) {
		jb := &spec.Job{ID: spec.JobID(id), Queue: "h/q/", Team: "a", Steps: []spec.Step{
			{Count: 2, Resources: spec.Resources{MilliCPU: 1000, MemoryMB: 10, GPU: 1}, Estimate: time.Second},
		}}
		edit(jb)
		fx.mustApply(Change{Submit: jb})
	}
	plain := func(*spec.Job) {}
	one := spec.Work{MilliCPU: 1e6, ReservedMilliCPU: 1e6, MemoryMB: 1e4, GPU: 1e3}
	for _, id := range []string{"done", "cancelled", "failed"} {
		submit(id, plain)
	}
	submit("lasting", func(jb *spec.Job) { jb.Steps[0].LongRunning = true })
	submit("timed", func(jb *spec.Job) { jb.OccurrenceCount = 2 })
	submit("public", func(jb *spec.Job) { jb.Team = "" })
	submit("otherTeam", func(jb *spec.Job) { jb.Team = "b" })
	require.Equal(t, one.Tasks(6), fx.workLeft("a"))
	require.Equal(t, one.Tasks(2), fx.workLeft("b"))

	fx.mustApply(start("done", 0, 0, 1, 0))
	require.Equal(t, one.Tasks(6), fx.workLeft("a"), "a task counts until it is done")
	fx.mustApply(end("done", 0, 0, 1, EndLost))
	fx.mustApply(start("done", 0, 0, 2, 0))
	fx.mustApply(end("done", 0, 0, 2, EndDone))
	require.Equal(t, one.Tasks(5), fx.workLeft("a"))

	data, err := fx.sr.Snapshot()
	require.NoError(t, err)
	require.NoError(t, fx.sr.Restore(fx.index, data))
	require.Equal(t, one.Tasks(5), fx.workLeft("a"), "a snapshot keeps it")
	checkTeamJobs(t, fx.sr.st)

	fx.mustApply(start("done", 0, 1, 1, 0))
	fx.mustApply(end("done", 0, 1, 1, EndDone))
	require.Equal(t, one.Tasks(4), fx.workLeft("a"))
	id := spec.JobID("cancelled")
	fx.mustApply(start("cancelled", 0, 0, 1, 0))
	fx.mustApply(Change{Cancel: &id})
	require.Equal(t, one.Tasks(2), fx.workLeft("a"), "also while a run is being stopped")
	for run := 1; run <= 2; run++ { // the queue allows two attempts
		fx.mustApply(start("failed", 0, 0, run, 0))
		fx.mustApply(end("failed", 0, 0, run, EndFailed))
	}
	require.Equal(t, Failed, fx.phase("failed"))
	require.Zero(t, fx.workLeft("a"))
	fx.mustApply(end("cancelled", 0, 0, 1, EndStopped))
	require.Zero(t, fx.workLeft("a"))
	checkTeamJobs(t, fx.sr.st)
}

// TestHugeWorkDoesNotOverflow guards against a negative backlog, or one that does not
// return to 0, after jobs with huge numbers.
func TestHugeWorkDoesNotOverflow(t *testing.T) {
	fx := newFixture(t)
	huge := spec.Step{Count: spec.MaxTasks, Resources: spec.Resources{MilliCPU: math.MaxInt, MemoryMB: math.MaxInt, GPU: math.MaxInt}, Estimate: math.MaxInt64}
	ids := []spec.JobID{"a", "b", "c"}
	for _, id := range ids {
		before := fx.workLeft("a").MilliCPU
		fx.mustApply(Change{Submit: &spec.Job{ID: id, Queue: "h/q/", Team: "a", Steps: []spec.Step{huge}}})
		require.Greater(t, fx.workLeft("a").MilliCPU, before)
	}
	require.Less(t, fx.workLeft("a").MilliCPU, int64(math.MaxInt64/100_000), "100,000 such jobs fit")
	fx.mustApply(Change{Submit: &spec.Job{ID: "n", Queue: "h/q/", Team: "a", Steps: []spec.Step{{Count: 1, Resources: spec.Resources{MilliCPU: 1000}, Estimate: -time.Hour}}}})
	for ix := range ids {
		fx.mustApply(Change{Cancel: &ids[ix]})
	}
	require.Zero(t, fx.workLeft("a"))
}

// TestTeamWorkOfGang guards against work of a gang that is subtracted again when the runs
// of its other members end after the first.
func TestTeamWorkOfGang(t *testing.T) {
	fx := newFixture(t)
	fx.mustApply(Change{Submit: &spec.Job{ID: "g", Queue: "h/q/", Team: "a", Steps: []spec.Step{
		{Count: 3, Resources: spec.Resources{MilliCPU: 1000}, Estimate: time.Second, Gang: true},
		{Count: 1, Resources: spec.Resources{MilliCPU: 1000}, Estimate: time.Second, After: []int{0}},
	}}})
	for ix := range 3 {
		fx.mustApply(start("g", 0, ix, 1, ix))
	}
	for ix := range 3 {
		fx.mustApply(end("g", 0, ix, 1, EndDone))
		require.Equal(t, int64(1e6), fx.workLeft("a").MilliCPU)
		checkTeamJobs(t, fx.sr.st)
	}
}
