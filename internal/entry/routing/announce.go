package routing

import (
	"time"

	"greengageweir/internal/common/invariant"
	"greengageweir/internal/contract/endpoint"
	"greengageweir/internal/contract/peerapi"
	"greengageweir/internal/fleet/command"
	"greengageweir/internal/fleet/view"
	"greengageweir/internal/link/httpconn"

	weir "greengageweir"
)

const (
	// LeaseDuration is the validity of an endpoint's lease after an
	// announcement.
	LeaseDuration = 3 * time.Second
	// AnnounceInterval is the interval between announcements of an endpoint.
	AnnounceInterval = time.Second

	// usageReportsPerSecond limits the usage reports of the whole fleet, since
	// all of them go through the replicated log.
	usageReportsPerSecond = 500
)

// Announce processes an endpoint's announcement and grants, renews or refuses
// its lease.
func (tb *Table) Announce(ann endpoint.Announcement) endpoint.AnnounceResponse {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := tb.clk.Now()
	if reason := tb.refusalReason(ann); reason != "" {
		return endpoint.AnnounceResponse{Reason: reason, View: tb.view.Index, AnnounceMillis: AnnounceInterval.Milliseconds()}
	}
	ep := tb.endpointFor(ann)
	wasUp := ep.up(now)
	ep.expires = now.Add(LeaseDuration)
	ep.leaving = ann.State == endpoint.Leaving
	ep.seenView = max(ep.seenView, ann.SeenView)
	ep.reportedInFlight = ann.InFlight
	ep.foreign = min(ep.foreign, max(0, ann.InFlight-ep.busy))
	if ep.up(now) != wasUp {
		tb.unreported[ep.id] = true
	}
	tb.usage.add(ann.Usage)
	if ep.serving {
		tb.grantWaitingFor(now, ep)
	}
	return endpoint.AnnounceResponse{
		Granted: true, LeaseMillis: LeaseDuration.Milliseconds(), AnnounceMillis: AnnounceInterval.Milliseconds(),
		UsageMillis: usageReportInterval(len(tb.view.Members)).Milliseconds(),
		View:        tb.view.Index, Service: ep.service, Slots: tb.slots(), AckedUsage: tb.usage.ackedUpTo(ep.id, ep.lease.Incarnation),
	}
}

// usageReportInterval returns the interval between usage reports of an
// endpoint in a fleet of the given number of instances.
func usageReportInterval(fleet int) time.Duration {
	return max(AnnounceInterval, time.Duration(fleet)*time.Second/usageReportsPerSecond)
}

// refusalReason returns why a lease is refused, or "". An endpoint that has
// seen a newer view than this entry instance is refused, because that view may
// drain it.
func (tb *Table) refusalReason(ann endpoint.Announcement) string {
	old, known := tb.endpoints[ann.Instance]
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

// endpointFor returns the leased endpoint of an announcement. It creates a new
// one for a new instance, lease or address.
func (tb *Table) endpointFor(ann endpoint.Announcement) *leasedEndpoint {
	old, known := tb.endpoints[ann.Instance]
	if known && old.lease == ann.Lease && old.addr == ann.Address {
		return old
	}
	if known {
		old.conns.Close()
		tb.detach(old)
	}
	ep := &leasedEndpoint{
		id: ann.Instance, lease: ann.Lease, addr: ann.Address, foreign: ann.InFlight,
		conns: httpconn.NewPool(ann.Address, max(1, tb.view.Config.Limits.ConnectionsPerInstance), tb.clk),
	}
	if known && old.lease.Incarnation == ann.Lease.Incarnation {
		ep.failures, ep.ejections = old.failures, old.ejections
		ep.ejectedAt, ep.ejectedUntil = old.ejectedAt, old.ejectedUntil
	}
	tb.endpoints[ann.Instance] = ep
	tb.unreported[ep.id] = true
	tb.attach(ep)
	return ep
}

// Sweep removes expired leases and returns the status of the instances that
// changed since the last call, or of all instances if full is set.
func (tb *Table) Sweep(entry string, full bool) []command.Status {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := tb.clk.Now()
	var list []command.Status
	for id, ep := range tb.endpoints {
		expired := !now.Before(ep.expires)
		if expired {
			tb.unreported[id] = true
		}
		if full || tb.unreported[id] {
			list = append(list, command.Status{
				Instance: id, Incarnation: ep.lease.Incarnation, Epoch: ep.lease.Epoch, Up: ep.up(now), Entry: entry,
			})
		}
		if expired && ep.busy == 0 {
			ep.conns.Close()
			tb.detach(ep)
			delete(tb.endpoints, id)
			tb.usage.forget(id)
		}
	}
	clear(tb.unreported)
	// No other event occurs when the ejection of an endpoint ends.
	tb.grantAllWaiting(now)
	return list
}

// RequeueStatuses marks instances whose status did not reach the leader, so
// that the next Sweep returns them again.
func (tb *Table) RequeueStatuses(list []command.Status) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, sta := range list {
		if _, ok := tb.endpoints[sta.Instance]; ok {
			tb.unreported[sta.Instance] = true
		}
	}
}

// DrainConfirmations returns a confirmation for each draining instance that is
// leased here, has seen the view with its drain and has no request in flight.
func (tb *Table) DrainConfirmations(entry string) []command.DrainConfirmation {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var list []command.DrainConfirmation
	for id, ep := range tb.endpoints {
		mem := tb.view.Members[id]
		idle := ep.busy == 0 && ep.foreign == 0 && ep.reportedInFlight == 0
		if mem.Phase != view.Draining || !idle || ep.seenView < mem.SinceIndex {
			continue
		}
		invariant.Check(!ep.serving, "drainedGetsNoWork", "instance", id)
		list = append(list, command.DrainConfirmation{
			Instance: id, Entry: entry, Incarnation: ep.lease.Incarnation, Epoch: ep.lease.Epoch, View: ep.seenView,
		})
	}
	return list
}

// PendingUsage returns usage reports that the leader has not acknowledged.
func (tb *Table) PendingUsage() []command.UsageReport {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.usage.pending()
}

// AcknowledgeUsage drops the usage reports that the leader has counted.
func (tb *Table) AcknowledgeUsage(marks []command.UsageAck) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, mk := range marks {
		tb.usage.acknowledge(mk)
	}
}

// FreeSlots returns, for each service, the free slots that other entry
// instances may use. Services with waiting requests offer none.
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
		for _, ep := range sq.endpoints {
			if !ep.ejected() {
				free[name] += ep.free(now, tb.slots())
			}
		}
	}
	tb.addLendable(now, free)
	return free
}

// Demand returns the current load of each service.
func (tb *Table) Demand() []peerapi.Demand {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	list := make([]peerapi.Demand, 0, len(tb.queues))
	for name, sq := range tb.queues {
		list = append(list, peerapi.Demand{Service: name, Busy: sq.busy, Slots: len(sq.endpoints) * tb.slots(), Waiting: sq.waiting()})
	}
	return list
}

// EndpointState is the state of an endpoint at this entry instance.
type EndpointState struct {
	Instance           weir.InstanceID  `json:"instance"`
	Address            string           `json:"address"`
	Lease              endpoint.Lease   `json:"lease"`
	Service            weir.ServiceName `json:"service"`
	Serving            bool             `json:"serving"`
	Up                 bool             `json:"up"`
	Busy               int              `json:"busy"`
	PriorOwnerInFlight int              `json:"foreign,omitempty"`
	Ejected            bool             `json:"ejected,omitempty"`
}

// Endpoints returns the state of all leased endpoints, for the state dump.
func (tb *Table) Endpoints() []EndpointState {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := tb.clk.Now()
	list := make([]EndpointState, 0, len(tb.endpoints))
	for _, ep := range tb.endpoints {
		list = append(list, EndpointState{
			Instance: ep.id, Address: ep.addr, Lease: ep.lease, Service: ep.service, Serving: ep.serving,
			Up: ep.up(now), Busy: ep.busy, PriorOwnerInFlight: ep.foreign, Ejected: ep.ejected(),
		})
	}
	return list
}
