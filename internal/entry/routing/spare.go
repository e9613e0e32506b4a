package routing

import (
	"slices"
	"strings"
	"time"

	weir "greengageweir"
)

// spareReserve is the share of a spare pool's slots, in percent, that is
// reserved for the pool's own service.
const spareReserve = 10

// borrow returns an endpoint of a spare pool for a request of another service.
// Load peaks last seconds, which is too short to move an instance to another
// pool, whereas a borrowed slot is available at once. A spare pool lends
// nothing while requests of its own service wait.
func (tb *Table) borrow(now time.Time, service weir.ServiceName, repeatable bool) *leasedEndpoint {
	for _, sq := range tb.spares {
		if sq.service == service || sq.waiting() > 0 || tb.lendable(now, sq) <= 0 {
			continue
		}
		if ep := tb.choose(now, sq, repeatable); ep != nil {
			return ep
		}
	}
	return nil
}

// lendable returns the number of free slots of a spare pool that other services
// may use.
func (tb *Table) lendable(now time.Time, sq *serviceQueue) int {
	free, total := 0, 0
	for _, ep := range sq.endpoints {
		total += tb.slots()
		if !ep.ejected() {
			free += ep.free(now, tb.slots())
		}
	}
	return free - total*spareReserve/100
}

// findSpares collects the queues of services with spare pools, by name.
func (tb *Table) findSpares() {
	tb.spares = tb.spares[:0]
	for _, pol := range tb.view.Config.Pools {
		if pol.Spare {
			tb.spares = append(tb.spares, tb.queue(pol.Service))
		}
	}
	slices.SortFunc(tb.spares, func(a, b *serviceQueue) int { return strings.Compare(string(a.service), string(b.service)) })
}

// grantWaitingFor grants a slot that has become free on an endpoint to a waiter
// of its service, or of any service if the endpoint is in a spare pool.
func (tb *Table) grantWaitingFor(now time.Time, ep *leasedEndpoint) {
	own := tb.queue(ep.service)
	tb.grantWaiting(now, own)
	for _, spare := range tb.spares {
		if spare == own {
			tb.grantAllWaiting(now)
			return
		}
	}
}

func (tb *Table) grantAllWaiting(now time.Time) {
	for _, sq := range tb.queues {
		tb.grantWaiting(now, sq)
	}
}

// addLendable adds the lendable slots of spare pools to the services that have
// no free slot of their own.
func (tb *Table) addLendable(now time.Time, free map[weir.ServiceName]int) {
	for _, sq := range tb.spares {
		lent := tb.lendable(now, sq)
		if lent <= 0 || sq.waiting() > 0 {
			continue
		}
		for name := range tb.view.Config.Services {
			if free[name] == 0 {
				free[name] = lent
			}
		}
	}
}
