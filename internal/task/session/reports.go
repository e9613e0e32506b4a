package session

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	weir "greengageweir"
)

// renew sends one renewal, takes its answer and waits until its ends are
// recorded. It reports whether the next one may follow at once.
func (ss *Session) renew(ctx context.Context) bool {
	answered, fresh := ss.renewOnce(ctx)
	if fresh {
		ss.awaitRecorded(ctx)
	}
	return answered
}

// renewOnce sends one renewal and takes its answer; fresh says that it listed
// new ends.
func (ss *Session) renewOnce(ctx context.Context) (answered, fresh bool) {
	if !ss.Leadership.Leads() {
		return false, false
	}
	ss.mu.Lock()
	sentAt := ss.Clock.Now()
	order := weir.RenewOrder{Token: ss.Token, Acknowledged: ss.recorded, Wait: renewWait}
	first := ss.basisSent.IsZero()
	if first || !ss.failingAt.IsZero() {
		// No lease on a clock that is not known, and none to a worker that does
		// not answer: it may have arrived all the same, and would put off for
		// ever the time when nothing runs there any more.
		order.Wait = 0
	} else {
		order.Until = ss.grant(sentAt)
	}
	ss.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, order.Wait+renewGrace)
	defer cancel()
	rep, err := ss.Workers.Renew(callCtx, ss.Worker, order)
	if ctx.Err() != nil {
		return false, false
	}
	if err != nil {
		ss.renewFailed(err)
		return false, false
	}
	fresh = ss.takeReport(sentAt, rep)
	if fresh || first {
		ss.OnChange()
	}
	return true, fresh
}

// look asks for a report at once, while a renewal may still wait for an end.
func (ss *Session) look(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	ss.mu.Lock()
	order := weir.RenewOrder{Token: ss.Token, Acknowledged: ss.recorded}
	ss.mu.Unlock()
	sentAt := ss.Clock.Now()
	rep, err := ss.Workers.Renew(callCtx, ss.Worker, order)
	if err != nil {
		_ = ss.Logger.Log("level", "debug", "msg", "look not answered", "worker", ss.Worker.ID, "err", err)
		return
	}
	ss.takeReport(sentAt, rep)
	ss.OnChange()
}

func (ss *Session) renewFailed(err error) {
	metrics.GetOrCreateCounter("weir_worker_renewals_failed_total").Inc()
	ss.mu.Lock()
	first := ss.failingAt.IsZero()
	if first {
		ss.failingAt = ss.Clock.Now()
	}
	ss.mu.Unlock()
	if first {
		_ = ss.Logger.Log("level", "warn", "msg", "worker does not answer", "worker", ss.Worker.ID,
			"address", ss.Worker.Address, "err", err)
	}
	ss.OnChange()
}

// takeReport stores a report and reports whether it has new ends.
func (ss *Session) takeReport(sentAt time.Time, rep weir.WorkerReport) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if rep.Born != 0 && rep.Born != ss.Worker.Born {
		ss.otherLife = true
		return true
	}
	if !ss.failingAt.IsZero() {
		_ = ss.Logger.Log("level", "info", "msg", "worker answers again", "worker", ss.Worker.ID)
		ss.failingAt = time.Time{}
	}
	ss.basis(rep.Clock, sentAt)
	fresh := ss.takeEnds(rep.Ends)
	if sentAt.Before(ss.last.sentAt) {
		return fresh
	}
	ss.last = report{sentAt: sentAt, recvAt: ss.Clock.Now(), running: make(map[weir.RunKey]weir.RunningTask, len(rep.Running)), whole: len(rep.Ends) < maxEnds}
	for _, rt := range rep.Running {
		ss.last.running[rt.RunKey] = rt
		if rn := ss.runs[rt.RunKey]; rn != nil {
			rn.listedAt = ss.last.recvAt
		}
	}
	return fresh
}

// takeEnds keeps the ends that are new and reports whether there were any.
func (ss *Session) takeEnds(ends []weir.RunEnd) bool {
	fresh := false
	newest := ss.recorded
	if len(ss.ends) > 0 {
		newest = ss.ends[len(ss.ends)-1].Number
	}
	for _, en := range ends {
		if en.Number > newest {
			ss.ends = append(ss.ends, en)
			newest = en.Number
			fresh = true
		}
	}
	return fresh
}

func (ss *Session) basis(clock time.Duration, sentAt time.Time) {
	if clock == 0 || sentAt.Before(ss.basisSent) {
		return
	}
	ss.basisClock, ss.basisSent, ss.basisRecv = clock, sentAt, ss.Clock.Now()
}

// awaitRecorded waits until the ends of the last report are recorded, so that
// the next renewal acknowledges them and does not return them again.
func (ss *Session) awaitRecorded(ctx context.Context) {
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	for {
		ss.mu.Lock()
		settled := len(ss.ends) == 0
		ss.mu.Unlock()
		if settled {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-ss.wake:
		}
	}
}
