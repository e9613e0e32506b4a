package scheduler

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

var testNow = time.Unix(1_800_000_000, 0)

func after(ms int) time.Time { return testNow.Add(time.Duration(ms) * time.Millisecond) }

func TestProgress(t *testing.T) {
	type seen struct {
		ms, percent int
	}
	const second = time.Second
	cases := map[string]struct {
		seen     []seen
		estimate time.Duration
		want     runSpeed
	}{
		"too early to tell":          {[]seen{{0, 0}, {500, 1}}, second, speedNormal},
		"as expected":                {[]seen{{0, 10}, {800, 85}}, second, speedNormal},
		"tasks differ":               {[]seen{{0, 0}, {800, 45}}, second, speedNormal},
		"crawls, but is nearly done": {[]seen{{0, 85}, {800, 95}}, second, speedSlow},
		"crawls":                     {[]seen{{0, 0}, {800, 10}}, second, speedStalled},
		"stalled":                    {[]seen{{0, 50}, {1500, 50}}, 4 * second, speedStalled},
		"no progress yet":            {[]seen{{0, 0}, {1000, 0}}, 3 * second, speedSlow},
		"estimate of hours":          {[]seen{{0, 1}, {5000, 1}}, 10_000 * second, speedSlow},
		"no estimate":                {[]seen{{0, 0}, {9000, 0}}, 0, speedNormal},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var pg progress
			for _, sn := range tc.seen {
				pg = pg.update(sn.percent, after(sn.ms))
			}
			require.Equal(t, tc.want, pg.classify(after(tc.seen[len(tc.seen)-1].ms), tc.estimate))
		})
	}
}

func TestSpeedLimitOfBestEffortTasks(t *testing.T) {
	require.Equal(t, 25, throttle{percent: 100}.nextPercent(1.2), "above the target the limit falls fast")
	require.Equal(t, 50, throttle{percent: 100}.nextPercent(0.97))
	require.Equal(t, 60, throttle{percent: 60}.nextPercent(0.9), "between the thresholds the limit stays")
	require.Equal(t, 80, throttle{percent: 60}.nextPercent(0.5))
	require.Equal(t, 100, throttle{percent: 95}.nextPercent(0))
}

func TestWaveParallelism(t *testing.T) {
	require.Equal(t, 10, waveParallelism(24, 10, 26*time.Second, false), "no shortage")
	require.Equal(t, 9, waveParallelism(24, 10, 26*time.Second, true))
	require.Equal(t, 1, waveParallelism(1, 10, 26*time.Second, true))
	require.Equal(t, 10, waveParallelism(24, 10, time.Second, true), "the deadline is near")
	require.Equal(t, 10, waveParallelism(2, 10, -time.Second, true), "the deadline has passed")
	require.Equal(t, 1, waveParallelism(2, 0, time.Minute, false))
}

func TestLatestStart(t *testing.T) {
	jb := spec.Job{ID: "a", Steps: []spec.Step{
		{Count: 1, Estimate: time.Second},
		{Count: 1, Estimate: 2 * time.Second, After: []int{0}},
		{Count: 1, Estimate: 500 * time.Millisecond},
	}}
	qu := catalog.Queue{TargetLatency: 600 * time.Millisecond, Stretch: 2}
	// The longest chain of estimates is 3 s, the objective 6.6 s after acceptance.
	require.Equal(t, after(3600), latestStart(jb, testNow, qu, 0, 0))
	require.Equal(t, after(4600), latestStart(jb, testNow, qu, 0, 1))
	require.Equal(t, after(6100), latestStart(jb, testNow, qu, 0, 2))
	jb.OccurrenceCount, jb.StartAt, jb.Every = 3, after(10_000), time.Second
	require.Equal(t, after(15_600), latestStart(jb, testNow, qu, 2, 0), "occurrences count from their due time")
}

func TestWorkerHealth(t *testing.T) {
	sc := &Scheduler{Logger: log.NewNopLogger()}
	ls := &leaderState{health: map[weir.InstanceID]*health{}, avoidWorker: map[spec.TaskRef]weir.InstanceID{}}
	failed := func() {
		sc.updateHealth(ls, "w", store.RunEnd{Task: spec.TaskRef{Job: "a"}, Reason: store.EndFailed}, testNow)
	}
	for range suspectAfter {
		require.False(t, ls.health["w"].suspect(testNow))
		failed()
	}
	require.True(t, ls.health["w"].suspect(testNow))
	require.False(t, ls.health["w"].inBackoff(testNow))
	failed()
	require.True(t, ls.health["w"].inBackoff(testNow))
	require.False(t, ls.health["w"].inBackoff(testNow.Add(backoffMin+time.Millisecond)))
	require.Equal(t, weir.InstanceID("w"), ls.avoidWorker[spec.TaskRef{Job: "a"}], "the next run goes to another worker")
	sc.updateHealth(ls, "w", store.RunEnd{Task: spec.TaskRef{Job: "a"}, Reason: store.EndDone}, testNow)
	require.False(t, ls.health["w"].suspect(testNow))
	require.Empty(t, ls.avoidWorker)
}

func TestSlowTaskIsRestartedOnce(t *testing.T) {
	sc := &Scheduler{Logger: log.NewNopLogger(), wake: make(chan struct{}, 1)}
	ls := &leaderState{
		health: map[weir.InstanceID]*health{}, avoidWorker: map[spec.TaskRef]weir.InstanceID{}, stoppedSlow: map[spec.TaskRef]bool{},
		evicted: map[weir.RunKey]bool{}, sessions: map[weir.InstanceID]*workerSession{"w1": {}, "w2": {}},
	}
	step := spec.Step{Estimate: time.Second}
	slow := progress{}.update(0, testNow).update(5, after(2000))
	first := weir.RunKey{Task: spec.TaskRef{Job: "a"}, Run: 1}
	sc.handleProgress(ls, "w1", first, slow, step, after(2000))
	require.True(t, ls.evicted[first], "the worker may be slow, so the run is restarted elsewhere")
	require.Equal(t, weir.InstanceID("w1"), ls.avoidWorker[first.Task])
	second := weir.RunKey{Task: spec.TaskRef{Job: "a"}, Run: 2}
	sc.handleProgress(ls, "w2", second, slow, step, after(2000))
	require.False(t, ls.evicted[second], "slow on two workers, so the task itself is long")
	require.Nil(t, ls.health["w2"], "the second worker does not become suspect")
}

func TestMachinesWithLongRunningTasksAreCordonedFirst(t *testing.T) {
	waiting := []candidate{
		{machine: "idle-1", pool: "a"},
		{machine: "idle-2", pool: "a"},
		{machine: "busy", pool: "a", batchRuns: 3},
		{machine: "lasting-a1", pool: "a", longRunning: 2},
		{machine: "lasting-a2", pool: "a", longRunning: 1},
		{machine: "lasting-a3", pool: "a", longRunning: 2, batchRuns: 1},
		{machine: "lasting-b1", pool: "b", longRunning: 1},
	}
	sortCandidates(waiting)
	require.Equal(t, []string{"lasting-a2", "lasting-b1", "lasting-a1", "idle-1", "idle-2"}, machinesToCordon(waiting, 2))
	waiting[0].cordoned = true
	sortCandidates(waiting)
	require.Equal(t, []string{"lasting-b1", "lasting-a1", "idle-1"}, machinesToCordon(waiting, 1))
	require.Equal(t, []string{"lasting-b1", "lasting-a1"}, machinesToCordon(waiting, -3), "no other machines while the wave is at its limit")
}
