package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"greengageweir/internal/common/clock"
)

const (
	// finishTime is finish_s, calmTime the span for which a job has to stand still.
	finishTime = 14 * time.Second
	calmTime   = 3 * time.Second
	jobID      = "5c0e7a21d94b36f8"
	otherID    = "7d1f8b32ea5c4709"
)

// lasting is a step of one task that lasts.
func lasting(count int) map[string]any {
	return map[string]any{"count": count, "cpu": 5000, "mem_mb": 9700, "estimated_ms": 700, "long_running": true, "anti_affinity": 1, "may_miss": 1}
}

// crashedWorkers crashes two workers, one after the other, each a second after a task
// of the same lasting job has begun there.
func crashedWorkers(fl *fleet) error {
	if status, _ := fl.askAgain(http.MethodPost, "/a/"+jobID, job("cpu=5000", lasting(5))); status != http.StatusOK {
		return errNotAccepted
	}
	first := jobID + ".0.0.0"
	crashes := 2
	if !fl.trouble {
		crashes = 0
	}
	for run := 1; run <= crashes; run++ {
		var mc *machine
		if err := fl.until(20*time.Second, "next run", func() bool {
			found, number := fl.running(first)
			mc = found
			return found != nil && number >= run
		}); err != nil {
			return err
		}
		time.Sleep(time.Second)
		fl.restart(mc, 2*time.Second)
		time.Sleep(100 * time.Millisecond)
	}
	end := now().Add(20 * time.Second)
	for now().Before(end) {
		status, text := fl.askAgain(http.MethodGet, "/a/"+jobID, nil)
		if status == http.StatusOK && strings.Contains(text, "failed") {
			time.Sleep(9 * time.Second)
			mc, _ := fl.running(first)
			return broken("a lasting job that nobody cancelled is shown as failed; no run ended failed, two workers crashed; its first task runs again: %v", mc != nil)
		}
		time.Sleep(time.Second)
	}
	return nil
}

// removedQueue removes the queue of an accepted job from the configuration while the
// job's first step runs.
func removedQueue(fl *fleet) error {
	first := map[string]any{"count": 2, "cpu": 3500, "mem_mb": 5000, "estimated_ms": 2500}
	second := map[string]any{"count": 2, "cpu": 3500, "mem_mb": 5000, "estimated_ms": 2500, "after": []int{0}}
	if status, _ := fl.askAgain(http.MethodPost, "/a/"+jobID, job("work_ms=2500 cpu=3500", first, second)); status != http.StatusOK {
		return errNotAccepted
	}
	if err := fl.until(10*time.Second, "start of the first step", func() bool {
		_, tasks := fl.tasks("pool-a", jobID)
		return tasks == 2
	}); err != nil {
		return err
	}
	queues := []string{"a", "b"}
	if fl.trouble {
		queues = []string{"b"}
	}
	if err := fl.configure(0, 2, queues...); err != nil {
		return err
	}
	time.Sleep(finishTime)
	_, _ = fl.ask(0, http.MethodGet, "/a/"+jobID, nil)
	idle := now()
	for now().Sub(idle) < calmTime {
		if _, tasks := fl.tasks("pool-a", jobID); tasks > 0 || fl.rec.hasStarted(jobID+".0.1.") {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	all, _ := fl.tasks("pool-a", jobID)
	return broken("the second step of an accepted job has not begun %s after the first, with %d tasks in its pool of %d workers", finishTime+calmTime, all, workersInPool)
}

// dottedID submits a job whose id has a dot, then an ordinary one.
func dottedID(fl *fleet) error {
	id := otherID
	if fl.trouble {
		id = "7d1f8b32.a5c4709"
	}
	step := map[string]any{"count": 2, "cpu": 3500, "mem_mb": 5000, "estimated_ms": 1000}
	_, _ = fl.ask(0, http.MethodPost, "/a/"+id, job("work_ms=1000 cpu=3500", step))
	time.Sleep(500 * time.Millisecond)
	return fl.ordinary(50 * time.Second)
}

// sameID has two callers of two queues choose the same id.
func sameID(fl *fleet) error {
	if status, _ := fl.askAgain(http.MethodPost, "/a/"+jobID, job("cpu=5000", lasting(2))); status != http.StatusOK {
		return errNotAccepted
	}
	id := otherID
	if fl.trouble {
		id = jobID
	}
	step := map[string]any{"count": 2, "cpu": 3500, "mem_mb": 5000, "estimated_ms": 1000}
	if status, _ := fl.askAgain(http.MethodPost, "/b/"+id, job("work_ms=1000 cpu=3500", step)); status != http.StatusOK {
		return errNotAccepted
	}
	begin := now()
	for now().Sub(begin) < finishTime+calmTime {
		if all, _ := fl.tasks("pool-b", id); all > 0 {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	_, foreign := fl.ask(0, http.MethodGet, "/b/"+id, nil)
	_, _ = fl.ask(1, http.MethodDelete, "/b/"+id, nil)
	_, own := fl.ask(2, http.MethodGet, "/a/"+jobID, nil)
	return broken("no task of a job that queue b accepted has begun after %s; its state is that of queue a's job: %q; a DELETE at queue b leaves that job as %q",
		finishTime+calmTime, strings.TrimSpace(foreign), strings.TrimSpace(own))
}

// ordinary submits an ordinary job and expects it to be done within a limit. Otherwise
// the rule is broken if nothing of the job has run for calmTime, though its pool is idle.
func (fl *fleet) ordinary(limit time.Duration) error {
	step := map[string]any{"count": 8, "cpu": 3500, "mem_mb": 5000, "estimated_ms": 1000}
	path := "/a/" + jobID
	if status, _ := fl.askAgain(http.MethodPost, path, job("work_ms=1000 cpu=3500", step)); status != http.StatusOK {
		return errNotAccepted
	}
	begin, asked, active := now(), now(), now()
	text := ""
	for now().Sub(begin) < limit {
		if all, _ := fl.tasks("pool-a", jobID); all > 0 {
			active = now()
		}
		if now().Sub(asked) > 2*time.Second {
			_, text = fl.askAgain(http.MethodGet, path, nil)
			asked = now()
		}
		if strings.Contains(text, "done") {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	if idle := now().Sub(active); idle > calmTime {
		return broken("an accepted job is not done after %s, and its pool of %d workers has been idle for %s; its last answer was %q",
			limit, workersInPool, idle.Round(time.Second), strings.TrimSpace(text))
	}
	return nil
}

const (
	// manySteps is how many steps the large job has, manyTimes how often they run.
	manySteps = 256
	manyTimes = 10_000
	fewTimes  = 2
)

// manyFields has an ordinary job run, and then submits a job of legal size that is made
// of very many short fields.
func manyFields(fl *fleet) error {
	if err := fl.ordinary(20 * time.Second); err != nil {
		return err
	}
	times := fewTimes
	if fl.trouble {
		times = manyTimes
	}
	list := make([]map[string]any, manySteps)
	for no := range list {
		list[no] = map[string]any{"count": 1, "cpu": 500, "mem_mb": 100, "estimated_ms": 100}
	}
	large := job("work_ms=100 cpu=500", list...)
	large["repeat_count"], large["interval_ms"], large["start_at_ms"] = times, 1, clock.Wall{}.Now().UnixMilli()
	_, _ = fl.ask(0, http.MethodPost, "/b/"+otherID, large)
	return fl.checkAnswers()
}

// checkAnswers waits, and then asks about the job that was done before. The rule is
// broken if control processes end by themselves again and again.
func (fl *fleet) checkAnswers() error {
	time.Sleep(finishTime + recoverTime)
	answered := 0
	for try := range 4 * zones {
		if status, _ := fl.ask(try%zones, http.MethodGet, "/a/"+jobID, nil); status == http.StatusOK {
			answered++
		}
		time.Sleep(500 * time.Millisecond)
	}
	if loops := fl.crashLoops(); len(loops) >= zones/2 {
		return broken("on %d of %d core machines the control process ended by itself %d times or more (%s); %d of %d calls about a job that was done before were answered",
			len(loops), zones, loopEnds, strings.Join(loops, " "), answered, 4*zones)
	}
	return nil
}

// loopEnds is how often a process has to end by itself to count.
const loopEnds = 3

// crashLoops returns the control processes that have ended loopEnds times or more, which
// no signal of a case has ended.
func (fl *fleet) crashLoops() []string {
	var loops []string
	text, _ := os.ReadFile(filepath.Join(fl.dir, "ends")) //nolint:gosec // the script names the folder
	for zone := 1; zone <= zones; zone++ {
		name := fmt.Sprintf("core-%d", zone)
		if strings.Count(string(text), name+" ended with code") >= loopEnds {
			loops = append(loops, name)
		}
	}
	return loops
}

// endReason has a worker list an end with a reason that holds a quotation mark.
func endReason(fl *fleet) error {
	if err := fl.ordinary(20 * time.Second); err != nil {
		return err
	}
	if fl.trouble {
		change := func(name, how string) string {
			if strings.HasPrefix(name, otherID) {
				return `killed "oom"`
			}
			return how
		}
		fl.how.Store(&change)
	}
	step := map[string]any{"count": 1, "cpu": 3500, "mem_mb": 5000, "estimated_ms": 1000}
	_, _ = fl.ask(0, http.MethodPost, "/b/"+otherID, job("work_ms=1000 cpu=3500", step))
	return fl.checkAnswers()
}

const (
	// jobRate is below the site's 18.7 jobs a second, jobSteps between the 2 steps of its
	// jobs on average and the 4 at most.
	jobRate  = 18
	jobSteps = 3
	fillTime = 60 * time.Second
	// restartGap is the pause between two control processes that are restarted in turn.
	restartGap = 2 * time.Second
	// recoverTime is recover_s.
	recoverTime = 12 * time.Second
)

// waveBeforeRestart starts a wave that has to wait, since a lasting job has as many
// tasks away as it allows. Ordinary jobs run meanwhile. Then the control processes are
// stopped and started in turn, and the lasting job is cancelled, so that the wave begins.
func waveBeforeRestart(fl *fleet) error {
	lastingA, lastingB := "7d1f8b32ea5c47a0", "7d1f8b32ea5c47b0"
	for path, count := range map[string]int{"/a/" + lastingA: workersInPool + 1, "/b/" + lastingB: workersInPool} {
		if status, _ := fl.askAgain(http.MethodPost, path, job("cpu=5000", lasting(count))); status != http.StatusOK {
			return errNotAccepted
		}
	}
	if err := fl.until(20*time.Second, "start of the lasting jobs", func() bool {
		_, inA := fl.tasks("pool-a", lastingA)
		_, inB := fl.tasks("pool-b", lastingB)
		return inA == workersInPool && inB == workersInPool
	}); err != nil {
		return err
	}
	if err := fl.startWave(1, "m-00"); err != nil {
		return err
	}
	last := fl.fill(fillTime)
	if last == "" {
		return errNotAccepted
	}
	if fl.trouble {
		for _, name := range []string{"core-1", "core-2", "core-3", "core-4"} {
			if err := fl.signal(name, syscall.SIGTERM); err != nil {
				return err
			}
			time.Sleep(restartGap)
		}
	}
	_, _ = fl.askAgain(http.MethodDelete, "/a/"+lastingA, nil)
	time.Sleep(recoverTime)
	for try := range 3 * zones {
		if status, _ := fl.ask(try%zones, http.MethodGet, last, nil); status == http.StatusOK {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return broken("no process answers about an accepted job, %s after the control processes were restarted in turn", recoverTime)
}

// fill submits ordinary jobs for a while. It returns the path of one that was accepted,
// "" if none was.
func (fl *fleet) fill(span time.Duration) string {
	steps := make([]map[string]any, jobSteps)
	for no := range steps {
		steps[no] = map[string]any{"count": 1, "cpu": 500, "mem_mb": 500, "estimated_ms": 100}
		if no > 0 {
			steps[no]["after"] = []int{no - 1}
		}
	}
	ticker := time.NewTicker(time.Second / jobRate)
	defer ticker.Stop()
	var accepted atomic.Value
	var group sync.WaitGroup
	begin := now()
	for number := 0; now().Sub(begin) < span; number++ {
		<-ticker.C
		group.Go(func() {
			path := fmt.Sprintf("/b/%016x", number)
			if status, _ := fl.ask(number%zones, http.MethodPost, path, job("work_ms=100 cpu=500", steps...)); status == http.StatusOK {
				accepted.Store(path)
			}
		})
	}
	group.Wait()
	path, _ := accepted.Load().(string)
	return path
}

const (
	// overlap is how long the new core machine runs before the old one is stopped, as the
	// bench does it: catch_up_s.
	overlap = 4 * time.Second
	// lossPause is the time from then until another machine loses its disk.
	lossPause = time.Second
	// settle is the time that a fresh cluster gets before the first event.
	settle = 8 * time.Second
)

// replacedCore replaces a core machine by an empty one at another address: the new one
// comes first, then, when it has had its time to catch up, the old one is stopped for good.
// No machine counts as lost any more. A second later, another machine loses its disk right
// after it has acknowledged a configuration.
func replacedCore(fl *fleet) error {
	if err := fl.ordinary(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(settle)
	if fl.trouble {
		if err := fl.mark("core-5", "go"); err != nil {
			return err
		}
		time.Sleep(overlap)
		if err := errors.Join(fl.mark("core-1", "gone"), fl.signal("core-1", syscall.SIGTERM)); err != nil {
			return err
		}
		time.Sleep(lossPause)
	}
	if err := fl.configure(1, 2, "a", "b"); err != nil {
		return err
	}
	if fl.trouble {
		if err := errors.Join(fl.mark("core-2", "wipe"), fl.signal("core-2", syscall.SIGKILL)); err != nil {
			return err
		}
	}
	time.Sleep(2 * recoverTime)
	readers := fl.controls
	if fl.trouble {
		readers = append(slices.Clone(fl.controls[1:]), fl.newControl)
	}
	read, answered := 0, 0
	for try := range 4 * zones {
		addr := readers[try%len(readers)]
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		status, text, err := call(ctx, http.MethodGet, addr, "", "/-/config", nil)
		cancel()
		fl.rec.log("operator", "GET /-/config at %s: %d, %d bytes, %v", addr, status, len(text), err)
		if status == http.StatusOK {
			read++
		}
		if status, _ := fl.ask(try%zones, http.MethodGet, "/a/"+jobID, nil); status == http.StatusOK {
			answered++
		}
		time.Sleep(200 * time.Millisecond)
	}
	if read == 0 || answered == 0 {
		return broken("%s after one disk was lost, %d of %d reads of the configuration and %d of %d calls about a job that was done were answered",
			2*recoverTime, read, 4*zones, answered, 4*zones)
	}
	return nil
}
