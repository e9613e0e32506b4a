package session

import (
	"sync"
	"time"

	weir "greengageweir"
)

// maxOrderDelay is how long a worker may take to carry out an order that it does not
// answer.
const maxOrderDelay = 12 * time.Second

// Outstanding holds the orders to one worker id that were sent and not answered, across
// the sessions with its incarnations. It decides when a run is certainly over on a worker
// that does not respond:
//
//   - An order that was answered has been carried out, and is not carried out again. A run
//     whose start was answered, or that a report listed, is on the incarnation that
//     answered, and is over once the leases granted to that incarnation have expired.
//   - An order that was not answered may still be carried out by any incarnation with the
//     id, until maxOrderDelay after it was sent. The next incarnation has seen no fencing
//     token and its clock is behind, so that it takes the longest lease from it. A run
//     whose start was not answered is over once every unanswered order that grants a
//     lease is past its delay, and the longest lease has expired after that.
//   - An incarnation that has answered an order with a higher token refuses those with
//     lower ones, and its report says which runs it has. A run that it was told to stop and
//     does not list is over, though an incarnation that starts after it may still carry out
//     the start. That holds up no task beside a sound worker; but once a later run of the
//     task is lost with the same worker, the next one waits for the start as well.
//
// Orders of earlier leaders are outstanding unless the replicated state says that the
// start was answered. They count from the election, on this process's clock.
//
// Usage:
//
//	od := session.NewOutstanding(maxLease)
//	od.StartSent(key, now)
//	od.StartAnswered(key)
//	if od.OverAt(key.Task).After(now) { ... } // the task must not start elsewhere yet
type Outstanding struct {
	maxLease time.Duration

	mu sync.Mutex
	// starts holds when the starts were sent.
	starts map[weir.RunKey]time.Time
	// stopped holds when the starts were sent whose runs were stopped by their number.
	stopped map[weir.RunKey]time.Time
	// leases holds when the other orders that grant a lease were sent, by their number.
	leases    map[int]time.Time
	lastLease int
	// leaseExpiry is when every lease granted by earlier sessions of this leader has
	// certainly expired on the incarnation that it was granted to.
	leaseExpiry time.Time
}

// NewOutstanding returns an empty set for workers that accept leases up to maxLease.
func NewOutstanding(maxLease time.Duration) *Outstanding {
	return &Outstanding{maxLease: maxLease, starts: map[weir.RunKey]time.Time{}, stopped: map[weir.RunKey]time.Time{}, leases: map[int]time.Time{}}
}

// StartSent records that the order to start a run is sent at the given time.
func (od *Outstanding) StartSent(key weir.RunKey, at time.Time) {
	od.mu.Lock()
	defer od.mu.Unlock()
	od.starts[key] = at
}

// StartAnswered records that the order to start a run was carried out or refused, or that it
// was not sent.
func (od *Outstanding) StartAnswered(key weir.RunKey) {
	od.mu.Lock()
	defer od.mu.Unlock()
	delete(od.starts, key)
	delete(od.stopped, key)
}

// RunStopped records that the worker has stopped a run by its number, whether or not it has
// carried out the start.
func (od *Outstanding) RunStopped(key weir.RunKey) {
	od.mu.Lock()
	defer od.mu.Unlock()
	if sentAt, ok := od.starts[key]; ok {
		delete(od.starts, key)
		od.stopped[key] = sentAt
	}
}

// LeaseSent records that an order which grants a lease, other than a start, is sent at
// the given time. The returned function records that it was answered.
func (od *Outstanding) LeaseSent(at time.Time) (answered func()) {
	od.mu.Lock()
	defer od.mu.Unlock()
	od.lastLease++
	number := od.lastLease
	od.leases[number] = at
	for other, sentAt := range od.leases {
		if at.Sub(sentAt) > od.longestDelay() {
			delete(od.leases, other)
		}
	}
	return func() {
		od.mu.Lock()
		defer od.mu.Unlock()
		delete(od.leases, number)
	}
}

// noStarts reports whether no start is outstanding.
func (od *Outstanding) noStarts() bool {
	od.mu.Lock()
	defer od.mu.Unlock()
	return len(od.starts) == 0
}

// Holds reports whether the start of a run is outstanding.
func (od *Outstanding) Holds(key weir.RunKey) bool {
	od.mu.Lock()
	defer od.mu.Unlock()
	_, ok := od.starts[key]
	return ok
}

// ReportRequested records that the worker answers a report that was requested at the given
// time. Starts that were past their delay then are not carried out any more. Those that
// had begun a run are recorded with StartAnswered, since the report lists it.
func (od *Outstanding) ReportRequested(at time.Time) {
	od.mu.Lock()
	defer od.mu.Unlock()
	for _, starts := range []map[weir.RunKey]time.Time{od.starts, od.stopped} {
		for key, sentAt := range starts {
			if at.Sub(sentAt) > maxOrderDelay {
				delete(starts, key)
			}
		}
	}
}

// OverAt returns when the runs of a task that outstanding starts may begin on a worker that
// does not respond are certainly over. It returns the zero time if there are none.
func (od *Outstanding) OverAt(task weir.TaskRef) time.Time {
	od.mu.Lock()
	defer od.mu.Unlock()
	return od.overAt(task)
}

func (od *Outstanding) overAt(task weir.TaskRef) time.Time {
	for _, starts := range []map[weir.RunKey]time.Time{od.starts, od.stopped} {
		for key := range starts {
			if key.Task == task {
				return od.allOverAt()
			}
		}
	}
	return time.Time{}
}

// latestGrant returns when the last outstanding order that grants a lease was sent, the
// zero time if there is none.
func (od *Outstanding) latestGrant() time.Time {
	var latest time.Time
	for _, starts := range []map[weir.RunKey]time.Time{od.starts, od.stopped} {
		for _, sentAt := range starts {
			if sentAt.After(latest) {
				latest = sentAt
			}
		}
	}
	for _, sentAt := range od.leases {
		if sentAt.After(latest) {
			latest = sentAt
		}
	}
	return latest
}

// allOverAt returns when every run that outstanding orders may begin, or keep running, is
// certainly over.
func (od *Outstanding) allOverAt() time.Time { return od.latestGrant().Add(od.longestDelay()) }

// longestDelay is how long after an order was sent its effect may last.
func (od *Outstanding) longestDelay() time.Duration {
	return maxOrderDelay + slowestSpan(od.maxLease)
}

// DoubtfulTasks adds to the given set the tasks of which an outstanding start may begin a
// run, or may have begun one that is not over at the given time. It drops the starts once
// all are over.
func (od *Outstanding) DoubtfulTasks(now time.Time, into map[weir.TaskRef]bool) {
	od.mu.Lock()
	defer od.mu.Unlock()
	if len(od.starts) == 0 {
		return
	}
	if !od.allOverAt().After(now) {
		clear(od.starts)
		return
	}
	for key := range od.starts {
		into[key.Task] = true
	}
}

// Over reports whether everything that the orders may have led to is over.
func (od *Outstanding) Over(now time.Time) bool {
	od.mu.Lock()
	defer od.mu.Unlock()
	return now.After(od.leaseExpiry) && now.After(od.allOverAt())
}

// lateLeaseExpiry returns until when an incarnation that answers for the first time at the
// given time may hold a lease from an order to the incarnation before. It is the zero time
// if no such order is outstanding.
func (od *Outstanding) lateLeaseExpiry(now time.Time) time.Time {
	od.mu.Lock()
	defer od.mu.Unlock()
	latest := od.latestGrant()
	if latest.IsZero() {
		return latest
	}
	last := latest.Add(maxOrderDelay)
	if last.After(now) {
		last = now
	}
	return last.Add(slowestSpan(od.maxLease))
}

// retain keeps the expiry of the leases that a session granted, for the sessions after it.
func (od *Outstanding) retain(leaseExpiry time.Time) {
	od.mu.Lock()
	defer od.mu.Unlock()
	if leaseExpiry.After(od.leaseExpiry) {
		od.leaseExpiry = leaseExpiry
	}
}

// inherited returns the expiry of the leases that earlier sessions granted.
func (od *Outstanding) inherited() time.Time {
	od.mu.Lock()
	defer od.mu.Unlock()
	return od.leaseExpiry
}
