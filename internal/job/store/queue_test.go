package store

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/config/catalog"
)

// TestJobsWhoseStartsAreLostArePending guards against jobs that wait, and that are
// counted nowhere, because their starts went to a worker that does not respond.
func TestJobsWhoseStartsAreLostArePending(t *testing.T) {
	fx := newFixture(t)
	fx.submit("a", singleTask)
	pending := func() (count int) {
		fx.sr.Read(func(rd Reader) { count = rd.Pending("h/q/") })
		return count
	}
	require.Equal(t, 1, pending())
	fx.mustApply(start("a", 0, 0, 1, 0))
	require.Zero(t, pending())
	fx.mustApply(Change{Leave: &WorkerLeave{ID: "w0", Incarnation: 1, Reason: "lease lapsed"}})
	require.Equal(t, 1, pending())
	data, err := fx.sr.Snapshot()
	require.NoError(t, err)
	require.NoError(t, fx.sr.Restore(fx.index, data))
	require.Equal(t, 1, pending(), "also after a restart")
	fx.mustApply(start("a", 0, 0, 2, 1))
	require.Zero(t, pending())
	fx.mustApply(end("a", 0, 0, 2, EndFailed))
	require.Zero(t, pending(), "it has begun")
	fx.mustApply(start("a", 0, 0, 3, 1))
	fx.mustApply(end("a", 0, 0, 3, EndLost))
	require.Zero(t, pending())
}

// TestAttemptsEndWithTheConfiguration guards against a task that is started more often
// than its queue allows, because the queue was not configured when it failed last, or
// allowed more attempts.
func TestAttemptsEndWithTheConfiguration(t *testing.T) {
	version := int64(1)
	configure := func(fx *fixture, attempts int) {
		version++
		ct := catalog.Catalog{Version: version, Pools: []catalog.Pool{{Name: "desk"}}}
		if attempts > 0 {
			ct.Queues = []catalog.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "desk", Timeout: time.Second, MaxAttempts: attempts}}
		}
		fx.mustApply(Change{Catalog: packed(t, ct)})
	}
	fail := func(fx *fixture, run int) {
		fx.mustApply(start("a", 0, 0, run, 0))
		fx.mustApply(end("a", 0, 0, run, EndFailed))
	}

	fx := newFixture(t)
	fx.submit("a", singleTask)
	fail(fx, 1)
	configure(fx, 0)
	require.Equal(t, Running, fx.phase("a"))
	fail(fx, 2)
	require.Equal(t, Failed, fx.phase("a"), "the queue allows as many attempts as it was configured with last")
	configure(fx, 2)
	require.Equal(t, Failed, fx.phase("a"))

	fx = newFixture(t)
	fx.submit("a", singleTask)
	configure(fx, 5)
	fail(fx, 1)
	fail(fx, 2)
	configure(fx, 3)
	require.Equal(t, Running, fx.phase("a"))
	configure(fx, 2)
	require.Equal(t, Failed, fx.phase("a"))
}

// TestJobsOfARemovedQueueGoOn guards against accepted jobs that never go on because a later
// configuration lacks their queue (review/10), also after a restart.
func TestJobsOfARemovedQueueGoOn(t *testing.T) {
	fx := newFixture(t)
	fx.submit("a", singleTask)
	queue := func() (qu catalog.Queue, ok bool) {
		fx.sr.Read(func(rd Reader) { qu, ok = rd.Queue("h/q/") })
		return qu, ok
	}
	configured, ok := queue()
	require.True(t, ok)
	for version := range int64(2) {
		fx.mustApply(Change{Catalog: packed(t, catalog.Catalog{Version: 2 + version, Pools: []catalog.Pool{{Name: "desk"}}})})
		kept, ok := queue()
		require.True(t, ok)
		require.Equal(t, configured, kept, "as it was configured last")
		fx.restore()
	}
	fx.mustApply(start("a", 0, 0, 1, 0))
	fx.mustApply(end("a", 0, 0, 1, EndDone))
	require.Equal(t, Done, fx.phase("a"))
	fx.mustApply(Change{Catalog: packed(t, catalog.Catalog{Version: 4, Pools: []catalog.Pool{{Name: "desk"}}})})
	_, ok = queue()
	require.False(t, ok, "nothing of it goes on")
}
