package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// TestWakeJobMarksOnlyWorkersOfTheJob checks that only the workers of the job are
// reconciled, which keeps a round short in a fleet of hundreds of workers.
func TestWakeJobMarksOnlyWorkersOfTheJob(t *testing.T) {
	st := storeWith(t, store.Change{Submit: &spec.Job{ID: "a", Steps: []spec.Step{{Count: 2}}}}, startAt(0, "w1"))
	sc := &Scheduler{Store: st, wake: make(chan struct{}, 1)}
	sc.leader = &leaderState{sessions: map[weir.InstanceID]*workerSession{"w0": {}, "w1": {}}}
	sc.WakeJob("a")
	require.False(t, sc.leader.sessions["w0"].dirty.Load())
	require.True(t, sc.leader.sessions["w1"].dirty.Load())
	require.Len(t, sc.wake, 1, "a round is triggered")
	sc.WakeJob("unknown")
}
