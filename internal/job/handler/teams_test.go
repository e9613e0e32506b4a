package handler_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/common/clock"
	"greengageweir/internal/config/catalog"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/contract/jobhttp"
	"greengageweir/internal/entry/relay"
	"greengageweir/internal/job/handler"
	"greengageweir/internal/job/scheduler"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/member/links"
	"greengageweir/internal/member/roster"

	weir "greengageweir"
)

const (
	countersKey auth.Key = "key-of-counters-5d1f"
	officeKey   auth.Key = "key-of-office-91c2"
)

// team returns a team of the product's API with the given keys.
func team(name weir.TeamName, keys ...auth.Key) jobhttp.Team {
	return jobhttp.Team{Name: name, Keys: keys, Weight: 2, Cap: jobhttp.Resources{MilliCPU: 8000}}
}

// putTeams applies a version with the queues q and public, and the given teams.
func (sy *system) putTeams(version int64, teams ...jobhttp.Team) {
	sy.t.Helper()
	queue := jobhttp.Queue{Name: "q", Pool: "desk", TimeoutMillis: 1000, TargetMillis: 500, Stretch: 2, MaxAttempts: 2}
	public := queue
	public.Name, public.Public = "public", true
	sy.mustDo(http.MethodPut, "/v1/catalog", map[string]any{
		"version": version, "queues": []jobhttp.Queue{queue, public}, "pools": []map[string]any{{"name": "desk", "guards": true}}, "teams": teams,
	})
}

// call makes one call about a job of a queue, with a key.
func (sy *system) call(kind jobapi.Kind, queue, id string, key auth.Key) jobapi.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for {
		rep := sy.handler.Handle(ctx, teamCall(kind, queue, id, key))
		// Callers repeat a call that met no leader, or whose commit took too long.
		if (rep.Outcome != jobapi.Unknown && rep.Outcome != jobapi.Unavailable) || ctx.Err() != nil {
			return rep
		}
		sy.t.Logf("%s %s: %s", kind, id, rep.Reason)
	}
}

func teamCall(kind jobapi.Kind, queue, id string, key auth.Key) jobapi.Call {
	call := jobapi.Call{Kind: kind, Host: "queues", Path: "/" + queue + "/" + id, Key: key}
	if kind == jobapi.Submit {
		call.Job = &spec.Job{Steps: []spec.Step{{Count: 1, Resources: spec.Resources{MilliCPU: 1}}}}
	}
	return call
}

// jobTeam returns the team that is stored with a job.
func (sy *system) jobTeam(id spec.JobID) weir.TeamName {
	var name weir.TeamName
	sy.handler.Store.Read(func(rd store.Reader) { name = rd.Job(id).Spec.Team })
	return name
}

// TestCallsAreCheckedAgainstTeams guards against calls of unknown callers that take
// effect, and against teams that see or cancel each other's jobs.
func TestCallsAreCheckedAgainstTeams(t *testing.T) {
	sy := newSystem(t, 0)
	putCatalog(t, sy)
	require.Equal(t, jobapi.OK, sy.call(jobapi.Submit, "q", "early", "").Outcome, "no key is needed without teams")
	require.Equal(t, jobapi.OK, sy.call(jobapi.Submit, "q", "early-2", countersKey).Outcome, "a key is ignored without teams")
	sy.putTeams(2, team("counters", countersKey), team("office", officeKey), team("careless", ""))
	require.Equal(t, jobapi.OK, sy.call(jobapi.Submit, "q", "mine", countersKey).Outcome)
	require.Equal(t, jobapi.OK, sy.call(jobapi.Submit, "public", "free", "").Outcome)
	require.Equal(t, jobapi.OK, sy.call(jobapi.Submit, "public", "free-2", officeKey).Outcome)
	require.Equal(t, weir.TeamName("counters"), sy.jobTeam("mine"))
	for _, id := range []spec.JobID{"early", "early-2", "free", "free-2"} {
		require.Empty(t, sy.jobTeam(id), "%s has no team", id)
	}

	const anyID = "never-accepted"
	cases := []struct {
		name      string
		queue, id string
		key       auth.Key
		submit    jobapi.Outcome
		state     jobapi.Outcome
		pending   jobapi.Outcome
	}{
		{"no key", "q", "mine", "", jobapi.Unauthorized, jobapi.Unauthorized, jobapi.Unauthorized},
		{"no key, unknown job", "q", anyID, "", jobapi.Unauthorized, jobapi.Unauthorized, jobapi.Unauthorized},
		{"no key, no id", "q", "", "", jobapi.Unauthorized, jobapi.Unauthorized, jobapi.Unauthorized},
		{"unknown key", "q", "mine", "nobody's", jobapi.Unauthorized, jobapi.Unauthorized, jobapi.Unauthorized},
		{"part of a key", "q", "mine", countersKey[:8], jobapi.Unauthorized, jobapi.Unauthorized, jobapi.Unauthorized},
		{"key with a space", "q", "mine", countersKey + " ", jobapi.Unauthorized, jobapi.Unauthorized, jobapi.Unauthorized},
		{"another team's key", "q", "mine", officeKey, jobapi.Invalid, jobapi.NoJob, jobapi.OK},
		{"right key", "q", "mine", countersKey, jobapi.OK, jobapi.OK, jobapi.OK},
		{"right key, no id", "q", "", countersKey, jobapi.Invalid, jobapi.OK, jobapi.OK},
		{"right key, unknown job", "q", "", officeKey, jobapi.Invalid, jobapi.OK, jobapi.OK},
		{"job of earlier versions, no key", "q", "early", "", jobapi.Unauthorized, jobapi.Unauthorized, jobapi.Unauthorized},
		{"job of earlier versions, any key", "q", "early", officeKey, jobapi.OK, jobapi.OK, jobapi.OK},
		{"public queue, no key", "public", "free", "", jobapi.OK, jobapi.OK, jobapi.OK},
		{"public queue, unknown key", "public", "free", "nobody's", jobapi.OK, jobapi.OK, jobapi.OK},
		{"a team's job through a public queue, no key", "public", "mine", "", jobapi.Invalid, jobapi.NoJob, jobapi.OK},
		{"a team's job through a public queue, its key", "public", "mine", countersKey, jobapi.Invalid, jobapi.NoJob, jobapi.OK},
		{"unknown queue, no key", "nowhere", "mine", "", jobapi.NoQueue, jobapi.NoQueue, jobapi.NoQueue},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.submit, sy.call(jobapi.Submit, tc.queue, tc.id, tc.key).Outcome, "submit")
			require.Equal(t, tc.state, sy.call(jobapi.GetState, tc.queue, tc.id, tc.key).Outcome, "state")
			require.Equal(t, tc.pending, sy.call(jobapi.GetState, tc.queue, "", tc.key).Outcome, "pending jobs")
			if tc.state != jobapi.OK {
				require.Equal(t, tc.state, sy.call(jobapi.Cancel, tc.queue, tc.id, tc.key).Outcome, "cancel")
			}
		})
	}
	require.Equal(t, store.Queued, sy.call(jobapi.GetState, "q", "mine", countersKey).Phase, "no refused call had an effect")
	require.Equal(t, jobapi.NoJob, sy.call(jobapi.GetState, "q", anyID, countersKey).Outcome)
	for id, key := range map[string]auth.Key{"mine": countersKey, "early": officeKey} {
		require.Equal(t, store.Cancelled, sy.call(jobapi.Cancel, "q", id, key).Phase)
	}
	require.Equal(t, store.Cancelled, sy.call(jobapi.Cancel, "public", "free", "").Phase)

	rep := sy.call(jobapi.GetState, "q", "mine", "")
	require.Zero(t, rep.RetryAfter, "a retry cannot succeed")
	require.NotEmpty(t, rep.Reason)
}

// TestQueueMadePublicGivesAccessToItsJobs guards against jobs that nobody can query
// after their queue has become public.
func TestQueueMadePublicGivesAccessToItsJobs(t *testing.T) {
	sy := newSystem(t, 0)
	sy.putTeams(1, team("counters", countersKey))
	require.Equal(t, jobapi.OK, sy.call(jobapi.Submit, "q", "mine", countersKey).Outcome)
	sy.mustDo(http.MethodPut, "/v1/catalog", map[string]any{
		"version": 2, "queues": []jobhttp.Queue{{Name: "q", Pool: "desk", TimeoutMillis: 1000, Public: true}},
		"pools": []map[string]any{{"name": "desk"}}, "teams": []jobhttp.Team{team("counters", countersKey)},
	})
	require.Equal(t, jobapi.OK, sy.call(jobapi.GetState, "q", "mine", "").Outcome)
	require.Equal(t, jobapi.OK, sy.call(jobapi.Submit, "q", "mine", "").Outcome, "a known job")
	require.Equal(t, weir.TeamName("counters"), sy.jobTeam("mine"))
}

// TestEmptyTeamsListRefusesAll guards against an empty list that is read like a
// missing one.
func TestEmptyTeamsListRefusesAll(t *testing.T) {
	sy := newSystem(t, 0)
	sy.mustDo(http.MethodPut, "/v1/catalog", map[string]any{
		"version": 1, "queues": []jobhttp.Queue{{Name: "q", Pool: "desk", TimeoutMillis: 1000}},
		"pools": []map[string]any{{"name": "desk"}}, "teams": []any{},
	})
	for _, key := range []auth.Key{"", countersKey} {
		require.Equal(t, jobapi.Unauthorized, sy.call(jobapi.Submit, "q", "a", key).Outcome)
	}
	putVersion := map[string]any{
		"version": 2, "queues": []jobhttp.Queue{{Name: "q", Pool: "desk", TimeoutMillis: 1000}}, "pools": []map[string]any{{"name": "desk"}},
	}
	sy.mustDo(http.MethodPut, "/v1/catalog", putVersion)
	require.Equal(t, jobapi.OK, sy.call(jobapi.Submit, "q", "a", "").Outcome)
}

// TestRemovedKeyIsRefusedFromTheAcknowledgement guards against a key that is used
// after its operator was told that it is removed.
func TestRemovedKeyIsRefusedFromTheAcknowledgement(t *testing.T) {
	const rounds, callers = 8, 4
	sy := newSystem(t, 0)
	for round := range rounds {
		removed := auth.Key(fmt.Sprint("removed-", round))
		sy.putTeams(int64(2*round+1), team("counters", countersKey, removed))
		require.Equal(t, jobapi.OK, sy.call(jobapi.Submit, "q", fmt.Sprint("first-", round), removed).Outcome, "a new key is valid from the acknowledgement")
		var acknowledged, stop atomic.Bool
		var accepted, late atomic.Int32
		var wg sync.WaitGroup
		for caller := range callers {
			wg.Go(func() {
				for ix := 0; !stop.Load(); ix++ {
					after := acknowledged.Load()
					kind := []jobapi.Kind{jobapi.Submit, jobapi.GetState, jobapi.Cancel}[ix%3]
					rep := sy.call(kind, "q", fmt.Sprintf("%d-%d-%d", round, caller, ix/3), removed)
					switch {
					case after && rep.Outcome != jobapi.Unauthorized:
						late.Add(1)
					case !after && rep.Outcome == jobapi.OK:
						accepted.Add(1)
					}
				}
			})
		}
		require.Eventually(t, func() bool { return accepted.Load() >= callers }, waitTimeout, time.Millisecond)
		sy.putTeams(int64(2*round+2), team("counters", countersKey))
		acknowledged.Store(true)
		require.Equal(t, jobapi.Unauthorized, sy.call(jobapi.Submit, "q", "late", removed).Outcome)
		time.Sleep(20 * time.Millisecond)
		stop.Store(true)
		wg.Wait()
		require.Zero(t, late.Load(), "calls that began after the acknowledgement")
	}
	require.Equal(t, jobapi.OK, sy.call(jobapi.GetState, "q", "first-0", countersKey).Outcome, "the team's accepted jobs continue")
}

// TestFormerLeaderAnswersNoKeyedCall guards against a process that has lost its
// leader lease and resolves keys with a configuration that may be out of date.
func TestFormerLeaderAnswersNoKeyedCall(t *testing.T) {
	sy := newSystem(t, 0)
	sy.putTeams(1, team("counters", countersKey))
	require.Equal(t, jobapi.OK, sy.call(jobapi.Submit, "q", "mine", countersKey).Outcome)
	sy.leadership.lapsed.Store(true)
	for _, kind := range []jobapi.Kind{jobapi.Submit, jobapi.GetState, jobapi.Cancel} {
		for _, key := range []auth.Key{countersKey, "nobody's", ""} {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			rep := sy.handler.Handle(ctx, teamCall(kind, "q", "mine", key))
			cancel()
			require.Equal(t, jobapi.Unavailable, rep.Outcome, "%s with %q", kind, string(key))
		}
	}
	sy.leadership.lapsed.Store(false)
	require.Equal(t, store.Queued, sy.call(jobapi.GetState, "q", "mine", countersKey).Phase)
}

// fixedReply gives the same reply to every call.
type fixedReply jobapi.Reply

func (fr fixedReply) Handle(context.Context, jobapi.Call) jobapi.Reply { return jobapi.Reply(fr) }

// TestVersionIsAcknowledgedAfterTheLeaderAppliedIt guards against a follower that
// acknowledges a configuration which the leader does not resolve keys with yet.
func TestVersionIsAcknowledgedAfterTheLeaderAppliedIt(t *testing.T) {
	ct := catalog.Catalog{Version: 4, RequiresKeys: true}
	packed, err := ct.Pack()
	require.NoError(t, err)
	data, err := store.Entry{Changes: []store.Change{{Catalog: packed}}}.Encode()
	require.NoError(t, err)
	st := store.New()
	st.Apply(1, data)
	put := func(leader fixedLeader, lks *links.Links) jobapi.Reply {
		sv := &handler.Handler{
			Self: "c1", Store: st, Scheduler: &scheduler.Scheduler{}, Leader: leader, Links: lks, Clock: clock.BootTime{},
			Wall: clock.Wall{}, Logger: log.NewNopLogger(),
		}
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		return sv.Handle(ctx, jobapi.Call{Kind: jobapi.PutCatalog, Catalog: &ct})
	}
	lks := &links.Links{Self: peer.Identity{ID: "c1"}, Token: "token", Logger: log.NewNopLogger(), NoRaft: true}
	require.NoError(t, lks.Default())
	runUntilEnd(t, lks.Run)
	for version, want := range map[int64]jobapi.Outcome{3: jobapi.Unavailable, 4: jobapi.OK, 5: jobapi.OK} {
		addr := serveCalls(t, fixedReply{Outcome: jobapi.OK, Version: version, Leader: "c2"}, log.NewNopLogger())
		lks.Add(addr, addr)
		require.Eventually(t, func() bool { return lks.Ready(addr) }, waitTimeout, time.Millisecond)
		require.Equal(t, want, put(fixedLeader(addr), lks).Outcome, "the leader has applied version %d", version)
	}
	addr := serveCalls(t, fixedReply{Outcome: jobapi.Unknown}, log.NewNopLogger())
	lks.Add(addr, addr)
	require.Eventually(t, func() bool { return lks.Ready(addr) }, waitTimeout, time.Millisecond)
	require.Equal(t, jobapi.Unknown, put(fixedLeader(addr), lks).Outcome)
	require.Equal(t, jobapi.OK, put("", lks).Outcome, "without a leader nobody accepts a removed key")
}

// TestKeysHoldAfterRestartFromSnapshot guards against indexes of keys that are not
// rebuilt, and against jobs that lose their team.
func TestKeysHoldAfterRestartFromSnapshot(t *testing.T) {
	sy := newSystem(t, 0, func(sy *system) { sy.snapshotEvery = 1 })
	sy.putTeams(1, team("counters", countersKey, "removed"), team("office", officeKey))
	sy.putTeams(2, team("counters", countersKey), team("office", officeKey))
	require.Equal(t, jobapi.OK, sy.call(jobapi.Submit, "q", "mine", countersKey).Outcome)
	sy.stop()
	sy.start()
	require.FileExists(t, filepath.Join(sy.dir, "snapshot"))
	require.Equal(t, jobapi.OK, sy.call(jobapi.GetState, "q", "mine", countersKey).Outcome)
	require.Equal(t, jobapi.NoJob, sy.call(jobapi.GetState, "q", "mine", officeKey).Outcome)
	for _, key := range []auth.Key{"removed", ""} {
		require.Equal(t, jobapi.Unauthorized, sy.call(jobapi.GetState, "q", "mine", key).Outcome)
	}
	require.Equal(t, weir.TeamName("counters"), sy.jobTeam("mine"))
}

// TestTeamList guards against counts that miss jobs, and against keys in the list.
func TestTeamList(t *testing.T) {
	sy := newSystem(t, 1)
	sy.putTeams(1, team("counters", countersKey), team("office", officeKey), team("leaving", "leaving-key"))
	submit := func(id string, key auth.Key, steps ...jobhttp.Step) {
		cl := &jobhttp.Client{Addrs: sy.cl.Addrs, Key: key}
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		_, _, err := cl.Do(ctx, http.MethodPost, "/v1/jobs", jobhttp.Submission{
			Queue: "q", ID: weir.JobID(id), Job: jobhttp.Job{Text: "10m", Steps: steps},
		})
		require.NoError(t, err)
	}
	list := func() []jobhttp.TeamStatus {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		_, text, err := sy.cl.Do(ctx, http.MethodGet, "/v1/teams", nil)
		require.NoError(t, err)
		var tl jobhttp.TeamList
		require.NoError(t, json.Unmarshal(text, &tl))
		return tl.Teams
	}
	limit := jobhttp.Resources{MilliCPU: 8000}
	require.Equal(t, []jobhttp.TeamStatus{
		{Name: "counters", Weight: 2, Cap: limit}, {Name: "leaving", Weight: 2, Cap: limit}, {Name: "office", Weight: 2, Cap: limit},
	}, list())
	submit("runs", countersKey, jobhttp.Step{Count: 2, MilliCPU: 1000, MemoryMB: 10, EstimateMillis: 600_000})
	submit("leaves", "leaving-key", jobhttp.Step{Count: 1, MilliCPU: 500, EstimateMillis: 600_000})
	submit("waits", officeKey, jobhttp.Step{Count: 1, MilliCPU: 7000, EstimateMillis: 600_000})
	submit("ended", officeKey, jobhttp.Step{Count: 1, MilliCPU: 7000, EstimateMillis: 600_000})
	require.Equal(t, store.Cancelled, sy.call(jobapi.Cancel, "q", "ended", officeKey).Phase)
	sy.putTeams(2, team("counters", countersKey), team("office", officeKey))
	want := []jobhttp.TeamStatus{
		{Name: "counters", Weight: 2, Cap: limit, Use: jobhttp.Resources{MilliCPU: 2000, MemoryMB: 20}, RunningJobs: 1},
		{Name: "leaving", Use: jobhttp.Resources{MilliCPU: 500}, RunningJobs: 1, Removed: true},
		{Name: "office", Weight: 2, Cap: limit, PendingJobs: 1},
	}
	require.Eventually(t, func() bool { return slices.Equal(want, list()) }, waitTimeout, pollInterval, "last: %+v", list())
}

// syncBuffer is a buffer that several goroutines write log lines to.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (sb *syncBuffer) Write(data []byte) (int, error) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.buf.Write(data)
}

// String returns what was written.
func (sb *syncBuffer) String() string {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.buf.String()
}

// serveCalls serves a handler's calls to other processes and returns its address.
func serveCalls(t *testing.T, hd jobapi.Handler, lg log.Logger) string {
	sv := &peer.Server{Addr: "127.0.0.1:0", Token: "token", Logger: lg, Handle: func(ctx context.Context, call peer.Call) (any, error) {
		if call.Method != jobapi.CallMethod {
			return nil, peer.MethodNotFound(call.Method)
		}
		var in jobapi.Call
		if err := call.Decode(&in); err != nil {
			return nil, err
		}
		return hd.Handle(ctx, in), nil
	}}
	require.NoError(t, sv.Default())
	runUntilEnd(t, sv.Run)
	return sv.Address()
}

func runUntilEnd(t *testing.T, do func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = do(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// TestKeysAppearNowhere guards against keys, and parts of the operator's document,
// in log lines, error texts, metrics and state dumps.
func TestKeysAppearNowhere(t *testing.T) {
	const secret = "s3cr3t-0b77"
	var lines syncBuffer
	var texts strings.Builder // what processes respond with
	lg := log.NewJSONLogger(log.NewSyncWriter(&lines))
	sy := newSystem(t, 0, func(sy *system) { sy.logger, sy.snapshotEvery = lg, 2 })
	sy.putTeams(1, team("counters", secret+"-a"), team("office", secret+"-b"))

	rejected := map[string]string{
		"shared key":          `"teams":[{"name":"a","keys":["` + secret + `"]},{"name":"b","keys":["` + secret + `"]}]`,
		"number for a key":    `"teams":[{"name":"a","keys":[7319.7319]}]`,
		"number too large":    `"teams":[{"name":"a","cap":{"milliCpu":73197319731973197319}}]`,
		"object for a key":    `"teams":[{"name":"a","keys":[{"` + secret + `":1}]}]`,
		"key for a number":    `"teams":[{"name":"a","weight":"` + secret + `"}]`,
		"key for a list":      `"teams":[{"name":"a","keys":"` + secret + `"}]`,
		"key as a field":      `"teams":[{"name":"a","` + secret + `":1}]`,
		"cut after a key":     `"teams":[{"name":"a","keys":["` + secret + `"`,
		"key without quotes":  `"teams":[{"name":"a","keys":[` + secret + `]}]`,
		"key after the end":   `"teams":[]}"` + secret + `"`,
		"negative weight":     `"teams":[{"name":"a","weight":-7319.7319,"keys":["` + secret + `"]}]`,
		"negative cap":        `"teams":[{"name":"a","cap":{"gpu":-73197319},"keys":["` + secret + `"]}]`,
		"unnamed":             `"teams":[{"keys":["` + secret + `"]}]`,
		"named twice":         `"teams":[{"name":"a","keys":["` + secret + `"]},{"name":"a"}]`,
		"pool missing":        `"queues":[{"name":"q","pool":"p","timeoutMillis":1}],"teams":[{"name":"a","keys":["` + secret + `"]}]`,
		"text that ends late": `"teams":[{"name":"a","keys":["` + secret + "\x01" + `"]}]`,
	}
	for name, part := range rejected {
		req, err := http.NewRequest(http.MethodPut, "http://"+sy.cl.Addrs[0]+"/v1/catalog", strings.NewReader(`{"version":2,`+part+`}`))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.Equal(t, http.StatusBadRequest, resp.StatusCode, name)
		require.NoError(t, resp.Write(&texts))
		require.NoError(t, resp.Body.Close())
	}

	leader := serveCalls(t, sy.handler, lg)
	lks := &links.Links{Self: peer.Identity{ID: "e1"}, Token: "token", Logger: lg, NoRaft: true}
	ros := &roster.Roster{Self: "e1", Links: lks, Logger: lg, Seeds: []string{leader}}
	require.NoError(t, lks.Default())
	require.NoError(t, ros.Default())
	runUntilEnd(t, lks.Run)
	require.Eventually(t, func() bool { return lks.Ready(leader) }, waitTimeout, time.Millisecond)
	steady := clock.BootTime{}
	follower := &handler.Handler{
		Self: "e1", Store: store.New(), Scheduler: &scheduler.Scheduler{}, Leader: fixedLeader(leader), Links: lks, Clock: steady,
		Wall: clock.Wall{}, Logger: lg,
	}
	unreachable := *follower
	unreachable.Leader = fixedLeader("127.0.0.1:9")
	forwarding := []struct {
		handler jobapi.Handler
		timeout time.Duration
	}{
		{sy.handler, waitTimeout},
		{follower, waitTimeout},
		{&unreachable, 50 * time.Millisecond},
		{&relay.Relay{Links: lks, Roster: ros, Clock: steady, Logger: lg}, waitTimeout},
	}
	for ix, fw := range forwarding {
		for _, kind := range []jobapi.Kind{jobapi.Submit, jobapi.GetState, jobapi.Cancel} {
			for _, key := range []auth.Key{secret + "-a", secret + "-b", secret + "-unknown"} {
				ctx, cancel := context.WithTimeout(context.Background(), fw.timeout)
				rep := fw.handler.Handle(ctx, teamCall(kind, "q", fmt.Sprint("job-", ix), key))
				cancel()
				fmt.Fprintf(&texts, "%+v %#v\n", rep, rep)
			}
		}
	}
	cl := &jobhttp.Client{Addrs: sy.cl.Addrs, Key: secret + "-unknown"}
	_, _, err := cl.Do(context.Background(), http.MethodGet, "/v1/jobs?queue=q&id=job-0", nil)
	require.Error(t, err)
	fmt.Fprintln(&texts, err)
	for _, path := range []string{"/v1/teams", "/v1/catalog"} {
		_, text, err := sy.cl.Do(context.Background(), http.MethodGet, path, nil)
		require.NoError(t, err)
		require.Contains(t, string(text), "counters")
		texts.Write(text)
	}
	dump, err := json.Marshal(map[string]any{"log": sy.leadership.Status(), "holders": ros.ReplicaIDs()})
	require.NoError(t, err)
	texts.Write(dump)
	metrics.WritePrometheus(&texts, true)

	require.Contains(t, texts.String(), "weir_unauthorized_total ")
	require.Contains(t, lines.String(), "unauthorized")
	require.Contains(t, lines.String(), "share a key")
	require.Contains(t, lines.String(), `"team":"counters"`)
	for name, text := range map[string]string{"log lines": lines.String(), "responses": texts.String()} {
		for _, part := range []string{secret, "7319", `"keys"`, `\"keys\"`, "keyHashes", "keySalt"} {
			require.NotContains(t, text, part, name)
		}
	}
}
