package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/duty/clock"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/member/links"
	"greengageweir/internal/member/roster"
)

const testToken = "a-token-of-the-test"

// holder is a process that answers every call in the same way.
type holder struct {
	addr  string
	calls atomic.Int32
}

func newHolder(t *testing.T, answer func(ctx context.Context) (jobapi.Reply, error)) *holder {
	ho := &holder{}
	sv := &peer.Server{Addr: "127.0.0.1:0", Token: testToken, Handle: func(ctx context.Context, call peer.Call) (any, error) {
		if call.Method != jobapi.CallMethod {
			return nil, peer.MethodNotFound(call.Method)
		}
		ho.calls.Add(1)
		return answer(ctx)
	}}
	require.NoError(t, sv.Default())
	ho.addr = sv.Address()
	run(t, sv.Run)
	return ho
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

func newRelay(t *testing.T, holders ...*holder) *Relay {
	lks := &links.Links{Self: peer.Identity{ID: "e1"}, Token: testToken, Logger: log.NewNopLogger(), NoRaft: true}
	ros := &roster.Roster{Self: "e1", Links: lks, Logger: log.NewNopLogger()}
	for _, ho := range holders {
		ros.Seeds = append(ros.Seeds, ho.addr)
	}
	require.NoError(t, lks.Default())
	require.NoError(t, ros.Default())
	run(t, lks.Run)
	rly := &Relay{Links: lks, Roster: ros, Clock: clock.BootTime{}, Logger: log.NewNopLogger()}
	for _, ho := range holders {
		require.Eventually(t, func() bool { return lks.Ready(ho.addr) }, 5*time.Second, time.Millisecond)
	}
	return rly
}

func says(outcome jobapi.Outcome) func(context.Context) (jobapi.Reply, error) {
	return func(context.Context) (jobapi.Reply, error) { return jobapi.Reply{Outcome: outcome}, nil }
}

func silent(ctx context.Context) (jobapi.Reply, error) {
	<-ctx.Done()
	return jobapi.Reply{}, ctx.Err()
}

func ask(rly *Relay, wait time.Duration) jobapi.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return rly.Handle(ctx, jobapi.Call{Kind: jobapi.Submit})
}

func TestTheOneThatLeadsIsFound(t *testing.T) {
	follower := newHolder(t, says(jobapi.Unavailable))
	leads := newHolder(t, func(context.Context) (jobapi.Reply, error) {
		return jobapi.Reply{Outcome: jobapi.OK, Leader: "itself"}, nil
	})
	rly := newRelay(t, follower, leads)
	require.Equal(t, jobapi.OK, ask(rly, 5*time.Second).Outcome)
}

func TestWithoutALeaderTheCallerIsToldSoonAndTruly(t *testing.T) {
	one, other := newHolder(t, says(jobapi.Unavailable)), newHolder(t, says(jobapi.Unavailable))
	rly := newRelay(t, one, other)
	rep := ask(rly, time.Minute)
	require.Equal(t, jobapi.Unavailable, rep.Outcome, "nobody did anything")
	require.Positive(t, rep.RetryAfter)
	require.Greater(t, int(one.calls.Load()), 1, "it was tried more than once")
}

func TestNobodyToAsk(t *testing.T) {
	rly := newRelay(t)
	require.False(t, rly.Ready())
	require.Equal(t, jobapi.Unavailable, ask(rly, time.Minute).Outcome)
}

func TestSilenceLeavesItOpen(t *testing.T) {
	lost, follower := newHolder(t, silent), newHolder(t, says(jobapi.Unavailable))
	rly := newRelay(t, lost, follower)
	rly.Roster.SetLeader(lost.addr)
	require.Equal(t, jobapi.Unknown, ask(rly, 1500*time.Millisecond).Outcome, "the silent one may have done it")
}

func TestAnotherAnswersAfterSilence(t *testing.T) {
	lost, leader := newHolder(t, silent), newHolder(t, says(jobapi.OK))
	rly := newRelay(t, lost, leader)
	rly.Roster.SetLeader(lost.addr)
	require.Equal(t, jobapi.OK, ask(rly, 10*time.Second).Outcome, "a job is known by its id, so it may be sent again")
}
