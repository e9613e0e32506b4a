package store

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// TestEndOfUnknownTaskIsRefused guards against an entry that makes every replica
// panic, and panic again whenever the log is replayed.
func TestEndOfUnknownTaskIsRefused(t *testing.T) {
	for _, ref := range []spec.TaskRef{
		{Job: "a", Step: -1},
		{Job: "a", Occurrence: -1},
		{Job: "a", Index: -1},
		{Job: "a", Step: 2},
		{Job: "a", Occurrence: 1},
		{Job: "a", Index: 2},
		{Job: "a", Step: math.MinInt},
		{Job: "a", Occurrence: math.MaxInt},
	} {
		t.Run(fmt.Sprint(ref), func(t *testing.T) {
			fx := newFixture(t)
			fx.submit("a", spec.Step{Count: 2}, spec.Step{Count: 1, After: []int{0}})
			fx.mustRefuse(Change{End: &RunEnd{Task: ref, Run: 1, Reason: EndDone}}, "not the current run")
			fx.mustRefuse(Change{Start: &RunStart{Task: ref, Run: 1, Worker: "w0", Incarnation: 1}}, "no such task")
			require.Equal(t, Queued, fx.phase("a"))
		})
	}
}

// TestChangesOfAnyTaskNumbers applies starts, ends, losses and crashes with any
// occurrence, step, index and run: none may panic, and every state can be restored.
func TestChangesOfAnyTaskNumbers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fx := newFixture(rt)
		fx.submit("a", spec.Step{Count: 2}, spec.Step{Count: 2, Gang: true, After: []int{0}}, spec.Step{Count: 1, LongRunning: true})
		number := rapid.OneOf(rapid.IntRange(-2, 3), rapid.SampledFrom([]int{math.MinInt, math.MaxInt}))
		key := rapid.Custom(func(rt *rapid.T) RunKey {
			return RunKey{
				Task: spec.TaskRef{
					Job: rapid.SampledFrom([]spec.JobID{"a", "b", ""}).Draw(rt, "job"), Occurrence: number.Draw(rt, "occurrence"),
					Step: number.Draw(rt, "step"), Index: number.Draw(rt, "index"),
				},
				Run: number.Draw(rt, "run"),
			}
		})
		worker := rapid.SampledFrom([]weir.InstanceID{"w0", "w1", "w2", "w7"})
		for range rapid.IntRange(1, 20).Draw(rt, "changes") {
			rk := key.Draw(rt, "run key")
			switch rapid.IntRange(0, 6).Draw(rt, "kind") {
			case 0, 1:
				fx.apply(Change{Start: &RunStart{Task: rk.Task, Run: rk.Run, Worker: worker.Draw(rt, "worker"), Incarnation: 1}})
			case 2:
				fx.apply(Change{End: &RunEnd{Task: rk.Task, Run: rk.Run, Reason: rapid.SampledFrom([]EndReason{EndDone, EndFailed, EndLost, "other"}).Draw(rt, "reason")}})
			case 3:
				fx.apply(Change{Crash: &WorkerCrash{ID: worker.Draw(rt, "worker"), Incarnation: 1, Recent: []RunKey{rk}}})
			case 4:
				fx.apply(Change{Leave: &WorkerLeave{ID: worker.Draw(rt, "worker"), Incarnation: 1, Recent: []RunKey{rk}}})
			case 5:
				fx.apply(Change{Lapse: &WorkerCrash{ID: worker.Draw(rt, "worker"), Incarnation: 1, Recent: []RunKey{rk}}})
			case 6:
				fx.apply(Change{Answer: &RunsAnswered{Worker: worker.Draw(rt, "worker"), Runs: []RunKey{rk}}})
			}
		}
		data, err := fx.sr.Snapshot()
		require.NoError(rt, err)
		require.NoError(rt, New().Restore(fx.index, data))
	})
}
