package jobhttp_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/common/clock"
	"greengageweir/internal/config/catalog"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/contract/jobhttp"
	"greengageweir/internal/job/spec"

	weir "greengageweir"
)

// fixedHandler gives the same reply to every call and keeps the calls.
type fixedHandler struct {
	reply jobapi.Reply
	calls []jobapi.Call
}

func (fh *fixedHandler) Handle(_ context.Context, call jobapi.Call) jobapi.Reply {
	fh.calls = append(fh.calls, call)
	return fh.reply
}

// serve sends one request to the API and returns its response.
func (fh *fixedHandler) serve(method, path, body, authorization string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", authorization)
	rec := httptest.NewRecorder()
	jobhttp.Routes(fh, clock.Wall{}).ServeHTTP(rec, req)
	return rec
}

// TestCallsCarryKeys guards against calls about jobs that lose the caller's key, and
// against refusals that a caller is told to repeat.
func TestCallsCarryKeys(t *testing.T) {
	const job = `{"queue":"q","id":"a","job":{"steps":[{"count":1}]}}`
	for authorization, want := range map[string]auth.Key{
		"Bearer k-1": "k-1", "Bearer ": "", "": "", "Token k-1": "", "k-1": "", "Bearerk-1": "",
	} {
		fh := &fixedHandler{reply: jobapi.Reply{Outcome: jobapi.Unauthorized, Reason: "unknown key"}}
		for _, rec := range []*httptest.ResponseRecorder{
			fh.serve(http.MethodPost, "/v1/jobs", job, authorization),
			fh.serve(http.MethodGet, "/v1/jobs?queue=q&id=a", "", authorization),
			fh.serve(http.MethodGet, "/v1/jobs?queue=q", "", authorization),
			fh.serve(http.MethodDelete, "/v1/jobs?queue=q&id=a", "", authorization),
		} {
			require.Equal(t, http.StatusUnauthorized, rec.Code)
			require.JSONEq(t, `{"outcome":"unauthorized","reason":"unknown key"}`, rec.Body.String())
			require.Empty(t, rec.Header().Get("Retry-After"))
		}
		require.Len(t, fh.calls, 4)
		for _, call := range fh.calls {
			require.Equal(t, want, call.Key, "%s of %q", call.Kind, authorization)
		}
	}
}

// TestCatalogHoldsTeams guards against teams and public queues that are lost on the
// way, and against keys that callers can read back.
func TestCatalogHoldsTeams(t *testing.T) {
	const document = `{"version":3,"queues":[{"name":"q","pool":"p","timeoutMillis":1000,"public":true},
		{"name":"r","pool":"p","timeoutMillis":1000}],"pools":[{"name":"p"}],
		"teams":[{"name":"counters","keys":["k-1","k-2"],"weight":2.5,"cap":{"milliCpu":4000,"memoryMb":512,"gpu":1}},{"name":"office"}]}`
	fh := &fixedHandler{reply: jobapi.Reply{Outcome: jobapi.OK}}
	require.Equal(t, http.StatusOK, fh.serve(http.MethodPut, "/v1/catalog", document, "").Code)
	ct := fh.calls[0].Catalog
	require.True(t, ct.RequiresKeys)
	require.True(t, ct.Queues[0].Public)
	require.False(t, ct.Queues[1].Public)
	require.Equal(t, []catalog.Team{
		{
			Name: "counters", KeyHashes: []catalog.KeyHash{catalog.HashKey(ct.KeySalt, "k-1"), catalog.HashKey(ct.KeySalt, "k-2")},
			Weight: 2.5, Cap: spec.Resources{MilliCPU: 4000, MemoryMB: 512, GPU: 1},
		}, {Name: "office"},
	}, ct.Teams)

	fh.reply.Document = ct.Document
	body := fh.serve(http.MethodGet, "/v1/catalog", "", "").Body.String()
	require.Contains(t, body, `"counters"`)
	require.NotContains(t, body, "k-1")
	require.NotContains(t, body, "k-2")
	fh.reply.Document = []byte(`{"version":1, "queues":[]}`)
	require.Equal(t, `{"version":1, "queues":[]}`, fh.serve(http.MethodGet, "/v1/catalog", "", "").Body.String(), "without teams as it was sent")
}

// TestExampleWithTeams guards against an example that no process accepts.
func TestExampleWithTeams(t *testing.T) {
	document, err := os.ReadFile("../../../examples/jobs/teams.json")
	require.NoError(t, err)
	fh := &fixedHandler{reply: jobapi.Reply{Outcome: jobapi.OK}}
	require.Equal(t, http.StatusOK, fh.serve(http.MethodPut, "/v1/catalog", string(document), "").Code)
	ct := fh.calls[0].Catalog
	require.NoError(t, ct.Check())
	require.True(t, ct.RequiresKeys)
	require.Len(t, ct.Teams, 2)
}

func TestTeams(t *testing.T) {
	fh := &fixedHandler{reply: jobapi.Reply{Outcome: jobapi.OK, Teams: []jobapi.TeamStatus{{
		Name: weir.TeamName("counters"), Weight: 2, Cap: spec.Resources{MilliCPU: 4000}, Use: spec.Resources{MilliCPU: 500, MemoryMB: 64},
		PendingJobs: 3, RunningJobs: 1,
	}}}}
	rec := fh.serve(http.MethodGet, "/v1/teams", "", "")
	require.Equal(t, http.StatusOK, rec.Code)
	require.JSONEq(t, `{"teams":[{"name":"counters","weight":2,"cap":{"milliCpu":4000},"use":{"milliCpu":500,"memoryMb":64},
		"pendingJobs":3,"runningJobs":1}]}`, rec.Body.String())
	fh.reply.Teams = nil
	require.JSONEq(t, `{"teams":[]}`, fh.serve(http.MethodGet, "/v1/teams", "", "").Body.String())
	fh.reply = jobapi.Reply{Outcome: jobapi.Unavailable, RetryAfter: time.Second}
	require.Equal(t, http.StatusServiceUnavailable, fh.serve(http.MethodGet, "/v1/teams", "", "").Code)
	for _, call := range fh.calls {
		require.Equal(t, jobapi.ListTeams, call.Kind)
	}
}

// TestClientSaysThatAnEarlierAttemptMayHaveRun guards against a refusal that a user
// takes for a proof that nothing happened.
func TestClientSaysThatAnEarlierAttemptMayHaveRun(t *testing.T) {
	serve := func(outcome jobapi.Outcome, seen *string) string {
		srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
			*seen = req.Header.Get("Authorization")
			jobhttp.Routes(&fixedHandler{reply: jobapi.Reply{Outcome: outcome}}, clock.Wall{}).ServeHTTP(rw, req)
		}))
		t.Cleanup(srv.Close)
		return srv.Listener.Addr().String()
	}
	var header string
	refuses, uncertain := serve(jobapi.Unauthorized, &header), serve(jobapi.Unknown, &header)
	const note = "an earlier attempt may have had an effect"
	_, _, err := (&jobhttp.Client{Addrs: []string{uncertain, refuses}, Key: "k-1"}).Do(context.Background(), http.MethodDelete, "/v1/jobs?queue=q&id=a", nil)
	require.ErrorContains(t, err, note)
	require.NotContains(t, err.Error(), "k-1")
	require.Equal(t, "Bearer k-1", header)
	_, _, err = (&jobhttp.Client{Addrs: []string{refuses}}).Do(context.Background(), http.MethodDelete, "/v1/jobs?queue=q&id=a", nil)
	require.Error(t, err)
	require.NotContains(t, err.Error(), note)
	require.Empty(t, header)
}
