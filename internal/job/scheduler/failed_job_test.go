package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// TestServingTasksOfFailedJobGoOn guards against tasks at work that are stopped, more
// of them than may be unavailable, because one task of their job has crashed workers.
func TestServingTasksOfFailedJobGoOn(t *testing.T) {
	sp := newStepped(t, nil, nil)
	for _, id := range []weir.InstanceID{"w0", "w1", "w2"} {
		sp.join(id, 1)
	}
	sp.submit(spec.Step{Count: 3, Resources: spec.Resources{MilliCPU: 1000}, LongRunning: true, MaxUnavailable: 1})
	running := func() int { return len(sp.workers.running["w1"]) + len(sp.workers.running["w2"]) }
	steps := func() {
		for range 10 {
			sp.step(reconcileInterval)
		}
	}
	steps()
	require.Equal(t, 2, running())
	for incarnation := int64(1); incarnation <= 2; incarnation++ {
		var crashed weir.RunKey
		sp.gl.st.Read(func(rd store.Reader) {
			for key := range rd.WorkerRuns("w0") {
				crashed = key
			}
		})
		sp.workers.running["w0"] = nil
		sp.apply(store.Change{Crash: &store.WorkerCrash{ID: "w0", Incarnation: incarnation, Recent: []weir.RunKey{crashed}}},
			store.Change{End: &store.RunEnd{Task: crashed.Task, Run: crashed.Run, Reason: store.EndLost}})
		sp.join("w0", incarnation+1)
		steps()
	}
	phase := func() (ph store.Phase) {
		sp.gl.st.Read(func(rd store.Reader) { ph = rd.Job("a").Phase })
		return ph
	}
	require.Equal(t, store.Failed, phase())
	require.Equal(t, 2, running(), "the sound tasks go on")
	require.Empty(t, sp.workers.running["w0"], "the task that crashed its workers is not started again")

	id := weir.JobID("a")
	sp.apply(store.Change{Cancel: &id})
	steps()
	require.Zero(t, running(), "the caller has cancelled the job")
	require.Equal(t, store.Failed, phase())
}
