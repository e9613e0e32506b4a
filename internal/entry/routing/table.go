// Package routing assigns requests to endpoints. An entry instance uses only
// endpoints that are leased to it, so that no two entry instances share the
// slots of one endpoint. Requests that find no free slot wait in bounded
// queues, one for each service and class, in which teams take turns.
//
// Usage:
//
//	tb := routing.New(clk, zone)
//	tb.SetView(vw)
//	resp := tb.Announce(announcement)
//	slot, err := tb.Acquire(ctx, &req, nil)
//	slot.Release(routing.Succeeded)
package routing

import (
	"context"
	"slices"
	"sync"
	"time"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/common/invariant"
	"greengageweir/internal/config/model"
	"greengageweir/internal/contract/endpoint"
	"greengageweir/internal/fleet/view"
	"greengageweir/internal/link/httpconn"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors. With each of them the request did not run.
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

// Table holds the endpoints that are leased to this entry instance and the
// requests that wait for a slot. It is safe for concurrent use.
type Table struct {
	clk  weir.Clock
	zone weir.Zone

	mu        sync.Mutex
	view      view.View
	endpoints map[weir.InstanceID]*leasedEndpoint
	queues    map[weir.ServiceName]*serviceQueue
	// unreported marks instances whose status changed since the last Sweep.
	unreported map[weir.InstanceID]bool
	usage      usageBuffer
	stopping   bool
	// spares are the queues of services whose spare pools lend slots.
	spares []*serviceQueue
}

// New returns an empty table of an entry instance in a zone.
func New(clk weir.Clock, zone weir.Zone) *Table {
	return &Table{
		clk: clk, zone: zone, endpoints: map[weir.InstanceID]*leasedEndpoint{}, queues: map[weir.ServiceName]*serviceQueue{},
		unreported: map[weir.InstanceID]bool{}, usage: newUsageBuffer(),
	}
}

// Slot is the reservation of one request slot of an endpoint.
type Slot struct {
	Instance weir.InstanceID
	Lease    endpoint.Lease
	Conns    *httpconn.Pool

	tb    *Table
	ep    *leasedEndpoint
	queue *serviceQueue
	req   *weir.Request
	since time.Time
	once  sync.Once
}

// Release frees the slot and records how the request ended. Only the first
// call has an effect.
func (sl *Slot) Release(res Result) {
	sl.once.Do(func() { sl.tb.release(sl, res) })
}

// SetView applies a newer view of services, limits, pools and drains. An older
// view is ignored.
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

// regroup assigns each endpoint to the queue of its service in the current view.
func (tb *Table) regroup() {
	for _, sq := range tb.queues {
		sq.endpoints = sq.endpoints[:0]
	}
	for _, ep := range tb.endpoints {
		tb.attach(ep)
	}
	tb.findSpares()
	tb.grantAllWaiting(tb.clk.Now())
}

// attach adds an endpoint to the queue of its service in the current view.
func (tb *Table) attach(ep *leasedEndpoint) {
	ep.service, ep.serving = tb.view.Serves(ep.id)
	if ep.serving {
		sq := tb.queue(ep.service)
		sq.endpoints = append(sq.endpoints, ep)
	}
}

// detach removes an endpoint from the queue of its service.
func (tb *Table) detach(ep *leasedEndpoint) {
	if !ep.serving {
		return
	}
	sq := tb.queue(ep.service)
	sq.endpoints = slices.DeleteFunc(sq.endpoints, func(other *leasedEndpoint) bool { return other == ep })
	ep.serving = false
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

// Service returns the settings of a service at the site of this zone.
func (tb *Table) Service(name weir.ServiceName) (model.Service, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.view.Config.ServiceAt(tb.zone, name)
}

// TryAcquire reserves a free slot without waiting. It returns KindNoSlot where
// there is none, and also while queued requests have precedence.
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
	if sq.forClass(req.Class).count > 0 || (req.Class == weir.Deferrable && sq.urgent.count > 0) {
		return nil, &Error{Op: "place", Kind: KindNoSlot}
	}
	ep := tb.choose(now, sq, req.Repeatable)
	if ep == nil {
		ep = tb.borrow(now, req.Service, req.Repeatable)
	}
	if ep == nil {
		return nil, &Error{Op: "place", Kind: KindNoSlot}
	}
	return tb.grant(now, sq, ep, req), nil
}

// Acquire waits for a slot until the request's deadline or the end of the
// context. It polls freeElsewhere, which may be nil, while it waits: when that
// returns true, the wait ends with KindNoSlot, so that the caller can try
// another entry instance.
func (tb *Table) Acquire(ctx context.Context, req *weir.Request, freeElsewhere func() bool) (*Slot, error) {
	wt, slot, err := tb.enqueue(req)
	if err != nil || slot != nil {
		return slot, err
	}
	deadline := time.NewTimer(req.Deadline.Sub(tb.clk.Now()))
	defer deadline.Stop()
	poll := time.NewTicker(wakePollInterval)
	defer poll.Stop()
	for {
		select {
		case slot, ok := <-wt.granted:
			if !ok {
				return nil, &Error{Op: "place", Kind: KindDeadlineExceeded}
			}
			return slot, nil
		case <-deadline.C:
			return tb.cancelWait(wt, KindDeadlineExceeded)
		case <-ctx.Done():
			return tb.cancelWait(wt, KindDeadlineExceeded)
		case <-poll.C:
			if freeElsewhere != nil && freeElsewhere() {
				return tb.cancelWait(wt, KindNoSlot)
			}
		}
	}
}

// wakePollInterval is the interval at which a waiting request checks for free
// slots at other entry instances.
const wakePollInterval = 25 * time.Millisecond

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
	cq := sq.forClass(req.Class)
	if cq.count >= svc.QueueLength {
		return nil, nil, &Error{Op: "place", Kind: KindQueueFull}
	}
	if now.Add(sq.expectedResponseTime(req.Class, len(sq.endpoints)*tb.slots())).After(req.Deadline) {
		return nil, nil, &Error{Op: "place", Kind: KindWouldMissDeadline}
	}
	wt := &waiter{req: req, granted: make(chan *Slot, 1)}
	cq.push(wt)
	return wt, nil, nil
}

// cancelWait removes a waiter from its queue. A slot that was granted in the
// meantime is returned instead of the error.
func (tb *Table) cancelWait(wt *waiter, kind Kind) (*Slot, error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	select {
	case slot, ok := <-wt.granted:
		if ok {
			return slot, nil
		}
	default:
		wt.queue.remove(wt)
	}
	return nil, &Error{Op: "place", Kind: kind}
}

// choose returns the endpoint with the most free slots that accepts the
// request. Ties go to the lowest instance id, which keeps the choice
// deterministic.
func (tb *Table) choose(now time.Time, sq *serviceQueue, repeatable bool) *leasedEndpoint {
	var best *leasedEndpoint
	bestFree := 0
	for _, ep := range sq.endpoints {
		free := ep.free(now, tb.slots())
		better := free > bestFree || (free == bestFree && best != nil && ep.id < best.id)
		if better && ep.accepts(now, repeatable) {
			best, bestFree = ep, free
		}
	}
	return best
}

func (tb *Table) grant(now time.Time, sq *serviceQueue, ep *leasedEndpoint, req *weir.Request) *Slot {
	ep.busy++
	ep.probing = ep.ejected()
	sq.busy++
	sq.teamBusy[req.Team]++
	if req.Class == weir.Deferrable {
		sq.deferrableBusy++
	}
	invariant.Check(ep.busy+ep.foreign <= tb.slots(), "slotsWithinLimit", "instance", ep.id, "busy", ep.busy)
	return &Slot{Instance: ep.id, Lease: ep.lease, Conns: ep.conns, tb: tb, ep: ep, queue: sq, req: req, since: now}
}

func (tb *Table) release(sl *Slot, res Result) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := tb.clk.Now()
	ep, sq := sl.ep, sl.queue
	ep.busy--
	sq.busy--
	if sq.teamBusy[sl.req.Team]--; sq.teamBusy[sl.req.Team] <= 0 {
		delete(sq.teamBusy, sl.req.Team)
	}
	if sl.req.Class == weir.Deferrable {
		sq.deferrableBusy--
	}
	invariant.Check(ep.busy >= 0 && sq.busy >= 0, "slotsNotNegative", "instance", ep.id)
	sq.recordHold(now.Sub(sl.since))
	wasUp := ep.up(now)
	if ep.recordResult(res) && tb.mayEject(sq, ep) {
		ep.eject(now)
	}
	if ep.up(now) != wasUp {
		tb.unreported[ep.id] = true
	}
	tb.grantWaitingFor(now, ep)
}

// mayEject limits the ejected endpoints to half of those of a service, so that
// failures with a common cause cannot take a whole pool out of service.
func (tb *Table) mayEject(sq *serviceQueue, ep *leasedEndpoint) bool {
	if ep.ejected() {
		return true
	}
	ejected := 0
	for _, other := range sq.endpoints {
		if other.ejected() {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(sq.endpoints)
}

// grantWaiting grants free slots to the waiters of a service.
func (tb *Table) grantWaiting(now time.Time, sq *serviceQueue) {
	for sq.waiting() > 0 {
		wt, ep := tb.nextAssignment(now, sq)
		if wt == nil {
			return
		}
		wt.queue.remove(wt)
		wt.granted <- tb.grant(now, sq, ep, wt.req)
	}
}

// nextAssignment returns the next waiter and an endpoint for it. Urgent
// requests go first unless deferrable ones hold less than their share of the
// busy slots.
func (tb *Table) nextAssignment(now time.Time, sq *serviceQueue) (*waiter, *leasedEndpoint) {
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
	for _, cq := range []*classQueue{first, second} {
		wt := cq.pick(now.Add(sq.meanHold()), fits)
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

// overQuota reports whether a waiter's team has used up its quota of slots
// while other teams wait.
func (tb *Table) overQuota(sq *serviceQueue, wt *waiter) bool {
	team, ok := tb.view.Config.Teams[wt.req.Team]
	if !ok || sq.teamBusy[wt.req.Team] < team.QuotaSlots {
		return false
	}
	return wt.queue.othersWait(wt.req.Team)
}

// Stop makes the table refuse new requests, and refuse leases so that
// endpoints announce themselves to another entry instance.
func (tb *Table) Stop() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.stopping = true
}

// Busy returns the number of slots in use.
func (tb *Table) Busy() int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	busy := 0
	for _, sq := range tb.queues {
		busy += sq.busy
	}
	return busy
}
