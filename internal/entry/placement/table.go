// Package place decides which endpoint gets a request. An entry instance
// places only on endpoints that are leased to it, so that no two entry
// instances share the slots of one endpoint. Requests that find no slot wait
// in bounded queues, by class, teams in turn.
//
// Usage:
//
//	tb := place.New(clk)
//	tb.SetView(vw)
//	answer := tb.Announce(now, announcement)
//	slot, err := tb.Acquire(ctx, &req)
//	slot.Release(place.Succeeded)
package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"greengageweir/internal/config/model"
	"greengageweir/internal/contract/endpoint"
	"greengageweir/internal/duty/errkind"
	"greengageweir/internal/duty/invariant"
	"greengageweir/internal/fleet/view"
	"greengageweir/internal/link/httpconn"

	weir "greengageweir"
)

// Kind tells the errors of this package apart.
type Kind string

// The kinds of errors; none of them lets the request run.
const (
	KindNoService         Kind = "no such service"
	KindQueueFull         Kind = "queue is full"
	KindWouldMissDeadline Kind = "would end past its deadline"
	KindDeadlineExceeded  Kind = "waited until its deadline"
	KindNoSlot            Kind = "no free slot"
	KindStopping          Kind = "entry is stopping"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// Table holds the endpoints leased to this entry instance. It is safe for
// concurrent use.
type Table struct {
	clk  weir.Clock
	zone weir.Zone

	mu       sync.Mutex
	view     view.View
	workers  map[weir.InstanceID]*worker
	queues   map[weir.ServiceName]*serviceQueue
	dirty    map[weir.InstanceID]bool
	usage    usageBuffer
	stopping bool
	// spares are the queues of the services whose pools lend slots.
	spares []*serviceQueue
}

// New returns an empty table of an entry instance in a zone.
func New(clk weir.Clock, zone weir.Zone) *Table {
	return &Table{
		clk: clk, zone: zone, workers: map[weir.InstanceID]*worker{}, queues: map[weir.ServiceName]*serviceQueue{},
		dirty: map[weir.InstanceID]bool{}, usage: newUsageBuffer(),
	}
}

// Slot is the right to run one request on one endpoint.
type Slot struct {
	Instance weir.InstanceID
	Lease    endpoint.Lease
	Conns    *httpconn.Pool

	tb    *Table
	wk    *worker
	queue *serviceQueue
	req   *weir.Request
	since time.Time
	once  sync.Once
}

// Release gives the slot back.
func (sl *Slot) Release(res Result) {
	sl.once.Do(func() { sl.tb.release(sl, res) })
}

// SetView takes a newer view: services, limits, pools and drains.
func (tb *Table) SetView(vw view.View) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	invariant.Check(vw.Index >= tb.view.Index, "viewNeverReverts", "from", tb.view.Index, "to", vw.Index)
	if vw.Index < tb.view.Index {
		return
	}
	tb.view = vw
	tb.regroup()
}

// regroup sorts the workers by the service that the view gives them.
func (tb *Table) regroup() {
	for _, sq := range tb.queues {
		sq.workers = sq.workers[:0]
	}
	for _, wk := range tb.workers {
		tb.attach(wk)
	}
	tb.findSpares()
	tb.pumpAll(tb.clk.Now())
}

// attach puts a worker into the group of the service that the view gives it.
func (tb *Table) attach(wk *worker) {
	wk.service, wk.serving = tb.view.Serves(wk.id)
	if wk.serving {
		sq := tb.queue(wk.service)
		sq.workers = append(sq.workers, wk)
	}
}

// detach takes a worker out of its group.
func (tb *Table) detach(wk *worker) {
	if !wk.serving {
		return
	}
	sq := tb.queue(wk.service)
	sq.workers = slices.DeleteFunc(sq.workers, func(other *worker) bool { return other == wk })
	wk.serving = false
}

func (tb *Table) queue(service weir.ServiceName) *serviceQueue {
	sq, ok := tb.queues[service]
	if !ok {
		sq = newServiceQueue(service)
		tb.queues[service] = sq
	}
	return sq
}

func (tb *Table) slots() int { return tb.view.Config.Limits.SlotsPerInstance }

// Service returns the settings of a service at this site.
func (tb *Table) Service(name weir.ServiceName) (model.Service, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.view.Config.ServiceAt(tb.zone, name)
}

// TryAcquire returns a free slot at once, or an error. It does not pass
// requests that wait.
func (tb *Table) TryAcquire(req *weir.Request) (*Slot, error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.tryAcquire(tb.clk.Now(), req)
}

func (tb *Table) tryAcquire(now time.Time, req *weir.Request) (*Slot, error) {
	if tb.stopping {
		return nil, &Error{Op: "place", Kind: KindStopping}
	}
	if _, ok := tb.view.Config.Services[req.Service]; !ok {
		return nil, &Error{Op: "place " + string(req.Service), Kind: KindNoService}
	}
	sq := tb.queue(req.Service)
	if sq.lane(req.Class).count > 0 || (req.Class == weir.Deferrable && sq.urgent.count > 0) {
		return nil, &Error{Op: "place", Kind: KindNoSlot}
	}
	wk := tb.choose(now, sq, req.Repeatable)
	if wk == nil {
		wk = tb.borrow(now, req.Service, req.Repeatable)
	}
	if wk == nil {
		return nil, &Error{Op: "place", Kind: KindNoSlot}
	}
	return tb.grant(now, sq, wk, req), nil
}

// Acquire waits for a slot until the request's deadline or the context ends.
// Wake is polled while waiting: when it returns true the wait ends with
// KindNoSlot, so that the caller can try another entry instance.
func (tb *Table) Acquire(ctx context.Context, req *weir.Request, wake func() bool) (*Slot, error) {
	wt, slot, err := tb.enqueue(req)
	if err != nil || slot != nil {
		return slot, err
	}
	deadline := time.NewTimer(req.Deadline.Sub(tb.clk.Now()))
	defer deadline.Stop()
	poll := time.NewTicker(wakeEvery)
	defer poll.Stop()
	for {
		select {
		case slot, ok := <-wt.granted:
			if !ok {
				return nil, &Error{Op: "place", Kind: KindDeadlineExceeded}
			}
			return slot, nil
		case <-deadline.C:
			return tb.leave(wt, KindDeadlineExceeded)
		case <-ctx.Done():
			return tb.leave(wt, KindDeadlineExceeded)
		case <-poll.C:
			if wake != nil && wake() {
				return tb.leave(wt, KindNoSlot)
			}
		}
	}
}

// wakeEvery is how often a waiting request looks for slots elsewhere.
const wakeEvery = 25 * time.Millisecond

func (tb *Table) enqueue(req *weir.Request) (*waiter, *Slot, error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := tb.clk.Now()
	slot, err := tb.tryAcquire(now, req)
	if err == nil || !errkind.Is(err, KindNoSlot) {
		return nil, slot, err
	}
	svc, _ := tb.view.Config.ServiceAt(tb.zone, req.Service)
	sq := tb.queue(req.Service)
	la := sq.lane(req.Class)
	if la.count >= svc.QueueLength {
		return nil, nil, &Error{Op: "place", Kind: KindQueueFull}
	}
	if now.Add(sq.expectedEnd(req.Class, len(sq.workers)*tb.slots())).After(req.Deadline) {
		return nil, nil, &Error{Op: "place", Kind: KindWouldMissDeadline}
	}
	wt := &waiter{req: req, granted: make(chan *Slot, 1)}
	la.push(wt)
	return wt, nil, nil
}

// leave takes a waiter out of its queue. A slot that was granted at the same
// moment is used all the same.
func (tb *Table) leave(wt *waiter, kind Kind) (*Slot, error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	select {
	case slot, ok := <-wt.granted:
		if ok {
			return slot, nil
		}
	default:
		wt.lane.remove(wt)
	}
	return nil, &Error{Op: "place", Kind: kind}
}

// choose returns the worker with the most free slots; ties go to the first by
// name, so that a run can be repeated.
func (tb *Table) choose(now time.Time, sq *serviceQueue, repeatable bool) *worker {
	var best *worker
	bestFree := 0
	for _, wk := range sq.workers {
		free := wk.free(now, tb.slots())
		better := free > bestFree || (free == bestFree && best != nil && wk.id < best.id)
		if better && wk.takes(now, repeatable) {
			best, bestFree = wk, free
		}
	}
	return best
}

func (tb *Table) grant(now time.Time, sq *serviceQueue, wk *worker, req *weir.Request) *Slot {
	wk.busy++
	wk.probing = wk.ejected()
	sq.busy++
	sq.teamBusy[req.Team]++
	if req.Class == weir.Deferrable {
		sq.deferrableBusy++
	}
	invariant.Check(wk.busy+wk.foreign <= tb.slots(), "slotsWithinLimit", "instance", wk.id, "busy", wk.busy)
	return &Slot{Instance: wk.id, Lease: wk.lease, Conns: wk.conns, tb: tb, wk: wk, queue: sq, req: req, since: now}
}

func (tb *Table) release(sl *Slot, res Result) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := tb.clk.Now()
	wk, sq := sl.wk, sl.queue
	wk.busy--
	sq.busy--
	if sq.teamBusy[sl.req.Team]--; sq.teamBusy[sl.req.Team] <= 0 {
		delete(sq.teamBusy, sl.req.Team)
	}
	if sl.req.Class == weir.Deferrable {
		sq.deferrableBusy--
	}
	invariant.Check(wk.busy >= 0 && sq.busy >= 0, "slotsNotNegative", "instance", wk.id)
	sq.learn(now.Sub(sl.since))
	wasUp := wk.up(now)
	if wk.settle(res) && tb.mayEject(sq, wk) {
		wk.eject(now)
	}
	if wk.up(now) != wasUp {
		tb.dirty[wk.id] = true
	}
	tb.pumpFor(now, wk)
}

// mayEject bounds the ejected workers to half of a service's, so that a wave
// of failures cannot empty a pool.
func (tb *Table) mayEject(sq *serviceQueue, wk *worker) bool {
	if wk.ejected() {
		return true
	}
	ejected := 0
	for _, other := range sq.workers {
		if other.ejected() {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(sq.workers)
}

// pump hands free slots to waiters.
func (tb *Table) pump(now time.Time, sq *serviceQueue) {
	for sq.waiting() > 0 {
		wt, wk := tb.nextPair(now, sq)
		if wt == nil {
			return
		}
		wt.lane.remove(wt)
		wt.granted <- tb.grant(now, sq, wk, wt.req)
	}
}

// nextPair picks the next waiter and its worker: urgent work first, but
// deferrable work is not held below its share.
func (tb *Table) nextPair(now time.Time, sq *serviceQueue) (*waiter, *worker) {
	service := sq.service
	plain := tb.choose(now, sq, false)
	if plain == nil {
		plain = tb.borrow(now, service, false)
	}
	probe := tb.choose(now, sq, true)
	if probe == nil {
		probe = plain
	}
	if plain == nil && probe == nil {
		return nil, nil
	}
	fits := func(wt *waiter) bool {
		if wt.req.Repeatable {
			return probe != nil && !tb.overQuota(sq, wt)
		}
		return plain != nil && !tb.overQuota(sq, wt)
	}
	first, second := sq.urgent, sq.deferrable
	svc, _ := tb.view.Config.ServiceAt(tb.zone, service)
	if sq.deferrable.count > 0 && 100*sq.deferrableBusy < svc.DeferrableShare*sq.busy {
		first, second = second, first
	}
	for _, la := range []*lane{first, second} {
		wt := la.pick(now.Add(sq.held()), fits)
		if wt == nil {
			continue
		}
		if wt.req.Repeatable {
			return wt, probe
		}
		return wt, plain
	}
	return nil, nil
}

// overQuota reports whether a team holds its quota while other teams wait.
func (tb *Table) overQuota(sq *serviceQueue, wt *waiter) bool {
	team, ok := tb.view.Config.Teams[wt.req.Team]
	if !ok || sq.teamBusy[wt.req.Team] < team.QuotaSlots {
		return false
	}
	return wt.lane.othersWait(wt.req.Team)
}

// Stop refuses new requests and tells endpoints to lease themselves elsewhere.
func (tb *Table) Stop() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.stopping = true
}

// Busy returns how many slots are in use.
func (tb *Table) Busy() int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	busy := 0
	for _, sq := range tb.queues {
		busy += sq.busy
	}
	return busy
}
