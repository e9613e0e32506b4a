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
	"greengageweir/internal/common/clock"
	"greengageweir/internal/config/model"
	"greengageweir/internal/contract/endpoint"
	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/entry/ledger"
	"greengageweir/internal/entry/routing"
	"greengageweir/internal/fleet/view"
	"greengageweir/internal/link/peer"
)

// fakeMesh connects an entry instance to peers that have a ledger but no slots.
type fakeMesh struct {
	stores map[string]*ledger.Store
	down   atomic.Bool
	join   func(ctx context.Context, jo peerapi.JoinRequest) weir.Response
}

func (fm *fakeMesh) Call(ctx context.Context, id, method string, params, result any) error {
	if fm.down.Load() {
		return &peer.Error{Op: method, Kind: peer.KindNotSent}
	}
	switch par := params.(type) {
	case peerapi.ReserveRequest:
		*result.(*peerapi.ReserveResponse) = fm.stores[id].Reserve(clock.System{}.Now(), par)
	case peerapi.FinishRequest:
		fm.stores[id].Finish(par)
	case peerapi.JoinRequest:
		*result.(*weir.Response) = fm.join(ctx, par)
	default:
		return errors.New(method)
	}
	return nil
}
func (fm *fakeMesh) Ready(string) bool                        { return !fm.down.Load() }
func (fm *fakeMesh) PickPeer(weir.ServiceName) (string, bool) { return "", false }
func (fm *fakeMesh) HasFreeSlot(weir.ServiceName) bool        { return false }
func (fm *fakeMesh) MarkExhausted(string, weir.ServiceName)   {}

// fixture is a dispatcher with its fake mesh.
type fixture struct {
	*Dispatcher
	mesh *fakeMesh
}

// newFixture returns a dispatcher with one endpoint at each address.
func newFixture(t *testing.T, addrs ...string) *fixture {
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
	tb := routing.New(clk, "a")
	tb.SetView(vw)
	for ix, addr := range addrs {
		require.True(t, tb.Announce(endpoint.Announcement{Instance: ids[ix], Address: addr, State: endpoint.Serving}).Granted)
	}
	old := clk.Now().Add(-time.Minute)
	fm := &fakeMesh{stores: map[string]*ledger.Store{}}
	for _, id := range []string{"a1", "a2", "a3"} {
		fm.stores[id] = ledger.NewStore(old, 10*time.Minute, 100)
	}
	return &fixture{mesh: fm, Dispatcher: &Dispatcher{
		Self: "a1", Zone: "a", Entries: []ledger.EntryInstance{{ID: "a1", Zone: "a"}, {ID: "a2", Zone: "a"}, {ID: "a3", Zone: "a"}},
		Table: tb, Mesh: fm, Store: fm.stores["a1"], Clock: clk,
	}}
}

func (fx *fixture) request(t *testing.T, repeatable, keyed bool) weir.Request {
	req := weir.Request{
		Service: "desk", Method: http.MethodPost, Path: "/work", Body: []byte("x"), Class: weir.Urgent,
		Repeatable: repeatable, Deadline: fx.Clock.Now().Add(20 * time.Second),
	}
	if keyed {
		var err error
		req.Key, err = ledger.NewKey("a", fx.Clock.Now())
		require.NoError(t, err)
	}
	return req
}

// runKeyed runs a request on this instance, also if its key ranks another
// instance first.
func (fx *fixture) runKeyed(req weir.Request) weir.Response {
	if req.Key == "" {
		return fx.Do(context.Background(), req)
	}
	return fx.RunKeyed(context.Background(), req)
}

func startEndpoint(t *testing.T, fn http.HandlerFunc) string {
	sv := httptest.NewServer(fn)
	t.Cleanup(sv.Close)
	return sv.Listener.Addr().String()
}

func closeConnection(rw http.ResponseWriter, req *http.Request) {
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

func succeed(rw http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(rw, "booked") }

// slowDeadline is the deadline of requests to the slow endpoint.
const slowDeadline = time.Second

func slow(rw http.ResponseWriter, _ *http.Request) {
	time.Sleep(2 * slowDeadline)
	_, _ = io.WriteString(rw, "booked late")
}

// TestOutcomes checks which outcome a caller gets for each behaviour of the
// endpoint.
func TestOutcomes(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	nobody := lis.Addr().String()
	require.NoError(t, lis.Close())
	cases := []struct {
		name       string
		endpoint   http.HandlerFunc // nil for a closed port
		repeatable bool
		keyed      bool
		want       weir.OutcomeKind
	}{
		{"answers", succeed, false, true, weir.Complete},
		{"answers without a key", succeed, false, false, weir.Complete},
		{"server error is the endpoint's own answer", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusInternalServerError) }, false, true, weir.Complete},
		{"nobody listens", nil, false, true, weir.NotRun},
		{"nobody listens, repeatable", nil, true, false, weir.NotRun},
		{"refuses", refuseAll, false, true, weir.NotRun},
		{"closes the connection", closeConnection, false, true, weir.Unknown},
		{"closes the connection, repeatable", closeConnection, true, false, weir.Unknown},
		{"too slow", slow, false, true, weir.Unknown},
		{"too slow, repeatable", slow, true, false, weir.Unknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			addr := nobody
			if tc.endpoint != nil {
				addr = startEndpoint(t, tc.endpoint)
			}
			fx := newFixture(t, addr)
			req := fx.request(t, tc.repeatable, tc.keyed)
			if strings.HasPrefix(tc.name, "too slow") {
				req.Deadline = fx.Clock.Now().Add(slowDeadline)
			}
			require.Equal(t, tc.want, fx.runKeyed(req).Kind)
		})
	}
}

func TestOnlyRepeatableRequestIsRetriedAfterConnectionLoss(t *testing.T) {
	var runs atomic.Int32
	counted := func(rw http.ResponseWriter, req *http.Request) {
		if runs.Add(1) == 1 {
			closeConnection(rw, req)
			return
		}
		succeed(rw, req)
	}
	fx := newFixture(t, startEndpoint(t, counted))
	for range 50 { // fill the retry budget
		fx.withBudget(func(rb *retryBudget) bool { rb.earn(); return true })
	}
	require.Equal(t, weir.Unknown, fx.runKeyed(fx.request(t, false, true)).Kind)
	require.Equal(t, int32(1), runs.Load())
	runs.Store(0)
	require.Equal(t, weir.Complete, fx.runKeyed(fx.request(t, true, false)).Kind)
	require.Equal(t, int32(2), runs.Load())
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	var runs atomic.Int32
	fx := newFixture(t, startEndpoint(t, func(rw http.ResponseWriter, req *http.Request) { runs.Add(1); closeConnection(rw, req) }))
	const requests = 100
	for range requests {
		fx.runKeyed(fx.request(t, true, false))
	}
	require.LessOrEqual(t, int(runs.Load()), requests+requests/10+1)
}

func TestNotRunIsRetriedOnAnotherEndpoint(t *testing.T) {
	fx := newFixture(t, startEndpoint(t, refuseAll), startEndpoint(t, refuseAll), startEndpoint(t, succeed))
	for range 3 {
		ans := fx.runKeyed(fx.request(t, false, true))
		require.Contains(t, []weir.OutcomeKind{weir.Complete, weir.NotRun}, ans.Kind)
	}
}

func TestSameKeyRunsOnce(t *testing.T) {
	var runs atomic.Int32
	fx := newFixture(t, startEndpoint(t, func(rw http.ResponseWriter, req *http.Request) {
		runs.Add(1)
		time.Sleep(50 * time.Millisecond)
		succeed(rw, req)
	}))
	req := fx.request(t, false, true)
	var wg sync.WaitGroup
	for range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ans := fx.runKeyed(req)
			require.Equal(t, weir.Complete, ans.Kind)
			require.Equal(t, "booked", string(ans.Body))
		}()
	}
	wg.Wait()
	again := fx.runKeyed(req)
	require.Equal(t, "booked", string(again.Body), "the recorded answer")
	require.Equal(t, int32(1), runs.Load())
}

// TestLateAnswerIsRecorded guards against losing a response that arrives after
// the deadline: the caller gets "unknown" first, and the recorded response when
// it repeats the request with the same key.
func TestLateAnswerIsRecorded(t *testing.T) {
	fx := newFixture(t, startEndpoint(t, slow))
	req := fx.request(t, false, true)
	req.Deadline = fx.Clock.Now().Add(slowDeadline)
	require.Equal(t, weir.Unknown, fx.runKeyed(req).Kind)
	require.Eventually(t, func() bool {
		req.Deadline = fx.Clock.Now().Add(slowDeadline)
		ans := fx.runKeyed(req)
		return ans.Kind == weir.Complete && string(ans.Body) == "booked late"
	}, 20*time.Second, 50*time.Millisecond)
}

func TestKeyedRequestNeedsLedgerMajority(t *testing.T) {
	var runs atomic.Int32
	fx := newFixture(t, startEndpoint(t, func(rw http.ResponseWriter, req *http.Request) { runs.Add(1); succeed(rw, req) }))
	fx.mesh.down.Store(true)
	require.Equal(t, weir.Unknown, fx.runKeyed(fx.request(t, false, true)).Kind)
	require.Zero(t, runs.Load())
	require.Equal(t, weir.Complete, fx.runKeyed(fx.request(t, true, false)).Kind, "requests without a key need no ledger")
}

// TestLosingAttemptsDoNotWaitForEachOther guards against a deadlock of two entry
// instances that both lost the claim of a key and each take the other for its
// holder.
func TestLosingAttemptsDoNotWaitForEachOther(t *testing.T) {
	fx := newFixture(t)
	req := fx.request(t, false, true)
	for _, id := range []string{"a1", "a2"} {
		fx.mesh.stores[id].Reserve(fx.Clock.Now(), peerapi.ReserveRequest{Key: req.Key, Attempt: "a2/other"})
	}
	fx.mesh.join = func(ctx context.Context, _ peerapi.JoinRequest) weir.Response {
		fx.mu.Lock()
		ours := fx.attempts[req.Key].id
		fx.mu.Unlock()
		return fx.AwaitAttempt(ctx, peerapi.JoinRequest{Key: req.Key, Attempt: ours})
	}
	answered := make(chan weir.Response, 1)
	go func() { answered <- fx.runKeyed(req) }()
	select {
	case ans := <-answered:
		require.Equal(t, weir.Unknown, ans.Kind)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the two attempts wait for each other")
	}
}

func TestDeadlineIsSentAsRemainingTime(t *testing.T) {
	receiverTime := time.Unix(1_700_000_000, 0) // the receiver's clock is years behind
	req := CallParams{Request: weir.Request{Deadline: time.Unix(1_800_000_000, 0)}, Remaining: time.Second}.LocalRequest(receiverTime)
	require.Equal(t, receiverTime.Add(time.Second), req.Deadline)
}

func TestBadKeys(t *testing.T) {
	fx := newFixture(t)
	req := fx.request(t, false, true)
	req.Key = "booking-1"
	require.Equal(t, weir.NotRun, fx.Do(context.Background(), req).Kind)
	old, err := ledger.NewKey("a", fx.Clock.Now().Add(-time.Hour))
	require.NoError(t, err)
	req.Key = old
	require.Equal(t, weir.Unknown, fx.Do(context.Background(), req).Kind, "past retention it may have run")
}
