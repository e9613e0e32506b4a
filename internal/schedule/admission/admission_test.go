package admission_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/schedule/admission"
)

// coreSeconds returns so much processor time.
func coreSeconds(amount int64) spec.Work {
	return spec.Work{MilliCPU: amount * 1e6, ReservedMilliCPU: amount * 1e6}
}

func oneTask(estimate time.Duration) spec.Job {
	return spec.Job{Team: "a", Steps: []spec.Step{{Count: 1, Resources: spec.Resources{MilliCPU: 1000}, Estimate: estimate}}}
}

// lateQueue has an objective of 0.5 s for a job of 1 s, which is late from the start.
var lateQueue = catalog.Queue{TargetLatency: 500 * time.Millisecond}

func TestDecide(t *testing.T) {
	cap2 := spec.Resources{MilliCPU: 2000}
	job := oneTask(time.Second)
	edit := func(do func(jb *spec.Job)) spec.Job {
		jb := oneTask(time.Second)
		do(&jb)
		return jb
	}
	huge := spec.Work{MilliCPU: math.MaxInt64, ReservedMilliCPU: math.MaxInt64, MemoryMB: math.MaxInt64, GPU: math.MaxInt64}
	inTime := catalog.Queue{TargetLatency: 500 * time.Millisecond, Stretch: 1} // objective 1.5 s, bound 4.5 s, slack 0.5 s
	cases := map[string]struct {
		rq      admission.Request
		refused bool
		retry   time.Duration
	}{
		// The bound is 1.5 s: 6 core-seconds at 2 cores, halved.
		"at the bound":         {admission.Request{Job: job, Queue: lateQueue, Cap: cap2, Ahead: coreSeconds(6)}, false, 0},
		"over the bound":       {admission.Request{Job: job, Queue: lateQueue, Cap: cap2, Ahead: coreSeconds(7)}, true, time.Second},
		"retry when it falls":  {admission.Request{Job: job, Queue: lateQueue, Cap: cap2, Ahead: coreSeconds(26)}, true, 10 * time.Second},
		"retry in 30 s":        {admission.Request{Job: job, Queue: lateQueue, Cap: cap2, Ahead: coreSeconds(600)}, true, 30 * time.Second},
		"no team":              {admission.Request{Job: edit(func(jb *spec.Job) { jb.Team = "" }), Queue: lateQueue, Cap: cap2, Ahead: huge}, false, 0},
		"long-running":         {admission.Request{Job: edit(func(jb *spec.Job) { jb.Steps[0].LongRunning = true }), Queue: lateQueue, Cap: cap2, Ahead: huge}, false, 0},
		"timed":                {admission.Request{Job: edit(func(jb *spec.Job) { jb.OccurrenceCount = 1 }), Queue: lateQueue, Cap: cap2, Ahead: huge}, false, 0},
		"unlimited":            {admission.Request{Job: job, Queue: lateQueue, Ahead: coreSeconds(1e6)}, false, 0},
		"capacity, no cap":     {admission.Request{Job: job, Queue: lateQueue, Capacity: cap2, Ahead: coreSeconds(7)}, true, time.Second},
		"capacity below cap":   {admission.Request{Job: job, Queue: lateQueue, Cap: spec.Resources{MilliCPU: 9000}, Capacity: cap2, Ahead: coreSeconds(7)}, true, time.Second},
		"cap below capacity":   {admission.Request{Job: job, Queue: lateQueue, Cap: cap2, Capacity: spec.Resources{MilliCPU: 9000}, Ahead: coreSeconds(7)}, true, time.Second},
		"best effort, no cap":  {admission.Request{Job: job, Queue: lateQueue, Capacity: cap2, Ahead: spec.Work{MilliCPU: 1e9}}, false, 0},
		"best effort, cap":     {admission.Request{Job: job, Queue: lateQueue, Cap: cap2, Ahead: spec.Work{MilliCPU: 7e6}}, true, time.Second},
		"memory binds":         {admission.Request{Job: job, Queue: lateQueue, Cap: spec.Resources{MilliCPU: 9000, MemoryMB: 100}, Ahead: spec.Work{MemoryMB: 301 * 1e3}}, true, time.Second},
		"memory does not bind": {admission.Request{Job: job, Queue: lateQueue, Cap: spec.Resources{MilliCPU: 9000, MemoryMB: 100}, Ahead: spec.Work{MemoryMB: 300 * 1e3}}, false, 0},
		"accelerators bind":    {admission.Request{Job: job, Queue: lateQueue, Cap: spec.Resources{GPU: 2}, Ahead: spec.Work{GPU: 7 * 1e3}}, true, time.Second},
		"long task ahead":      {admission.Request{Job: job, Queue: lateQueue, Cap: cap2, Ahead: coreSeconds(7), LongestAhead: 2}, false, 0},
		"estimates of 0":       {admission.Request{Job: oneTask(0), Queue: catalog.Queue{Stretch: 3}, Cap: cap2, Ahead: huge}, false, 0},
		"negative estimate":    {admission.Request{Job: oneTask(math.MinInt64), Queue: catalog.Queue{Stretch: 3}, Cap: cap2, Ahead: huge}, false, 0},
		"negative objective":   {admission.Request{Job: job, Queue: catalog.Queue{TargetLatency: -1, Stretch: -1}, Cap: cap2, Ahead: huge}, false, 0},
		"huge estimate":        {admission.Request{Job: oneTask(math.MaxInt64), Queue: catalog.Queue{TargetLatency: math.MaxInt64, Stretch: math.MaxFloat64}, Cap: cap2, Ahead: huge, AheadInTime: huge}, false, 0},
		"huge backlog":         {admission.Request{Job: job, Queue: lateQueue, Cap: spec.Resources{MilliCPU: 1}, Ahead: huge}, true, 30 * time.Second},
		"huge cap":             {admission.Request{Job: job, Queue: lateQueue, Cap: spec.Resources{MilliCPU: math.MaxInt}, Ahead: coreSeconds(1e6)}, false, 0},
		// A job in time goes before all that is late, however much that is.
		"only late work ahead": {admission.Request{Job: job, Queue: inTime, Cap: cap2, Ahead: huge, AheadInTime: coreSeconds(2)}, false, 0},
		"work in time ahead":   {admission.Request{Job: job, Queue: inTime, Cap: cap2, Ahead: coreSeconds(20), AheadInTime: coreSeconds(3)}, true, time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			dec := admission.Decide(tc.rq)
			require.Equal(t, tc.refused, dec.Refused, "%+v", dec)
			require.Equal(t, tc.retry, dec.RetryAfter)
		})
	}
}

// TestTallyLeavesOutWhatAJobOvertakes guards against refusals of jobs that placement
// would have started before the team's backlog.
func TestTallyLeavesOutWhatAJobOvertakes(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	queue := catalog.Queue{Pool: "desk", TargetLatency: 500 * time.Millisecond, Priority: 1}
	other := func(do func(st *spec.Step)) spec.Step {
		st := spec.Step{Count: 1, Resources: spec.Resources{MilliCPU: 1000}, Estimate: time.Second}
		do(&st)
		return st
	}
	plain := other(func(*spec.Step) {})
	cases := map[string]struct {
		queue catalog.Queue
		steps []spec.Step
		ahead int64
	}{
		"same size":      {queue, []spec.Step{plain}, 1},
		"less urgent":    {catalog.Queue{Pool: "desk", Priority: 2}, []spec.Step{plain}, 0},
		"other pool":     {catalog.Queue{Pool: "other"}, []spec.Step{plain}, 0},
		"adviser":        {catalog.Queue{Pool: "desk", Adviser: &catalog.AdviserSettings{}}, []spec.Step{plain}, 0},
		"more work left": {queue, []spec.Step{other(func(st *spec.Step) { st.Count = 3 })}, 0},
		"larger task":    {queue, []spec.Step{other(func(st *spec.Step) { st.Resources.MemoryMB = 1 })}, 0},
		"gang":           {queue, []spec.Step{other(func(st *spec.Step) { st.Gang = true })}, 0},
		"label":          {queue, []spec.Step{other(func(st *spec.Step) { st.Label = "gpu" })}, 0},
		"spread":         {queue, []spec.Step{other(func(st *spec.Step) { st.MaxPerWorker = 1 })}, 0},
		"one rack":       {queue, []spec.Step{other(func(st *spec.Step) { st.OneRack = true })}, 0},
		"best effort": {queue, []spec.Step{other(func(st *spec.Step) {
			st.BestEffort, st.Estimate, st.Resources.MilliCPU = true, 500*time.Millisecond, 2000
		})}, 0},
		"step not ready yet": {queue, []spec.Step{plain, other(func(st *spec.Step) { st.After = []int{0} })}, 1},
		"long-running":       {queue, []spec.Step{other(func(st *spec.Step) { st.LongRunning = true })}, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			mo := newModel(t)
			mo.apply(store.Change{Submit: &spec.Job{ID: "b", Queue: modelQueue.Key(), Team: hot, Steps: tc.steps}})
			jb := oneTask(time.Second)
			jb.Steps[0].Count = 2
			ta := admission.NewTally(admission.Request{Job: jb, Queue: queue}, now)
			mo.sr.Read(func(rd store.Reader) { ta.Add(rd.Job("b"), tc.queue) })
			require.Equal(t, coreSeconds(tc.ahead), ta.Request().Ahead)
		})
	}
}

// TestTallyCountsWhatIsLeftOfRunningTasks guards against running tasks that count in
// full until their end, or below 0 after their estimate.
func TestTallyCountsWhatIsLeftOfRunningTasks(t *testing.T) {
	mo := newModel(t)
	mo.accept(arrival{factor: 10, job: spec.Job{ID: "b", Queue: modelQueue.Key(), Team: hot, Steps: oneTask(2 * time.Second).Steps}})
	mo.step()
	left := func(after time.Duration) spec.Work {
		ta := admission.NewTally(admission.Request{Job: oneTask(time.Second), Queue: modelQueue}, modelStart.Add(after))
		mo.sr.Read(func(rd store.Reader) { ta.Add(rd.Job("b"), modelQueue) })
		return ta.Request().Ahead
	}
	require.Equal(t, coreSeconds(2), left(-time.Hour), "the clock was set back")
	require.Equal(t, coreSeconds(2), left(0))
	require.Equal(t, coreSeconds(1), left(time.Second))
	require.Zero(t, left(2*time.Second))
	require.Zero(t, left(time.Hour))
}

// BenchmarkTally measures a decision about a job of a team with 3,000 active jobs of
// four tasks, most of which wait.
func BenchmarkTally(b *testing.B) {
	mo := newModel(b)
	step := spec.Step{Count: 4, Resources: spec.Resources{MilliCPU: 1000}, Estimate: time.Second}
	for ix := range 3000 {
		mo.apply(store.Change{Submit: &spec.Job{ID: spec.JobID(fmt.Sprint(ix)), Queue: modelQueue.Key(), Team: hot, Steps: []spec.Step{step}}})
	}
	rq := admission.Request{Job: spec.Job{Team: hot, Steps: []spec.Step{step}}, Queue: modelQueue, Cap: spec.Resources{MilliCPU: 1000}}
	for b.Loop() {
		ta := admission.NewTally(rq, modelStart)
		mo.sr.Read(func(rd store.Reader) {
			rd.EachTeamJob(hot, func(js *store.JobState) { ta.Add(js, modelQueue) })
		})
		require.True(b, admission.Decide(ta.Request()).Refused)
	}
}
