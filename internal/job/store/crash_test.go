package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// startAt starts a run on an incarnation of a worker.
func (fx *fixture) startAt(at time.Time, job string, run, worker int, incarnation int64) RunKey {
	sa := start(job, 0, 0, run, worker)
	sa.Start.Incarnation = incarnation
	require.True(fx.t, fx.applyAt(at, sa).Applied)
	return RunKey{Task: spec.TaskRef{Job: spec.JobID(job)}, Run: run}
}

// crash reports the crash of a worker and replaces it by its next incarnation, on
// which its runs are lost.
func (fx *fixture) crash(worker int, incarnation int64, runs ...RunKey) Result {
	res := fx.apply(Change{Crash: &WorkerCrash{ID: weir.InstanceID(fmt.Sprint("w", worker)), Incarnation: incarnation, Recent: runs}})
	fx.mustApply(Change{Join: testWorker(worker, incarnation+1)})
	for _, key := range runs {
		fx.apply(Change{End: &RunEnd{Task: key.Task, Run: key.Run, Reason: EndLost}})
	}
	return res
}

func TestJobThatCrashesWorkersFails(t *testing.T) {
	fx := newFixture(t)
	fx.submit("a", singleTask)
	require.Equal(t, 1, fx.crash(0, 1, fx.startAt(testNow, "a", 1, 0, 1)).CrashedRuns)
	require.Equal(t, Running, fx.phase("a"), "the worker may have crashed by itself")
	require.Equal(t, []spec.JobID{"a"}, fx.crash(1, 1, fx.startAt(testNow, "a", 2, 1, 1)).GivenUp)
	require.Equal(t, Failed, fx.phase("a"))
}

func TestCrashCountsOnlyForRunsThatStartedLast(t *testing.T) {
	fx := newFixture(t)
	fx.submit("neighbor", singleTask)
	fx.submit("a", singleTask)
	for run := 1; run <= 3; run++ {
		old := fx.startAt(testNow, "neighbor", run, 0, int64(run))
		last := fx.startAt(testNow.Add(time.Second), "a", run, 0, int64(run))
		fx.crash(0, int64(run), old, last)
		if fx.phase("a") == Failed {
			break
		}
	}
	require.Equal(t, Failed, fx.phase("a"))
	require.Equal(t, Running, fx.phase("neighbor"))
}

func TestCrashWithSeveralPossibleCausesFailsNoJobSoon(t *testing.T) {
	fx := newFixture(t)
	for _, id := range []string{"a", "b"} {
		fx.submit(id, singleTask)
	}
	for run := 1; run < maxCrashes; run++ {
		res := fx.crash(0, int64(run), fx.startAt(testNow, "a", run, 0, int64(run)), fx.startAt(testNow, "b", run, 0, int64(run)))
		require.Equal(t, 2, res.CrashedRuns)
		require.Empty(t, res.GivenUp)
	}
	require.Len(t, fx.crash(0, maxCrashes, fx.startAt(testNow, "a", maxCrashes, 0, maxCrashes), fx.startAt(testNow, "b", maxCrashes, 0, maxCrashes)).GivenUp, 2)
}

func TestWorkersThatEndForOtherReasonsDoNotCount(t *testing.T) {
	lapsed := func(runs ...RunKey) Change {
		return Change{Leave: &WorkerLeave{ID: "w0", Incarnation: 1, Reason: "lease lapsed", Recent: runs}}
	}
	cases := map[string]struct {
		before  []Change
		returns int64 // the incarnation that announces itself next
		want    int
	}{
		"crashed":              {nil, 2, 1},
		"cut off":              {nil, 1, 0},
		"drained":              {[]Change{{Join: &Worker{ID: "w0", Incarnation: 1, Pool: "desk", Address: "addr0", Machine: "m0", Draining: true, Sequence: 1}}}, 2, 0},
		"ordered away":         {[]Change{{Machine: &MachineOperation{Machine: "m0", Pool: "other"}}}, 2, 0},
		"another machine came": {nil, 0, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.submit("a", singleTask)
			key := fx.startAt(testNow, "a", 1, 0, 1)
			for _, ch := range tc.before {
				fx.mustApply(ch)
			}
			fx.mustApply(lapsed(key))
			next := testWorker(0, tc.returns)
			if tc.returns == 0 {
				next = testWorker(7, 9)
			}
			require.Equal(t, tc.want, fx.apply(Change{Join: next}).CrashedRuns)
		})
	}
}

func TestOrderAfterLapseExplainsNextWorker(t *testing.T) {
	fx := newFixture(t)
	fx.submit("a", singleTask)
	fx.mustApply(Change{Leave: &WorkerLeave{ID: "w0", Incarnation: 1, Reason: "lease lapsed", Recent: []RunKey{fx.startAt(testNow, "a", 1, 0, 1)}}})
	fx.mustApply(Change{Machine: &MachineOperation{Machine: "m0", Wave: 1}})
	require.Zero(t, fx.apply(Change{Join: testWorker(0, 2)}).CrashedRuns)
}

func TestCrashesSurviveSnapshot(t *testing.T) {
	fx := newFixture(t)
	fx.submit("a", singleTask)
	fx.crash(0, 1, fx.startAt(testNow, "a", 1, 0, 1))
	data, err := fx.sr.Snapshot()
	require.NoError(t, err)
	require.NoError(t, fx.sr.Restore(fx.index, data))
	key := fx.startAt(testNow, "a", 2, 1, 1)
	var seen []spec.JobID
	fx.sr.Read(func(rd Reader) {
		rd.EachSuspectRun(func(job spec.JobID, _ weir.InstanceID, _ time.Time) { seen = append(seen, job) })
	})
	require.Equal(t, []spec.JobID{"a"}, seen)
	require.Len(t, fx.crash(1, 1, key).GivenUp, 1)
}

// TestFailedJobKeepsItsServingTasks guards against tasks that are stopped beyond the
// step's limit because their job has failed.
func TestFailedJobKeepsItsServingTasks(t *testing.T) {
	fx := newFixture(t)
	fx.submit("a",
		spec.Step{Count: 3, LongRunning: true, MaxUnavailable: 1}, spec.Step{Count: 1, LongRunning: true}, spec.Step{Count: 1})
	serving := RunKey{Task: spec.TaskRef{Job: "a", Index: 1}, Run: 1}
	unlimited := RunKey{Task: spec.TaskRef{Job: "a", Step: 1}, Run: 1}
	batch := RunKey{Task: spec.TaskRef{Job: "a", Step: 2}, Run: 1}
	for _, key := range []RunKey{serving, unlimited, batch} {
		fx.mustApply(Change{Start: &RunStart{Task: key.Task, Run: 1, Worker: "w2", Incarnation: 1}})
	}
	wants := func() (out []bool) {
		fx.sr.Read(func(rd Reader) {
			for _, key := range []RunKey{serving, unlimited, batch} {
				out = append(out, rd.Job("a").Wants(key))
			}
		})
		return out
	}
	require.Equal(t, []bool{true, true, true}, wants())
	fx.crash(0, 1, fx.startAt(testNow, "a", 1, 0, 1))
	fx.crash(1, 1, fx.startAt(testNow, "a", 2, 1, 1))
	require.Equal(t, Failed, fx.phase("a"))
	require.Equal(t, []bool{true, false, false}, wants())
	fx.mustRefuse(Change{Start: &RunStart{Task: spec.TaskRef{Job: "a"}, Run: 3, Worker: "w2", Incarnation: 1}}, "job has ended")

	id := spec.JobID("a")
	fx.mustApply(Change{Cancel: &id})
	require.Equal(t, Failed, fx.phase("a"))
	require.Equal(t, []bool{false, false, false}, wants())
	for _, key := range []RunKey{serving, unlimited, batch} {
		fx.mustApply(Change{End: &RunEnd{Task: key.Task, Run: 1, Reason: EndStopped}})
	}
	fx.sr.Read(func(rd Reader) {
		require.Nil(t, rd.Job("a").Occurrences)
		require.Len(t, rd.JobsEndedBefore(testNow.Add(time.Hour), 9), 1, "the job can be forgotten")
	})
}

// TestUnconfirmedCrashesFailTheJobLater guards against a task that is started on worker
// after worker because each of them crashes before it confirms the start.
func TestUnconfirmedCrashesFailTheJobLater(t *testing.T) {
	crash := func(fx *fixture, worker int, keys ...RunKey) Result {
		res := fx.apply(Change{Crash: &WorkerCrash{ID: weir.InstanceID(fmt.Sprint("w", worker)), Incarnation: 1, Unconfirmed: keys}})
		fx.mustApply(Change{Join: testWorker(worker, 2)})
		for _, key := range keys {
			fx.apply(Change{End: &RunEnd{Task: key.Task, Run: key.Run, Reason: EndLost}})
		}
		return res
	}
	fx := newFixture(t)
	fx.submit("a", singleTask)
	for run := 1; run < soleAnyCrashes; run++ {
		require.Empty(t, crash(fx, run-1, fx.startAt(testNow, "a", run, run-1, 1)).GivenUp, "the start may not have arrived")
	}
	fx.sr.Read(func(rd Reader) { require.True(t, rd.Job("a").Task(spec.TaskRef{Job: "a"}).Suspect()) })
	require.Len(t, crash(fx, soleAnyCrashes-1, fx.startAt(testNow, "a", soleAnyCrashes, soleAnyCrashes-1, 1)).GivenUp, 1)

	fx = newFixture(t)
	fx.submit("a", singleTask)
	crash(fx, 0, fx.startAt(testNow, "a", 1, 0, 1))
	require.Empty(t, fx.crash(1, 1, fx.startAt(testNow, "a", 2, 1, 1)).GivenUp, "one confirmed, one not")
	require.Len(t, fx.crash(2, 1, fx.startAt(testNow, "a", 3, 2, 1)).GivenUp, 1)
}
