package scheduler

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"greengageweir/internal/job/store"
	"greengageweir/internal/task/session"

	weir "greengageweir"
)

// recordEnds commits the run ends that a worker reported.
func (sc *Scheduler) recordEnds(ls *leaderState, id weir.InstanceID, ws *workerSession, out session.Outcome, now time.Time) {
	changes := make([]store.Change, len(out.Ends))
	for ix := range out.Ends {
		en := &out.Ends[ix]
		changes[ix] = store.Change{End: en}
		sc.updateHealth(ls, id, *en, now)
		metrics.GetOrCreateCounter(`weir_run_ends_total{how="` + string(en.Reason) + `"}`).Inc()
		if en.Reason != store.EndDone {
			_ = sc.Logger.Log("level", "info", "msg", "run ended", "job", en.Task.Job, "task", en.Task, "run", en.Run,
				"worker", id, "how", string(en.Reason), "checkpoint", en.Checkpoint)
		}
	}
	reply := func(_ []store.Result, err error) {
		if err != nil {
			ws.session.EndsNotCommitted()
			sc.markDirty(ws)
			_ = sc.Logger.Log("level", "warn", "msg", "run ends not committed", "worker", id, "err", err)
			return
		}
		ws.session.EndsCommitted(out.Number)
		sc.markDirty(ws)
		sc.logEndedJobs(out.Ends)
	}
	if !sc.Committer.Submit(changes, reply) {
		ws.session.EndsNotCommitted()
	}
}

// logEndedJobs logs the jobs that are over after some run ends were recorded.
func (sc *Scheduler) logEndedJobs(ends []store.RunEnd) {
	logged := map[weir.JobID]bool{}
	sc.Store.Read(func(rd store.Reader) {
		for _, en := range ends {
			js := rd.Job(en.Task.Job)
			if js == nil || !js.Phase.Terminal() || logged[en.Task.Job] {
				continue
			}
			logged[en.Task.Job] = true
			_ = sc.Logger.Log("level", "info", "msg", "job ended", "job", en.Task.Job, "phase", string(js.Phase),
				"queue", js.Spec.Queue, "after", js.Ended.Sub(js.Accepted).String())
		}
	})
}

// endExpiredRuns ends the runs of a worker whose leases have certainly expired, but for
// those that an outstanding order may have begun. It reports whether there are such.
func (sc *Scheduler) endExpiredRuns(ls *leaderState, ws *workerSession, now time.Time) (waits bool) {
	wk := ws.worker
	od, _ := sc.outstandingOf(ls, wk.ID)
	var keys []weir.RunKey
	var overAt time.Time
	sc.Store.Read(func(rd store.Reader) {
		for key := range rd.WorkerRuns(wk.ID) {
			if at := od.OverAt(key.Task); at.After(overAt) {
				overAt = at
			}
			if !ls.pendingStarts[key] {
				keys = append(keys, key)
			}
		}
	})
	if !overAt.After(now) {
		return false
	}
	var changes []store.Change
	for _, key := range ws.session.Abandon(now, keys) {
		sc.logLostRun(key, wk.ID, "lease lapsed")
		changes = append(changes, store.Change{End: &store.RunEnd{Task: key.Task, Run: key.Run, Reason: store.EndLost, Checkpoint: ws.session.Checkpoint(key)}})
	}
	if !overAt.Equal(ws.keptUntil) {
		ws.keptUntil = overAt
		_ = sc.Logger.Log("level", "warn", "msg", "worker kept for unanswered starts", "worker", wk.ID, "runs", len(keys)-len(changes),
			"lost", len(changes), "for", overAt.Sub(now).String())
	}
	if len(changes) > 0 {
		sc.submitExpiredRuns(ws, changes)
	}
	return true
}

// submitExpiredRuns commits the ends of runs whose worker's leases have expired, and the
// first time the runs that may have crashed it.
func (sc *Scheduler) submitExpiredRuns(ws *workerSession, changes []store.Change) {
	wk := ws.worker
	if !ws.lapseRecorded {
		recent, unconfirmed := ws.session.RecentStarts()
		lapse := store.Change{Lapse: &store.WorkerCrash{ID: wk.ID, Incarnation: wk.Incarnation, Recent: recent, Unconfirmed: unconfirmed}}
		changes = append([]store.Change{lapse}, changes...)
	}
	sc.submitExpiry(ws, changes)
}

// submitExpiry commits changes that follow from the expiry of a worker's leases.
func (sc *Scheduler) submitExpiry(ws *workerSession, changes []store.Change) {
	wk := ws.worker
	ws.removalInFlight = sc.Committer.Submit(changes, func(results []store.Result, err error) {
		for _, res := range results {
			sc.HandleCrash(wk, res)
		}
		sc.mu.Lock()
		ws.removalInFlight = false
		ws.lapseRecorded = ws.lapseRecorded || err == nil
		sc.mu.Unlock()
	})
}

// removeExpiredWorker ends a worker incarnation whose lease has certainly
// expired, once nothing that an outstanding order may have begun is left.
func (sc *Scheduler) removeExpiredWorker(ls *leaderState, ws *workerSession, now time.Time) {
	if ws.removalInFlight || sc.endExpiredRuns(ls, ws, now) {
		return
	}
	wk := ws.worker
	ws.session.Close()
	_ = sc.Logger.Log("level", "warn", "msg", "worker removed", "worker", wk.ID, "reason", "lease lapsed",
		"announcedAgo", now.Sub(ws.announcedAt).String())
	var changes []store.Change
	sc.Store.Read(func(rd store.Reader) { changes = sc.leaveChanges(ls, rd, wk, "lease lapsed") })
	if !ws.lapseRecorded {
		leave := changes[len(changes)-1].Leave
		leave.Recent, leave.Unconfirmed = ws.session.RecentStarts()
	}
	sc.submitExpiry(ws, changes)
}

func (sc *Scheduler) logLostRun(key weir.RunKey, id weir.InstanceID, reason string) {
	_ = sc.Logger.Log("level", "info", "msg", "run lost with its worker", "job", key.Task.Job, "task", key.Task,
		"run", key.Run, "worker", id, "reason", reason)
}

// leaveChanges returns the changes that end a worker's incarnation. Checkpoints
// that the worker reported for its runs are kept.
func (sc *Scheduler) leaveChanges(ls *leaderState, rd store.Reader, wk store.Worker, reason string) []store.Change {
	var changes []store.Change
	for key := range rd.WorkerRuns(wk.ID) {
		sc.logLostRun(key, wk.ID, reason)
	}
	if ws := ls.sessions[wk.ID]; ws != nil && ws.worker.Incarnation == wk.Incarnation {
		_, running := ws.session.Running()
		for _, rt := range running {
			if _, here := rd.WorkerRuns(wk.ID)[rt.RunKey]; here && rt.Checkpoint != "" {
				changes = append(changes, store.Change{End: &store.RunEnd{
					Task: rt.Task, Run: rt.Run, Reason: store.EndLost, Checkpoint: rt.Checkpoint,
				}})
			}
		}
	}
	return append(changes, store.Change{Leave: &store.WorkerLeave{ID: wk.ID, Incarnation: wk.Incarnation, Reason: reason}})
}

// HandleCrash logs the jobs that have failed because of a worker on the machine of
// the given one, and has what is left of their runs stopped.
func (sc *Scheduler) HandleCrash(wk store.Worker, res store.Result) {
	if res.CrashedRuns > 0 {
		_ = sc.Logger.Log("level", "warn", "msg", "worker crashed", "machine", wk.Machine, "seenBy", wk.ID, "runs", res.CrashedRuns)
	}
	for _, id := range res.GivenUp {
		_ = sc.Logger.Log("level", "warn", "msg", "job given up", "job", id, "machine", wk.Machine,
			"reason", "workers crash right after they start one of its tasks")
		sc.WakeJob(id)
	}
}

// JoinChanges returns the changes that register a worker. If it takes the place of
// another, which has therefore ended, they name the runs that were on that one.
func (sc *Scheduler) JoinChanges(wk store.Worker) []store.Change {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	var changes []store.Change
	if sc.leader != nil {
		for id, ws := range sc.leader.sessions {
			same := id == wk.ID || (wk.Machine != "" && ws.worker.Machine == wk.Machine)
			if !same || ws.worker.Incarnation >= wk.Incarnation {
				continue
			}
			if recent, unconfirmed := ws.session.RecentStarts(); len(recent)+len(unconfirmed) > 0 {
				changes = append(changes, store.Change{Crash: &store.WorkerCrash{
					ID: id, Incarnation: ws.worker.Incarnation, Recent: recent, Unconfirmed: unconfirmed,
				}})
			}
		}
	}
	return append(changes, store.Change{Join: &wk})
}

// DeregisterWorker ends the incarnation of a worker that asked to leave. It
// reports false if this process does not lead, does not know the worker, or has
// not been told that it drains. The call names no incarnation, so that without a
// drain it may be a delayed one of an earlier incarnation, whose successor's runs
// go on. A worker that did end is found by its lease.
func (sc *Scheduler) DeregisterWorker(ctx context.Context, id weir.InstanceID) (bool, error) {
	sc.mu.Lock()
	ls := sc.leader
	var changes []store.Change
	if ls != nil {
		sc.Store.Read(func(rd store.Reader) {
			wk, ok := rd.Worker(id)
			if !ok || !wk.Draining {
				return
			}
			changes = sc.leaveChanges(ls, rd, wk, "departed")
			changes[len(changes)-1].Leave.Departed = true
		})
	}
	sc.mu.Unlock()
	if len(changes) == 0 {
		return false, nil
	}
	_, err := sc.Committer.CommitEach(ctx, changes)
	return true, err
}
