package handler

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/common/clock"
	"greengageweir/internal/config/catalog"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/job/scheduler"
	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// applyingLog applies entries at once.
type applyingLog struct {
	st    *store.Store
	index uint64
}

func (al *applyingLog) Propose(_ context.Context, data []byte) (any, error) {
	al.index++
	return al.st.Apply(al.index, data), nil
}

// TestSubmitWiderThanCap guards against a job that is accepted and never starts, and
// against a refusal that has left a job behind or asks the caller to try again.
func TestSubmitWiderThanCap(t *testing.T) {
	salt := catalog.NewKeySalt()
	queue := func(name string, public bool) catalog.Queue {
		return catalog.Queue{Name: name, Host: "h", Prefix: "/" + name + "/", Pool: "desk", Timeout: time.Second, MaxAttempts: 2, Public: public}
	}
	packed, err := catalog.Catalog{
		Version: 1, Pools: []catalog.Pool{{Name: "desk"}}, Queues: []catalog.Queue{queue("q", false), queue("open", true)}, RequiresKeys: true, KeySalt: salt,
		Teams: []catalog.Team{
			{Name: "t", Cap: spec.Resources{MilliCPU: 1000}, KeyHashes: []catalog.KeyHash{catalog.HashKey(salt, "key-t")}},
			{Name: "u", KeyHashes: []catalog.KeyHash{catalog.HashKey(salt, "key-u")}},
		},
	}.Pack()
	require.NoError(t, err)
	st := store.New()
	com := &scheduler.Committer{Log: &applyingLog{st: st}, Wall: clock.Wall{}}
	require.NoError(t, com.Default())
	go func() { _ = com.Run(t.Context()) }()
	_, err = com.Commit(t.Context(), store.Change{Catalog: packed})
	require.NoError(t, err)
	sv := &Handler{Store: st, Committer: com, Scheduler: &scheduler.Scheduler{Store: st}, Logger: log.NewNopLogger()}

	wide := []spec.Step{{Count: 1, Resources: spec.Resources{MilliCPU: 1001}}}
	gang := []spec.Step{{Count: 2, Resources: spec.Resources{MilliCPU: 600}, Gang: true}}
	cases := map[string]struct {
		path  string
		key   auth.Key
		steps []spec.Step
		want  jobapi.Reply
	}{
		"wide":              {"/q/wide", "key-t", wide, jobapi.Reply{Outcome: jobapi.Refused, Reason: `step 0 has tasks that request 1001 milliCpu, the cap of team "t" is 1000`}},
		"gang":              {"/q/gang", "key-t", gang, jobapi.Reply{Outcome: jobapi.Refused, Reason: `step 0 is a gang of 2 tasks that request 600 milliCpu each, the cap of team "t" is 1000`}},
		"in waves":          {"/q/waves", "key-t", []spec.Step{{Count: 9, Resources: spec.Resources{MilliCPU: 1000}}}, jobapi.Reply{Outcome: jobapi.OK, Phase: store.Queued}},
		"team without cap":  {"/q/uncapped", "key-u", wide, jobapi.Reply{Outcome: jobapi.OK, Phase: store.Queued}},
		"public queue":      {"/open/public", "key-t", wide, jobapi.Reply{Outcome: jobapi.OK, Phase: store.Queued}},
		"invalid is no 429": {"/q/invalid", "key-t", append([]spec.Step{{}}, wide...), jobapi.Reply{Outcome: jobapi.Invalid, Reason: "check job: job is not valid: step 0 has 0 tasks, want 1 to 10000"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			call := jobapi.Call{Kind: jobapi.Submit, Host: "h", Path: tc.path, Key: tc.key, Job: &spec.Job{Steps: tc.steps}}
			require.Equal(t, tc.want, sv.submit(t.Context(), call))
			_, id, _ := jobapi.ResolveQueue(catalog.Catalog{Queues: []catalog.Queue{queue("q", false), queue("open", true)}}, "h", tc.path)
			st.Read(func(rd store.Reader) { require.Equal(t, tc.want.Outcome == jobapi.OK, rd.Job(id) != nil) })
		})
	}

	// A job that was accepted before the cap was lowered is known, not refused.
	lowered, err := catalog.Catalog{
		Version: 2, Pools: []catalog.Pool{{Name: "desk"}}, Queues: []catalog.Queue{queue("q", false)}, RequiresKeys: true, KeySalt: salt,
		Teams: []catalog.Team{{Name: "t", Cap: spec.Resources{MilliCPU: 1}, KeyHashes: []catalog.KeyHash{catalog.HashKey(salt, "key-t")}}},
	}.Pack()
	require.NoError(t, err)
	_, err = com.Commit(t.Context(), store.Change{Catalog: lowered})
	require.NoError(t, err)
	call := jobapi.Call{Kind: jobapi.Submit, Host: "h", Path: "/q/waves", Key: "key-t", Job: &spec.Job{Steps: wide}}
	require.Equal(t, jobapi.Reply{Outcome: jobapi.OK, Reason: "known", Phase: store.Queued}, sv.submit(t.Context(), call))
	var owner weir.TeamName
	st.Read(func(rd store.Reader) { owner = rd.Job("waves").Spec.Team })
	require.Equal(t, weir.TeamName("t"), owner)
}
