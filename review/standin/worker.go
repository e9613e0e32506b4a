package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// step is a step of a job as clients send it, and how its tasks behave.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu,omitempty"`
	MemMB       int    `json:"mem_mb,omitempty"`
	EstimatedMS int    `json:"estimated_ms,omitempty"`
	After       []int  `json:"after,omitempty"`
	Requires    string `json:"requires,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	MayMiss     int    `json:"may_miss,omitempty"`

	// work is how long a task runs, and fails is set if it then ends as failed. A
	// deadly task crashes the worker that starts it, before the worker answers.
	work   time.Duration
	fails  bool
	deadly bool
}

// job is a job as clients send it.
type job struct {
	Spec        string `json:"spec"`
	Steps       []step `json:"steps"`
	RepeatCount int    `json:"repeat_count,omitempty"`
	StartAtMS   int64  `json:"start_at_ms,omitempty"`
	IntervalMS  int64  `json:"interval_ms,omitempty"`
}

// world holds what all stand-ins share.
type world struct {
	rec  *record
	fl   *fleet
	mu   sync.Mutex
	jobs map[string]job
	// onStart is called for each run that a worker starts; it must not block.
	onStart func(wk *worker, task string, run int)
	// active holds the workers on which each task runs now, and twice the tasks that
	// ran on two workers at the same time.
	active map[string]map[*worker]int
	twice  []string
	// stops holds the runs that were at work and were ended by an order.
	stops []stopEvent
	// ordered holds the tasks that were ended by an order and did not start since,
	// endedAt when the last run of a task ended.
	ordered map[string]bool
	endedAt map[string]time.Time
	// quiet suppresses a line in the record for each start and end.
	quiet bool
}

func (wd *world) step(task string) (step, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return step{}, false
	}
	var ix int
	_, _ = fmt.Sscan(parts[2], &ix)
	wd.mu.Lock()
	defer wd.mu.Unlock()
	jb, ok := wd.jobs[parts[0]]
	if !ok || ix >= len(jb.Steps) {
		return step{}, false
	}
	return jb.Steps[ix], true
}

// runStarted notes that a worker has begun a run.
func (wd *world) runStarted(wk *worker, task string, run int) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if wd.active[task] == nil {
		wd.active[task] = map[*worker]int{}
	}
	for other, earlier := range wd.active[task] {
		what := fmt.Sprintf("%s run %d starts on %s while run %d is at work on %s", task, run, wk.id, earlier, other.id)
		wd.twice = append(wd.twice, what)
		wd.rec.add("check: %s", what)
	}
	wd.active[task][wk] = run
	delete(wd.ordered, task)
}

// notice is the bound notice_ms.
const notice = 4500 * time.Millisecond

// stopEvent is the stop of a task that lasts and was at work.
type stopEvent struct {
	task string
	// away is the number of other tasks of the step that were ended by an order too,
	// or did not run for notice.
	away int
}

// noteStop notes that an order ends a run that is at work.
func (wd *world) noteStop(task string) {
	st, ok := wd.step(task)
	if !ok || !st.LongRunning {
		return
	}
	wd.mu.Lock()
	defer wd.mu.Unlock()
	stem := task[:strings.LastIndexByte(task, '.')+1]
	away := 0
	for ix := range st.Count {
		other := fmt.Sprintf("%s%d", stem, ix)
		if other == task || len(wd.active[other]) > 0 {
			continue
		}
		if wd.ordered[other] || time.Since(wd.endedAt[other]) >= notice {
			away++
		}
	}
	wd.ordered[task] = true
	wd.stops = append(wd.stops, stopEvent{task: task, away: away})
	wd.rec.add("check: %s is stopped at work while %d others of its step are away", task, away)
}

// runEnded notes that a run has ended on a worker, for whatever reason.
func (wd *world) runEnded(wk *worker, task string) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	delete(wd.active[task], wk)
	wd.endedAt[task] = time.Now()
}

type runEntry struct {
	run     int
	step    step
	started time.Time
	timer   *time.Timer
}

type endEntry struct {
	number int
	task   string
	run    int
	how    string
}

// worker is one life of a machine: it announces itself to the control processes
// and runs tasks on their orders.
type worker struct {
	wd      *world
	id      string
	machine string
	service string
	addr    string
	zone    string
	kind    string
	rack    string
	cpu     int
	memMB   int
	begin   time.Time
	bornMS  int64

	server *http.Server
	stop   chan struct{}

	mu       sync.Mutex
	dead     bool
	dark     bool // without power: nothing is answered, and connections stay open
	seq      int
	fence    uint64
	deadline time.Time
	lease    *time.Timer
	running  map[string]*runEntry
	ended    []endEntry
	lastEnd  int
	highest  map[string]int // per task, the highest run that was stopped or has ended here
	usedCPU  int
	usedMem  int
	changed  chan struct{} // closed and replaced at each end
}

// start opens the worker's listener and begins to announce it.
func (wk *worker) start() error {
	wk.begin = time.Now()
	if wk.bornMS == 0 {
		wk.bornMS = wk.begin.UnixMilli()
	}
	wk.running, wk.highest = map[string]*runEntry{}, map[string]int{}
	wk.changed, wk.stop = make(chan struct{}), make(chan struct{})
	var lis net.Listener
	var err error
	for range 50 {
		if lis, err = net.Listen("tcp", wk.addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	wk.addr = lis.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", wk.handleStart)
	mux.HandleFunc("POST /-/run-stop", wk.handleStop)
	mux.HandleFunc("POST /-/hold", wk.handleHold)
	mux.HandleFunc("POST /-/pace", wk.handlePace)
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	wk.server = &http.Server{Handler: mux}
	go func() { _ = wk.server.Serve(lis) }()
	wk.wd.rec.add("worker %s of machine %s starts at %s, born %d", wk.id, wk.machine, wk.addr, wk.bornMS)
	go wk.announce()
	return nil
}

// crash ends the worker at once, with everything that runs on it. A dark worker has
// lost its power: its connections stay open and nothing answers.
func (wk *worker) crash(dark bool) {
	wk.mu.Lock()
	wk.dead, wk.dark = true, dark
	var tasks []string
	for task, rn := range wk.running {
		tasks = append(tasks, fmt.Sprintf("%s run %d", task, rn.run))
		wk.wd.runEnded(wk, task)
		if rn.timer != nil {
			rn.timer.Stop()
		}
	}
	wk.running = map[string]*runEntry{}
	wk.mu.Unlock()
	close(wk.stop)
	if !dark {
		_ = wk.server.Close()
	}
	wk.wd.rec.add("worker %s crashes (silently: %v), with %d runs: %s", wk.id, dark, len(tasks), clip(strings.Join(tasks, ", ")))
}

func clip(text string) string {
	if len(text) > 200 {
		return text[:200] + " ..."
	}
	return text
}

func (wk *worker) clockMS() int64 { return 1000 + time.Since(wk.begin).Milliseconds() }

// announce sends heartbeats until the worker ends.
func (wk *worker) announce() {
	next := 0
	target := ""
	for {
		addr := target
		if addr == "" {
			addr = wk.wd.fl.controlAddr(next % controlCount)
			next++
		}
		named, ok := wk.beat(addr)
		pause := heartbeatMS * time.Millisecond
		if ok {
			target = named
		} else {
			target, pause = "", 200*time.Millisecond
		}
		select {
		case <-wk.stop:
			return
		case <-time.After(pause):
		}
	}
}

func (wk *worker) beat(addr string) (string, bool) {
	wk.mu.Lock()
	wk.seq++
	body := map[string]any{
		"service": wk.service, "address": wk.addr, "zone": wk.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": wk.cpu, "mem_mb": wk.memMB, "gpu": 0},
		"labels": []string{wk.kind, wk.rack}, "machine": wk.machine, "clock_ms": wk.clockMS(), "seq": wk.seq, "born": wk.bornMS,
	}
	wk.mu.Unlock()
	data, _ := json.Marshal(body)
	status, reply, err := call(http.MethodPut, "http://"+addr+"/-/instances/"+wk.id, "", data, time.Second, nil)
	if err != nil || status/100 != 2 {
		return "", false
	}
	var ans struct {
		HeartbeatAddr string `json:"heartbeat_addr"`
	}
	_ = json.Unmarshal(reply, &ans)
	return ans.HeartbeatAddr, true
}

// checkAlive ends a handler of a worker that has crashed without an answer. The
// caller holds the lock.
func (wk *worker) checkAlive(req *http.Request) {
	if wk.dead && wk.dark {
		wk.mu.Unlock()
		<-req.Context().Done()
		wk.mu.Lock()
	}
	if wk.dead {
		panic(http.ErrAbortHandler)
	}
}

// accept decodes an order. It answers and reports false if the order is for
// another worker or from an earlier leader.
func (wk *worker) accept(rw http.ResponseWriter, req *http.Request, into any, token func() uint64) bool {
	wk.checkAlive(req)
	if req.Header.Get("X-Greengageweir-Target-Instance") != wk.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return false
	}
	data, err := io.ReadAll(req.Body)
	if err != nil || json.Unmarshal(data, into) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return false
	}
	if token() < wk.fence {
		wk.refuse(rw, "fence")
		return false
	}
	wk.fence = token()
	return true
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", fmt.Sprint(len(data)))
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

func (wk *worker) refuse(rw http.ResponseWriter, reason string) {
	writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": wk.clockMS(), "reason": reason, "born": wk.bornMS})
}

// extend prolongs the lease of everything that runs here, at most by hold_max_ms.
func (wk *worker) extend(deadlineMS int64) {
	const holdMax = 10 * time.Second
	span := min(time.Duration(deadlineMS-wk.clockMS())*time.Millisecond, holdMax)
	until := time.Now().Add(span)
	if deadlineMS == 0 || !until.After(wk.deadline) {
		return
	}
	wk.deadline = until
	if wk.lease != nil {
		wk.lease.Stop()
	}
	wk.lease = time.AfterFunc(span, wk.lapse)
}

func (wk *worker) lapse() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if wk.dead || time.Now().Before(wk.deadline) {
		return
	}
	for task := range wk.running {
		wk.end(task, "lapsed")
	}
}

// end lists the end of a running task. The caller holds the lock.
func (wk *worker) end(task, how string) {
	rn := wk.running[task]
	if rn == nil {
		return
	}
	if rn.timer != nil {
		rn.timer.Stop()
	}
	delete(wk.running, task)
	wk.wd.runEnded(wk, task)
	wk.usedCPU -= rn.step.CPU
	wk.usedMem -= rn.step.MemMB
	wk.highest[task] = max(wk.highest[task], rn.run)
	wk.lastEnd++
	wk.ended = append(wk.ended, endEntry{number: wk.lastEnd, task: task, run: rn.run, how: how})
	close(wk.changed)
	wk.changed = make(chan struct{})
	if !wk.wd.quiet {
		wk.wd.rec.add("worker %s: %s run %d ends %s", wk.id, task, rn.run, how)
	}
}

// listMalformed lists an end whose task has no valid step.
func (wk *worker) listMalformed(task string) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.lastEnd++
	wk.ended = append(wk.ended, endEntry{number: wk.lastEnd, task: task, run: 1, how: "done"})
	close(wk.changed)
	wk.changed = make(chan struct{})
	wk.wd.rec.add("worker %s: lists the end of %s run 1, a malformed row", wk.id, task)
}

func (wk *worker) handleStart(rw http.ResponseWriter, req *http.Request) {
	var order struct {
		Task       string `json:"task"`
		Run        int    `json:"run"`
		DeadlineMS int64  `json:"deadline_ms"`
		Token      uint64 `json:"fencing_token"`
	}
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if !wk.accept(rw, req, &order, func() uint64 { return order.Token }) {
		return
	}
	st, known := wk.wd.step(order.Task)
	if !known {
		wk.wd.rec.add("worker %s: told to start unknown task %s", wk.id, order.Task)
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	rn := wk.running[order.Task]
	switch {
	case rn != nil && rn.run == order.Run:
		wk.extend(order.DeadlineMS)
		writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": wk.clockMS(), "born": wk.bornMS})
		return
	case order.DeadlineMS <= wk.clockMS():
		wk.refuse(rw, "late")
		return
	}
	wk.extend(order.DeadlineMS)
	if order.Run <= wk.highest[order.Task] || rn != nil {
		wk.refuse(rw, "old")
		return
	}
	if wk.usedCPU+st.CPU > wk.cpu || wk.usedMem+st.MemMB > wk.memMB {
		wk.refuse(rw, "room")
		return
	}
	wk.beginRun(order.Task, order.Run, st)
	if st.deadly {
		go wk.crash(false)
		panic(http.ErrAbortHandler)
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": wk.clockMS(), "born": wk.bornMS})
}

// beginRun starts one run. The caller holds the lock.
func (wk *worker) beginRun(task string, run int, st step) {
	rn := &runEntry{run: run, step: st, started: time.Now()}
	wk.usedCPU += st.CPU
	wk.usedMem += st.MemMB
	wk.running[task] = rn
	if !st.LongRunning {
		how := "done"
		if st.fails {
			how = "failed"
		}
		rn.timer = time.AfterFunc(st.work, func() {
			wk.mu.Lock()
			defer wk.mu.Unlock()
			if !wk.dead && wk.running[task] == rn {
				wk.end(task, how)
			}
		})
	}
	if !wk.wd.quiet {
		wk.wd.rec.add("worker %s: %s run %d starts", wk.id, task, run)
	}
	wk.wd.runStarted(wk, task, run)
	if wk.wd.onStart != nil {
		wk.wd.onStart(wk, task, run)
	}
}

func (wk *worker) handleStop(rw http.ResponseWriter, req *http.Request) {
	var order struct {
		Task  string `json:"task"`
		Run   int    `json:"run"`
		Token uint64 `json:"fencing_token"`
	}
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if !wk.accept(rw, req, &order, func() uint64 { return order.Token }) {
		return
	}
	wk.wd.rec.add("worker %s: told to stop %s run %d", wk.id, order.Task, order.Run)
	if rn := wk.running[order.Task]; rn != nil && rn.run <= order.Run {
		if rn.percent() == 100 {
			wk.wd.noteStop(order.Task)
		}
		wk.end(order.Task, "stopped")
	}
	wk.highest[order.Task] = max(wk.highest[order.Task], order.Run)
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": wk.clockMS(), "born": wk.bornMS})
}

func (wk *worker) handlePace(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": wk.clockMS(), "born": wk.bornMS})
}

// maxListedEnds is the number of ends that one answer lists.
const maxListedEnds = 500

func (wk *worker) handleHold(rw http.ResponseWriter, req *http.Request) {
	var order struct {
		DeadlineMS int64  `json:"deadline_ms"`
		Token      uint64 `json:"fencing_token"`
		Ack        int    `json:"ack_cursor"`
		WaitMS     int    `json:"wait_ms"`
	}
	wk.mu.Lock()
	defer wk.mu.Unlock()
	if !wk.accept(rw, req, &order, func() uint64 { return order.Token }) {
		return
	}
	wk.extend(order.DeadlineMS)
	for len(wk.ended) > 0 && wk.ended[0].number <= order.Ack {
		wk.ended = wk.ended[1:]
	}
	if len(wk.ended) == 0 && order.WaitMS > 0 {
		changed := wk.changed
		wk.mu.Unlock()
		select {
		case <-changed:
		case <-wk.stop:
		case <-time.After(time.Duration(order.WaitMS) * time.Millisecond):
		}
		wk.mu.Lock()
		wk.checkAlive(req)
	}
	running, ended := [][]any{}, [][]any{}
	for task, rn := range wk.running {
		running = append(running, []any{task, rn.run, "", rn.percent(), 0})
	}
	for _, en := range wk.ended {
		if len(ended) < maxListedEnds {
			ended = append(ended, []any{en.number, en.task, en.run, en.how, ""})
		}
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": wk.clockMS(), "born": wk.bornMS, "running": running, "ended": ended})
}

// percent is the progress of a task, or 100 for one that lasts after its startup.
func (rn *runEntry) percent() int {
	const startup = 200 * time.Millisecond
	ran := time.Since(rn.started)
	if !rn.step.LongRunning {
		return min(99, int(100*ran/max(rn.step.work, 1)))
	}
	if ran < startup {
		return 0
	}
	return 100
}

// call sends one HTTP request on a connection of its own.
func call(method, url, host string, body []byte, timeout time.Duration, header map[string]string) (int, []byte, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if host != "" {
		req.Host = host
	}
	req.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}
