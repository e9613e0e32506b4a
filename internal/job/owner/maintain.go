package owner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"greengageweir/internal/job/store"

	weir "greengageweir"
)

const (
	// drainPatience is how long a machine is kept free of new tasks before
	// its maintenance, so that what runs there can end; most tasks take less.
	drainPatience = 2500 * time.Millisecond
	// machineRetry separates orders without a useful answer.
	machineRetry = 400 * time.Millisecond
	// machineTimeout is how long the platform may take to answer.
	machineTimeout = 1500 * time.Millisecond
	// drainAhead is how many machines beyond those that may be away are kept
	// free, so that the next can go at once.
	drainAhead = 1
)

// machineDuty is what a leader knows of maintenance besides the log.
type machineDuty struct {
	// cordon holds machines that get no new tasks, since when.
	cordon map[string]time.Time
	// asked is when a machine was last ordered about.
	asked map[string]time.Time
	// busy says that an order is under way.
	busy map[string]bool
	// intent holds machines whose operation is being committed.
	intent map[string]bool
	// gone holds the worker life that an operation has ended.
	gone map[string]int64
}

func newMachineDuty() *machineDuty {
	return &machineDuty{
		cordon: map[string]time.Time{}, asked: map[string]time.Time{}, busy: map[string]bool{},
		intent: map[string]bool{}, gone: map[string]int64{},
	}
}

func (md *machineDuty) cordoned(machine string) bool {
	_, ok := md.cordon[machine]
	return ok && machine != ""
}

// candidate is a machine that waits for maintenance.
type candidate struct {
	machine string
	worker  weir.InstanceID
	// work counts the runs that end by themselves, lasting those that do not.
	work     int
	lasting  int
	cordoned bool
}

// maintain carries on the waves: it keeps machines free, orders what may go
// now and repeats what was not answered.
func (ow *Owner) maintain(ctx context.Context, re *reign, now time.Time) {
	if ow.Machines == nil || now.Sub(re.since) < ow.OrderPause {
		return
	}
	var orders []weir.MachineOrder
	ow.Store.Read(func(rd store.Reader) {
		byMachine := map[string]store.Worker{}
		rd.EachWorker(func(wk store.Worker) { byMachine[wk.Machine] = wk })
		numbers := make([]int64, 0, len(rd.Waves()))
		for number, wv := range rd.Waves() {
			if !wv.Done() {
				numbers = append(numbers, number)
			}
		}
		slices.Sort(numbers)
		for _, number := range numbers {
			orders = append(orders, ow.advance(re, rd, rd.Waves()[number], byMachine, now)...)
		}
	})
	for _, order := range orders {
		re.machines.busy[order.Machine] = true
		re.machines.asked[order.Machine] = now
		go ow.orderMachine(ctx, re, order)
	}
}

// advance returns the orders of one wave that may go now.
func (ow *Owner) advance(re *reign, rd store.Reader, wv *store.Wave, byMachine map[string]store.Worker, now time.Time) []weir.MachineOrder {
	md := re.machines
	away := 0
	var repeat []weir.MachineOrder
	var waiting []candidate
	for _, machine := range wv.Machines {
		op, ordered := rd.Order(machine)
		switch {
		case md.intent[machine] && !ordered:
			away++
		case ordered && op.Wave == wv.Number:
			away++
			if !md.busy[machine] && now.Sub(md.asked[machine]) >= machineRetry {
				repeat = append(repeat, ow.machineOrder(re, machine, wv.Number))
			}
		case ordered:
		case wv.Begun[machine]:
			if !ow.back(re, byMachine[machine], machine) {
				away++
			} else {
				delete(md.cordon, machine)
			}
		default:
			waiting = append(waiting, ow.candidate(re, rd, machine, byMachine[machine]))
		}
	}
	slices.SortFunc(waiting, func(one, other candidate) int {
		return cmp.Or(-boolRank(one.cordoned)+boolRank(other.cordoned), cmp.Compare(one.work, other.work),
			cmp.Compare(one.lasting, other.lasting), cmp.Compare(one.machine, other.machine))
	})
	free := max(wv.AtOnce, 1) - away
	for ix, ca := range waiting {
		if ix >= free+drainAhead {
			break
		}
		if !ca.cordoned {
			md.cordon[ca.machine] = now
		}
	}
	ow.begin(re, rd, wv, waiting, free, now)
	return repeat
}

// begin commits the intent for machines that may go; the order follows once
// the intent is in the state.
func (ow *Owner) begin(re *reign, rd store.Reader, wv *store.Wave, waiting []candidate, free int, now time.Time) {
	md := re.machines
	for _, ca := range waiting {
		if free <= 0 {
			break
		}
		since, ok := md.cordon[ca.machine]
		if !ok || md.busy[ca.machine] {
			continue
		}
		if ca.work > 0 && now.Sub(since) < drainPatience {
			continue
		}
		if !ow.mayDisrupt(re, rd, ca.worker) {
			continue
		}
		free--
		md.asked[ca.machine] = time.Time{}
		op := store.MachineOperation{Machine: ca.machine, Wave: wv.Number}
		_ = ow.Logger.Log("level", "info", "msg", "maintenance begins", "machine", ca.machine, "worker", ca.worker,
			"wave", wv.Number, "runs", ca.work, "lasting", ca.lasting)
		md.intent[ca.machine] = true
		done := func([]store.Answer, error) {
			ow.mu.Lock()
			delete(md.intent, ca.machine)
			ow.mu.Unlock()
		}
		if !ow.Committer.Submit([]store.Change{{Machine: &op}}, done) {
			delete(md.intent, ca.machine)
		}
	}
}

func boolRank(val bool) int {
	if val {
		return 1
	}
	return 0
}

func (ow *Owner) machineOrder(re *reign, machine string, wave int64) weir.MachineOrder {
	return weir.MachineOrder{Machine: machine, Holder: ow.HolderName, Token: re.term, Wave: wave}
}

// back reports whether a machine runs a worker again after its maintenance.
func (ow *Owner) back(re *reign, wk store.Worker, machine string) bool {
	if wk.ID == "" || re.machines.gone[machine] == wk.Born {
		return false
	}
	at := re.sessions[wk.ID]
	return at != nil && at.worker.Born == wk.Born && at.ss.Usable()
}

func (ow *Owner) candidate(re *reign, rd store.Reader, machine string, wk store.Worker) candidate {
	ca := candidate{machine: machine, worker: wk.ID, cordoned: re.machines.cordoned(machine)}
	for key := range rd.Runs(wk.ID) {
		if rd.Job(key.Task.Job).Spec.Steps[key.Task.Step].Lasting {
			ca.lasting++
		} else {
			ca.work++
		}
	}
	return ca
}

// mayDisrupt reports whether ending all that runs at a worker leaves no step
// with more of its lasting tasks away than it allows. A task counts as away
// unless its worker lists it at full work.
func (ow *Owner) mayDisrupt(re *reign, rd store.Reader, id weir.InstanceID) bool {
	steps := map[weir.TaskRef]int{}
	for key := range rd.Runs(id) {
		js := rd.Job(key.Task.Job)
		if !js.Phase.Over() && js.Spec.Steps[key.Task.Step].MaxAway > 0 {
			steps[key.Task.StepRef()]++
		}
	}
	for ref, here := range steps {
		js := rd.Job(ref.Job)
		away := here - 1
		for ix := range js.Rounds[ref.Occurrence][ref.Step].Tasks {
			tk := &js.Rounds[ref.Occurrence][ref.Step].Tasks[ix]
			ref.Index = ix
			if tk.Worker != id && !ow.atWork(re, rd, weir.RunKey{Task: ref, Run: tk.Run}, tk.Worker) {
				away++
			}
		}
		if away >= js.Spec.Steps[ref.Step].MaxAway {
			return false
		}
	}
	return true
}

// atWork reports whether a lasting task works at a worker that no planned work
// is about to end.
func (ow *Owner) atWork(re *reign, rd store.Reader, key weir.RunKey, id weir.InstanceID) bool {
	at := re.sessions[id]
	if at == nil || re.machines.intent[at.worker.Machine] {
		return false
	}
	if _, ordered := rd.Order(at.worker.Machine); ordered {
		return false
	}
	return at.ss.AtWork(key)
}

// orderMachine sends one order and records its answer.
func (ow *Owner) orderMachine(ctx context.Context, re *reign, order weir.MachineOrder) {
	defer ow.Wake()
	callCtx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	if !ow.Lead.Leads() {
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
		op.Begun = true
	case weir.MachineRefused:
		op.Void = true
	default:
		op = nil
	}
	ow.machineDone(re, order, op)
}

func (ow *Owner) machineDone(re *reign, order weir.MachineOrder, op *store.MachineOperation) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	delete(re.machines.busy, order.Machine)
	if op == nil || ow.reign != re {
		return
	}
	changes := []store.Change{{Machine: op}}
	if op.Begun {
		ow.Store.Read(func(rd store.Reader) {
			rd.EachWorker(func(wk store.Worker) {
				if wk.Machine == order.Machine {
					re.machines.gone[order.Machine] = wk.Born
					changes = append(changes, store.Change{Leave: &store.Leave{ID: wk.ID, Born: wk.Born, Reason: "maintenance"}})
				}
			})
		})
	}
	if !ow.Committer.Submit(changes, func([]store.Answer, error) {}) {
		_ = ow.Logger.Log("level", "warn", "msg", "operation not recorded", "machine", order.Machine)
	}
}
