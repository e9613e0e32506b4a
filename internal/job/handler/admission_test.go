package handler_test

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/config/catalog"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/standin/taskworker"

	weir "greengageweir"
)

// callAs makes a call of a team about a job.
func (sy *system) callAs(kind jobapi.Kind, key auth.Key, id string, steps ...spec.Step) jobapi.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	return sy.handler.Handle(ctx, jobapi.Call{Kind: kind, Host: "h", Path: "/q/" + id, Key: key, Job: &spec.Job{Text: "20ms", Steps: steps}})
}

// TestSubmitBeyondTheBacklogIsRefused guards against refused jobs that run or stay
// refused, and against refusals of other teams and of jobs that are known already.
func TestSubmitBeyondTheBacklogIsRefused(t *testing.T) {
	sy := newSystem(t, 1)
	var refusedStarts atomic.Int32
	sy.workers[0].Task = func(so weir.StartOrder) taskworker.Task {
		switch so.Task.Job {
		case "first":
			return taskworker.Task{Duration: time.Hour}
		case "second":
			refusedStarts.Add(1)
		}
		return taskworker.Task{Duration: 20 * time.Millisecond}
	}
	salt := catalog.NewKeySalt()
	team := func(name weir.TeamName, key auth.Key) catalog.Team {
		return catalog.Team{Name: name, KeyHashes: []catalog.KeyHash{catalog.HashKey(salt, key)}, Weight: 1, Cap: spec.Resources{MilliCPU: 4000}}
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	require.Equal(t, jobapi.OK, sy.handler.Handle(ctx, jobapi.Call{Kind: jobapi.PutCatalog, Catalog: &catalog.Catalog{
		Version: 1, Pools: []catalog.Pool{{Name: "desk", EnforcesCapacity: true}}, RequiresKeys: true, KeySalt: salt,
		Teams: []catalog.Team{team("a", "key a"), team("b", "key b")},
		// Jobs are late from the start: their objective is 1 s, their estimate 100 s.
		Queues: []catalog.Queue{{Name: "q", Host: "h", Prefix: "/q/", Pool: "desk", Timeout: time.Second, MaxAttempts: 1, TargetLatency: time.Second}},
	}}).Outcome)

	tasks := func(count int) spec.Step {
		return spec.Step{Count: count, Resources: spec.Resources{MilliCPU: 1000}, Estimate: 100 * time.Second}
	}
	// 8 tasks of 100 s take 200 s of the cap. The first job runs until it is cancelled.
	require.Equal(t, jobapi.OK, sy.callAs(jobapi.Submit, "key a", "first", tasks(8)).Outcome)
	require.Eventually(t, func() bool { return sy.callAs(jobapi.GetState, "key a", "first").Phase == store.Running }, waitTimeout, pollInterval)
	rep := sy.callAs(jobapi.Submit, "key a", "second", tasks(8))
	require.Equal(t, jobapi.Refused, rep.Outcome, "%+v", rep)
	require.Contains(t, rep.Reason, "backlog of team a")
	header := http.Header{}
	rep.SetRetryAfter(header)
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	require.NoError(t, err)
	require.Equal(t, 30, seconds)
	require.Equal(t, jobapi.NoJob, sy.callAs(jobapi.GetState, "key a", "second").Outcome)
	require.Equal(t, jobapi.OK, sy.callAs(jobapi.Submit, "key a", "first", tasks(8)).Outcome, "a known job")
	require.Equal(t, jobapi.OK, sy.callAs(jobapi.Submit, "key b", "third", tasks(8)).Outcome, "a job of another team")

	require.Equal(t, store.Cancelled, sy.callAs(jobapi.Cancel, "key a", "first").Phase)
	require.Zero(t, refusedStarts.Load(), "a refused job does not run")
	require.Equal(t, jobapi.OK, sy.callAs(jobapi.Submit, "key a", "second", tasks(8)).Outcome)
	require.Eventually(t, func() bool { return sy.callAs(jobapi.GetState, "key a", "second").Phase == store.Done }, waitTimeout, pollInterval)
	require.Equal(t, int32(8), refusedStarts.Load())
}
