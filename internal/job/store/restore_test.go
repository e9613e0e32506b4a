package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// drawChange returns a change of any kind.
func drawChange(rt *rapid.T) Change {
	job := fmt.Sprint("j", rapid.IntRange(0, 2).Draw(rt, "job"))
	id, worker := spec.JobID(job), rapid.IntRange(0, 2).Draw(rt, "worker")
	machine, wave := fmt.Sprint("m", worker), int64(rapid.IntRange(1, 2).Draw(rt, "wave"))
	index, run := rapid.IntRange(0, 1).Draw(rt, "index"), rapid.IntRange(1, 3).Draw(rt, "run")
	incarnation := int64(rapid.IntRange(1, 3).Draw(rt, "incarnation"))
	key := RunKey{Task: spec.TaskRef{Job: id, Index: index}, Run: run}
	reasons := []EndReason{EndDone, EndFailed, EndLost, EndStopped, EndRefused}
	kinds := []func() Change{
		func() Change {
			return Change{Submit: &spec.Job{ID: id, Queue: "h/q/", Text: "text", Team: "t", Steps: []spec.Step{
				{Count: 2, Resources: spec.Resources{MilliCPU: 500}, Estimate: time.Second}, {Count: 1, After: []int{0}},
			}}}
		},
		func() Change { return Change{Cancel: &id} },
		func() Change { return start(job, 0, index, run, worker) },
		func() Change { return end(job, 0, index, run, rapid.SampledFrom(reasons).Draw(rt, "reason")) },
		func() Change { return Change{Join: testWorker(worker, incarnation)} },
		func() Change {
			return Change{Leave: &WorkerLeave{ID: testWorker(worker, 1).ID, Incarnation: incarnation, Recent: []RunKey{key}, Departed: rapid.Bool().Draw(rt, "departed")}}
		},
		func() Change {
			return Change{Crash: &WorkerCrash{ID: testWorker(worker, 1).ID, Incarnation: incarnation, Recent: []RunKey{key}}}
		},
		func() Change {
			return Change{Lapse: &WorkerCrash{ID: testWorker(worker, 1).ID, Incarnation: incarnation, Recent: []RunKey{key}}}
		},
		func() Change {
			return Change{Restart: &WorkerRestart{ID: testWorker(worker, 1).ID, Incarnation: incarnation, Settled: rapid.Bool().Draw(rt, "settled")}}
		},
		func() Change {
			return Change{Answer: &RunsAnswered{Worker: testWorker(worker, 1).ID, Runs: []RunKey{key}}}
		},
		func() Change { return Change{Forget: []spec.JobID{id}} },
		func() Change {
			return Change{Wave: &Wave{Number: wave, Machines: []string{"m0", "m1"}, MaxParallel: 1}}
		},
		func() Change {
			op := &MachineOperation{Machine: machine, Wave: wave, Worker: weir.InstanceID(fmt.Sprint("w", worker)), Incarnation: incarnation}
			op.Started, op.NotExecuted = rapid.Bool().Draw(rt, "started"), rapid.Bool().Draw(rt, "not executed")
			op.Withdrawn = rapid.Bool().Draw(rt, "withdrawn")
			return Change{Machine: op}
		},
		func() Change {
			return Change{Catalog: packed(rt, catalog.Catalog{Version: incarnation + 1, Teams: []catalog.Team{{Name: "t", Cap: cores(1)}}})}
		},
	}
	return rapid.SampledFrom(kinds).Draw(rt, "kind")()
}

// TestRestoredStoreAppliesTheSameChanges guards against a replica that ends, or differs
// from the others, once it has restored its state from a snapshot.
func TestRestoredStoreAppliesTheSameChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fx, restored := newFixture(rt), newFixture(rt)
		for range rapid.IntRange(1, 40).Draw(rt, "changes") {
			ch := drawChange(rt)
			restored.restore()
			require.Equal(rt, fx.apply(ch), restored.apply(ch))
			want, err := fx.sr.Snapshot()
			require.NoError(rt, err)
			got, err := restored.sr.Snapshot()
			require.NoError(rt, err)
			require.JSONEq(rt, string(want), string(got))
			require.Equal(rt, fx.sr.st.Weight, restored.sr.st.Weight)
			require.Equal(rt, fx.sr.st.Workers, restored.sr.st.Workers)
		}
	})
}

// TestWaveStartsAfterRestore guards against replicas that end for good because a wave
// had no started machine when their snapshot was taken.
func TestWaveStartsAfterRestore(t *testing.T) {
	snapshots := map[string]func(fx *fixture) []byte{
		"of this version": func(fx *fixture) []byte {
			data, err := fx.sr.Snapshot()
			require.NoError(t, err)
			return data
		},
		"of a version that left out empty maps": func(*fixture) []byte {
			return []byte(`{"jobs":{},"workers":{},"waves":{"1":{"number":1,"machines":["m0"],"atOnce":1}},"orders":{}}`)
		},
	}
	for name, snapshot := range snapshots {
		t.Run(name, func(t *testing.T) {
			fx := newFixture(t)
			fx.mustApply(Change{Wave: &Wave{Number: 1, Machines: []string{"m0"}, MaxParallel: 1}})
			require.NoError(t, fx.sr.Restore(fx.index, snapshot(fx)))
			fx.mustApply(Change{Machine: &MachineOperation{Machine: "m0", Wave: 1}})
			fx.mustApply(Change{Machine: &MachineOperation{Machine: "m0", Wave: 1, Started: true}})
			fx.sr.Read(func(rd Reader) { require.True(t, rd.Waves()[1].AllStarted()) })
		})
	}
}
