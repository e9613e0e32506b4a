package store

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/job/spec"
)

// TestWeightCoversMemory guards against jobs that need more memory than they are counted
// with, so that an accepted job takes a replica over its machine's memory.
func TestWeightCoversMemory(t *testing.T) {
	steps := func(count int, after bool) []spec.Step {
		out := make([]spec.Step, count)
		for ix := range out {
			out[ix] = spec.Step{Count: 1, Image: "image"}
			for before := 0; after && before < ix; before++ {
				out[ix].After = append(out[ix].After, before)
			}
		}
		return out
	}
	shapes := map[string]spec.Job{
		"small":            {Steps: steps(1, false)},
		"long text":        {Text: strings.Repeat("a", spec.MaxTextBytes), Steps: steps(1, false)},
		"many tasks":       {Steps: []spec.Step{{Count: spec.MaxTasks}}},
		"many steps":       {Steps: steps(spec.MaxSteps/2+1, false)},
		"many dependences": {Steps: steps(spec.MaxSteps, true)},
		"half the steps":   {Steps: steps(spec.MaxSteps/2+1, true)},
		"many occurrences": {Steps: steps(1, false), OccurrenceCount: spec.MaxOccurrences, StartAt: testNow, Every: time.Second},
		"steps and times":  {Steps: steps(16, false), OccurrenceCount: 100, StartAt: testNow, Every: time.Second},
	}
	for name, shape := range shapes {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			before := heapBytes()
			weight := int64(0)
			for count := 0; weight < 16<<20; count++ {
				jb := shape
				jb.ID, jb.Queue = spec.JobID(fmt.Sprintf("%016x", count)), "h/q/"
				require.NoError(t, jb.Check())
				fx.mustApply(Change{Submit: &jb})
				weight += Weight(&jb)
			}
			fx.sr.Read(func(rd Reader) { require.Equal(t, weight, rd.Weight()) })
			used := heapBytes() - before
			runtime.KeepAlive(fx)
			t.Logf("weight %d, heap %d", weight, used)
			require.LessOrEqual(t, used, weight)
			require.Greater(t, used, weight/4, "an estimate, not a bound far off")
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}

// TestWeightIsReleased guards against a limit that fills up with jobs that are gone.
func TestWeightIsReleased(t *testing.T) {
	fx := newFixture(t)
	weight := func() (bytes int64) {
		fx.sr.Read(func(rd Reader) { bytes = rd.Weight() })
		return bytes
	}
	fx.submit("a", spec.Step{Count: 100})
	fx.mustApply(start("a", 0, 0, 1, 0))
	full, id := weight(), spec.JobID("a")
	require.Greater(t, full, 100*taskBytes)
	fx.mustApply(Change{Cancel: &id})
	require.Equal(t, full, weight(), "a run is left")
	fx.mustApply(end("a", 0, 0, 1, EndStopped))
	require.Less(t, weight(), int64(2*jobBytes))
	fx.mustApply(Change{Forget: []spec.JobID{id}})
	require.Zero(t, weight())
}
