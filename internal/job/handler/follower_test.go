package handler_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/clock"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/job/handler"
	"greengageweir/internal/job/scheduler"
	"greengageweir/internal/job/store"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/member/links"
)

// fixedLeader is a LeaderTracker with a fixed leader; empty is no leader.
type fixedLeader string

func (fo fixedLeader) LeaderID() string { return string(fo) }

// TestFollowerAnswersAnnouncementsThatChangeNothing guards against forwarding the
// heartbeats of a large fleet to the leader.
func TestFollowerAnswersAnnouncementsThatChangeNothing(t *testing.T) {
	announced := store.Worker{ID: "w1", Incarnation: 1, Pool: "desk", Address: "w1:1", Sequence: 3}
	st := store.New()
	data, err := store.Entry{Changes: []store.Change{{Join: &announced}}}.Encode()
	require.NoError(t, err)
	st.Apply(1, data)
	ask := func(leader fixedLeader, ann store.Worker) jobapi.Reply {
		sv := &handler.Handler{
			Self: "c1", Store: st, Scheduler: &scheduler.Scheduler{Store: st}, Leader: leader, Clock: clock.BootTime{}, Wall: clock.Wall{},
			Links: &links.Links{Self: peer.Identity{ID: "c1"}}, Logger: log.NewNopLogger(),
		}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		return sv.Handle(ctx, jobapi.Call{Kind: jobapi.Announce, Worker: &jobapi.Announcement{Worker: ann}})
	}
	later := announced
	later.Sequence = 4
	require.Equal(t, jobapi.Reply{Outcome: jobapi.OK, AnnounceTo: "c1"}, ask("c2", later), "the follower answers an unchanged announcement")
	require.NotEqual(t, jobapi.OK, ask("", later).Outcome, "without a leader the replica may be out of date")
	later.Draining = true
	require.NotEqual(t, jobapi.OK, ask("c2", later).Outcome, "a changed announcement goes to the leader, which is unreachable")
}
