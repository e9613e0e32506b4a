package scheduler

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/task/session"

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

// advisedJob is a stepped scheduler with a long-running task of an advised queue.
type advisedJob struct {
	t    *testing.T
	sc   *Scheduler
	ls   *leaderState
	gl   *gatedLog
	clk  *clock.Manual
	pa   *prefixAdviser
	wait []func()
}

func newAdvisedJob(t *testing.T, tasks int) *advisedJob {
	ct := catalog.Catalog{
		Version: 1, Pools: []catalog.Pool{{Name: "desk"}},
		Queues: []catalog.Queue{{
			Name: "q", Host: "h", Prefix: "/q/", Pool: "desk", Timeout: time.Second, MaxAttempts: 3, Stretch: 2,
			Adviser: &catalog.AdviserSettings{Validity: time.Hour},
		}},
	}
	packed, err := ct.Pack()
	require.NoError(t, err)
	aj := &advisedJob{t: t, clk: clock.NewManual(testNow), pa: &prefixAdviser{prefix: "good"}}
	aj.gl = &gatedLog{st: store.New(), gate: make(chan struct{})}
	close(aj.gl.gate)
	aj.sc = &Scheduler{
		Store: aj.gl.st, Committer: &Committer{Log: aj.gl, Wall: aj.clk}, Leadership: firstTermLeader{}, Clock: aj.clk, Wall: aj.clk,
		Workers: &acceptingWorker{clk: aj.clk, running: map[weir.RunKey]bool{}}, Adviser: aj.pa, Logger: log.NewNopLogger(), Lease: time.Minute, Retention: time.Hour,
		background: func(wait func()) { aj.wait = append(aj.wait, wait) },
		runSession: func(context.Context, *session.Session) {},
	}
	require.NoError(t, aj.sc.Default())
	require.NoError(t, aj.sc.Committer.Default())
	aj.ls = aj.sc.newLeaderState(1)
	aj.sc.setLeader(aj.ls)
	size := spec.Resources{MilliCPU: 1000}
	aj.apply(store.Change{Catalog: packed}, store.Change{Submit: &spec.Job{ID: "a", Queue: "h/q/", Steps: []spec.Step{{
		Count: tasks, Resources: size, LongRunning: true, MaxPerWorker: 1,
	}}}})
	return aj
}

func (aj *advisedJob) apply(changes ...store.Change) {
	data, err := store.Entry{At: aj.clk.Now(), Changes: changes}.Encode()
	require.NoError(aj.t, err)
	_, err = aj.gl.Propose(aj.t.Context(), data)
	require.NoError(aj.t, err)
}

func (aj *advisedJob) join(id weir.InstanceID, incarnation int64) {
	aj.apply(store.Change{Join: &store.Worker{
		ID: id, Incarnation: incarnation, Address: string(id), Machine: "m" + string(id), Pool: "desk", Capacity: spec.Resources{MilliCPU: 1000},
	}})
}

// settle runs rounds, commits and queries until a task is placed or nothing more
// happens for longer than the adviser's retry interval.
func (aj *advisedJob) settle() {
	for range 10 {
		aj.clk.Advance(adviceRetryInterval / 2)
		aj.sc.round(aj.t.Context(), aj.ls, aj.clk.Now(), true)
		for _, ws := range aj.ls.sessions {
			ws.session.RenewOnce(aj.t.Context())
		}
		commitQueued(aj.t, aj.sc.Committer)
		for len(aj.wait) > 0 {
			next := aj.wait[0]
			aj.wait = aj.wait[1:]
			next()
		}
	}
}

// at returns the workers of the job's tasks.
func (aj *advisedJob) at() []weir.InstanceID {
	var out []weir.InstanceID
	aj.gl.st.Read(func(rd store.Reader) {
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
			aj := newAdvisedJob(t, 1)
			aj.join("other", 1)
			aj.join("good-1", 1)
			aj.settle()
			require.Equal(t, []weir.InstanceID{"good-1"}, aj.at())
			aj.apply(store.Change{Leave: &store.WorkerLeave{ID: "good-1", Incarnation: 1, Reason: "lease lapsed"}})
			aj.settle()
			require.Equal(t, []weir.InstanceID{""}, aj.at())
			aj.join(tc.next, tc.incarnation)
			aj.settle()
			require.Equal(t, []weir.InstanceID{tc.next}, aj.at())
			require.Equal(t, tc.queries, aj.pa.queries, "no worker is asked about twice")
		})
	}
}

// TestAdviserIsAskedAboutFurtherWorkers covers a step of which only some tasks are
// placed when further workers come.
func TestAdviserIsAskedAboutFurtherWorkers(t *testing.T) {
	aj := newAdvisedJob(t, 2)
	aj.join("good-1", 1)
	aj.settle()
	require.Equal(t, []weir.InstanceID{"", "good-1"}, aj.at())
	aj.join("other", 1)
	aj.settle()
	require.Equal(t, []weir.InstanceID{"", "good-1"}, aj.at())
	aj.join("good-2", 1)
	aj.settle()
	require.Equal(t, []weir.InstanceID{"good-1", "good-2"}, aj.at())
	require.Equal(t, []string{"good-1", "other", "good-2"}, aj.pa.queries)
	aj.join("good-3", 1)
	aj.settle()
	require.Len(t, aj.pa.queries, 3, "no task waits")
}
