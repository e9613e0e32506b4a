package session

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// orderOutcome is how the delivery of an order turns out.
type orderOutcome int

const (
	outcomeAnswered orderOutcome = iota
	// outcomeUnanswered orders are executed, but the response is lost.
	outcomeUnanswered
	// outcomeDelayed orders are executed after some other actions.
	outcomeDelayed
	// outcomeLost orders are never executed.
	outcomeLost
)

var orderOutcomes = []orderOutcome{outcomeAnswered, outcomeUnanswered, outcomeDelayed, outcomeLost}

// modelWorker models a worker that follows the protocol.
type modelWorker struct {
	id     weir.InstanceID
	rate   float64 // rate of its clock
	origin time.Time
	until  time.Duration // its lease, on its clock
	token  uint64
	runs   map[weir.RunKey]bool
	last   map[weir.TaskRef]int
	ends   []weir.RunEnd
	number int64
	// expiredEnd is the number of the last end before the lease expired. Acknowledgements
	// up to it are not checked, since the leader may have given these runs up.
	expiredEnd int64
}

func (mw *modelWorker) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(mw.origin)) * mw.rate)
}

// expireLease ends all runs if the lease has expired.
func (mw *modelWorker) expireLease(now time.Time) {
	if mw.clock(now) <= mw.until {
		return
	}
	mw.expiredEnd = mw.number
	for key := range mw.runs {
		mw.endRun(key, store.EndLeaseExpired)
	}
}

func (mw *modelWorker) endRun(key weir.RunKey, how store.EndReason) {
	delete(mw.runs, key)
	mw.last[key.Task] = max(mw.last[key.Task], key.Run)
	mw.number++
	mw.ends = append(mw.ends, weir.RunEnd{RunKey: key, Number: mw.number, Reason: string(how)})
}

// simulation holds the state of one sequence of actions. It is the sessions'
// client for the workers.
type simulation struct {
	t             *testing.T
	clk           *clock.Manual
	st            *store.Store
	index         uint64
	term          uint64
	workers       []*modelWorker
	sessions      []*Session
	nextOutcome   orderOutcome // of the next order
	delayedOrders []func()
	lateResponses []func()
	doneEnds      int // acknowledged ends with reason done
	trace         []string
}

var exploredTask = weir.TaskRef{Job: "a"}

func newSimulation(t *testing.T) *simulation {
	sm := &simulation{t: t, clk: clock.NewManual(time.Unix(1_800_000_000, 0)), st: store.New(), term: 1}
	for ix, id := range []weir.InstanceID{"w0", "w1"} {
		mw := &modelWorker{
			id: id, rate: 1 - 0.02*float64(ix), origin: sm.clk.Now().Add(-time.Hour), runs: map[weir.RunKey]bool{}, last: map[weir.TaskRef]int{},
		}
		sm.workers = append(sm.workers, mw)
		sm.apply(store.Change{Join: &store.Worker{ID: id, Incarnation: 1, Address: string(id)}})
	}
	sm.apply(store.Change{Submit: &spec.Job{ID: "a", Steps: []spec.Step{{Count: 1}}}})
	sm.openSessions()
	return sm
}

func (sm *simulation) apply(ch store.Change) bool {
	data, err := store.Entry{At: sm.clk.Now(), Changes: []store.Change{ch}}.Encode()
	require.NoError(sm.t, err)
	sm.index++
	answers, ok := sm.st.Apply(sm.index, data).([]store.Result)
	require.True(sm.t, ok)
	return answers[0].Applied
}

// openSessions opens the sessions of a new leader. Orders in flight from the
// earlier leader remain in flight.
func (sm *simulation) openSessions() {
	sm.sessions = nil
	for _, mw := range sm.workers {
		ss := &Session{
			Worker: weir.WorkerIncarnation{ID: mw.id, Incarnation: 1}, Token: sm.term, Lease: exploreLease, Workers: sm, Leadership: alwaysLeader{}, Clock: sm.clk,
			Logger: log.NewNopLogger(), OnChange: func() {}, PriorLeaseExpiry: sm.clk.Now().Add(time.Second + exploreLease + exploreLease/20),
		}
		require.NoError(sm.t, ss.Default())
		sm.sessions = append(sm.sessions, ss)
	}
}

var errNoAnswer = errors.New("no answer")

// deliver delivers an order with the next outcome. do executes it at the worker.
func (sm *simulation) deliver(do func() weir.OrderResponse) (weir.OrderResponse, error) {
	switch sm.nextOutcome {
	case outcomeAnswered:
		return do(), nil
	case outcomeUnanswered:
		do()
	case outcomeDelayed:
		sm.delayedOrders = append(sm.delayedOrders, func() { do() })
	case outcomeLost:
	}
	return weir.OrderResponse{}, errNoAnswer
}

func (sm *simulation) worker(inc weir.WorkerIncarnation) *modelWorker {
	for _, mw := range sm.workers {
		if mw.id == inc.ID {
			return mw
		}
	}
	return nil
}

// Start implements weir.TaskWorkers.
func (sm *simulation) Start(_ context.Context, inc weir.WorkerIncarnation, order weir.StartOrder) (weir.OrderResponse, error) {
	mw := sm.worker(inc)
	return sm.deliver(func() weir.OrderResponse {
		now := sm.clk.Now()
		mw.expireLease(now)
		ans := weir.OrderResponse{Clock: mw.clock(now)}
		switch {
		case order.Token < mw.token:
			ans.Refusal = weir.RefusedFenced
			return ans
		case mw.runs[order.RunKey]:
		case order.Run <= mw.last[order.Task]:
			ans.Refusal = weir.RefusedStale
		case order.Until < mw.clock(now):
			ans.Refusal = weir.RefusedLeaseExpired
		default:
			sm.checkStart(mw, order.RunKey)
			mw.runs[order.RunKey] = true
		}
		mw.token, mw.until = order.Token, max(mw.until, order.Until)
		return ans
	})
}

// checkStart checks that no other run of the task runs, and that no acknowledged
// end says that the task is done.
func (sm *simulation) checkStart(mw *modelWorker, key weir.RunKey) {
	require.Zero(sm.t, sm.doneEnds, "run %v starts at %s after its task was acknowledged as done: %v", key, mw.id, sm.trace)
	for _, other := range sm.workers {
		other.expireLease(sm.clk.Now())
		require.Empty(sm.t, other.runs, "run %v starts at %s while another run is active at %s: %v", key, mw.id, other.id, sm.trace)
	}
}

// Stop implements weir.TaskWorkers.
func (sm *simulation) Stop(_ context.Context, inc weir.WorkerIncarnation, key weir.RunKey, token uint64) (weir.OrderResponse, error) {
	mw := sm.worker(inc)
	return sm.deliver(func() weir.OrderResponse {
		now := sm.clk.Now()
		mw.expireLease(now)
		if token < mw.token {
			return weir.OrderResponse{Clock: mw.clock(now), Refusal: weir.RefusedFenced}
		}
		mw.token = token
		if mw.runs[key] {
			mw.endRun(key, store.EndStopped)
		}
		mw.last[key.Task] = max(mw.last[key.Task], key.Run)
		return weir.OrderResponse{Clock: mw.clock(now)}
	})
}

// Renew implements weir.TaskWorkers.
func (sm *simulation) Renew(_ context.Context, inc weir.WorkerIncarnation, order weir.RenewOrder) (weir.WorkerReport, error) {
	mw := sm.worker(inc)
	var rep weir.WorkerReport
	_, err := sm.deliver(func() weir.OrderResponse {
		rep = mw.renew(sm, order)
		return weir.OrderResponse{}
	})
	return rep, err
}

func (mw *modelWorker) renew(sm *simulation, order weir.RenewOrder) weir.WorkerReport {
	now := sm.clk.Now()
	mw.expireLease(now)
	if order.Token >= mw.token {
		mw.token, mw.until = order.Token, max(mw.until, order.Until)
		for len(mw.ends) > 0 && mw.ends[0].Number <= order.Acknowledged {
			if mw.ends[0].Number > mw.expiredEnd {
				sm.checkAcknowledged(mw.ends[0])
			}
			mw.ends = mw.ends[1:]
		}
	}
	rep := weir.WorkerReport{Clock: mw.clock(now), Incarnation: 1, Ends: append([]weir.RunEnd(nil), mw.ends...)}
	for key := range mw.runs {
		rep.Running = append(rep.Running, weir.RunningTask{RunKey: key})
	}
	return rep
}

// checkAcknowledged checks that an acknowledged end is committed.
func (sm *simulation) checkAcknowledged(en weir.RunEnd) {
	if en.Reason != string(store.EndDone) {
		return
	}
	sm.doneEnds++
	sm.st.Read(func(rd store.Reader) {
		require.Equal(sm.t, store.Done, rd.Job("a").Phase, "an end was acknowledged but not committed: %v", sm.trace)
	})
}

// Throttle implements weir.TaskWorkers.
func (*simulation) Throttle(context.Context, weir.WorkerIncarnation, weir.RunKey, int, uint64) (weir.OrderResponse, error) {
	return weir.OrderResponse{}, errNoAnswer
}

// Forget implements weir.TaskWorkers.
func (*simulation) Forget(string) {}
