// Package dispatch turns a caller's request into exactly one response. A
// request with an idempotency key is routed to the key's home zone and claimed
// in the ledger there; each request then runs on a slot of this or of another
// entry instance.
//
// Usage:
//
//	dp := &dispatch.Dispatcher{Self: "shy-1", Zone: "shyambazar", ...}
//	resp := dp.Do(ctx, req)
package dispatch

import (
	"context"
	"math/rand"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/entry/ledger"
	"greengageweir/internal/entry/routing"
	"greengageweir/internal/link/peer"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	weir "greengageweir"
)

// Mesh connects to the other entry instances; see mesh.Mesh.
type Mesh interface {
	ledger.Caller
	Ready(id string) bool
	PickPeer(service weir.ServiceName) (string, bool)
	HasFreeSlot(service weir.ServiceName) bool
	MarkExhausted(id string, service weir.ServiceName)
}

// Dispatcher implements weir.Dispatcher. Set the exported fields before use.
type Dispatcher struct {
	Self    string
	Zone    weir.Zone
	Entries []ledger.EntryInstance
	Table   *routing.Table
	Mesh    Mesh
	Store   *ledger.Store
	Clock   weir.Clock

	mu       sync.Mutex
	attempts map[string]*keyedAttempt
	budget   retryBudget
	groups   sync.Map // maps weir.Zone to *ledger.Group
}

// keyedAttempt is an attempt to run a keyed request that is in flight at this
// instance.
type keyedAttempt struct {
	id string
	// claimed is set once the attempt has claimed the key.
	claimed atomic.Bool
	done    chan struct{}
	answer  weir.Response
}

// CallParams carries a request to another entry instance.
type CallParams struct {
	Request weir.Request `json:"request"`
	// Remaining is the time until the deadline. It replaces the deadline, since
	// the clocks of instances differ.
	Remaining time.Duration `json:"remainingNanos"`
}

// LocalRequest returns the request with its deadline on the receiver's clock.
func (cp CallParams) LocalRequest(now time.Time) weir.Request {
	req := cp.Request
	req.Deadline = now.Add(cp.Remaining)
	return req
}

// callAt calls a method with a request at another entry instance. It waits for
// the response until the deadline and an extra time.
func (dp *Dispatcher) callAt(ctx context.Context, id, method string, req weir.Request, extra time.Duration) (weir.Response, error) {
	remaining := req.Deadline.Sub(dp.Clock.Now())
	ctx, cancel := context.WithTimeout(ctx, remaining+extra)
	defer cancel()
	var ans weir.Response
	err := dp.Mesh.Call(ctx, id, method, CallParams{Request: req, Remaining: remaining}, &ans)
	return ans, err
}

// Do runs a caller's request and returns its response.
func (dp *Dispatcher) Do(ctx context.Context, req weir.Request) weir.Response {
	begin := dp.Clock.Now()
	ans := dp.route(ctx, req)
	metrics.GetOrCreateCounter(`weir_answers_total{kind="` + string(ans.Kind) + `"}`).Inc()
	observe("weir_request_seconds", dp.Clock.Now().Sub(begin))
	return ans
}

func (dp *Dispatcher) route(ctx context.Context, req weir.Request) weir.Response {
	if req.Key == "" {
		return dp.runWithRetries(ctx, req)
	}
	key, err := ledger.ParseKey(req.Key)
	if err != nil {
		return weir.NotRunResponse(err.Error())
	}
	if !dp.Store.InRange(dp.Clock.Now(), key) {
		return weir.UnknownResponse("the key's time is past retention or in the future")
	}
	home := key.HomeZone(dp.zones())
	for _, id := range dp.candidates(home, req.Key) {
		if id == dp.Self {
			return dp.RunKeyed(ctx, req)
		}
		ans, reached := dp.runKeyedAt(ctx, id, req)
		if reached {
			return ans
		}
	}
	return weir.UnknownResponse("no entry instance of the key's home " + string(home) + " is reached")
}

// runKeyedAt runs a keyed request at another entry instance. It reports false
// if the request was certainly not sent there.
func (dp *Dispatcher) runKeyedAt(ctx context.Context, id string, req weir.Request) (weir.Response, bool) {
	if !dp.Mesh.Ready(id) {
		return weir.Response{}, false
	}
	ans, err := dp.callAt(ctx, id, peerapi.EntryCall, req, 2*deadlineGrace)
	if errkind.Is(err, peer.KindNotSent) {
		return weir.Response{}, false
	}
	if err != nil {
		return weir.UnknownResponse("home " + id + " did not answer"), true
	}
	return ans, true
}

func (dp *Dispatcher) zones() []weir.Zone {
	seen := map[weir.Zone]bool{}
	var zones []weir.Zone
	for _, ei := range dp.Entries {
		if !seen[ei.Zone] {
			seen[ei.Zone] = true
			zones = append(zones, ei.Zone)
		}
	}
	return zones
}

// candidates returns the entry instances of a zone that may run the requests
// of a key, by falling rendezvous hash.
func (dp *Dispatcher) candidates(zone weir.Zone, key string) []string {
	var ids []string
	for _, ei := range dp.Entries {
		if ei.Zone == zone {
			ids = append(ids, ei.ID)
		}
	}
	sort.Slice(ids, func(a, b int) bool { return ledger.Rank(key, ids[a]) > ledger.Rank(key, ids[b]) })
	return ids
}

// RunKeyed claims the key and runs the request, or returns the recorded
// response. While an attempt with the same key is in flight here, it waits for
// that one instead.
func (dp *Dispatcher) RunKeyed(ctx context.Context, req weir.Request) weir.Response {
	attempt := dp.Self + "/" + uuid.NewString()
	ka, first := dp.startAttempt(req.Key, attempt)
	if first {
		// The attempt continues without its caller, so that the outcome is
		// recorded also after a disconnect or the deadline.
		detached := context.WithoutCancel(ctx)
		go func() {
			ka.answer = dp.claimAndRun(detached, req, ka)
			dp.endAttempt(req.Key, ka)
		}()
	}
	ctx, cancel := context.WithTimeout(ctx, req.Deadline.Sub(dp.Clock.Now())+deadlineGrace)
	defer cancel()
	return ka.wait(ctx)
}

const (
	// deadlineGrace is the time after its deadline in which a request that
	// found no slot can still be answered with "not run" instead of "unknown".
	deadlineGrace = 50 * time.Millisecond
	// recordGrace is the time after the deadline for which the response of an
	// endpoint to a keyed request is awaited, so that it can be recorded.
	recordGrace = 5 * time.Second
)

// postDeadlineWait returns the time after a request's deadline for which its
// response is awaited.
func postDeadlineWait(req weir.Request) time.Duration {
	if req.Key == "" {
		return 0
	}
	return recordGrace
}

func (dp *Dispatcher) startAttempt(key, id string) (*keyedAttempt, bool) {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	if ka, ok := dp.attempts[key]; ok {
		return ka, false
	}
	if dp.attempts == nil {
		dp.attempts = map[string]*keyedAttempt{}
	}
	ka := &keyedAttempt{id: id, done: make(chan struct{})}
	dp.attempts[key] = ka
	return ka, true
}

func (dp *Dispatcher) endAttempt(key string, ka *keyedAttempt) {
	dp.mu.Lock()
	delete(dp.attempts, key)
	dp.mu.Unlock()
	close(ka.done)
}

func (ka *keyedAttempt) wait(ctx context.Context) weir.Response {
	select {
	case <-ka.done:
		return ka.answer
	case <-ctx.Done():
		return weir.UnknownResponse("a request with this key is still in flight")
	}
}

// AwaitAttempt returns the outcome of an attempt that is in flight here. It
// waits only for an attempt that has claimed the key: otherwise two instances
// that both lost the claim would wait for each other.
func (dp *Dispatcher) AwaitAttempt(ctx context.Context, jo peerapi.JoinRequest) weir.Response {
	dp.mu.Lock()
	ka, ok := dp.attempts[jo.Key]
	dp.mu.Unlock()
	if !ok || ka.id != jo.Attempt || !ka.claimed.Load() {
		return weir.UnknownResponse("the attempt is not in flight")
	}
	return ka.wait(ctx)
}

func (dp *Dispatcher) claimAndRun(ctx context.Context, req weir.Request, ka *keyedAttempt) weir.Response {
	key, err := ledger.ParseKey(req.Key)
	if err != nil {
		return weir.NotRunResponse(err.Error())
	}
	claim := dp.group(key.HomeZone(dp.zones())).Claim(ctx, req.Key, ka.id)
	if claim.Won {
		ka.claimed.Store(true)
		ans := dp.runWithRetries(ctx, req)
		claim.Finish(ctx, ans)
		return ans
	}
	holder, _, _ := strings.Cut(claim.Holder, "/")
	if claim.Response.Kind == weir.Unknown && holder != "" && holder != dp.Self {
		ctx, cancel := context.WithTimeout(ctx, req.Deadline.Sub(dp.Clock.Now())+postDeadlineWait(req))
		defer cancel()
		return dp.awaitAttemptAt(ctx, holder, peerapi.JoinRequest{Key: req.Key, Attempt: claim.Holder}, *claim.Response)
	}
	return *claim.Response
}

// awaitAttemptAt waits for the outcome of an attempt at the instance that holds
// its key.
func (dp *Dispatcher) awaitAttemptAt(ctx context.Context, holder string, jo peerapi.JoinRequest, fallback weir.Response) weir.Response {
	var ans weir.Response
	if dp.Mesh.Call(ctx, holder, peerapi.LedgerJoin, jo, &ans) != nil {
		return fallback
	}
	return ans
}

func (dp *Dispatcher) group(zone weir.Zone) *ledger.Group {
	if gr, ok := dp.groups.Load(zone); ok {
		return gr.(*ledger.Group) // the map holds no other type
	}
	gr := &ledger.Group{
		Self: dp.Self, Store: dp.Store, Replicas: ledger.Replicas(dp.Entries, zone), Caller: dp.Mesh, Clock: dp.Clock,
	}
	dp.groups.Store(zone, gr)
	return gr
}

// maxTries limits the number of slots on which one request is tried.
const maxTries = 4

// runWithRetries runs a request on a slot. It retries on another slot only if
// the request certainly did not run or is repeatable.
func (dp *Dispatcher) runWithRetries(ctx context.Context, req weir.Request) weir.Response {
	dp.withBudget(func(rb *retryBudget) bool { rb.earn(); return true })
	ans := weir.NotRunResponse("not tried")
	ran := false
	for range maxTries {
		if !dp.Clock.Now().Before(req.Deadline) || ctx.Err() != nil {
			break
		}
		next, again := dp.tryOnce(ctx, req)
		if next.Kind == weir.Unknown {
			ran = true
		}
		if next.Kind == weir.NotRun && ran {
			// An earlier try may have run the request.
			next = weir.UnknownResponse(next.Reason)
		}
		ans = next
		if ans.Kind == weir.Complete || (!again && !dp.mayRetry(req, ans)) {
			break
		}
		sleepWithJitter(ctx, retryPause)
	}
	if ans.Kind == weir.NotRun && ctx.Err() != nil && ans.Reason == "not tried" {
		ans.Reason = "cancelled before it was dispatched"
	}
	return ans
}

// sleepWithJitter sleeps for a random time around the mean, so that retries of
// several requests do not coincide.
func sleepWithJitter(ctx context.Context, mean time.Duration) {
	wait := mean/2 + time.Duration(rand.Int63n(int64(mean))) //nolint:gosec // jitter needs no secure randomness
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func (dp *Dispatcher) withBudget(fn func(rb *retryBudget) bool) bool {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	return fn(&dp.budget)
}

func (dp *Dispatcher) mayRetry(req weir.Request, ans weir.Response) bool {
	if !req.Repeatable || ans.Kind != weir.Unknown {
		return false
	}
	return dp.withBudget(func(rb *retryBudget) bool { return rb.spend() })
}

// tryOnce runs the request on one slot: a free one here, else one that a peer
// advertises, else one here after waiting. The second result reports whether
// the request certainly did not run and another slot may be tried.
func (dp *Dispatcher) tryOnce(ctx context.Context, req weir.Request) (weir.Response, bool) {
	slot, err := dp.Table.TryAcquire(&req)
	for err != nil {
		if !errkind.Is(err, routing.KindNoSlot) {
			return weir.NotRunResponse(err.Error()), false
		}
		if id, ok := dp.Mesh.PickPeer(req.Service); ok {
			if ans, busy := dp.runAtPeer(ctx, id, req); !busy {
				return ans, ans.Kind == weir.NotRun
			}
			continue
		}
		slot, err = dp.Table.Acquire(ctx, &req, func() bool { return dp.Mesh.HasFreeSlot(req.Service) })
	}
	return dp.sendToEndpoint(ctx, slot, req)
}

// runAtPeer runs the request on a slot of another entry instance. It reports
// true if that instance was not reached or had no free slot, so that the
// request did not run.
func (dp *Dispatcher) runAtPeer(ctx context.Context, id string, req weir.Request) (weir.Response, bool) {
	ans, err := dp.callAt(ctx, id, peerapi.EntryRun, req, postDeadlineWait(req))
	switch {
	case errkind.Is(err, peer.KindNotSent):
		dp.Mesh.MarkExhausted(id, req.Service)
		return weir.Response{}, true
	case err != nil:
		return weir.UnknownResponse("entry " + id + " did not answer"), false
	case ans.Kind == weir.NotRun && ans.Reason == ReasonNoSlot:
		dp.Mesh.MarkExhausted(id, req.Service)
		return weir.Response{}, true
	}
	return ans, false
}

// ReasonNoSlot is the reason in the response of an entry instance that has no
// free slot for a peer's request.
const ReasonNoSlot = "no free slot at this entry instance"

// RunOnFreeSlot runs a peer's request on a free slot of this instance. Without
// one it returns "not run" with ReasonNoSlot.
func (dp *Dispatcher) RunOnFreeSlot(ctx context.Context, req weir.Request) weir.Response {
	slot, err := dp.Table.TryAcquire(&req)
	if err != nil {
		return weir.NotRunResponse(ReasonNoSlot)
	}
	ans, _ := dp.sendToEndpoint(ctx, slot, req)
	return ans
}

func observe(name string, took time.Duration) {
	metrics.GetOrCreateHistogram(name).Update(took.Seconds())
}
