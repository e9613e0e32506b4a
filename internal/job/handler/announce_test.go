package handler_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/contract/jobhttp"
	"greengageweir/internal/job/store"
	"greengageweir/internal/standin/taskworker"

	weir "greengageweir"
)

// TestAnnouncementOfUnknownPoolReplacesNoWorker guards against tasks that run twice
// because another program announces itself from the machine of their worker.
func TestAnnouncementOfUnknownPoolReplacesNoWorker(t *testing.T) {
	sy := newSystem(t, 2)
	putCatalog(t, sy)
	var starts atomic.Int32
	for ix := range sy.announcements {
		sy.workers[ix].Task = func(weir.StartOrder) taskworker.Task {
			starts.Add(1)
			return taskworker.Task{Duration: time.Hour}
		}
		sy.announcements[ix].Machine, sy.announcements[ix].Sequence = "m-"+string(sy.workers[ix].ID), 1
		sy.mustDo(http.MethodPut, "/v1/workers/"+string(sy.workers[ix].ID), sy.announcements[ix])
	}
	sy.submit("long", "", jobhttp.Step{Count: 6, MilliCPU: 1000, EstimateMillis: 3_600_000})
	require.Eventually(t, func() bool { return starts.Load() == 6 }, waitTimeout, pollInterval)

	var outcomes []jobapi.Outcome
	for _, stray := range []store.Worker{
		{ID: "stray", Incarnation: 9, Pool: "nobody", Address: "127.0.0.1:9", Machine: "m-w0"},
		{ID: "stray", Incarnation: 9, Pool: "nobody", Address: sy.announcements[0].Address},
		{ID: "w0", Incarnation: 9, Pool: "nobody", Address: "127.0.0.1:9", Machine: "m-w0"},
	} {
		ans, _ := sy.do(http.MethodPut, "/v1/workers/"+string(stray.ID), jobapi.Announcement{Worker: stray})
		outcomes = append(outcomes, ans.Outcome)
	}
	require.Never(t, func() bool { return starts.Load() != 6 }, 500*time.Millisecond, pollInterval, "no task is started again")
	require.Equal(t, []jobapi.Outcome{jobapi.Invalid, jobapi.Invalid, jobapi.Invalid}, outcomes)
	for _, wk := range sy.workers {
		require.NotZero(t, wk.Usage().Runs)
	}

	// A worker keeps announcing itself after its pool has left the configuration.
	sy.mustDo(http.MethodPut, "/v1/catalog", map[string]any{"version": 2, "queues": []any{}, "pools": []any{}})
	sy.announcements[1].Draining, sy.announcements[1].Sequence = true, 2
	require.Equal(t, jobapi.OK, sy.mustDo(http.MethodPut, "/v1/workers/w1", sy.announcements[1]).Outcome)
	_, err := sy.do(http.MethodPut, "/v1/workers/next", jobapi.Announcement{Worker: store.Worker{
		ID: weir.InstanceID("next"), Incarnation: 1, Pool: "desk", Address: "127.0.0.1:9",
	}})
	require.True(t, errkind.Is(err, jobhttp.KindRefused), "%v", err)
}
