package scheduler

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// prefixAdviser allows the workers whose ids begin with a prefix, and records its
// queries.
type prefixAdviser struct {
	prefix  string
	queries []string
}

func (pa *prefixAdviser) Advise(_ context.Context, _ weir.TaskRef, workers []weir.InstanceID) (weir.Advice, error) {
	names := workerNames(workers)
	slices.Sort(names)
	pa.queries = append(pa.queries, strings.Join(names, " "))
	ad := weir.Advice{Tickets: map[weir.InstanceID]string{}, Validity: time.Hour}
	for _, id := range workers {
		if strings.HasPrefix(string(id), pa.prefix) {
			ad.Tickets[id] = "ticket"
		}
	}
	return ad, nil
}

// advisedTasks returns a scheduler with a job of long-running tasks, each of which
// needs a worker that the adviser allows.
func advisedTasks(t *testing.T, tasks int) (*stepped, *prefixAdviser) {
	pa := &prefixAdviser{prefix: "good"}
	sp := newStepped(t, pa, nil)
	sp.submit(spec.Step{Count: tasks, Resources: spec.Resources{MilliCPU: 1000}, LongRunning: true, MaxPerWorker: 1})
	return sp, pa
}

// settle runs rounds for several of the adviser's retry intervals, and returns the
// workers of the job's tasks.
func (sp *stepped) settle() []weir.InstanceID {
	for range 10 {
		sp.step(adviceRetryInterval / 2)
	}
	var out []weir.InstanceID
	sp.gl.st.Read(func(rd store.Reader) {
		tasks := rd.Job("a").Occurrences[0][0].Tasks
		for ix := range tasks {
			out = append(out, tasks[ix].Worker)
		}
	})
	slices.Sort(out)
	return out
}

// TestAdviserIsAskedAboutNextWorker guards against a task that waits for the tickets
// of a worker that is gone, although the adviser allows one that has come since.
func TestAdviserIsAskedAboutNextWorker(t *testing.T) {
	cases := map[string]struct {
		next        weir.InstanceID
		incarnation int64
		queries     []string
	}{
		"another worker":    {"good-2", 1, []string{"good-1 other", "good-2"}},
		"same worker again": {"good-1", 2, []string{"good-1 other", "good-1"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			sp, pa := advisedTasks(t, 1)
			sp.join("other", 1)
			sp.join("good-1", 1)
			require.Equal(t, []weir.InstanceID{"good-1"}, sp.settle())
			sp.workers.running["good-1"] = nil
			sp.apply(store.Change{Leave: &store.WorkerLeave{ID: "good-1", Incarnation: 1, Reason: "lease lapsed"}})
			require.Equal(t, []weir.InstanceID{""}, sp.settle())
			sp.join(tc.next, tc.incarnation)
			require.Equal(t, []weir.InstanceID{tc.next}, sp.settle())
			require.Equal(t, tc.queries, pa.queries, "no worker is asked about twice")
		})
	}
}

// TestAdviserIsAskedAboutFurtherWorkers covers a step of which only some tasks are
// placed when further workers come.
func TestAdviserIsAskedAboutFurtherWorkers(t *testing.T) {
	sp, pa := advisedTasks(t, 2)
	sp.join("good-1", 1)
	require.Equal(t, []weir.InstanceID{"", "good-1"}, sp.settle())
	sp.join("other", 1)
	require.Equal(t, []weir.InstanceID{"", "good-1"}, sp.settle())
	sp.join("good-2", 1)
	require.Equal(t, []weir.InstanceID{"good-1", "good-2"}, sp.settle())
	require.Equal(t, []string{"good-1", "other", "good-2"}, pa.queries)
	sp.join("good-3", 1)
	sp.settle()
	require.Len(t, pa.queries, 3, "no task waits")
}

// TestAdviserIsAskedAboutAllWorkers guards against a task that never starts because the
// adviser, which takes a limited number of workers a query, is asked about the same ones
// again and again (`adviser-page` of the third review).
func TestAdviserIsAskedAboutAllWorkers(t *testing.T) {
	sp, pa := advisedTasks(t, 1)
	for ix := range 2*maxAdviceWorkers + 10 {
		sp.joinWith(weir.InstanceID(fmt.Sprintf("bad-%03d", ix)), 1, spec.Resources{MilliCPU: 8000})
	}
	sp.join("good-1", 1)
	require.Equal(t, []weir.InstanceID{"good-1"}, sp.settle())
	require.Len(t, pa.queries, 3)
}

// TestAdviserIsAskedAboutCordonedWorkers guards against a long-running task without a run
// though the only worker that it may run on has room, since its machine is due for maintenance.
func TestAdviserIsAskedAboutCordonedWorkers(t *testing.T) {
	bw := newBlockedWave(t, allowList{"w0": true}, store.Worker{ID: "w0", Capacity: spec.Resources{MilliCPU: 4000}}, store.Worker{ID: "w1", Capacity: spec.Resources{MilliCPU: 4000}})
	bw.start("b", spec.Step{Count: 2, Resources: spec.Resources{MilliCPU: 1000}, LongRunning: true, MaxUnavailable: 1})
	bw.begin()
	bw.never(time.Second, bw.over, "the tasks have no other place")
	bw.sp.submit(spec.Step{Count: 1, Resources: spec.Resources{MilliCPU: 1000}, LongRunning: true})
	bw.pass(restartTime, func() bool { return bw.atWork("a") == 1 })
}
