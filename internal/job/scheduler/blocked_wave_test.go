package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// noticeBlocked is within which blocked maintenance gives a machine back to its work, or
// goes on: the machine is cordoned, drained, and found blocked.
const noticeBlocked = drainPeriod + blockedPatience + 2*time.Second

// allowList is an adviser that allows the given workers.
type allowList map[weir.InstanceID]bool

func (al allowList) Advise(_ context.Context, _ weir.TaskRef, workers []weir.InstanceID) (weir.Advice, error) {
	tickets := map[weir.InstanceID]string{}
	for _, id := range workers {
		if al[id] {
			tickets[id] = "ticket"
		}
	}
	return weir.Advice{Tickets: tickets, Validity: time.Hour}, nil
}

// blockedWave is a scheduler with workers of several kinds and a wave.
type blockedWave struct {
	*maintenancePlatform
	workers map[weir.InstanceID]store.Worker
}

func newBlockedWave(t *testing.T, adviser weir.Adviser, workers ...store.Worker) *blockedWave {
	bw := &blockedWave{maintenancePlatform: newMaintenancePlatform(t), workers: map[weir.InstanceID]store.Worker{}}
	bw.sp = newStepped(t, adviser, bw.maintenancePlatform)
	bw.rejoin = func(id weir.InstanceID, incarnation int64) {
		wk := bw.workers[id]
		wk.Incarnation = incarnation
		bw.join(wk)
	}
	for _, wk := range workers {
		wk.Incarnation = 1
		bw.join(wk)
	}
	return bw
}

func (bw *blockedWave) join(wk store.Worker) {
	wk.Address, wk.Machine, wk.Pool = string(wk.ID), "m"+string(wk.ID), "desk"
	bw.workers[wk.ID] = wk
	bw.sp.apply(store.Change{Join: &wk})
}

// start submits a job and waits until all of its tasks are at work.
func (bw *blockedWave) start(job spec.JobID, step spec.Step) {
	bw.sp.apply(store.Change{Submit: &spec.Job{ID: job, Queue: "h/q/", Steps: []spec.Step{step}}})
	bw.pass(5*time.Second, func() bool { return bw.atWork(job) == step.Count })
}

// begin makes the machine of w0 due for maintenance.
func (bw *blockedWave) begin() {
	wv := store.Wave{Number: 1, Machines: []string{"mw0"}, MaxParallel: 1, Deadline: testNow.Add(time.Minute)}
	bw.waves[1] = wv
	bw.sp.apply(store.Change{Wave: &wv})
}

func (bw *blockedWave) over() (over bool) {
	bw.sp.gl.st.Read(func(rd store.Reader) { over = rd.Waves()[1].AllStarted() })
	return over
}

// atWork counts the tasks of a job that run.
func (bw *blockedWave) atWork(job spec.JobID) int {
	count := 0
	for id, runs := range bw.sp.workers.running {
		for key := range runs {
			if key.Task.Job == job && !bw.sp.workers.down[id] {
				count++
			}
		}
	}
	return count
}

// pass lets time pass until the condition holds, and fails if it does not in time.
func (bw *blockedWave) pass(most time.Duration, until func() bool) {
	for span := time.Duration(0); !until(); span += maxRoundInterval {
		require.LessOrEqual(bw.t, span, most, "it takes too long")
		bw.sp.step(maxRoundInterval)
		bw.endMaintenance()
	}
}

// never lets time pass and fails if the condition holds at any time.
func (bw *blockedWave) never(span time.Duration, holds func() bool, why string) {
	for ; span > 0; span -= maxRoundInterval {
		bw.sp.step(maxRoundInterval)
		bw.endMaintenance()
		require.False(bw.t, holds(), why)
	}
}

// TestWaveStopsNoTaskWithoutPlace guards against a long-running task that a wave stops for
// good, since no other worker can take it, and a wave that does not go on once one can.
func TestWaveStopsNoTaskWithoutPlace(t *testing.T) {
	one, two := spec.Resources{MilliCPU: 1000}, spec.Resources{MilliCPU: 2000}
	lasting := spec.Step{Count: 2, Resources: one, LongRunning: true, MaxUnavailable: 1}
	with := func(change func(step *spec.Step)) spec.Step {
		step := lasting
		change(&step)
		return step
	}
	for name, tc := range map[string]struct {
		step    spec.Step
		workers []store.Worker
		// place is a worker that can take a task.
		place   store.Worker
		allowed allowList
	}{
		"kind": {
			step:    with(func(step *spec.Step) { step.Label = "k" }),
			workers: []store.Worker{{ID: "w0", Kind: "k", Capacity: two}, {ID: "w1", Kind: "x", Capacity: two}, {ID: "w2", Kind: "x", Capacity: two}},
			place:   store.Worker{ID: "w3", Kind: "k", Capacity: one},
		},
		"rack": {
			step:    with(func(step *spec.Step) { step.Label = "r1" }),
			workers: []store.Worker{{ID: "w0", Rack: "r1", Capacity: two}, {ID: "w1", Rack: "r2", Capacity: two}},
			place:   store.Worker{ID: "w3", Rack: "r1", Capacity: one},
		},
		"room": {
			step:    lasting,
			workers: []store.Worker{{ID: "w0", Capacity: two}, {ID: "w1", Capacity: spec.Resources{MilliCPU: 900}}},
			place:   store.Worker{ID: "w3", Capacity: one},
		},
		"limit of tasks on a worker": {
			step:    with(func(step *spec.Step) { step.Count, step.MaxPerWorker = 4, 2 }),
			workers: []store.Worker{{ID: "w0", Capacity: two}, {ID: "w1", Capacity: spec.Resources{MilliCPU: 4000}}},
			place:   store.Worker{ID: "w3", Capacity: one},
		},
		"policy of the queue": {
			step:    lasting,
			workers: []store.Worker{{ID: "w0", Capacity: two}, {ID: "w1", Capacity: two}},
			place:   store.Worker{ID: "w3", Capacity: one},
			allowed: allowList{"w0": true, "w3": true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var adviser weir.Adviser
			if tc.allowed != nil {
				adviser = tc.allowed
			}
			bw := newBlockedWave(t, adviser, tc.workers...)
			bw.start("a", tc.step)
			bw.begin()
			bw.never(30*time.Second, func() bool { return bw.atWork("a") < tc.step.Count }, "a task is stopped")
			require.False(t, bw.over())
			tc.place.Incarnation = 1
			bw.join(tc.place)
			bw.pass(30*time.Second, func() bool {
				require.GreaterOrEqual(t, bw.atWork("a"), tc.step.Count-1, "more tasks are away than may be")
				return bw.over()
			})
			bw.pass(5*time.Second, func() bool { return bw.atWork("a") == tc.step.Count })
		})
	}
}

// TestBlockedMaintenanceLeavesMachineAtWork guards against an accepted job that no worker
// takes, since the only one with room waits for maintenance that cannot start.
func TestBlockedMaintenanceLeavesMachineAtWork(t *testing.T) {
	cores := spec.Resources{MilliCPU: 4000}
	bw := newBlockedWave(t, nil, store.Worker{ID: "w0", Capacity: cores}, store.Worker{ID: "w1", Capacity: cores})
	bw.start("a", spec.Step{Count: 2, Resources: spec.Resources{MilliCPU: 1000}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1})
	bw.sp.workers.down["w1"] = true
	bw.sp.apply(store.Change{Leave: &store.WorkerLeave{ID: "w1", Incarnation: 1}})
	bw.begin()
	bw.never(time.Second, bw.over, "the other task is away")
	bw.sp.apply(store.Change{Submit: &spec.Job{ID: "b", Queue: "h/q/", Steps: []spec.Step{{Count: 1, Resources: spec.Resources{MilliCPU: 1000}}}}})
	bw.pass(noticeBlocked, func() bool { return bw.atWork("b") == 1 })
	bw.never(20*time.Second, func() bool { return bw.over() || bw.atWork("a") < 1 || bw.atWork("b") < 1 }, "the maintenance starts, or a task is stopped")
	delete(bw.sp.workers.down, "w1")
	bw.rejoin("w1", 2)
	bw.pass(20*time.Second, bw.over)
}

// TestBlockedMaintenanceStopsNoCheckpointedTask guards against tasks that are stopped to
// resume elsewhere, though the maintenance for which they are stopped cannot start.
func TestBlockedMaintenanceStopsNoCheckpointedTask(t *testing.T) {
	bw := newBlockedWave(t, nil, store.Worker{ID: "w0", Kind: "k", Capacity: spec.Resources{MilliCPU: 4000}})
	one := spec.Resources{MilliCPU: 1000}
	bw.start("a", spec.Step{Count: 2, Resources: one, LongRunning: true, MaxUnavailable: 1, Label: "k"})
	bw.start("b", spec.Step{Count: 1, Resources: one, Checkpointing: true})
	bw.begin()
	bw.never(20*time.Second, func() bool { return bw.atWork("b") < 1 || bw.atWork("a") < 2 }, "a task is stopped")
}

// TestBlockedMachineHoldsUpNoOther guards against a wave that does not go on because machines
// whose maintenance is blocked take the places of those that may be cordoned.
func TestBlockedMachineHoldsUpNoOther(t *testing.T) {
	one, two := spec.Resources{MilliCPU: 1000}, spec.Resources{MilliCPU: 2000}
	bw := newBlockedWave(t, nil, store.Worker{ID: "w0", Kind: "k0", Capacity: two}, store.Worker{ID: "w1", Kind: "k1", Capacity: two},
		store.Worker{ID: "w2", Kind: "k2", Capacity: two})
	bw.start("a", spec.Step{Count: 2, Resources: one, LongRunning: true, MaxUnavailable: 1, Label: "k0"})
	bw.start("b", spec.Step{Count: 2, Resources: one, LongRunning: true, MaxUnavailable: 1, Label: "k1"})
	bw.start("c", spec.Step{Count: 2, Resources: one, LongRunning: true, MaxUnavailable: 1, Label: "k2"})
	wv := store.Wave{Number: 1, Machines: []string{"mw0", "mw1", "mw2"}, MaxParallel: 1, Deadline: testNow.Add(time.Minute)}
	bw.waves[1] = wv
	bw.join(store.Worker{ID: "w3", Kind: "k2", Incarnation: 1, Capacity: two})
	bw.sp.apply(store.Change{Wave: &wv})
	bw.pass(30*time.Second, func() bool { return bw.done["1 mw2"] })
}
