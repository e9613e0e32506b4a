// Package session manages a leader's session with one incarnation of a worker:
// it renews the worker's lease, sends orders, collects the ends of runs, and
// determines the state of runs whose orders were not answered.
//
// A run counts as over only if the worker listed its end, refused its start,
// or does not list it after it confirmed the start or stop or listed the run.
// An unanswered order may be executed seconds later, so such a run is first
// stopped by its number, after which the worker refuses to start it.
//
// Usage:
//
//	ss := &session.Session{Worker: incarnation, Token: term, Workers: client, ...}
//	go ss.Run(ctx)
//	ss.Start(order)
//	out := ss.Reconcile(now, placed)
//	// Commit out.Ends, then:
//	ss.EndsCommitted(out.Number)
package session

import (
	"context"
	"slices"
	"sync"
	"time"

	"greengageweir/internal/job/store"

	"github.com/go-kit/log"

	weir "greengageweir"
)

const (
	// orderTimeout bounds the wait for the response to an order. It is many
	// round trips long and well below the shortest deadline objective of a job.
	orderTimeout = 400 * time.Millisecond
	// renewWait is how long the worker may hold a renewal until a run ends
	// (long polling). A lease is renewed four times within its duration.
	renewWait = time.Second
	// renewGrace is added to renewWait as the timeout of a renewal.
	renewGrace = 700 * time.Millisecond
	// retryDelay is the delay after a failed renewal.
	retryDelay = 150 * time.Millisecond
	// stopRetryInterval is the minimum time between two stop orders for a run.
	stopRetryInterval = 500 * time.Millisecond
	// commitWait bounds how long the next renewal waits for ends to be
	// committed. After it, renewing the lease takes precedence.
	commitWait = 300 * time.Millisecond
	// minClockRate is the slowest rate of a worker's clock: 2 % slow.
	minClockRate = 0.98
	// leaseExpiryMargin covers rounding and the worker's reaction time.
	leaseExpiryMargin = 100 * time.Millisecond
	// clockTolerance covers rounding of the worker's clock and pauses between
	// reading and sending it.
	clockTolerance = 500 * time.Millisecond
	// maxListedEnds is the length of a full list of ends. The worker may have
	// more ends that do not fit in it.
	maxListedEnds = 500
	// fullSpeed is the percentage that a long-running task reports at full speed.
	fullSpeed = 100
	// crashSpan is how long before a worker falls silent a run may have been
	// started that crashed it. A silent worker is noticed within a renewal.
	crashSpan = 2 * time.Second
	// silenceLimit is how long a start may be unanswered before the worker gets no further
	// ones until it answers. Each of them would have to be waited for.
	silenceLimit = 100 * time.Millisecond
	// ackPatience is how long a renewal waits for the answers to starts, to acknowledge
	// ends. The worker responds at once to one that leaves out the acknowledgement.
	ackPatience = 150 * time.Millisecond
	// ackPollInterval is how often such a renewal looks for them.
	ackPollInterval = 5 * time.Millisecond
	// answerRecordDelay is how long after its start was answered a run is recorded as
	// answered, if it is still on the worker. Most runs are over by then.
	answerRecordDelay = 2 * time.Second
	// answerRecordRetry is the minimum time between two attempts to record that.
	answerRecordRetry = time.Second
	// concurrentOrders is the number of orders in flight to one worker.
	concurrentOrders = 3
	// orderQueueLength bounds the queued orders. A start beyond it is not sent, and
	// its task is placed again.
	orderQueueLength = 1024
)

// runState is what the session knows about one run.
type runState struct {
	// sentAt is when the start order was queued or sent. It is zero if an
	// earlier leader or session sent it, or if it was not answered.
	sentAt     time.Time
	answeredAt time.Time
	// byNext is set if the next incarnation answered the start order.
	byNext bool
	// brokenAt is when the connection broke on which the start order was sent and
	// not answered.
	brokenAt time.Time
	// listedAt is when the last report that lists the run arrived.
	listedAt time.Time
	refusal  weir.Refusal
	// notSent is set if the start order was never sent.
	notSent     bool
	unwanted    bool
	stopSentAt  time.Time
	stopAckedAt time.Time
	// abandoned is set if the run was declared over without the worker.
	abandoned bool
	// recordAskedAt is when the caller was last asked to record that the start was
	// answered.
	recordAskedAt time.Time
}

// answerToRecord reports whether it is time to record that the start was answered.
func (rn *runState) answerToRecord(now time.Time) bool {
	at := rn.listedAt
	if !rn.answeredAt.IsZero() && rn.refusal == weir.RefusedNone && !rn.byNext {
		at = rn.answeredAt
	}
	return !at.IsZero() && now.Sub(at) >= answerRecordDelay && now.Sub(rn.recordAskedAt) >= answerRecordRetry
}

// report is the worker's response to a renewal.
type report struct {
	sentAt  time.Time
	recvAt  time.Time
	running map[weir.RunKey]weir.RunningTask
	// complete is set if the list of ends was not truncated.
	complete bool
}

// Session manages one incarnation of a worker. Set the exported fields before
// Run.
type Session struct {
	Worker weir.WorkerIncarnation
	// Token is the first fencing token of the session, 0 if there is none left. It is
	// higher than those of earlier leaders and of earlier sessions with the same id: once
	// the worker has answered, it refuses late orders that were meant for an earlier
	// incarnation. The session raises its token when another incarnation has answered, for
	// the same reason, and before a start that follows an unanswered acknowledgement.
	Token uint64
	// NextToken returns a token that is higher than all before it with the same id, 0 if
	// there is none left. It must not block; nil means that tokens count on from Token.
	NextToken func() uint64
	// Outstanding holds the unanswered orders to the worker's id; nil means a set of
	// the session's own.
	Outstanding *Outstanding
	// Restarted says that an earlier incarnation had the same id. Until the worker
	// has answered, it may take orders that were meant for that one.
	Restarted bool
	// Lease is the duration of a lease, MaxLease the longest one that a worker
	// accepts.
	Lease    time.Duration
	MaxLease time.Duration
	Workers  weir.TaskWorkers
	// Leadership is checked before orders are sent.
	Leadership weir.Leadership
	Clock      weir.Clock
	Logger     log.Logger
	// PriorLeaseExpiry is when every lease that an earlier leader granted has
	// certainly expired.
	PriorLeaseExpiry time.Time
	// OnChange is called when there is something new to reconcile. It must not
	// block or take a lock, since it is also called within Start.
	OnChange func()

	mu           sync.Mutex
	runs         map[weir.RunKey]*runState
	ends         []weir.RunEnd // not committed yet, oldest first
	committedEnd int64
	// unansweredAcks counts the acknowledgements with the present token that were not
	// answered, or not yet.
	unansweredAcks int
	// token is the present token. exhausted is set if no higher one is left.
	token     uint64
	exhausted bool
	// unansweredSince is when the first start after the worker's last answer was sent; zero
	// if there is none.
	unansweredSince time.Time
	// forgottenEnd is the number up to which the worker has confirmed to have
	// forgotten its ends.
	forgottenEnd int64
	// committing is set while ends returned by Reconcile are being committed.
	// Reconcile returns no others meanwhile, so that the acknowledged number
	// never skips an end that is not committed.
	committing bool
	wake       chan struct{}
	orders     chan func(ctx context.Context)
	lastReport report
	// answered is set once the worker has answered a renewal. lateLeaseExpiry is until
	// when it may then hold a lease from an order to an earlier incarnation.
	answered        bool
	lateLeaseExpiry time.Time
	// workerClock was read between clockSentAt and clockRecvAt, local time.
	workerClock time.Duration
	clockSentAt time.Time
	clockRecvAt time.Time
	leaseExpiry time.Time
	// otherExpiry is when a lease of the longest duration, counted from the last answer
	// of another incarnation, has expired.
	otherExpiry      time.Time
	unreachableSince time.Time // start of failing renewals, else zero
	otherIncarnation bool
	// otherSeenAt is when otherIncarnation was last set.
	otherSeenAt time.Time
	// closed is set once the worker's removal has been decided.
	closed bool
}

// String returns the component's name in logs.
func (ss *Session) String() string { return "session with " + string(ss.Worker.ID) }

// Default initializes the session.
func (ss *Session) Default() error {
	if ss.Logger == nil {
		ss.Logger = log.NewNopLogger()
	}
	ss.runs = map[weir.RunKey]*runState{}
	ss.wake = make(chan struct{}, 1)
	ss.orders = make(chan func(ctx context.Context), orderQueueLength)
	ss.token = ss.Token
	ss.exhausted = ss.Token == 0 && ss.NextToken != nil
	if ss.Outstanding == nil {
		ss.Outstanding = NewOutstanding(ss.MaxLease)
	}
	ss.leaseExpiry = ss.PriorLeaseExpiry
	ss.extendLeaseExpiry(ss.Outstanding.inherited())
	return nil
}

// Run renews the lease and sends queued orders until the context ends.
func (ss *Session) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range concurrentOrders {
		wg.Go(func() { ss.sendOrders(ctx) })
	}
	for ctx.Err() == nil {
		if !ss.renew(ctx) {
			sleep(ctx, retryDelay)
		}
	}
	wg.Wait()
	return nil
}

func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// grantLease returns the end of a new lease on the worker's clock and records
// the local time at which it has certainly expired. Call it with the lock held
// and before the order is sent.
func (ss *Session) grantLease(now time.Time) time.Duration {
	until := ss.workerClock + now.Sub(ss.clockSentAt) + ss.Lease
	ss.extendLeaseExpiry(ss.clockRecvAt.Add(slowestSpan(until - ss.workerClock)))
	return until
}

// extendLeaseExpiry records that a lease may last until the given local time.
func (ss *Session) extendLeaseExpiry(expiry time.Time) {
	if expiry.After(ss.leaseExpiry) {
		ss.leaseExpiry = expiry
	}
}

// slowestSpan returns how long a span on the worker's clock can take.
func slowestSpan(span time.Duration) time.Duration {
	return time.Duration(float64(span)/minClockRate) + leaseExpiryMargin
}

// acknowledgement returns the number of the last end that the worker may forget, 0
// if it has forgotten all of them or must not be told now. The number is sent no more
// often than needed: a worker that starts again under its id counts its ends anew, and
// would forget ends that nobody has seen. It is therefore not sent while a start is
// unresolved, whose run the next incarnation may have. A start that follows an unanswered
// acknowledgement has a higher token, so that an incarnation with its run refuses the
// acknowledgement. Call it with the lock held.
func (ss *Session) acknowledgement() int64 {
	if !ss.ackDue() || ss.startUnresolved() {
		return 0
	}
	return ss.committedEnd
}

// ackDue reports whether the worker lists ends that it may forget.
func (ss *Session) ackDue() bool {
	return ss.committedEnd > ss.forgottenEnd && !ss.otherIncarnation
}

// startUnresolved reports whether the start of a run that is placed at the worker is
// outstanding. It is resolved once the worker has confirmed a stop.
func (ss *Session) startUnresolved() bool {
	if ss.Outstanding.noStarts() {
		return false
	}
	for key, rn := range ss.runs {
		if rn.stopAckedAt.IsZero() && ss.Outstanding.Holds(key) {
			return true
		}
	}
	return false
}

// raiseToken makes the next orders carry a higher token. It reports false if there is
// none left. Call it with the lock held.
func (ss *Session) raiseToken() bool {
	next := ss.token + 1
	if ss.NextToken != nil {
		next = ss.NextToken()
	}
	if next == 0 {
		ss.exhausted = true
		return false
	}
	ss.token, ss.unansweredAcks = next, 0
	return true
}

// EndsCommitted reports that the ends returned by Reconcile are committed. The
// number is that of the last end listed by the worker among them.
func (ss *Session) EndsCommitted(number int64) {
	ss.mu.Lock()
	ss.committing = false
	ss.committedEnd = max(ss.committedEnd, number)
	for len(ss.ends) > 0 && ss.ends[0].Number <= number {
		ss.ends = ss.ends[1:]
	}
	ss.mu.Unlock()
	select {
	case ss.wake <- struct{}{}:
	default:
	}
}

// EndsNotCommitted reports that the ends returned by Reconcile were not
// committed. The next call of Reconcile returns them again.
func (ss *Session) EndsNotCommitted() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.committing = false
}

// currentToken returns the fencing token of the next order.
func (ss *Session) currentToken() uint64 {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.token
}

// Usable reports whether the worker responds and its clock is known.
func (ss *Session) Usable() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return !ss.closed && !ss.exhausted && !ss.clockSentAt.IsZero() && ss.unreachableSince.IsZero() && !ss.otherIncarnation && !ss.silent()
}

// silent reports whether the worker has left a start unanswered for silenceLimit and
// has answered nothing since. Call it with the lock held.
func (ss *Session) silent() bool {
	return !ss.unansweredSince.IsZero() && ss.Clock.Now().Sub(ss.unansweredSince) > silenceLimit
}

// startSent records that a start was sent, orderAnswered that the worker has answered any
// order. Call them with the lock held.
func (ss *Session) startSent(now time.Time) {
	if ss.unansweredSince.IsZero() {
		ss.unansweredSince = now
	}
}

func (ss *Session) orderAnswered() { ss.unansweredSince = time.Time{} }

// OtherIncarnation reports whether another incarnation answered last.
func (ss *Session) OtherIncarnation() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.otherIncarnation
}

// Unreachable reports whether renewals fail.
func (ss *Session) Unreachable() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return !ss.unreachableSince.IsZero()
}

// Close ends the session for good: no lease is granted and no run is started any
// more. It must precede the change that declares the worker's runs lost, since a
// worker that responds again before the change is committed would get a new lease.
func (ss *Session) Close() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.closed = true
}

// LeaseExpired reports whether the worker is unreachable and every lease granted
// to it has certainly expired, so that nothing runs there any more but what an
// outstanding order has begun; see Outstanding.
func (ss *Session) LeaseExpired(now time.Time) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.closed || ss.leaseExpired(now)
}

func (ss *Session) leaseExpired(now time.Time) bool {
	return !ss.unreachableSince.IsZero() && now.After(ss.leaseExpiry) && now.After(ss.otherExpiry)
}

// Abandon returns those of the given runs that are certainly over, if the worker's lease
// has expired. Their starts are not sent any more.
func (ss *Session) Abandon(now time.Time, keys []weir.RunKey) []weir.RunKey {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	if !ss.leaseExpired(now) {
		return nil
	}
	var over []weir.RunKey
	for _, key := range keys {
		if ss.Outstanding.OverAt(key.Task).After(now) {
			continue
		}
		rn := ss.runs[key]
		if rn == nil {
			rn = &runState{}
			ss.runs[key] = rn
		}
		rn.abandoned = true
		over = append(over, key)
	}
	return over
}

// BegunEarlier records that a run was begun by a former incarnation, so that it is over
// once a report of this one does not list it.
func (ss *Session) BegunEarlier(now time.Time, key weir.RunKey) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.runs[key] = &runState{answeredAt: now}
}

// Retire closes the session in favor of the next one with the same id.
func (ss *Session) Retire() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.closed = true
	ss.Outstanding.retain(ss.leaseExpiry)
}

// HoldsNoLateLease reports whether the worker has answered, and any lease that it may
// have taken before from an order to an earlier incarnation has expired.
func (ss *Session) HoldsNoLateLease(now time.Time) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.answered && !ss.otherIncarnation && now.After(ss.otherExpiry) && now.After(ss.lateLeaseExpiry)
}

// Running returns the running tasks of the last report and its arrival time.
func (ss *Session) Running() (arrived time.Time, running []weir.RunningTask) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	running = make([]weir.RunningTask, 0, len(ss.lastReport.running))
	for _, rt := range ss.lastReport.running {
		running = append(running, rt)
	}
	return ss.lastReport.recvAt, running
}

// Checkpoint returns the checkpoint of a run in the last report, "" if there is none.
func (ss *Session) Checkpoint(key weir.RunKey) string {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.lastReport.running[key].Checkpoint
}

// RecentStarts returns the wanted runs that the worker has not listed as ended and
// that were started no longer than crashSpan before it fell silent: those that it
// confirmed, and those whose orders may have arrived before the connection broke.
func (ss *Session) RecentStarts() (confirmed, unconfirmed []weir.RunKey) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	recent := func(at time.Time) bool {
		return !at.IsZero() && (ss.unreachableSince.IsZero() || ss.unreachableSince.Sub(at) <= crashSpan)
	}
	for key, rn := range ss.runs {
		if rn.unwanted || slices.ContainsFunc(ss.ends, func(en weir.RunEnd) bool { return en.RunKey == key }) {
			continue
		}
		switch {
		case recent(rn.sentAt) && !rn.answeredAt.IsZero() && !rn.byNext && rn.refusal == weir.RefusedNone:
			confirmed = append(confirmed, key)
		case recent(rn.brokenAt):
			unconfirmed = append(unconfirmed, key)
		}
	}
	return confirmed, unconfirmed
}

// AtFullSpeed reports whether the worker is reachable and its last report lists
// a long-running task at full speed.
func (ss *Session) AtFullSpeed(key weir.RunKey) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.unreachableSince.IsZero() && ss.lastReport.running[key].Percent >= fullSpeed
}

// PlacedRun is a run that is placed at the worker according to the job state.
type PlacedRun struct {
	Key weir.RunKey
	// Wanted is false if the run must be stopped.
	Wanted bool
	// Answered is set if it is recorded that the start was answered.
	Answered bool
}

// Outcome holds the ends to commit after a reconciliation.
type Outcome struct {
	Ends []store.RunEnd
	// Number is that of the last end in Ends that the worker listed. Pass it
	// to EndsCommitted once the ends are committed.
	Number int64
	// Refused holds the reasons of refused starts, used to place runs elsewhere.
	Refused map[weir.RunKey]weir.Refusal
	// Answered holds the runs to record as answered.
	Answered []weir.RunKey
}

// Reconcile compares the runs placed at the worker with the worker's reports.
// It returns ends to commit and queues stop orders. It returns no further ends
// until EndsCommitted or EndsNotCommitted is called.
func (ss *Session) Reconcile(now time.Time, placed []PlacedRun) Outcome {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	out := Outcome{}
	ended := make(map[weir.RunKey]bool, len(ss.ends))
	for _, en := range ss.ends {
		ended[en.RunKey] = true
		if ss.committing {
			continue
		}
		out.Ends = append(out.Ends, store.RunEnd{Task: en.Task, Run: en.Run, Reason: store.ReportedEnd(en.Reason), Checkpoint: en.Checkpoint})
		out.Number = en.Number
	}
	current := make(map[weir.RunKey]bool, len(placed))
	for _, pl := range placed {
		current[pl.Key] = true
		if !ended[pl.Key] {
			ss.reconcileRun(now, pl, &out)
		}
	}
	ss.committing = ss.committing || len(out.Ends) > 0
	ss.stopUnknown(now, current)
	for key := range ss.runs {
		if !current[key] {
			delete(ss.runs, key)
		}
	}
	return out
}

// reconcileRun applies the decision on one run; see decide.
func (ss *Session) reconcileRun(now time.Time, pl PlacedRun, out *Outcome) {
	rn := ss.runs[pl.Key]
	if rn == nil {
		rn = &runState{}
		ss.runs[pl.Key] = rn
	}
	rn.unwanted = !pl.Wanted
	if rn.answerToRecord(now) && !pl.Answered {
		rn.recordAskedAt = now
		out.Answered = append(out.Answered, pl.Key)
	}
	_, listed := ss.lastReport.running[pl.Key]
	dec := decide(now, *rn, ss.lastReport, listed, pl.Wanted)
	if dec == decisionLost && ss.listsEarlierRun(pl.Key) {
		dec = decisionWait // the earlier run is stopped first
	}
	if ss.committing && (dec == decisionRefused || dec == decisionLost) {
		return
	}
	switch dec {
	case decisionRefused:
		out.Ends = append(out.Ends, store.RunEnd{Task: pl.Key.Task, Run: pl.Key.Run, Reason: store.EndRefused})
		if out.Refused == nil {
			out.Refused = map[weir.RunKey]weir.Refusal{}
		}
		out.Refused[pl.Key] = rn.refusal
	case decisionLost:
		// This incarnation has ended the run, or refuses it by its number from now on.
		ss.Outstanding.RunStopped(pl.Key)
		out.Ends = append(out.Ends, store.RunEnd{Task: pl.Key.Task, Run: pl.Key.Run, Reason: store.EndLost})
	case decisionStop:
		ss.stop(now, pl.Key, rn)
	case decisionWait:
	}
}

// listsEarlierRun reports whether the worker lists an earlier run of a run's task, whose
// start it has carried out late.
func (ss *Session) listsEarlierRun(key weir.RunKey) bool {
	for other := range ss.lastReport.running {
		if other.Task == key.Task && other.Run < key.Run {
			return true
		}
	}
	return false
}

// stopUnknown stops the runs that the worker lists but that are not placed there.
func (ss *Session) stopUnknown(now time.Time, current map[weir.RunKey]bool) {
	for key := range ss.lastReport.running {
		if current[key] {
			continue
		}
		rn := ss.runs[key]
		if rn == nil {
			rn = &runState{}
		}
		ss.stop(now, key, rn)
		ss.runs[key] = rn
		current[key] = true
	}
}
