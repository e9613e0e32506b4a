package scheduler

import (
	"context"
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

// acceptingWorkers accept and list each run that they are ordered to start.
type acceptingWorkers struct {
	weir.TaskWorkers

	clk     weir.Clock
	running map[weir.InstanceID]map[weir.RunKey]bool
	// down holds the workers that do not respond.
	down map[weir.InstanceID]bool
}

func (aw *acceptingWorkers) Renew(_ context.Context, worker weir.WorkerIncarnation, _ weir.RenewOrder) (weir.WorkerReport, error) {
	if aw.down[worker.ID] {
		return weir.WorkerReport{}, errNoResponse
	}
	rep := weir.WorkerReport{Clock: aw.clk.Now().Sub(time.Unix(0, 0)), Incarnation: worker.Incarnation}
	for key := range aw.running[worker.ID] {
		rep.Running = append(rep.Running, weir.RunningTask{RunKey: key, Percent: fullProgress})
	}
	return rep, nil
}

func (aw *acceptingWorkers) Start(_ context.Context, worker weir.WorkerIncarnation, order weir.StartOrder) (weir.OrderResponse, error) {
	if aw.down[worker.ID] {
		return weir.OrderResponse{}, errNoResponse
	}
	if aw.running[worker.ID] == nil {
		aw.running[worker.ID] = map[weir.RunKey]bool{}
	}
	aw.running[worker.ID][order.RunKey] = true
	return weir.OrderResponse{}, nil
}

func (aw *acceptingWorkers) Stop(_ context.Context, worker weir.WorkerIncarnation, key weir.RunKey, _ uint64) (weir.OrderResponse, error) {
	if aw.down[worker.ID] {
		return weir.OrderResponse{}, errNoResponse
	}
	delete(aw.running[worker.ID], key)
	return weir.OrderResponse{}, nil
}

func (aw *acceptingWorkers) Forget(string) {}

// stepped is a leading scheduler on a log of its own, which makes one step at a time:
// rounds, orders, commits and waits for responses happen only in step.
type stepped struct {
	t       testing.TB
	sc      *Scheduler
	ls      *leaderState
	gl      *gatedLog
	clk     *clock.Manual
	workers *acceptingWorkers
	waiting []func()
}

// newStepped returns a scheduler with one pool, desk, and one queue, whose adviser and
// platform may be nil.
func newStepped(t testing.TB, adviser weir.Adviser, machines weir.MachinePlatform) *stepped {
	qu := catalog.Queue{Name: "q", Host: "h", Prefix: "/q/", Pool: "desk", Timeout: time.Second, MaxAttempts: 3, Stretch: 2}
	if adviser != nil {
		qu.Adviser = &catalog.AdviserSettings{Validity: time.Hour}
	}
	packed, err := catalog.Catalog{Version: 1, Pools: []catalog.Pool{{Name: "desk"}}, Queues: []catalog.Queue{qu}}.Pack()
	require.NoError(t, err)
	sp := &stepped{t: t, clk: clock.NewManual(testNow)}
	sp.gl = &gatedLog{st: store.New(), gate: make(chan struct{})}
	close(sp.gl.gate)
	sp.gl.st.Clock = sp.clk
	sp.workers = &acceptingWorkers{clk: sp.clk, running: map[weir.InstanceID]map[weir.RunKey]bool{}, down: map[weir.InstanceID]bool{}}
	sp.sc = &Scheduler{
		Store: sp.gl.st, Committer: &Committer{Log: sp.gl, Wall: sp.clk}, Leadership: firstTermLeader{}, Workers: sp.workers,
		Adviser: adviser, Machines: machines, Clock: sp.clk, Wall: sp.clk, Logger: log.NewNopLogger(), Lease: time.Minute, Retention: time.Hour,
		background: func(wait func()) { sp.waiting = append(sp.waiting, wait) },
		runSession: func(context.Context, *session.Session) {},
	}
	require.NoError(t, sp.sc.Default())
	require.NoError(t, sp.sc.Committer.Default())
	sp.ls = sp.sc.newLeaderState(1)
	sp.sc.setLeader(sp.ls)
	sp.apply(store.Change{Catalog: packed})
	return sp
}

func (sp *stepped) apply(changes ...store.Change) {
	data, err := store.Entry{At: sp.clk.Now(), Changes: changes}.Encode()
	require.NoError(sp.t, err)
	_, err = sp.gl.Propose(sp.t.Context(), data)
	require.NoError(sp.t, err)
}

// submit submits the job a.
func (sp *stepped) submit(steps ...spec.Step) {
	sp.apply(store.Change{Submit: &spec.Job{ID: "a", Queue: "h/q/", Steps: steps}})
}

// join registers a worker with one core on the machine "m" + id.
func (sp *stepped) join(id weir.InstanceID, incarnation int64) {
	sp.joinWith(id, incarnation, spec.Resources{MilliCPU: 1000})
}

func (sp *stepped) joinWith(id weir.InstanceID, incarnation int64, capacity spec.Resources) {
	sp.apply(store.Change{Join: &store.Worker{
		ID: id, Incarnation: incarnation, Address: string(id), Machine: "m" + string(id), Pool: "desk", Capacity: capacity,
	}})
}

// step lets time pass and makes one round with what follows from it.
func (sp *stepped) step(pass time.Duration) {
	sp.clk.Advance(pass)
	sp.sc.round(sp.t.Context(), sp.ls, sp.clk.Now(), true)
	for _, ws := range sp.ls.sessions {
		ws.session.RenewOnce(sp.t.Context())
	}
	sp.commit()
	for _, ws := range sp.ls.sessions {
		for ws.session.SendNext(sp.t.Context()) {
			continue
		}
	}
	for len(sp.waiting) > 0 {
		next := sp.waiting[0]
		sp.waiting = sp.waiting[1:]
		next()
	}
	sp.commit()
}

// commit commits what the scheduler has submitted, which must not block.
func (sp *stepped) commit() {
	com, done := sp.sc.Committer, make(chan struct{})
	go func() {
		defer close(done)
		for len(com.queue) > 0 {
			com.commit(sp.t.Context(), com.gather(<-com.queue))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		require.FailNow(sp.t, "the committer is blocked")
	}
}
