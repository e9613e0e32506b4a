// Package scheduler runs jobs while its process is the leader of the replicated
// log: it keeps a session with each worker, places ready tasks, records how runs
// end, stops runs that are no longer wanted, and schedules maintenance and moves
// of machines. Every decision that a later leader must know is committed to the
// log before it takes effect.
//
// Usage:
//
//	sc := &scheduler.Scheduler{Store: st, Committer: cm, Leadership: nd, Workers: calls, ...}
//	go sc.Run(ctx)
package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/job/store"
	"greengageweir/internal/task/session"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	KindBusy     Kind = "too many changes wait"
	KindInternal Kind = "internal"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	// minRoundInterval is the minimum pause between two scheduling rounds, so
	// that events that arrive together are handled in one round. After a longer
	// round the pause lasts as long as the round, which leaves half of a
	// processor for orders and reports.
	minRoundInterval = 3 * time.Millisecond
	// maxRoundInterval is the maximum time between two scheduling rounds.
	maxRoundInterval = 100 * time.Millisecond
	// reconcileInterval is how often a worker without changes is reconciled, so
	// that orders are sent again: the shortest of their timeouts is 500 ms.
	reconcileInterval = 300 * time.Millisecond
	// leadershipPollInterval is how often a process checks whether it leads.
	leadershipPollInterval = 30 * time.Millisecond
	// priorLeaderGrace is how long after an election an earlier leader may still
	// grant leases: it stops when it has not heard from a majority for an
	// election timeout, and a reply may have been in flight.
	priorLeaderGrace = time.Second
	// defaultMaxLease is used if MaxLease is not set.
	defaultMaxLease = 10 * time.Second
)

// TermLeadership reports whether this process is certain to lead, and in which
// term.
type TermLeadership interface {
	weir.Leadership
	// LeaderTerm returns the term in which this process leads, 0 if it does not
	// lead.
	LeaderTerm() uint64
}

// Scheduler places tasks on workers and orders machines while its process leads.
// Set the exported fields before Run.
type Scheduler struct {
	Store      *store.Store
	Committer  *Committer
	Leadership TermLeadership
	Workers    weir.TaskWorkers
	// Machines is the platform that maintains and moves machines; nil disables
	// maintenance and moves.
	Machines weir.MachinePlatform
	// MachineOrderRate is how many orders a second the platform accepts; 0 means
	// no limit.
	MachineOrderRate float64
	// Adviser issues placement tickets; nil if no queue needs them.
	Adviser weir.Adviser
	// Clock is monotonic and includes time in which the machine was suspended;
	// Wall is the time of day.
	Clock  weir.Clock
	Wall   weir.Clock
	Logger log.Logger
	// Lease is how long a worker may keep running tasks without a renewal.
	Lease time.Duration
	// MaxLease is the longest lease that workers accept; they shorten others.
	MaxLease time.Duration
	// Retention is how long the state of an ended job can be queried.
	Retention time.Duration
	// OnLeadershipChange is called when this process gains or loses leadership;
	// it may be nil.
	OnLeadershipChange func(leads bool)
	// LeaseHolder identifies this process to the machine platform.
	LeaseHolder string
	// MachineOrderDelay is how long after an election, or after an earlier
	// leader's order for a machine, this leader sends that machine no order.
	MachineOrderDelay time.Duration

	wake chan struct{}
	// background runs a function that waits for a response, and runSession a
	// session; nil means a goroutine. Tests set them to make single steps.
	background func(wait func())
	runSession func(ctx context.Context, ss *session.Session)

	mu     sync.Mutex
	leader *leaderState // nil while another process leads
}

// leaderState is the state that a leader keeps in memory for one term, in addition
// to the replicated state.
type leaderState struct {
	term  uint64
	since time.Time
	// workersRevision is the store's count of worker changes that the sessions
	// reflect.
	workersRevision uint64
	sessions        map[weir.InstanceID]*workerSession
	// tokens counts the fencing tokens that were used with each id, and outstanding
	// holds the unanswered orders to it, across its sessions.
	tokens      map[weir.InstanceID]*atomic.Uint64
	outstanding map[weir.InstanceID]*session.Outstanding
	// committingStarts is set while the run starts in pendingStarts are being
	// committed.
	committingStarts bool
	pendingStarts    map[weir.RunKey]bool
	// maintenanceCheckedAt is when waves and moves were last evaluated.
	maintenanceCheckedAt time.Time
	health               map[weir.InstanceID]*health
	avoidWorker          map[weir.TaskRef]weir.InstanceID
	throttles            map[weir.InstanceID]*throttle
	machines             *machineState
	// evicted holds runs to stop so that their tasks are rescheduled elsewhere.
	evicted map[weir.RunKey]bool
	// stoppedSlow holds tasks of which a run was stopped for lack of progress.
	stoppedSlow map[weir.TaskRef]bool
	// advice caches the adviser's responses by step; adviceInFlight is set while
	// a request to it is in flight.
	advice         map[weir.TaskRef]*adviceEntry
	adviceInFlight bool
	// runProgress holds the observed progress of the current runs.
	runProgress map[weir.RunKey]progress
	rounds      roundLoad
}

// workerSession is the session with one incarnation of a worker.
type workerSession struct {
	session *session.Session
	worker  store.Worker
	cancel  context.CancelFunc
	// dirty is set if the worker has changes to reconcile; reconciledAt is when
	// it was last reconciled.
	dirty        atomic.Bool
	reconciledAt time.Time
	// removalInFlight is set while the end of this incarnation is being
	// committed.
	removalInFlight bool
	// restartRecorded is set once it is, or is being, committed that another incarnation
	// has answered, settledRecorded that no lease from an order to another one is left.
	restartRecorded, settledRecorded bool
	// lapseRecorded is set once it is committed that the worker's leases have expired.
	lapseRecorded bool
	// keptUntil is until when the worker was last found to be kept for runs whose starts
	// were not answered.
	keptUntil time.Time
	// announcedAt is when the worker last announced itself, sequence the number
	// of that announcement.
	announcedAt time.Time
	sequence    int64
}

// String returns the component's name for logs.
func (sc *Scheduler) String() string { return "job scheduler" }

// Default sets defaults and validates the settings.
func (sc *Scheduler) Default() error {
	sc.wake = make(chan struct{}, 1)
	if sc.Logger == nil {
		sc.Logger = log.NewNopLogger()
	}
	if sc.MaxLease == 0 {
		sc.MaxLease = defaultMaxLease
	}
	if sc.Lease <= 0 || sc.Retention <= 0 {
		return &Error{Op: "default", Kind: KindInternal}
	}
	return nil
}

// Wake triggers a scheduling round soon; it never blocks.
func (sc *Scheduler) Wake() {
	select {
	case sc.wake <- struct{}{}:
	default:
	}
}

// inBackground runs a function that waits for a response.
func (sc *Scheduler) inBackground(wait func()) {
	if sc.background != nil {
		sc.background(wait)
		return
	}
	go wait()
}

// Run schedules whenever this process leads, until the context ends.
func (sc *Scheduler) Run(ctx context.Context) error {
	ticker := time.NewTicker(leadershipPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if term := sc.Leadership.LeaderTerm(); term != 0 {
				sc.runTerm(ctx, term)
			}
		}
	}
}

// runTerm runs scheduling rounds until the term ends.
func (sc *Scheduler) runTerm(ctx context.Context, term uint64) {
	// Once an entry of this term is applied, all earlier entries are applied too.
	if _, err := sc.Committer.Commit(ctx, store.Change{}); err != nil || sc.Leadership.LeaderTerm() != term {
		return
	}
	leadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ls := sc.newLeaderState(term)
	sc.setLeader(ls)
	defer sc.setLeader(nil)
	if sc.OnLeadershipChange != nil {
		sc.OnLeadershipChange(true)
		defer sc.OnLeadershipChange(false)
	}
	_ = sc.Logger.Log("level", "info", "msg", "leads jobs", "term", term)
	ticker := time.NewTicker(maxRoundInterval)
	defer ticker.Stop()
	all := true
	for ctx.Err() == nil && sc.Leadership.LeaderTerm() == term {
		begin := sc.Clock.Now()
		sc.round(leadCtx, ls, begin, all)
		took := sc.Clock.Now().Sub(begin)
		metrics.GetOrCreateHistogram("weir_job_round_seconds").Update(took.Seconds())
		ls.rounds.add(took)
		time.Sleep(min(max(took, minRoundInterval), maxRoundInterval))
		select {
		case <-ctx.Done():
		case <-sc.wake:
			all = false
		case <-ticker.C:
			all = true
		}
	}
	_ = sc.Logger.Log("level", "info", "msg", "no longer leads jobs", "term", term)
}

func (sc *Scheduler) newLeaderState(term uint64) *leaderState {
	return &leaderState{
		term: term, since: sc.Clock.Now(), sessions: map[weir.InstanceID]*workerSession{}, pendingStarts: map[weir.RunKey]bool{},
		health: map[weir.InstanceID]*health{}, avoidWorker: map[weir.TaskRef]weir.InstanceID{},
		throttles: map[weir.InstanceID]*throttle{}, machines: newMachineState(sc.MachineOrderRate), evicted: map[weir.RunKey]bool{}, runProgress: map[weir.RunKey]progress{},
		stoppedSlow: map[weir.TaskRef]bool{}, advice: map[weir.TaskRef]*adviceEntry{},
	}
}

func (sc *Scheduler) setLeader(ls *leaderState) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.leader = ls
}

// Ready reports whether this process leads and has applied everything that
// earlier leaders committed. It has not if it lost its term and leads in a later one
// already, of which it has applied no entry yet.
func (sc *Scheduler) Ready() bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.leader != nil && sc.leadsTerm(sc.leader.term)
}

// RecordAnnouncement records that a worker announced itself at the time now. It
// reports false if a newer announcement of the worker is known.
func (sc *Scheduler) RecordAnnouncement(ann jobapi.Announcement, now time.Time) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.leader == nil {
		return true
	}
	ws := sc.leader.sessions[ann.ID]
	if ws == nil || ws.worker.Incarnation < ann.Incarnation {
		return true
	}
	if ws.worker.Incarnation > ann.Incarnation || ws.sequence > ann.Sequence {
		return false
	}
	ws.announcedAt, ws.sequence = now, ann.Sequence
	return true
}

// WakeJob triggers a scheduling round that reconciles the workers on which a job
// may run.
func (sc *Scheduler) WakeJob(id weir.JobID) {
	defer sc.Wake()
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.leader == nil {
		return
	}
	sc.Store.Read(func(rd store.Reader) {
		js := rd.Job(id)
		if js == nil {
			return
		}
		for _, steps := range js.Occurrences {
			for sp := range steps {
				for ix := range steps[sp].Tasks {
					if ws := sc.leader.sessions[steps[sp].Tasks[ix].Worker]; ws != nil {
						ws.dirty.Store(true)
					}
				}
			}
		}
	})
}

// round runs one scheduling round. If all is set, it also checks what changes
// with time alone: repeated orders, run progress, speed limits and expired jobs.
func (sc *Scheduler) round(ctx context.Context, ls *leaderState, now time.Time, all bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.syncSessions(ctx, ls, now)
	sc.Store.Read(ls.forgetEnded)
	for id, ws := range ls.sessions {
		if ws.dirty.Swap(false) || (all && (ws.session.Unreachable() || now.Sub(ws.reconciledAt) >= reconcileInterval)) {
			ws.reconciledAt = now
			sc.reconcile(ls, id, ws, now)
		}
	}
	if all {
		sc.throttleAll(ls)
		sc.checkProgress(ls)
		sc.purgeExpiredJobs()
		sc.reportLoad(ls, now)
	}
	sc.orderMachines(ctx, ls, now)
	// Maintenance and moves depend on the runs at each machine, which are not
	// known while starts are being committed.
	if !ls.committingStarts && now.Sub(ls.maintenanceCheckedAt) >= maxRoundInterval {
		ls.maintenanceCheckedAt = now
		sc.updateMachines(ctx, ls, now)
	}
	sc.placeTasks(ctx, ls, now)
}

// forgetEnded drops the evicted runs whose end is recorded. Until then they count as
// unavailable.
func (ls *leaderState) forgetEnded(rd store.Reader) {
	for key := range ls.evicted {
		js := rd.Job(key.Task.Job)
		if js == nil {
			delete(ls.evicted, key)
		} else if tk := js.Task(key.Task); tk == nil || tk.Run != key.Run || !tk.Placed() {
			delete(ls.evicted, key)
		}
	}
}

// syncSessions opens and closes sessions to match the registered workers.
func (sc *Scheduler) syncSessions(ctx context.Context, ls *leaderState, now time.Time) {
	var present map[weir.InstanceID]store.Worker
	sc.Store.Read(func(rd store.Reader) {
		if rd.WorkerRevision() == ls.workersRevision {
			return
		}
		ls.workersRevision = rd.WorkerRevision()
		present = make(map[weir.InstanceID]store.Worker, len(ls.sessions))
		rd.EachWorker(func(wk store.Worker) { present[wk.ID] = wk })
	})
	if present == nil {
		return
	}
	restarted := map[weir.InstanceID]bool{}
	for id, ws := range ls.sessions {
		wk, ok := present[id]
		restarted[id] = ok && wk.Incarnation > ws.worker.Incarnation
		if ok && wk.Incarnation == ws.worker.Incarnation && wk.Address == ws.worker.Address {
			ws.worker = wk
			continue
		}
		ws.cancel()
		ws.session.Retire()
		delete(ls.sessions, id)
		if !ok && replaced(ws.worker, present) {
			delete(ls.outstanding, id)
		}
		ls.forgetAdvice(id)
		if wk.Address != ws.worker.Address {
			sc.Workers.Forget(ws.worker.Address)
		}
	}
	for id, wk := range present {
		if ls.sessions[id] == nil {
			ls.sessions[id] = sc.openSession(ctx, ls, wk, now)
		}
		if restarted[id] {
			sc.markEarlierRuns(ls, id, now)
		}
	}
	for id, od := range ls.outstanding {
		if ls.sessions[id] == nil && od.Over(now) {
			delete(ls.outstanding, id)
		}
	}
}

// markEarlierRuns tells the session with a worker that has started again which runs only
// its former incarnation can have begun: those whose starts were answered, or never sent.
func (sc *Scheduler) markEarlierRuns(ls *leaderState, id weir.InstanceID, now time.Time) {
	sc.Store.Read(func(rd store.Reader) {
		for key := range rd.WorkerRuns(id) {
			if !ls.pendingStarts[key] && !ls.outstanding[id].Holds(key) {
				ls.sessions[id].session.BegunEarlier(now, key)
			}
		}
	})
}

// replaced reports whether another worker has the machine or the address of a worker that
// is gone, which then cannot start again.
func replaced(gone store.Worker, present map[weir.InstanceID]store.Worker) bool {
	for _, wk := range present {
		if wk.Address == gone.Address || gone.Machine != "" && wk.Machine == gone.Machine {
			return true
		}
	}
	return false
}

// outstandingOf returns the unanswered orders to a worker's id. The first time in a term,
// these are the starts of earlier leaders that are not known to be answered, and other
// orders of theirs that grant a lease. It reports whether it was the first time.
func (sc *Scheduler) outstandingOf(ls *leaderState, id weir.InstanceID) (od *session.Outstanding, first bool) {
	if od = ls.outstanding[id]; od != nil {
		return od, false
	}
	od = session.NewOutstanding(sc.MaxLease)
	lastSent := ls.since.Add(priorLeaderGrace)
	od.LeaseSent(lastSent)
	sc.Store.Read(func(rd store.Reader) {
		for key := range rd.WorkerRuns(id) {
			if !rd.Job(key.Task.Job).Task(key.Task).Answered {
				od.StartSent(key, lastSent)
			}
		}
	})
	if ls.outstanding == nil {
		ls.outstanding = map[weir.InstanceID]*session.Outstanding{}
	}
	ls.outstanding[id] = od
	return od, true
}

// doubtfulTasks returns the tasks of which an order to a worker that does not respond may
// still begin a run, or may have begun one that is not over.
func (ls *leaderState) doubtfulTasks(now time.Time) map[weir.TaskRef]bool {
	doubtful := map[weir.TaskRef]bool{}
	for id, od := range ls.outstanding {
		if ws := ls.sessions[id]; ws == nil || ws.session.Unreachable() {
			od.DoubtfulTasks(now, doubtful)
		}
	}
	return doubtful
}

func (sc *Scheduler) openSession(ctx context.Context, ls *leaderState, wk store.Worker, now time.Time) *workerSession {
	ssCtx, cancel := context.WithCancel(ctx)
	ws := &workerSession{worker: wk, cancel: cancel, announcedAt: now}
	od, first := sc.outstandingOf(ls, wk.ID)
	nextToken := ls.tokenSource(wk.ID)
	longest := sc.Lease
	if wk.Restarted && first {
		// It may hold the longest lease from an order that was meant for another
		// incarnation, until an earlier leader had its first answer.
		longest = max(sc.Lease, sc.MaxLease)
	}
	ws.session = &session.Session{
		Worker: weir.WorkerIncarnation{ID: wk.ID, Incarnation: wk.Incarnation, Address: wk.Address},
		Token:  nextToken(), NextToken: nextToken, Outstanding: od, Restarted: wk.Restarted,
		Lease: sc.Lease, MaxLease: sc.MaxLease, Workers: sc.Workers, Leadership: sc.Leadership, Clock: sc.Clock, Logger: sc.Logger,
		PriorLeaseExpiry: ls.since.Add(priorLeaderGrace + longest + longest/20),
	}
	ws.session.OnChange = func() { sc.markDirty(ws) }
	if err := ws.session.Default(); err != nil {
		_ = sc.Logger.Log("level", "error", "msg", "cannot open worker session", "worker", wk.ID, "err", err)
	}
	if sc.runSession != nil {
		sc.runSession(ssCtx, ws.session)
	} else {
		go func() { _ = ws.session.Run(ssCtx) }()
	}
	return ws
}

// tokenBits is the number of bits of a fencing token that count the leader's tokens for
// one id. The bits above them hold the term.
const tokenBits = 32

// tokenSource returns a function that returns a higher fencing token for a worker's id
// with each call, and 0 once there is none left in this term.
func (ls *leaderState) tokenSource(id weir.InstanceID) func() uint64 {
	if ls.tokens == nil {
		ls.tokens = map[weir.InstanceID]*atomic.Uint64{}
	}
	count := ls.tokens[id]
	if count == nil {
		count = &atomic.Uint64{}
		ls.tokens[id] = count
	}
	return func() uint64 {
		next := count.Add(1)
		if next >= 1<<tokenBits {
			return 0
		}
		return ls.term<<tokenBits | next
	}
}

// recordRestart commits that another incarnation of a worker has answered, so that a
// later leader knows that it may hold the longest lease, and when that is over.
func (sc *Scheduler) recordRestart(ws *workerSession, now time.Time) {
	switch {
	case ws.session.OtherIncarnation():
		sc.submitRestart(ws, false, &ws.restartRecorded)
		ws.settledRecorded = false
	case ws.worker.Restarted && ws.session.HoldsNoLateLease(now):
		sc.submitRestart(ws, true, &ws.settledRecorded)
		ws.restartRecorded = false
	}
}

func (sc *Scheduler) submitRestart(ws *workerSession, settled bool, recorded *bool) {
	if *recorded {
		return
	}
	change := store.Change{Restart: &store.WorkerRestart{ID: ws.worker.ID, Incarnation: ws.worker.Incarnation, Settled: settled}}
	*recorded = sc.Committer.Submit([]store.Change{change}, func(_ []store.Result, err error) {
		sc.mu.Lock()
		*recorded = err == nil
		sc.mu.Unlock()
	})
}

// recordAnswers commits that the starts of runs were answered, so that a later leader
// need not wait for them.
func (sc *Scheduler) recordAnswers(id weir.InstanceID, keys []weir.RunKey) {
	if len(keys) > 0 {
		sc.Committer.Submit([]store.Change{{Answer: &store.RunsAnswered{Worker: id, Runs: keys}}}, func([]store.Result, error) {})
	}
}

// markDirty triggers a round that reconciles a worker. It takes no lock, since a
// session also calls it while the scheduler holds its own.
func (sc *Scheduler) markDirty(ws *workerSession) {
	ws.dirty.Store(true)
	sc.Wake()
}

// reconcile compares the runs placed at one worker with the worker's reports and
// records the runs that ended.
func (sc *Scheduler) reconcile(ls *leaderState, id weir.InstanceID, ws *workerSession, now time.Time) {
	if ws.session.LeaseExpired(now) {
		sc.removeExpiredWorker(ls, ws, now)
		return
	}
	var placed []session.PlacedRun
	sc.Store.Read(func(rd store.Reader) {
		for key := range rd.WorkerRuns(id) {
			if ls.pendingStarts[key] {
				continue // committed, but not ordered yet
			}
			js := rd.Job(key.Task.Job)
			placed = append(placed, session.PlacedRun{Key: key, Wanted: js.Wants(key) && !ls.evicted[key], Answered: js.Task(key.Task).Answered})
		}
	})
	ws.lapseRecorded = false
	sc.recordRestart(ws, now)
	out := ws.session.Reconcile(now, placed)
	sc.recordAnswers(id, out.Answered)
	for key, reason := range out.Refused {
		sc.handleRefusal(ls, id, key, reason, now)
	}
	if len(out.Ends) == 0 {
		return
	}
	sc.recordEnds(ls, id, ws, out, now)
}

// purgeBatch limits the jobs removed in one round.
const purgeBatch = 64

// purgeExpiredJobs removes ended jobs whose retention has passed.
func (sc *Scheduler) purgeExpiredJobs() {
	var ids []weir.JobID
	sc.Store.Read(func(rd store.Reader) { ids = rd.JobsEndedBefore(sc.Wall.Now().Add(-sc.Retention), purgeBatch) })
	if len(ids) > 0 {
		sc.Committer.Submit([]store.Change{{Forget: ids}}, func([]store.Result, error) {})
	}
}
