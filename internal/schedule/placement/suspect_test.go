package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

func suspect(gr *Group) {
	for ix := range gr.Tasks {
		gr.Tasks[ix].Suspect, gr.Tasks[ix].WaitingSince = true, testNow
	}
}

func workersByJob(placements []Placement) map[weir.JobID]map[weir.InstanceID]bool {
	out := map[weir.JobID]map[weir.InstanceID]bool{}
	for _, pl := range placements {
		if out[pl.Task.Job] == nil {
			out[pl.Task.Job] = map[weir.InstanceID]bool{}
		}
		out[pl.Task.Job][pl.Worker] = true
	}
	return out
}

func TestSuspectTasksOfDifferentJobsAreKeptApart(t *testing.T) {
	one := spec.Step{Count: 1, Resources: spec.Resources{MilliCPU: 1000}}
	two := one
	two.Count = 2
	groups := []Group{group("a", two, suspect), group("b", one, suspect), group("c", one, suspect), group("fresh", one)}
	placed := workersByJob(Place(testNow, groups, []Worker{worker("w1", 64), worker("w2", 64), worker("w3", 64)}, nil, nil))
	require.Len(t, placed, 3, "nobody joins a suspect task that starts now")
	for job, workers := range placed {
		require.Len(t, workers, 1, "tasks of one job may share a worker: %s", job)
	}
	require.NotContains(t, placed, weir.JobID("fresh"))
}

func TestSuspectTaskWaitsForWorkerOfItsOwn(t *testing.T) {
	shared := worker("w1", 64)
	shared.SuspectJobs = map[weir.JobID]bool{"other": true}
	groups := []Group{group("a", spec.Step{Count: 1, Resources: spec.Resources{MilliCPU: 1000}}, suspect)}
	require.Empty(t, Place(testNow.Add(isolationWait-time.Millisecond), groups, []Worker{shared}, nil, nil))
	require.Len(t, Place(testNow.Add(isolationWait), groups, []Worker{shared}, nil, nil), 1, "no task waits for long beside free room")
}
