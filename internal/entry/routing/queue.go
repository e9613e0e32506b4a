package routing

import (
	"container/list"
	"time"

	weir "greengageweir"
)

// waiter is a request that waits for a slot.
type waiter struct {
	req *weir.Request
	// granted receives the slot. It is closed without one if the request would
	// end after its deadline.
	granted chan *Slot
	elem    *list.Element
	queue   *classQueue
}

// classQueue holds the waiters of one class in a list for each team, from
// which it picks round robin.
type classQueue struct {
	teams map[weir.TeamName]*list.List
	order []weir.TeamName
	next  int
	count int
}

func newClassQueue() *classQueue { return &classQueue{teams: map[weir.TeamName]*list.List{}} }

func (cq *classQueue) push(wt *waiter) {
	team := wt.req.Team
	queue, ok := cq.teams[team]
	if !ok {
		queue = list.New()
		cq.teams[team] = queue
		cq.order = append(cq.order, team)
	}
	wt.elem = queue.PushBack(wt)
	wt.queue = cq
	cq.count++
}

// remove removes a waiter in constant time, so that many cancellations at once
// stay cheap in a long queue.
func (cq *classQueue) remove(wt *waiter) {
	if wt.elem == nil {
		return
	}
	cq.teams[wt.req.Team].Remove(wt.elem)
	wt.elem = nil
	cq.count--
}

// pick returns the next waiter that fits, round robin over the teams, without
// removing it. Waiters whose request would end after its deadline are dropped:
// nobody would use the response, and another request could use the slot.
func (cq *classQueue) pick(expectedEnd time.Time, fits func(wt *waiter) bool) *waiter {
	for range cq.order {
		if cq.next >= len(cq.order) {
			cq.next = 0
		}
		queue := cq.teams[cq.order[cq.next]]
		cq.next++
		for front := queue.Front(); front != nil; front = queue.Front() {
			wt := front.Value.(*waiter) // only waiters are pushed
			if expectedEnd.Before(wt.req.Deadline) {
				break
			}
			cq.remove(wt)
			close(wt.granted)
		}
		if front := queue.Front(); front != nil {
			wt := front.Value.(*waiter) // only waiters are pushed
			if fits(wt) {
				return wt
			}
		}
	}
	cq.forgetIdleTeams()
	return nil
}

// othersWait reports whether another team has waiters.
func (cq *classQueue) othersWait(team weir.TeamName) bool {
	queue, ok := cq.teams[team]
	return !ok || cq.count > queue.Len()
}

func (cq *classQueue) forgetIdleTeams() {
	if cq.count > 0 || len(cq.order) == 0 {
		return
	}
	cq.teams = map[weir.TeamName]*list.List{}
	cq.order = nil
	cq.next = 0
}

// serviceQueue holds the endpoints of one service, its waiters and the use of
// its slots.
type serviceQueue struct {
	service    weir.ServiceName
	urgent     *classQueue
	deferrable *classQueue
	busy       int
	// deferrableBusy is the number of busy slots with deferrable requests.
	deferrableBusy int
	teamBusy       map[weir.TeamName]int
	// meanHoldSeconds is the moving average of the time that a request holds
	// its slot.
	meanHoldSeconds float64
	endpoints       []*leasedEndpoint
}

func newServiceQueue(service weir.ServiceName) *serviceQueue {
	return &serviceQueue{service: service, urgent: newClassQueue(), deferrable: newClassQueue(), teamBusy: map[weir.TeamName]int{}}
}

func (sq *serviceQueue) waiting() int { return sq.urgent.count + sq.deferrable.count }

func (sq *serviceQueue) forClass(class weir.Class) *classQueue {
	if class == weir.Deferrable {
		return sq.deferrable
	}
	return sq.urgent
}

// meanWeight is the weight of a new value in the exponential moving average.
const meanWeight = 0.05

func (sq *serviceQueue) recordHold(held time.Duration) {
	if sq.meanHoldSeconds == 0 {
		sq.meanHoldSeconds = held.Seconds()
		return
	}
	sq.meanHoldSeconds += meanWeight * (held.Seconds() - sq.meanHoldSeconds)
}

// meanHold returns the average time that a request holds its slot.
func (sq *serviceQueue) meanHold() time.Duration {
	return time.Duration(sq.meanHoldSeconds * float64(time.Second))
}

// expectedResponseTime estimates the time until a new waiter of the class has
// its response. The parameter slots is the number of slots of the service's own
// endpoints. If the service holds more, with borrowed ones, the number that it
// holds is used instead, since the queue advances with all of them.
func (sq *serviceQueue) expectedResponseTime(class weir.Class, slots int) time.Duration {
	slots = max(slots, sq.busy)
	if slots == 0 {
		return 0
	}
	ahead := sq.urgent.count
	if class == weir.Deferrable {
		ahead += sq.deferrable.count
	}
	return time.Duration(float64(ahead)/float64(slots)*float64(sq.meanHold())) + sq.meanHold()
}
