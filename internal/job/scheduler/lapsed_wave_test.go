package scheduler

import (
	"fmt"
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
	bw.sp.ls = bw.sp.sc.newLeaderState(bw.sp.ls.term + 1)
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
