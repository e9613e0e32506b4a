package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

const (
	service = "desk"
	// firstKind is the kind of the first worker of a fleet, which no other has.
	firstKind   = "g"
	callTimeout = 3 * time.Second
	// readyTimeout is the time for the processes to elect a leader.
	readyTimeout = 20 * time.Second
	pollPause    = 50 * time.Millisecond
)

// play is one run of a case.
type play struct {
	ad      addresses
	rec     *record
	trouble bool
	client  *http.Client

	mu      sync.Mutex
	workers []*worker
	runs    []*run
	// lateNext is set if the next start is left unanswered; late is that start and
	// lateAt the worker that it was sent to.
	lateNext bool
	// lateHoldNext and lateHold are the same for the next call to hold that acknowledges
	// an end.
	lateHoldNext bool
	lateHold     *order
	late         *order
	lateAt       string
	// cpu is what a task of each job requests.
	cpu map[string]int
}

func newPlay(opt options) (*play, error) {
	pl := &play{trouble: opt.Trouble != 0, client: &http.Client{Timeout: callTimeout}, cpu: map[string]int{}}
	data, err := os.ReadFile(filepath.Join(opt.Dir, "addresses.json"))
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(data, &pl.ad); err != nil {
		return nil, err
	}
	pl.rec, err = newRecord(opt.Record)
	return pl, err
}

func (pl *play) close() {
	pl.mu.Lock()
	workers := pl.workers
	pl.mu.Unlock()
	for _, wk := range workers {
		wk.crash()
	}
}

func (pl *play) addWorker(wk *worker) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.workers = append(pl.workers, wk)
}

// worker returns the life of a worker that is up under an id.
func (pl *play) worker(id string) *worker {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, wk := range pl.workers {
		if wk.id == id && wk.up {
			return wk
		}
	}
	return nil
}

func (pl *play) workerAddr(host int) string {
	return net.JoinHostPort(pl.ad.WorkerNet+strconv.Itoa(host), strconv.Itoa(pl.ad.WorkerPort))
}

func (pl *play) cpuOf(task string) int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.cpu[jobOf(task)]
}

// keepLate keeps a start that is left unanswered, and reports false for all others.
func (pl *play) keepLate(id string, od order) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if !pl.lateNext {
		return false
	}
	pl.lateNext, pl.late, pl.lateAt = false, &od, id
	pl.rec.note("worker %s leaves the start of task %s run %d unanswered", id, od.Task, od.Run)
	return true
}

// keepLateHold keeps a call to hold that is left unanswered.
func (pl *play) keepLateHold(id string, od order) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if !pl.lateHoldNext || od.Ack == 0 {
		return false
	}
	pl.lateHoldNext, pl.lateHold = false, &od
	pl.rec.note("worker %s leaves a hold with ack_cursor %d unanswered", id, od.Ack)
	return true
}

// numberEnd records the number of a run's end in its worker's list.
func (pl *play) numberEnd(rn *run, number int64) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	rn.end = number
}

// noteEnds records which ends of a worker's life an acknowledgement reaches.
func (pl *play) noteEnds(wk *worker, ack int64) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, rn := range pl.runs {
		if rn.worker == wk.id && rn.born == wk.born && rn.end != 0 && rn.end <= ack && !rn.noted {
			rn.noted = true
			pl.rec.note("worker %s: the end of task %s run %d is taken note of", wk.id, rn.task, rn.number)
		}
	}
}

// awaitLate waits for the start that is left unanswered.
func (pl *play) awaitLate() (*order, string, error) {
	for until := now().Add(startMax); now().Before(until); time.Sleep(pollPause) {
		pl.mu.Lock()
		od, id := pl.late, pl.lateAt
		pl.mu.Unlock()
		if od != nil {
			return od, id, nil
		}
	}
	return nil, "", errors.New("no start was sent")
}

func (pl *play) beginRun(rn *run) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.runs = append(pl.runs, rn)
	pl.rec.note("worker %s starts task %s run %d", rn.worker, rn.task, rn.number)
}

func (pl *play) endRun(rn *run, how string) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	rn.ended, rn.how = now(), how
	pl.rec.note("worker %s ends task %s run %d: %s", rn.worker, rn.task, rn.number, how)
}

// runsOf returns copies of the runs of a task.
func (pl *play) runsOf(task string) []run {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var out []run
	for _, rn := range pl.runs {
		if rn.task == task {
			out = append(out, *rn)
		}
	}
	return out
}

// atWork returns the run of a task that is at work, or nil.
func (pl *play) atWork(task string) *run {
	for _, rn := range pl.runsOf(task) {
		if rn.ended.IsZero() {
			return &rn
		}
	}
	return nil
}

// awaitRun waits until a run of a task is at work.
func (pl *play) awaitRun(task string) (*run, error) {
	for until := now().Add(startMax); now().Before(until); time.Sleep(pollPause) {
		if rn := pl.atWork(task); rn != nil {
			return rn, nil
		}
	}
	return nil, fmt.Errorf("task %s has no run after %s", task, startMax)
}

// call sends one request with a JSON body and returns the status and the body.
func (pl *play) call(method, addr, host, path string, body any) (int, []byte, error) {
	var rd io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		rd = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+addr+path, rd)
	if err != nil {
		return 0, nil, err
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Greengageweir-Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	resp, err := pl.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// route returns a route of the configuration.
func route(name string) map[string]any {
	return map[string]any{
		"name": name, "host": name + ".example", "path_prefix": "/" + name + "/", "type": "non_idempotent", "timeout_ms": 3000,
		"target_latency_ms": 600, "priority": 0, "service": service, "max_attempts": 3, "stretch": 2.2,
	}
}

// putConfig sends a configuration, to one control process after the other, until it
// is acknowledged.
func (pl *play) putConfig(version int, routes ...map[string]any) error {
	body := map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{
			"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": true, "standby": false,
		}},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	return pl.toControl(http.MethodPut, "/-/config", body)
}

// toControl sends an operator's order until it is acknowledged.
func (pl *play) toControl(method, path string, body any) error {
	for until := now().Add(readyTimeout); now().Before(until); time.Sleep(pollPause) {
		for _, addr := range pl.ad.Control {
			status, text, err := pl.call(method, addr, "", path, body)
			if err == nil && status == http.StatusOK {
				pl.rec.note("%s %s acknowledged", method, path)
				return nil
			}
			if err == nil && status >= 400 && status < 500 {
				return fmt.Errorf("%s %s: %d %s", method, path, status, text)
			}
		}
	}
	return errors.New("no control process acknowledges " + path)
}

// submit hands the case's job in until it is accepted.
func (pl *play) submit(text string, steps ...map[string]any) error {
	return pl.submitJob(oneJob, text, steps...)
}

// submitJob hands a job in until it is accepted.
func (pl *play) submitJob(job, text string, steps ...map[string]any) error {
	pl.mu.Lock()
	pl.cpu[job] = steps[0]["cpu"].(int)
	pl.mu.Unlock()
	body := map[string]any{"spec": text, "steps": steps}
	for until := now().Add(readyTimeout); now().Before(until); time.Sleep(pollPause) {
		status, _, err := pl.call(http.MethodPost, pl.ad.Front, queue+".example", "/"+queue+"/"+job, body)
		if err == nil && status == http.StatusOK {
			pl.rec.note("job %s accepted on %s", job, queue)
			return nil
		}
	}
	return errors.New("job " + job + " is not accepted")
}

// startFleet starts workers and waits until all have announced themselves.
func (pl *play) startFleet(count int) error {
	for ix := 1; ix <= count; ix++ {
		wk, err := pl.startWorker(fmt.Sprintf("i-%03d", ix), fmt.Sprintf("m-%03d", ix), pl.workerAddr(ix))
		if err != nil {
			return err
		}
		if ix == 1 {
			wk.kind = firstKind
		}
		for until := now().Add(readyTimeout); !wk.announce(); time.Sleep(pollPause) {
			if now().After(until) {
				return errors.New("no control process takes the workers' heartbeats")
			}
		}
		go wk.announceLoop()
	}
	return nil
}

// serve serves a stand-in of the platform's.
func (pl *play) serve(addr string, handler http.Handler) error {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: callTimeout}
	go func() { _ = server.Serve(lis) }()
	return nil
}
