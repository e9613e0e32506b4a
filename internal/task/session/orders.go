package session

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	weir "greengageweir"
)

// Start queues the order to start a run. The placement must be committed before.
func (ss *Session) Start(order weir.StartOrder) {
	ss.mu.Lock()
	ss.runs[order.RunKey] = &runState{sentAt: ss.Clock.Now()}
	ss.mu.Unlock()
	if !ss.enqueue(func(ctx context.Context) { ss.sendStart(ctx, order) }) {
		ss.markNotSent(order.RunKey)
	}
}

func (ss *Session) enqueue(order func(ctx context.Context)) bool {
	select {
	case ss.orders <- order:
		return true
	default:
		metrics.GetOrCreateCounter("weir_worker_orders_dropped_total").Inc()
		return false
	}
}

func (ss *Session) markNotSent(key weir.RunKey) {
	ss.mu.Lock()
	if rn := ss.runs[key]; rn != nil {
		rn.notSent = true
	}
	ss.mu.Unlock()
	ss.OnChange()
}

// prepareStart sets the token and the lease of a start that is about to be sent. It
// returns nil if the start must not be sent.
func (ss *Session) prepareStart(order *weir.StartOrder, now time.Time) *runState {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	rn := ss.runs[order.RunKey]
	if rn == nil || rn.unwanted || rn.abandoned || ss.closed || ss.otherIncarnation || !ss.unreachableSince.IsZero() || ss.silent() {
		return nil
	}
	if ss.unansweredAcks > 0 && !ss.raiseToken() {
		return nil
	}
	rn.sentAt = now
	order.Token = ss.token
	order.Until = ss.grantLease(now)
	ss.Outstanding.StartSent(order.RunKey, now)
	ss.startSent(now)
	return rn
}

func (ss *Session) sendStart(ctx context.Context, order weir.StartOrder) {
	sentAt := ss.Clock.Now()
	rn := ss.prepareStart(&order, sentAt)
	if rn == nil {
		ss.markNotSent(order.RunKey)
		return
	}
	if !ss.Leadership.IsLeader() {
		ss.Outstanding.StartAnswered(order.RunKey)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	ans, err := ss.Workers.Start(callCtx, ss.Worker, order)
	now := ss.Clock.Now()
	metrics.GetOrCreateHistogram("weir_worker_start_seconds").Update(now.Sub(sentAt).Seconds())
	ss.mu.Lock()
	switch {
	case err == nil:
		ss.orderAnswered()
		rn.answeredAt = now
		rn.refusal = ans.Refusal
		if ans.Refusal == weir.RefusedFenced && order.Token < ss.token {
			// The session has used a higher token since; the run never started.
			rn.refusal = weir.RefusedStale
		}
		ss.updateClock(ans.Clock, sentAt)
		rn.byNext = ss.otherIncarnation
		if !rn.byNext || ans.Refusal != weir.RefusedNone {
			ss.Outstanding.StartAnswered(order.RunKey)
		}
	case errors.Is(err, weir.ErrNotSent):
		rn.notSent = true
		ss.Outstanding.StartAnswered(order.RunKey)
	default:
		// The worker may still execute the order, so the zero time makes decide
		// stop the run before its task is placed again.
		rn.sentAt = time.Time{}
		if callCtx.Err() == nil {
			rn.brokenAt = now
		}
	}
	ss.mu.Unlock()
	if err != nil || ans.Refusal != weir.RefusedNone {
		_ = ss.Logger.Log("level", "warn", "msg", "start not confirmed", "job", order.Task.Job, "task", order.Task,
			"run", order.RunKey.Run, "worker", ss.Worker.ID, "refusal", string(ans.Refusal), "err", err)
		ss.OnChange()
	}
}

// stop queues a stop order, at most one per stopRetryInterval for a run. Call it
// with the lock held.
func (ss *Session) stop(now time.Time, key weir.RunKey, rn *runState) {
	if !rn.stopSentAt.IsZero() && now.Sub(rn.stopSentAt) < stopRetryInterval {
		return
	}
	rn.stopSentAt = now
	ss.enqueue(func(ctx context.Context) {
		if !ss.Leadership.IsLeader() {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		token := ss.currentToken()
		ans, err := ss.Workers.Stop(callCtx, ss.Worker, key, token)
		if err == nil && ans.Refusal == weir.RefusedNone {
			ss.mu.Lock()
			ss.orderAnswered()
			rn.stopAckedAt = ss.Clock.Now()
			_, listed := ss.lastReport.running[key]
			ss.mu.Unlock()
			if !listed {
				ss.requestReport(ctx)
			}
			return
		}
		if err == nil && ans.Refusal == weir.RefusedFenced {
			ss.retryFencedStop(rn, token)
		}
		_ = ss.Logger.Log("level", "warn", "msg", "stop not confirmed", "job", key.Task.Job, "task", key.Task,
			"run", key.Run, "worker", ss.Worker.ID, "refusal", string(ans.Refusal), "err", err)
	})
}

// retryFencedStop lets a stop order be sent again at once if the session has raised its
// token since.
func (ss *Session) retryFencedStop(rn *runState, token uint64) {
	ss.mu.Lock()
	raised := token < ss.token
	if raised {
		rn.stopSentAt = time.Time{}
	}
	ss.mu.Unlock()
	if raised {
		ss.OnChange()
	}
}

// Throttle queues the order to limit a run to a share of its speed, 0 to 100
// percent.
func (ss *Session) Throttle(key weir.RunKey, percent int) {
	ss.enqueue(func(ctx context.Context) {
		if !ss.Leadership.IsLeader() {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		if _, err := ss.Workers.Throttle(callCtx, ss.Worker, key, percent, ss.currentToken()); err != nil {
			_ = ss.Logger.Log("level", "warn", "msg", "speed limit not confirmed", "task", key.Task, "run", key.Run,
				"worker", ss.Worker.ID, "percent", percent, "err", err)
		}
	})
}

// SendNext sends the oldest queued order, and reports false if there is none. Run
// sends orders as they are queued; tests call SendNext to make single steps.
func (ss *Session) SendNext(ctx context.Context) bool {
	select {
	case order := <-ss.orders:
		order(ctx)
		return true
	default:
		return false
	}
}

func (ss *Session) sendOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-ss.orders:
			order(ctx)
		}
	}
}
