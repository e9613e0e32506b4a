package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	weir "greengageweir"
)

// isolationWait is how long a suspect task waits for a worker without suspect
// tasks of other jobs.
const isolationWait = 2 * time.Second

// pool holds the workers of one pool. It keeps them in the order in which tasks
// without further wishes use them, so that a long backlog of such tasks does not
// look at every worker for each task.
type pool struct {
	workers []*Worker
	// tiers hold the workers by tier, each in the order of compareFree.
	tiers [4][]*Worker
}

func newPool(workers []*Worker) *pool {
	po := &pool{workers: workers}
	po.sort()
	return po
}

// sort restores the order after workers were changed.
func (po *pool) sort() {
	for ix := range po.tiers {
		po.tiers[ix] = po.tiers[ix][:0]
	}
	for _, wk := range po.workers {
		po.tiers[wk.tier()] = append(po.tiers[wk.tier()], wk)
	}
	for _, tier := range po.tiers {
		slices.SortFunc(tier, compareFree)
	}
}

// tier is the first sort key of workers for tasks without further wishes.
func (wk *Worker) tier() int {
	tier := 0
	if wk.avoided() {
		tier += 2
	}
	if !wk.pinned() {
		tier++
	}
	return tier
}

// compareFree is the second sort key: the fullest worker first.
func compareFree(one, other *Worker) int {
	return cmp.Or(cmp.Compare(one.Free.MilliCPU, other.Free.MilliCPU), cmp.Compare(one.ID, other.ID))
}

// reserve reserves the resources of one task on a worker.
func (po *pool) reserve(wk *Worker, gr Group, tk Task) {
	tier := &po.tiers[wk.tier()]
	if at, ok := slices.BinarySearchFunc(*tier, wk, compareFree); ok {
		*tier = slices.Delete(*tier, at, at+1)
	}
	wk.reserve(gr.Spec)
	wk.used = gr.Step.Job
	if tk.Suspect {
		wk.ReservedFor = gr.Step.Job
		wk.SuspectJobs = maps.Clone(wk.SuspectJobs)
		if wk.SuspectJobs == nil {
			wk.SuspectJobs = map[weir.JobID]bool{}
		}
		wk.SuspectJobs[gr.Step.Job] = true
	}
	tier = &po.tiers[wk.tier()]
	at, _ := slices.BinarySearchFunc(*tier, wk, compareFree)
	*tier = slices.Insert(*tier, at, wk)
}

// anyOrder reports whether better compares workers for a task by tier and
// compareFree alone.
func (gr Group) anyOrder(tk Task, rack string) bool {
	return !gr.Spec.LongRunning && !gr.Spec.BestEffort && rack == "" && tk.AvoidWorker == ""
}

// choose returns the best worker for a task, nil if none accepts it. A suspect task
// waits up to isolationWait for a worker on which it is isolated.
func (po *pool) choose(now time.Time, gr Group, tk Task, on map[weir.InstanceID]int, rack string) *Worker {
	if tk.Suspect {
		if wk := po.chooseIsolated(gr, tk, on); wk != nil || now.Sub(tk.WaitingSince) < isolationWait {
			return wk
		}
	}
	if gr.anyOrder(tk, rack) {
		return po.chooseOrdered(gr, on)
	}
	return chooseWorker(gr, tk, on, rack, po.workers)
}

// chooseIsolated returns a worker that accepts a suspect task, has no suspect task
// of another job and is given no other task now, nil if there is none. It prefers
// one with tasks of the same job, then the emptiest: if the task crashes the
// worker, it takes few others along.
func (po *pool) chooseIsolated(gr Group, tk Task, on map[weir.InstanceID]int) *Worker {
	var best *Worker
	for _, wk := range po.workers {
		shared := len(wk.SuspectJobs) > 1 || (len(wk.SuspectJobs) == 1 && !wk.SuspectJobs[gr.Step.Job])
		if shared || (wk.used != "" && wk.used != gr.Step.Job) || !wk.accepts(gr, on) {
			continue
		}
		if best == nil || cmp.Or(
			compareBool(wk.Suspect || wk.ID == tk.AvoidWorker, best.Suspect || best.ID == tk.AvoidWorker),
			gr.compareColocation(on, wk, best), compareBool(!wk.SuspectJobs[gr.Step.Job], !best.SuspectJobs[gr.Step.Job]),
			-compareFree(wk, best),
		) < 0 {
			best = wk
		}
	}
	return best
}

// chooseOrdered returns the first worker in the order of the tiers that accepts a
// task without further wishes, nil if there is none.
func (po *pool) chooseOrdered(gr Group, on map[weir.InstanceID]int) *Worker {
	need := gr.Spec.Reserved().MilliCPU
	for _, tier := range po.tiers {
		from, _ := slices.BinarySearchFunc(tier, need, func(wk *Worker, need int) int {
			return cmp.Or(cmp.Compare(wk.Free.MilliCPU, need), 1)
		})
		for _, wk := range tier[from:] {
			if wk.accepts(gr, on) {
				return wk
			}
		}
	}
	return nil
}
