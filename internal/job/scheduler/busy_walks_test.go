package scheduler

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/standin/workermodel"

	weir "greengageweir"
)

const (
	// busyWalks and busySteps are the number and the length of the random walks.
	// WEIR_BUSY_WALKS overrides the number.
	busyWalks = 60
	busySteps = 500
	// disruptionShare is how many of a thousand steps bring a disruption.
	disruptionShare = 30
	// noticeTimeOfTasks is how long a task that lasts has no run before it counts as away.
	noticeTimeOfTasks = 4500 * time.Millisecond
	// settleTime is how long a leader leads, and a worker responds, before a task that
	// waits counts: the rules ask for such calm.
	settleTime = 3 * time.Second
)

// longRunningTasks are the tasks of the simulation that last: job b's run on any worker, job
// e's on w2 alone, whose maintenance they block.
var longRunningTasks = []weir.TaskRef{{Job: "b"}, {Job: "b", Index: 1}, {Job: "e"}, {Job: "e", Index: 1}}

// busySimulation is a simulation in which all members work all the time, while waves,
// losses of workers and leaders, lost responses and a busy platform overlap.
type busySimulation struct {
	*simulation
	rng *rand.Rand
	// until holds the ends of disruptions.
	until []endOfDisruption
	// calmSince is since when a member leads, or a worker responds, without interruption.
	calmSince map[string]time.Time
	leader    string
	// waitingSince is since when a task waits though a sound worker has room for it.
	waitingSince map[weir.TaskRef]time.Time
	// ranAt is when a task was last seen at work.
	ranAt  map[weir.TaskRef]time.Time
	late   bool // a late order is carried out
	wave   int64
	waited time.Duration
}

type endOfDisruption struct {
	at time.Time
	do func()
}

func newBusySimulation(t *testing.T, seed int64) *busySimulation {
	sim := newJobSimulation(t)
	sim.kinds = map[weir.InstanceID]string{"w2": "k"}
	sim.mustCommit(store.Change{Submit: &spec.Job{ID: "e", Queue: "h/q/", Steps: []spec.Step{
		{Count: 2, Resources: spec.Resources{MilliCPU: 1000}, LongRunning: true, MaxUnavailable: 1, Label: "k"},
	}}})
	for _, wk := range sim.workers {
		sim.restartWorker(wk)
	}
	bs := &busySimulation{
		simulation: sim, rng: rand.New(rand.NewSource(seed)), calmSince: map[string]time.Time{}, waitingSince: map[weir.TaskRef]time.Time{},
		ranAt: map[weir.TaskRef]time.Time{}, wave: 1,
	}
	sim.onMaintenance = bs.checkMaintenance
	return bs
}

// checkMaintenance fails if maintenance ends a task at work while the other one of its step is
// away, or both at once. Orders that are carried out late do not count.
func (bs *busySimulation) checkMaintenance(machine string) {
	wk, now := bs.machines[machine].worker, bs.clk.Now()
	wk.ExpireLease(now)
	ended := map[weir.JobID]int{}
	for key := range wk.Runs {
		ended[key.Task.Job]++
	}
	for _, task := range longRunningTasks {
		ranAt, ran := bs.ranAt[task]
		if bs.late || ended[task.Job] == 0 || !ran {
			continue
		}
		require.False(bs.t, now.Sub(ranAt) >= noticeTimeOfTasks, "AVAIL: maintenance of %s ends a task of job %s while %v is away: %v", machine, task.Job, task, bs.simulation)
		require.Equal(bs.t, 1, ended[task.Job], "AVAIL: maintenance of %s ends both tasks of job %s: %v", machine, task.Job, bs.simulation)
	}
}

// disrupt begins a disruption, of which several may go on.
func (bs *busySimulation) disrupt() {
	now, span := bs.clk.Now(), time.Duration(500+bs.rng.Intn(6000))*time.Millisecond
	ending := func(do func()) { bs.until = append(bs.until, endOfDisruption{now.Add(span), do}) }
	mb, wk := bs.members[bs.rng.Intn(len(bs.members))], bs.workers[bs.rng.Intn(len(bs.workers))]
	kind := bs.rng.Intn(8)
	bs.trace = append(bs.trace, fmt.Sprintf("%v disruption %d, %s, %s, for %v", now, kind, mb.id, wk.ID, span))
	switch kind {
	case 0:
		for _, leader := range bs.members {
			if leader.IsLeader() {
				mb = leader
			}
		}
		mb.frozen = true
		ending(func() { mb.frozen = false })
	case 1:
		for _, mb := range bs.members {
			mb.frozen = true
			ending(func() { mb.frozen = false })
		}
	case 2:
		mb.frozen = false
		mb.start()
	case 3:
		bs.cutOff[wk.ID] = true
		ending(func() { delete(bs.cutOff, wk.ID) })
	case 4:
		if bs.machines["m"+string(wk.ID)].busyTill.IsZero() {
			bs.crashWorker(wk)
		}
	case 5:
		bs.next = orderOutcomes[bs.rng.Intn(len(orderOutcomes))]
	case 6:
		bs.wave++
		machines := []string{"mw1", "mw2", "mw3"}
		bs.rng.Shuffle(len(machines), func(one, other int) { machines[one], machines[other] = machines[other], machines[one] })
		wv := &store.Wave{Number: bs.wave, Machines: machines[:1+bs.rng.Intn(3)], MaxParallel: 1, Deadline: now.Add(20 * time.Second)}
		bs.submit(store.Change{Wave: wv})
	case 7:
		bs.throttled = true
		ending(func() { bs.throttled = false })
	}
}

// step lets all running members do their work, and ends what is over.
func (bs *busySimulation) step() {
	left := bs.until[:0]
	for _, end := range bs.until {
		if bs.clk.Now().Before(end.at) {
			left = append(left, end)
			continue
		}
		end.do()
	}
	bs.until = left
	for _, mb := range bs.members {
		if mb.frozen {
			continue
		}
		mb.round()
		for len(mb.waiting) > 0 {
			mb.answerFirst(bs.next)
		}
		mb.commit(outcomeAnswered)
		for _, ss := range mb.sessions {
			for ss.SendNext(ss.ctx) {
			}
			ss.RenewOnce(ss.ctx)
		}
	}
	if len(bs.delayed) > 0 && bs.rng.Intn(20) == 0 {
		bs.late = true
		bs.deliverDelayed(bs.rng.Intn(len(bs.delayed)))
		bs.late = false
	}
	for _, wk := range bs.workers {
		if bs.machines["m"+string(wk.ID)].busyTill.IsZero() && !bs.cutOff[wk.ID] {
			bs.submitAnnouncement(wk.ID)
		}
	}
	bs.advance(2 * simTick)
}

// check fails if a task that lasts has had no run for restartTime while a sound worker has
// room for it.
func (bs *busySimulation) check() {
	now := bs.clk.Now()
	leader := bs.observe(now)
	for _, wk := range bs.workers {
		wk.ExpireLease(now)
		for key := range wk.Runs {
			bs.ranAt[key.Task] = now
		}
	}
	for _, task := range longRunningTasks {
		if leader == nil || !bs.waitsBesideRoom(leader, task, now) {
			delete(bs.waitingSince, task)
			continue
		}
		if _, ok := bs.waitingSince[task]; !ok {
			bs.waitingSince[task] = now
		}
		waited := now.Sub(bs.waitingSince[task])
		bs.waited = max(bs.waited, waited)
		require.LessOrEqual(bs.t, waited, restartTime, "LOST: task %v has no run though a worker has room: %v", task, bs.simulation)
	}
}

// observe notes who leads and which workers respond, and returns the leader if it has led
// for settleTime.
func (bs *busySimulation) observe(now time.Time) (leader *simMember) {
	name := ""
	for _, mb := range bs.members {
		if !mb.frozen && mb.IsLeader() && mb.leader != nil {
			leader, name = mb, fmt.Sprint(mb.id, mb.publishedTerm)
		}
	}
	if name != bs.leader || name == "" {
		bs.leader, bs.calmSince["leader"] = name, now
	}
	for _, wk := range bs.workers {
		name := fmt.Sprint(wk.ID, wk.Incarnation)
		if _, known := bs.calmSince[name]; !known || bs.cutOff[wk.ID] || !bs.machines["m"+string(wk.ID)].busyTill.IsZero() {
			bs.calmSince[name] = now
		}
	}
	if now.Sub(bs.calmSince["leader"]) < settleTime {
		return nil
	}
	return leader
}

// sound reports whether a worker has responded for settleTime.
func (bs *busySimulation) sound(wk *workermodel.Worker, now time.Time) bool {
	return now.Sub(bs.calmSince[fmt.Sprint(wk.ID, wk.Incarnation)]) >= settleTime
}

// waitsBesideRoom reports whether a task has no run, and may have none, though a sound
// worker has room for it. It may have one on a worker that does not respond, or begin one
// there; and a machine may be taken down by an order that got no response.
func (bs *busySimulation) waitsBesideRoom(leader *simMember, task weir.TaskRef, now time.Time) (waits bool) {
	for _, wk := range bs.workers {
		wk.ExpireLease(now)
		for key := range wk.Runs {
			if key.Task == task {
				return false
			}
		}
	}
	ls := leader.leader
	if ls.doubtfulTasks(now)[task] {
		return false
	}
	leader.st.Read(func(rd store.Reader) {
		js := rd.Job(task.Job)
		if js == nil || js.Phase.Terminal() {
			return // given up after crashes of its workers
		}
		for _, wk := range bs.workers {
			if tk := js.Task(task); tk.Worker == wk.ID && !bs.sound(wk, now) {
				return
			}
		}
		for _, wk := range bs.workers {
			machine := "m" + string(wk.ID)
			_, ordered := rd.MachineOperation(machine)
			free := 3000 - 1000*len(wk.Runs)
			waits = waits || bs.sound(wk, now) && (!ordered || ls.machines.mayWithdraw(machine)) && free >= 1000 && (task.Job != "e" || bs.kinds[wk.ID] == "k")
		}
	})
	return waits
}

// TestLongRunningTasksHaveRuns runs random walks in which waves, losses and changes of the
// leader overlap, and guards against a long-running task without a run beside a worker that
// has room for it.
func TestLongRunningTasksHaveRuns(t *testing.T) {
	first := envCount(t, "WEIR_BUSY_SEED", 1)
	longest := time.Duration(0)
	for run := range envCount(t, "WEIR_BUSY_WALKS", busyWalks) {
		bs := newBusySimulation(t, int64(first+run))
		bs.trace = append(bs.trace, fmt.Sprint("seed ", first+run))
		for range busySteps {
			if bs.rng.Intn(1000) < disruptionShare {
				bs.disrupt()
			}
			bs.step()
			bs.check()
		}
		longest = max(longest, bs.waited)
	}
	t.Logf("longest wait beside room: %v", longest)
}
