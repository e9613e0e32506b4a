package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/config/catalog"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// cappedCatalog returns a version of the configuration in which team t may use some
// cores.
func cappedCatalog(t *testing.T, version int64, limit int) store.Change {
	packed, err := catalog.Catalog{
		Version: version, Pools: []catalog.Pool{{Name: "desk"}}, Teams: []catalog.Team{{Name: "t", Cap: ofCores(limit)}},
		Queues: []catalog.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "desk", Timeout: time.Second, MaxAttempts: 3, Stretch: 2}},
	}.Pack()
	require.NoError(t, err)
	return store.Change{Catalog: packed}
}

// TestStartsDecidedBeforeCapWasLowered guards against starts that a leader decided
// under an earlier configuration than the one that is in force when they are applied.
func TestStartsDecidedBeforeCapWasLowered(t *testing.T) {
	sp := newStepped(t, nil, nil)
	sp.apply(cappedCatalog(t, 2, 4))
	sp.joinWith("w0", 1, ofCores(8))
	sp.step(10 * time.Millisecond)
	sp.apply(store.Change{Submit: &spec.Job{ID: "a", Queue: "h/q/", Team: "t", Steps: []spec.Step{{Count: 4, Resources: ofCores(1)}}}})
	sp.sc.round(t.Context(), sp.ls, sp.clk.Now(), true)
	require.Len(t, sp.ls.pendingStarts, 4, "decided under the cap of four")
	sp.apply(cappedCatalog(t, 3, 1))
	sp.commit()
	for range 10 {
		sp.step(10 * time.Millisecond)
		sp.gl.st.Read(func(rd store.Reader) { require.Equal(t, ofCores(1), rd.TeamUse("t")) })
		require.LessOrEqual(t, len(sp.workers.running["w0"]), 1)
	}
	require.Len(t, sp.workers.running["w0"], 1)
}

// TestGangWaitsForCapAsAWhole guards against a gang of which some members are placed,
// idle, until they are stopped, and against one that never starts.
func TestGangWaitsForCapAsAWhole(t *testing.T) {
	sp := newStepped(t, nil, nil)
	sp.apply(cappedCatalog(t, 2, 3))
	sp.joinWith("w0", 1, ofCores(8))
	submit := func(id spec.JobID, step spec.Step) {
		sp.apply(store.Change{Submit: &spec.Job{ID: id, Queue: "h/q/", Team: "t", Steps: []spec.Step{step}}})
	}
	placed := func(id spec.JobID) (count int) {
		sp.gl.st.Read(func(rd store.Reader) { count = rd.Job(id).Placed })
		return count
	}
	submit("first", spec.Step{Count: 2, Resources: ofCores(1)})
	for range 3 {
		sp.step(10 * time.Millisecond)
	}
	require.Equal(t, 2, placed("first"))
	submit("gang", spec.Step{Count: 3, Resources: ofCores(1), Gang: true})
	for range 10 {
		sp.step(10 * time.Millisecond)
		require.Zero(t, placed("gang"))
	}
	id := weir.JobID("first")
	sp.apply(store.Change{Cancel: &id})
	for range 200 {
		sp.step(10 * time.Millisecond)
		require.Contains(t, []int{0, 3}, placed("gang"))
		require.LessOrEqual(t, placed("first")+placed("gang"), 3, "runs that are being stopped count")
	}
	require.Equal(t, 3, placed("gang"))
	require.Len(t, sp.workers.running["w0"], 3)
}
