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
		want     speed
	}{
		"too early to tell":          {[]seen{{0, 0}, {500, 1}}, second, speedGood},
		"as expected":                {[]seen{{0, 10}, {800, 85}}, second, speedGood},
		"tasks differ":               {[]seen{{0, 0}, {800, 45}}, second, speedGood},
		"crawls, but is nearly done": {[]seen{{0, 85}, {800, 95}}, second, speedSlow},
		"crawls":                     {[]seen{{0, 0}, {800, 10}}, second, speedHopeless},
		"stands still":               {[]seen{{0, 50}, {1500, 50}}, 4 * second, speedHopeless},
		"nothing seen yet":           {[]seen{{0, 0}, {1000, 0}}, 3 * second, speedSlow},
		"a step of hours":            {[]seen{{0, 1}, {5000, 1}}, 10_000 * second, speedSlow},
		"no estimate":                {[]seen{{0, 0}, {9000, 0}}, 0, speedGood},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var pg progress
			for _, sn := range tc.seen {
				pg = pg.seen(sn.percent, after(sn.ms))
			}
			require.Equal(t, tc.want, pg.judge(after(tc.seen[len(tc.seen)-1].ms), tc.estimate))
		})
	}
}

func TestPaceOfFillingTasks(t *testing.T) {
	require.Equal(t, 25, paced{percent: 100}.next(1.2), "users wait: falls fast")
	require.Equal(t, 50, paced{percent: 100}.next(0.97))
	require.Equal(t, 60, paced{percent: 60}.next(0.9), "neither near nor far")
	require.Equal(t, 80, paced{percent: 60}.next(0.5))
	require.Equal(t, 100, paced{percent: 95}.next(0))
}

func TestWaveWidth(t *testing.T) {
	require.Equal(t, 10, waveWidth(24, 10, 26*time.Second, false), "nobody lacks machines")
	require.Equal(t, 9, waveWidth(24, 10, 26*time.Second, true))
	require.Equal(t, 1, waveWidth(1, 10, 26*time.Second, true))
	require.Equal(t, 10, waveWidth(24, 10, time.Second, true), "the deadline is near")
	require.Equal(t, 10, waveWidth(2, 10, -time.Second, true), "it has passed")
	require.Equal(t, 1, waveWidth(2, 0, time.Minute, false))
}

func TestStartBy(t *testing.T) {
	jb := spec.Job{ID: "a", Steps: []spec.Step{
		{Count: 1, Estimate: time.Second},
		{Count: 1, Estimate: 2 * time.Second, After: []int{0}},
		{Count: 1, Estimate: 500 * time.Millisecond},
	}}
	qu := catalog.Queue{TargetLatency: 600 * time.Millisecond, Stretch: 2}
	// The chain is 3 s, the objective 6.6 s.
	require.Equal(t, after(3600), startBy(jb, testNow, qu, 0, 0))
	require.Equal(t, after(4600), startBy(jb, testNow, qu, 0, 1))
	require.Equal(t, after(6100), startBy(jb, testNow, qu, 0, 2))
	jb.OccurrenceCount, jb.StartAt, jb.Every = 3, after(10_000), time.Second
	require.Equal(t, after(15_600), startBy(jb, testNow, qu, 2, 0), "occurrences count from their due time")
}

func TestHealthOfWorkers(t *testing.T) {
	ow := &Scheduler{Logger: log.NewNopLogger()}
	re := &reign{health: map[weir.InstanceID]*health{}, avoid: map[spec.TaskRef]weir.InstanceID{}}
	failed := func() {
		ow.noteEnd(re, "w", store.RunEnd{Task: spec.TaskRef{Job: "a"}, Reason: store.EndFailed}, testNow)
	}
	for range suspectAfter {
		require.False(t, re.health["w"].suspect(testNow))
		failed()
	}
	require.True(t, re.health["w"].suspect(testNow))
	require.False(t, re.health["w"].resting(testNow))
	failed()
	require.True(t, re.health["w"].resting(testNow))
	require.False(t, re.health["w"].resting(testNow.Add(restMin+time.Millisecond)))
	require.Equal(t, weir.InstanceID("w"), re.avoid[spec.TaskRef{Job: "a"}], "the task goes elsewhere next")
	ow.noteEnd(re, "w", store.RunEnd{Task: spec.TaskRef{Job: "a"}, Reason: store.EndDone}, testNow)
	require.False(t, re.health["w"].suspect(testNow))
	require.Empty(t, re.avoid)
}

func TestLongTaskIsStoppedOnce(t *testing.T) {
	ow := &Scheduler{Logger: log.NewNopLogger(), wake: make(chan struct{}, 1)}
	re := &reign{
		health: map[weir.InstanceID]*health{}, avoid: map[spec.TaskRef]weir.InstanceID{}, slow: map[spec.TaskRef]bool{},
		evicted: map[weir.RunKey]bool{}, sessions: map[weir.InstanceID]*attended{"w1": {}, "w2": {}},
	}
	step := spec.Step{Estimate: time.Second}
	crawl := progress{}.seen(0, testNow).seen(5, after(2000))
	first := weir.RunKey{Task: spec.TaskRef{Job: "a"}, Run: 1}
	ow.judge(re, "w1", first, crawl, step, after(2000))
	require.True(t, re.evicted[first], "perhaps the worker is slow")
	require.Equal(t, weir.InstanceID("w1"), re.avoid[first.Task])
	second := weir.RunKey{Task: spec.TaskRef{Job: "a"}, Run: 2}
	ow.judge(re, "w2", second, crawl, step, after(2000))
	require.False(t, re.evicted[second], "it is the task")
	require.Nil(t, re.health["w2"], "and the worker is not blamed")
}

func TestMachinesWithLastingTasksGoFirstAndFewAtATime(t *testing.T) {
	waiting := []candidate{
		{machine: "idle-1", pool: "a"},
		{machine: "idle-2", pool: "a"},
		{machine: "busy", pool: "a", work: 3},
		{machine: "lasting-a1", pool: "a", lasting: 2},
		{machine: "lasting-a2", pool: "a", lasting: 1},
		{machine: "lasting-a3", pool: "a", lasting: 2, work: 1},
		{machine: "lasting-b1", pool: "b", lasting: 1},
	}
	sortCandidates(waiting)
	require.Equal(t, []string{"lasting-a2", "lasting-b1", "lasting-a1", "idle-1", "idle-2"}, toDrain(waiting, 2))
	waiting[0].cordoned = true
	sortCandidates(waiting)
	require.Equal(t, []string{"lasting-b1", "lasting-a1", "idle-1"}, toDrain(waiting, 1))
	require.Equal(t, []string{"lasting-b1", "lasting-a1"}, toDrain(waiting, -3), "none of the others while enough are away")
}
