// Package workermodel models a task worker as a state machine without goroutines:
// each call takes the present time. Tests use it to explore sequences of events.
//
// Usage:
//
//	wk := workermodel.New("w0", 1, now)
//	resp := wk.Start(now, order)
//	rep := wk.Renew(now, renewal)
package workermodel

import (
	"time"

	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// HoldMax is the longest lease that a worker accepts; longer ones are shortened.
const HoldMax = 10 * time.Second

// Worker models one worker. Set the exported fields before the first call.
type Worker struct {
	ID          weir.InstanceID
	Incarnation int64
	// ClockRate is the rate of the worker's clock.
	ClockRate float64
	// OnStart is called before a run starts, OnAcknowledged with each end that the
	// leader acknowledges in the incarnation that listed it; both may be nil.
	OnStart        func(key weir.RunKey)
	OnAcknowledged func(end weir.RunEnd)
	// Runs holds the runs in progress.
	Runs map[weir.RunKey]bool

	origin time.Time
	until  time.Duration // its lease, on its clock
	token  uint64
	last   map[weir.TaskRef]int
	ends   []weir.RunEnd
	number int64
	// expiredEnd is the number of the last end before the lease expired. The leader
	// may have given up the runs that ended up to it, so that OnAcknowledged is not
	// called for them.
	expiredEnd int64
}

// New returns a worker that starts now.
func New(id weir.InstanceID, incarnation int64, now time.Time) *Worker {
	wk := &Worker{ID: id, ClockRate: 1}
	wk.Restart(incarnation, now.Add(-time.Hour))
	return wk
}

// Restart starts a new incarnation, which knows nothing of the one before.
func (wk *Worker) Restart(incarnation int64, now time.Time) {
	wk.Incarnation, wk.origin = incarnation, now.Add(-time.Millisecond)
	wk.until, wk.token, wk.number, wk.expiredEnd = 0, 0, 0, 0
	wk.Runs, wk.last, wk.ends = map[weir.RunKey]bool{}, map[weir.TaskRef]int{}, nil
}

func (wk *Worker) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(wk.origin)) * wk.ClockRate)
}

// ExpireLease ends all runs if the lease has expired.
func (wk *Worker) ExpireLease(now time.Time) {
	if wk.clock(now) <= wk.until {
		return
	}
	wk.expiredEnd = wk.number
	for key := range wk.Runs {
		wk.EndRun(key, store.EndLeaseExpired)
	}
}

// EndRun ends a run in progress.
func (wk *Worker) EndRun(key weir.RunKey, how store.EndReason) {
	delete(wk.Runs, key)
	wk.last[key.Task] = max(wk.last[key.Task], key.Run)
	wk.number++
	wk.ends = append(wk.ends, weir.RunEnd{RunKey: key, Number: wk.number, Reason: string(how)})
}

// Start handles the order to start a run.
func (wk *Worker) Start(now time.Time, order weir.StartOrder) weir.OrderResponse {
	wk.ExpireLease(now)
	resp := weir.OrderResponse{Clock: wk.clock(now)}
	switch {
	case order.Token < wk.token:
		resp.Refusal = weir.RefusedFenced
		return resp
	case wk.Runs[order.RunKey]:
	case order.Run <= wk.last[order.Task]:
		resp.Refusal = weir.RefusedStale
	case order.Until < wk.clock(now):
		resp.Refusal = weir.RefusedLeaseExpired
	default:
		if wk.OnStart != nil {
			wk.OnStart(order.RunKey)
		}
		wk.Runs[order.RunKey] = true
	}
	wk.extend(now, order.Token, order.Until)
	return resp
}

func (wk *Worker) extend(now time.Time, token uint64, until time.Duration) {
	wk.token, wk.until = token, max(wk.until, min(until, wk.clock(now)+HoldMax))
}

// Stop handles the order to stop a run.
func (wk *Worker) Stop(now time.Time, key weir.RunKey, token uint64) weir.OrderResponse {
	wk.ExpireLease(now)
	if token < wk.token {
		return weir.OrderResponse{Clock: wk.clock(now), Refusal: weir.RefusedFenced}
	}
	wk.token = token
	if wk.Runs[key] {
		wk.EndRun(key, store.EndStopped)
	}
	wk.last[key.Task] = max(wk.last[key.Task], key.Run)
	return weir.OrderResponse{Clock: wk.clock(now)}
}

// Renew handles a renewal and returns the worker's report.
func (wk *Worker) Renew(now time.Time, order weir.RenewOrder) weir.WorkerReport {
	wk.ExpireLease(now)
	if order.Token >= wk.token {
		wk.extend(now, order.Token, order.Until)
		for len(wk.ends) > 0 && wk.ends[0].Number <= order.Acknowledged {
			if wk.ends[0].Number > wk.expiredEnd && wk.OnAcknowledged != nil {
				wk.OnAcknowledged(wk.ends[0])
			}
			wk.ends = wk.ends[1:]
		}
	}
	rep := weir.WorkerReport{Clock: wk.clock(now), Incarnation: wk.Incarnation, Ends: append([]weir.RunEnd(nil), wk.ends...)}
	for key := range wk.Runs {
		rep.Running = append(rep.Running, weir.RunningTask{RunKey: key, Percent: 100})
	}
	return rep
}
