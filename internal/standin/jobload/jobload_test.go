package jobload_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/common/clock"
	"greengageweir/internal/common/errkind"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/contract/jobhttp"
	"greengageweir/internal/job/store"
	"greengageweir/internal/standin/jobload"
)

// teamsHandler accepts the calls with valid keys, or every call. Only the team with the
// key "hot" has jobs.
type teamsHandler struct {
	acceptsAll bool
	valid      map[auth.Key]bool
}

func (th teamsHandler) Handle(_ context.Context, call jobapi.Call) jobapi.Reply {
	switch {
	case th.acceptsAll:
		return jobapi.Reply{Outcome: jobapi.OK, Phase: store.Done}
	case !th.valid[call.Key]:
		return jobapi.Reply{Outcome: jobapi.Unauthorized}
	case call.Key != "hot":
		return jobapi.Reply{Outcome: jobapi.NoJob}
	}
	return jobapi.Reply{Outcome: jobapi.OK, Phase: store.Done}
}

// TestLoadNoticesBrokenPromises guards against a soak that passes whatever is answered.
func TestLoadNoticesBrokenPromises(t *testing.T) {
	run := func(hd teamsHandler) jobload.Result {
		srv := httptest.NewServer(jobhttp.Routes(hd, clock.Wall{}))
		defer srv.Close()
		gn := &jobload.Generator{
			Addrs: []string{srv.Listener.Addr().String()}, Queue: "q", Rate: 50, Duration: 500 * time.Millisecond, Patience: 20 * time.Second,
			Teams:   []jobload.Team{{Name: "hot", Key: "hot", Share: 1}, {Name: "idle", Key: "idle"}},
			Revoked: []auth.Key{"revoked"}, Clock: clock.System{},
		}
		return gn.Run(context.Background())
	}
	good := run(teamsHandler{valid: map[auth.Key]bool{"hot": true, "idle": true}})
	require.NoError(t, good.Err())
	require.Positive(t, good.RevokedSent)
	require.Equal(t, good.Teams["hot"].Sent, good.Teams["hot"].Done)
	require.Positive(t, good.Teams["hot"].Done)

	open := run(teamsHandler{acceptsAll: true})
	require.True(t, errkind.Is(open.Err(), jobload.KindBroken), "%v", open.Err())
	require.Equal(t, open.RevokedSent, open.RevokedAccepted)
	require.Equal(t, open.Teams["hot"].Sent, open.Seen)

	closed := run(teamsHandler{})
	require.Error(t, closed.Err())
	require.Equal(t, closed.Teams["hot"].Sent, closed.Refused)
	require.Equal(t, closed.Teams["hot"].Sent, closed.Teams["hot"].Unfinished)
}
