package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"greengageweir/internal/common/clock"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = 10 * time.Second
	longestWait       = 2 * time.Second
	// warmUp is the time until a task that lasts is at work.
	warmUp     = 300 * time.Millisecond
	stopTime   = 20 * time.Millisecond
	maxListed  = 500
	allPercent = 100
)

// task is a run at work.
type task struct {
	name    string
	run     int
	work    time.Duration // 0 for a task that lasts
	cpu     int
	started time.Time
	stopAt  time.Time
}

func (tk *task) percent() int {
	if tk.work == 0 {
		if now().Sub(tk.started) >= warmUp {
			return allPercent
		}
		return 0
	}
	return int(min(allPercent*now().Sub(tk.started)/tk.work, allPercent-1))
}

// ended is an entry of the list of ends.
type ended struct {
	number    int
	name      string
	run       int
	how, save string
}

// worker is one life of a machine. It behaves as PROTOCOL.md says.
type worker struct {
	rec      *recorder
	controls []string
	id       string
	machine  string
	pool     string
	address  string
	zone     string
	capacity int
	// how replaces the reason of an end if it holds a function.
	how *atomic.Pointer[func(name, how string) string]

	born    time.Time
	server  *http.Server
	stop    context.CancelFunc
	changed *sync.Cond

	mu       sync.Mutex
	fence    uint64
	deadline time.Duration
	running  map[string]*task
	highest  map[string]int // the highest run that ended or was stopped, by task
	ends     []ended
	number   int
	sequence int
	dead     bool
}

// launch starts a life of the worker.
func (wk *worker) launch() error {
	lis, err := net.Listen("tcp", wk.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	wk.stop, wk.born = cancel, clock.Wall{}.Now()
	wk.running, wk.highest = map[string]*task{}, map[string]int{}
	wk.changed = sync.NewCond(&wk.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", wk.handle(wk.runStart))
	mux.HandleFunc("POST /-/run-stop", wk.handle(wk.runStop))
	mux.HandleFunc("POST /-/hold", wk.handle(wk.hold))
	mux.HandleFunc("POST /-/pace", wk.handle(func(order) (int, any) { return http.StatusOK, wk.answer("") }))
	wk.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = wk.server.Serve(lis) }()
	go wk.beat(ctx)
	go wk.tick(ctx)
	wk.rec.log("worker", "%s on %s in pool %s starts", wk.id, wk.machine, wk.pool)
	return nil
}

// crash ends the worker's life at once.
func (wk *worker) crash() {
	wk.mu.Lock()
	wk.dead = true
	left := len(wk.running)
	wk.running = map[string]*task{}
	wk.changed.Broadcast()
	wk.mu.Unlock()
	wk.stop()
	_ = wk.server.Close()
	wk.rec.log("crash", "%s on %s with %d tasks", wk.id, wk.machine, left)
}

func (wk *worker) clock() time.Duration { return now().Sub(wk.rec.start) + time.Minute }

// order is the body of any call to a worker.
type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken uint64 `json:"fencing_token"`
	AckCursor    int    `json:"ack_cursor"`
	WaitMS       int64  `json:"wait_ms"`
}

func (wk *worker) handle(do func(od order) (int, any)) http.HandlerFunc {
	return func(wr http.ResponseWriter, req *http.Request) {
		if to := req.Header.Get("X-Greengageweir-Target-Instance"); to != wk.id {
			wr.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var od order
		if err := json.NewDecoder(req.Body).Decode(&od); err != nil {
			wr.WriteHeader(http.StatusBadRequest)
			return
		}
		wk.mu.Lock()
		status, body := do(od)
		dead := wk.dead
		wk.mu.Unlock()
		if dead {
			panic(http.ErrAbortHandler)
		}
		wr.Header().Set("Content-Type", "application/json")
		wr.WriteHeader(status)
		_ = json.NewEncoder(wr).Encode(body)
	}
}

func (wk *worker) answer(reason string) map[string]any {
	out := map[string]any{"clock_ms": wk.clock().Milliseconds()}
	if reason != "" {
		out["reason"] = reason
	}
	return out
}

// fenced takes the token of an order and reports whether it is too low.
func (wk *worker) fenced(od order) bool {
	if od.FencingToken < wk.fence {
		return true
	}
	wk.fence = od.FencingToken
	return false
}

func (wk *worker) extend(od order) {
	until := min(time.Duration(od.DeadlineMS)*time.Millisecond, wk.clock()+maxHold)
	wk.deadline = max(wk.deadline, until)
}

func (wk *worker) runStart(od order) (int, any) {
	if wk.fenced(od) {
		return http.StatusConflict, wk.answer("fence")
	}
	if time.Duration(od.DeadlineMS)*time.Millisecond <= wk.clock() {
		return http.StatusConflict, wk.answer("late")
	}
	wk.extend(od)
	if tk := wk.running[od.Task]; tk != nil && tk.run == od.Run {
		return http.StatusOK, wk.answer("")
	}
	if od.Run <= wk.highest[od.Task] || wk.running[od.Task] != nil {
		return http.StatusConflict, wk.answer("old")
	}
	tk := &task{name: od.Task, run: od.Run, started: now(), work: time.Duration(field(od.Spec, "work_ms")) * time.Millisecond, cpu: field(od.Spec, "cpu")}
	used := tk.cpu
	for _, other := range wk.running {
		used += other.cpu
	}
	if used > wk.capacity {
		return http.StatusConflict, wk.answer("room")
	}
	wk.running[od.Task] = tk
	wk.rec.started(od.Task)
	wk.rec.log("start", "%s run %d on %s", od.Task, od.Run, wk.id)
	return http.StatusOK, wk.answer("")
}

// field returns a number of a specification such as "work_ms=200 cpu=1000".
func field(text, name string) int {
	for _, word := range strings.Fields(text) {
		if value, ok := strings.CutPrefix(word, name+"="); ok {
			number, _ := strconv.Atoi(value)
			return number
		}
	}
	return 0
}

func (wk *worker) runStop(od order) (int, any) {
	if wk.fenced(od) {
		return http.StatusConflict, wk.answer("fence")
	}
	wk.highest[od.Task] = max(wk.highest[od.Task], od.Run)
	if tk := wk.running[od.Task]; tk != nil && tk.run <= od.Run {
		tk.stopAt = now().Add(stopTime)
	}
	return http.StatusOK, wk.answer("")
}

func (wk *worker) hold(od order) (int, any) {
	if wk.fenced(od) {
		return http.StatusConflict, wk.answer("fence")
	}
	if od.DeadlineMS > 0 {
		wk.extend(od)
	}
	wk.ends = slices.DeleteFunc(wk.ends, func(en ended) bool { return en.number <= od.AckCursor })
	until := now().Add(min(time.Duration(od.WaitMS)*time.Millisecond, longestWait))
	for len(wk.ends) == 0 && !wk.dead && now().Before(until) {
		wk.changed.Wait()
	}
	running, ends := [][]any{}, [][]any{}
	for _, tk := range wk.running {
		running = append(running, []any{tk.name, tk.run, "", tk.percent(), 1})
	}
	for _, en := range wk.ends[:min(len(wk.ends), maxListed)] {
		ends = append(ends, []any{en.number, en.name, en.run, en.how, en.save})
	}
	out := wk.answer("")
	out["running"], out["ended"], out["born"] = running, ends, wk.born.UnixMilli()
	return http.StatusOK, out
}

// end records the end of a run. The caller holds the lock.
func (wk *worker) end(tk *task, how string) {
	delete(wk.running, tk.name)
	wk.highest[tk.name] = max(wk.highest[tk.name], tk.run)
	wk.number++
	listed := how
	if change := wk.how.Load(); change != nil {
		listed = (*change)(tk.name, how)
	}
	wk.ends = append(wk.ends, ended{number: wk.number, name: tk.name, run: tk.run, how: listed})
	wk.rec.log("end", "%s run %d on %s: %s", tk.name, tk.run, wk.id, listed)
}

// tick ends the runs whose time has come.
func (wk *worker) tick(ctx context.Context) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		wk.mu.Lock()
		lapsed := wk.clock() >= wk.deadline
		for _, tk := range wk.running {
			switch {
			case lapsed:
				wk.end(tk, "lapsed")
			case !tk.stopAt.IsZero() && now().After(tk.stopAt):
				wk.end(tk, "stopped")
			case tk.work > 0 && now().Sub(tk.started) >= tk.work:
				wk.end(tk, "done")
			}
		}
		wk.changed.Broadcast()
		wk.mu.Unlock()
	}
}

// beat announces the worker to one control process after the other.
func (wk *worker) beat(ctx context.Context) {
	next := 0
	target := wk.controls[0]
	for ctx.Err() == nil {
		addr, err := wk.beatOnce(ctx, target)
		wait := heartbeatInterval
		switch {
		case err != nil:
			next++
			target, wait = wk.controls[next%len(wk.controls)], 50*time.Millisecond
		case addr != "":
			target = addr
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (wk *worker) beatOnce(ctx context.Context, target string) (string, error) {
	callCtx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	wk.mu.Lock()
	wk.sequence++
	body := map[string]any{
		"service": wk.pool, "address": wk.address, "zone": wk.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": wk.capacity, "mem_mb": 131072, "gpu": 0}, "labels": []string{"a", "r1-1"}, "machine": wk.machine,
		"clock_ms": wk.clock().Milliseconds(), "seq": wk.sequence, "born": wk.born.UnixMilli(),
	}
	wk.mu.Unlock()
	status, reply, err := call(callCtx, http.MethodPut, target, "", "/-/instances/"+url.PathEscape(wk.id), body)
	if err != nil {
		return "", err
	}
	if status/100 != 2 {
		return "", fmt.Errorf("status %d", status)
	}
	var answer struct {
		HeartbeatAddr string `json:"heartbeat_addr"`
	}
	_ = json.Unmarshal(reply, &answer)
	return answer.HeartbeatAddr, nil
}
