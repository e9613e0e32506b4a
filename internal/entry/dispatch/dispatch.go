// Package dispatch takes a caller's request to its one answer: to the key's
// home, through the ledger, onto a slot here or at another entry instance.
//
// Usage:
//
//	dp := &dispatch.Dispatcher{Self: "shy-1", Zone: "shyambazar", ...}
//	answer := dp.Do(ctx, req)
package dispatch

import (
	"context"
	"math/rand"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/duty/errkind"
	"greengageweir/internal/entry/ledger"
	"greengageweir/internal/entry/placement"
	"greengageweir/internal/link/peer"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"

	weir "greengageweir"
)

// Mesh reaches the other entry instances.
type Mesh interface {
	ledger.Caller
	Ready(id string) bool
	PickPeer(service weir.ServiceName) (string, bool)
	Has(service weir.ServiceName) bool
	Exhausted(id string, service weir.ServiceName)
}

// Dispatcher implements weir.Dispatcher. Set the exported fields first.
type Dispatcher struct {
	Self    string
	Zone    weir.Zone
	Entries []ledger.EntryInstance
	Table   *placement.Table
	Mesh    Mesh
	Store   *ledger.Store
	Clock   weir.Clock

	mu      sync.Mutex
	flights map[string]*flight
	budget  retryBudget
	groups  sync.Map // weir.Zone to *ledger.Group
}

// flight is a keyed request that this instance leads at present.
type flight struct {
	attempt string
	// won is set once the attempt has claimed the key.
	won    atomic.Bool
	done   chan struct{}
	answer weir.Response
}

// CallParams carries a request to another entry instance.
type CallParams struct {
	Request weir.Request `json:"request"`
	// Remaining is the time until the deadline; clocks of instances differ, so
	// that the deadline itself means nothing there.
	Remaining time.Duration `json:"remainingNanos"`
}

// LocalRequest returns the request with its deadline by the receiver's clock.
func (cp CallParams) LocalRequest(now time.Time) weir.Request {
	req := cp.Request
	req.Deadline = now.Add(cp.Remaining)
	return req
}

// callAt calls a method with a request at another entry instance, and waits
// for the answer until the deadline and some time more.
func (dp *Dispatcher) callAt(ctx context.Context, id, method string, req weir.Request, more time.Duration) (weir.Response, error) {
	remaining := req.Deadline.Sub(dp.Clock.Now())
	ctx, cancel := context.WithTimeout(ctx, remaining+more)
	defer cancel()
	var ans weir.Response
	err := dp.Mesh.Call(ctx, id, method, CallParams{Request: req, Remaining: remaining}, &ans)
	return ans, err
}

// Do returns the answer to a caller's request.
func (dp *Dispatcher) Do(ctx context.Context, req weir.Request) weir.Response {
	begin := dp.Clock.Now()
	ans := dp.route(ctx, req)
	metrics.GetOrCreateCounter(`weir_answers_total{kind="` + string(ans.Kind) + `"}`).Inc()
	observe("weir_request_seconds", dp.Clock.Now().Sub(begin))
	return ans
}

func (dp *Dispatcher) route(ctx context.Context, req weir.Request) weir.Response {
	if req.Key == "" {
		return dp.place(ctx, req)
	}
	key, err := ledger.ParseKey(req.Key)
	if err != nil {
		return weir.NotRunResponse(err.Error())
	}
	if !dp.Store.InRange(dp.Clock.Now(), key) {
		return weir.UnknownResponse("the key's time is past retention or in the future")
	}
	home := key.HomeZone(dp.zones())
	for _, id := range dp.leaders(home, req.Key) {
		if id == dp.Self {
			return dp.RunKeyed(ctx, req)
		}
		ans, reached := dp.callHome(ctx, id, req)
		if reached {
			return ans
		}
	}
	return weir.UnknownResponse("no entry instance of the key's home " + string(home) + " is reached")
}

// callHome runs the request at another entry instance. It reports false where
// the request certainly did not get there.
func (dp *Dispatcher) callHome(ctx context.Context, id string, req weir.Request) (weir.Response, bool) {
	if !dp.Mesh.Ready(id) {
		return weir.Response{}, false
	}
	ans, err := dp.callAt(ctx, id, peerapi.EntryCall, req, 2*flightGrace)
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
	for _, si := range dp.Entries {
		if !seen[si.Zone] {
			seen[si.Zone] = true
			zones = append(zones, si.Zone)
		}
	}
	return zones
}

// leaders returns the entry instances of a zone that may lead a key, first
// choice first.
func (dp *Dispatcher) leaders(zone weir.Zone, key string) []string {
	var ids []string
	for _, si := range dp.Entries {
		if si.Zone == zone {
			ids = append(ids, si.Entry)
		}
	}
	sort.Slice(ids, func(a, b int) bool { return ledger.Rank(key, ids[a]) > ledger.Rank(key, ids[b]) })
	return ids
}

// RunKeyed claims the key and runs the request, or returns what is recorded. A
// second request with the same key waits for the first.
func (dp *Dispatcher) RunKeyed(ctx context.Context, req weir.Request) weir.Response {
	attempt := dp.Self + "/" + uuid.NewString()
	fl, first := dp.startFlight(req.Key, attempt)
	if first {
		// The flight outlives its caller, so that the outcome is recorded also
		// for a caller that went away or whose deadline has passed.
		detached := context.WithoutCancel(ctx)
		go func() {
			fl.answer = dp.runClaimed(detached, req, fl)
			dp.endFlight(req.Key, fl)
		}()
	}
	ctx, cancel := context.WithTimeout(ctx, req.Deadline.Sub(dp.Clock.Now())+flightGrace)
	defer cancel()
	return fl.wait(ctx)
}

const (
	// flightGrace lets a request that found no slot by its deadline be
	// answered "not run" rather than "unknown".
	flightGrace = 50 * time.Millisecond
	// recordGrace is how long past the deadline an endpoint's answer to a
	// keyed request is awaited, to be recorded.
	recordGrace = 5 * time.Second
)

// patience returns how long past its deadline a request's answer is awaited.
func patience(req weir.Request) time.Duration {
	if req.Key == "" {
		return 0
	}
	return recordGrace
}

func (dp *Dispatcher) startFlight(key, attempt string) (*flight, bool) {
	dp.mu.Lock()
	defer dp.mu.Unlock()
	if fl, ok := dp.flights[key]; ok {
		return fl, false
	}
	if dp.flights == nil {
		dp.flights = map[string]*flight{}
	}
	fl := &flight{attempt: attempt, done: make(chan struct{})}
	dp.flights[key] = fl
	return fl, true
}

func (dp *Dispatcher) endFlight(key string, fl *flight) {
	dp.mu.Lock()
	delete(dp.flights, key)
	dp.mu.Unlock()
	close(fl.done)
}

func (fl *flight) wait(ctx context.Context) weir.Response {
	select {
	case <-fl.done:
		return fl.answer
	case <-ctx.Done():
		return weir.UnknownResponse("a request with this key is still in flight")
	}
}

// AwaitAttempt returns the outcome of an attempt that is in flight here. Only one that
// has claimed the key can be waited for: two leaders that both lost the claim
// would else wait for each other.
func (dp *Dispatcher) AwaitAttempt(ctx context.Context, jo peerapi.Join) weir.Response {
	dp.mu.Lock()
	fl, ok := dp.flights[jo.Key]
	dp.mu.Unlock()
	if !ok || fl.attempt != jo.Attempt || !fl.won.Load() {
		return weir.UnknownResponse("the attempt is not in flight")
	}
	return fl.wait(ctx)
}

func (dp *Dispatcher) runClaimed(ctx context.Context, req weir.Request, fl *flight) weir.Response {
	key, err := ledger.ParseKey(req.Key)
	if err != nil {
		return weir.NotRunResponse(err.Error())
	}
	claim := dp.group(key.HomeZone(dp.zones())).Claim(ctx, req.Key, fl.attempt)
	if claim.Won {
		fl.won.Store(true)
		ans := dp.place(ctx, req)
		claim.Finish(ctx, ans)
		return ans
	}
	holder, _, _ := strings.Cut(claim.Holder, "/")
	if claim.Answer.Kind == weir.Unknown && holder != "" && holder != dp.Self {
		ctx, cancel := context.WithTimeout(ctx, req.Deadline.Sub(dp.Clock.Now())+patience(req))
		defer cancel()
		return dp.askHolder(ctx, holder, peerapi.Join{Key: req.Key, Attempt: claim.Holder}, *claim.Answer)
	}
	return *claim.Answer
}

// askHolder waits for the outcome at the instance that leads the attempt.
func (dp *Dispatcher) askHolder(ctx context.Context, holder string, jo peerapi.Join, otherwise weir.Response) weir.Response {
	var ans weir.Response
	if dp.Mesh.Call(ctx, holder, peerapi.LedgerJoin, jo, &ans) != nil {
		return otherwise
	}
	return ans
}

func (dp *Dispatcher) group(zone weir.Zone) *ledger.Group {
	if gr, ok := dp.groups.Load(zone); ok {
		return gr.(*ledger.Group) // only groups are stored
	}
	gr := &ledger.Group{
		Self: dp.Self, Store: dp.Store, Replicas: ledger.Replicas(dp.Entries, zone), Caller: dp.Mesh, Clock: dp.Clock,
	}
	dp.groups.Store(zone, gr)
	return gr
}

// maxTries bounds the slots that one request is tried on.
const maxTries = 4

// place runs a request on a slot. Only a request that certainly did not run,
// or one that may be repeated, is tried on a second slot.
func (dp *Dispatcher) place(ctx context.Context, req weir.Request) weir.Response {
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
			// An earlier try may have run.
			next = weir.UnknownResponse(next.Reason)
		}
		ans = next
		if ans.Kind == weir.Complete || (!again && !dp.mayRetry(req, ans)) {
			break
		}
		pause(ctx, retryPause)
	}
	if ans.Kind == weir.NotRun && ctx.Err() != nil && ans.Reason == "not tried" {
		ans.Reason = "cancelled before it was dispatched"
	}
	return ans
}

// pause waits with jitter, so that retries do not come in step.
func pause(ctx context.Context, mean time.Duration) {
	wait := mean/2 + time.Duration(rand.Int63n(int64(mean))) //nolint:gosec // jitter is no secret
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

// tryOnce takes one slot, here, at a peer that advertises one, or here after
// waiting, and runs the request on it.
func (dp *Dispatcher) tryOnce(ctx context.Context, req weir.Request) (weir.Response, bool) {
	slot, err := dp.Table.TryAcquire(&req)
	for err != nil {
		if !errkind.Is(err, placement.KindNoSlot) {
			return weir.NotRunResponse(err.Error()), false
		}
		if id, ok := dp.Mesh.PickPeer(req.Service); ok {
			if ans, busy := dp.runAt(ctx, id, req); !busy {
				return ans, ans.Kind == weir.NotRun
			}
			continue
		}
		slot, err = dp.Table.Acquire(ctx, &req, func() bool { return dp.Mesh.Has(req.Service) })
	}
	return dp.send(ctx, slot, req)
}

// runAt runs the request on a slot of another entry instance. It reports true
// where that had none, so that nothing ran.
func (dp *Dispatcher) runAt(ctx context.Context, id string, req weir.Request) (weir.Response, bool) {
	ans, err := dp.callAt(ctx, id, peerapi.EntryRun, req, patience(req))
	switch {
	case errkind.Is(err, peer.KindNotSent):
		dp.Mesh.Exhausted(id, req.Service)
		return weir.Response{}, true
	case err != nil:
		return weir.UnknownResponse("entry " + id + " did not answer"), false
	case ans.Kind == weir.NotRun && ans.Reason == ReasonNoSlot:
		dp.Mesh.Exhausted(id, req.Service)
		return weir.Response{}, true
	}
	return ans, false
}

// ReasonNoSlot is the reason of an entry instance that has no free slot.
const ReasonNoSlot = "no free slot at this entry instance"

// RunOnFreeSlot runs a peer's request on a free slot of this instance, if there is one.
func (dp *Dispatcher) RunOnFreeSlot(ctx context.Context, req weir.Request) weir.Response {
	slot, err := dp.Table.TryAcquire(&req)
	if err != nil {
		return weir.NotRunResponse(ReasonNoSlot)
	}
	ans, _ := dp.send(ctx, slot, req)
	return ans
}

func observe(name string, took time.Duration) {
	metrics.GetOrCreateHistogram(name).Update(took.Seconds())
}
