package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatMS = 1500
	holdMaxMS   = 10_000
	noticeMS    = 4500
	// leaseCheck is how often a worker compares its clock with its lease.
	leaseCheck = 10 * time.Millisecond
	// workerCPU and workerMemory are the capacity of a worker.
	workerCPU    = 8000
	workerMemory = 32768
	// lasting is the text of jobs whose tasks run until they are stopped; all other
	// texts are the duration of a task.
	lasting = "lasting"
)

// run is one run of a task on a worker.
type run struct {
	task    string
	number  int
	worker  string
	born    int64
	lasting bool
	// number of its end in the worker's list, and whether that was acknowledged.
	end     int64
	noted   bool
	span    time.Duration
	cpu     int
	started time.Time
	// ended is zero while the run is at work.
	ended time.Time
	how   string
	timer *time.Timer
}

// worker is one life of a worker. It carries out what the protocol page says of
// run-start, run-stop, hold and the lease.
type worker struct {
	pl      *play
	id      string
	machine string
	addr    string
	service string
	// kind is the first of the worker's labels.
	kind    string
	born    int64
	started time.Time
	// ticket is the ticket that starts have to carry; "" needs none.
	ticket string

	mu sync.Mutex
	up bool
	// cut is set while the worker is cut off: no call reaches it and it sends none.
	cut      bool
	seq      int
	fence    uint64
	deadline int64
	running  map[string]*run
	ended    []any
	ends     int64
	highest  map[string]int
	changed  chan struct{}
	server   *http.Server
	stop     context.CancelFunc
}

// startWorker starts a life of a worker, which announces itself until it ends.
func (pl *play) startWorker(id, machine, addr string) (*worker, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	wk := &worker{
		pl: pl, id: id, machine: machine, addr: addr, service: service, kind: "a", born: now().UnixMilli(), started: now(), up: true,
		running: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}), stop: cancel,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", wk.handle(wk.takeStart))
	mux.HandleFunc("POST /-/run-stop", wk.handle(wk.stopRun))
	mux.HandleFunc("POST /-/hold", wk.handle(wk.takeHold))
	mux.HandleFunc("POST /-/pace", wk.handle(func(order) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	mux.HandleFunc("GET /health", func(wr http.ResponseWriter, _ *http.Request) { wr.WriteHeader(http.StatusOK) })
	wk.server = &http.Server{Handler: mux, ReadHeaderTimeout: callTimeout}
	go func() { _ = wk.server.Serve(lis) }()
	go wk.watchLease(ctx)
	pl.addWorker(wk)
	pl.rec.note("worker %s up, machine %s, address %s", id, machine, addr)
	return wk, nil
}

// announceLoop announces the worker every heartbeat.
func (wk *worker) announceLoop() {
	ticker := time.NewTicker(heartbeatMS * time.Millisecond)
	defer ticker.Stop()
	for wk.alive() {
		if !wk.isCut() {
			wk.announce()
		}
		<-ticker.C
	}
}

// announce sends one heartbeat, to one control process after the other until one
// acknowledges it.
func (wk *worker) announce() bool {
	wk.mu.Lock()
	wk.seq++
	body := map[string]any{
		"service": wk.service, "address": wk.addr, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"machine": wk.machine, "capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemory, "gpu": 0}, "labels": []string{wk.kind, "r1-1"},
		"clock_ms": wk.clock(), "seq": wk.seq, "born": wk.born,
	}
	wk.mu.Unlock()
	for _, addr := range wk.pl.ad.Control {
		status, _, err := wk.pl.call(http.MethodPut, addr, "", "/-/instances/"+wk.id, body)
		if err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

func (wk *worker) alive() bool {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return wk.up
}

func (wk *worker) isCut() bool {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return wk.cut
}

func (wk *worker) setCut(cut bool) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.cut = cut
	wk.pl.rec.note("worker %s cut off: %v", wk.id, cut)
}

// clock returns the worker's own clock in milliseconds.
func (wk *worker) clock() int64 { return 1000 + now().Sub(wk.started).Milliseconds() }

// crash ends the life without a word: its connections break, its tasks are gone.
func (wk *worker) crash() {
	wk.mu.Lock()
	if !wk.up {
		wk.mu.Unlock()
		return
	}
	wk.up = false
	for _, rn := range wk.running {
		wk.pl.endRun(rn, "crashed")
	}
	wk.running = map[string]*run{}
	wk.mu.Unlock()
	wk.stop()
	_ = wk.server.Close()
	wk.pl.rec.note("worker %s crashed", wk.id)
}

// finish records the end of a run. The caller holds the lock.
func (wk *worker) finish(rn *run, how string) {
	if rn.timer != nil {
		rn.timer.Stop()
	}
	delete(wk.running, rn.task)
	wk.highest[rn.task] = max(wk.highest[rn.task], rn.number)
	wk.pl.endRun(rn, how)
	wk.ends++
	wk.pl.numberEnd(rn, wk.ends)
	wk.ended = append(wk.ended, []any{wk.ends, rn.task, rn.number, how, ""})
	close(wk.changed)
	wk.changed = make(chan struct{})
}

func (wk *worker) watchLease(ctx context.Context) {
	ticker := time.NewTicker(leaseCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		wk.mu.Lock()
		if wk.up && wk.clock() > wk.deadline {
			for _, rn := range wk.running {
				wk.finish(rn, "lapsed")
			}
		}
		wk.mu.Unlock()
	}
}

// order is the body of any order.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fencing_token"`
	Ack      int64  `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
	Ticket   string `json:"ticket"`
}

// handle decodes an order, checks its target and fencing token, and takes its
// deadline. The function do gets the lock held.
func (wk *worker) handle(do func(od order) (int, map[string]any)) http.HandlerFunc {
	return func(wr http.ResponseWriter, req *http.Request) {
		data, err := io.ReadAll(req.Body)
		var od order
		if err != nil || json.Unmarshal(data, &od) != nil {
			wr.WriteHeader(http.StatusBadRequest)
			return
		}
		if req.Header.Get("X-Greengageweir-Target-Instance") != wk.id {
			wr.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if wk.isCut() {
			<-req.Context().Done()
			panic(http.ErrAbortHandler)
		}
		status, body := wk.apply(od, do)
		if status == 0 || wk.isCut() {
			<-req.Context().Done() // no answer
		}
		if status == 0 || !wk.alive() {
			panic(http.ErrAbortHandler)
		}
		wr.Header().Set("Content-Type", "application/json")
		wr.WriteHeader(status)
		_ = json.NewEncoder(wr).Encode(body)
	}
}

// apply checks the fencing token of an order, takes its deadline and carries it out. A
// status of 0 means that it is not answered.
func (wk *worker) apply(od order, do func(od order) (int, map[string]any)) (int, map[string]any) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	status, body := http.StatusConflict, map[string]any{"reason": "fence"}
	if od.Fence >= wk.fence {
		wk.fence = od.Fence
		wk.deadline = max(wk.deadline, min(od.Deadline, wk.clock()+holdMaxMS))
		status, body = do(od)
	}
	if status != 0 {
		body["clock_ms"] = wk.clock()
	}
	return status, body
}

// takeStart carries out a start, unless the case lets this one go unanswered and be
// carried out late.
func (wk *worker) takeStart(od order) (int, map[string]any) {
	if wk.pl.keepLate(wk.id, od) {
		return 0, nil
	}
	return wk.start(od)
}

func (wk *worker) start(od order) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		wk.pl.rec.note("worker %s refuses task %s run %d: %s", wk.id, od.Task, od.Run, reason)
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if rn := wk.running[od.Task]; rn != nil && rn.number == od.Run {
		return http.StatusOK, map[string]any{}
	}
	used := 0
	for _, rn := range wk.running {
		used += rn.cpu
	}
	cpu := wk.pl.cpuOf(od.Task)
	switch {
	case od.Run <= wk.highest[od.Task] || wk.running[od.Task] != nil:
		return refuse("old")
	case wk.clock() > wk.deadline:
		return refuse("late")
	case wk.ticket != "" && od.Ticket != wk.ticket:
		return refuse("ticket")
	case used+cpu > workerCPU:
		return refuse("room")
	}
	rn := &run{task: od.Task, number: od.Run, worker: wk.id, born: wk.born, lasting: od.Spec == lasting, cpu: cpu, started: now()}
	wk.running[od.Task] = rn
	if span, err := time.ParseDuration(od.Spec); err == nil {
		rn.span = span
		rn.timer = time.AfterFunc(span, func() {
			wk.mu.Lock()
			defer wk.mu.Unlock()
			if wk.up && wk.running[rn.task] == rn {
				wk.finish(rn, "done")
			}
		})
	}
	wk.pl.beginRun(rn)
	return http.StatusOK, map[string]any{}
}

func (wk *worker) stopRun(od order) (int, map[string]any) {
	wk.highest[od.Task] = max(wk.highest[od.Task], od.Run)
	if rn := wk.running[od.Task]; rn != nil && rn.number <= od.Run {
		wk.finish(rn, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

// takeHold carries out a call to hold, unless the case lets this one go unanswered and be
// carried out late.
func (wk *worker) takeHold(od order) (int, map[string]any) {
	if wk.pl.keepLateHold(wk.id, od) {
		return 0, nil
	}
	return wk.hold(od)
}

// hold renews the lease, forgets acknowledged ends and waits for an end.
func (wk *worker) hold(od order) (int, map[string]any) {
	wk.pl.noteEnds(wk, od.Ack)
	for len(wk.ended) > 0 && wk.ended[0].([]any)[0].(int64) <= od.Ack {
		wk.ended = wk.ended[1:]
	}
	if len(wk.ended) == 0 && od.Wait > 0 {
		changed := wk.changed
		wk.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(od.Wait) * time.Millisecond):
		}
		wk.mu.Lock()
	}
	list := []any{}
	for _, rn := range wk.running {
		percent := 100
		if !rn.lasting {
			percent = int(100 * now().Sub(rn.started) / rn.span)
		}
		list = append(list, []any{rn.task, rn.number, "", percent, 100})
	}
	return http.StatusOK, map[string]any{"born": wk.born, "running": list, "ended": append([]any{}, wk.ended...)}
}

// jobOf returns the id of a task's job.
func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

// taskName returns the name of a task of the first step of the case's job.
func taskName(index int) string { return fmt.Sprintf("%s.0.0.%d", oneJob, index) }

// otherTask is the only task of a second job.
const otherTask = otherJob + ".0.0.0"
