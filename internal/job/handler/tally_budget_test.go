package handler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/schedule/admission"
)

// stepClock advances by a fixed time with each reading.
type stepClock struct {
	now  time.Time
	step time.Duration
}

// Now implements weir.Clock.
func (sc *stepClock) Now() time.Time {
	sc.now = sc.now.Add(sc.step)
	return sc.now
}

// TestTalliesTakeABoundedShare guards against a leader that is busy with the backlog of
// one team while that team sends hundreds of submits a second.
func TestTalliesTakeABoundedShare(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	queue := catalog.Queue{Name: "q", Host: "h", Prefix: "/q/", Pool: "desk", Timeout: time.Second, TargetLatency: time.Second}
	pk, err := catalog.Catalog{Version: 1, Pools: []catalog.Pool{{Name: "desk"}}, Queues: []catalog.Queue{queue}}.Pack()
	require.NoError(t, err)
	job := spec.Job{ID: "a", Queue: queue.Key(), Team: "a", Steps: []spec.Step{
		{Count: 9, Resources: spec.Resources{MilliCPU: 1000}, Estimate: 10 * time.Second},
	}}
	data, err := store.Entry{At: now, Changes: []store.Change{{Catalog: pk}, {Submit: &job}}}.Encode()
	require.NoError(t, err)
	sr := store.New()
	sr.Apply(1, data)

	var tb tallyBudget
	clk := &stepClock{now: now, step: time.Millisecond}
	rq := admission.Request{Job: job, Queue: queue, Cap: spec.Resources{MilliCPU: 1000}}
	decide := func() (refused bool) {
		sr.Read(func(rd store.Reader) { refused = tb.decide(rd, rq, clk, now).Refused })
		return refused
	}
	require.True(t, decide())
	require.False(t, decide(), "a tally of 1 ms is followed by a pause of 20 ms")
	clk.now = clk.now.Add(tallyShare * time.Millisecond)
	require.True(t, decide())
	clk.step = time.Minute
	clk.now = clk.now.Add(time.Second)
	require.True(t, decide())
	clk.step = time.Millisecond
	clk.now = clk.now.Add(maxTallyPause)
	require.True(t, decide(), "the pause after a long one is limited")
}
