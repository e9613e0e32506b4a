package store

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

var testNow = time.Unix(1_800_000_000, 0).UTC()

// fixture is a store with one queue and three workers in its pool.
type fixture struct {
	t     require.TestingT
	sr    *Store
	index uint64
}

func newFixture(t require.TestingT) *fixture {
	fx := &fixture{t: t, sr: New()}
	fx.mustApply(Change{Catalog: packed(t, catalog.Catalog{
		Version: 1, Pools: []catalog.Pool{{Name: "desk"}},
		Queues: []catalog.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "desk", Timeout: time.Second, MaxAttempts: 2}},
	})})
	for ix := range 3 {
		fx.mustApply(Change{Join: testWorker(ix, 1)})
	}
	return fx
}

func packed(t require.TestingT, ct catalog.Catalog) *catalog.Packed {
	pk, err := ct.Pack()
	require.NoError(t, err)
	return pk
}

func testWorker(ix int, incarnation int64) *Worker {
	return &Worker{
		ID: weir.InstanceID(fmt.Sprint("w", ix)), Incarnation: incarnation, Pool: "desk", Address: fmt.Sprint("addr", ix),
		Machine: fmt.Sprint("m", ix), Capacity: spec.Resources{MilliCPU: 8000},
	}
}

func (fx *fixture) apply(ch Change) Result { return fx.applyAt(testNow, ch) }

func (fx *fixture) applyAt(at time.Time, ch Change) Result {
	data, err := Entry{At: at, Changes: []Change{ch}}.Encode()
	require.NoError(fx.t, err)
	fx.index++
	answers, ok := fx.sr.Apply(fx.index, data).([]Result)
	require.True(fx.t, ok)
	return answers[0]
}

func (fx *fixture) mustApply(ch Change) {
	ans := fx.apply(ch)
	require.True(fx.t, ans.Applied, "%+v: %s", ch, ans.Reason)
}

func (fx *fixture) mustRefuse(ch Change, reason string) {
	ans := fx.apply(ch)
	require.False(fx.t, ans.Applied)
	require.Equal(fx.t, reason, ans.Reason)
}

func (fx *fixture) submit(id string, steps ...spec.Step) {
	fx.mustApply(Change{Submit: &spec.Job{ID: spec.JobID(id), Queue: "h/q/", Text: "text", Steps: steps}})
}

func (fx *fixture) phase(id string) Phase {
	var ph Phase
	fx.sr.Read(func(rd Reader) { ph = rd.Job(spec.JobID(id)).Phase })
	return ph
}

func start(job string, step, index, run, worker int) Change {
	return Change{Start: &RunStart{
		Task: spec.TaskRef{Job: spec.JobID(job), Step: step, Index: index}, Run: run, Worker: weir.InstanceID(fmt.Sprint("w", worker)), Incarnation: 1,
	}}
}

func end(job string, step, index, run int, how EndReason) Change {
	return Change{End: &RunEnd{Task: spec.TaskRef{Job: spec.JobID(job), Step: step, Index: index}, Run: run, Reason: how}}
}

var singleTask = spec.Step{Count: 1, Resources: spec.Resources{MilliCPU: 1000}}

func TestStepsRunInOrder(t *testing.T) {
	fx := newFixture(t)
	second := singleTask
	second.After = []int{0}
	fx.submit("a", singleTask, second)
	require.Equal(t, Queued, fx.phase("a"))
	fx.mustRefuse(start("a", 1, 0, 1, 0), "an earlier step is not done")
	fx.mustApply(start("a", 0, 0, 1, 0))
	require.Equal(t, Running, fx.phase("a"))
	fx.mustRefuse(start("a", 1, 0, 1, 0), "an earlier step is not done")
	fx.mustApply(end("a", 0, 0, 1, EndDone))
	fx.mustApply(start("a", 1, 0, 1, 1))
	fx.mustApply(end("a", 1, 0, 1, EndDone))
	require.Equal(t, Done, fx.phase("a"))
}

func TestOneRunAtATime(t *testing.T) {
	fx := newFixture(t)
	fx.submit("a", singleTask)
	fx.mustRefuse(start("a", 0, 0, 2, 0), "not the next run")
	fx.mustApply(start("a", 0, 0, 1, 0))
	fx.mustRefuse(start("a", 0, 0, 2, 1), "the previous run has not ended")
	fx.mustApply(end("a", 0, 0, 1, EndLost))
	fx.mustApply(start("a", 0, 0, 2, 1))
	fx.mustRefuse(end("a", 0, 0, 1, EndDone), "not the current run")
	fx.mustApply(end("a", 0, 0, 2, EndDone))
	fx.mustRefuse(start("a", 0, 0, 3, 1), "job has ended")
}

func TestAttemptsAreBounded(t *testing.T) {
	fx := newFixture(t)
	fx.submit("a", singleTask)
	for run := 1; run <= 2; run++ {
		fx.mustApply(start("a", 0, 0, run, 0))
		fx.mustApply(end("a", 0, 0, run, EndFailed))
	}
	require.Equal(t, Failed, fx.phase("a"))

	fx.submit("lasting", spec.Step{Count: 1, LongRunning: true})
	for run := 1; run <= 5; run++ {
		fx.mustApply(start("lasting", 0, 0, run, 0))
		fx.mustApply(end("lasting", 0, 0, run, EndFailed))
	}
	require.Equal(t, Running, fx.phase("lasting"), "long-running tasks are restarted whatever the reason of their end")

	fx.submit("unlucky", singleTask)
	for run := 1; run <= 5; run++ {
		fx.mustApply(start("unlucky", 0, 0, run, 0))
		fx.mustApply(end("unlucky", 0, 0, run, EndLost))
	}
	require.Equal(t, Running, fx.phase("unlucky"), "only failed runs count as attempts")
}

func TestCancelledJobKeepsItsRunsUntilTheyAreOver(t *testing.T) {
	fx := newFixture(t)
	fx.submit("a", singleTask)
	fx.mustApply(start("a", 0, 0, 1, 0))
	id := spec.JobID("a")
	fx.mustApply(Change{Cancel: &id})
	require.Equal(t, Cancelled, fx.phase("a"))
	fx.sr.Read(func(rd Reader) { require.Len(t, rd.WorkerRuns("w0"), 1) })
	fx.mustApply(end("a", 0, 0, 1, EndStopped))
	fx.sr.Read(func(rd Reader) {
		require.Empty(t, rd.WorkerRuns("w0"))
		require.Nil(t, rd.Job("a").Occurrences)
	})
	fx.mustApply(Change{Cancel: &id})
	require.Equal(t, Cancelled, fx.phase("a"), "cancelling twice is no error")
}

func TestWorkerIncarnations(t *testing.T) {
	fx := newFixture(t)
	fx.submit("a", spec.Step{Count: 3, Resources: spec.Resources{MilliCPU: 1000}})
	for ix := range 3 {
		fx.mustApply(start("a", 0, ix, 1, ix))
	}
	fx.mustRefuse(Change{Join: testWorker(0, 0)}, "an earlier life")
	// Another id on the same machine removes the old worker and loses its run.
	fresh := testWorker(0, 5)
	fresh.ID, fresh.Address = "w9", "addr9"
	fx.mustApply(Change{Join: fresh})
	fx.sr.Read(func(rd Reader) {
		_, ok := rd.Worker("w0")
		require.False(t, ok)
		require.False(t, rd.Job("a").Task(spec.TaskRef{Job: "a"}).Placed())
	})
	// A new incarnation of the same id may still receive the run's start order,
	// so the run stays placed.
	fx.mustApply(Change{Join: testWorker(1, 5)})
	fx.sr.Read(func(rd Reader) {
		tk := rd.Job("a").Task(spec.TaskRef{Job: "a", Index: 1})
		require.True(t, tk.Placed())
		require.Equal(t, int64(5), tk.Incarnation)
	})
	fx.mustRefuse(Change{Leave: &WorkerLeave{ID: "w1", Incarnation: 1}}, "not the current incarnation")
	fx.mustApply(Change{Leave: &WorkerLeave{ID: "w2", Incarnation: 1}})
	fx.mustRefuse(start("a", 0, 2, 2, 2), "worker incarnation is not registered")
	draining := testWorker(1, 5)
	draining.Draining = true
	fx.mustApply(Change{Join: draining})
	fx.mustRefuse(Change{Start: &RunStart{Task: spec.TaskRef{Job: "a", Index: 2}, Run: 2, Worker: "w1", Incarnation: 5}}, "worker is draining")
	// A delayed announcement from before the drain is refused.
	draining.Sequence = 7
	fx.mustApply(Change{Join: draining})
	fx.mustRefuse(Change{Join: testWorker(1, 5)}, "earlier word of this life")
}

func TestOlderConfigurationIsRefused(t *testing.T) {
	fx := newFixture(t)
	fx.mustApply(Change{Catalog: packed(t, catalog.Catalog{Version: 7, Document: []byte("seven")})})
	fx.mustRefuse(Change{Catalog: packed(t, catalog.Catalog{Version: 7, Document: []byte("other")})}, "version is not newer")
	fx.mustRefuse(Change{Catalog: packed(t, catalog.Catalog{Version: 3})}, "version is not newer")
	fx.sr.Read(func(rd Reader) { require.Equal(t, "seven", string(rd.Catalog().Document)) })
}

func TestWaves(t *testing.T) {
	fx := newFixture(t)
	fx.mustApply(Change{Wave: &Wave{Number: 1, Machines: []string{"m0", "gone"}, MaxParallel: 1}})
	done := func() (done bool) {
		fx.sr.Read(func(rd Reader) { done = rd.Waves()[1].AllStarted() })
		return done
	}
	fx.mustApply(Change{Machine: &MachineOperation{Machine: "m0", Wave: 1}})
	fx.mustRefuse(Change{Machine: &MachineOperation{Machine: "m0", Pool: "desk"}}, "an operation is in progress")
	fx.mustApply(Change{Machine: &MachineOperation{Machine: "m0", Wave: 1, Started: true}})
	require.False(t, done())
	fx.mustApply(Change{Machine: &MachineOperation{Machine: "gone", Wave: 1, NotExecuted: true}})
	require.True(t, done(), "a machine that the platform does not know does not block the wave")
	require.Equal(t, "known", fx.apply(Change{Wave: &Wave{Number: 1}}).Reason)
}

func TestGangEndsTogether(t *testing.T) {
	fx := newFixture(t)
	fx.submit("a", spec.Step{Count: 2, Gang: true})
	fx.mustApply(start("a", 0, 0, 1, 0))
	fx.mustApply(start("a", 0, 1, 1, 1))
	fx.mustApply(end("a", 0, 1, 1, EndDone))
	require.Equal(t, Done, fx.phase("a"), "the end of one member completes the gang")
	fx.sr.Read(func(rd Reader) {
		require.Len(t, rd.WorkerRuns("w0"), 1, "the run of the other member has not ended yet")
	})
}

func TestGangFailureCountsOncePerRun(t *testing.T) {
	fx := newFixture(t)
	fx.submit("a", spec.Step{Count: 2, Gang: true, Checkpointing: true})
	for run := 1; run <= 2; run++ {
		fx.mustApply(start("a", 0, 0, run, 0))
		fx.mustApply(start("a", 0, 1, run, 1))
		require.Equal(t, Running, fx.phase("a"))
		fx.mustApply(end("a", 0, 0, run, EndFailed))
		if run == 1 {
			fx.mustApply(end("a", 0, 1, run, EndFailed))
		}
	}
	require.Equal(t, Failed, fx.phase("a"), "two runs have failed")

	fx.submit("b", spec.Step{Count: 2, Gang: true, Checkpointing: true})
	fx.mustApply(start("b", 0, 0, 1, 0))
	fx.mustApply(Change{End: &RunEnd{Task: spec.TaskRef{Job: "b"}, Run: 1, Reason: EndBroken, Checkpoint: "here"}})
	fx.mustApply(start("b", 0, 0, 2, 0))
	fx.mustApply(start("b", 0, 1, 2, 1))
	fx.sr.Read(func(rd Reader) {
		require.Equal(t, "here", rd.Job("b").Checkpoint(spec.TaskRef{Job: "b", Index: 1}), "all members resume from the same checkpoint")
	})
}

// TestGangOfSeveralOccurrences guards against ends of single gang members that
// are counted as ends of later occurrences.
func TestGangOfSeveralOccurrences(t *testing.T) {
	fx := newFixture(t)
	fx.mustApply(Change{Submit: &spec.Job{
		ID: "a", Queue: "h/q/", OccurrenceCount: 3, StartAt: testNow, Every: time.Second, Steps: []spec.Step{{Count: 3, Gang: true}},
	}})
	for ix := range 3 {
		fx.mustApply(start("a", 0, ix, 1, ix))
	}
	for ix := range 3 {
		fx.mustApply(end("a", 0, ix, 1, EndDone))
	}
	require.Equal(t, Running, fx.phase("a"))
	fx.sr.Read(func(rd Reader) { require.Equal(t, 2, rd.Job("a").OccurrencesLeft) })
}

// TestRandomChanges applies random changes. It checks after each one that no
// finished task is placed, that no task is on two workers and that the indexes
// match the tasks, and at the end that a snapshot restores the same state.
func TestRandomChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fx := newFixture(rt)
		for job := range 3 {
			fx.mustApply(Change{Submit: &spec.Job{
				ID: spec.JobID(fmt.Sprint("j", job)), Queue: "h/q/", Text: "text", Team: []weir.TeamName{"b", "a", ""}[job],
				Steps: []spec.Step{
					{Count: 2, Resources: spec.Resources{MilliCPU: 500}, Estimate: time.Second},
					{Count: 1, After: []int{0}, Resources: spec.Resources{MemoryMB: 3, GPU: 1}, Estimate: time.Minute, BestEffort: true},
				},
			}})
		}
		reasons := []EndReason{EndDone, EndFailed, EndLost, EndStopped, EndRefused}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			job := fmt.Sprint("j", rapid.IntRange(0, 2).Draw(rt, "job"))
			step, index := rapid.IntRange(0, 1).Draw(rt, "step"), rapid.IntRange(0, 1).Draw(rt, "index")
			run, worker := rapid.IntRange(1, 4).Draw(rt, "run"), rapid.IntRange(0, 2).Draw(rt, "worker")
			switch rapid.IntRange(0, 9).Draw(rt, "kind") {
			case 0, 1, 2, 3:
				fx.apply(start(job, step, index, run, worker))
			case 4, 5, 6:
				fx.apply(end(job, step, index, run, rapid.SampledFrom(reasons).Draw(rt, "how")))
			case 7:
				id := spec.JobID(job)
				fx.apply(Change{Cancel: &id})
			case 8:
				fx.apply(Change{Leave: &WorkerLeave{ID: weir.InstanceID(fmt.Sprint("w", worker)), Incarnation: 1}})
			case 9:
				fx.apply(Change{Join: testWorker(worker, 1)})
			}
			checkState(rt, fx.sr.st)
			checkTeamJobs(rt, fx.sr.st)
		}
		data, err := fx.sr.Snapshot()
		require.NoError(rt, err)
		other := New()
		require.NoError(rt, other.Restore(fx.index, data))
		again, err := other.Snapshot()
		require.NoError(rt, err)
		require.JSONEq(rt, string(data), string(again))
		require.Equal(rt, fx.sr.st.Active, other.st.Active)
		require.Equal(rt, fx.sr.st.Workers, other.st.Workers)
		require.Equal(rt, fx.sr.st.TeamLoads, other.st.TeamLoads)
		checkTeamJobs(rt, other.st)
	})
}

func checkState(t require.TestingT, st *state) {
	placed, weight := map[weir.InstanceID]int{}, int64(0)
	for id, js := range st.Jobs {
		weight += currentWeight(js)
		count := 0
		for oc, steps := range js.Occurrences {
			for sp := range steps {
				left := 0
				for ix := range steps[sp].Tasks {
					tk := &steps[sp].Tasks[ix]
					if !tk.Done {
						left++
					}
					if !tk.Placed() {
						continue
					}
					require.False(t, tk.Done, "a task that is done must not be placed")
					count++
					placed[tk.Worker]++
					key := RunKey{Task: spec.TaskRef{Job: id, Occurrence: oc, Step: sp, Index: ix}, Run: tk.Run}
					require.Contains(t, st.Runs[tk.Worker], key)
				}
				require.Equal(t, left, steps[sp].TasksLeft)
			}
		}
		require.Equal(t, count, js.Placed)
		require.Equal(t, js.Occurrences != nil, st.Active[id])
	}
	require.Equal(t, weight, st.Weight)
	for id, runs := range st.Runs {
		require.Len(t, runs, placed[id])
		load, teams := WorkerLoad{}, map[weir.TeamName]TeamLoad{}
		for key := range runs {
			js := st.Jobs[key.Task.Job]
			step := js.Spec.Steps[key.Task.Step]
			load = load.add(step, 1)
			if tm := js.Spec.Team; tm != "" {
				teams[tm] = TeamLoad{Team: tm, Used: teams[tm].Used.Plus(step.Reserved()), Runs: teams[tm].Runs + 1}
			}
		}
		require.Equal(t, load, st.Loads[id])
		require.Len(t, st.TeamLoads[id], len(teams))
		for ix, tl := range st.TeamLoads[id] {
			require.Equal(t, teams[tl.Team], tl)
			require.True(t, ix == 0 || st.TeamLoads[id][ix-1].Team < tl.Team, "in the order of names")
		}
	}
}

func TestUnreadableSnapshotChangesNothing(t *testing.T) {
	fx := newFixture(t)
	require.Error(t, fx.sr.Restore(9, []byte("{")))
	data, err := json.Marshal(fx.sr.st)
	require.NoError(t, err)
	require.NotEmpty(t, data)
	fx.sr.Read(func(rd Reader) { require.Equal(t, int64(1), rd.Catalog().Version) })
}

// TestDepartedWorkerStaysAway covers an announcement that was delayed until after
// its worker had left.
func TestDepartedWorkerStaysAway(t *testing.T) {
	fx := newFixture(t)
	draining := testWorker(0, 5)
	draining.Draining, draining.Sequence = true, 9
	fx.mustApply(Change{Join: draining})
	fx.mustApply(Change{Leave: &WorkerLeave{ID: "w0", Incarnation: 5, Departed: true}})
	late := testWorker(0, 5)
	late.Sequence = 3
	fx.mustRefuse(Change{Join: late}, "it has left")
	data, err := fx.sr.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(fx.index, data))
	fx.sr = restored
	fx.mustRefuse(Change{Join: late}, "it has left")
	fx.mustApply(Change{Join: testWorker(0, 6)})
	// A worker that was only silent comes back as the same incarnation.
	fx.mustApply(Change{Leave: &WorkerLeave{ID: "w0", Incarnation: 6}})
	fx.mustApply(Change{Join: testWorker(0, 6)})
}
