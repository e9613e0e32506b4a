package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/store"
	"greengageweir/internal/schedule/placement"

	weir "greengageweir"
)

const (
	// reportedWait is how long a long-running task waits for a run before it is reported.
	reportedWait = time.Second
	// maxWaitLines limits the waiting tasks in one report, maxWaitWorkers the workers that
	// are named for one of them.
	maxWaitLines   = 4
	maxWaitWorkers = 16
)

// longRunningWait is a long-running step with a task that waits.
type longRunningWait struct {
	group placement.Group
	queue catalog.Queue
	task  weir.TaskRef
	since time.Time
}

// reportLongRunningWaits logs the long-running tasks that wait longest for a run, one line for
// each step, with the reason why each worker of the pool does not take it.
func (sc *Scheduler) reportLongRunningWaits(ls *leaderState, rd store.Reader, jobs []pendingJob, now time.Time) {
	wall := sc.Wall.Now()
	var waits []longRunningWait
	for _, pj := range jobs {
		for oc := range pj.job.Occurrences {
			for sp := range pj.job.Occurrences[oc] {
				if !pj.job.Spec.Steps[sp].LongRunning || pj.job.Spec.DueAt(oc).After(wall) {
					continue
				}
				gr, _ := sc.group(ls, pj.job, pj.queue, oc, sp, nil)
				if tk, ok := longestWait(gr); ok && wall.Sub(tk.WaitingSince) >= reportedWait {
					ref := gr.Step
					ref.Index = tk.Index
					waits = append(waits, longRunningWait{group: gr, queue: pj.queue, task: ref, since: tk.WaitingSince})
				}
			}
		}
	}
	if len(waits) == 0 {
		return
	}
	slices.SortFunc(waits, func(one, other longRunningWait) int {
		return cmp.Or(one.since.Compare(other.since), cmp.Compare(one.task.Job, other.task.Job))
	})
	doubtful := ls.doubtfulTasks(now)
	for _, lw := range waits[:min(len(waits), maxWaitLines)] {
		_ = sc.Logger.Log("level", "info", "msg", "long-running task waits", "job", lw.task.Job, "task", lw.task, "for", wall.Sub(lw.since).String(),
			"waiting", len(lw.group.Tasks), "steps", len(waits), "unansweredStart", doubtful[lw.task], "workers", sc.refusals(ls, rd, lw, now))
	}
}

// longestWait returns the task of a group that has waited longest for a run.
func longestWait(gr placement.Group) (longest placement.Task, ok bool) {
	for _, tk := range gr.Tasks {
		if !tk.Stopping && (!ok || tk.WaitingSince.Before(longest.WaitingSince)) {
			longest, ok = tk, true
		}
	}
	return longest, ok
}

// refusals names the workers of a task's pool with the reason why each does not take it:
// at most maxWaitWorkers of them by their ids, and how many there are for each reason.
func (sc *Scheduler) refusals(ls *leaderState, rd store.Reader, lw longRunningWait, now time.Time) string {
	if lw.queue.Adviser != nil {
		lw.group.AllowedWorkers = map[weir.InstanceID]string{}
		if ad := ls.advice[lw.group.Step]; ad != nil && now.Before(ad.until) {
			lw.group.AllowedWorkers = ad.tickets
		}
	}
	var named []string
	counts := map[string]int{}
	views := sc.workersIn(ls, rd, now, []pendingJob{{queue: lw.queue}}, func(unavailability) bool { return true })
	slices.SortFunc(views, func(one, other workerView) int { return cmp.Compare(one.ID, other.ID) })
	for ix := range views {
		wk := &views[ix]
		reason := string(sc.workerUnavailability(ls, rd, wk.ID, ls.sessions[wk.ID], now))
		if reason == string(available) {
			reason = cmp.Or(string(wk.Refusal(lw.group)), "has room")
		}
		counts[reason]++
		if len(named) < maxWaitWorkers {
			named = append(named, fmt.Sprintf("%s: %s", wk.ID, reason))
		}
	}
	if len(views) <= maxWaitWorkers {
		return strings.Join(named, ", ")
	}
	var parts []string
	for reason, count := range counts {
		parts = append(parts, fmt.Sprintf("%d: %s", count, reason))
	}
	slices.Sort(parts)
	return strings.Join(named, ", ") + "; all: " + strings.Join(parts, ", ")
}
