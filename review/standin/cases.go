package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// cases holds the cases by name.
var cases = map[string]caseFunc{
	"foreign": caseForeign, "burst": caseBurst, "crash": caseCrash, "advice": caseAdvice, "config": caseConfig,
	"pending": casePending, "attempts": caseAttempts, "deadly": caseDeadly, "malformed": caseMalformed,
}

const (
	service = "north"
	prefix  = "/holds/"
	// The workers of a service of the deployment alokchitra-weir.
	workerCount = 8
	workerCPU   = 64_000
	workerMemMB = 131_072
	// visible and finish are the bounds visible_ms and finish_s.
	visible = 3 * time.Second
	finish  = 14 * time.Second
)

// pool holds the workers of the service, by machine.
type pool struct {
	wd      *world
	workers []*worker
	lives   int
}

// machineList returns the platform's list of machines.
func (wd *world) machineList() []map[string]any {
	list := []map[string]any{}
	for ix := range workerCount {
		list = append(list, map[string]any{
			"machine": fmt.Sprintf("m-%d", ix+1), "pool": service, "state": "up", "zone": zoneOf(ix),
			"labels": []string{"a", rackOf(ix)}, "capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0},
		})
	}
	return list
}

func zoneOf(ix int) string { return fmt.Sprintf("zone-%c", 'a'+ix%4) }
func rackOf(ix int) string { return fmt.Sprintf("r-%d", 1+ix/4) }

// life starts the next life of a machine at the address of the last one.
func (po *pool) life(ix int, id string, bornMS int64) error {
	po.lives++
	if id == "" {
		id = fmt.Sprintf("i-%d-%d", ix+1, po.lives)
	}
	wk := &worker{
		wd: po.wd, id: id, machine: fmt.Sprintf("m-%d", ix+1), service: service, addr: net.JoinHostPort(workerIP(ix), "0"),
		zone: zoneOf(ix), kind: "a", rack: rackOf(ix), cpu: workerCPU, memMB: workerMemMB, bornMS: bornMS,
	}
	if old := po.workers[ix]; old != nil {
		wk.addr, wk.kind = old.addr, old.kind
	}
	po.workers[ix] = wk
	return wk.start()
}

// newPool starts the workers. The last ones may be of another kind.
func newPool(wd *world, kindB int) (*pool, error) {
	po := &pool{wd: wd, workers: make([]*worker, workerCount)}
	for ix := range workerCount {
		if ix >= workerCount-kindB {
			po.workers[ix] = &worker{addr: net.JoinHostPort(workerIP(ix), "0"), kind: "b"}
		}
		if err := po.life(ix, "", 0); err != nil {
			return nil, err
		}
	}
	return po, nil
}

func (po *pool) indexOf(wk *worker) int {
	for ix, other := range po.workers {
		if other == wk {
			return ix
		}
	}
	return -1
}

func jobID(number int) string { return fmt.Sprintf("%016x", 0xa0000+number) }

func small(work time.Duration, count int) job {
	return job{Spec: "x", Steps: []step{{Count: count, CPU: 3500, MemMB: 256, EstimatedMS: int(work.Milliseconds()), work: work}}}
}

// setUp sends the first configuration, starts the workers and waits until a small
// job is done.
func setUp(wd *world, kindB int) (*pool, error) {
	if status, err := wd.putConfig(config(1, []string{service}, newRoute(prefix, service)), 15*time.Second); err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("first configuration: %d %w", status, err)
	}
	if err := wd.fl.markStarted(); err != nil {
		return nil, err
	}
	po, err := newPool(wd, kindB)
	if err != nil {
		return nil, err
	}
	// Longer than the stable window and the lease of an earlier leader.
	time.Sleep(6 * time.Second)
	if !wd.submit(prefix, jobID(0), small(300*time.Millisecond, 4)) || wd.awaitState(prefix, jobID(0), "done", 10*time.Second) != "done" {
		return nil, errors.New("a first small job is not done")
	}
	return po, nil
}

// caseBurst hands in one large job that fits the workers several times over. Without the
// disruption the job has a tenth of the tasks.
func caseBurst(wd *world, trouble bool) (verdict, error) {
	wd.quiet = true
	if _, err := setUp(wd, 0); err != nil {
		return verdict{}, err
	}
	count := 3000
	if !trouble {
		count = 300
	}
	large := job{Spec: "large", Steps: []step{{Count: count, CPU: 20, MemMB: 32, EstimatedMS: 1000, work: time.Second}}}
	if !wd.submit(prefix, jobID(1), large) {
		return verdict{}, errors.New("the large job is not accepted")
	}
	accepted := append([]string{jobID(0), jobID(1)}, wd.submitAll(2, 6)...)
	wd.rec.add("the traffic ends; %d jobs were accepted", len(accepted))
	time.Sleep(finish)
	return wd.askAll(prefix, accepted, 10*time.Second), nil
}

// submitAll hands in small jobs at the same time and returns those that were accepted.
func (wd *world) submitAll(first, last int) []string {
	var wg sync.WaitGroup
	ok := make([]bool, last+1)
	for number := first; number <= last; number++ {
		wg.Go(func() { ok[number] = wd.submit(prefix, jobID(number), small(300*time.Millisecond, 4)) })
	}
	wg.Wait()
	var accepted []string
	for number, yes := range ok {
		if yes {
			accepted = append(accepted, jobID(number))
		}
	}
	return accepted
}

// askAll asks for the states of accepted jobs, at one entry process after the
// other, until each is known or the time is over.
func (wd *world) askAll(prefix string, ids []string, wait time.Duration) verdict {
	var wg sync.WaitGroup
	last := make([]string, len(ids))
	until := time.Now().Add(wait)
	for ix, id := range ids {
		wg.Go(func() {
			for try := 0; (last[ix] == "" || last[ix] == "410") && time.Now().Before(until); try++ {
				last[ix] = wd.state(try%entryCount, prefix, id)
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	var missing []string
	for ix, id := range ids {
		switch last[ix] {
		case "":
			missing = append(missing, id+" gets no answer")
		case "410":
			missing = append(missing, id+" is not known")
		}
	}
	if len(missing) > 0 {
		return verdict{broken: true, what: "accepted jobs: " + strings.Join(missing, ", ")}
	}
	return verdict{what: "all accepted jobs are known"}
}

// caseCrash lets the worker that runs one task of a lasting job crash about a
// second after the task's start, twice; each time one worker of eight.
func caseCrash(wd *world, trouble bool) (verdict, error) {
	po, err := setUp(wd, 0)
	if err != nil {
		return verdict{}, err
	}
	starts := make(chan *worker, 64)
	const watched = ".0.0.0"
	wd.mu.Lock()
	wd.onStart = func(wk *worker, task string, _ int) {
		if task == jobID(1)+watched {
			starts <- wk
		}
	}
	wd.mu.Unlock()
	const tasks, mayMiss = 5, 1
	lasting := job{Spec: "lasting", Steps: []step{{Count: tasks, CPU: 5300, MemMB: 512, LongRunning: true, MayMiss: mayMiss}}}
	if !wd.submit(prefix, jobID(1), lasting) {
		return verdict{}, errors.New("the lasting job is not accepted")
	}
	for range 2 {
		if err := crashOnStart(po, starts, trouble); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(finish)
	return wd.judgeStops(jobID(1), mayMiss, wd.state(0, prefix, jobID(1))), nil
}

// crashOnStart waits for the start of the watched task. Its worker crashes a second
// later and starts again after another second and a half.
func crashOnStart(po *pool, starts chan *worker, trouble bool) error {
	if !trouble {
		time.Sleep(time.Second)
		return nil
	}
	select {
	case wk := <-starts:
		ix := po.indexOf(wk)
		time.Sleep(time.Second)
		wk.crash(false)
		time.Sleep(1500 * time.Millisecond)
		return po.life(ix, "", 0)
	case <-time.After(10 * time.Second):
		return errors.New("the lasting task is not started")
	}
}

// judgeStops looks for tasks of a lasting job that were stopped at work on a sound
// worker while as many others of their step as may be missed were away.
func (wd *world) judgeStops(id string, mayMiss int, state string) verdict {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	count := 0
	for _, sp := range wd.stops {
		if strings.HasPrefix(sp.task, id) && sp.away >= mayMiss {
			count++
		}
	}
	what := fmt.Sprintf("%d tasks at work on sound workers were stopped while %d or more others of their step were away; the job is shown as %s, though nobody cancelled it and no run ended failed", count, mayMiss, state)
	if count > 0 {
		return verdict{broken: true, what: what}
	}
	return verdict{what: "no task at work was stopped; the job is shown as " + state}
}

// casePending lets the only worker with a label fall silent for good, right before
// ten jobs that need the label are handed in.
func casePending(wd *world, trouble bool) (verdict, error) {
	po, err := setUp(wd, 1)
	if err != nil {
		return verdict{}, err
	}
	const count = 10
	if trouble {
		po.workers[workerCount-1].crash(true)
	}
	jb := small(300*time.Millisecond, 2)
	jb.Steps[0].Requires = "b"
	for number := 1; number <= count; number++ {
		if !wd.submit(prefix, jobID(number), jb) {
			return verdict{}, errors.New("a job is not accepted")
		}
	}
	time.Sleep(visible + 2*time.Second + 500*time.Millisecond)
	waiting := count
	if !trouble {
		waiting = 0
	}
	low := 0
	for try := range 6 {
		status, text := wd.caller(try%entryCount, http.MethodGet, prefix, nil)
		var pending int
		if status == http.StatusOK {
			if _, err := fmt.Sscanf(text, `{"pending":%d}`, &pending); err != nil {
				return verdict{}, err
			}
			if 2*pending < waiting {
				low++
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	what := fmt.Sprintf("%d jobs were accepted long ago and have not begun; %d of 6 answers give under half of them as pending", waiting, low)
	return verdict{broken: low > 0, what: what}, nil
}
