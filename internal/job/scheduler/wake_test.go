package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// TestCancelLooksOnlyWhereTheJobRuns keeps a round of a fleet of hundreds small.
func TestCancelLooksOnlyWhereTheJobRuns(t *testing.T) {
	st := storeWith(t, store.Change{Submit: &spec.Job{ID: "a", Steps: []spec.Step{{Count: 2}}}}, startAt(0, "w1"))
	ow := &Scheduler{Store: st, wake: make(chan struct{}, 1)}
	ow.reign = &reign{sessions: map[weir.InstanceID]*attended{"w0": {}, "w1": {}}}
	ow.WakeJob("a")
	require.False(t, ow.reign.sessions["w0"].dirty)
	require.True(t, ow.reign.sessions["w1"].dirty)
	require.Len(t, ow.wake, 1, "a round is due")
	ow.WakeJob("unknown")
}
