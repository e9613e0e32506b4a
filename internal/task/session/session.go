// Package session is a leader's dealing with one life of a worker: it renews
// the worker's lease, sends orders, takes the list of ends, and finds out what
// became of runs whose orders were not answered.
//
// A run is over for the session only if the worker listed its end, refused
// its start, or was told to stop it and then no longer listed it. An order
// without an answer may be carried out seconds later, so such a run is stopped
// by its number first: the worker then refuses it for good.
//
// Usage:
//
//	ss := &session.Session{Life: life, Token: term, Workers: calls, ...}
//	go ss.Run(ctx)
//	ss.Start(order)
//	ends := ss.Reconcile(now, placed) // to be committed, then
//	ss.Recorded(number)
package session

import (
	"context"
	"sync"
	"time"

	"greengageweir/internal/job/store"

	"github.com/go-kit/log"

	weir "greengageweir"
)

const (
	// orderTimeout is how long an order waits for its answer: many times a
	// round trip, well under the shortest objective of a job.
	orderTimeout = 400 * time.Millisecond
	// renewWait is how long a renewal may wait at the worker for an end; with
	// it a lease is renewed four times over in its length.
	renewWait = time.Second
	// renewGrace is how much later than renewWait a renewal's answer may come.
	renewGrace = 700 * time.Millisecond
	// retryPause separates renewals that fail.
	retryPause = 150 * time.Millisecond
	// stopAgain is when a stop that has shown no effect is sent again.
	stopAgain = 500 * time.Millisecond
	// recordWait bounds how long the next renewal waits for ends to be
	// recorded; after it the lease goes first.
	recordWait = 300 * time.Millisecond
	// clockSlack is how slow a worker's clock may be (2 %).
	clockSlack = 0.98
	// lapseMargin covers rounding and the worker's own reaction.
	lapseMargin = 100 * time.Millisecond
	// maxEnds is the length of a full list of ends; behind it there may be
	// ends that are not listed yet.
	maxEnds = 500
	// fullWork is the percent of a lasting task that is at work.
	fullWork = 100
	// senders is how many orders to one worker are under way at a time.
	senders = 3
	// orderSlots bounds the orders that wait; a worker holds far fewer tasks.
	orderSlots = 1024
)

// run is what the session knows of one run.
type run struct {
	// sentAt is when its start was handed over; zero where an earlier leader
	// or life did.
	sentAt   time.Time
	answered time.Time
	// listedAt is when a report that listed it arrived last.
	listedAt time.Time
	refusal  weir.Refusal
	// dropped says that its start was never sent.
	dropped   bool
	unwanted  bool
	stopSent  time.Time
	stopAcked time.Time
}

// report is the last answer to a renewal.
type report struct {
	sentAt  time.Time
	recvAt  time.Time
	running map[weir.RunKey]weir.RunningTask
	whole   bool
}

// Session deals with one life of a worker. Set the exported fields before Run.
type Session struct {
	Worker     weir.WorkerIncarnation
	Token      uint64
	Lease      time.Duration
	Workers    weir.TaskWorkers
	Leadership weir.Leadership
	Clock      weir.Clock
	Logger     log.Logger
	// PriorLeaseExpiry is when a lease that an earlier leader gave has surely lapsed.
	PriorLeaseExpiry time.Time
	// OnChange tells the owner that there is something to reconcile.
	OnChange func()

	mu       sync.Mutex
	runs     map[weir.RunKey]*run
	ends     []weir.RunEnd // those that are not recorded, oldest first
	recorded int64
	// recording says that ends handed out by Reconcile are being committed.
	// Others wait, so that the acknowledged number passes over none.
	recording bool
	wake      chan struct{}
	orders    chan func(ctx context.Context)
	last      report
	// basis pairs the worker's clock with ours.
	basisClock time.Duration
	basisSent  time.Time
	basisRecv  time.Time
	lapsesBy   time.Time
	failingAt  time.Time // since when renewals fail; zero while they do not
	otherLife  bool
}

// String is the step's name in logs.
func (ss *Session) String() string { return "session with " + string(ss.Worker.ID) }

// Default prepares the session.
func (ss *Session) Default() error {
	if ss.Logger == nil {
		ss.Logger = log.NewNopLogger()
	}
	ss.runs = map[weir.RunKey]*run{}
	ss.wake = make(chan struct{}, 1)
	ss.orders = make(chan func(ctx context.Context), orderSlots)
	ss.lapsesBy = ss.PriorLeaseExpiry
	return nil
}

// Run renews and sends until the context ends.
func (ss *Session) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	for range senders {
		wg.Go(func() { ss.send(ctx) })
	}
	for ctx.Err() == nil {
		if !ss.renew(ctx) {
			pause(ctx, retryPause)
		}
	}
	wg.Wait()
	return nil
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// grant returns a lease from now on and notes when it has surely lapsed. It
// runs with the lock held, before the order is sent.
func (ss *Session) grant(now time.Time) time.Duration {
	until := ss.basisClock + now.Sub(ss.basisSent) + ss.Lease
	lapse := ss.basisRecv.Add(time.Duration(float64(until-ss.basisClock)/clockSlack) + lapseMargin)
	if lapse.After(ss.lapsesBy) {
		ss.lapsesBy = lapse
	}
	return until
}

// EndsCommitted tells that the ends handed out by Reconcile are committed, those
// that the worker listed up to a number.
func (ss *Session) EndsCommitted(number int64) {
	ss.mu.Lock()
	ss.recording = false
	ss.recorded = max(ss.recorded, number)
	for len(ss.ends) > 0 && ss.ends[0].Number <= number {
		ss.ends = ss.ends[1:]
	}
	ss.mu.Unlock()
	select {
	case ss.wake <- struct{}{}:
	default:
	}
}

// EndsNotCommitted tells that ends handed out by Reconcile were not committed; the
// next call hands them out again.
func (ss *Session) EndsNotCommitted() {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.recording = false
}

// Usable reports whether the worker answers and its clock is known.
func (ss *Session) Usable() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return !ss.basisSent.IsZero() && ss.failingAt.IsZero() && !ss.otherLife
}

// Unreachable reports whether the worker does not answer.
func (ss *Session) Unreachable() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return !ss.failingAt.IsZero()
}

// LeaseExpired reports whether the worker does not answer and every lease that it
// was given has surely lapsed, so that nothing runs there any more.
func (ss *Session) LeaseExpired(now time.Time) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return !ss.failingAt.IsZero() && now.After(ss.lapsesBy)
}

// Running returns what the worker listed last, and when that arrived.
func (ss *Session) Running() (arrived time.Time, running []weir.RunningTask) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	running = make([]weir.RunningTask, 0, len(ss.last.running))
	for _, rt := range ss.last.running {
		running = append(running, rt)
	}
	return ss.last.recvAt, running
}

// AtFullSpeed reports whether the worker answers and lists a lasting task at full
// work.
func (ss *Session) AtFullSpeed(key weir.RunKey) bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	return ss.failingAt.IsZero() && ss.last.running[key].Percent >= fullWork
}

// PlacedRun is one run that the state holds to be at the worker.
type PlacedRun struct {
	Key weir.RunKey
	// Wanted is false where the run is to be stopped.
	Wanted bool
}

// Outcome is what Reconcile found to be recorded.
type Outcome struct {
	Ends []store.RunEnd
	// Number is the last listed end among them; it goes to Recorded once the
	// ends are committed.
	Number int64
	// Refused holds the workers' reasons, for placing elsewhere.
	Refused map[weir.RunKey]weir.Refusal
}

// Reconcile compares what the state holds to be at the worker with what the
// worker said. It returns ends to be committed and sends stops. It returns no
// more ends until Recorded or NotRecorded has told what became of them.
func (ss *Session) Reconcile(now time.Time, placed []PlacedRun) Outcome {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	out := Outcome{}
	ended := make(map[weir.RunKey]bool, len(ss.ends))
	for _, en := range ss.ends {
		ended[en.RunKey] = true
		if ss.recording {
			continue
		}
		out.Ends = append(out.Ends, store.RunEnd{Task: en.Task, Run: en.Run, Reason: store.EndReason(en.How), Checkpoint: en.Checkpoint})
		out.Number = en.Number
	}
	current := make(map[weir.RunKey]bool, len(placed))
	for _, pl := range placed {
		current[pl.Key] = true
		if !ended[pl.Key] {
			ss.reconcileRun(now, pl, &out)
		}
	}
	ss.recording = ss.recording || len(out.Ends) > 0
	ss.stopUnknown(now, current)
	for key := range ss.runs {
		if !current[key] {
			delete(ss.runs, key)
		}
	}
	return out
}

// reconcileRun decides on one run; see decide for the rules.
func (ss *Session) reconcileRun(now time.Time, pl PlacedRun, out *Outcome) {
	rn := ss.runs[pl.Key]
	if rn == nil {
		rn = &run{}
		ss.runs[pl.Key] = rn
	}
	rn.unwanted = !pl.Wanted
	_, listed := ss.last.running[pl.Key]
	vd := decide(now, *rn, ss.last, listed, pl.Wanted)
	if ss.recording && (vd == verdictRefused || vd == verdictLost) {
		return
	}
	switch vd {
	case verdictRefused:
		out.Ends = append(out.Ends, store.RunEnd{Task: pl.Key.Task, Run: pl.Key.Run, Reason: store.EndRefused})
		if out.Refused == nil {
			out.Refused = map[weir.RunKey]weir.Refusal{}
		}
		out.Refused[pl.Key] = rn.refusal
	case verdictLost:
		out.Ends = append(out.Ends, store.RunEnd{Task: pl.Key.Task, Run: pl.Key.Run, Reason: store.EndLost})
	case verdictStop:
		ss.stop(now, pl.Key, rn)
	case verdictWait:
	}
}

// stopUnknown stops what the worker runs and the state does not know there.
func (ss *Session) stopUnknown(now time.Time, current map[weir.RunKey]bool) {
	for key := range ss.last.running {
		if current[key] {
			continue
		}
		rn := ss.runs[key]
		if rn == nil {
			rn = &run{}
		}
		ss.stop(now, key, rn)
		ss.runs[key] = rn
		current[key] = true
	}
}
