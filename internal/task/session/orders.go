package session

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	weir "greengageweir"
)

// Start orders a run. The intent must be committed.
func (ss *Session) Start(order weir.RunOrder) {
	ss.mu.Lock()
	ss.runs[order.RunKey] = &run{sentAt: ss.Clock.Now()}
	ss.mu.Unlock()
	if !ss.queue(func(ctx context.Context) { ss.sendStart(ctx, order) }) {
		ss.dropStart(order.RunKey)
	}
}

func (ss *Session) queue(order func(ctx context.Context)) bool {
	select {
	case ss.orders <- order:
		return true
	default:
		metrics.GetOrCreateCounter("weir_worker_orders_dropped_total").Inc()
		return false
	}
}

func (ss *Session) dropStart(key weir.RunKey) {
	ss.mu.Lock()
	if rn := ss.runs[key]; rn != nil {
		rn.dropped = true
	}
	ss.mu.Unlock()
	ss.OnChange()
}

func (ss *Session) sendStart(ctx context.Context, order weir.RunOrder) {
	ss.mu.Lock()
	rn := ss.runs[order.RunKey]
	skip := rn == nil || rn.unwanted || ss.otherLife || !ss.failingAt.IsZero()
	sentAt := ss.Clock.Now()
	if !skip {
		rn.sentAt = sentAt
		order.Token = ss.Token
		order.Until = ss.grant(sentAt)
	}
	ss.mu.Unlock()
	if skip {
		ss.dropStart(order.RunKey)
		return
	}
	if !ss.Leadership.Leads() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	ans, err := ss.Workers.Start(callCtx, ss.Worker, order)
	now := ss.Clock.Now()
	metrics.GetOrCreateHistogram("weir_worker_start_seconds").Update(now.Sub(sentAt).Seconds())
	ss.mu.Lock()
	if err == nil {
		rn.answered = now
		rn.refusal = ans.Refusal
		ss.basis(ans.Clock, sentAt)
	} else {
		// Without an answer the run is stopped before its task may run again.
		rn.sentAt = time.Time{}
	}
	ss.mu.Unlock()
	if err != nil || ans.Refusal != weir.RefusedNone {
		_ = ss.Logger.Log("level", "warn", "msg", "start not confirmed", "job", order.Task.Job, "task", order.Task,
			"run", order.RunKey.Run, "worker", ss.Worker.ID, "refusal", string(ans.Refusal), "err", err)
		ss.OnChange()
	}
}

// stop sends a stop, and again where it has shown no effect. It runs with the
// lock held.
func (ss *Session) stop(now time.Time, key weir.RunKey, rn *run) {
	if !rn.stopSent.IsZero() && now.Sub(rn.stopSent) < stopAgain {
		return
	}
	rn.stopSent = now
	ss.queue(func(ctx context.Context) {
		if !ss.Leadership.Leads() {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		ans, err := ss.Workers.Stop(callCtx, ss.Worker, key, ss.Token)
		if err == nil && ans.Refusal == weir.RefusedNone {
			ss.mu.Lock()
			rn.stopAcked = ss.Clock.Now()
			_, listed := ss.last.running[key]
			ss.mu.Unlock()
			if !listed {
				ss.look(ctx)
			}
			return
		}
		_ = ss.Logger.Log("level", "warn", "msg", "stop not confirmed", "job", key.Task.Job, "task", key.Task,
			"run", key.Run, "worker", ss.Worker.ID, "refusal", string(ans.Refusal), "err", err)
	})
}

// Throttle orders the share at which a run works.
func (ss *Session) Throttle(key weir.RunKey, percent int) {
	ss.queue(func(ctx context.Context) {
		if !ss.Leadership.Leads() {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		if _, err := ss.Workers.Throttle(callCtx, ss.Worker, key, percent, ss.Token); err != nil {
			_ = ss.Logger.Log("level", "warn", "msg", "pace not confirmed", "task", key.Task, "run", key.Run,
				"worker", ss.Worker.ID, "percent", percent, "err", err)
		}
	})
}

func (ss *Session) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case order := <-ss.orders:
			order(ctx)
		}
	}
}
