package relay

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/member/links"
	"greengageweir/internal/member/roster"
	network "greengageweir/internal/standin/relay"
)

const testToken = "a-token-of-the-test"

// replica is a process that responds to every call in the same way.
type replica struct {
	addr  string
	calls atomic.Int32
}

func newReplica(t *testing.T, answer func(ctx context.Context) (jobapi.Reply, error)) *replica {
	rp := &replica{}
	sv := &peer.Server{Addr: "127.0.0.1:0", Token: testToken, Handle: func(ctx context.Context, call peer.Call) (any, error) {
		if call.Method != jobapi.CallMethod {
			return nil, peer.MethodNotFound(call.Method)
		}
		rp.calls.Add(1)
		return answer(ctx)
	}}
	require.NoError(t, sv.Default())
	rp.addr = sv.Address()
	run(t, sv.Run)
	return rp
}

func run(t *testing.T, do func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = do(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func newRelay(t *testing.T, replicas ...*replica) *Relay {
	lks := &links.Links{Self: peer.Identity{ID: "e1"}, Token: testToken, Logger: log.NewNopLogger(), NoRaft: true}
	ros := &roster.Roster{Self: "e1", Links: lks, Logger: log.NewNopLogger()}
	for _, rp := range replicas {
		ros.Seeds = append(ros.Seeds, rp.addr)
	}
	require.NoError(t, lks.Default())
	require.NoError(t, ros.Default())
	run(t, lks.Run)
	rly := &Relay{Links: lks, Roster: ros, Clock: clock.BootTime{}, Logger: log.NewNopLogger()}
	for _, rp := range replicas {
		require.Eventually(t, func() bool { return lks.Ready(rp.addr) }, 5*time.Second, time.Millisecond)
	}
	return rly
}

func respond(outcome jobapi.Outcome) func(context.Context) (jobapi.Reply, error) {
	return func(context.Context) (jobapi.Reply, error) { return jobapi.Reply{Outcome: outcome}, nil }
}

func hang(ctx context.Context) (jobapi.Reply, error) {
	<-ctx.Done()
	return jobapi.Reply{}, ctx.Err()
}

func call(rly *Relay, wait time.Duration) jobapi.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return rly.Handle(ctx, jobapi.Call{Kind: jobapi.Submit})
}

func TestLeaderIsFound(t *testing.T) {
	follower := newReplica(t, respond(jobapi.Unavailable))
	leader := newReplica(t, func(context.Context) (jobapi.Reply, error) {
		return jobapi.Reply{Outcome: jobapi.OK, Leader: "itself"}, nil
	})
	rly := newRelay(t, follower, leader)
	require.Equal(t, jobapi.OK, call(rly, 5*time.Second).Outcome)
}

func TestUnavailableIsReturnedSoonWithoutLeader(t *testing.T) {
	one, other := newReplica(t, respond(jobapi.Unavailable)), newReplica(t, respond(jobapi.Unavailable))
	rly := newRelay(t, one, other)
	rep := call(rly, time.Minute)
	require.Equal(t, jobapi.Unavailable, rep.Outcome, "no replica ran the call")
	require.Positive(t, rep.RetryAfter)
	require.Greater(t, int(one.calls.Load()), 1, "the call was retried")
}

func TestNoReachableReplica(t *testing.T) {
	rly := newRelay(t)
	require.False(t, rly.Ready())
	require.Equal(t, jobapi.Unavailable, call(rly, time.Minute).Outcome)
}

func TestLostReplyGivesUnknown(t *testing.T) {
	lost, follower := newReplica(t, hang), newReplica(t, respond(jobapi.Unavailable))
	rly := newRelay(t, lost, follower)
	rly.Roster.SetLeader(lost.addr)
	require.Equal(t, jobapi.Unknown, call(rly, 1500*time.Millisecond).Outcome, "the unresponsive replica may have run the call")
}

// TestLaterRefusalIsNoProof guards against a caller who is told that the call had no
// effect, although an earlier try of it may have had one.
func TestLaterRefusalIsNoProof(t *testing.T) {
	cases := []struct {
		kind          jobapi.Kind
		outcome, want jobapi.Outcome
	}{
		{jobapi.Submit, jobapi.Unauthorized, jobapi.Unknown},
		{jobapi.Submit, jobapi.NoQueue, jobapi.Unknown},
		{jobapi.Submit, jobapi.Refused, jobapi.Unknown},
		{jobapi.Submit, jobapi.Invalid, jobapi.Unknown},
		{jobapi.Submit, jobapi.OK, jobapi.OK},
		{jobapi.Cancel, jobapi.Unauthorized, jobapi.Unknown},
		{jobapi.Cancel, jobapi.NoJob, jobapi.NoJob},
		{jobapi.GetState, jobapi.Unauthorized, jobapi.Unauthorized},
	}
	for _, tc := range cases {
		t.Run(string(tc.kind)+" "+string(tc.outcome), func(t *testing.T) {
			uncertain, leader := newReplica(t, respond(jobapi.Unknown)), newReplica(t, respond(tc.outcome))
			rly := newRelay(t, uncertain, leader)
			rly.Roster.SetLeader(uncertain.addr)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			rep := rly.Handle(ctx, jobapi.Call{Kind: tc.kind})
			require.Equal(t, tc.want, rep.Outcome)
			require.Positive(t, leader.calls.Load())
			if tc.want == jobapi.Unknown {
				require.Equal(t, http.StatusGatewayTimeout, rep.Outcome.HTTPStatus())
			}
		})
	}
}

// TestFirstRefusalIsPassedOn guards against refusals that are certain, and that the
// caller is told to be uncertain.
func TestFirstRefusalIsPassedOn(t *testing.T) {
	follower, leader := newReplica(t, respond(jobapi.Unavailable)), newReplica(t, respond(jobapi.Unauthorized))
	rly := newRelay(t, follower, leader)
	rly.Roster.SetLeader(follower.addr)
	rep := call(rly, 5*time.Second)
	require.Equal(t, jobapi.Unauthorized, rep.Outcome)
	require.Equal(t, http.StatusUnauthorized, rep.Outcome.HTTPStatus())
}

func TestRetryOnAnotherReplicaAfterLostReply(t *testing.T) {
	lost, leader := newReplica(t, hang), newReplica(t, respond(jobapi.OK))
	rly := newRelay(t, lost, leader)
	rly.Roster.SetLeader(lost.addr)
	require.Equal(t, jobapi.OK, call(rly, 10*time.Second).Outcome, "a job is identified by its id, so the call may be repeated")
}

// TestInstanceCutOffWithMinorityLeavesRotation guards against instances of a cut
// zone that keep callers to themselves until their deadlines.
func TestInstanceCutOffWithMinorityLeavesRotation(t *testing.T) {
	near := newReplica(t, respond(jobapi.Unavailable))
	far, leader := newReplica(t, respond(jobapi.Unavailable)), newReplica(t, respond(jobapi.OK))
	cut := zoneNetwork(t, far, leader)
	rly := newRelay(t, near, far, leader)
	rly.Roster.SetLeader(leader.addr)
	require.True(t, rly.Ready())
	require.Equal(t, jobapi.OK, call(rly, time.Second).Outcome)

	cut()
	begin := rly.Clock.Now()
	require.Equal(t, jobapi.Unknown, call(rly, time.Minute).Outcome, "the leader may have run the call")
	require.Less(t, rly.Clock.Now().Sub(begin), 2*time.Second, "the caller can still repeat it elsewhere in time")
	require.False(t, rly.Ready())
	sent := leader.calls.Load()
	require.Equal(t, jobapi.Unavailable, call(rly, time.Minute).Outcome)
	require.Equal(t, sent, leader.calls.Load(), "what is said not to have run was not sent")
}

// zoneNetwork puts replicas behind a network that can cut them off.
func zoneNetwork(t *testing.T, replicas ...*replica) (cut func()) {
	nw := &network.Relay{ControlAddr: freeAddress(t)}
	for _, rp := range replicas {
		route := network.Route{FromZone: "near", ToZone: "far", Listen: freeAddress(t), Target: rp.addr}
		nw.Routes = append(nw.Routes, route)
		rp.addr = route.Listen
	}
	require.NoError(t, nw.Default())
	run(t, nw.Run)
	return func() {
		resp, err := http.Post("http://"+nw.ControlAddr+"/cut/far", "", nil)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
	}
}

func freeAddress(t *testing.T) string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, lis.Close()) }()
	return lis.Addr().String()
}
