package fleet

import (
	"context"
	"time"

	"greengageweir/internal/standin/taskworker"

	weir "greengageweir"
)

// reach finds a worker after the way there.
func (fl *Fleet) reach(life weir.WorkerIncarnation) (*taskworker.Worker, error) {
	time.Sleep(oneWay)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	wk := fl.workers[life.ID]
	if wk == nil {
		return nil, &Error{Op: "order to " + string(life.ID), Kind: KindSilent}
	}
	return wk, nil
}

// call lets an order go to a worker and its answer come back; a worker that is
// gone by then has not answered.
func call[A any](fl *Fleet, life weir.WorkerIncarnation, do func(wk *taskworker.Worker) (A, error)) (A, error) {
	wk, err := fl.reach(life)
	if err != nil {
		var none A
		return none, err
	}
	ans, err := do(wk)
	if err != nil {
		return ans, err
	}
	if _, err := fl.reach(life); err != nil {
		return ans, err
	}
	return ans, nil
}

// Start implements weir.TaskWorkers.
func (fl *Fleet) Start(ctx context.Context, life weir.WorkerIncarnation, order weir.StartOrder) (weir.OrderResponse, error) {
	return call(fl, life, func(wk *taskworker.Worker) (weir.OrderResponse, error) {
		ans, err := wk.Start(ctx, life, order)
		if ans.Refusal == weir.RefusedCapacity {
			fl.refused.Add(1)
		}
		return ans, err
	})
}

// Stop implements weir.TaskWorkers.
func (fl *Fleet) Stop(ctx context.Context, life weir.WorkerIncarnation, key weir.RunKey, token uint64) (weir.OrderResponse, error) {
	return call(fl, life, func(wk *taskworker.Worker) (weir.OrderResponse, error) { return wk.Stop(ctx, life, key, token) })
}

// Throttle implements weir.TaskWorkers.
func (fl *Fleet) Throttle(ctx context.Context, life weir.WorkerIncarnation, key weir.RunKey, percent int, token uint64) (weir.OrderResponse, error) {
	return call(fl, life, func(wk *taskworker.Worker) (weir.OrderResponse, error) {
		return wk.Throttle(ctx, life, key, percent, token)
	})
}

// Renew implements weir.TaskWorkers.
func (fl *Fleet) Renew(ctx context.Context, life weir.WorkerIncarnation, order weir.RenewOrder) (weir.WorkerReport, error) {
	return call(fl, life, func(wk *taskworker.Worker) (weir.WorkerReport, error) { return wk.Renew(ctx, life, order) })
}

// Forget implements weir.TaskWorkers.
func (fl *Fleet) Forget(string) {}
