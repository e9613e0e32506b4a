package handler_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/require"

	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/duty/clock"
	"greengageweir/internal/job/handler"
	"greengageweir/internal/job/scheduler"
	"greengageweir/internal/job/store"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/member/links"
)

// following is the view of a process that follows a leader, or hears of none.
type following string

func (fo following) LeaderID() string { return string(fo) }

// TestFollowerAnswersAnnouncementsThatChangeNothing keeps the beats of a large
// fleet away from the leader.
func TestFollowerAnswersAnnouncementsThatChangeNothing(t *testing.T) {
	word := store.Worker{ID: "w1", Incarnation: 1, Pool: "desk", Address: "w1:1", Sequence: 3}
	st := store.New()
	data, err := store.Entry{Changes: []store.Change{{Join: &word}}}.Encode()
	require.NoError(t, err)
	st.Apply(1, data)
	ask := func(leader following, ann store.Worker) jobapi.Reply {
		sv := &handler.Handler{
			Self: "c1", Store: st, Owner: &scheduler.Scheduler{Store: st}, Leader: leader, Clock: clock.BootTime{}, Wall: clock.Wall{},
			Links: &links.Links{Self: peer.Identity{ID: "c1"}}, Logger: log.NewNopLogger(),
		}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		return sv.Handle(ctx, jobapi.Call{Kind: jobapi.Announce, Worker: &jobapi.Announcement{Worker: ann}})
	}
	later := word
	later.Sequence = 4
	require.Equal(t, jobapi.Reply{Outcome: jobapi.OK, AnnounceTo: "c1"}, ask("c2", later), "nothing new")
	require.NotEqual(t, jobapi.OK, ask("", later).Outcome, "a process that is cut off may not know the newest")
	later.Draining = true
	require.NotEqual(t, jobapi.OK, ask("c2", later).Outcome, "news goes to the leader, which is not there")
}
