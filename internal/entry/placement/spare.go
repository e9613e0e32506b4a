package placement

import (
	"slices"
	"strings"
	"time"

	weir "greengageweir"
)

// spareReserve is the share of a spare pool's slots, in percent, that is kept
// free for its own service.
const spareReserve = 10

// borrow returns a worker of a spare pool for a request of another service.
// Peaks last seconds, which is too short to move an instance; a borrowed slot
// is there at once and is no move. The spare pool's own requests go first:
// nothing is lent while one of them waits.
func (tb *Table) borrow(now time.Time, service weir.ServiceName, repeatable bool) *worker {
	for _, sq := range tb.spares {
		if sq.service == service || sq.waiting() > 0 || tb.lendable(now, sq) <= 0 {
			continue
		}
		if wk := tb.choose(now, sq, repeatable); wk != nil {
			return wk
		}
	}
	return nil
}

// lendable returns how many free slots of a spare pool others may use.
func (tb *Table) lendable(now time.Time, sq *serviceQueue) int {
	free, total := 0, 0
	for _, wk := range sq.workers {
		total += tb.slots()
		if !wk.ejected() {
			free += wk.free(now, tb.slots())
		}
	}
	return free - total*spareReserve/100
}

// findSpares notes the queues of the services whose pools lend.
func (tb *Table) findSpares() {
	tb.spares = tb.spares[:0]
	for _, pol := range tb.view.Config.Pools {
		if pol.Spare {
			tb.spares = append(tb.spares, tb.queue(pol.Service))
		}
	}
	slices.SortFunc(tb.spares, func(a, b *serviceQueue) int { return strings.Compare(string(a.service), string(b.service)) })
}

// pumpFor hands a slot that has become free on a worker to who waits for it:
// its own service, or for a spare pool's worker any other.
func (tb *Table) pumpFor(now time.Time, wk *worker) {
	own := tb.queue(wk.service)
	tb.pump(now, own)
	for _, spare := range tb.spares {
		if spare == own {
			tb.pumpAll(now)
			return
		}
	}
}

func (tb *Table) pumpAll(now time.Time) {
	for _, sq := range tb.queues {
		tb.pump(now, sq)
	}
}

// addLent adds what spare pools here would lend to the free slots of each
// service that has none of its own.
func (tb *Table) addLent(now time.Time, free map[weir.ServiceName]int) {
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
