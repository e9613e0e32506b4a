package fleet

import (
	"context"
	"strconv"
	"time"

	"greengageweir/internal/job/spec"
	"greengageweir/internal/job/store"

	weir "greengageweir"
)

// run is one run at a worker.
type run struct {
	began  time.Time
	from   time.Duration // work done before, from the checkpoint
	length time.Duration
	lasts  bool
	need   spec.Need
	timer  *time.Timer
}

// worked is the work that a run has done.
func (rn *run) worked(now time.Time) time.Duration { return rn.from + now.Sub(rn.began) }

func (rn *run) percent(now time.Time) int {
	if rn.lasts {
		return int(min(full, full*now.Sub(rn.began)/startup))
	}
	return int(min(full, full*rn.worked(now)/max(rn.length, 1)))
}

// worker is one life of a machine's worker; the fleet's lock guards it.
type worker struct {
	fleet   *Fleet
	machine *machine
	origin  time.Time
	runs    map[weir.RunKey]*run
	// last is the highest run of each task that was stopped or has ended.
	last   map[weir.TaskRef]int
	used   spec.Need
	ends   []weir.RunEnd
	number int64
	ended  chan struct{} // closed with the next end
	gone   bool
}

func (wk *worker) end(key weir.RunKey, how store.How, checkpoint string) {
	wk.fleet.sample()
	rn := wk.runs[key]
	rn.timer.Stop()
	delete(wk.runs, key)
	wk.used = wk.used.Minus(rn.need)
	wk.last[key.Task] = max(wk.last[key.Task], key.Run)
	wk.number++
	wk.ends = append(wk.ends, weir.RunEnd{RunKey: key, Number: wk.number, How: string(how), Checkpoint: checkpoint})
	close(wk.ended)
	wk.ended = make(chan struct{})
}

// at finds a worker after the way there. The lock is held where it is found.
func (fl *Fleet) at(life weir.WorkerLife) (*worker, error) {
	time.Sleep(oneWay)
	fl.mu.Lock()
	wk := fl.workers[life.ID]
	if wk == nil {
		fl.mu.Unlock()
		return nil, &Error{Op: "order to " + string(life.ID), Kind: KindSilent}
	}
	return wk, nil
}

// back ends the use of a worker and lets the answer's way pass.
func (fl *Fleet) back() {
	fl.mu.Unlock()
	time.Sleep(oneWay)
}

func (wk *worker) clock() time.Duration { return wk.fleet.Clock.Now().Sub(wk.origin) }

// Start implements weir.TaskWorkers.
func (fl *Fleet) Start(_ context.Context, life weir.WorkerLife, order weir.RunOrder) (weir.OrderAnswer, error) {
	wk, err := fl.at(life)
	if err != nil {
		return weir.OrderAnswer{}, err
	}
	defer fl.back()
	ans := weir.OrderAnswer{Clock: wk.clock()}
	need := fl.Need(order.Task)
	switch {
	case wk.runs[order.RunKey] != nil:
	case order.Run <= wk.last[order.Task]:
		ans.Refusal = weir.RefusedOld
	case !need.Fits(wk.machine.Room.Minus(wk.used)):
		ans.Refusal = weir.RefusedRoom
		fl.counted.Refused++
	default:
		wk.start(order, need)
	}
	return ans, nil
}

func (wk *worker) start(order weir.RunOrder, need spec.Need) {
	fl := wk.fleet
	fl.sample()
	length, ends := fl.Length(order.Task)
	rn := &run{began: fl.Clock.Now(), length: length, lasts: !ends, need: need}
	if nanos, err := strconv.ParseInt(order.Checkpoint, 10, 64); err == nil {
		rn.from = time.Duration(nanos)
	}
	wk.runs[order.RunKey] = rn
	wk.used = wk.used.Plus(need)
	fl.counted.Started++
	if fl.Began != nil {
		fl.Began(order.Task, rn.began)
	}
	left := length - rn.from
	if rn.lasts {
		left = time.Duration(1<<63 - 1)
	}
	rn.timer = time.AfterFunc(left, func() {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		if wk.runs[order.RunKey] == rn {
			wk.end(order.RunKey, store.EndDone, "")
		}
	})
}

// Stop implements weir.TaskWorkers.
func (fl *Fleet) Stop(_ context.Context, life weir.WorkerLife, key weir.RunKey, _ uint64) (weir.OrderAnswer, error) {
	wk, err := fl.at(life)
	if err != nil {
		return weir.OrderAnswer{}, err
	}
	defer fl.back()
	if rn := wk.runs[key]; rn != nil {
		wk.end(key, store.EndStopped, strconv.FormatInt(int64(rn.worked(fl.Clock.Now())), 10))
	}
	wk.last[key.Task] = max(wk.last[key.Task], key.Run)
	return weir.OrderAnswer{Clock: wk.clock()}, nil
}

// Pace implements weir.TaskWorkers; tasks of the stand-in disturb nobody.
func (fl *Fleet) Pace(_ context.Context, life weir.WorkerLife, _ weir.RunKey, _ int, _ uint64) (weir.OrderAnswer, error) {
	wk, err := fl.at(life)
	if err != nil {
		return weir.OrderAnswer{}, err
	}
	defer fl.back()
	return weir.OrderAnswer{Clock: wk.clock()}, nil
}

// Renew implements weir.TaskWorkers.
func (fl *Fleet) Renew(ctx context.Context, life weir.WorkerLife, order weir.RenewOrder) (weir.WorkerReport, error) {
	wk, err := fl.at(life)
	if err != nil {
		return weir.WorkerReport{}, err
	}
	for len(wk.ends) > 0 && wk.ends[0].Number <= order.Acknowledged {
		wk.ends = wk.ends[1:]
	}
	if len(wk.ends) == 0 && order.Wait > 0 {
		ended := wk.ended
		fl.mu.Unlock()
		timer := time.NewTimer(order.Wait)
		select {
		case <-ended:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		fl.mu.Lock()
	}
	if wk.gone {
		fl.mu.Unlock()
		return weir.WorkerReport{}, &Error{Op: "renew " + string(life.ID), Kind: KindSilent}
	}
	defer fl.back()
	return wk.report(), nil
}

func (wk *worker) report() weir.WorkerReport {
	now := wk.fleet.Clock.Now()
	rep := weir.WorkerReport{Clock: wk.clock(), Ends: append([]weir.RunEnd(nil), wk.ends...)}
	for key, rn := range wk.runs {
		rep.Running = append(rep.Running, weir.RunningTask{
			RunKey: key, Percent: rn.percent(now), Checkpoint: strconv.FormatInt(int64(rn.worked(now).Truncate(time.Second)), 10),
		})
	}
	return rep
}

// Forget implements weir.TaskWorkers.
func (fl *Fleet) Forget(string) {}
