package session

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/duty/clock"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// fate is what becomes of an order.
type fate int

const (
	fateAnswered fate = iota
	// fateUnanswered orders are carried out, but their answer is lost.
	fateUnanswered
	// fateDelayed orders are carried out after some other steps.
	fateDelayed
	// fateLost orders are never carried out.
	fateLost
)

var fates = []fate{fateAnswered, fateUnanswered, fateDelayed, fateLost}

// modelWorker is a worker as the pages describe it.
type modelWorker struct {
	id     weir.InstanceID
	rate   float64 // of its clock
	origin time.Time
	until  time.Duration // its lease, on its clock
	token  uint64
	runs   map[weir.RunKey]bool
	last   map[weir.TaskRef]int
	ends   []weir.RunEnd
	number int64
	// stale is the last end before a lapse of the lease: what is acknowledged up
	// to there no longer counts, as the run was given up meanwhile.
	stale int64
}

func (mw *modelWorker) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(mw.origin)) * mw.rate)
}

// pass lets the lease lapse.
func (mw *modelWorker) pass(now time.Time) {
	if mw.clock(now) <= mw.until {
		return
	}
	mw.stale = mw.number
	for key := range mw.runs {
		mw.end(key, store.EndLeaseExpired)
	}
}

func (mw *modelWorker) end(key weir.RunKey, how store.EndReason) {
	delete(mw.runs, key)
	mw.last[key.Task] = max(mw.last[key.Task], key.Run)
	mw.number++
	mw.ends = append(mw.ends, weir.RunEnd{RunKey: key, Number: mw.number, How: string(how)})
}

// world is one sequence of steps.
type world struct {
	t        *testing.T
	clk      *clock.Manual
	st       *store.Store
	index    uint64
	term     uint64
	workers  []*modelWorker
	sessions []*Session
	next     fate // of the order that is sent
	delayed  []func()
	late     []func()
	done     int // ends as done that were acknowledged
	trace    []string
}

var exploredTask = weir.TaskRef{Job: "a"}

func newWorld(t *testing.T) *world {
	wd := &world{t: t, clk: clock.NewManual(time.Unix(1_800_000_000, 0)), st: store.New(), term: 1}
	for ix, id := range []weir.InstanceID{"w0", "w1"} {
		mw := &modelWorker{
			id: id, rate: 1 - 0.02*float64(ix), origin: wd.clk.Now().Add(-time.Hour), runs: map[weir.RunKey]bool{}, last: map[weir.TaskRef]int{},
		}
		wd.workers = append(wd.workers, mw)
		wd.apply(store.Change{Join: &store.Worker{ID: id, Incarnation: 1, Address: string(id)}})
	}
	wd.apply(store.Change{Submit: &spec.Job{ID: "a", Steps: []spec.Step{{Count: 1}}}})
	wd.lead()
	return wd
}

func (wd *world) apply(ch store.Change) bool {
	data, err := store.Entry{At: wd.clk.Now(), Changes: []store.Change{ch}}.Encode()
	require.NoError(wd.t, err)
	wd.index++
	answers, ok := wd.st.Apply(wd.index, data).([]store.Result)
	require.True(wd.t, ok)
	return answers[0].Applied
}

// lead opens the sessions of a new leader. Orders of the last one that are on
// their way stay there.
func (wd *world) lead() {
	wd.sessions = nil
	for _, mw := range wd.workers {
		ss := &Session{
			Worker: weir.WorkerIncarnation{ID: mw.id, Born: 1}, Token: wd.term, Lease: exploreLease, Workers: wd, Leadership: always{}, Clock: wd.clk,
			Logger: log.NewNopLogger(), OnChange: func() {}, PriorLeaseExpiry: wd.clk.Now().Add(time.Second + exploreLease + exploreLease/20),
		}
		require.NoError(wd.t, ss.Default())
		wd.sessions = append(wd.sessions, ss)
	}
}

var errSilent = errors.New("no answer")

// carry lets an order meet its fate; do is what the worker does.
func (wd *world) carry(do func() weir.OrderResponse) (weir.OrderResponse, error) {
	switch wd.next {
	case fateAnswered:
		return do(), nil
	case fateUnanswered:
		do()
	case fateDelayed:
		wd.delayed = append(wd.delayed, func() { do() })
	case fateLost:
	}
	return weir.OrderResponse{}, errSilent
}

func (wd *world) worker(life weir.WorkerIncarnation) *modelWorker {
	for _, mw := range wd.workers {
		if mw.id == life.ID {
			return mw
		}
	}
	return nil
}

// Start implements weir.TaskWorkers.
func (wd *world) Start(_ context.Context, life weir.WorkerIncarnation, order weir.RunOrder) (weir.OrderResponse, error) {
	mw := wd.worker(life)
	return wd.carry(func() weir.OrderResponse {
		now := wd.clk.Now()
		mw.pass(now)
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
			wd.begins(mw, order.RunKey)
			mw.runs[order.RunKey] = true
		}
		mw.token, mw.until = order.Token, max(mw.until, order.Until)
		return ans
	})
}

// begins checks the promises about a start.
func (wd *world) begins(mw *modelWorker, key weir.RunKey) {
	require.Zero(wd.t, wd.done, "run %v starts at %s though its task was acknowledged as done: %v", key, mw.id, wd.trace)
	for _, other := range wd.workers {
		other.pass(wd.clk.Now())
		require.Empty(wd.t, other.runs, "run %v starts at %s while another runs at %s: %v", key, mw.id, other.id, wd.trace)
	}
}

// Stop implements weir.TaskWorkers.
func (wd *world) Stop(_ context.Context, life weir.WorkerIncarnation, key weir.RunKey, token uint64) (weir.OrderResponse, error) {
	mw := wd.worker(life)
	return wd.carry(func() weir.OrderResponse {
		now := wd.clk.Now()
		mw.pass(now)
		if token < mw.token {
			return weir.OrderResponse{Clock: mw.clock(now), Refusal: weir.RefusedFenced}
		}
		mw.token = token
		if mw.runs[key] {
			mw.end(key, store.EndStopped)
		}
		mw.last[key.Task] = max(mw.last[key.Task], key.Run)
		return weir.OrderResponse{Clock: mw.clock(now)}
	})
}

// Renew implements weir.TaskWorkers.
func (wd *world) Renew(_ context.Context, life weir.WorkerIncarnation, order weir.RenewOrder) (weir.WorkerReport, error) {
	mw := wd.worker(life)
	var rep weir.WorkerReport
	_, err := wd.carry(func() weir.OrderResponse {
		rep = mw.renew(wd, order)
		return weir.OrderResponse{}
	})
	return rep, err
}

func (mw *modelWorker) renew(wd *world, order weir.RenewOrder) weir.WorkerReport {
	now := wd.clk.Now()
	mw.pass(now)
	if order.Token >= mw.token {
		mw.token, mw.until = order.Token, max(mw.until, order.Until)
		for len(mw.ends) > 0 && mw.ends[0].Number <= order.Acknowledged {
			if mw.ends[0].Number > mw.stale {
				wd.acknowledged(mw.ends[0])
			}
			mw.ends = mw.ends[1:]
		}
	}
	rep := weir.WorkerReport{Clock: mw.clock(now), Born: 1, Ends: append([]weir.RunEnd(nil), mw.ends...)}
	for key := range mw.runs {
		rep.Running = append(rep.Running, weir.RunningTask{RunKey: key})
	}
	return rep
}

// acknowledged checks that an end is not forgotten before it is recorded.
func (wd *world) acknowledged(en weir.RunEnd) {
	if en.How != string(store.EndDone) {
		return
	}
	wd.done++
	wd.st.Read(func(rd store.Reader) {
		require.Equal(wd.t, store.Done, rd.Job("a").Phase, "an end is acknowledged that nobody recorded: %v", wd.trace)
	})
}

// Throttle implements weir.TaskWorkers.
func (*world) Throttle(context.Context, weir.WorkerIncarnation, weir.RunKey, int, uint64) (weir.OrderResponse, error) {
	return weir.OrderResponse{}, errSilent
}

// Forget implements weir.TaskWorkers.
func (*world) Forget(string) {}
