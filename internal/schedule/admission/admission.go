// Package admission decides whether a submitted job is refused because its team has
// already submitted so much that the job would certainly end too late to be of use.
//
// It answers a team that keeps sending more than it can ever be served in time: such
// a backlog grows without limit, every job of it ends late, and its callers wait for
// results that nobody needs any more. A refusal tells them at once when a submit may
// succeed. A burst of some seconds that can still be served in time is accepted.
//
// The decision uses a lower bound on the wait: the team's work that goes before the
// job, by the callers' estimates and halved, since these are off by half, divided by
// the most that the team can ever have running. A job is refused only if this wait
// exceeds LateFactor times its objective. Tasks that go before the job may still run
// when it starts, so that the bound allows for the longest of them.
//
// Not all work of the team goes before the job (see Tally): placement prefers jobs with
// less work left, and those that can still meet their objective to those that are late.
// A new job thus goes before a backlog of late jobs for as long as it is in time itself.
// Unless jobs that stay in time for longer keep it from starting until then, it is
// accepted.
//
// Usage:
//
//	rq := admission.Request{Job: job, Queue: queue, Cap: team.Cap, Capacity: capacity}
//	ta := admission.NewTally(rq, now)
//	for each job js of the team {
//		ta.Add(js, queueOf(js))
//	}
//	rq = ta.Request()
//	if dec := admission.Decide(rq); dec.Refused {
//		// answer 429 with dec.RetryAfter
//	}
package admission

import (
	"math"
	"time"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
)

const (
	// LateFactor is how many times its objective a job may take and still be of use.
	LateFactor = 3
	// certainShare is the share of the estimated work that is certain: estimates are
	// off by half.
	certainShare = 0.5
	// minRetryAfter and maxRetryAfter limit Decision.RetryAfter.
	minRetryAfter = time.Second
	maxRetryAfter = 30 * time.Second
)

// Resource names the resource that a decision is based on.
type Resource string

// The resources.
const (
	CPU    Resource = "cpu"
	Memory Resource = "memory"
	GPU    Resource = "gpu"
)

// Request holds what a decision depends on.
type Request struct {
	Job   spec.Job
	Queue catalog.Queue
	// Ahead is the work of the job's team that goes before the job.
	Ahead spec.Work
	// AheadInTime is the part of it that goes before the job for as long as the job can
	// still meet its objective.
	AheadInTime spec.Work
	// LongestAhead is the longest estimate in seconds of a task in Ahead.
	LongestAhead float64
	// Cap is the team's cap; a resource with 0 has no limit.
	Cap spec.Resources
	// Capacity is that of all workers. A resource with 0 is unknown, since workers may
	// not have announced themselves yet.
	Capacity spec.Resources
}

// Decision is a decision about a request. All fields but Refused are 0 if no resource
// limits the team.
type Decision struct {
	Refused bool
	// RetryAfter is when the team's work will have fallen to the bound; it is set for
	// refused jobs only.
	RetryAfter time.Duration
	// Resource is the one with the longest wait, Backlog the work ahead of the job in
	// cores, megabytes or devices times seconds, Rate the most of it that the team can
	// have running, Wait the lower bound on the wait in seconds.
	Resource Resource
	Backlog  float64
	Rate     float64
	Wait     float64
	// Bound is the wait in seconds up to which a job is accepted.
	Bound float64
}

// Applies reports whether a job may be refused at all: one without a team, with
// long-running steps or with occurrences is not.
func Applies(jb spec.Job) bool { return jb.Team != "" && jb.Immediate() }

// Decide returns the decision about a job.
func Decide(rq Request) Decision {
	dec := Decision{Bound: LateFactor * objective(rq.Job, rq.Queue)}
	if !Applies(rq.Job) || !(dec.Bound > 0) {
		// A queue without a target latency and a job without estimates have no
		// objective to miss.
		return dec
	}
	for _, li := range rq.limits() {
		wait, blocked := rq.waits(li)
		if blocked && wait > dec.Wait {
			dec.Resource, dec.Backlog, dec.Rate, dec.Wait = li.resource, li.backlog, li.rate, wait
		}
	}
	if dec.Wait > dec.Bound {
		dec.Refused = true
		dec.RetryAfter = retryAfter((dec.Wait - dec.Bound) / certainShare)
	}
	return dec
}

// objective returns the response time in seconds that a queue's callers expect of a
// job, 0 if they expect none.
func objective(jb spec.Job, qu catalog.Queue) float64 {
	return max(qu.TargetLatency.Seconds(), 0) + max(qu.Stretch, 0)*jb.LongestChain()
}

// slack returns for how many seconds after its submit the job can start and still meet
// its objective.
func (rq Request) slack() float64 {
	return objective(rq.Job, rq.Queue) - rq.Job.LongestChain()
}

// limit is the work ahead of a job in one resource and the most of the resource that
// its team can have running.
type limit struct {
	resource              Resource
	backlog, inTime, rate float64
}

// waits returns a lower bound in seconds on the wait for the work ahead, and whether the
// job certainly cannot start while it can still meet its objective.
func (rq Request) waits(li limit) (wait float64, blocked bool) {
	if li.rate <= 0 {
		return 0, false
	}
	// A task that goes before the job may end later than the job starts by its whole
	// duration. The job's own duration makes up for it in the bound on its end.
	slack, chain := rq.slack(), rq.Job.LongestChain()
	wait = certainShare * (li.backlog/li.rate - max(rq.LongestAhead-chain, 0))
	startInTime := certainShare * (li.inTime/li.rate - rq.LongestAhead)
	return wait, slack < 0 || startInTime > slack
}

// limits returns what limits the team: its cap, and the capacity of all workers. Only
// what tasks reserve counts against the latter.
func (rq Request) limits() []limit {
	// unit is what fields of spec.Work count in one core, megabyte or device for a
	// second.
	limitOf := func(rs Resource, ahead, inTime int64, rate, unit float64) limit {
		return limit{rs, float64(ahead) / (1e3 * unit), float64(inTime) / (1e3 * unit), rate / unit}
	}
	all, it, cp, ca := rq.Ahead, rq.AheadInTime, rq.Cap, rq.Capacity
	return []limit{
		limitOf(CPU, all.MilliCPU, it.MilliCPU, float64(cp.MilliCPU), 1e3),
		limitOf(CPU, all.ReservedMilliCPU, it.ReservedMilliCPU, float64(ca.MilliCPU), 1e3),
		limitOf(Memory, all.MemoryMB, it.MemoryMB, float64(cp.MemoryMB), 1),
		limitOf(Memory, all.MemoryMB, it.MemoryMB, float64(ca.MemoryMB), 1),
		limitOf(GPU, all.GPU, it.GPU, float64(cp.GPU), 1),
		limitOf(GPU, all.GPU, it.GPU, float64(ca.GPU), 1),
	}
}

// retryAfter returns the pause before a submit may succeed, in whole seconds.
func retryAfter(seconds float64) time.Duration {
	pause := math.Ceil(min(seconds, maxRetryAfter.Seconds()))
	return max(time.Duration(pause)*time.Second, minRetryAfter)
}
