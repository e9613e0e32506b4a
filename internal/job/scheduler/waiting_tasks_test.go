package scheduler

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// restartTime is within which a long-running task without a run is started again, if a
// worker has room for it.
const restartTime = 3 * time.Second

// lapse ends all runs of a worker, as when its lease lapses.
func (bw *blockedWave) lapse(id weir.InstanceID) { delete(bw.sp.workers.running, id) }

// changeLeader makes a new leader of the next term, which knows the replicated state alone.
func (bw *blockedWave) changeLeader() {
	term := bw.sp.ls.term + 1
	bw.sp.sc.Leadership = &leaderOf{term: term}
	bw.sp.ls = bw.sp.sc.newLeaderState(term)
	bw.sp.sc.setLeader(bw.sp.ls)
}

// TestWaveLeavesWaitingTasksTheirWorker guards against maintenance that takes the only
// worker of long-running tasks whose leases have lapsed, before they are started again.
func TestWaveLeavesWaitingTasksTheirWorker(t *testing.T) {
	for after := time.Duration(0); after <= 8*time.Second; after += 500 * time.Millisecond {
		for _, newLeader := range []bool{false, true} {
			t.Run(fmt.Sprintf("lapse after %v, new leader %v", after, newLeader), func(t *testing.T) {
				four := spec.Resources{MilliCPU: 4000}
				bw := newBlockedWave(t, nil, store.Worker{ID: "w0", Kind: "k", Capacity: four}, store.Worker{ID: "w1", Kind: "x", Capacity: four})
				bw.start("a", spec.Step{Count: 2, Resources: spec.Resources{MilliCPU: 1000}, LongRunning: true, MaxUnavailable: 1, Label: "k"})
				bw.begin()
				bw.never(after, bw.over, "both tasks are at work")
				bw.lapse("w0")
				if newLeader {
					bw.changeLeader()
				}
				bw.pass(restartTime, func() bool {
					require.False(t, bw.over(), "the maintenance takes the only worker")
					return bw.atWork("a") == 2
				})
				bw.never(20*time.Second, func() bool { return bw.over() || bw.atWork("a") < 2 }, "a task is stopped")
			})
		}
	}
}

// TestNewLeaderLeavesWaitingTasksTheirWorker guards against maintenance that a new leader
// orders, in its first round, for the only worker of tasks that wait, because that worker has
// not answered it yet.
func TestNewLeaderLeavesWaitingTasksTheirWorker(t *testing.T) {
	four := spec.Resources{MilliCPU: 4000}
	bw := newBlockedWave(t, nil, store.Worker{ID: "w0", Kind: "k", Capacity: four}, store.Worker{ID: "w1", Kind: "x", Capacity: four})
	bw.start("a", spec.Step{Count: 2, Resources: spec.Resources{MilliCPU: 1000}, LongRunning: true, MaxUnavailable: 1, Label: "k"})
	bw.begin()
	for index := range 2 {
		bw.sp.apply(store.Change{End: &store.RunEnd{Task: weir.TaskRef{Job: "a", Index: index}, Run: 1, Reason: store.EndLeaseExpired}})
	}
	bw.lapse("w0")
	bw.changeLeader()
	bw.pass(restartTime, func() bool {
		require.False(t, bw.over(), "the maintenance takes the only worker")
		return bw.atWork("a") == 2
	})
}

// throttlingPlatform refuses orders while it is busy.
type throttlingPlatform struct {
	*maintenancePlatform
	busy bool
	// unanswered counts the orders that get no response first.
	unanswered int
}

func (tp *throttlingPlatform) Order(ctx context.Context, order weir.MachineOrder) (weir.MachineResponse, error) {
	switch {
	case tp.unanswered > 0:
		tp.unanswered--
		return "", errNoResponse
	case tp.busy:
		return weir.MachineThrottled, nil
	}
	return tp.maintenancePlatform.Order(ctx, order)
}

// TestMaintenanceThatIsNotAcceptedIsTakenBack guards against maintenance that ends the last
// task at work, or keeps its machine from work, because it was ordered before the other task's
// worker was lost, and the platform accepts it only later (`late-upkeep` of the review).
func TestMaintenanceThatIsNotAcceptedIsTakenBack(t *testing.T) {
	one, four := spec.Resources{MilliCPU: 1000}, spec.Resources{MilliCPU: 4000}
	for name, unanswered := range map[string]int{"refused": 0, "first without a response": 1} {
		t.Run(name, func(t *testing.T) {
			bw := newBlockedWave(t, nil, store.Worker{ID: "w0", Capacity: four}, store.Worker{ID: "w1", Capacity: four})
			tp := &throttlingPlatform{maintenancePlatform: bw.maintenancePlatform, busy: true, unanswered: unanswered}
			bw.sp.sc.Machines = tp
			bw.start("a", spec.Step{Count: 2, Resources: one, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1})
			bw.begin()
			bw.pass(noticeBlocked, func() bool {
				_, ordered := machineOperation(bw, "mw0")
				return ordered
			})
			bw.sp.workers.down["w1"] = true
			bw.sp.apply(store.Change{Leave: &store.WorkerLeave{ID: "w1", Incarnation: 1}})
			bw.never(time.Second, bw.over, "the platform is busy")
			tp.busy = false
			bw.never(20*time.Second, func() bool { return bw.over() || bw.atWork("a") < 1 }, "the last task at work is ended")
			if unanswered == 0 {
				bw.sp.apply(store.Change{Submit: &spec.Job{ID: "b", Queue: "h/q/", Steps: []spec.Step{{Count: 1, Resources: one}}}})
				bw.pass(restartTime, func() bool { return bw.atWork("b") == 1 })
			}
			delete(bw.sp.workers.down, "w1")
			bw.rejoin("w1", 2)
			bw.pass(20*time.Second, bw.over)
		})
	}
}

func machineOperation(bw *blockedWave, machine string) (op store.MachineOperation, ok bool) {
	bw.sp.gl.st.Read(func(rd store.Reader) { op, ok = rd.MachineOperation(machine) })
	return op, ok
}

// TestEvictedTaskKeepsItsPlace guards against a long-running task that waits because the
// place that it was evicted for is given to another task, or to another evicted one.
func TestEvictedTaskKeepsItsPlace(t *testing.T) {
	one, two := spec.Resources{MilliCPU: 1000}, spec.Resources{MilliCPU: 2000}
	lasting := spec.Step{Count: 2, Resources: one, LongRunning: true, MaxUnavailable: 1, Label: "k"}
	t.Run("a job that is handed in meanwhile", func(t *testing.T) {
		bw := newBlockedWave(t, nil, store.Worker{ID: "w0", Kind: "k", Capacity: two})
		bw.start("a", lasting)
		bw.join(store.Worker{ID: "w1", Kind: "k", Incarnation: 1, Capacity: one})
		bw.begin()
		bw.pass(noticeBlocked, func() bool { return len(bw.sp.ls.evicted) > 0 })
		bw.sp.apply(store.Change{Submit: &spec.Job{ID: "b", Queue: "h/q/", Steps: []spec.Step{{Count: 4, Resources: one}}}})
		bw.pass(restartTime, func() bool {
			require.Zero(t, bw.atWork("b"), "there is room for the evicted task alone")
			return bw.over()
		})
		bw.pass(restartTime, func() bool { return bw.atWork("a") == 2 })
	})
	t.Run("two machines at once", func(t *testing.T) {
		bw := newBlockedWave(t, nil, store.Worker{ID: "w0", Kind: "k", Capacity: two}, store.Worker{ID: "w1", Kind: "j", Capacity: two})
		bw.start("a", lasting)
		other := lasting
		other.Label = "j"
		bw.start("b", other)
		bw.join(store.Worker{ID: "w2", Kind: "k", Rack: "j", Incarnation: 1, Capacity: one})
		wv := store.Wave{Number: 1, Machines: []string{"mw0", "mw1"}, MaxParallel: 2, Deadline: testNow.Add(time.Minute)}
		bw.waves[1] = wv
		bw.sp.apply(store.Change{Wave: &wv})
		bw.pass(noticeBlocked, func() bool { return len(bw.sp.ls.evicted) > 0 })
		// Its worker confirms the stop only later.
		late := slices.Collect(maps.Keys(bw.sp.ls.evicted))[0]
		bw.sp.workers.down[map[weir.JobID]weir.InstanceID{"a": "w0", "b": "w1"}[late.Task.Job]] = true
		bw.never(2*waitLogInterval, func() bool { return len(bw.sp.ls.evicted) > 1 }, "a second task is evicted for the same place")
	})
}

// TestBackoffLeavesLongRunningTasksARun guards against a long-running task that has no run
// for as long as the only worker that has room for it is in backoff after failures.
func TestBackoffLeavesLongRunningTasksARun(t *testing.T) {
	one := spec.Resources{MilliCPU: 1000}
	bw := newBlockedWave(t, nil, store.Worker{ID: "w0", Capacity: spec.Resources{MilliCPU: 4000}})
	bw.start("a", spec.Step{Count: 1, Resources: one, LongRunning: true})
	bw.sp.ls.health["w0"] = &health{failures: backoffAfter + 3, backoff: backoffMax, backoffUntil: bw.sp.clk.Now().Add(backoffMax)}
	bw.lapse("w0")
	bw.sp.apply(store.Change{Submit: &spec.Job{ID: "b", Queue: "h/q/", Steps: []spec.Step{{Count: 1, Resources: one}}}})
	bw.pass(restartTime, func() bool {
		require.Zero(t, bw.atWork("b"), "its attempts are few")
		return bw.atWork("a") == 1
	})
	bw.pass(backoffMax, func() bool { return bw.atWork("b") == 1 })
}
