// Package taskworker is a stand-in for a worker that runs tasks: it pretends
// to work for as long as each task takes, keeps its lease, refuses what it must
// and lists ends, checkpoints and progress.
//
// Usage:
//
//	wk := &taskworker.Worker{ID: "t1", Born: now.UnixMilli(), Room: room, Clock: clk}
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
	// defaultLength is how long a task takes whose text names no length.
	defaultLength = 300 * time.Millisecond
	// maxWait bounds how long a renewal waits for an end.
	maxWait = 2 * time.Second
	// startup is how long a lasting task takes until it is at work.
	startup = 700 * time.Millisecond
	// full is the percent of a task that is done, or at work.
	full = 100
)

// Task is what a run does.
type Task struct {
	Length time.Duration
	// Lasts marks a task that does not end by itself.
	Lasts bool
	Need  spec.Resources
}

// running is one run.
type running struct {
	Task

	began time.Time
	from  time.Duration // work done before, from the checkpoint
}

// worked is the work that a run has done.
func (rn *running) worked(now time.Time) time.Duration {
	worked := rn.from + now.Sub(rn.began)
	if rn.Lasts {
		return worked
	}
	return min(worked, max(rn.Length, rn.from))
}

func (rn *running) percent(now time.Time) int {
	if rn.Lasts {
		return int(min(full, full*now.Sub(rn.began)/startup))
	}
	return int(full * rn.worked(now) / max(rn.Length, 1))
}

// coreSeconds is the work of this run alone.
func (rn *running) coreSeconds(now time.Time) float64 {
	return (rn.worked(now) - rn.from).Seconds() * cores(rn.Need)
}

func cores(nd spec.Resources) float64 { return float64(nd.MilliCPU) / 1000 }

// Usage is what a worker does and has done.
type Usage struct {
	// Runs is how many tasks run, on Cores cores.
	Runs  int
	Cores float64
	// Worked is all the work done here, Running that of the present runs, in
	// core-seconds.
	Worked, Running float64
}

// Worker is one life of a worker. Set the exported fields before use.
type Worker struct {
	ID    weir.InstanceID
	Born  int64
	Clock weir.Clock
	// Task tells what a run does when it begins; nil reads its length from the
	// order's text. It must not block.
	Task func(order weir.StartOrder) Task
	// Room bounds what runs at a time; the zero value bounds nothing.
	Room spec.Resources

	mu     sync.Mutex
	origin time.Time
	token  uint64
	until  time.Time
	runs   map[weir.RunKey]*running
	// last is the highest run of each task that was stopped or has ended.
	last   map[weir.TaskRef]int
	ends   []weir.RunEnd
	number int64
	ended  chan struct{}
	done   map[weir.TaskRef]int
	// worked is the work of runs that are over, in core-seconds.
	worked float64
	killed bool
}

// lock prepares the worker at its first use and lets time pass.
func (wk *Worker) lock() time.Time {
	wk.mu.Lock()
	now := wk.Clock.Now()
	if wk.runs == nil {
		wk.origin = now
		wk.runs, wk.last = map[weir.RunKey]*running{}, map[weir.TaskRef]int{}
		wk.done, wk.ended = map[weir.TaskRef]int{}, make(chan struct{})
	}
	for key, rn := range wk.runs {
		switch {
		case !rn.Lasts && rn.from+now.Sub(rn.began) >= rn.Length && !now.After(wk.until):
			wk.end(now, key, store.EndDone, "")
			wk.done[key.Task]++
		case now.After(wk.until):
			wk.end(now, key, store.EndLeaseExpired, "")
		}
	}
	return now
}

func (wk *Worker) end(now time.Time, key weir.RunKey, how store.EndReason, checkpoint string) {
	wk.worked += wk.runs[key].coreSeconds(now)
	delete(wk.runs, key)
	wk.last[key.Task] = max(wk.last[key.Task], key.Run)
	wk.number++
	wk.ends = append(wk.ends, weir.RunEnd{RunKey: key, Number: wk.number, Reason: string(how), Checkpoint: checkpoint})
	close(wk.ended)
	wk.ended = make(chan struct{})
}

// admit checks whom an order is for and from; it runs with the lock held.
func (wk *Worker) admit(life weir.WorkerIncarnation, token uint64) weir.Refusal {
	if life.ID != wk.ID || life.Incarnation != wk.Born {
		return weir.RefusedIncarnation
	}
	if token < wk.token {
		return weir.RefusedFenced
	}
	wk.token = token
	return weir.RefusedNone
}

func (wk *Worker) extend(until time.Duration) {
	if at := wk.origin.Add(until); at.After(wk.until) {
		wk.until = at
	}
}

// Start implements weir.TaskWorkers.
func (wk *Worker) Start(_ context.Context, life weir.WorkerIncarnation, order weir.StartOrder) (weir.OrderResponse, error) {
	now := wk.lock()
	defer wk.mu.Unlock()
	ans := weir.OrderResponse{Clock: now.Sub(wk.origin)}
	if ans.Refusal = wk.admit(life, order.Token); ans.Refusal != weir.RefusedNone {
		return ans, nil
	}
	wk.extend(order.Until)
	switch {
	case wk.runs[order.RunKey] != nil:
	case order.Run <= wk.last[order.Task]:
		ans.Refusal = weir.RefusedStale
	case now.After(wk.origin.Add(order.Until)):
		ans.Refusal = weir.RefusedLeaseExpired
	default:
		ans.Refusal = wk.begin(now, order)
	}
	return ans, nil
}

func (wk *Worker) begin(now time.Time, order weir.StartOrder) weir.Refusal {
	rn := &running{began: now, from: resume(order.Checkpoint), Task: Task{Length: length(order.Text)}}
	if wk.Task != nil {
		rn.Task = wk.Task(order)
	}
	if wk.Room != (spec.Resources{}) && !rn.Need.Fits(wk.Room.Minus(wk.used())) {
		return weir.RefusedCapacity
	}
	wk.runs[order.RunKey] = rn
	return weir.RefusedNone
}

// used is the room that runs take.
func (wk *Worker) used() spec.Resources {
	var sum spec.Resources
	for _, rn := range wk.runs {
		sum = sum.Plus(rn.Need)
	}
	return sum
}

// Usage returns what the worker does and has done.
func (wk *Worker) Usage() Usage {
	now := wk.lock()
	defer wk.mu.Unlock()
	us := Usage{Runs: len(wk.runs), Cores: cores(wk.used())}
	for _, rn := range wk.runs {
		us.Running += rn.coreSeconds(now)
	}
	us.Worked = wk.worked + us.Running
	return us
}

// Kill ends the worker without a word: what runs is over, and renewals that
// wait return.
func (wk *Worker) Kill() {
	now := wk.lock()
	defer wk.mu.Unlock()
	for key, rn := range wk.runs {
		wk.worked += rn.coreSeconds(now)
		delete(wk.runs, key)
	}
	wk.killed = true
	close(wk.ended)
	wk.ended = make(chan struct{})
}

// length reads how long a task takes from a text such as "800ms and more".
func length(text string) time.Duration {
	if word := strings.Fields(text); len(word) > 0 {
		if span, err := time.ParseDuration(word[0]); err == nil {
			return span
		}
	}
	return defaultLength
}

func resume(checkpoint string) time.Duration {
	// A checkpoint that is not ours means that the work starts anew.
	nanos, err := strconv.ParseInt(checkpoint, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(nanos)
}

// Stop implements weir.TaskWorkers.
func (wk *Worker) Stop(_ context.Context, life weir.WorkerIncarnation, key weir.RunKey, token uint64) (weir.OrderResponse, error) {
	now := wk.lock()
	defer wk.mu.Unlock()
	ans := weir.OrderResponse{Clock: now.Sub(wk.origin)}
	if ans.Refusal = wk.admit(life, token); ans.Refusal != weir.RefusedNone {
		return ans, nil
	}
	if rn := wk.runs[key]; rn != nil {
		wk.end(now, key, store.EndStopped, strconv.FormatInt(int64(rn.worked(now)), 10))
	}
	wk.last[key.Task] = max(wk.last[key.Task], key.Run)
	return ans, nil
}

// Throttle implements weir.TaskWorkers; the stand-in's tasks disturb nobody.
func (wk *Worker) Throttle(_ context.Context, life weir.WorkerIncarnation, _ weir.RunKey, _ int, token uint64) (weir.OrderResponse, error) {
	now := wk.lock()
	defer wk.mu.Unlock()
	return weir.OrderResponse{Clock: now.Sub(wk.origin), Refusal: wk.admit(life, token)}, nil
}

// Renew implements weir.TaskWorkers.
func (wk *Worker) Renew(ctx context.Context, life weir.WorkerIncarnation, order weir.RenewOrder) (weir.WorkerReport, error) {
	begin := wk.lock()
	if wk.admit(life, order.Token) == weir.RefusedNone {
		wk.extend(order.Until)
		wk.acknowledge(order.Acknowledged)
	}
	patience := begin.Add(min(order.Wait, maxWait))
	for len(wk.ends) == 0 && !wk.killed && wk.Clock.Now().Before(patience) && ctx.Err() == nil {
		ended, next := wk.ended, wk.nextEnd(patience)
		wk.mu.Unlock()
		timer := time.NewTimer(next)
		select {
		case <-ended:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		wk.lock()
	}
	defer wk.mu.Unlock()
	return wk.report(), nil
}

// nextEnd is how long to wait until something may have ended.
func (wk *Worker) nextEnd(patience time.Time) time.Duration {
	now := wk.Clock.Now()
	next := patience.Sub(now)
	for _, rn := range wk.runs {
		if !rn.Lasts {
			next = min(next, rn.Length-rn.from-now.Sub(rn.began))
		}
	}
	return max(next, time.Millisecond)
}

func (wk *Worker) acknowledge(number int64) {
	wk.ends = slices.DeleteFunc(wk.ends, func(en weir.RunEnd) bool { return en.Number <= number })
}

func (wk *Worker) report() weir.WorkerReport {
	now := wk.Clock.Now()
	rep := weir.WorkerReport{Clock: now.Sub(wk.origin), Incarnation: wk.Born, Ends: slices.Clone(wk.ends)}
	for key, rn := range wk.runs {
		rep.Running = append(rep.Running, weir.RunningTask{
			RunKey: key, Percent: rn.percent(now), Checkpoint: strconv.FormatInt(int64(rn.worked(now).Truncate(time.Second)), 10),
		})
	}
	return rep
}

// Forget implements weir.TaskWorkers.
func (wk *Worker) Forget(string) {}

// Done returns how often each task was done here.
func (wk *Worker) Done() map[weir.TaskRef]int {
	wk.lock()
	defer wk.mu.Unlock()
	out := make(map[weir.TaskRef]int, len(wk.done))
	for task, count := range wk.done {
		out[task] = count
	}
	return out
}
