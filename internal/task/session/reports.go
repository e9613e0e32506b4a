package session

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	weir "greengageweir"
)

// errFenced is logged for a renewal that a later leader's orders have made invalid.
var errFenced = errors.New("renewal was fenced")

// renew sends one renewal, applies the report and waits until its new ends are
// committed. It reports whether the next renewal may follow without a delay.
func (ss *Session) renew(ctx context.Context) bool {
	ss.awaitStarts(ctx)
	answered, fresh := ss.RenewOnce(ctx)
	if fresh {
		ss.awaitCommit(ctx)
	}
	return answered
}

// awaitStarts waits up to ackPatience for the answers to starts, if ends are to be
// acknowledged.
func (ss *Session) awaitStarts(ctx context.Context) {
	for range ackPatience / ackPollInterval {
		if !ss.ackWithheld() || ctx.Err() != nil {
			return
		}
		sleep(ctx, ackPollInterval)
	}
}

// ackWithheld reports whether the worker lists ends that it cannot be told to forget yet.
func (ss *Session) ackWithheld() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.ackDue() && ss.startUnresolved()
}

// RenewOnce sends one renewal and applies the report. fresh is set if the report
// lists new ends. Run calls it; tests call it to make single steps.
func (ss *Session) RenewOnce(ctx context.Context) (answered, fresh bool) {
	if !ss.Leadership.IsLeader() {
		return false, false
	}
	ss.mu.Lock()
	if ss.closed {
		ss.mu.Unlock()
		return false, false
	}
	sentAt := ss.Clock.Now()
	order := weir.RenewOrder{Token: ss.token, Acknowledged: ss.acknowledgement(), Wait: renewWait}
	first := ss.clockSentAt.IsZero()
	leaseAnswered := func() {}
	switch {
	case first || !ss.unreachableSince.IsZero():
		// Grant no lease while the worker's clock is unknown or the worker is
		// unreachable. An unanswered renewal may have arrived, and each grant
		// would postpone the time at which the lease has certainly expired.
		order.Wait = 0
	case !ss.otherIncarnation:
		order.Until = ss.grantLease(sentAt)
		leaseAnswered = ss.Outstanding.LeaseSent(sentAt)
	}
	if order.Acknowledged > 0 {
		ss.unansweredAcks++
	}
	ss.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, order.Wait+renewGrace)
	defer cancel()
	rep, err := ss.Workers.Renew(callCtx, ss.Worker, order)
	if ctx.Err() != nil {
		return false, false
	}
	if err != nil {
		if errors.Is(err, weir.ErrNotSent) {
			leaseAnswered()
		}
		ss.renewFailed(err)
		return false, false
	}
	leaseAnswered()
	if rep.Fenced {
		return ss.renewalFenced(order.Token), false
	}
	if order.Acknowledged > 0 {
		ss.ackAnswered(order.Token)
	}
	fresh = ss.applyReport(sentAt, order.Acknowledged, rep)
	if fresh || first {
		ss.OnChange()
	}
	return true, fresh
}

// renewalFenced handles a renewal that the worker refused for its token. It reports
// whether the session has raised the token itself since it sent the renewal.
func (ss *Session) renewalFenced(token uint64) bool {
	if token == ss.currentToken() {
		ss.renewFailed(errFenced)
		return false
	}
	return true
}

// ackAnswered records that an acknowledgement with the given token was answered.
func (ss *Session) ackAnswered(token uint64) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if token == ss.token {
		ss.unansweredAcks--
	}
}

// requestReport requests a report without waiting for an end, while a renewal
// may still be held by the worker.
func (ss *Session) requestReport(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	token, sentAt := ss.currentToken(), ss.Clock.Now()
	rep, err := ss.Workers.Renew(callCtx, ss.Worker, weir.RenewOrder{Token: token})
	if err != nil {
		_ = ss.Logger.Log("level", "debug", "msg", "report request failed", "worker", ss.Worker.ID, "err", err)
		return
	}
	if rep.Fenced {
		return
	}
	ss.applyReport(sentAt, 0, rep)
	ss.OnChange()
}

func (ss *Session) renewFailed(err error) {
	metrics.GetOrCreateCounter("weir_worker_renewals_failed_total").Inc()
	ss.mu.Lock()
	first := ss.unreachableSince.IsZero()
	if first {
		ss.unreachableSince = ss.Clock.Now()
	}
	ss.mu.Unlock()
	if first {
		_ = ss.Logger.Log("level", "warn", "msg", "worker unreachable", "worker", ss.Worker.ID,
			"address", ss.Worker.Address, "err", err)
	}
	ss.OnChange()
}

// applyReport applies a report that was requested at sentAt with an
// acknowledgement. It returns true if the report lists new ends or comes from
// another incarnation.
func (ss *Session) applyReport(sentAt time.Time, acknowledged int64, rep weir.WorkerReport) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if ss.closed {
		return false
	}
	ss.orderAnswered()
	if rep.Incarnation != 0 && rep.Incarnation != ss.Worker.Incarnation {
		ss.markOtherIncarnation()
		return true
	}
	if ss.otherIncarnation && !sentAt.Before(ss.otherSeenAt) {
		// The clock was behind for another reason, such as a suspended worker. A report
		// that was requested before may be of the incarnation before.
		ss.otherIncarnation, ss.clockSentAt = false, time.Time{}
	}
	if ss.Restarted && !ss.answered {
		// It may have taken the longest lease from a late order right before. From now on
		// it takes none.
		ss.lateLeaseExpiry = ss.Outstanding.lateLeaseExpiry(ss.Clock.Now())
		ss.extendLeaseExpiry(ss.lateLeaseExpiry)
	}
	ss.answered = true
	ss.Outstanding.ReportRequested(sentAt)
	if len(rep.Ends) == 0 || rep.Ends[0].Number > acknowledged {
		ss.forgottenEnd = max(ss.forgottenEnd, acknowledged)
	}
	if !ss.unreachableSince.IsZero() {
		_ = ss.Logger.Log("level", "info", "msg", "worker reachable again", "worker", ss.Worker.ID)
		ss.unreachableSince = time.Time{}
	}
	ss.updateClock(rep.Clock, sentAt)
	fresh := ss.appendNewEnds(rep.Ends)
	if sentAt.Before(ss.lastReport.sentAt) {
		return fresh
	}
	ss.lastReport = report{sentAt: sentAt, recvAt: ss.Clock.Now(), running: make(map[weir.RunKey]weir.RunningTask, len(rep.Running)), complete: len(rep.Ends) < maxListedEnds}
	for _, rt := range rep.Running {
		ss.lastReport.running[rt.RunKey] = rt
		ss.Outstanding.StartAnswered(rt.RunKey)
		if rn := ss.runs[rt.RunKey]; rn != nil {
			rn.listedAt = ss.lastReport.recvAt
		}
	}
	return fresh
}

// appendNewEnds stores the new ends and reports whether there were any.
func (ss *Session) appendNewEnds(ends []weir.RunEnd) bool {
	fresh := false
	newest := ss.committedEnd
	if len(ss.ends) > 0 {
		newest = ss.ends[len(ss.ends)-1].Number
	}
	for _, en := range ends {
		if en.Number > newest {
			ss.ends = append(ss.ends, en)
			ss.Outstanding.StartAnswered(en.RunKey)
			newest = en.Number
			fresh = true
		}
	}
	return fresh
}

// markOtherIncarnation records that another incarnation responded. It may have taken
// the longest lease from orders that were meant for this one, whose clock was ahead.
// Call it with the lock held.
func (ss *Session) markOtherIncarnation() {
	if !ss.otherIncarnation {
		ss.raiseToken()
	}
	ss.otherIncarnation, ss.otherSeenAt = true, ss.Clock.Now()
	ss.otherExpiry = ss.otherSeenAt.Add(slowestSpan(ss.MaxLease))
}

// slowestClock returns the least that the worker's clock can show when it receives
// a message that was sent at the given time.
func (ss *Session) slowestClock(sentAt time.Time) time.Duration {
	return ss.workerClock + time.Duration(float64(sentAt.Sub(ss.clockRecvAt))*minClockRate) - clockTolerance
}

func (ss *Session) updateClock(clock time.Duration, sentAt time.Time) {
	if clock == 0 || sentAt.Before(ss.clockSentAt) {
		return
	}
	if !ss.clockSentAt.IsZero() && clock < ss.slowestClock(sentAt) {
		// The next incarnation counts its clock anew. It must get no
		// acknowledgement and no order that is meant for this one.
		ss.markOtherIncarnation()
		return
	}
	ss.workerClock, ss.clockSentAt, ss.clockRecvAt = clock, sentAt, ss.Clock.Now()
}

// awaitCommit waits up to commitWait until the listed ends are committed, so that
// the next renewal acknowledges them and does not return them again.
func (ss *Session) awaitCommit(ctx context.Context) {
	timer := time.NewTimer(commitWait)
	defer timer.Stop()
	for {
		ss.mu.Lock()
		committed := len(ss.ends) == 0
		ss.mu.Unlock()
		if committed {
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
