package owner

import (
	"cmp"
	"context"
	"math"
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
	// wavePatience is the time that a wave's pace allows for each machine: its
	// drain, its maintenance and as much again, twice.
	wavePatience = 9 * time.Second
	// tellEvery separates lines about maintenance that has to wait.
	tellEvery = time.Second
	// drainAhead is how many machines beyond those that may be away are kept
	// free, so that the next can go at once.
	drainAhead = 1
	// lastingAhead is how many machines with lasting tasks of one pool are
	// kept free at a time: one that goes and the next.
	lastingAhead = 2
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
}

func newMachineDuty() *machineDuty {
	return &machineDuty{
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
	_, ordered := rd.Order(machine)
	return ordered || md.cordoned(machine) || md.intent[machine] || md.leaving[machine]
}

// candidate is a machine that waits for maintenance.
type candidate struct {
	machine string
	worker  weir.InstanceID
	pool    weir.PoolName
	// work counts the runs that end by themselves, lasting those that do not.
	work     int
	lasting  int
	cordoned bool
}

// maintain carries on what is asked of machines: it repeats orders that were
// not answered, begins maintenance that may begin, and moves machines.
func (ow *Owner) maintain(ctx context.Context, re *reign, now time.Time) {
	if ow.Machines == nil {
		return
	}
	ow.list(ctx, re, now)
	md := re.machines
	var orders []weir.MachineOrder
	ow.Store.Read(func(rd store.Reader) {
		orders = ow.unanswered(re, rd, now)
		byMachine := map[string]store.Worker{}
		rd.EachWorker(func(wk store.Worker) { byMachine[wk.Machine] = wk })
		numbers := make([]int64, 0, len(rd.Waves()))
		for number, wv := range rd.Waves() {
			if !wv.Done() || md.cordonsAny(wv) {
				numbers = append(numbers, number)
			}
		}
		slices.Sort(numbers)
		for _, number := range numbers {
			ow.advance(re, rd, rd.Waves()[number], byMachine, now)
		}
		ow.balance(re, rd, byMachine, now)
	})
	for _, order := range orders {
		md.busy[order.Machine] = true
		md.asked[order.Machine] = now
		go ow.orderMachine(ctx, re, order)
	}
}

// myTurn reports whether this leader may order a machine about: it did so
// last, or an earlier leader's last order is long enough ago. An order that
// is not known to be done may have been repeated until the election.
func (ow *Owner) myTurn(re *reign, rd store.Reader, machine string, now time.Time) bool {
	if re.machines.mine[machine] {
		return true
	}
	last := rd.OrderedAt(machine)
	if _, open := rd.Order(machine); open && last.Before(re.since) {
		last = re.since
	}
	return now.Sub(last) >= ow.OrderPause
}

// unanswered lists the orders that are committed and not known to be done.
func (ow *Owner) unanswered(re *reign, rd store.Reader, now time.Time) []weir.MachineOrder {
	md := re.machines
	var orders []weir.MachineOrder
	rd.EachOrder(func(op store.MachineOperation) {
		if !md.busy[op.Machine] && now.Sub(md.asked[op.Machine]) >= machineRetry && ow.myTurn(re, rd, op.Machine, now) {
			orders = append(orders, weir.MachineOrder{
				Machine: op.Machine, Holder: ow.HolderName, Token: re.term, Wave: op.Wave, Pool: op.Pool,
			})
		}
	})
	return orders
}

// advance begins what may begin of one wave.
func (ow *Owner) advance(re *reign, rd store.Reader, wv *store.Wave, byMachine map[string]store.Worker, now time.Time) {
	md := re.machines
	away := 0
	var waiting []candidate
	for _, machine := range wv.Machines {
		op, ordered := rd.Order(machine)
		switch {
		case ordered && op.Wave == wv.Number:
			away++
		case md.intent[machine] && !ordered && !wv.Begun[machine]:
			away++
		case ordered:
		case wv.Begun[machine]:
			if ow.back(re, byMachine[machine], machine) {
				delete(md.cordon, machine)
			} else {
				away++
			}
		default:
			waiting = append(waiting, ow.candidate(re, rd, machine, byMachine[machine]))
		}
	}
	free := waveWidth(len(waiting), wv.AtOnce, wv.Deadline.Sub(ow.Wall.Now()), md.short) - away
	sortCandidates(waiting)
	for _, machine := range toDrain(waiting, free+drainAhead) {
		md.cordon[machine] = now
	}
	ow.begin(re, rd, wv, waiting, free, now)
}

// sortCandidates puts machines with lasting tasks first: they have to wait for
// each other, so they hold a wave up if they start late.
func sortCandidates(waiting []candidate) {
	slices.SortFunc(waiting, func(one, other candidate) int {
		return cmp.Or(boolRank(other.cordoned)-boolRank(one.cordoned), boolRank(other.lasting > 0)-boolRank(one.lasting > 0),
			cmp.Compare(one.work, other.work), cmp.Compare(one.lasting, other.lasting), cmp.Compare(one.machine, other.machine))
	})
}

// toDrain returns the machines that are to be kept free of new tasks besides
// those that are: at most width without lasting tasks, and of those with
// lasting tasks lastingAhead a pool, as more of them could not go at once.
func toDrain(waiting []candidate, width int) []string {
	var out []string
	plain, lasting := 0, map[weir.PoolName]int{}
	for _, ca := range waiting {
		switch {
		case ca.lasting > 0 && lasting[ca.pool] < lastingAhead:
			lasting[ca.pool]++
		case ca.lasting == 0 && plain < width:
			plain++
		default:
			continue
		}
		if !ca.cordoned {
			out = append(out, ca.machine)
		}
	}
	return out
}

// waveWidth returns how many machines of a wave may be away at a time. While
// pools lack machines it is what the deadline asks for, with some to spare.
func waveWidth(waiting, atOnce int, left time.Duration, short bool) int {
	atOnce = max(atOnce, 1)
	if !short || left <= 0 {
		return atOnce
	}
	needed := math.Ceil(float64(waiting) * wavePatience.Seconds() / left.Seconds())
	return min(atOnce, max(int(needed), 1))
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
		if !ok || md.busy[ca.machine] || !ow.myTurn(re, rd, ca.machine, now) {
			continue
		}
		if ca.work > 0 && (now.Sub(since) < drainPatience || ow.save(re, rd, ca.worker)) {
			continue
		}
		if step, away := ow.blocked(re, rd, ca.worker); step != nil {
			if now.Sub(since) > drainPatience && now.Sub(md.toldAt) > tellEvery {
				md.toldAt = now
				ow.spread(re, rd, ca.worker, *step)
				_ = ow.Logger.Log("level", "info", "msg", "maintenance waits", "machine", ca.machine, "worker", ca.worker,
					"wave", wv.Number, "job", step.Job, "step", step, "away", away)
			}
			continue
		}
		free--
		md.asked[ca.machine] = time.Time{}
		op := store.MachineOperation{Machine: ca.machine, Wave: wv.Number}
		_ = ow.Logger.Log("level", "info", "msg", "maintenance begins", "machine", ca.machine, "worker", ca.worker,
			"wave", wv.Number, "runs", ca.work, "lasting", ca.lasting)
		ow.intend(re, op)
	}
}

// save stops what can resume elsewhere from where it is. It reports whether
// such runs are left.
func (ow *Owner) save(re *reign, rd store.Reader, id weir.InstanceID) bool {
	left := false
	for key := range rd.Runs(id) {
		step := rd.Job(key.Task.Job).Spec.Steps[key.Task.Step]
		if step.Checkpointing && !step.Lasting {
			ow.evict(re, id, key)
			left = true
		}
	}
	return left
}

// spread stops one of several lasting tasks of a step at one worker, so that
// it goes on elsewhere and the worker can do without the others.
func (ow *Owner) spread(re *reign, rd store.Reader, id weir.InstanceID, step weir.TaskRef) {
	var here []weir.RunKey
	for key := range rd.Runs(id) {
		if key.Task.StepRef() == step {
			here = append(here, key)
		}
	}
	if len(here) < 2 || ow.away(re, rd, id, step) > 0 {
		return
	}
	ow.evict(re, id, here[0])
}

func (ow *Owner) evict(re *reign, id weir.InstanceID, key weir.RunKey) {
	if re.evicted[key] {
		return
	}
	re.evicted[key] = true
	re.sessions[id].dirty = true
	ow.Wake()
	_ = ow.Logger.Log("level", "info", "msg", "run evicted", "job", key.Task.Job, "task", key.Task, "run", key.Run, "worker", id)
}

// intend commits that a machine is to be ordered about; the order follows once
// the state says so.
func (ow *Owner) intend(re *reign, op store.MachineOperation) {
	md := re.machines
	md.intent[op.Machine] = true
	md.mine[op.Machine] = true
	done := func([]store.Answer, error) {
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
func (ow *Owner) back(re *reign, wk store.Worker, machine string) bool {
	md := re.machines
	if wk.ID == "" {
		mc := md.listed[machine]
		return mc.State == weir.MachineUp && md.listedAt.After(md.answered[machine])
	}
	if md.gone[machine] == wk.Born {
		return false
	}
	at := re.sessions[wk.ID]
	return at != nil && at.worker.Born == wk.Born && at.ss.Usable()
}

func (ow *Owner) candidate(re *reign, rd store.Reader, machine string, wk store.Worker) candidate {
	ca := candidate{machine: machine, worker: wk.ID, pool: wk.Pool, cordoned: re.machines.cordoned(machine)}
	for key := range rd.Runs(wk.ID) {
		if rd.Job(key.Task.Job).Spec.Steps[key.Task.Step].Lasting {
			ca.lasting++
		} else {
			ca.work++
		}
	}
	return ca
}

// blocked names a step of which more lasting tasks would be away than it
// allows if all that runs at a worker ended, and how many are away already; it
// is nil where there is none. A task counts as away unless its worker lists it
// at full work.
func (ow *Owner) blocked(re *reign, rd store.Reader, id weir.InstanceID) (step *weir.TaskRef, away int) {
	steps := map[weir.TaskRef]int{}
	for key := range rd.Runs(id) {
		js := rd.Job(key.Task.Job)
		if !js.Phase.Over() && js.Spec.Steps[key.Task.Step].MaxAway > 0 {
			steps[key.Task.StepRef()]++
		}
	}
	for ref, here := range steps {
		away = here - 1 + ow.away(re, rd, id, ref)
		if away >= rd.Job(ref.Job).Spec.Steps[ref.Step].MaxAway {
			return &ref, away
		}
	}
	return nil, 0
}

// away counts the tasks of a step that are neither at a worker nor at work
// elsewhere.
func (ow *Owner) away(re *reign, rd store.Reader, id weir.InstanceID, step weir.TaskRef) int {
	count := 0
	tasks := rd.Job(step.Job).Rounds[step.Occurrence][step.Step].Tasks
	for ix := range tasks {
		tk := &tasks[ix]
		step.Index = ix
		key := weir.RunKey{Task: step, Run: tk.Run}
		if re.evicted[key] || (tk.Worker != id && !ow.atWork(re, rd, key, tk.Worker)) {
			count++
		}
	}
	return count
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
		re.machines.answered[order.Machine] = ow.Clock.Now()
		if order.Pool != "" {
			re.machines.sent[order.Machine] = sentTo{pool: order.Pool, at: ow.Clock.Now()}
		}
		ow.Store.Read(func(rd store.Reader) {
			rd.EachWorker(func(wk store.Worker) {
				if wk.Machine == order.Machine {
					re.machines.gone[order.Machine] = wk.Born
					changes = append(changes, ow.leave(re, rd, wk, "machine ordered away")...)
				}
			})
		})
	}
	if !ow.Committer.Submit(changes, func([]store.Answer, error) {}) {
		_ = ow.Logger.Log("level", "warn", "msg", "operation not recorded", "machine", order.Machine)
	}
}
