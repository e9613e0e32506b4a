// Package taskworker simulates a worker that runs tasks. A simulated task does
// no work and completes when its duration has passed. The worker enforces its
// lease, rejects invalid orders, and reports progress, checkpoints and the end
// of each run.
//
// Usage:
//
//	wk := &taskworker.Worker{ID: "t1", Born: now.UnixMilli(), Capacity: capacity, Clock: clk}
//	http.ListenAndServe(addr, taskapi.Routes(wk))
package taskworker

import (
	"context"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

const (
	// defaultDuration applies to a task whose text specifies no duration.
	defaultDuration = 300 * time.Millisecond
	// maxWait limits how long Renew waits for a run to end.
	maxWait = 2 * time.Second
	// longRunningStartup is how long a long-running task takes to become ready.
	longRunningStartup = 700 * time.Millisecond
	// fullPercent is the progress of a task that is done, or of a long-running
	// task that is ready.
	fullPercent = 100
)

// Task describes the simulated work of a run.
type Task struct {
	Duration time.Duration
	// LongRunning marks a task that runs until it is stopped.
	LongRunning bool
	Resources   spec.Resources
}

// running is the state of a run in progress.
type running struct {
	Task

	startedAt   time.Time
	resumedFrom time.Duration // work done by earlier runs, from the checkpoint
}

// workDone returns the working time completed so far, including that of the
// checkpoint the run resumed from.
func (rn *running) workDone(now time.Time) time.Duration {
	worked := rn.resumedFrom + now.Sub(rn.startedAt)
	if rn.LongRunning {
		return worked
	}
	return min(worked, max(rn.Duration, rn.resumedFrom))
}

// percent returns the progress, or the startup progress of a long-running task.
func (rn *running) percent(now time.Time) int {
	if rn.LongRunning {
		return int(min(fullPercent, fullPercent*now.Sub(rn.startedAt)/longRunningStartup))
	}
	return int(fullPercent * rn.workDone(now) / max(rn.Duration, 1))
}

// coreSeconds returns the core-seconds used by this run, without earlier runs.
func (rn *running) coreSeconds(now time.Time) float64 {
	return (rn.workDone(now) - rn.resumedFrom).Seconds() * cores(rn.Resources)
}

func cores(nd spec.Resources) float64 { return float64(nd.MilliCPU) / 1000 }

// Usage is the present load and the total work of a worker.
type Usage struct {
	// Runs is the number of tasks in progress, Cores the cores reserved for them.
	Runs  int
	Cores float64
	// TotalWork is the work of all runs, RunningWork that of the runs in
	// progress, both in core-seconds.
	TotalWork, RunningWork float64
}

// Worker simulates one incarnation of a worker. Set the exported fields before
// use.
type Worker struct {
	ID    weir.InstanceID
	Born  int64
	Clock weir.Clock
	// Task returns the simulated work of a run at its start; nil takes the
	// duration from the order's text. It must not block.
	Task func(order weir.StartOrder) Task
	// Capacity limits the resources in use at a time; the zero value sets no limit.
	Capacity spec.Resources

	mu           sync.Mutex
	clockOrigin  time.Time
	token        uint64 // highest fencing token seen
	leaseExpires time.Time
	runs         map[weir.RunKey]*running
	// lastRun is the highest run number of each task that was stopped or ended.
	lastRun    map[weir.TaskRef]int
	ends       []weir.RunEnd
	lastEnd    int64 // number of the newest end
	endSignal  chan struct{}
	doneCounts map[weir.TaskRef]int
	// finishedWork is the work of ended runs, in core-seconds.
	finishedWork float64
	killed       bool
}

// lockAndUpdate takes the lock, initializes the worker on first use, and ends
// runs that have completed or whose lease has expired. It returns the time.
func (wk *Worker) lockAndUpdate() time.Time {
	wk.mu.Lock()
	now := wk.Clock.Now()
	if wk.runs == nil {
		wk.clockOrigin = now
		wk.runs, wk.lastRun = map[weir.RunKey]*running{}, map[weir.TaskRef]int{}
		wk.doneCounts, wk.endSignal = map[weir.TaskRef]int{}, make(chan struct{})
	}
	for key, rn := range wk.runs {
		switch {
		case !rn.LongRunning && rn.resumedFrom+now.Sub(rn.startedAt) >= rn.Duration && !now.After(wk.leaseExpires):
			wk.endRun(now, key, store.EndDone, "")
			wk.doneCounts[key.Task]++
		case now.After(wk.leaseExpires):
			wk.endRun(now, key, store.EndLeaseExpired, "")
		}
	}
	return now
}

// endRun ends a run and wakes waiting calls of Renew.
func (wk *Worker) endRun(now time.Time, key weir.RunKey, reason store.EndReason, checkpoint string) {
	wk.finishedWork += wk.runs[key].coreSeconds(now)
	delete(wk.runs, key)
	wk.lastRun[key.Task] = max(wk.lastRun[key.Task], key.Run)
	wk.lastEnd++
	wk.ends = append(wk.ends, weir.RunEnd{RunKey: key, Number: wk.lastEnd, Reason: string(reason), Checkpoint: checkpoint})
	close(wk.endSignal)
	wk.endSignal = make(chan struct{})
}

// authorize rejects orders for another incarnation and orders with an outdated
// fencing token. The lock must be held.
func (wk *Worker) authorize(inc weir.WorkerIncarnation, token uint64) weir.Refusal {
	if inc.ID != wk.ID || inc.Incarnation != wk.Born {
		return weir.RefusedIncarnation
	}
	if token < wk.token {
		return weir.RefusedFenced
	}
	wk.token = token
	return weir.RefusedNone
}

func (wk *Worker) extendLease(until time.Duration) {
	if at := wk.clockOrigin.Add(until); at.After(wk.leaseExpires) {
		wk.leaseExpires = at
	}
}

// Start implements weir.TaskWorkers.
func (wk *Worker) Start(_ context.Context, inc weir.WorkerIncarnation, order weir.StartOrder) (weir.OrderResponse, error) {
	now := wk.lockAndUpdate()
	defer wk.mu.Unlock()
	ans := weir.OrderResponse{Clock: now.Sub(wk.clockOrigin)}
	if ans.Refusal = wk.authorize(inc, order.Token); ans.Refusal != weir.RefusedNone {
		return ans, nil
	}
	wk.extendLease(order.Until)
	switch {
	case wk.runs[order.RunKey] != nil:
	case order.Run <= wk.lastRun[order.Task]:
		ans.Refusal = weir.RefusedStale
	case now.After(wk.clockOrigin.Add(order.Until)):
		ans.Refusal = weir.RefusedLeaseExpired
	default:
		ans.Refusal = wk.startRun(now, order)
	}
	return ans, nil
}

func (wk *Worker) startRun(now time.Time, order weir.StartOrder) weir.Refusal {
	rn := &running{startedAt: now, resumedFrom: parseCheckpoint(order.Checkpoint), Task: Task{Duration: parseDuration(order.Text)}}
	if wk.Task != nil {
		rn.Task = wk.Task(order)
	}
	if wk.Capacity != (spec.Resources{}) && !rn.Resources.Fits(wk.Capacity.Minus(wk.usedResources())) {
		return weir.RefusedCapacity
	}
	wk.runs[order.RunKey] = rn
	return weir.RefusedNone
}

// usedResources returns the sum of resources of all runs in progress.
func (wk *Worker) usedResources() spec.Resources {
	var sum spec.Resources
	for _, rn := range wk.runs {
		sum = sum.Plus(rn.Resources)
	}
	return sum
}

// Usage returns the present load and the total work.
func (wk *Worker) Usage() Usage {
	now := wk.lockAndUpdate()
	defer wk.mu.Unlock()
	us := Usage{Runs: len(wk.runs), Cores: cores(wk.usedResources())}
	for _, rn := range wk.runs {
		us.RunningWork += rn.coreSeconds(now)
	}
	us.TotalWork = wk.finishedWork + us.RunningWork
	return us
}

// Kill simulates a crash: it ends all runs without reporting them and unblocks
// waiting calls of Renew.
func (wk *Worker) Kill() {
	now := wk.lockAndUpdate()
	defer wk.mu.Unlock()
	for key, rn := range wk.runs {
		wk.finishedWork += rn.coreSeconds(now)
		delete(wk.runs, key)
	}
	wk.killed = true
	close(wk.endSignal)
	wk.endSignal = make(chan struct{})
}

// parseDuration returns the duration that starts a text such as "800ms and more".
func parseDuration(text string) time.Duration {
	if word := strings.Fields(text); len(word) > 0 {
		if span, err := time.ParseDuration(word[0]); err == nil {
			return span
		}
	}
	return defaultDuration
}

// parseCheckpoint returns the working time that a checkpoint records.
func parseCheckpoint(checkpoint string) time.Duration {
	// A checkpoint in another format restarts the work from zero.
	nanos, err := strconv.ParseInt(checkpoint, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(nanos)
}

// Stop implements weir.TaskWorkers.
func (wk *Worker) Stop(_ context.Context, inc weir.WorkerIncarnation, key weir.RunKey, token uint64) (weir.OrderResponse, error) {
	now := wk.lockAndUpdate()
	defer wk.mu.Unlock()
	ans := weir.OrderResponse{Clock: now.Sub(wk.clockOrigin)}
	if ans.Refusal = wk.authorize(inc, token); ans.Refusal != weir.RefusedNone {
		return ans, nil
	}
	if rn := wk.runs[key]; rn != nil {
		wk.endRun(now, key, store.EndStopped, strconv.FormatInt(int64(rn.workDone(now)), 10))
	}
	wk.lastRun[key.Task] = max(wk.lastRun[key.Task], key.Run)
	return ans, nil
}

// Throttle implements weir.TaskWorkers; it does not slow simulated tasks down.
func (wk *Worker) Throttle(_ context.Context, inc weir.WorkerIncarnation, _ weir.RunKey, _ int, token uint64) (weir.OrderResponse, error) {
	now := wk.lockAndUpdate()
	defer wk.mu.Unlock()
	return weir.OrderResponse{Clock: now.Sub(wk.clockOrigin), Refusal: wk.authorize(inc, token)}, nil
}

// Renew implements weir.TaskWorkers.
func (wk *Worker) Renew(ctx context.Context, inc weir.WorkerIncarnation, order weir.RenewOrder) (weir.WorkerReport, error) {
	begin := wk.lockAndUpdate()
	if wk.authorize(inc, order.Token) == weir.RefusedNone {
		wk.extendLease(order.Until)
		wk.acknowledge(order.Acknowledged)
	}
	deadline := begin.Add(min(order.Wait, maxWait))
	for len(wk.ends) == 0 && !wk.killed && wk.Clock.Now().Before(deadline) && ctx.Err() == nil {
		ended, next := wk.endSignal, wk.untilNextEnd(deadline)
		wk.mu.Unlock()
		timer := time.NewTimer(next)
		select {
		case <-ended:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		wk.lockAndUpdate()
	}
	defer wk.mu.Unlock()
	return wk.report(), nil
}

// untilNextEnd returns how long to wait until the next run may end, or until
// the deadline.
func (wk *Worker) untilNextEnd(deadline time.Time) time.Duration {
	now := wk.Clock.Now()
	next := deadline.Sub(now)
	for _, rn := range wk.runs {
		if !rn.LongRunning {
			next = min(next, rn.Duration-rn.resumedFrom-now.Sub(rn.startedAt))
		}
	}
	return max(next, time.Millisecond)
}

func (wk *Worker) acknowledge(number int64) {
	wk.ends = slices.DeleteFunc(wk.ends, func(en weir.RunEnd) bool { return en.Number <= number })
}

func (wk *Worker) report() weir.WorkerReport {
	now := wk.Clock.Now()
	rep := weir.WorkerReport{Clock: now.Sub(wk.clockOrigin), Incarnation: wk.Born, Ends: slices.Clone(wk.ends)}
	for key, rn := range wk.runs {
		rep.Running = append(rep.Running, weir.RunningTask{
			RunKey: key, Percent: rn.percent(now), Checkpoint: strconv.FormatInt(int64(rn.workDone(now).Truncate(time.Second)), 10),
		})
	}
	return rep
}

// Forget implements weir.TaskWorkers.
func (wk *Worker) Forget(string) {}

// Done returns how many runs of each task have completed.
func (wk *Worker) Done() map[weir.TaskRef]int {
	wk.lockAndUpdate()
	defer wk.mu.Unlock()
	out := make(map[weir.TaskRef]int, len(wk.doneCounts))
	for task, count := range wk.doneCounts {
		out[task] = count
	}
	return out
}
