package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

// caseConfig sends a configuration that cannot be read in full: a complete
// document, followed by a second end of the document and half of another one.
func caseConfig(wd *world, trouble bool) (verdict, error) {
	if _, err := setUp(wd, 0); err != nil {
		return verdict{}, err
	}
	services := []string{service}
	valid := config(2, services, newRoute(prefix, service), newRoute("/swaps/", service))
	if status, err := wd.putConfig(valid, 5*time.Second); err != nil || status != http.StatusOK {
		return verdict{}, fmt.Errorf("a valid change gets %d %w", status, err)
	}
	held := valid
	if trouble {
		next := config(3, services, newRoute(prefix, service), newRoute("/swaps/", service), newRoute("/labs/", service))
		broken := append(append(bytes.Clone(next), '}'), next[len(next)/2:]...)
		if json.Valid(broken) {
			return verdict{}, errors.New("the invalid configuration is valid")
		}
		status, err := wd.putConfig(broken, 5*time.Second)
		if err != nil {
			return verdict{}, err
		}
		if status == http.StatusOK {
			held = broken
		}
	}
	time.Sleep(2500 * time.Millisecond)
	found := ""
	for ix := range controlCount {
		status, body, err := call(http.MethodGet, "http://"+wd.fl.controlAddr(ix)+"/-/config", "", nil, time.Second, nil)
		wd.rec.add("operator: GET /-/config at control-%d: %d, %d bytes, valid JSON: %v, as sent last: %v %v", ix+1, status, len(body), json.Valid(body), bytes.Equal(body, held), err)
		if err == nil && status == http.StatusOK && !json.Valid(body) {
			found = fmt.Sprintf("; control-%d answers a read with a document that cannot be read", ix+1)
		}
	}
	status, _ := wd.caller(0, http.MethodGet, "/labs/", nil)
	if !bytes.Equal(held, valid) {
		return verdict{broken: true, what: fmt.Sprintf("an invalid configuration is acknowledged%s; a route that only it holds answers %d", found, status)}, nil
	}
	return verdict{what: "the valid configuration is in force"}, nil
}

// caseAttempts drops a route while the last attempt of a task runs, and adds it
// again after the attempt has failed.
func caseAttempts(wd *world, trouble bool) (verdict, error) {
	if _, err := setUp(wd, 0); err != nil {
		return verdict{}, err
	}
	const work = 4 * time.Second
	services := []string{service}
	other := newRoute("/swaps/", service)
	if status, err := wd.putConfig(config(2, services, newRoute(prefix, service), other), 5*time.Second); err != nil || status != http.StatusOK {
		return verdict{}, fmt.Errorf("a valid change gets %d %w", status, err)
	}
	time.Sleep(2 * time.Second)
	starts := make(chan int, 64)
	wd.mu.Lock()
	wd.onStart = func(_ *worker, task string, run int) {
		if strings.HasPrefix(task, jobID(1)) {
			starts <- run
		}
	}
	wd.mu.Unlock()
	jb := small(work, 1)
	jb.Steps[0].fails = true
	if !wd.submit("/swaps/", jobID(1), jb) {
		return verdict{}, errors.New("the job is not accepted")
	}
	count := 0
	for count < 3 {
		select {
		case <-starts:
			count++
		case <-time.After(3 * work):
			return verdict{}, fmt.Errorf("start %d does not come", count+1)
		}
	}
	if trouble {
		if status, err := wd.putConfig(config(3, services, newRoute(prefix, service)), 3*time.Second); err != nil || status != http.StatusOK {
			return verdict{}, fmt.Errorf("a valid change gets %d %w", status, err)
		}
	}
	time.Sleep(work + 2*time.Second)
	if trouble {
		if status, err := wd.putConfig(config(4, services, newRoute(prefix, service), other), 3*time.Second); err != nil || status != http.StatusOK {
			return verdict{}, fmt.Errorf("a valid change gets %d %w", status, err)
		}
	}
	time.Sleep(4 * time.Second)
	extra := len(starts)
	wd.state(0, "/swaps/", jobID(1))
	if extra > 0 {
		return verdict{broken: true, what: fmt.Sprintf("%d starts after max_attempts (3) runs of the task have ended failed", extra)}, nil
	}
	return verdict{what: "no start after the last attempt"}, nil
}

// caseForeign lets a process that is no worker of the system announce itself: an
// agent on the machine of a worker, of a service that no configuration names.
func caseForeign(wd *world, trouble bool) (verdict, error) {
	po, err := setUp(wd, 0)
	if err != nil {
		return verdict{}, err
	}
	starts := make(chan *worker, 64)
	wd.mu.Lock()
	wd.onStart = func(wk *worker, task string, _ int) {
		if strings.HasPrefix(task, jobID(1)) {
			starts <- wk
		}
	}
	wd.mu.Unlock()
	if !wd.submit(prefix, jobID(1), small(8*time.Second, 4)) {
		return verdict{}, errors.New("the job is not accepted")
	}
	var wk *worker
	for range 4 {
		select {
		case wk = <-starts:
		case <-time.After(10 * time.Second):
			return verdict{}, errors.New("the tasks do not start")
		}
	}
	time.Sleep(time.Second)
	if trouble {
		if err := announceAgent(wd, po.workers[po.indexOf(wk)].machine); err != nil {
			return verdict{}, err
		}
	}
	st := wd.awaitState(prefix, jobID(1), "done", 25*time.Second)
	wd.mu.Lock()
	defer wd.mu.Unlock()
	if len(wd.twice) > 0 {
		return verdict{broken: true, what: fmt.Sprintf("%d times a task ran twice at the same time, first: %s", len(wd.twice), wd.twice[0])}, nil
	}
	return verdict{what: "no task ran twice; the job is " + st}, nil
}

// announceAgent sends one heartbeat for an agent on a machine, to one control
// process after the other until one answers.
func announceAgent(wd *world, machine string) error {
	lis, err := net.Listen("tcp", net.JoinHostPort(loopback(4, 0), "0"))
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(lis, http.NotFoundHandler()) }()
	body, _ := json.Marshal(map[string]any{
		"service": "telemetry", "address": lis.Addr().String(), "zone": "zone-a", "version": "v1", "slots": 1, "state": "ready",
		"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": 100, "mem_mb": 64, "gpu": 0}, "labels": []string{"agent", "r-1"},
		"machine": machine, "clock_ms": 1000, "seq": 1, "born": time.Now().UnixMilli(),
	})
	for ix := range controlCount {
		addr := wd.fl.controlAddr(ix)
		status, _, err := call(http.MethodPut, "http://"+addr+"/-/instances/agent-1", "", body, time.Second, nil)
		wd.rec.add("another writer: PUT /-/instances/agent-1 %s to %s: %d %v", body, addr, status, err)
		if err == nil {
			return nil
		}
	}
	return errors.New("no control process answers the other writer")
}

// caseAdvice lets the only worker crash that the adviser allows to run a lasting
// task. It is back, as the next life of its machine, after three seconds.
func caseAdvice(wd *world, trouble bool) (verdict, error) {
	po, err := setUp(wd, 0)
	if err != nil {
		return verdict{}, err
	}
	advised := newRoute("/swaps/", service)
	advised.Advice = &advice{DecideMS: 20, EachMS: 2, ValidityMS: adviceValidityMS}
	if status, err := wd.putConfig(config(2, []string{service}, newRoute(prefix, service), advised), 5*time.Second); err != nil || status != http.StatusOK {
		return verdict{}, fmt.Errorf("a valid change gets %d %w", status, err)
	}
	time.Sleep(2500 * time.Millisecond)
	lasting := job{Spec: "lasting", Steps: []step{{Count: 1, CPU: 5300, MemMB: 512, LongRunning: true}}}
	if !wd.submit("/swaps/", jobID(1), lasting) {
		return verdict{}, errors.New("the job is not accepted")
	}
	time.Sleep(4 * time.Second)
	task := jobID(1) + ".0.0.0"
	if wd.runningOn(task) == 0 {
		return verdict{}, errors.New("the task does not start")
	}
	if trouble {
		po.workers[0].crash(false)
		time.Sleep(3 * time.Second)
		if err := po.life(0, "", 0); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(finish)
	idle := 0
	for range 30 {
		if wd.runningOn(task) == 0 {
			idle++
		}
		time.Sleep(100 * time.Millisecond)
	}
	st := wd.state(0, "/swaps/", jobID(1))
	if idle == 30 {
		return verdict{broken: true, what: "for 3 s, 14 s after its worker is back, a task that lasts does not run though a worker that may run it is idle; the job is shown as " + st}, nil
	}
	return verdict{what: "the task runs"}, nil
}

// runningOn returns on how many workers a task runs now.
func (wd *world) runningOn(task string) int {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return len(wd.active[task])
}

// caseDeadly hands in a job of one task that crashes each worker that starts it,
// before the worker answers the order. The workers are back after three seconds.
func caseDeadly(wd *world, trouble bool) (verdict, error) {
	po, err := setUp(wd, 0)
	if err != nil {
		return verdict{}, err
	}
	const back, watched = 3 * time.Second, 40 * time.Second
	starts := make(chan *worker, 256)
	wd.mu.Lock()
	wd.onStart = func(wk *worker, task string, _ int) {
		if strings.HasPrefix(task, jobID(1)) {
			starts <- wk
		}
	}
	wd.mu.Unlock()
	jb := small(time.Second, 1)
	jb.Steps[0].deadly = trouble
	if !wd.submit(prefix, jobID(1), jb) {
		return verdict{}, errors.New("the job is not accepted")
	}
	// The fourth start and each later one come after three workers have crashed.
	const allowed = 5
	count := 0
	until := time.After(watched)
	for watching := true; watching && count < allowed+4; {
		select {
		case wk := <-starts:
			count++
			if ix := po.indexOf(wk); trouble {
				time.AfterFunc(back, func() { _ = po.life(ix, "", 0) })
			}
		case <-until:
			watching = false
		}
	}
	st := wd.state(0, prefix, jobID(1))
	what := fmt.Sprintf("a task was started %d times, %d of them after three workers had crashed under it; the job is shown as %s", count, max(0, count-3), st)
	return verdict{broken: count > allowed, what: what}, nil
}

// caseMalformed lets one worker list one row that is no end of a task: its step is
// -1. The row stays in the list until it is acknowledged, as others do.
func caseMalformed(wd *world, trouble bool) (verdict, error) {
	po, err := setUp(wd, 0)
	if err != nil {
		return verdict{}, err
	}
	lasting := job{Spec: "lasting", Steps: []step{{Count: 2, CPU: 5300, MemMB: 512, LongRunning: true}}}
	if !wd.submit(prefix, jobID(1), lasting) {
		return verdict{}, errors.New("the job is not accepted")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		po.workers[0].listMalformed(jobID(1) + ".0.-1.0")
	}
	time.Sleep(2 * time.Second)
	accepted := append([]string{jobID(0), jobID(1)}, wd.submitAll(2, 4)...)
	wd.rec.add("the traffic ends; %d jobs were accepted", len(accepted))
	time.Sleep(finish)
	vd := wd.askAll(prefix, accepted, 10*time.Second)
	reads := 0
	for ix := range controlCount {
		status, _, err := call(http.MethodGet, "http://"+wd.fl.controlAddr(ix)+"/-/config", "", nil, time.Second, nil)
		wd.rec.add("operator: GET /-/config at control-%d: %d %v", ix+1, status, err)
		if err == nil && status == http.StatusOK {
			reads++
		}
	}
	vd.what += fmt.Sprintf("; control processes that tell the configuration: %d of %d", reads, controlCount)
	vd.what += fmt.Sprintf("; processes that ended by themselves: %d", wd.fl.ownEnds())
	return vd, nil
}
