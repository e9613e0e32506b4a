package handler_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/common/errkind"
	"greengageweir/internal/common/run"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/contract/jobhttp"
	"greengageweir/internal/contract/taskapi"
	"greengageweir/internal/job/handler"
	"greengageweir/internal/job/scheduler"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/member/links"
	"greengageweir/internal/standin/taskworker"
	"greengageweir/internal/state/node"
	"greengageweir/internal/state/wal"

	weir "greengageweir"
)

const (
	self         = "127.0.0.1:1"
	waitTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// system is one process that accepts jobs, with simulated workers.
type system struct {
	t             *testing.T
	dir           string
	cl            *jobhttp.Client
	workers       []*taskworker.Worker
	announcements []jobapi.Announcement
	stop          func()
	// logger and snapshotEvery apply to the process when it starts.
	logger        log.Logger
	snapshotEvery uint64
	handler       *handler.Handler
	leadership    *switchedLeadership
	// adviseCalls counts the calls of the adviser, which allows only w1.
	adviseCalls atomic.Int32
}

// switchedLeadership is a member of the log whose leader lease can be made to lapse.
type switchedLeadership struct {
	*node.Node
	lapsed atomic.Bool
}

// IsLeader implements weir.Leadership.
func (sl *switchedLeadership) IsLeader() bool { return !sl.lapsed.Load() && sl.Node.IsLeader() }

// Advise implements weir.Adviser.
func (sy *system) Advise(context.Context, weir.TaskRef, []weir.InstanceID) (weir.Advice, error) {
	if sy.adviseCalls.Add(1) == 1 {
		return weir.Advice{}, &scheduler.Error{Op: "advise", Kind: scheduler.KindBusy}
	}
	return weir.Advice{Tickets: map[weir.InstanceID]string{"w1": "ticket"}, Validity: 500 * time.Millisecond}, nil
}

func newSystem(t *testing.T, workers int, options ...func(sy *system)) *system {
	sy := &system{t: t, dir: filepath.Join(t.TempDir(), "data"), logger: log.NewNopLogger()}
	for _, set := range options {
		set(sy)
	}
	require.NoError(t, wal.FormatInitial(sy.dir, []string{self}))
	for ix := range workers {
		wk := &taskworker.Worker{ID: weir.InstanceID(fmt.Sprint("w", ix)), Born: 1, Clock: clock.System{}}
		srv := httptest.NewServer(taskapi.Routes(wk))
		t.Cleanup(srv.Close)
		sy.workers = append(sy.workers, wk)
		sy.announcements = append(sy.announcements, jobapi.Announcement{Worker: store.Worker{
			ID: wk.ID, Incarnation: 1, Pool: "desk", Address: srv.Listener.Addr().String(), Capacity: spec.Resources{MilliCPU: 4000, MemoryMB: 1000},
		}})
	}
	sy.start()
	t.Cleanup(func() { sy.stop() })
	return sy
}

// start starts the process on the existing data folder.
func (sy *system) start() {
	steady, wall, lg := clock.BootTime{}, clock.Wall{}, sy.logger
	str := store.New()
	str.Clock = steady
	lks := &links.Links{Self: peer.Identity{ID: self}, Token: "token", Logger: lg}
	nod := &node.Node{
		ID: self, Dir: sy.dir, StateMachine: str, Send: lks.Send, Clock: steady, Logger: lg,
		Heartbeat: 20 * time.Millisecond, Election: 150 * time.Millisecond,
		SnapshotEvery: sy.snapshotEvery,
	}
	sy.leadership = &switchedLeadership{Node: nod}
	com := &scheduler.Committer{Log: nod, Wall: wall}
	own := &scheduler.Scheduler{
		Store: str, Committer: com, Leadership: sy.leadership, Workers: taskapi.NewClient(steady), Clock: steady, Wall: wall, Logger: lg,
		Lease: 3 * time.Second, Retention: time.Minute, Adviser: sy,
	}
	str.OnApplied = own.Wake
	svc := &handler.Handler{
		Self: self, Store: str, Committer: com, Scheduler: own, Leader: nod, Links: lks, Clock: steady, Wall: wall, Logger: lg, Backlogs: &handler.Backlogs{},
	}
	sy.handler = svc
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	components := []weir.Component{lks, nod, com, own}
	require.NoError(sy.t, run.Defaults(components...))
	for _, cmp := range components {
		wg.Go(func() { _ = cmp.Run(ctx) })
	}
	srv := httptest.NewServer(jobhttp.Routes(svc, wall))
	sy.cl = &jobhttp.Client{Addrs: []string{srv.Listener.Addr().String()}}
	sy.stop = func() {
		srv.Close()
		cancel()
		wg.Wait()
	}
	for _, ann := range sy.announcements {
		sy.mustDo(http.MethodPut, "/v1/workers/"+string(ann.ID), ann)
	}
}

func (sy *system) do(method, path string, body any) (jobhttp.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	ans, _, err := sy.cl.Do(ctx, method, path, body)
	return ans, err
}

func (sy *system) mustDo(method, path string, body any) jobhttp.Response {
	ans, err := sy.do(method, path, body)
	require.NoError(sy.t, err)
	return ans
}

func (sy *system) submit(id, text string, steps ...jobhttp.Step) {
	sy.mustDo(http.MethodPost, "/v1/jobs", jobhttp.Submission{Queue: "q", ID: weir.JobID(id), Job: jobhttp.Job{Text: text, Steps: steps}})
}

func (sy *system) phase(id string) store.Phase {
	return sy.mustDo(http.MethodGet, "/v1/jobs?queue=q&id="+id, nil).Phase
}

func (sy *system) awaitPhase(id string, want store.Phase) {
	require.Eventually(sy.t, func() bool { return sy.phase(id) == want }, waitTimeout, pollInterval, "job %s must become %s", id, want)
}

// doneCounts returns how often each task was completed, over all workers.
func (sy *system) doneCounts() map[weir.TaskRef]int {
	out := map[weir.TaskRef]int{}
	for _, wk := range sy.workers {
		for task, count := range wk.Done() {
			out[task] += count
		}
	}
	return out
}

func putCatalog(t *testing.T, sy *system) {
	t.Helper()
	ans := sy.mustDo(http.MethodPut, "/v1/catalog", map[string]any{
		"version": 1,
		"queues": []map[string]any{{
			"name": "q", "pool": "desk", "timeoutMillis": 1000, "targetMillis": 500, "stretch": 2, "maxAttempts": 2,
		}, {
			"name": "advised", "pool": "desk", "timeoutMillis": 1000, "targetMillis": 500, "stretch": 2, "maxAttempts": 2,
			"advice": map[string]any{"baseMillis": 10, "perWorkerMillis": 1, "validityMillis": 500},
		}},
		"pools": []map[string]any{{"name": "desk", "guards": true}},
	})
	require.Equal(t, jobapi.OK, ans.Outcome)
}

func TestJobOfTwoStepsRunsOnce(t *testing.T) {
	sy := newSystem(t, 2)
	putCatalog(t, sy)
	step := jobhttp.Step{Count: 5, MilliCPU: 1000, EstimateMillis: 50}
	second := step
	second.After = []int{0}
	sy.submit("a", "50ms", step, second)
	sy.submit("a", "50ms", step, second)
	sy.awaitPhase("a", store.Done)
	done := sy.doneCounts()
	require.Len(t, done, 10)
	for task, count := range done {
		require.Equal(t, 1, count, "%+v", task)
	}
}

func TestCancelStopsRunningTasks(t *testing.T) {
	sy := newSystem(t, 1)
	putCatalog(t, sy)
	sy.submit("long", "10m", jobhttp.Step{Count: 2, MilliCPU: 1000, EstimateMillis: 600_000})
	sy.awaitPhase("long", store.Running)
	require.Equal(t, store.Cancelled, sy.mustDo(http.MethodDelete, "/v1/jobs?queue=q&id=long", nil).Phase)
	// The capacity is free again: another job that needs all of it completes.
	sy.submit("next", "10ms", jobhttp.Step{Count: 4, MilliCPU: 1000, EstimateMillis: 10})
	sy.awaitPhase("next", store.Done)
}

func TestRestartKeepsJobsAndRunsNothingTwice(t *testing.T) {
	sy := newSystem(t, 2)
	putCatalog(t, sy)
	sy.submit("before", "20ms", jobhttp.Step{Count: 2, MilliCPU: 1000, EstimateMillis: 20})
	sy.awaitPhase("before", store.Done)
	sy.submit("during", "900ms", jobhttp.Step{Count: 4, MilliCPU: 1000, EstimateMillis: 900})
	sy.awaitPhase("during", store.Running)
	sy.stop()
	sy.start()
	require.Equal(t, store.Done, sy.phase("before"))
	sy.awaitPhase("during", store.Done)
	for task, count := range sy.doneCounts() {
		require.Equal(t, 1, count, "%+v", task)
	}
}

func TestAdvisedStepsRunOnAdvisedWorkers(t *testing.T) {
	sy := newSystem(t, 3)
	putCatalog(t, sy)
	step := jobhttp.Step{Count: 4, MilliCPU: 2000, EstimateMillis: 400}
	second := step
	second.After = []int{0}
	sy.mustDo(http.MethodPost, "/v1/jobs", jobhttp.Submission{
		Queue: "advised", ID: "a", Job: jobhttp.Job{Text: "400ms", Steps: []jobhttp.Step{step, second}},
	})
	require.Eventually(t, func() bool {
		return sy.mustDo(http.MethodGet, "/v1/jobs?queue=advised&id=a", nil).Phase == store.Done
	}, waitTimeout, pollInterval)
	require.Len(t, sy.workers[1].Done(), 8)
	require.Empty(t, sy.workers[0].Done())
	require.Empty(t, sy.workers[2].Done())
	require.GreaterOrEqual(t, int(sy.adviseCalls.Load()), 4, "one call fails, each step needs one, and tickets expire")
}

func TestRefusals(t *testing.T) {
	sy := newSystem(t, 0)
	refused := func(outcome jobapi.Outcome, method, path string, body any) {
		t.Helper()
		ans, err := sy.do(method, path, body)
		require.True(t, errkind.Is(err, jobhttp.KindRefused), "%v", err)
		require.Equal(t, outcome, ans.Outcome)
	}
	putCatalog(t, sy)
	refused(jobapi.NoQueue, http.MethodGet, "/v1/jobs?queue=other&id=a", nil)
	refused(jobapi.NoJob, http.MethodGet, "/v1/jobs?queue=q&id=nobody", nil)
	refused(jobapi.NoJob, http.MethodDelete, "/v1/jobs?queue=q&id=nobody", nil)
	refused(jobapi.NoJob, http.MethodGet, "/v1/waves/7", nil)
	refused(jobapi.Invalid, http.MethodPost, "/v1/waves", jobhttp.Wave{Number: 1})
	refused(jobapi.Invalid, http.MethodPost, "/v1/jobs", jobhttp.Submission{Queue: "q", ID: "a"})
	// A task of such a job has a name that no worker can list again (review/13).
	one := jobhttp.Job{Steps: []jobhttp.Step{{Count: 1, MilliCPU: 1}}}
	refused(jobapi.Invalid, http.MethodPost, "/v1/jobs", jobhttp.Submission{Queue: "q", ID: "a.b", Job: one})
	huge := []jobhttp.Step{{Count: 1 << 62}, {Count: 1 << 62}, {Count: 1 << 62}, {Count: 1 << 62}}
	refused(jobapi.Invalid, http.MethodPost, "/v1/jobs", jobhttp.Submission{Queue: "q", ID: "a", Job: jobhttp.Job{Steps: huge}})
	refused(jobapi.Invalid, http.MethodPost, "/v1/jobs", map[string]any{"queue": "q", "id": "a", "jobs": 1})
	refused(jobapi.Invalid, http.MethodPut, "/v1/catalog", map[string]any{
		"version": 2, "queues": []map[string]any{{"name": "q", "pool": "nobody", "timeoutMillis": 1}},
	})
	require.Equal(t, 0, sy.mustDo(http.MethodGet, "/v1/jobs?queue=q", nil).Pending)
	sy.submit("waits", "", jobhttp.Step{Count: 1, MilliCPU: 1})
	require.Equal(t, 1, sy.mustDo(http.MethodGet, "/v1/jobs?queue=q", nil).Pending)
	require.Equal(t, store.Queued, sy.phase("waits"))
}
