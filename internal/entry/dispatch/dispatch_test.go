package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	weir "greengageweir"
	"greengageweir/internal/config/model"
	"greengageweir/internal/contract/endpoint"
	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/duty/clock"
	"greengageweir/internal/entry/ledger"
	"greengageweir/internal/entry/placement"
	"greengageweir/internal/fleet/view"
	"greengageweir/internal/link/peer"
)

// fakeMesh is the mesh of an entry instance whose peers keep ledgers only.
type fakeMesh struct {
	stores map[string]*ledger.Store
	down   atomic.Bool
	join   func(ctx context.Context, jo peerapi.Join) weir.Response
}

func (fm *fakeMesh) Call(ctx context.Context, id, method string, params, result any) error {
	if fm.down.Load() {
		return &peer.Error{Op: method, Kind: peer.KindNotSent}
	}
	switch par := params.(type) {
	case peerapi.Reserve:
		*result.(*peerapi.ReserveResponse) = fm.stores[id].Reserve(clock.System{}.Now(), par)
	case peerapi.Finish:
		fm.stores[id].Finish(par)
	case peerapi.Join:
		*result.(*weir.Response) = fm.join(ctx, par)
	default:
		return errors.New(method)
	}
	return nil
}
func (fm *fakeMesh) Ready(string) bool                        { return !fm.down.Load() }
func (fm *fakeMesh) PickPeer(weir.ServiceName) (string, bool) { return "", false }
func (fm *fakeMesh) Has(weir.ServiceName) bool                { return false }
func (fm *fakeMesh) Exhausted(string, weir.ServiceName)       {}

// rig is a dispatcher with endpoints at the given addresses.
type rig struct {
	*Dispatcher
	mesh *fakeMesh
}

func newRig(t *testing.T, addrs ...string) *rig {
	clk := clock.System{}
	vw := view.View{Index: 1, Members: map[weir.InstanceID]view.Member{}}
	vw.Config = model.Config{
		Limits:   model.Limits{SlotsPerInstance: 8, ConnectionsPerInstance: 64},
		Services: map[weir.ServiceName]model.Service{"desk": {Name: "desk", QueueLength: 8}},
		Pools:    map[weir.PoolName]model.Pool{"desk": {Name: "desk", Service: "desk"}},
	}
	ids := []weir.InstanceID{"n0", "n1", "n2"}
	for _, id := range ids[:len(addrs)] {
		vw.Members[id] = view.Member{Instance: id, Pool: "desk", Phase: view.Serving}
	}
	tb := placement.New(clk, "a")
	tb.SetView(vw)
	for ix, addr := range addrs {
		require.True(t, tb.Announce(endpoint.Announcement{Instance: ids[ix], Address: addr, State: endpoint.Serving}).Granted)
	}
	old := clk.Now().Add(-time.Minute)
	fm := &fakeMesh{stores: map[string]*ledger.Store{}}
	for _, id := range []string{"a1", "a2", "a3"} {
		fm.stores[id] = ledger.NewStore(old, 10*time.Minute, 100)
	}
	return &rig{mesh: fm, Dispatcher: &Dispatcher{
		Self: "a1", Zone: "a", Entries: []ledger.EntryInstance{{Entry: "a1", Zone: "a"}, {Entry: "a2", Zone: "a"}, {Entry: "a3", Zone: "a"}},
		Table: tb, Mesh: fm, Store: fm.stores["a1"], Clock: clk,
	}}
}

func (rg *rig) request(t *testing.T, repeatable, keyed bool) weir.Request {
	req := weir.Request{
		Service: "desk", Method: http.MethodPost, Path: "/work", Body: []byte("x"), Class: weir.Urgent,
		Repeatable: repeatable, Deadline: rg.Clock.Now().Add(20 * time.Second),
	}
	if keyed {
		var err error
		req.Key, err = ledger.NewKey("a", rg.Clock.Now())
		require.NoError(t, err)
	}
	return req
}

// lead runs a request as its key's leader, whoever that is by rank.
func (rg *rig) lead(req weir.Request) weir.Response {
	if req.Key == "" {
		return rg.Do(context.Background(), req)
	}
	return rg.RunKeyed(context.Background(), req)
}

func handler(t *testing.T, fn http.HandlerFunc) string {
	sv := httptest.NewServer(fn)
	t.Cleanup(sv.Close)
	return sv.Listener.Addr().String()
}

func hangUp(rw http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

func refuseAll(rw http.ResponseWriter, _ *http.Request) {
	rw.Header().Set(endpoint.HeaderRefused, endpoint.RefusedSlots)
	http.Error(rw, "busy", http.StatusServiceUnavailable)
}

func fine(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "booked") }

// slowDeadline is the deadline of requests to the slow endpoint.
const slowDeadline = time.Second

func slow(rw http.ResponseWriter, _ *http.Request) {
	time.Sleep(2 * slowDeadline)
	_, _ = io.WriteString(rw, "booked late")
}

// TestOutcomes is the table of what a caller is told when the endpoint does
// this or that.
func TestOutcomes(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	nobody := lis.Addr().String()
	require.NoError(t, lis.Close())
	cases := []struct {
		name       string
		endpoint   http.HandlerFunc // nil where nobody listens
		repeatable bool
		keyed      bool
		want       weir.OutcomeKind
	}{
		{"answers", fine, false, true, weir.Complete},
		{"answers without a key", fine, false, false, weir.Complete},
		{"server error is the endpoint's own answer", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusInternalServerError) }, false, true, weir.Complete},
		{"nobody listens", nil, false, true, weir.NotRun},
		{"nobody listens, repeatable", nil, true, false, weir.NotRun},
		{"refuses", refuseAll, false, true, weir.NotRun},
		{"hangs up", hangUp, false, true, weir.Unknown},
		{"hangs up, repeatable", hangUp, true, false, weir.Unknown},
		{"too slow", slow, false, true, weir.Unknown},
		{"too slow, repeatable", slow, true, false, weir.Unknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			addr := nobody
			if tc.endpoint != nil {
				addr = handler(t, tc.endpoint)
			}
			rg := newRig(t, addr)
			req := rg.request(t, tc.repeatable, tc.keyed)
			if strings.HasPrefix(tc.name, "too slow") {
				req.Deadline = rg.Clock.Now().Add(slowDeadline)
			}
			require.Equal(t, tc.want, rg.lead(req).Kind)
		})
	}
}

func TestOnlyRepeatableIsTriedAgainAfterABreak(t *testing.T) {
	var runs atomic.Int32
	counted := func(rw http.ResponseWriter, req *http.Request) {
		if runs.Add(1) == 1 {
			hangUp(rw, req)
			return
		}
		fine(rw, req)
	}
	rg := newRig(t, handler(t, counted))
	for range 50 { // earn retries
		rg.withBudget(func(rb *retryBudget) bool { rb.earn(); return true })
	}
	require.Equal(t, weir.Unknown, rg.lead(rg.request(t, false, true)).Kind)
	require.Equal(t, int32(1), runs.Load())
	runs.Store(0)
	require.Equal(t, weir.Complete, rg.lead(rg.request(t, true, false)).Kind)
	require.Equal(t, int32(2), runs.Load())
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	var runs atomic.Int32
	rg := newRig(t, handler(t, func(rw http.ResponseWriter, req *http.Request) { runs.Add(1); hangUp(rw, req) }))
	const requests = 100
	for range requests {
		rg.lead(rg.request(t, true, false))
	}
	require.LessOrEqual(t, int(runs.Load()), requests+requests/10+1)
}

func TestNotRunIsTriedElsewhere(t *testing.T) {
	rg := newRig(t, handler(t, refuseAll), handler(t, refuseAll), handler(t, fine))
	for range 3 {
		ans := rg.lead(rg.request(t, false, true))
		require.Contains(t, []weir.OutcomeKind{weir.Complete, weir.NotRun}, ans.Kind)
	}
}

func TestSameKeyRunsOnce(t *testing.T) {
	var runs atomic.Int32
	rg := newRig(t, handler(t, func(rw http.ResponseWriter, req *http.Request) {
		runs.Add(1)
		time.Sleep(50 * time.Millisecond)
		fine(rw, req)
	}))
	req := rg.request(t, false, true)
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ans := rg.lead(req)
			require.Equal(t, weir.Complete, ans.Kind)
			require.Equal(t, "booked", string(ans.Body))
		}()
	}
	wg.Wait()
	again := rg.lead(req)
	require.Equal(t, "booked", string(again.Body), "the recorded answer")
	require.Equal(t, int32(1), runs.Load())
}

// TestLateAnswerIsRecorded lets the endpoint answer after the deadline: the
// caller is told "unknown" and gets the outcome by asking again.
func TestLateAnswerIsRecorded(t *testing.T) {
	rg := newRig(t, handler(t, slow))
	req := rg.request(t, false, true)
	req.Deadline = rg.Clock.Now().Add(slowDeadline)
	require.Equal(t, weir.Unknown, rg.lead(req).Kind)
	require.Eventually(t, func() bool {
		req.Deadline = rg.Clock.Now().Add(slowDeadline)
		ans := rg.lead(req)
		return ans.Kind == weir.Complete && string(ans.Body) == "booked late"
	}, 20*time.Second, 50*time.Millisecond)
}

func TestWithoutLedgerMajorityNothingRuns(t *testing.T) {
	var runs atomic.Int32
	rg := newRig(t, handler(t, func(rw http.ResponseWriter, req *http.Request) { runs.Add(1); fine(rw, req) }))
	rg.mesh.down.Store(true)
	require.Equal(t, weir.Unknown, rg.lead(rg.request(t, false, true)).Kind)
	require.Zero(t, runs.Load())
	require.Equal(t, weir.Complete, rg.lead(rg.request(t, true, false)).Kind, "reads go on")
}

// TestTwoLeadersDoNotWaitForEachOther covers two entry instances that both
// lost the claim of a key and each take the other for its holder.
func TestTwoLeadersDoNotWaitForEachOther(t *testing.T) {
	rg := newRig(t)
	req := rg.request(t, false, true)
	for _, id := range []string{"a1", "a2"} {
		rg.mesh.stores[id].Reserve(rg.Clock.Now(), peerapi.Reserve{Key: req.Key, Attempt: "a2/other"})
	}
	rg.mesh.join = func(ctx context.Context, _ peerapi.Join) weir.Response {
		rg.mu.Lock()
		ours := rg.flights[req.Key].attempt
		rg.mu.Unlock()
		return rg.AwaitAttempt(ctx, peerapi.Join{Key: req.Key, Attempt: ours})
	}
	answered := make(chan weir.Response, 1)
	go func() { answered <- rg.lead(req) }()
	select {
	case ans := <-answered:
		require.Equal(t, weir.Unknown, ans.Kind)
	case <-time.After(10 * time.Second):
		require.Fail(t, "both wait for each other")
	}
}

func TestDeadlineTravelsAsRemainingTime(t *testing.T) {
	there := time.Unix(1_700_000_000, 0) // a clock that is far off
	req := CallParams{Request: weir.Request{Deadline: time.Unix(1_800_000_000, 0)}, Remaining: time.Second}.LocalRequest(there)
	require.Equal(t, there.Add(time.Second), req.Deadline)
}

func TestBadKeys(t *testing.T) {
	rg := newRig(t)
	req := rg.request(t, false, true)
	req.Key = "booking-1"
	require.Equal(t, weir.NotRun, rg.Do(context.Background(), req).Kind)
	old, err := ledger.NewKey("a", rg.Clock.Now().Add(-time.Hour))
	require.NoError(t, err)
	req.Key = old
	require.Equal(t, weir.Unknown, rg.Do(context.Background(), req).Kind, "past retention it may have run")
}
