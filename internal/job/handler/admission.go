package handler

import (
	"fmt"
	"sync"
	"time"

	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/job/teammetrics"
	"greengageweir/internal/schedule/admission"

	weir "greengageweir"
)

// Backlogs is the state of early refusals in one process. The zero value is ready.
type Backlogs struct {
	capacity workerCapacity
	tallies  tallyBudget
}

// refuseForBacklog returns the reply to a submit that is refused because the backlog
// of the job's team makes the job certain to end too late, nil if it is not refused.
// A job that was committed meanwhile is not refused either.
func (sv *Handler) refuseForBacklog(jb *spec.Job) *jobapi.Reply {
	if sv.Backlogs == nil || !admission.Applies(*jb) {
		return nil
	}
	var dec admission.Decision
	now := sv.Wall.Now()
	sv.Store.Read(func(rd store.Reader) {
		qu, ok := rd.Queue(jb.Queue)
		team, teamKnown := rd.Team(jb.Team)
		if !ok || !teamKnown || rd.Job(jb.ID) != nil {
			return
		}
		rq := admission.Request{Job: *jb, Queue: qu, Cap: team.Cap, Capacity: sv.Backlogs.capacity.total(rd)}
		rq.Ahead = rd.TeamWorkLeft(jb.Team)
		rq.AheadInTime = rq.Ahead
		// Nearly all submits are accepted by the sum that the store keeps.
		if admission.Decide(rq).Refused {
			dec = sv.Backlogs.tallies.decide(rd, rq, sv.Clock, now)
		}
	})
	if !dec.Refused {
		return nil
	}
	teammetrics.CountRefusal(jb.Team, teammetrics.ReasonBacklog)
	_ = sv.Logger.Log("level", "info", "msg", "job refused", "reason", string(teammetrics.ReasonBacklog), "job", jb.ID, "queue", jb.Queue,
		"team", jb.Team, "resource", string(dec.Resource), "backlog", dec.Backlog, "rate", dec.Rate, "waitSeconds", dec.Wait,
		"boundSeconds", dec.Bound, "retryAfter", dec.RetryAfter.String())
	return &jobapi.Reply{
		Outcome: jobapi.Refused, RetryAfter: dec.RetryAfter,
		Reason: fmt.Sprintf("backlog of team %s: would wait at least %.1f s", jb.Team, dec.Wait),
	}
}

const (
	// tallyShare limits the time spent on tallies to a twentieth of a processor: one
	// over 3,000 jobs took 2.4 ms on a busy machine, and submits come by the hundred.
	tallyShare = 20
	// maxTallyPause is the longest pause after a tally.
	maxTallyPause = 100 * time.Millisecond
)

// tallyBudget limits the time spent on tallies. A submit that comes while the budget is
// used up is accepted, which is never wrong.
type tallyBudget struct {
	mu   sync.Mutex
	next time.Time
}

// decide returns the decision about a request by the team's jobs, or an empty one if the
// budget is used up.
func (tb *tallyBudget) decide(rd store.Reader, rq admission.Request, clock weir.Clock, wall time.Time) admission.Decision {
	if !tb.mu.TryLock() {
		return admission.Decision{} // another tally is in progress
	}
	defer tb.mu.Unlock()
	begin := clock.Now()
	if begin.Before(tb.next) {
		return admission.Decision{}
	}
	ta := admission.NewTally(rq, wall)
	qu, key, known := rq.Queue, rq.Queue.Key(), true
	rd.EachTeamJob(rq.Job.Team, func(js *store.JobState) {
		if js.Spec.Queue != key {
			key = js.Spec.Queue
			qu, known = rd.Queue(key)
		}
		if known {
			ta.Add(js, qu)
		}
	})
	end := clock.Now()
	tb.next = end.Add(min(tallyShare*end.Sub(begin), maxTallyPause))
	return admission.Decide(ta.Request())
}

// workerCapacity caches the total capacity of all workers, so that it is summed up when
// a worker changes and not for each submit.
type workerCapacity struct {
	mu       sync.Mutex
	known    bool
	revision uint64
	sum      spec.Resources
}

// total returns the total capacity of the workers.
func (wc *workerCapacity) total(rd store.Reader) spec.Resources {
	wc.mu.Lock()
	defer wc.mu.Unlock()
	if !wc.known || wc.revision != rd.WorkerRevision() {
		wc.known, wc.revision, wc.sum = true, rd.WorkerRevision(), spec.Resources{}
		rd.EachWorker(func(wk store.Worker) { wc.sum = wc.sum.Plus(wk.Capacity) })
	}
	return wc.sum
}
