package scheduler

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"greengageweir/internal/job/store"
	"greengageweir/internal/task/session"

	weir "greengageweir"
)

func (ow *Scheduler) recordEnds(re *reign, id weir.InstanceID, at *attended, out session.Outcome, now time.Time) {
	changes := make([]store.Change, len(out.Ends))
	for ix := range out.Ends {
		en := &out.Ends[ix]
		changes[ix] = store.Change{End: en}
		ow.noteEnd(re, id, *en, now)
		delete(re.evicted, weir.RunKey{Task: en.Task, Run: en.Run})
		metrics.GetOrCreateCounter(`weir_run_ends_total{how="` + string(en.Reason) + `"}`).Inc()
		if en.Reason != store.EndDone {
			_ = ow.Logger.Log("level", "info", "msg", "run ended", "job", en.Task.Job, "task", en.Task, "run", en.Run,
				"worker", id, "how", string(en.Reason), "checkpoint", en.Checkpoint)
		}
	}
	reply := func(_ []store.Result, err error) {
		if err != nil {
			at.ss.EndsNotCommitted()
			ow.changed(at)
			_ = ow.Logger.Log("level", "warn", "msg", "ends not recorded", "worker", id, "err", err)
			return
		}
		at.ss.EndsCommitted(out.Number)
		ow.changed(at)
		ow.tellEnded(out.Ends)
	}
	if !ow.Committer.Submit(changes, reply) {
		at.ss.EndsNotCommitted()
	}
}

// tellEnded logs the jobs that recorded ends have brought to theirs.
func (ow *Scheduler) tellEnded(ends []store.RunEnd) {
	told := map[weir.JobID]bool{}
	ow.Store.Read(func(rd store.Reader) {
		for _, en := range ends {
			js := rd.Job(en.Task.Job)
			if js == nil || !js.Phase.Terminal() || told[en.Task.Job] {
				continue
			}
			told[en.Task.Job] = true
			_ = ow.Logger.Log("level", "info", "msg", "job ended", "job", en.Task.Job, "phase", string(js.Phase),
				"queue", js.Spec.Queue, "after", js.Ended.Sub(js.Accepted).String())
		}
	})
}

// dropWorker ends a life whose lease has surely lapsed.
func (ow *Scheduler) dropWorker(re *reign, at *attended, now time.Time) {
	if at.dropping {
		return
	}
	wk := at.worker
	_ = ow.Logger.Log("level", "warn", "msg", "worker given up", "worker", wk.ID, "reason", "lease lapsed",
		"announcedAgo", now.Sub(at.announced).String())
	var changes []store.Change
	ow.Store.Read(func(rd store.Reader) { changes = ow.leave(re, rd, wk, "lease lapsed") })
	at.dropping = ow.Committer.Submit(changes, func([]store.Result, error) {
		ow.mu.Lock()
		at.dropping = false
		ow.mu.Unlock()
	})
}

// leave returns the changes that end a worker's life. Runs that it listed with
// a checkpoint keep it.
func (ow *Scheduler) leave(re *reign, rd store.Reader, wk store.Worker, reason string) []store.Change {
	var changes []store.Change
	for key := range rd.Runs(wk.ID) {
		_ = ow.Logger.Log("level", "info", "msg", "run lost with its worker", "job", key.Task.Job, "task", key.Task,
			"run", key.Run, "worker", wk.ID, "reason", reason)
	}
	if at := re.sessions[wk.ID]; at != nil && at.worker.Incarnation == wk.Incarnation {
		_, running := at.ss.Running()
		for _, rt := range running {
			if _, here := rd.Runs(wk.ID)[rt.RunKey]; here && rt.Checkpoint != "" {
				changes = append(changes, store.Change{End: &store.RunEnd{
					Task: rt.Task, Run: rt.Run, Reason: store.EndLost, Checkpoint: rt.Checkpoint,
				}})
			}
		}
	}
	return append(changes, store.Change{Leave: &store.WorkerLeave{ID: wk.ID, Incarnation: wk.Incarnation, Reason: reason}})
}

// DeregisterWorker ends a worker's life on its own word. It reports false where this
// process does not lead, or knows no such worker.
func (ow *Scheduler) DeregisterWorker(ctx context.Context, id weir.InstanceID) (bool, error) {
	ow.mu.Lock()
	re := ow.reign
	var changes []store.Change
	if re != nil {
		ow.Store.Read(func(rd store.Reader) {
			if wk, ok := rd.Worker(id); ok {
				changes = ow.leave(re, rd, wk, "departed")
			}
		})
	}
	ow.mu.Unlock()
	if len(changes) == 0 {
		return false, nil
	}
	return true, ow.Committer.CommitAll(ctx, changes)
}
