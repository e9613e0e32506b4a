// Package handler handles calls about jobs, configuration, workers and waves. A
// process that is not the leader forwards them to the leader.
//
// Usage:
//
//	sv := &handler.Handler{Store: st, Committer: cm, Scheduler: sc, ...}
//	rep := sv.Handle(ctx, jobapi.Call{Kind: jobapi.GetState, Host: host, Path: path})
package handler

import (
	"context"
	"strings"
	"time"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/config/catalog"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/job/scheduler"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/job/teammetrics"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/member/links"
	"greengageweir/internal/state/node"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	weir "greengageweir"
)

const (
	// maxHops limits how often a call is forwarded, in case the leader changes
	// meanwhile.
	maxHops = 2
	// leaderPoll is the interval of checks for a leader, and leaderWait limits
	// the wait: workers and operators try another process after a second.
	leaderPoll = 40 * time.Millisecond
	leaderWait = 800 * time.Millisecond
	// retryUnavailable is the retry delay sent to callers while no leader is
	// reachable: about the duration of an election.
	retryUnavailable = time.Second
)

// LeaderTracker tracks the current leader.
type LeaderTracker interface {
	// LeaderID returns the id of the leader, or "" if none is known.
	LeaderID() string
}

// Handler implements jobapi.Handler. Set the exported fields before use.
type Handler struct {
	Self      string
	Store     *store.Store
	Committer *scheduler.Committer
	Scheduler *scheduler.Scheduler
	Leader    LeaderTracker
	Links     *links.Links
	Clock     weir.Clock
	Wall      weir.Clock
	Logger    log.Logger
	// Backlogs keeps what decisions about early refusals need; nil refuses no submit
	// for the backlog of its team.
	Backlogs *Backlogs
	// StateLimit limits the memory that the jobs need; nil does not.
	StateLimit *StateLimit
}

// Handle implements jobapi.Handler.
func (sv *Handler) Handle(ctx context.Context, call jobapi.Call) jobapi.Reply {
	begin := sv.Clock.Now()
	rep := sv.handle(ctx, call)
	took := sv.Clock.Now().Sub(begin)
	metrics.GetOrCreateHistogram(`weir_call_seconds{kind="` + string(call.Kind) + `"}`).Update(took.Seconds())
	if rep.Outcome != jobapi.OK || call.Kind == jobapi.Submit || call.Kind == jobapi.Cancel {
		level := "debug"
		// The process that received a call first logs that no leader was found.
		if rep.Outcome == jobapi.Invalid || rep.Outcome == jobapi.Refused || rep.Outcome == jobapi.Unauthorized ||
			rep.Outcome == jobapi.Unknown || (rep.Outcome == jobapi.Unavailable && call.Hops == 0) {
			level = "info"
		}
		_ = sv.Logger.Log("level", level, "msg", "call answered", "kind", string(call.Kind), "path", call.Path, "team", sv.callerTeam(call),
			"outcome", string(rep.Outcome), "reason", rep.Reason, "took", took.String(), "hops", call.Hops)
	}
	return rep
}

// handle does the part of a call that any process can do, and routes the rest to
// the leader.
func (sv *Handler) handle(ctx context.Context, call jobapi.Call) jobapi.Reply {
	if call.Hops == 0 {
		switch call.Kind {
		case jobapi.Announce:
			return sv.receiveAnnouncement(ctx, call)
		case jobapi.PutCatalog:
			return sv.receiveCatalog(ctx, call)
		case jobapi.GetCatalog:
			return sv.fetchCatalog(ctx, call)
		default:
		}
	}
	return sv.route(ctx, call)
}

// receiveAnnouncement answers an announcement without the leader if it repeats
// what is committed, and tells the worker to announce itself to this follower
// again.
func (sv *Handler) receiveAnnouncement(ctx context.Context, call jobapi.Call) jobapi.Reply {
	if sv.isFollower() && sv.announcementKnown(*call.Worker) {
		return jobapi.Reply{Outcome: jobapi.OK, AnnounceTo: sv.Self}
	}
	rep := sv.route(ctx, call)
	if rep.Outcome == jobapi.OK && sv.isFollower() {
		rep.AnnounceTo = sv.Self
	}
	return rep
}

// isFollower reports whether this process follows a known leader.
func (sv *Handler) isFollower() bool {
	leader := sv.Leader.LeaderID()
	return leader != "" && leader != sv.Self
}

// announcementKnown reports whether an announcement repeats what is committed.
func (sv *Handler) announcementKnown(ann jobapi.Announcement) bool {
	known := false
	sv.Store.Read(func(rd store.Reader) {
		wk, ok := rd.Worker(ann.ID)
		known = ok && wk.EqualIgnoringSequence(ann.Worker)
	})
	return known
}

// route handles a call if this process is the leader, and forwards it otherwise.
// It waits up to leaderWait for a leader, unless the call was forwarded here.
func (sv *Handler) route(ctx context.Context, call jobapi.Call) jobapi.Reply {
	until := sv.Clock.Now().Add(leaderWait)
	for {
		if sv.Scheduler.Ready() {
			rep := sv.handleAsLeader(ctx, call)
			rep.Leader = sv.Self
			return rep
		}
		leader := sv.Leader.LeaderID()
		if leader != "" && leader != sv.Self && call.Hops < maxHops {
			rep, sent := sv.forward(ctx, leader, call)
			if sent {
				return rep
			}
		}
		if !sv.Clock.Now().Before(until) || call.Hops > 0 {
			return jobapi.Reply{Outcome: jobapi.Unavailable, Reason: "no leader", RetryAfter: retryUnavailable}
		}
		timer := time.NewTimer(leaderPoll)
		select {
		case <-ctx.Done():
			timer.Stop()
			return jobapi.Reply{Outcome: jobapi.Unavailable, Reason: "no leader in time", RetryAfter: retryUnavailable}
		case <-timer.C:
		}
	}
}

// forward sends a call to the leader. It reports false if the call certainly had
// no effect and may be retried.
func (sv *Handler) forward(ctx context.Context, leader string, call jobapi.Call) (jobapi.Reply, bool) {
	call.Hops++
	var rep jobapi.Reply
	err := sv.Links.Call(ctx, leader, jobapi.CallMethod, call, &rep)
	switch {
	case err == nil && rep.Outcome == jobapi.Unavailable:
		return rep, false
	case err == nil:
		return rep, true
	case errkind.Is(err, peer.KindNotSent) || errkind.Is(err, links.KindNoPeer):
		return jobapi.Reply{}, false
	}
	return jobapi.Reply{Outcome: jobapi.Unknown, Reason: "no answer from the leader"}, true
}

// handleAsLeader handles a call on the leader.
func (sv *Handler) handleAsLeader(ctx context.Context, call jobapi.Call) jobapi.Reply {
	switch call.Kind {
	case jobapi.Submit:
		return sv.submit(ctx, call)
	case jobapi.GetState:
		return sv.jobState(call)
	case jobapi.Cancel:
		return sv.cancel(ctx, call)
	case jobapi.PutCatalog:
		return sv.putCatalog(ctx, call)
	case jobapi.GetCatalog:
		return sv.getCatalog(call)
	case jobapi.Announce:
		return sv.announce(ctx, call)
	case jobapi.Depart:
		return sv.depart(ctx, call)
	case jobapi.StartWave:
		return sv.startWave(ctx, call)
	case jobapi.GetWave:
		return sv.getWave(call)
	case jobapi.ListTeams:
		return sv.listTeams()
	}
	return jobapi.Reply{Outcome: jobapi.Invalid, Reason: "unknown kind of call"}
}

// commit commits a change, and returns the reply to the call if that fails.
func (sv *Handler) commit(ctx context.Context, ch store.Change) (store.Result, *jobapi.Reply) {
	ans, err := sv.Committer.Commit(ctx, ch)
	if err != nil {
		rep := commitFailure(err)
		return ans, &rep
	}
	return ans, nil
}

// commitFailure returns the reply for a failed commit: Unavailable if the change
// was certainly not committed, Unknown otherwise.
func commitFailure(err error) jobapi.Reply {
	if errkind.Is(err, scheduler.KindBusy) || errkind.Is(err, node.KindBusy) || errkind.Is(err, node.KindNotLeader) {
		return jobapi.Reply{Outcome: jobapi.Unavailable, Reason: err.Error(), RetryAfter: retryUnavailable}
	}
	return jobapi.Reply{Outcome: jobapi.Unknown, Reason: err.Error()}
}

// noCatalog is the reply while there is no configuration yet.
var noCatalog = jobapi.Reply{Outcome: jobapi.Unavailable, Reason: "no configuration yet", RetryAfter: retryUnavailable}

func (sv *Handler) submit(ctx context.Context, call jobapi.Call) jobapi.Reply {
	var rep *jobapi.Reply
	var team catalog.Team
	jb := *call.Job
	sv.Store.Read(func(rd store.Reader) {
		ct := rd.Catalog()
		qu, id, ok := jobapi.ResolveQueue(ct, call.Host, call.Path)
		switch {
		case ct.Version == 0:
			rep = &noCatalog
		case !ok:
			rep = &jobapi.Reply{Outcome: jobapi.NoQueue}
		default:
			jb.ID, jb.Queue = id, qu.Key()
			jb.Team, rep = authorize(rd, qu, call.Key)
			team, _ = rd.Team(jb.Team)
		}
		if rep != nil {
			return
		}
		known := rd.Job(id)
		switch {
		case id == "":
			rep = &jobapi.Reply{Outcome: jobapi.Invalid, Reason: "no job id"}
		case strings.ContainsRune(string(id), '.'):
			// Dots separate the parts of a task's name.
			rep = &jobapi.Reply{Outcome: jobapi.Invalid, Reason: "a job id has no dots"}
		case known != nil && !mayAccess(rd, qu, known, jb.Team):
			rep = &jobapi.Reply{Outcome: jobapi.Invalid, Reason: "id is in use"}
		case known != nil:
			rep = &jobapi.Reply{Outcome: jobapi.OK, Reason: "known", Phase: known.Phase}
		}
	})
	if rep != nil {
		return *rep
	}
	if err := jb.Check(); err != nil {
		return jobapi.Reply{Outcome: jobapi.Invalid, Reason: err.Error()}
	}
	if reason := widerThanCap(team, jb); reason != "" {
		teammetrics.CountRefusal(jb.Team, teammetrics.ReasonCap)
		return jobapi.Reply{Outcome: jobapi.Refused, Reason: reason}
	}
	if refused := sv.refuseForBacklog(&jb); refused != nil {
		return *refused
	}
	release, refused := sv.reserveState(&jb)
	if refused != nil {
		return *refused
	}
	defer release()
	if _, failed := sv.commit(ctx, store.Change{Submit: &jb}); failed != nil {
		return *failed
	}
	_ = sv.Logger.Log("level", "info", "msg", "job accepted", "job", jb.ID, "queue", jb.Queue, "team", jb.Team, "steps", len(jb.Steps),
		"tasks", jb.Tasks(), "lasting", jb.LongRunning(), "times", jb.OccurrenceCount)
	sv.Scheduler.Wake()
	return jobapi.Reply{Outcome: jobapi.OK, Phase: store.Queued}
}

// findJob returns the job that a call refers to, or the reply if there is none.
func findJob(rd store.Reader, call jobapi.Call) (*store.JobState, *jobapi.Reply) {
	ct := rd.Catalog()
	if ct.Version == 0 {
		return nil, &noCatalog
	}
	qu, id, ok := jobapi.ResolveQueue(ct, call.Host, call.Path)
	if !ok {
		return nil, &jobapi.Reply{Outcome: jobapi.NoQueue}
	}
	team, failed := authorize(rd, qu, call.Key)
	if failed != nil {
		return nil, failed
	}
	js := rd.Job(id)
	if js == nil || !mayAccess(rd, qu, js, team) {
		return nil, &jobapi.Reply{Outcome: jobapi.NoJob}
	}
	return js, nil
}

// jobState returns the phase of a job or, for a path without a job id, the number
// of pending jobs of the queue.
func (sv *Handler) jobState(call jobapi.Call) jobapi.Reply {
	var rep jobapi.Reply
	sv.Store.Read(func(rd store.Reader) {
		ct := rd.Catalog()
		if qu, id, ok := jobapi.ResolveQueue(ct, call.Host, call.Path); ok && id == "" {
			rep = jobapi.Reply{Outcome: jobapi.OK, Pending: rd.Pending(qu.Key())}
			if _, failed := authorize(rd, qu, call.Key); failed != nil {
				rep = *failed
			}
			return
		}
		js, failed := findJob(rd, call)
		if failed != nil {
			rep = *failed
			return
		}
		rep = jobapi.Reply{Outcome: jobapi.OK, Phase: js.Phase}
	})
	return rep
}

func (sv *Handler) cancel(ctx context.Context, call jobapi.Call) jobapi.Reply {
	var id spec.JobID
	var rep *jobapi.Reply
	sv.Store.Read(func(rd store.Reader) {
		js, failed := findJob(rd, call)
		switch {
		case failed != nil:
			rep = failed
		case js.Phase.Terminal() && (js.Cancelled || js.Placed == 0):
			rep = &jobapi.Reply{Outcome: jobapi.OK, Phase: js.Phase}
		default:
			id = js.Spec.ID
		}
	})
	if rep != nil {
		return *rep
	}
	if _, failed := sv.commit(ctx, store.Change{Cancel: &id}); failed != nil {
		return *failed
	}
	phase := store.Cancelled
	sv.Store.Read(func(rd store.Reader) {
		if js := rd.Job(id); js != nil {
			phase = js.Phase
		}
	})
	_ = sv.Logger.Log("level", "info", "msg", "job cancelled", "job", id, "phase", string(phase))
	sv.Scheduler.WakeJob(id)
	return jobapi.Reply{Outcome: jobapi.OK, Phase: phase}
}

// announce processes a worker's announcement and commits it if it changes the
// worker's state.
func (sv *Handler) announce(ctx context.Context, call jobapi.Call) jobapi.Reply {
	ann := call.Worker
	if !sv.poolKnown(ann.Worker) {
		_ = sv.Logger.Log("level", "info", "msg", "announcement rejected", "worker", ann.ID, "born", ann.Incarnation, "pool", ann.Pool,
			"address", ann.Address, "machine", ann.Machine, "reason", "no such pool")
		return jobapi.Reply{Outcome: jobapi.Invalid, Reason: "no such pool"}
	}
	if !sv.Scheduler.RecordAnnouncement(*ann, sv.Clock.Now()) {
		return jobapi.Reply{Outcome: jobapi.OK, Reason: "out of date"}
	}
	if sv.announcementKnown(*ann) {
		return jobapi.Reply{Outcome: jobapi.OK}
	}
	wk := ann.Worker
	results, err := sv.Committer.CommitEach(ctx, sv.Scheduler.JoinChanges(wk))
	if err != nil {
		return commitFailure(err)
	}
	joined := results[len(results)-1]
	_ = sv.Logger.Log("level", "info", "msg", "worker announced", "worker", wk.ID, "born", wk.Incarnation, "pool", wk.Pool,
		"address", wk.Address, "machine", wk.Machine, "rack", wk.Rack, "draining", wk.Draining, "taken", joined.Applied,
		"reason", joined.Reason)
	for _, res := range results {
		sv.Scheduler.HandleCrash(wk, res)
	}
	sv.Scheduler.Wake()
	return jobapi.Reply{Outcome: jobapi.OK, Reason: joined.Reason}
}

// poolKnown reports whether an announcement names a pool of the configuration, or the
// pool in which the worker is registered. Any other is not of a worker, and must not
// take the place of the one on its machine.
func (sv *Handler) poolKnown(wk store.Worker) bool {
	known := false
	sv.Store.Read(func(rd store.Reader) {
		ct := rd.Catalog()
		_, known = ct.PoolByName(wk.Pool)
		if registered, ok := rd.Worker(wk.ID); ok && registered.Pool == wk.Pool {
			known = true
		}
		known = known || ct.Version == 0 // workers may come before the first configuration
	})
	return known
}

// depart removes a worker that announced its shutdown.
func (sv *Handler) depart(ctx context.Context, call jobapi.Call) jobapi.Reply {
	known, err := sv.Scheduler.DeregisterWorker(ctx, call.Worker.ID)
	if err != nil {
		return commitFailure(err)
	}
	_ = sv.Logger.Log("level", "info", "msg", "worker departed", "worker", call.Worker.ID, "known", known)
	sv.Scheduler.Wake()
	return jobapi.Reply{Outcome: jobapi.OK}
}

func (sv *Handler) startWave(ctx context.Context, call jobapi.Call) jobapi.Reply {
	if call.Wave.Number == 0 || call.Wave.MaxParallel < 1 {
		return jobapi.Reply{Outcome: jobapi.Invalid, Reason: "a wave has a number and at least one machine at a time"}
	}
	if _, failed := sv.commit(ctx, store.Change{Wave: call.Wave}); failed != nil {
		return *failed
	}
	_ = sv.Logger.Log("level", "info", "msg", "wave accepted", "wave", call.Wave.Number,
		"machines", len(call.Wave.Machines), "atOnce", call.Wave.MaxParallel, "deadline", call.Wave.Deadline)
	sv.Scheduler.Wake()
	return jobapi.Reply{Outcome: jobapi.OK}
}

func (sv *Handler) getWave(call jobapi.Call) jobapi.Reply {
	rep := jobapi.Reply{Outcome: jobapi.NoJob}
	sv.Store.Read(func(rd store.Reader) {
		if wv := rd.Waves()[call.Number]; wv != nil {
			rep = jobapi.Reply{Outcome: jobapi.OK, Done: wv.AllStarted()}
		}
	})
	return rep
}
