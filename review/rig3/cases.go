package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	queue    = "bookings"
	oneJob   = "5c0e7a21d94b36f8"
	otherJob = "93a1c07be2d5f648"
	startMax = 15 * time.Second
	// finishTime is the bound finish_s: how long after the traffic unfinished jobs are
	// asked for. calmTime is for how long nothing of one may run then.
	finishTime = 14 * time.Second
	calmTime   = 3 * time.Second
)

func step(count int, more map[string]any) map[string]any {
	st := map[string]any{"count": count, "cpu": 1000, "mem_mb": 256, "estimated_ms": 5000}
	for name, value := range more {
		st[name] = value
	}
	return st
}

// rebornFleet is the number of workers of which one is cut off: a share of 0.167, where
// the site has 0.17.
const rebornFleet = 6

// begin configures one queue and starts a fleet of workers, with a platform that lists
// no machines.
func (pl *play) begin(workers int) error {
	cl := &cloud{pl: pl}
	if err := pl.serve(pl.ad.Cloud, cl.routes()); err != nil {
		return err
	}
	if err := pl.putConfig(1, route(queue)); err != nil {
		return err
	}
	return pl.startFleet(workers)
}

// beginMachines is begin with a platform that lists the machines of the workers.
func (pl *play) beginMachines(workers int) (*cloud, error) {
	cl := &cloud{pl: pl}
	if err := pl.serve(pl.ad.Cloud, cl.routes()); err != nil {
		return nil, err
	}
	if err := pl.putConfig(1, route(queue)); err != nil {
		return nil, err
	}
	if err := pl.startFleet(workers); err != nil {
		return nil, err
	}
	cl.add(pl.workers...)
	return cl, nil
}

// foreignBeat sends one heartbeat of another writer, without the fields that
// describe a worker, that names the address of a worker that is at work.
func foreignBeat(pl *play) ([]string, error) {
	if err := pl.begin(3); err != nil {
		return nil, err
	}
	if err := pl.submit("15s", step(1, map[string]any{"estimated_ms": 15000})); err != nil {
		return nil, err
	}
	task := taskName(0)
	rn, err := pl.awaitRun(task)
	if err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if pl.trouble {
		wk := pl.worker(rn.worker)
		body := map[string]any{"service": service, "address": wk.addr, "zone": "zone-a", "version": "v1", "state": "ready", "seq": 1, "born": now().UnixMilli()}
		status, text, err := pl.call(http.MethodPut, pl.ad.Control[0], "", "/-/instances/i-other", body)
		pl.rec.note("heartbeat of i-other with the address of %s, without capacity and labels: %d %s %v", wk.id, status, text, err)
	}
	time.Sleep(8 * time.Second)
	return pl.doubles(task), nil
}

// doubles returns the pairs of runs of a task that were at work at the same time.
func (pl *play) doubles(task string) []string {
	var out []string
	runs := pl.runsOf(task)
	for ix, one := range runs {
		for _, other := range runs[ix+1:] {
			if one.ended.IsZero() || one.ended.After(other.started) {
				out = append(out, fmt.Sprintf("TWICE: run %d on %s and run %d on %s of task %s at the same time", one.number, one.worker, other.number, other.worker, task))
			}
		}
	}
	return out
}

// rebornLate leaves one start unanswered and cuts its worker off, which crashes behind the
// cut and starts again under its id. The start is carried out 5 s after it was sent.
func rebornLate(pl *play) ([]string, error) {
	if err := pl.begin(rebornFleet); err != nil {
		return nil, err
	}
	time.Sleep(10 * time.Second)
	pl.mu.Lock()
	pl.lateNext = pl.trouble
	pl.mu.Unlock()
	if err := pl.submit("8s", step(1, map[string]any{"estimated_ms": 8000})); err != nil {
		return nil, err
	}
	if !pl.trouble {
		time.Sleep(12 * time.Second)
		return pl.doubles(taskName(0)), nil
	}
	od, id, err := pl.awaitLate()
	if err != nil {
		return nil, err
	}
	sent := now()
	after := func(span time.Duration) { time.Sleep(sent.Add(span).Sub(now())) }
	wk := pl.worker(id)
	after(200 * time.Millisecond)
	wk.setCut(true)
	after(time.Second)
	wk.crash()
	after(2 * time.Second)
	next, err := pl.startWorker(wk.id, wk.machine, wk.addr)
	if err != nil {
		return nil, err
	}
	next.setCut(true)
	after(5 * time.Second)
	status, body := next.apply(*od, next.start)
	pl.rec.note("worker %s carries out the late start of task %s run %d: %d %v", id, od.Task, od.Run, status, body)
	after(5700 * time.Millisecond)
	next.setCut(false)
	go next.announceLoop()
	after(14 * time.Second)
	return pl.doubles(taskName(0)), nil
}

// rebornNoted is like rebornLate with a short task, which ends on the new life before the
// leader starts it elsewhere, and a late call to hold that acknowledges an end of the life
// before.
func rebornNoted(pl *play) ([]string, error) {
	if err := pl.begin(rebornFleet); err != nil {
		return nil, err
	}
	time.Sleep(10 * time.Second)
	pl.mu.Lock()
	pl.lateHoldNext = pl.trouble
	pl.mu.Unlock()
	if err := pl.submitJob(otherJob, "500ms", step(1, map[string]any{"estimated_ms": 500})); err != nil {
		return nil, err
	}
	for until := now().Add(startMax); now().Before(until) && !pl.ended(otherTask); {
		time.Sleep(pollPause)
	}
	time.Sleep(2 * pollPause)
	pl.mu.Lock()
	pl.lateNext = pl.trouble
	pl.mu.Unlock()
	if err := pl.submit("700ms", step(1, map[string]any{"estimated_ms": 700})); err != nil {
		return nil, err
	}
	if pl.trouble {
		if err := pl.rebirth(); err != nil {
			return nil, err
		}
	}
	time.Sleep(8 * time.Second)
	return append(pl.doubles(taskName(0)), pl.startsAfterDone(taskName(0))...), nil
}

// rebirth cuts off the worker that a start was sent to, and has it crash, start again
// and carry out both late calls.
func (pl *play) rebirth() error {
	od, id, err := pl.awaitLate()
	if err != nil {
		return err
	}
	sent := now()
	after := func(span time.Duration) { time.Sleep(sent.Add(span).Sub(now())) }
	wk := pl.worker(id)
	after(100 * time.Millisecond)
	wk.setCut(true)
	after(500 * time.Millisecond)
	wk.crash()
	after(1200 * time.Millisecond)
	next, err := pl.startWorker(wk.id, wk.machine, wk.addr)
	if err != nil {
		return err
	}
	next.setCut(true)
	after(2100 * time.Millisecond)
	status, _ := next.apply(*od, next.start)
	pl.rec.note("worker %s carries out the late start of task %s run %d: %d", id, od.Task, od.Run, status)
	after(3200 * time.Millisecond)
	pl.mu.Lock()
	hold := pl.lateHold
	pl.mu.Unlock()
	if hold == nil {
		return errors.New("no call to hold acknowledged an end")
	}
	hold.Wait = 0
	status, _ = next.apply(*hold, next.hold)
	pl.rec.note("worker %s carries out the late hold with ack_cursor %d: %d", id, hold.Ack, status)
	after(5600 * time.Millisecond)
	next.setCut(false)
	go next.announceLoop()
	return nil
}

// ended reports whether a run of a task has ended.
func (pl *play) ended(task string) bool {
	runs := pl.runsOf(task)
	return len(runs) > 0 && !runs[0].ended.IsZero()
}

// startsAfterDone returns the runs of a task that started after another had ended done,
// if that end was taken note of.
func (pl *play) startsAfterDone(task string) []string {
	var out []string
	runs := pl.runsOf(task)
	for _, one := range runs {
		for _, other := range runs {
			if one.how == "done" && one.noted && other.started.After(one.ended) {
				out = append(out, fmt.Sprintf("TWICE: run %d on %s of task %s started after run %d on %s had ended done, which was taken note of", other.number, other.worker, task, one.number, one.worker))
			}
		}
	}
	return out
}

// restartCrash kills the worker of a task that lasts. It starts again under its id,
// announces itself, and is lost for good.
func restartCrash(pl *play) ([]string, error) {
	if err := pl.begin(3); err != nil {
		return nil, err
	}
	if err := pl.submit(lasting, step(1, map[string]any{"long_running": true})); err != nil {
		return nil, err
	}
	task := taskName(0)
	rn, err := pl.awaitRun(task)
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if !pl.trouble {
		time.Sleep(10 * time.Second)
		if pl.atWork(task) == nil {
			return []string{"LOST: the task is not at work"}, nil
		}
		return nil, nil
	}
	wk := pl.worker(rn.worker)
	wk.crash()
	time.Sleep(time.Second)
	next, err := pl.startWorker(wk.id, wk.machine, wk.addr)
	if err != nil {
		return nil, err
	}
	pl.rec.note("heartbeat of %s acknowledged: %v", next.id, next.announce())
	next.crash()
	lost, ended := now(), pl.runsOf(task)[0].ended
	// The rule holds from 6 s after the last run, and if 4 s before the 3 s are calm.
	from := lost.Add(4 * time.Second)
	if later := ended.Add(6 * time.Second); later.After(from) {
		from = later
	}
	var breaks []string
	for now().Before(lost.Add(40 * time.Second)) {
		if rn := pl.atWork(task); rn != nil {
			pl.rec.note("task %s is at work again, %.1f s after the worker was lost", task, rn.started.Sub(lost).Seconds())
			break
		}
		if len(breaks) == 0 && now().Sub(from) > calmTime {
			breaks = append(breaks, "LOST: the task has had no run for 3 s, 4 s after the last disruption and 6 s after its last run, with two idle workers")
			pl.rec.note("3 s without a run")
		}
		time.Sleep(pollPause)
	}
	return breaks, nil
}

// adviserPage lets the policy of a queue allow five of 110 workers.
func adviserPage(pl *play) ([]string, error) {
	const workers, allowed = 110, 5
	good := func(id string) bool { return id > fmt.Sprintf("i-%03d", workers-allowed) }
	if !pl.trouble {
		good = func(id string) bool { return id <= fmt.Sprintf("i-%03d", allowed) }
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/advise", func(wr http.ResponseWriter, req *http.Request) {
		var in struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if json.NewDecoder(req.Body).Decode(&in) != nil || len(in.Workers) > 100 {
			wr.WriteHeader(http.StatusBadRequest)
			return
		}
		rows := [][]string{}
		for _, id := range in.Workers {
			if good(id) {
				rows = append(rows, []string{id, "ticket-" + id})
			}
		}
		time.Sleep(20 * time.Millisecond)
		pl.rec.note("advice on step %s and %d workers: %d are good", in.Step, len(in.Workers), len(rows))
		wr.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(wr).Encode(map[string]any{"good": rows, "validity_ms": 5000})
	})
	if err := pl.serve(pl.ad.Advice, mux); err != nil {
		return nil, err
	}
	rt := route(queue)
	rt["advice"] = map[string]any{"decide_ms": 10, "each_ms": 0.1, "validity_ms": 5000}
	cl := &cloud{pl: pl}
	if err := pl.serve(pl.ad.Cloud, cl.routes()); err != nil {
		return nil, err
	}
	if err := pl.putConfig(1, rt); err != nil {
		return nil, err
	}
	if err := pl.startFleet(workers); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if err := pl.submit("1s", step(1, map[string]any{"estimated_ms": 1000})); err != nil {
		return nil, err
	}
	return pl.neverRuns(taskName(0))
}

// neverRuns waits for the time after which unfinished jobs are asked for, and for 3 s
// more.
func (pl *play) neverRuns(task string) ([]string, error) {
	time.Sleep(finishTime)
	for until := now().Add(calmTime); now().Before(until); time.Sleep(pollPause) {
		if len(pl.runsOf(task)) > 0 {
			return nil, nil
		}
	}
	return []string{fmt.Sprintf("LOST: task %s of an accepted job has not begun %s after it was its turn, with idle workers", task, finishTime+calmTime)}, nil
}

// blockedUpkeep makes one of two machines due for upkeep after the worker of the other
// was lost, and hands in a job that the first has room for.
func blockedUpkeep(pl *play) ([]string, error) {
	if _, err := pl.beginMachines(2); err != nil {
		return nil, err
	}
	if err := pl.submit(lasting, step(2, map[string]any{"long_running": true, "may_miss": 1, "anti_affinity": 1})); err != nil {
		return nil, err
	}
	for index := range 2 {
		if _, err := pl.awaitRun(taskName(index)); err != nil {
			return nil, err
		}
	}
	if pl.trouble {
		pl.worker("i-002").crash()
	}
	time.Sleep(6 * time.Second)
	wave := map[string]any{"wave": 1, "machines": []string{"m-001"}, "deadline_s": 26, "cap": 1}
	if err := pl.toControl(http.MethodPost, "/-/wave-start", wave); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	if err := pl.submitJob(otherJob, "1s", step(1, map[string]any{"estimated_ms": 1000})); err != nil {
		return nil, err
	}
	return pl.neverRuns(otherTask)
}

// dottedID hands in a job whose id has a dot, and later an ordinary job.
func dottedID(pl *play) ([]string, error) {
	if err := pl.begin(3); err != nil {
		return nil, err
	}
	id := oneJob
	if pl.trouble {
		id = "5c0e7a21.94b36f8"
	}
	body := map[string]any{"spec": "1s", "steps": []map[string]any{step(1, map[string]any{"estimated_ms": 1000})}}
	status, text, err := pl.call(http.MethodPost, pl.ad.Front, queue+".example", "/"+queue+"/"+id, body)
	pl.rec.note("job %s: %d %s %v", id, status, text, err)
	time.Sleep(20 * time.Second)
	if err := pl.submitJob(otherJob, "1s", step(1, map[string]any{"estimated_ms": 1000})); err != nil {
		return nil, err
	}
	return pl.neverRuns(otherTask)
}

// onlyMachine makes the only machine of its kind due for upkeep, which runs both tasks
// of a step of which one may be away.
func onlyMachine(pl *play) ([]string, error) {
	cl, err := pl.beginMachines(3)
	if err != nil {
		return nil, err
	}
	if err := pl.submit(lasting, step(2, map[string]any{"long_running": true, "may_miss": 1, "requires": firstKind})); err != nil {
		return nil, err
	}
	for index := range 2 {
		if _, err := pl.awaitRun(taskName(index)); err != nil {
			return nil, err
		}
	}
	time.Sleep(5 * time.Second)
	if pl.trouble {
		wave := map[string]any{"wave": 1, "machines": []string{"m-001"}, "deadline_s": 26, "cap": 1}
		if err := pl.toControl(http.MethodPost, "/-/wave-start", wave); err != nil {
			return nil, err
		}
	}
	time.Sleep(30 * time.Second)
	return append(pl.awayFor(2), cl.breaks()...), nil
}

// awayFor returns the tasks of the job that have no run for calmTime, to the end of the
// case, and whose last run ended over 6 s before.
func (pl *play) awayFor(tasks int) []string {
	seen := map[string]bool{}
	begin := now()
	for until := begin.Add(calmTime); now().Before(until); time.Sleep(pollPause) {
		for index := range tasks {
			if pl.atWork(taskName(index)) != nil {
				seen[taskName(index)] = true
			}
		}
	}
	var out []string
	for index := range tasks {
		task := taskName(index)
		runs := pl.runsOf(task)
		if last := runs[len(runs)-1]; !seen[task] && begin.Sub(last.ended) > 6*time.Second {
			out = append(out, fmt.Sprintf("LOST: task %s has no run; its last, on %s, ended %.1f s ago: %s", task, last.worker, now().Sub(last.ended).Seconds(), last.how))
		}
	}
	return out
}

// lateUpkeep makes a machine due for upkeep while the platform is unavailable for
// five seconds, and loses the worker with the step's other task meanwhile.
func lateUpkeep(pl *play) ([]string, error) {
	cl, err := pl.beginMachines(2)
	if err != nil {
		return nil, err
	}
	if err := pl.submit(lasting, step(2, map[string]any{"long_running": true, "may_miss": 1, "anti_affinity": 1})); err != nil {
		return nil, err
	}
	for index := range 2 {
		if _, err := pl.awaitRun(taskName(index)); err != nil {
			return nil, err
		}
	}
	time.Sleep(5 * time.Second)
	if pl.trouble {
		cl.setDown(true)
	}
	begin := now()
	wave := map[string]any{"wave": 1, "machines": []string{"m-001"}, "deadline_s": 30, "cap": 1}
	if err := pl.toControl(http.MethodPost, "/-/wave-start", wave); err != nil {
		return nil, err
	}
	if pl.trouble {
		for cl.refused() == 0 && now().Sub(begin) < startMax {
			time.Sleep(pollPause)
		}
		pl.worker("i-002").crash()
		time.Sleep(begin.Add(5 * time.Second).Sub(now()))
		cl.setDown(false)
	}
	time.Sleep(8 * time.Second)
	return cl.breaks(), nil
}

// cloud is the stand-in of the platform's machine interface.
type cloud struct {
	pl *play

	mu      sync.Mutex
	down    bool
	refuses int
	states  map[string]string
	found   []string
}

func (cl *cloud) add(workers ...*worker) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.states = map[string]string{}
	for _, wk := range workers {
		cl.states[wk.machine] = "up"
	}
}

func (cl *cloud) setDown(down bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.down = down
	cl.pl.rec.note("platform unavailable: %v", down)
}

func (cl *cloud) refused() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.refuses
}

func (cl *cloud) breaks() []string {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.found
}

func (cl *cloud) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", func(wr http.ResponseWriter, _ *http.Request) {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		if cl.down {
			wr.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		list := []map[string]any{}
		for machine, state := range cl.states {
			list = append(list, map[string]any{"machine": machine, "pool": service, "state": state, "zone": "zone-a"})
		}
		wr.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(wr).Encode(map[string]any{"machines": list, "next_token": ""})
	})
	mux.HandleFunc("POST /-/machine-upkeep", cl.upkeep)
	return mux
}

// upkeep ends what runs on a machine; a new worker comes up after two seconds.
func (cl *cloud) upkeep(wr http.ResponseWriter, req *http.Request) {
	var in struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if json.NewDecoder(req.Body).Decode(&in) != nil || cl.states[in.Machine] == "" {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	if cl.down {
		cl.refuses++
		cl.pl.rec.note("upkeep of %s for wave %d from %s: 503", in.Machine, in.Wave, req.Header.Get("X-Greengageweir-Lease-Holder"))
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	wr.WriteHeader(http.StatusOK)
	if cl.states[in.Machine] != "up" {
		return
	}
	cl.pl.rec.note("upkeep of %s for wave %d from %s: 200", in.Machine, in.Wave, req.Header.Get("X-Greengageweir-Lease-Holder"))
	cl.states[in.Machine] = "upkeep"
	cl.found = append(cl.found, cl.pl.missed("i-001")...)
	wk := cl.pl.worker("i-001")
	wk.crash()
	time.AfterFunc(2*time.Second, func() {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		cl.states[in.Machine] = "up"
		if next, err := cl.pl.startWorker("i-001-2", wk.machine, wk.addr); err == nil {
			go next.announceLoop()
		}
	})
}

// missed returns the tasks of the job at work on a worker that an order is about to
// end, if the step's other task has not been at work for the time in the bounds.
func (pl *play) missed(id string) []string {
	var out []string
	for index := range 2 {
		rn := pl.atWork(taskName(index))
		if rn == nil || rn.worker != id {
			continue
		}
		other := taskName(1 - index)
		runs := pl.runsOf(other)
		if len(runs) == 0 || pl.atWork(other) != nil {
			continue
		}
		if away := now().Sub(runs[len(runs)-1].ended); away >= noticeMS*time.Millisecond {
			out = append(out, fmt.Sprintf("AVAIL: the upkeep ends task %s at work on %s, while task %s has been away for %.1f s; may_miss is 1", rn.task, id, other, away.Seconds()))
		}
	}
	return out
}
