package placement

import (
	"cmp"
	"slices"

	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

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
	if wk.Suspect {
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
func (po *pool) reserve(wk *Worker, step spec.Step) {
	tier := &po.tiers[wk.tier()]
	if at, ok := slices.BinarySearchFunc(*tier, wk, compareFree); ok {
		*tier = slices.Delete(*tier, at, at+1)
	}
	wk.reserve(step)
	tier = &po.tiers[wk.tier()]
	at, _ := slices.BinarySearchFunc(*tier, wk, compareFree)
	*tier = slices.Insert(*tier, at, wk)
}

// anyOrder reports whether better compares workers for a task by tier and
// compareFree alone.
func (gr Group) anyOrder(tk Task, rack string) bool {
	return !gr.Spec.LongRunning && !gr.Spec.BestEffort && rack == "" && tk.AvoidWorker == ""
}

// choose returns the best worker for a task, nil if none accepts it.
func (po *pool) choose(gr Group, tk Task, on map[weir.InstanceID]int, rack string) *Worker {
	if !gr.anyOrder(tk, rack) {
		return chooseWorker(gr, tk, on, rack, po.workers)
	}
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
