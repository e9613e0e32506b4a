package placement

import (
	"time"

	"greengageweir/internal/contract/endpoint"
	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/duty/invariant"
	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/view"
	"greengageweir/internal/link/httpconn"

	weir "greengageweir"
)

const (
	// LeaseDuration is how long an endpoint is leased from its announcement on.
	LeaseDuration = 3 * time.Second
	// AnnounceInterval is when an endpoint announces itself again.
	AnnounceInterval = time.Second

	// usageReportsPerSecond bounds the usage reports of the whole fleet, which
	// all pass through the replicated log.
	usageReportsPerSecond = 500
)

// Announce takes an endpoint's announcement and grants or refuses a lease.
func (tb *Table) Announce(ann endpoint.Announcement) endpoint.AnnounceResponse {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := tb.clk.Now()
	if reason := tb.refusal(ann); reason != "" {
		return endpoint.AnnounceResponse{Reason: reason, View: tb.view.Index, AnnounceMillis: AnnounceInterval.Milliseconds()}
	}
	wk := tb.workerFor(ann)
	wasUp := wk.up(now)
	wk.expires = now.Add(LeaseDuration)
	wk.leaving = ann.State == endpoint.Leaving
	wk.seen = max(wk.seen, ann.SeenView)
	wk.reported = ann.InFlight
	wk.foreign = min(wk.foreign, max(0, ann.InFlight-wk.busy))
	if wk.up(now) != wasUp {
		tb.dirty[wk.id] = true
	}
	tb.usage.add(ann.Usage)
	if wk.serving {
		tb.pumpFor(now, wk)
	}
	return endpoint.AnnounceResponse{
		Granted: true, LeaseMillis: LeaseDuration.Milliseconds(), AnnounceMillis: AnnounceInterval.Milliseconds(),
		UsageMillis: usageEvery(len(tb.view.Members)).Milliseconds(),
		View:        tb.view.Index, Service: wk.service, Slots: tb.slots(), AckedUsage: tb.usage.settledUpTo(wk.id, wk.lease.Incarnation),
	}
}

// usageEvery returns the time between two usage reports of one endpoint.
func usageEvery(fleet int) time.Duration {
	return max(AnnounceInterval, time.Duration(fleet)*time.Second/usageReportsPerSecond)
}

// refusal tells why a lease is not granted, or "". An endpoint that has seen a
// newer view than this entry instance is refused: it may have been drained
// under that view.
func (tb *Table) refusal(ann endpoint.Announcement) string {
	old, known := tb.workers[ann.Instance]
	switch {
	case tb.stopping:
		return "entry is stopping"
	case tb.view.Index < ann.SeenView || tb.view.Index == 0:
		return "entry has an older view"
	case tb.view.Members[ann.Instance].Instance == "":
		return "instance is not in the configuration"
	case known && ann.Lease.Before(old.lease):
		return "an older lease"
	}
	return ""
}

// workerFor returns the worker of an announcement, anew where the lease is.
func (tb *Table) workerFor(ann endpoint.Announcement) *worker {
	old, known := tb.workers[ann.Instance]
	if known && old.lease == ann.Lease && old.addr == ann.Address {
		return old
	}
	if known {
		old.conns.Close()
		tb.detach(old)
	}
	wk := &worker{
		id: ann.Instance, lease: ann.Lease, addr: ann.Address, foreign: ann.InFlight,
		conns: httpconn.NewPool(ann.Address, max(1, tb.view.Config.Limits.ConnectionsPerInstance), tb.clk),
	}
	if known && old.lease.Incarnation == ann.Lease.Incarnation {
		wk.failures, wk.ejections = old.failures, old.ejections
		wk.ejectedAt, wk.ejectedUntil = old.ejectedAt, old.ejectedUntil
	}
	tb.workers[ann.Instance] = wk
	tb.dirty[wk.id] = true
	tb.attach(wk)
	return wk
}

// Sweep ends leases that ran out and returns the status of all instances that
// changed since the last call, or of all if full is set.
func (tb *Table) Sweep(entry string, full bool) []command.Status {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := tb.clk.Now()
	var list []command.Status
	for id, wk := range tb.workers {
		expired := !now.Before(wk.expires)
		if expired {
			tb.dirty[id] = true
		}
		if full || tb.dirty[id] {
			list = append(list, command.Status{
				Instance: id, Incarnation: wk.lease.Incarnation, Epoch: wk.lease.Epoch, Up: wk.up(now), Entry: entry,
			})
		}
		if expired && wk.busy == 0 {
			wk.conns.Close()
			tb.detach(wk)
			delete(tb.workers, id)
			tb.usage.forget(id)
		}
	}
	clear(tb.dirty)
	// Pauses of ejected workers end without any other event.
	tb.pumpAll(now)
	return list
}

// RequeueStatuses marks instances whose status did not reach the leader.
func (tb *Table) RequeueStatuses(list []command.Status) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, sta := range list {
		if _, ok := tb.workers[sta.Instance]; ok {
			tb.dirty[sta.Instance] = true
		}
	}
}

// Consents returns a consent for each draining instance that is leased here,
// has seen the drain itself and holds no work.
func (tb *Table) Consents(entry string) []command.DrainConfirmation {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var list []command.DrainConfirmation
	for id, wk := range tb.workers {
		mem := tb.view.Members[id]
		idle := wk.busy == 0 && wk.foreign == 0 && wk.reported == 0
		if mem.Phase != view.Draining || !idle || wk.seen < mem.SinceIndex {
			continue
		}
		invariant.Check(!wk.serving, "drainedGetsNoWork", "instance", id)
		list = append(list, command.DrainConfirmation{
			Instance: id, Entry: entry, Incarnation: wk.lease.Incarnation, Epoch: wk.lease.Epoch, View: wk.seen,
		})
	}
	return list
}

// PendingUsage returns the reports that are not settled yet.
func (tb *Table) PendingUsage() []command.UsageReport {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.usage.pending()
}

// AcknowledgeUsage takes the leader's word on which reports are counted.
func (tb *Table) AcknowledgeUsage(marks []command.UsageAck) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, mk := range marks {
		tb.usage.settle(mk)
	}
}

// FreeSlots returns the free slots of each service that others may use.
func (tb *Table) FreeSlots() map[weir.ServiceName]int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := tb.clk.Now()
	free := make(map[weir.ServiceName]int, len(tb.queues))
	if tb.stopping {
		return free
	}
	for name, sq := range tb.queues {
		if sq.waiting() > 0 {
			continue
		}
		for _, wk := range sq.workers {
			if !wk.ejected() {
				free[name] += wk.free(now, tb.slots())
			}
		}
	}
	tb.addLent(now, free)
	return free
}

// Demand returns the load of each service.
func (tb *Table) Demand() []peerapi.Demand {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	list := make([]peerapi.Demand, 0, len(tb.queues))
	for name, sq := range tb.queues {
		list = append(list, peerapi.Demand{Service: name, Busy: sq.busy, Slots: len(sq.workers) * tb.slots(), Waiting: sq.waiting()})
	}
	return list
}

// EndpointState is an endpoint as this entry instance sees it.
type EndpointState struct {
	Instance weir.InstanceID  `json:"instance"`
	Address  string           `json:"address"`
	Lease    endpoint.Lease   `json:"lease"`
	Service  weir.ServiceName `json:"service"`
	Serving  bool             `json:"serving"`
	Up       bool             `json:"up"`
	Busy     int              `json:"busy"`
	Foreign  int              `json:"foreign,omitempty"`
	Ejected  bool             `json:"ejected,omitempty"`
}

// Endpoints returns all endpoints for the state dump.
func (tb *Table) Endpoints() []EndpointState {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := tb.clk.Now()
	list := make([]EndpointState, 0, len(tb.workers))
	for _, wk := range tb.workers {
		list = append(list, EndpointState{
			Instance: wk.id, Address: wk.addr, Lease: wk.lease, Service: wk.service, Serving: wk.serving,
			Up: wk.up(now), Busy: wk.busy, Foreign: wk.foreign, Ejected: wk.ejected(),
		})
	}
	return list
}
