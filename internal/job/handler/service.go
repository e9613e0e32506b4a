// Package service answers calls about jobs, configuration, workers and waves.
// A process that does not lead passes them on to the one that does.
//
// Usage:
//
//	sv := &service.Service{Store: st, Committer: cm, Owner: ow, ...}
//	rep := sv.Handle(ctx, jobapi.Call{Kind: jobapi.State, Host: host, Path: path})
package handler

import (
	"context"
	"time"

	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/duty/errkind"
	"greengageweir/internal/job/scheduler"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/member/links"
	"greengageweir/internal/state/node"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	weir "greengageweir"
)

const (
	// maxHops bounds the forwarding of a call while a new leader is elected.
	maxHops = 2
	// leaderPoll separates looks for a leader, and leaderWait bounds them:
	// workers and operators ask another process after a second.
	leaderPoll = 40 * time.Millisecond
	leaderWait = 800 * time.Millisecond
	// retryUnavailable is when a caller may try again while no leader can be
	// reached: about the time of an election.
	retryUnavailable = time.Second
)

// LeaderTracker tells who leads.
type LeaderTracker interface {
	// LeaderID returns the process that leads, "" where none is known.
	LeaderID() string
}

// Handler answers calls. Set the exported fields before use.
type Handler struct {
	Self      string
	Store     *store.Store
	Committer *scheduler.Committer
	Owner     *scheduler.Scheduler
	Leader    LeaderTracker
	Links     *links.Links
	Clock     weir.Clock
	Wall      weir.Clock
	Logger    log.Logger
}

// Handle implements jobapi.Handler.
func (sv *Handler) Handle(ctx context.Context, call jobapi.Call) jobapi.Reply {
	begin := sv.Clock.Now()
	rep := sv.handle(ctx, call)
	took := sv.Clock.Now().Sub(begin)
	metrics.GetOrCreateHistogram(`weir_call_seconds{kind="` + string(call.Kind) + `"}`).Update(took.Seconds())
	if rep.Outcome != jobapi.OK || call.Kind == jobapi.Submit || call.Kind == jobapi.Cancel {
		level := "debug"
		// A forwarded call that found no leader is logged where it came in.
		if rep.Outcome == jobapi.Invalid || rep.Outcome == jobapi.Refused || rep.Outcome == jobapi.Unknown ||
			(rep.Outcome == jobapi.Unavailable && call.Hops == 0) {
			level = "info"
		}
		_ = sv.Logger.Log("level", level, "msg", "call answered", "kind", string(call.Kind), "path", call.Path,
			"outcome", string(rep.Outcome), "reason", rep.Reason, "took", took.String(), "hops", call.Hops)
	}
	return rep
}

// handle does what a call needs where it comes in; the rest is the leader's.
func (sv *Handler) handle(ctx context.Context, call jobapi.Call) jobapi.Reply {
	if call.Hops == 0 {
		switch call.Kind {
		case jobapi.Announce:
			return sv.takeAnnouncement(ctx, call)
		case jobapi.PutCatalog:
			return sv.takeCatalog(ctx, call)
		case jobapi.GetCatalog:
			return sv.readCatalog(ctx, call)
		default:
		}
	}
	return sv.dispatch(ctx, call)
}

// takeAnnouncement spares the leader what a follower knows to be committed, and
// keeps the worker's next announcements here.
func (sv *Handler) takeAnnouncement(ctx context.Context, call jobapi.Call) jobapi.Reply {
	if sv.follows() && sv.known(*call.Worker) {
		return jobapi.Reply{Outcome: jobapi.OK, AnnounceTo: sv.Self}
	}
	rep := sv.dispatch(ctx, call)
	if rep.Outcome == jobapi.OK && sv.follows() {
		rep.AnnounceTo = sv.Self
	}
	return rep
}

// follows reports whether this process follows a leader that it hears.
func (sv *Handler) follows() bool {
	leader := sv.Leader.LeaderID()
	return leader != "" && leader != sv.Self
}

// known reports whether a worker's word about itself is nothing new.
func (sv *Handler) known(ann jobapi.Announcement) bool {
	known := false
	sv.Store.Read(func(rd store.Reader) {
		wk, ok := rd.Worker(ann.ID)
		known = ok && wk.EqualIgnoringSequence(ann.Worker)
	})
	return known
}

// dispatch answers a call as the leader, or passes it on to the one that leads.
func (sv *Handler) dispatch(ctx context.Context, call jobapi.Call) jobapi.Reply {
	until := sv.Clock.Now().Add(leaderWait)
	for {
		if sv.Owner.Ready() {
			rep := sv.answer(ctx, call)
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

// forward passes a call on. It reports false where the call certainly had no
// effect and may be tried again.
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

// answer answers a call as the leader.
func (sv *Handler) answer(ctx context.Context, call jobapi.Call) jobapi.Reply {
	switch call.Kind {
	case jobapi.Submit:
		return sv.submit(ctx, call)
	case jobapi.GetState:
		return sv.state(call)
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
	}
	return jobapi.Reply{Outcome: jobapi.Invalid, Reason: "unknown kind of call"}
}

// commit makes a change and returns what to reply where that fails.
func (sv *Handler) commit(ctx context.Context, ch store.Change) (store.Result, *jobapi.Reply) {
	ans, err := sv.Committer.Commit(ctx, ch)
	if err != nil {
		rep := failure(err)
		return ans, &rep
	}
	return ans, nil
}

// failure is the reply to a call whose change was not committed, or perhaps
// not.
func failure(err error) jobapi.Reply {
	if errkind.Is(err, scheduler.KindBusy) || errkind.Is(err, node.KindBusy) || errkind.Is(err, node.KindNotLeader) {
		return jobapi.Reply{Outcome: jobapi.Unavailable, Reason: err.Error(), RetryAfter: retryUnavailable}
	}
	return jobapi.Reply{Outcome: jobapi.Unknown, Reason: err.Error()}
}

// noCatalog is the answer before the first configuration.
var noCatalog = jobapi.Reply{Outcome: jobapi.Unavailable, Reason: "no configuration yet", RetryAfter: retryUnavailable}

func (sv *Handler) submit(ctx context.Context, call jobapi.Call) jobapi.Reply {
	var rep *jobapi.Reply
	jb := *call.Job
	sv.Store.Read(func(rd store.Reader) {
		ct := rd.Catalog()
		qu, id, ok := jobapi.ResolveQueue(ct, call.Host, call.Path)
		switch {
		case ct.Version == 0:
			rep = &noCatalog
		case !ok:
			rep = &jobapi.Reply{Outcome: jobapi.NoQueue}
		case id == "":
			rep = &jobapi.Reply{Outcome: jobapi.Invalid, Reason: "no job id"}
		case rd.Job(id) != nil:
			rep = &jobapi.Reply{Outcome: jobapi.OK, Reason: "known", Phase: rd.Job(id).Phase}
		default:
			jb.ID, jb.Queue = id, qu.Key()
		}
	})
	if rep != nil {
		return *rep
	}
	if err := jb.Check(); err != nil {
		return jobapi.Reply{Outcome: jobapi.Invalid, Reason: err.Error()}
	}
	if _, failed := sv.commit(ctx, store.Change{Submit: &jb}); failed != nil {
		return *failed
	}
	_ = sv.Logger.Log("level", "info", "msg", "job accepted", "job", jb.ID, "queue", jb.Queue, "steps", len(jb.Steps),
		"tasks", jb.Tasks(), "lasting", jb.LongRunning(), "times", jb.OccurrenceCount)
	sv.Owner.Wake()
	return jobapi.Reply{Outcome: jobapi.OK, Phase: store.Queued}
}

// job finds the job that a call names.
func job(rd store.Reader, call jobapi.Call) (*store.JobState, *jobapi.Reply) {
	ct := rd.Catalog()
	if ct.Version == 0 {
		return nil, &noCatalog
	}
	_, id, ok := jobapi.ResolveQueue(ct, call.Host, call.Path)
	if !ok {
		return nil, &jobapi.Reply{Outcome: jobapi.NoQueue}
	}
	js := rd.Job(id)
	if js == nil {
		return nil, &jobapi.Reply{Outcome: jobapi.NoJob}
	}
	return js, nil
}

// state tells a job's phase or, without a job's id, how many jobs wait.
func (sv *Handler) state(call jobapi.Call) jobapi.Reply {
	var rep jobapi.Reply
	sv.Store.Read(func(rd store.Reader) {
		ct := rd.Catalog()
		if qu, id, ok := jobapi.ResolveQueue(ct, call.Host, call.Path); ok && id == "" {
			rep = jobapi.Reply{Outcome: jobapi.OK, Pending: rd.Pending(qu.Key())}
			return
		}
		js, failed := job(rd, call)
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
		js, failed := job(rd, call)
		switch {
		case failed != nil:
			rep = failed
		case js.Phase.Terminal():
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
	_ = sv.Logger.Log("level", "info", "msg", "job cancelled", "job", id)
	sv.Owner.WakeJob(id)
	return jobapi.Reply{Outcome: jobapi.OK, Phase: store.Cancelled}
}

// announce takes a worker's word about itself. Only what is new is committed.
func (sv *Handler) announce(ctx context.Context, call jobapi.Call) jobapi.Reply {
	ann := call.Worker
	if !sv.Owner.RecordAnnouncement(*ann, sv.Clock.Now()) {
		return jobapi.Reply{Outcome: jobapi.OK, Reason: "out of date"}
	}
	if sv.known(*ann) {
		return jobapi.Reply{Outcome: jobapi.OK}
	}
	wk := ann.Worker
	ans, failed := sv.commit(ctx, store.Change{Join: &wk})
	if failed != nil {
		return *failed
	}
	_ = sv.Logger.Log("level", "info", "msg", "worker announced", "worker", wk.ID, "born", wk.Incarnation, "pool", wk.Pool,
		"address", wk.Address, "machine", wk.Machine, "rack", wk.Rack, "draining", wk.Draining, "taken", ans.Applied,
		"reason", ans.Reason)
	sv.Owner.Wake()
	return jobapi.Reply{Outcome: jobapi.OK, Reason: ans.Reason}
}

// depart ends a worker's life on its own word.
func (sv *Handler) depart(ctx context.Context, call jobapi.Call) jobapi.Reply {
	known, err := sv.Owner.DeregisterWorker(ctx, call.Worker.ID)
	if err != nil {
		return failure(err)
	}
	_ = sv.Logger.Log("level", "info", "msg", "worker departed", "worker", call.Worker.ID, "known", known)
	sv.Owner.Wake()
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
	sv.Owner.Wake()
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
