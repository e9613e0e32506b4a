package fleet

import (
	"context"
	"time"

	"greengageweir/internal/standin/taskworker"

	weir "greengageweir"
)

// findWorker looks up a worker after the latency of one message. It fails if the
// worker has stopped.
func (fl *Fleet) findWorker(inc weir.WorkerIncarnation) (*taskworker.Worker, error) {
	time.Sleep(oneWayLatency)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	wk := fl.workers[inc.ID]
	if wk == nil {
		return nil, &Error{Op: "order to " + string(inc.ID), Kind: KindNoAnswer}
	}
	return wk, nil
}

// roundTrip sends an order to a worker and returns the response. If the worker
// stops before the response has arrived, the call fails.
func roundTrip[A any](fl *Fleet, inc weir.WorkerIncarnation, do func(wk *taskworker.Worker) (A, error)) (A, error) {
	wk, err := fl.findWorker(inc)
	if err != nil {
		var none A
		return none, err
	}
	ans, err := do(wk)
	if err != nil {
		return ans, err
	}
	if _, err := fl.findWorker(inc); err != nil {
		return ans, err
	}
	return ans, nil
}

// Start implements weir.TaskWorkers.
func (fl *Fleet) Start(ctx context.Context, inc weir.WorkerIncarnation, order weir.StartOrder) (weir.OrderResponse, error) {
	return roundTrip(fl, inc, func(wk *taskworker.Worker) (weir.OrderResponse, error) {
		ans, err := wk.Start(ctx, inc, order)
		if ans.Refusal == weir.RefusedCapacity {
			fl.refused.Add(1)
		}
		return ans, err
	})
}

// Stop implements weir.TaskWorkers.
func (fl *Fleet) Stop(ctx context.Context, inc weir.WorkerIncarnation, key weir.RunKey, token uint64) (weir.OrderResponse, error) {
	return roundTrip(fl, inc, func(wk *taskworker.Worker) (weir.OrderResponse, error) { return wk.Stop(ctx, inc, key, token) })
}

// Throttle implements weir.TaskWorkers.
func (fl *Fleet) Throttle(ctx context.Context, inc weir.WorkerIncarnation, key weir.RunKey, percent int, token uint64) (weir.OrderResponse, error) {
	return roundTrip(fl, inc, func(wk *taskworker.Worker) (weir.OrderResponse, error) {
		return wk.Throttle(ctx, inc, key, percent, token)
	})
}

// Renew implements weir.TaskWorkers.
func (fl *Fleet) Renew(ctx context.Context, inc weir.WorkerIncarnation, order weir.RenewOrder) (weir.WorkerReport, error) {
	return roundTrip(fl, inc, func(wk *taskworker.Worker) (weir.WorkerReport, error) { return wk.Renew(ctx, inc, order) })
}

// Forget implements weir.TaskWorkers.
func (fl *Fleet) Forget(string) {}
