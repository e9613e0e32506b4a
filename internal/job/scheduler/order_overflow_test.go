package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// TestMoreStartsThanOrderQueueHolds guards against a deadlock of the scheduler when
// the starts of one commit overflow the order queue of a worker.
func TestMoreStartsThanOrderQueueHolds(t *testing.T) {
	const tasks = 3000
	sp := newStepped(t, nil, nil)
	sp.joinWith("w0", 1, spec.Resources{MilliCPU: tasks})
	sp.submit(spec.Step{Count: tasks, Resources: spec.Resources{MilliCPU: 1}})
	for range 20 {
		sp.step(refusalBackoff)
	}
	started := map[weir.TaskRef]bool{}
	for key := range sp.workers.running["w0"] {
		started[key.Task] = true
	}
	require.Len(t, started, tasks, "every task is started")
	require.Len(t, sp.workers.running["w0"], tasks, "no task is started twice")
	require.True(t, sp.sc.Ready())
}
