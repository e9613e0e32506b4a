package spec

// maxJobWork limits what one job counts for in each field of Work, so that the sums
// over some hundred thousand jobs do not overflow. It is far more than a job of
// 10,000 tasks with one core and some minutes each.
const maxJobWork = int64(1e13)

// Work is an amount of resources over time by the callers' estimates: each field is
// a request times milliseconds.
type Work struct {
	// MilliCPU counts the processor time of all tasks, ReservedMilliCPU leaves out
	// the best-effort tasks, which reserve none on their workers.
	MilliCPU         int64
	ReservedMilliCPU int64
	MemoryMB         int64
	GPU              int64
}

// Plus returns the sum of two amounts.
func (wo Work) Plus(other Work) Work {
	return Work{
		MilliCPU: wo.MilliCPU + other.MilliCPU, ReservedMilliCPU: wo.ReservedMilliCPU + other.ReservedMilliCPU,
		MemoryMB: wo.MemoryMB + other.MemoryMB, GPU: wo.GPU + other.GPU,
	}
}

// Minus returns the difference of two amounts.
func (wo Work) Minus(other Work) Work { return wo.Plus(other.times(-1)) }

// Tasks returns the work of count equal tasks, where wo is the work of one.
func (wo Work) Tasks(count int) Work { return wo.times(int64(count)) }

func (wo Work) times(factor int64) Work {
	return Work{
		MilliCPU: wo.MilliCPU * factor, ReservedMilliCPU: wo.ReservedMilliCPU * factor,
		MemoryMB: wo.MemoryMB * factor, GPU: wo.GPU * factor,
	}
}

// Share returns the given fraction of the work, rounded down.
func (wo Work) Share(fraction float64) Work {
	share := func(amount int64) int64 { return int64(float64(amount) * fraction) }
	return Work{
		MilliCPU: share(wo.MilliCPU), ReservedMilliCPU: share(wo.ReservedMilliCPU),
		MemoryMB: share(wo.MemoryMB), GPU: share(wo.GPU),
	}
}

// TaskWork returns the work of one task of a step. The tasks of a job together count
// for at most maxJobWork.
func (jb Job) TaskWork(step int) Work {
	st, limit := jb.Steps[step], maxJobWork/int64(max(jb.Tasks(), 1))
	ms := st.Estimate.Milliseconds()
	work := Work{
		MilliCPU: cappedProduct(st.Resources.MilliCPU, ms, limit),
		MemoryMB: cappedProduct(st.Resources.MemoryMB, ms, limit),
		GPU:      cappedProduct(st.Resources.GPU, ms, limit),
	}
	if !st.BestEffort {
		work.ReservedMilliCPU = work.MilliCPU
	}
	return work
}

// cappedProduct returns the product of two amounts or limit, whichever is less, and 0
// for a negative amount.
func cappedProduct(amount int, ms, limit int64) int64 {
	switch {
	case amount <= 0 || ms <= 0:
		return 0
	case int64(amount) > limit/ms:
		return limit
	}
	return int64(amount) * ms
}

// Work returns the work of one occurrence.
func (jb Job) Work() Work {
	var sum Work
	for ix, st := range jb.Steps {
		sum = sum.Plus(jb.TaskWork(ix).Tasks(st.Count))
	}
	return sum
}

// LongestChain returns the largest sum of estimates over steps that run one after the
// other, in seconds, since a sum of durations may overflow.
func (jb Job) LongestChain() float64 {
	if len(jb.Steps) == 1 {
		return max(jb.Steps[0].Estimate, 0).Seconds() // most jobs; it needs no memory
	}
	longest, ends := 0.0, make([]float64, len(jb.Steps))
	for ix, st := range jb.Steps {
		for _, before := range st.After {
			ends[ix] = max(ends[ix], ends[before])
		}
		ends[ix] += max(st.Estimate, 0).Seconds()
		longest = max(longest, ends[ix])
	}
	return longest
}

// Immediate reports whether all of the job's work is to be done once and as soon as
// possible: it has neither long-running steps nor occurrences.
func (jb Job) Immediate() bool { return jb.OccurrenceCount == 0 && !jb.LongRunning() }
