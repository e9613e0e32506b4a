// Package owner is the leader's duty for jobs: it keeps a session with each
// worker, records ends, places tasks that are ready and stops what is not
// wanted. It works only while its process leads the replicated log; all that
// a later leader must know is in the log before it is acted on.
//
// Usage:
//
//	ow := &owner.Owner{Store: st, Committer: cm, Lead: nd, Workers: calls, ...}
//	go ow.Run(ctx)
package scheduler

import (
	"context"
	"sync"
	"time"

	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/duty/errkind"
	"greengageweir/internal/job/store"
	"greengageweir/internal/task/session"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	weir "greengageweir"
)

// Kind tells the errors of this package apart.
type Kind string

// The kinds of errors.
const (
	KindBusy     Kind = "too many changes wait"
	KindInternal Kind = "internal"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

const (
	// roundPause is the least time between two rounds of decisions, so that
	// events that come together are decided together. After a round that took
	// longer the pause is as long as the round, which leaves half of the
	// processor to orders and reports.
	roundPause = 3 * time.Millisecond
	// roundEvery is the longest time between two rounds.
	roundEvery = 100 * time.Millisecond
	// reconcileEvery is how often a worker without news is looked at, for orders
	// that have to be repeated: the shortest of their time-outs is 500 ms.
	reconcileEvery = 300 * time.Millisecond
	// followerPoll is how often a process looks whether it leads.
	followerPoll = 30 * time.Millisecond
	// leadSlack is how long after an election an earlier leader may still
	// give leases: it stops when it has not heard from a majority for an
	// election timeout, and a reply may have been under way.
	leadSlack = time.Second
)

// Leadership tells whether this process leads, and for sure.
type Leadership interface {
	weir.Leadership
	// Term returns the term that this process leads, 0 while it does not.
	Term() uint64
}

// Scheduler decides about tasks while its process leads. Set the exported fields
// before Run.
type Scheduler struct {
	Store      *store.Store
	Committer  *Committer
	Leadership Leadership
	Workers    weir.TaskWorkers
	// Machines may be nil where no platform can be asked for maintenance.
	Machines weir.MachinePlatform
	// MachineOrderRate is how many orders a second that platform takes; 0 is any.
	MachineOrderRate float64
	// Adviser may be nil where no queue needs advice.
	Adviser weir.Adviser
	// Clock is steady and counts time in which the machine stood still; Wall
	// tells the time of day.
	Clock  weir.Clock
	Wall   weir.Clock
	Logger log.Logger
	// Lease is how long a worker may go on without a renewal.
	Lease time.Duration
	// Retention is how long the state of an ended job can be asked for.
	Retention time.Duration
	// OnLeadershipChange is told when this process begins and ceases to lead; it may be nil.
	OnLeadershipChange func(leads bool)
	// HolderName names this process to the machines' platform.
	HolderName string
	// MachineOrderDelay is how long after an election no machine is ordered about.
	MachineOrderDelay time.Duration

	wake chan struct{}

	mu    sync.Mutex
	reign *reign // nil while another process leads
}

// reign is what a leader knows besides the replicated state.
type reign struct {
	term  uint64
	since time.Time
	// workersSeen is the store's count of changes of workers that the sessions
	// follow.
	workersSeen uint64
	sessions    map[weir.InstanceID]*attended
	// planning says that starts are being committed, which starting holds.
	planning bool
	starting map[weir.RunKey]bool
	// maintained is when machines were looked at last.
	maintained time.Time
	health     map[weir.InstanceID]*health
	avoid      map[weir.TaskRef]weir.InstanceID
	pace       map[weir.InstanceID]*paced
	machines   *machineDuty
	// evicted holds runs that are to be stopped, so that their tasks run
	// elsewhere.
	evicted map[weir.RunKey]bool
	// slow holds tasks that were stopped once for want of progress.
	slow map[weir.TaskRef]bool
	// advice holds what the adviser said; asking says that it is being asked.
	advice map[weir.TaskRef]*advised
	asking bool
	// watched holds the progress of runs.
	watched map[weir.RunKey]progress
}

// attended is a session with its goroutine.
type attended struct {
	ss     *session.Session
	worker store.Worker
	cancel context.CancelFunc
	// dirty says that there is news of the worker, reconciled is when it was
	// looked at last.
	dirty      bool
	reconciled time.Time
	// dropping says that the end of this life is being committed.
	dropping bool
	// announced is when the worker was last heard of.
	announced time.Time
	sequence  int64
}

// String is the step's name in logs.
func (ow *Scheduler) String() string { return "job owner" }

// Default checks the settings.
func (ow *Scheduler) Default() error {
	ow.wake = make(chan struct{}, 1)
	if ow.Logger == nil {
		ow.Logger = log.NewNopLogger()
	}
	if ow.Lease <= 0 || ow.Retention <= 0 {
		return &Error{Op: "default", Kind: KindInternal}
	}
	return nil
}

// Wake asks for a round of decisions soon; it never blocks.
func (ow *Scheduler) Wake() {
	select {
	case ow.wake <- struct{}{}:
	default:
	}
}

// Run decides whenever this process leads, until the context ends.
func (ow *Scheduler) Run(ctx context.Context) error {
	ticker := time.NewTicker(followerPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if term := ow.Leadership.Term(); term != 0 {
				ow.lead(ctx, term)
			}
		}
	}
}

// lead works for one term.
func (ow *Scheduler) lead(ctx context.Context, term uint64) {
	// An own entry that is applied shows that all earlier ones are.
	if _, err := ow.Committer.Commit(ctx, store.Change{}); err != nil || ow.Leadership.Term() != term {
		return
	}
	leadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	re := &reign{
		term: term, since: ow.Clock.Now(), sessions: map[weir.InstanceID]*attended{}, starting: map[weir.RunKey]bool{},
		health: map[weir.InstanceID]*health{}, avoid: map[weir.TaskRef]weir.InstanceID{},
		pace: map[weir.InstanceID]*paced{}, machines: newMachineDuty(ow.MachineOrderRate), evicted: map[weir.RunKey]bool{}, watched: map[weir.RunKey]progress{},
		slow: map[weir.TaskRef]bool{}, advice: map[weir.TaskRef]*advised{},
	}
	ow.setReign(re)
	defer ow.setReign(nil)
	if ow.OnLeadershipChange != nil {
		ow.OnLeadershipChange(true)
		defer ow.OnLeadershipChange(false)
	}
	_ = ow.Logger.Log("level", "info", "msg", "leads jobs", "term", term)
	ticker := time.NewTicker(roundEvery)
	defer ticker.Stop()
	all := true
	for ctx.Err() == nil && ow.Leadership.Term() == term {
		begin := ow.Clock.Now()
		ow.round(leadCtx, re, begin, all)
		took := ow.Clock.Now().Sub(begin)
		metrics.GetOrCreateHistogram("weir_job_round_seconds").Update(took.Seconds())
		time.Sleep(min(max(took, roundPause), roundEvery))
		select {
		case <-ctx.Done():
		case <-ow.wake:
			all = false
		case <-ticker.C:
			all = true
		}
	}
	_ = ow.Logger.Log("level", "info", "msg", "no longer leads jobs", "term", term)
}

func (ow *Scheduler) setReign(re *reign) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.reign = re
}

// Ready reports whether this process leads and holds all that earlier leaders
// have committed.
func (ow *Scheduler) Ready() bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	return ow.reign != nil && ow.Leadership.Leads()
}

// RecordAnnouncement notes that a worker announced itself. It reports false for word that
// is older than what is known.
func (ow *Scheduler) RecordAnnouncement(ann jobapi.Announcement, now time.Time) bool {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if ow.reign == nil {
		return true
	}
	at := ow.reign.sessions[ann.ID]
	if at == nil || at.worker.Incarnation < ann.Incarnation {
		return true
	}
	if at.worker.Incarnation > ann.Incarnation || at.sequence > ann.Sequence {
		return false
	}
	at.announced, at.sequence = now, ann.Sequence
	return true
}

// WakeJob asks for a round that looks at the workers where a job may run.
func (ow *Scheduler) WakeJob(id weir.JobID) {
	defer ow.Wake()
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if ow.reign == nil {
		return
	}
	ow.Store.Read(func(rd store.Reader) {
		js := rd.Job(id)
		if js == nil {
			return
		}
		for _, round := range js.Occurrences {
			for sp := range round {
				for ix := range round[sp].Tasks {
					if at := ow.reign.sessions[round[sp].Tasks[ix].Worker]; at != nil {
						at.dirty = true
					}
				}
			}
		}
	})
}

// round takes all decisions that can be taken now. With all set it looks also
// at what changes without news.
func (ow *Scheduler) round(ctx context.Context, re *reign, now time.Time, all bool) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	ow.attend(ctx, re, now)
	for id, at := range re.sessions {
		if at.dirty || (all && (at.ss.Unreachable() || now.Sub(at.reconciled) >= reconcileEvery)) {
			at.dirty, at.reconciled = false, now
			ow.reconcile(re, id, at, now)
		}
	}
	if all {
		ow.paceAll(re)
		ow.watch(re)
		ow.forget()
	}
	ow.orderMachines(ctx, re, now)
	// Machines are judged by what runs there, so not while starts are being
	// committed.
	if !re.planning && now.Sub(re.maintained) >= roundEvery {
		re.maintained = now
		ow.maintain(ctx, re, now)
	}
	ow.place(ctx, re, now)
}

// attend starts and ends sessions as workers come and go.
func (ow *Scheduler) attend(ctx context.Context, re *reign, now time.Time) {
	var present map[weir.InstanceID]store.Worker
	ow.Store.Read(func(rd store.Reader) {
		if rd.WorkerRevision() == re.workersSeen {
			return
		}
		re.workersSeen = rd.WorkerRevision()
		present = make(map[weir.InstanceID]store.Worker, len(re.sessions))
		rd.EachWorker(func(wk store.Worker) { present[wk.ID] = wk })
	})
	if present == nil {
		return
	}
	for id, at := range re.sessions {
		wk, ok := present[id]
		if ok && wk.Incarnation == at.worker.Incarnation && wk.Address == at.worker.Address {
			at.worker = wk
			continue
		}
		at.cancel()
		delete(re.sessions, id)
		if wk.Address != at.worker.Address {
			ow.Workers.Forget(at.worker.Address)
		}
	}
	for id, wk := range present {
		if re.sessions[id] == nil {
			re.sessions[id] = ow.open(ctx, re, wk, now)
		}
	}
}

func (ow *Scheduler) open(ctx context.Context, re *reign, wk store.Worker, now time.Time) *attended {
	ssCtx, cancel := context.WithCancel(ctx)
	at := &attended{worker: wk, cancel: cancel, announced: now}
	at.ss = &session.Session{
		Worker: weir.WorkerIncarnation{ID: wk.ID, Born: wk.Incarnation, Address: wk.Address},
		Token:  re.term, Lease: ow.Lease, Workers: ow.Workers, Leadership: ow.Leadership, Clock: ow.Clock, Logger: ow.Logger,
		PriorLeaseExpiry: re.since.Add(leadSlack + ow.Lease + ow.Lease/20),
	}
	at.ss.OnChange = func() { ow.changed(at) }
	if err := at.ss.Default(); err != nil {
		_ = ow.Logger.Log("level", "error", "msg", "session not opened", "worker", wk.ID, "err", err)
	}
	go func() { _ = at.ss.Run(ssCtx) }()
	return at
}

func (ow *Scheduler) changed(at *attended) {
	ow.mu.Lock()
	at.dirty = true
	ow.mu.Unlock()
	ow.Wake()
}

// reconcile records what became of the runs at one worker.
func (ow *Scheduler) reconcile(re *reign, id weir.InstanceID, at *attended, now time.Time) {
	if at.ss.LeaseExpired(now) {
		ow.dropWorker(re, at, now)
		return
	}
	var placed []session.PlacedRun
	ow.Store.Read(func(rd store.Reader) {
		for key := range rd.Runs(id) {
			if re.starting[key] {
				continue // committed, but not ordered yet
			}
			js := rd.Job(key.Task.Job)
			wanted := !js.Phase.Terminal() && !js.Task(key.Task).Done && !re.evicted[key] && js.GangComplete(key)
			placed = append(placed, session.PlacedRun{Key: key, Wanted: wanted})
		}
	})
	out := at.ss.Reconcile(now, placed)
	for key, reason := range out.Refused {
		ow.noteRefusal(re, id, key, reason, now)
	}
	if len(out.Ends) == 0 {
		return
	}
	ow.recordEnds(re, id, at, out, now)
}

const forgetBatch = 64

// forget drops jobs whose state need no longer be told.
func (ow *Scheduler) forget() {
	var ids []weir.JobID
	ow.Store.Read(func(rd store.Reader) { ids = rd.JobsEndedBefore(ow.Wall.Now().Add(-ow.Retention), forgetBatch) })
	if len(ids) > 0 {
		ow.Committer.Submit([]store.Change{{Forget: ids}}, func([]store.Result, error) {})
	}
}
