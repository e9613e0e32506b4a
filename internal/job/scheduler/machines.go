package scheduler

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"greengageweir/internal/job/store"

	"golang.org/x/time/rate"

	weir "greengageweir"
)

const (
	// orderRetryInterval is the delay before an order that was neither accepted
	// nor refused is sent again.
	orderRetryInterval = 400 * time.Millisecond
	// platformRateShare is the fraction of the platform's rate limit that is
	// used, since the platform's clock and ours do not agree on a second.
	platformRateShare = 0.9
	// orderBurstPeriod sets the burst of the rate limit: the orders of this
	// period may be sent at once after a pause.
	orderBurstPeriod = 250 * time.Millisecond
	// maxOrdersInFlight limits the orders in flight; the platform client has
	// enough connections for them.
	maxOrdersInFlight = 48
	// platformTimeout limits one request to the platform.
	platformTimeout = 1500 * time.Millisecond
)

// cordon says for which wave a machine gets no new tasks, and since when.
type cordon struct {
	wave  int64
	since time.Time
}

// blockedMaintenance says since when the maintenance of a machine has been blocked, and
// when that was last evaluated.
type blockedMaintenance struct {
	since, checkedAt time.Time
}

// machineState is what a leader knows about machines in addition to the replicated
// state. The maps are by machine name unless stated otherwise.
type machineState struct {
	// cordon holds machines that get no new tasks because their maintenance is
	// due.
	cordon map[string]cordon
	// blocked holds machines whose maintenance is blocked by their long-running tasks.
	blocked map[string]blockedMaintenance
	// needed holds machines that waiting long-running tasks are placed on next; see
	// neededMachines.
	needed map[string]bool
	// lastOrderAt is when the last order for a machine was sent.
	lastOrderAt map[string]time.Time
	// inFlight is set while an order is sent and its response recorded.
	inFlight map[string]bool
	// draining holds machines that get no new tasks because they will move to
	// another pool.
	draining map[string]bool
	// listed is the platform's list of machines, listedAt when it was requested.
	// listing is set while a request is in flight, the last of which was sent at
	// listRequestedAt.
	listed          map[string]weir.Machine
	listedAt        time.Time
	listing         bool
	listRequestedAt time.Time
	// shortage is set if a pool had fewer machines than it needs at the last
	// evaluation.
	shortage bool
	// waitLoggedAt is when blocked maintenance was last logged.
	waitLoggedAt time.Time
	// destinations holds the pool to which a machine was last sent, and when.
	destinations map[string]destination
	// demandHistory holds the recent demand of each pool.
	demandHistory map[weir.PoolName][]demandSample
	// pendingCommit holds machines whose operation is being committed.
	pendingCommit map[string]bool
	// orderedHere holds machines for which this leader has submitted an
	// operation.
	orderedHere map[string]bool
	// mayBeExecuted holds machines of which an order got no response, or one that leaves
	// open whether the platform has executed it.
	mayBeExecuted map[string]bool
	// acceptedAt is when the platform last accepted an order for a machine.
	acceptedAt map[string]time.Time
	// away holds machines that are not back from the last operation that the platform
	// accepted, with its wave, 0 for a move.
	away map[string]int64
	// endedIncarnation holds the worker incarnation that the last operation on a
	// machine ended.
	endedIncarnation map[string]int64
	// limiter keeps orders within the platform's rate limit.
	limiter *rate.Limiter
}

func newMachineState(perSecond float64) *machineState {
	limiter := rate.NewLimiter(rate.Inf, 0)
	if perSecond > 0 {
		limiter = rate.NewLimiter(rate.Limit(platformRateShare*perSecond), max(1, int(perSecond*orderBurstPeriod.Seconds())))
	}
	return &machineState{
		limiter: limiter,
		cordon:  map[string]cordon{}, blocked: map[string]blockedMaintenance{}, lastOrderAt: map[string]time.Time{}, inFlight: map[string]bool{},
		draining: map[string]bool{}, listed: map[string]weir.Machine{}, destinations: map[string]destination{},
		demandHistory: map[weir.PoolName][]demandSample{}, pendingCommit: map[string]bool{}, orderedHere: map[string]bool{}, mayBeExecuted: map[string]bool{}, acceptedAt: map[string]time.Time{}, away: map[string]int64{}, endedIncarnation: map[string]int64{},
	}
}

func (mst *machineState) cordoned(machine string) bool {
	_, ok := mst.cordon[machine]
	return ok && machine != ""
}

// lost reports whether the platform lists a machine as down, or no longer lists it,
// after it accepted its last operation.
func (mst *machineState) lost(machine string) bool {
	mc, listed := mst.listed[machine]
	return mst.listedAt.After(mst.acceptedAt[machine]) && (!listed || mc.State == weir.MachineDown)
}

// isAway reports whether a machine is not back from its last operation.
func (mst *machineState) isAway(machine string) bool {
	_, away := mst.away[machine]
	return away
}

func (mst *machineState) anyCordoned(wv *store.Wave) bool {
	return slices.ContainsFunc(wv.Machines, mst.cordoned)
}

// unavailability returns why a machine gets no new tasks.
func (mst *machineState) unavailability(rd store.Reader, machine string) unavailability {
	if machine == "" {
		return available
	}
	_, ordered := rd.MachineOperation(machine)
	switch {
	case ordered && mst.mayWithdraw(machine):
		return orderNotAccepted
	case ordered || mst.pendingCommit[machine]:
		return machineOrdered
	case mst.cordoned(machine):
		return cordonedForWave
	case mst.draining[machine]:
		return leavesPool
	}
	return available
}

// updateMachines starts the maintenance that may start now and moves machines
// between pools.
func (sc *Scheduler) updateMachines(ctx context.Context, ls *leaderState, now time.Time) {
	if sc.Machines == nil {
		return
	}
	sc.refreshMachineList(ctx, ls, now)
	mst := ls.machines
	sc.Store.Read(func(rd store.Reader) {
		byMachine := map[string]store.Worker{}
		rd.EachWorker(func(wk store.Worker) { byMachine[wk.Machine] = wk })
		for machine := range mst.away {
			if sc.operationOver(ls, byMachine[machine], machine) || mst.lost(machine) {
				delete(mst.away, machine)
			}
		}
		numbers, due := make([]int64, 0, len(rd.Waves())), map[string]bool{}
		for number, wv := range rd.Waves() {
			if !wv.AllStarted() || mst.anyCordoned(wv) {
				numbers = append(numbers, number)
				for _, machine := range wv.Machines {
					due[machine] = due[machine] || !wv.Started[machine]
				}
			}
		}
		mst.needed = sc.neededMachines(ctx, ls, rd, due, now)
		slices.Sort(numbers)
		for _, number := range numbers {
			sc.advanceWave(ctx, ls, rd, rd.Waves()[number], byMachine, now)
		}
		sc.rebalance(ls, rd, byMachine, now)
	})
}

// orderMachines sends the committed orders that are not known to be done, within
// the limits on rate and orders in flight.
func (sc *Scheduler) orderMachines(ctx context.Context, ls *leaderState, now time.Time) {
	if sc.Machines == nil {
		return
	}
	mst := ls.machines
	var orders []weir.MachineOrder
	sc.Store.Read(func(rd store.Reader) {
		sc.withdrawHeld(ls, rd, now)
		orders = sc.pendingOrders(ls, rd, now)
	})
	for _, order := range orders {
		if len(mst.inFlight) >= maxOrdersInFlight || !mst.limiter.AllowN(now, 1) {
			return
		}
		mst.inFlight[order.Machine] = true
		mst.lastOrderAt[order.Machine] = now
		sc.inBackground(func() { sc.orderMachine(ctx, ls, order) })
	}
}

// leadsTerm reports whether this process certainly leads in a term. It may lead
// again in a later one, in which an order of this term must not be sent.
func (sc *Scheduler) leadsTerm(term uint64) bool {
	return sc.Leadership.IsLeader() && sc.Leadership.LeaderTerm() == term
}

// mayOrder reports whether this leader may send orders for a machine: it has
// submitted an operation on the machine in this term, or an earlier leader's last order is
// at least MachineOrderDelay old. An earlier leader may have repeated an order
// that is not known to be done up to the election.
func (sc *Scheduler) mayOrder(ls *leaderState, rd store.Reader, machine string, now time.Time) bool {
	if ls.machines.orderedHere[machine] {
		return true
	}
	last := rd.MachineOperationSeenAt(machine)
	if _, open := rd.MachineOperation(machine); open && last.Before(ls.since) {
		last = ls.since
	}
	return now.Sub(last) >= sc.MachineOrderDelay
}

// pendingOrders returns the committed orders that are not known to be done:
// first moves to active pools, then maintenance, then moves to standby pools.
func (sc *Scheduler) pendingOrders(ls *leaderState, rd store.Reader, now time.Time) []weir.MachineOrder {
	mst := ls.machines
	var orders []weir.MachineOrder
	rd.EachMachineOperation(func(op store.MachineOperation) {
		if mst.orderDue(op.Machine, now) && sc.mayOrder(ls, rd, op.Machine, now) && !sc.held(ls, rd, op) {
			orders = append(orders, weir.MachineOrder{
				Machine: op.Machine, LeaseHolder: sc.LeaseHolder, Token: ls.term, Wave: op.Wave, Pool: op.Pool, Permitted: func() bool { return sc.leadsTerm(ls.term) },
			})
		}
	})
	ct := rd.Catalog()
	urgency := func(order weir.MachineOrder) int {
		switch po, _ := ct.PoolByName(order.Pool); {
		case order.Wave != 0:
			return 1
		case po.Standby:
			return 2
		}
		return 0
	}
	slices.SortFunc(orders, func(one, other weir.MachineOrder) int {
		return cmp.Or(urgency(one)-urgency(other), cmp.Compare(one.Machine, other.Machine))
	})
	return orders
}

// orderDue reports whether it is time to send, or to repeat, the order for a machine.
func (mst *machineState) orderDue(machine string, now time.Time) bool {
	return !mst.inFlight[machine] && now.Sub(mst.lastOrderAt[machine]) >= orderRetryInterval
}

// held reports whether an operation is not to be ordered for now: it is maintenance that
// would make more tasks of a step unavailable than the step allows, since others became so
// after it was committed, or a waiting task needs the machine.
func (sc *Scheduler) held(ls *leaderState, rd store.Reader, op store.MachineOperation) bool {
	if ls.machines.needed[op.Machine] {
		return true
	}
	wk, ok := rd.Worker(op.Worker)
	if op.Wave == 0 || !ok || wk.Incarnation != op.Incarnation {
		return false
	}
	step, _ := sc.blockingStep(ls, rd, op.Worker)
	return step != nil
}

// mayWithdraw reports whether the platform has certainly not executed an operation on a
// machine that this leader has committed, and will not do so.
func (mst *machineState) mayWithdraw(machine string) bool {
	return mst.orderedHere[machine] && !mst.mayBeExecuted[machine] && !mst.pendingCommit[machine] && !mst.inFlight[machine]
}

// withdrawHeld withdraws the operations that are held and not executed, so that their
// machines go on with their work.
func (sc *Scheduler) withdrawHeld(ls *leaderState, rd store.Reader, now time.Time) {
	mst := ls.machines
	rd.EachMachineOperation(func(op store.MachineOperation) {
		if !mst.orderDue(op.Machine, now) || !mst.mayWithdraw(op.Machine) || !sc.held(ls, rd, op) {
			return
		}
		_ = sc.Logger.Log("level", "info", "msg", "machine operation withdrawn", "machine", op.Machine, "wave", op.Wave, "pool", op.Pool,
			"worker", op.Worker, "needed", mst.needed[op.Machine])
		change := &store.MachineOperation{Machine: op.Machine, Wave: op.Wave, Pool: op.Pool, Withdrawn: true}
		mst.inFlight[op.Machine] = true
		recorded := func([]store.Result, error) {
			sc.mu.Lock()
			delete(mst.inFlight, op.Machine)
			sc.mu.Unlock()
			sc.Wake()
		}
		if !sc.Committer.Submit([]store.Change{{Machine: change}}, recorded) {
			delete(mst.inFlight, op.Machine)
		}
	})
}

// commitOperation commits an operation on a machine, which will end the machine's
// current worker. The order is sent once the operation is applied to the state.
func (sc *Scheduler) commitOperation(ls *leaderState, op store.MachineOperation, wk store.Worker) {
	mst := ls.machines
	op.Worker, op.Incarnation = wk.ID, wk.Incarnation
	mst.pendingCommit[op.Machine] = true
	mst.orderedHere[op.Machine] = true
	delete(mst.mayBeExecuted, op.Machine)
	done := func([]store.Result, error) {
		sc.mu.Lock()
		delete(mst.pendingCommit, op.Machine)
		sc.mu.Unlock()
		sc.Wake()
	}
	if !sc.Committer.Submit([]store.Change{{Machine: &op}}, done) {
		delete(mst.pendingCommit, op.Machine)
	}
}

func boolToInt(val bool) int {
	if val {
		return 1
	}
	return 0
}

// operationOver reports whether a machine is back from its last operation: a new
// worker is usable, or the machine has no worker, as in a standby pool, and the
// platform lists it as up.
func (sc *Scheduler) operationOver(ls *leaderState, wk store.Worker, machine string) bool {
	mst := ls.machines
	if wk.ID == "" {
		mc := mst.listed[machine]
		return mc.State == weir.MachineUp && mst.listedAt.After(mst.acceptedAt[machine])
	}
	if mst.endedIncarnation[machine] == wk.Incarnation {
		return false
	}
	ws := ls.sessions[wk.ID]
	return ws != nil && ws.worker.Incarnation == wk.Incarnation && ws.session.Usable()
}

func (sc *Scheduler) candidate(ls *leaderState, rd store.Reader, machine string, wk store.Worker) candidate {
	ca := candidate{machine: machine, worker: wk.ID, pool: wk.Pool, cordoned: ls.machines.cordoned(machine)}
	load := rd.WorkerLoad(wk.ID)
	ca.batchRuns, ca.longRunning = load.Batch, load.LongRunning
	return ca
}

// orderMachine sends one order and records the platform's response.
func (sc *Scheduler) orderMachine(ctx context.Context, ls *leaderState, order weir.MachineOrder) {
	defer sc.Wake()
	callCtx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	if !sc.leadsTerm(ls.term) {
		sc.recordMachineResponse(ls, order, nil)
		return
	}
	resp, err := sc.Machines.Order(callCtx, order)
	_ = sc.Logger.Log("level", "info", "msg", "machine order sent", "machine", order.Machine, "wave", order.Wave,
		"pool", order.Pool, "answer", string(resp), "err", err)
	if err != nil || resp == weir.MachineBusy {
		sc.mu.Lock()
		ls.machines.mayBeExecuted[order.Machine] = ls.machines.mayBeExecuted[order.Machine] || !errors.Is(err, weir.ErrNotSent)
		sc.mu.Unlock()
	}
	if err != nil {
		sc.recordMachineResponse(ls, order, nil)
		return
	}
	op := &store.MachineOperation{Machine: order.Machine, Wave: order.Wave, Pool: order.Pool}
	switch resp {
	case weir.MachineAccepted:
		op.Started = true
	case weir.MachineRefused:
		op.NotExecuted = true
	default:
		op = nil
	}
	sc.recordMachineResponse(ls, order, op)
}

// recordMachineResponse commits the result of an order; op is nil if the order has to
// be sent again.
func (sc *Scheduler) recordMachineResponse(ls *leaderState, order weir.MachineOrder, op *store.MachineOperation) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if op == nil || sc.leader != ls {
		delete(ls.machines.inFlight, order.Machine)
		return
	}
	changes := []store.Change{{Machine: op}}
	if op.Started {
		ls.machines.acceptedAt[order.Machine] = sc.Clock.Now()
		ls.machines.away[order.Machine] = order.Wave
		if order.Pool != "" {
			ls.machines.destinations[order.Machine] = destination{pool: order.Pool, at: sc.Clock.Now()}
		}
		sc.Store.Read(func(rd store.Reader) { changes = append(changes, sc.endIncarnation(ls, rd, order.Machine)...) })
	}
	// The machine stays in flight until the response is recorded, since the order
	// would be sent again otherwise.
	recorded := func([]store.Result, error) {
		sc.mu.Lock()
		delete(ls.machines.inFlight, order.Machine)
		sc.mu.Unlock()
		sc.Wake()
	}
	if !sc.Committer.Submit(changes, recorded) {
		delete(ls.machines.inFlight, order.Machine)
		_ = sc.Logger.Log("level", "warn", "msg", "machine operation not recorded, commit queue full", "machine", order.Machine)
	}
}

// endIncarnation returns the changes that end the worker incarnation for which
// an operation was committed. A later incarnation on the same machine is kept: it
// exists if an earlier order was carried out but its response was lost.
func (sc *Scheduler) endIncarnation(ls *leaderState, rd store.Reader, machine string) []store.Change {
	op, ok := rd.MachineOperation(machine)
	if !ok || op.Worker == "" {
		return nil
	}
	ls.machines.endedIncarnation[machine] = op.Incarnation
	wk, ok := rd.Worker(op.Worker)
	if !ok || wk.Incarnation != op.Incarnation {
		return nil
	}
	return sc.leaveChanges(ls, rd, wk, "machine ordered away")
}
