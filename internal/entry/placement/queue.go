package placement

import (
	"container/list"
	"time"

	weir "greengageweir"
)

// waiter is a request that waits for a slot.
type waiter struct {
	req     *weir.Request
	granted chan *Slot
	elem    *list.Element
	lane    *lane
}

// lane holds the waiters of one class, a list for each team, served in turn.
type lane struct {
	teams map[weir.TeamName]*list.List
	order []weir.TeamName
	next  int
	count int
}

func newLane() *lane { return &lane{teams: map[weir.TeamName]*list.List{}} }

func (la *lane) push(wt *waiter) {
	team := wt.req.Team
	queue, ok := la.teams[team]
	if !ok {
		queue = list.New()
		la.teams[team] = queue
		la.order = append(la.order, team)
	}
	wt.elem = queue.PushBack(wt)
	wt.lane = la
	la.count++
}

// remove takes a waiter out; it costs the same at any length of the queue.
func (la *lane) remove(wt *waiter) {
	if wt.elem == nil {
		return
	}
	la.teams[wt.req.Team].Remove(wt.elem)
	wt.elem = nil
	la.count--
}

// pick returns the next waiter that fits, teams in turn, without removing it.
// Waiters that would end past their deadline are dropped on the way, since
// work that nobody waits for takes the slot of work that somebody does.
func (la *lane) pick(ends time.Time, fits func(wt *waiter) bool) *waiter {
	for range la.order {
		if la.next >= len(la.order) {
			la.next = 0
		}
		queue := la.teams[la.order[la.next]]
		la.next++
		for front := queue.Front(); front != nil; front = queue.Front() {
			wt := front.Value.(*waiter) // only waiters are pushed
			if ends.Before(wt.req.Deadline) {
				break
			}
			la.remove(wt)
			close(wt.granted)
		}
		if front := queue.Front(); front != nil {
			wt := front.Value.(*waiter) // only waiters are pushed
			if fits(wt) {
				return wt
			}
		}
	}
	la.forgetIdleTeams()
	return nil
}

// othersWait reports whether another team has waiters.
func (la *lane) othersWait(team weir.TeamName) bool {
	queue, ok := la.teams[team]
	return !ok || la.count > queue.Len()
}

func (la *lane) forgetIdleTeams() {
	if la.count > 0 || len(la.order) == 0 {
		return
	}
	la.teams = map[weir.TeamName]*list.List{}
	la.order = nil
	la.next = 0
}

// serviceQueue holds what waits for one service, and its slots' use.
type serviceQueue struct {
	service    weir.ServiceName
	urgent     *lane
	deferrable *lane
	busy       int
	// deferrableBusy counts the busy slots that deferrable work holds.
	deferrableBusy int
	teamBusy       map[weir.TeamName]int
	// meanSeconds is a moving average of the time that a slot is held.
	meanSeconds float64
	workers     []*worker
}

func newServiceQueue(service weir.ServiceName) *serviceQueue {
	return &serviceQueue{service: service, urgent: newLane(), deferrable: newLane(), teamBusy: map[weir.TeamName]int{}}
}

func (sq *serviceQueue) waiting() int { return sq.urgent.count + sq.deferrable.count }

func (sq *serviceQueue) lane(class weir.Class) *lane {
	if class == weir.Deferrable {
		return sq.deferrable
	}
	return sq.urgent
}

// meanWeight is the weight of a new value in the moving average.
const meanWeight = 0.05

func (sq *serviceQueue) learn(held time.Duration) {
	if sq.meanSeconds == 0 {
		sq.meanSeconds = held.Seconds()
		return
	}
	sq.meanSeconds += meanWeight * (held.Seconds() - sq.meanSeconds)
}

// held returns how long a slot is held on average.
func (sq *serviceQueue) held() time.Duration {
	return time.Duration(sq.meanSeconds * float64(time.Second))
}

// expectedEnd estimates how long it takes until a new waiter of the class has
// its answer. Slots are those of the service's own workers; where it holds
// more, with borrowed ones, the queue goes on at the pace of all of them.
func (sq *serviceQueue) expectedEnd(class weir.Class, slots int) time.Duration {
	slots = max(slots, sq.busy)
	if slots == 0 {
		return 0
	}
	ahead := sq.urgent.count
	if class == weir.Deferrable {
		ahead += sq.deferrable.count
	}
	return time.Duration(float64(ahead)/float64(slots)*float64(sq.held())) + sq.held()
}
