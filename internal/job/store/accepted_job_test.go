package store

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"greengageweir/internal/job/spec"
)

// applyIfAccepted commits a job that passes its check, and reports whether it did.
func applyIfAccepted(t require.TestingT, jb spec.Job) bool {
	if jb.Check() != nil {
		return false
	}
	fx := newFixture(t)
	fx.mustApply(Change{Submit: &jb})
	data, err := fx.sr.Snapshot()
	require.NoError(t, err)
	require.NoError(t, New().Restore(fx.index, data))
	return true
}

// TestJobsWithHugeNumbersAreRefused guards against jobs that make every replica
// panic, or whose entry cannot be encoded, which fails all changes of its batch.
func TestJobsWithHugeNumbersAreRefused(t *testing.T) {
	step := func(count int) spec.Step { return spec.Step{Count: count} }
	one := []spec.Step{step(1)}
	cases := map[string]struct {
		job  spec.Job
		good bool
	}{
		"at the limit":                  {spec.Job{Steps: []spec.Step{step(spec.MaxTasks - 1), step(1)}}, true},
		"over the limit":                {spec.Job{Steps: []spec.Step{step(spec.MaxTasks), step(1)}}, false},
		"counts overflow to a negative": {spec.Job{Steps: []spec.Step{step(math.MaxInt), step(2)}}, false},
		"counts overflow to zero":       {spec.Job{Steps: []spec.Step{step(1 << 62), step(1 << 62), step(1 << 62), step(1 << 62)}}, false},
		"after each earlier step":       {spec.Job{Steps: []spec.Step{step(1), step(1), {Count: 1, After: []int{0, 1}}}}, true},
		"after a step many times over":  {spec.Job{Steps: []spec.Step{step(1), step(1), {Count: 1, After: []int{0, 0, 0}}}}, false},
		"starts in the year 9999":       {spec.Job{Steps: one, OccurrenceCount: 1, StartAt: time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)}, true},
		"starts after the year 9999":    {spec.Job{Steps: one, OccurrenceCount: 1, StartAt: time.UnixMilli(math.MaxInt64)}, false},
		"starts before the year 0":      {spec.Job{Steps: one, OccurrenceCount: 1, StartAt: time.UnixMilli(math.MinInt64)}, false},
		"occurrences over 290 years":    {spec.Job{Steps: one, OccurrenceCount: 3, StartAt: testNow, Every: math.MaxInt64}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { require.Equal(t, tc.good, applyIfAccepted(t, tc.job)) })
	}
}

// TestAnyAcceptedJobIsApplied applies each job that passes its check.
func TestAnyAcceptedJobIsApplied(t *testing.T) {
	number := rapid.OneOf(rapid.IntRange(-1, 5), rapid.SampledFrom([]int{math.MinInt, math.MaxInt, 1 << 62}))
	rapid.Check(t, func(rt *rapid.T) {
		jb := spec.Job{
			ID: "a", Queue: "h/q/", OccurrenceCount: rapid.IntRange(-1, 3).Draw(rt, "occurrences"),
			StartAt: time.UnixMilli(rapid.Int64().Draw(rt, "start")), Every: time.Duration(rapid.Int64().Draw(rt, "every")),
		}
		for range rapid.IntRange(0, 4).Draw(rt, "steps") {
			st := spec.Step{
				Count: number.Draw(rt, "count"), Gang: rapid.Bool().Draw(rt, "gang"), Estimate: time.Duration(rapid.Int64().Draw(rt, "estimate")),
				Resources:    spec.Resources{MilliCPU: number.Draw(rt, "cpu"), MemoryMB: number.Draw(rt, "memory")},
				MaxPerWorker: number.Draw(rt, "per worker"), MaxUnavailable: number.Draw(rt, "unavailable"),
			}
			if rapid.Bool().Draw(rt, "dependent") {
				st.After = []int{number.Draw(rt, "after")}
			}
			jb.Steps = append(jb.Steps, st)
		}
		applyIfAccepted(rt, jb)
	})
}
