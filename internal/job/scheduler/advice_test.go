package scheduler

import (
	"context"
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
