// Package taskworker is a stand-in for a worker that runs tasks: it pretends
// to work for each task's estimate, keeps its lease, refuses what it must and
// lists ends, checkpoints and progress.
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

	"greengageweir/internal/job/store"

	weir "greengageweir"
)

const (
	// defaultLength is how long a task takes whose text names no length.
	defaultLength = 300 * time.Millisecond
	// maxWait bounds how long a renewal waits for an end.
	maxWait = 2 * time.Second
	// full is the percent of a task that is done.
	full = 100
)

// running is one run.
type running struct {
	began  time.Time
	from   time.Duration // work done before, from the checkpoint
	length time.Duration
}

// Worker is one life of a worker. Set the exported fields before use.
type Worker struct {
	ID    weir.InstanceID
	Born  int64
	Clock weir.Clock

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
		case rn.from+now.Sub(rn.began) >= rn.length && !now.After(wk.until):
			wk.end(key, store.EndDone, "")
			wk.done[key.Task]++
		case now.After(wk.until):
			wk.end(key, store.EndLapsed, "")
		}
	}
	return now
}

func (wk *Worker) end(key weir.RunKey, how store.How, checkpoint string) {
	delete(wk.runs, key)
	wk.last[key.Task] = max(wk.last[key.Task], key.Run)
	wk.number++
	wk.ends = append(wk.ends, weir.RunEnd{RunKey: key, Number: wk.number, How: string(how), Checkpoint: checkpoint})
	close(wk.ended)
	wk.ended = make(chan struct{})
}

// admit checks whom an order is for and from; it runs with the lock held.
func (wk *Worker) admit(life weir.WorkerLife, token uint64) weir.Refusal {
	if life.ID != wk.ID || life.Born != wk.Born {
		return weir.RefusedLife
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
func (wk *Worker) Start(_ context.Context, life weir.WorkerLife, order weir.RunOrder) (weir.OrderAnswer, error) {
	now := wk.lock()
	defer wk.mu.Unlock()
	ans := weir.OrderAnswer{Clock: now.Sub(wk.origin)}
	if ans.Refusal = wk.admit(life, order.Token); ans.Refusal != weir.RefusedNone {
		return ans, nil
	}
	wk.extend(order.Until)
	switch {
	case wk.runs[order.RunKey] != nil:
	case order.Run <= wk.last[order.Task]:
		ans.Refusal = weir.RefusedOld
	case now.After(wk.origin.Add(order.Until)):
		ans.Refusal = weir.RefusedLate
	default:
		wk.runs[order.RunKey] = &running{began: now, length: length(order.Text), from: resume(order.Checkpoint)}
	}
	return ans, nil
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
func (wk *Worker) Stop(_ context.Context, life weir.WorkerLife, key weir.RunKey, token uint64) (weir.OrderAnswer, error) {
	now := wk.lock()
	defer wk.mu.Unlock()
	ans := weir.OrderAnswer{Clock: now.Sub(wk.origin)}
	if ans.Refusal = wk.admit(life, token); ans.Refusal != weir.RefusedNone {
		return ans, nil
	}
	if rn := wk.runs[key]; rn != nil {
		wk.end(key, store.EndStopped, strconv.FormatInt(int64(rn.from+now.Sub(rn.began)), 10))
	}
	wk.last[key.Task] = max(wk.last[key.Task], key.Run)
	return ans, nil
}

// Pace implements weir.TaskWorkers; the stand-in's tasks disturb nobody.
func (wk *Worker) Pace(_ context.Context, life weir.WorkerLife, _ weir.RunKey, _ int, token uint64) (weir.OrderAnswer, error) {
	now := wk.lock()
	defer wk.mu.Unlock()
	return weir.OrderAnswer{Clock: now.Sub(wk.origin), Refusal: wk.admit(life, token)}, nil
}

// Renew implements weir.TaskWorkers.
func (wk *Worker) Renew(ctx context.Context, life weir.WorkerLife, order weir.RenewOrder) (weir.WorkerReport, error) {
	begin := wk.lock()
	if wk.admit(life, order.Token) == weir.RefusedNone {
		wk.extend(order.Until)
		wk.acknowledge(order.Acknowledged)
	}
	patience := begin.Add(min(order.Wait, maxWait))
	for len(wk.ends) == 0 && wk.Clock.Now().Before(patience) && ctx.Err() == nil {
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
		next = min(next, rn.length-rn.from-now.Sub(rn.began))
	}
	return max(next, time.Millisecond)
}

func (wk *Worker) acknowledge(number int64) {
	wk.ends = slices.DeleteFunc(wk.ends, func(en weir.RunEnd) bool { return en.Number <= number })
}

func (wk *Worker) report() weir.WorkerReport {
	now := wk.Clock.Now()
	rep := weir.WorkerReport{Clock: now.Sub(wk.origin), Born: wk.Born, Ends: slices.Clone(wk.ends)}
	for key, rn := range wk.runs {
		worked := rn.from + now.Sub(rn.began)
		rep.Running = append(rep.Running, weir.RunningTask{
			RunKey: key, Percent: int(full * worked / max(rn.length, 1)),
			Checkpoint: strconv.FormatInt(int64(worked.Truncate(time.Second)), 10),
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
