package scheduler

import (
	"cmp"
	"context"
	"slices"
	"time"

	"greengageweir/internal/job/store"

	"golang.org/x/time/rate"

	weir "greengageweir"
)

const (
	// machineRetry separates orders without a useful answer.
	machineRetry = 400 * time.Millisecond
	// machineShare is the share of the platform's rate that is used, as the
	// platform's seconds are not ours.
	machineShare = 0.9
	// machineBurst is how long a pause saves up orders for.
	machineBurst = 250 * time.Millisecond
	// machineSlots bounds the orders under way; the client of the platform has
	// connections for them.
	machineSlots = 48
	// machineTimeout is how long the platform may take to answer.
	machineTimeout = 1500 * time.Millisecond
)

// machineDuty is what a leader knows of maintenance besides the log.
type machineDuty struct {
	// cordon holds machines that get no new tasks, since when.
	cordon map[string]time.Time
	// asked is when a machine was last ordered about.
	asked map[string]time.Time
	// busy says that an order is under way.
	busy map[string]bool
	// leaving holds machines that get no new tasks as they are to move.
	leaving map[string]bool
	// listed is the platform's list of machines, listedAt when it was asked for.
	listed   map[string]weir.Machine
	listedAt time.Time
	listing  bool
	// short says that a pool lacked machines when it was looked at last.
	short bool
	// toldAt is when it was logged last that maintenance waits.
	toldAt time.Time
	// sent holds where machines were sent last, and when.
	sent map[string]sentTo
	// needs holds what each pool wanted lately.
	needs map[weir.PoolName][]needed
	// intent holds machines whose operation is being committed.
	intent map[string]bool
	// mine holds the machines that this leader has ordered about.
	mine map[string]bool
	// answered is when the last order about a machine was accepted.
	answered map[string]time.Time
	// gone holds the worker life that an operation has ended.
	gone map[string]int64
	// limit paces orders to what the platform takes.
	limit *rate.Limiter
}

func newMachineDuty(perSecond float64) *machineDuty {
	limit := rate.NewLimiter(rate.Inf, 0)
	if perSecond > 0 {
		limit = rate.NewLimiter(rate.Limit(machineShare*perSecond), max(1, int(perSecond*machineBurst.Seconds())))
	}
	return &machineDuty{
		limit:  limit,
		cordon: map[string]time.Time{}, asked: map[string]time.Time{}, busy: map[string]bool{},
		leaving: map[string]bool{}, listed: map[string]weir.Machine{}, sent: map[string]sentTo{},
		needs: map[weir.PoolName][]needed{}, intent: map[string]bool{}, mine: map[string]bool{}, answered: map[string]time.Time{}, gone: map[string]int64{},
	}
}

func (md *machineDuty) cordoned(machine string) bool {
	_, ok := md.cordon[machine]
	return ok && machine != ""
}

func (md *machineDuty) cordonsAny(wv *store.Wave) bool {
	return slices.ContainsFunc(wv.Machines, md.cordoned)
}

// closed reports whether a machine gets no new tasks.
func (md *machineDuty) closed(rd store.Reader, machine string) bool {
	if machine == "" {
		return false
	}
	_, ordered := rd.MachineOperation(machine)
	return ordered || md.cordoned(machine) || md.intent[machine] || md.leaving[machine]
}

// maintain carries on what is asked of machines: it begins maintenance that may
// begin, and moves machines.
func (ow *Scheduler) maintain(ctx context.Context, re *reign, now time.Time) {
	if ow.Machines == nil {
		return
	}
	ow.list(ctx, re, now)
	md := re.machines
	ow.Store.Read(func(rd store.Reader) {
		byMachine := map[string]store.Worker{}
		rd.EachWorker(func(wk store.Worker) { byMachine[wk.Machine] = wk })
		numbers := make([]int64, 0, len(rd.Waves()))
		for number, wv := range rd.Waves() {
			if !wv.AllStarted() || md.cordonsAny(wv) {
				numbers = append(numbers, number)
			}
		}
		slices.Sort(numbers)
		for _, number := range numbers {
			ow.advance(re, rd, rd.Waves()[number], byMachine, now)
		}
		ow.balance(re, rd, byMachine, now)
	})
}

// orderMachines sends the orders that are committed and not known to be done,
// as fast as the platform takes them.
func (ow *Scheduler) orderMachines(ctx context.Context, re *reign, now time.Time) {
	if ow.Machines == nil {
		return
	}
	md := re.machines
	var orders []weir.MachineOrder
	ow.Store.Read(func(rd store.Reader) { orders = ow.unanswered(re, rd, now) })
	for _, order := range orders {
		if len(md.busy) >= machineSlots || !md.limit.AllowN(now, 1) {
			return
		}
		md.busy[order.Machine] = true
		md.asked[order.Machine] = now
		go ow.orderMachine(ctx, re, order)
	}
}

// myTurn reports whether this leader may order a machine about: it did so
// last, or an earlier leader's last order is long enough ago. An order that
// is not known to be done may have been repeated until the election.
func (ow *Scheduler) myTurn(re *reign, rd store.Reader, machine string, now time.Time) bool {
	if re.machines.mine[machine] {
		return true
	}
	last := rd.MachineOperationSeenAt(machine)
	if _, open := rd.MachineOperation(machine); open && last.Before(re.since) {
		last = re.since
	}
	return now.Sub(last) >= ow.MachineOrderDelay
}

// unanswered lists the orders that are committed and not known to be done:
// first machines for pools that work, then maintenance, then what goes to stand
// by.
func (ow *Scheduler) unanswered(re *reign, rd store.Reader, now time.Time) []weir.MachineOrder {
	md := re.machines
	var orders []weir.MachineOrder
	rd.EachMachineOperation(func(op store.MachineOperation) {
		if !md.busy[op.Machine] && now.Sub(md.asked[op.Machine]) >= machineRetry && ow.myTurn(re, rd, op.Machine, now) {
			orders = append(orders, weir.MachineOrder{
				Machine: op.Machine, Holder: ow.HolderName, Token: re.term, Wave: op.Wave, Pool: op.Pool,
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

// intend commits that a machine is to be ordered about, which ends its present
// worker; the order follows once the state says so.
func (ow *Scheduler) intend(re *reign, op store.MachineOperation, wk store.Worker) {
	md := re.machines
	op.Worker, op.Incarnation = wk.ID, wk.Incarnation
	md.intent[op.Machine] = true
	md.mine[op.Machine] = true
	done := func([]store.Result, error) {
		ow.mu.Lock()
		delete(md.intent, op.Machine)
		ow.mu.Unlock()
		ow.Wake()
	}
	if !ow.Committer.Submit([]store.Change{{Machine: &op}}, done) {
		delete(md.intent, op.Machine)
	}
}

func boolRank(val bool) int {
	if val {
		return 1
	}
	return 0
}

// back reports whether a machine's maintenance is over: it runs a worker
// again, or it stands by, where none runs, and the platform lists it as up.
func (ow *Scheduler) back(re *reign, wk store.Worker, machine string) bool {
	md := re.machines
	if wk.ID == "" {
		mc := md.listed[machine]
		return mc.State == weir.MachineUp && md.listedAt.After(md.answered[machine])
	}
	if md.gone[machine] == wk.Incarnation {
		return false
	}
	at := re.sessions[wk.ID]
	return at != nil && at.worker.Incarnation == wk.Incarnation && at.ss.Usable()
}

func (ow *Scheduler) candidate(re *reign, rd store.Reader, machine string, wk store.Worker) candidate {
	ca := candidate{machine: machine, worker: wk.ID, pool: wk.Pool, cordoned: re.machines.cordoned(machine)}
	load := rd.Load(wk.ID)
	ca.work, ca.lasting = load.Batch, load.LongRunning
	return ca
}

// orderMachine sends one order and records its answer.
func (ow *Scheduler) orderMachine(ctx context.Context, re *reign, order weir.MachineOrder) {
	defer ow.Wake()
	callCtx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	if !ow.Leadership.Leads() {
		ow.machineDone(re, order, nil)
		return
	}
	ans, err := ow.Machines.Order(callCtx, order)
	_ = ow.Logger.Log("level", "info", "msg", "machine ordered", "machine", order.Machine, "wave", order.Wave,
		"pool", order.Pool, "answer", string(ans), "err", err)
	if err != nil {
		ow.machineDone(re, order, nil)
		return
	}
	op := &store.MachineOperation{Machine: order.Machine, Wave: order.Wave, Pool: order.Pool}
	switch ans {
	case weir.MachineAccepted:
		op.Started = true
	case weir.MachineRefused:
		op.NotExecuted = true
	default:
		op = nil
	}
	ow.machineDone(re, order, op)
}

func (ow *Scheduler) machineDone(re *reign, order weir.MachineOrder, op *store.MachineOperation) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if op == nil || ow.reign != re {
		delete(re.machines.busy, order.Machine)
		return
	}
	changes := []store.Change{{Machine: op}}
	if op.Started {
		re.machines.answered[order.Machine] = ow.Clock.Now()
		if order.Pool != "" {
			re.machines.sent[order.Machine] = sentTo{pool: order.Pool, at: ow.Clock.Now()}
		}
		ow.Store.Read(func(rd store.Reader) { changes = append(changes, ow.orderedAway(re, rd, order.Machine)...) })
	}
	// Until this is recorded the order would be sent again.
	recorded := func([]store.Result, error) {
		ow.mu.Lock()
		delete(re.machines.busy, order.Machine)
		ow.mu.Unlock()
		ow.Wake()
	}
	if !ow.Committer.Submit(changes, recorded) {
		delete(re.machines.busy, order.Machine)
		_ = ow.Logger.Log("level", "warn", "msg", "operation not recorded", "machine", order.Machine)
	}
}

// orderedAway returns the changes that end the life for which an operation was
// meant. The machine may run a later one already, where an earlier order was
// carried out without an answer; that one goes on.
func (ow *Scheduler) orderedAway(re *reign, rd store.Reader, machine string) []store.Change {
	op, ok := rd.MachineOperation(machine)
	if !ok || op.Worker == "" {
		return nil
	}
	re.machines.gone[machine] = op.Incarnation
	wk, ok := rd.Worker(op.Worker)
	if !ok || wk.Incarnation != op.Incarnation {
		return nil
	}
	return ow.leave(re, rd, wk, "machine ordered away")
}
