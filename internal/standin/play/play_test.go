package play

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// maxIdleWait is how long a job may wait while a fleet has capacity for it.
const maxIdleWait = 3 * time.Second

// runSimulated runs a load in simulated time.
func runSimulated(tb testing.TB, ld Load, policy Policy, seed int64) Result {
	t, ok := tb.(*testing.T)
	require.True(tb, ok)
	var res Result
	synctest.Test(t, func(t *testing.T) {
		var err error
		res, err = Simulation{Load: ld, Policy: policy, Seed: seed}.Run(context.Background())
		require.NoError(t, err)
	})
	return res
}

// TestSchedulerOutperformsStaticPools runs four pools that peak in turn, with a
// maintenance wave and two crashes. It guards against a scheduler that serves no
// more jobs than fixed pools, loses on the cost of moves, neglects maintenance or
// overfills workers.
func TestSchedulerOutperformsStaticPools(t *testing.T) {
	ld := Small().WithTrouble()
	fixed := runSimulated(t, ld, PolicyStatic, 1)
	moved := runSimulated(t, ld, PolicyScheduler, 1)
	require.Greater(t, moved.InTime, fixed.InTime, "more jobs complete in time")
	require.Greater(t, moved.Worth(), fixed.Worth(), "worth more after the cost of machines and moves")
	require.InDelta(t, 1, moved.WaveDone, 0, "maintenance started on every machine of the wave")
	require.Zero(t, moved.Counts.RefusedStarts, "no start is refused for lack of capacity")

	path := filepath.Join(t.TempDir(), "play.svg")
	require.NoError(t, Plot(path, []Result{fixed, moved}))
	info, err := os.Stat(path)
	require.NoError(t, err)
	require.NotZero(t, info.Size())
	var table bytes.Buffer
	require.NoError(t, Print(&table, []Result{fixed, moved}))
	require.Contains(t, table.String(), "smallTrouble")
	require.Error(t, Plot(filepath.Join(t.TempDir(), "play.txt"), []Result{fixed}), "unknown file format")
}

// TestJobsStartWherePoolsRunOutOfMemory guards against capacity that is planned by
// processor time alone: jobs then wait beside idle processors.
func TestJobsStartWherePoolsRunOutOfMemory(t *testing.T) {
	res := runSimulated(t, Memory(), PolicyScheduler, 1)
	require.Less(t, res.LongestStartDelay, maxIdleWait)
}

// TestTaskThatCrashesWorkersIsGivenUp guards against starting it on worker after
// worker, and against failing the jobs that ran beside it.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for seed := range int64(5) {
		res := runSimulated(t, Crashing(), PolicyScheduler, seed+1)
		require.Less(t, res.MostCrashes, 6, "three crashes and fewer than three further starts")
		require.Positive(t, res.MostCrashes)
		require.Zero(t, res.CrashingLeft, "the job is shown as failed")
		require.Zero(t, res.WronglyFailed)
	}
}

// TestTaskThatCrashesWorkersBeforeTheyConfirmIsGivenUp guards against starting it on
// worker after worker because no start of it is ever confirmed.
func TestTaskThatCrashesWorkersBeforeTheyConfirmIsGivenUp(t *testing.T) {
	ld := Crashing()
	ld.CrashDelay = 0
	res := runSimulated(t, ld, PolicyScheduler, 1)
	require.Less(t, res.MostCrashes, 6, "three crashes and fewer than three further starts")
}

func TestNamedLoads(t *testing.T) {
	for _, name := range LoadNames() {
		ld, err := LoadByName(name)
		require.NoError(t, err)
		require.Equal(t, name, ld.Name)
		require.Equal(t, ld.drawJobs(7), ld.drawJobs(7), "the same seed draws the same jobs")
		require.NotEmpty(t, ld.drawJobs(7))
	}
	_, err := LoadByName("none")
	require.Error(t, err)
	require.Equal(t, 48, Small().machines())
	require.Equal(t, 349, Grown().machines())
}
