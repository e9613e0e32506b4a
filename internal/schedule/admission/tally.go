package admission

import (
	"time"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
)

// Tally sums up the work of a team that certainly goes before a submitted job: that of
// running tasks, and of waiting ones that placement prefers to each of the job's tasks
// and that fit wherever these fit. It leaves out what the job may overtake: jobs with
// more work left, of a lower priority or in another pool, steps that are not ready, and
// tasks that need more than the job's or only some of the workers.
type Tally struct {
	// rq is the request so far.
	rq      Request
	now     time.Time
	size    int64
	startBy time.Time
	// leastReserved and leastRequest are the least that one task of the job reserves on
	// its worker, and takes of its team's cap.
	leastReserved, leastRequest spec.Resources
}

func least(one, other spec.Resources) spec.Resources {
	return spec.Resources{MilliCPU: min(one.MilliCPU, other.MilliCPU), MemoryMB: min(one.MemoryMB, other.MemoryMB), GPU: min(one.GPU, other.GPU)}
}

// NewTally returns an empty tally for a job that is submitted at the time now.
func NewTally(rq Request, now time.Time) *Tally {
	rq.Ahead, rq.AheadInTime, rq.LongestAhead = spec.Work{}, spec.Work{}, 0
	ta := &Tally{rq: rq, now: now, size: rq.Job.Work().MilliCPU, startBy: startBy(rq.Job, rq.Queue, now)}
	first := rq.Job.Steps[0]
	ta.leastReserved, ta.leastRequest = first.Reserved(), first.Resources
	for _, st := range rq.Job.Steps[1:] {
		ta.leastReserved, ta.leastRequest = least(ta.leastReserved, st.Reserved()), least(ta.leastRequest, st.Resources)
	}
	return ta
}

// startBy returns when a job's first steps must start for it to meet its objective.
func startBy(jb spec.Job, qu catalog.Queue, accepted time.Time) time.Time {
	slack := (objective(jb, qu) - jb.LongestChain()) * float64(time.Second)
	const far = float64(100 * 365 * 24 * time.Hour) // a duration may not overflow
	return accepted.Add(time.Duration(max(-far, min(slack, far))))
}

// Request returns the request with the work that was added.
func (ta *Tally) Request() Request { return ta.rq }

// Add adds the work of another job of the team, which is in the given queue.
func (ta *Tally) Add(js *store.JobState, qu catalog.Queue) {
	preferred := js.WorkLeft().MilliCPU <= ta.size && qu.Priority <= ta.rq.Queue.Priority && qu.Adviser == nil
	if (!preferred && js.Placed == 0) || qu.Pool != ta.rq.Queue.Pool || js.Phase.Terminal() || !js.Spec.Immediate() {
		return
	}
	inTime := !startBy(js.Spec, qu, js.Accepted).Before(ta.startBy)
	for sp := range js.Spec.Steps {
		if js.Occurrences[0][sp].TasksLeft > 0 && js.StepReady(0, sp) {
			running, waiting := ta.stepWork(js, sp)
			if !preferred || !ta.fits(js.Spec.Steps[sp]) {
				waiting = spec.Work{}
			}
			ta.rq.Ahead = ta.rq.Ahead.Plus(running).Plus(waiting)
			ta.rq.AheadInTime = ta.rq.AheadInTime.Plus(running)
			if inTime {
				ta.rq.AheadInTime = ta.rq.AheadInTime.Plus(waiting)
			}
			if running != (spec.Work{}) || waiting != (spec.Work{}) {
				ta.rq.LongestAhead = max(ta.rq.LongestAhead, js.Spec.Steps[sp].Estimate.Seconds())
			}
		}
	}
}

// fits reports whether a task of a step can start wherever one of the job can, and as
// soon.
func (ta *Tally) fits(st spec.Step) bool {
	anywhere := !st.Gang && !st.OneRack && st.Label == "" && st.MinWorkers() == 0
	return anywhere && st.Reserved().Fits(ta.leastReserved) && st.Resources.Fits(ta.leastRequest)
}

// stepWork returns the work left of the running tasks of a step, and that of its
// waiting tasks. A task that resumes from a checkpoint may have nearly nothing left.
func (ta *Tally) stepWork(js *store.JobState, sp int) (running, waiting spec.Work) {
	work, estimate := js.Spec.TaskWork(sp), js.Spec.Steps[sp].Estimate
	count := 0
	tasks := js.Occurrences[0][sp].Tasks
	for ix := range tasks {
		tk := &tasks[ix]
		switch {
		case tk.Done || tk.Checkpoint != "" || tk.Suspect():
		case !tk.Placed():
			count++
		default:
			if elapsed := max(ta.now.Sub(tk.StartedAt), 0); elapsed < estimate {
				running = running.Plus(work.Share(1 - elapsed.Seconds()/estimate.Seconds()))
			}
		}
	}
	return running, work.Tasks(count)
}
