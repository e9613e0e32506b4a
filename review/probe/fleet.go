package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	zones         = 4
	controlPort   = 8623
	frontPort     = 8624
	readyPort     = 8622
	workerPort    = 8588
	platformPort  = 8621
	workersInPool = 8
	workerCPU     = 64000
	callerHost    = "desk.example"
	callTime      = 3 * time.Second
	startTime     = 30 * time.Second
)

// machine is a machine of the platform; worker is nil while it is away.
type machine struct {
	name, pool, zone, address, state string
	capacity, lives                  int
	worker                           *worker
}

// fleet is the system under test and the stand-ins around it.
type fleet struct {
	rec      *recorder
	dir      string
	base     string
	trouble  bool
	controls []string
	fronts   []string
	// newControl is the address of the core machine that is added later.
	newControl string
	platform   *http.Server
	// how is passed to all workers.
	how atomic.Pointer[func(name, how string) string]

	mu       sync.Mutex
	machines map[string]*machine
	stopped  bool
}

func newFleet(rec *recorder, dir, base string, trouble bool) *fleet {
	fl := &fleet{newControl: fmt.Sprintf("%s.1.11:%d", base, controlPort), rec: rec, dir: dir, base: base, trouble: trouble, machines: map[string]*machine{}}
	for zone := 1; zone <= zones; zone++ {
		fl.controls = append(fl.controls, fmt.Sprintf("%s.%d.10:%d", base, zone, controlPort))
		fl.fronts = append(fl.fronts, fmt.Sprintf("%s.%d.20:%d", base, zone, frontPort))
	}
	return fl
}

// start waits until the system's processes listen, then starts the platform and the
// workers of two pools.
func (fl *fleet) start() error {
	fl.rec.log("case", "trouble %v", fl.trouble)
	if err := fl.servePlatform(fmt.Sprintf("%s.100.1:%d", fl.base, platformPort)); err != nil {
		return err
	}
	for ix, pool := range []string{"pool-a", "pool-b"} {
		for no := range workersInPool {
			zone := no%zones + 1
			mc := &machine{
				name: fmt.Sprintf("m-%d%d", ix, no), pool: pool, zone: fmt.Sprintf("z%d", zone), state: "up", capacity: workerCPU,
				address: fmt.Sprintf("%s.%d.%d:%d", fl.base, zone, 100+10*ix+no, workerPort),
			}
			fl.machines[mc.name] = mc
			if err := fl.launch(mc); err != nil {
				return err
			}
		}
	}
	if err := fl.until(startTime, "a leader", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		status, _, err := call(ctx, http.MethodPut, fl.controls[0], "", "/-/config", config(1, "a", "b"))
		return err == nil && status == http.StatusOK
	}); err != nil {
		return err
	}
	fl.rec.log("operator", "PUT /-/config version 1: 200")
	return fl.until(startTime, "ready entries", func() bool {
		for zone := 1; zone <= zones; zone++ {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			status, _, err := call(ctx, http.MethodGet, fmt.Sprintf("%s.%d.20:%d", fl.base, zone, readyPort), "", "/-/ready", nil)
			cancel()
			if err != nil || status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// stop ends the workers. The script ends the system's processes.
func (fl *fleet) stop() {
	fl.mu.Lock()
	fl.stopped = true
	var live []*worker
	for _, mc := range fl.machines {
		if mc.worker != nil {
			live = append(live, mc.worker)
		}
	}
	fl.mu.Unlock()
	for _, wk := range live {
		wk.crash()
	}
	if fl.platform != nil {
		_ = fl.platform.Close()
	}
}

// launch starts the next life of a machine's worker. The caller need not hold the lock
// before other goroutines use the machine.
func (fl *fleet) launch(mc *machine) error {
	mc.lives++
	wk := &worker{
		rec: fl.rec, controls: fl.controls, id: fmt.Sprintf("i-%s-%d", mc.name, mc.lives), machine: mc.name, pool: mc.pool,
		address: mc.address, zone: mc.zone, capacity: mc.capacity, how: &fl.how,
	}
	if err := wk.launch(); err != nil {
		return err
	}
	mc.worker, mc.state = wk, "up"
	return nil
}

// restart ends a machine's worker at once and starts the next one after a while.
func (fl *fleet) restart(mc *machine, away time.Duration) {
	fl.mu.Lock()
	wk := mc.worker
	mc.worker = nil
	if mc.state == "up" {
		mc.state = "down"
	}
	fl.mu.Unlock()
	if wk != nil {
		wk.crash()
	}
	time.AfterFunc(away, func() {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		if !fl.stopped {
			if err := fl.launch(mc); err != nil {
				fl.rec.log("worker", "%s cannot start: %v", mc.name, err)
			}
		}
	})
}

// running returns the machine that runs a task, and the run.
func (fl *fleet) running(name string) (*machine, int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, mc := range fl.machines {
		if mc.worker == nil {
			continue
		}
		mc.worker.mu.Lock()
		tk := mc.worker.running[name]
		mc.worker.mu.Unlock()
		if tk != nil {
			return mc, tk.run
		}
	}
	return nil, 0
}

// tasks counts the tasks at work in a pool, and those of a job.
func (fl *fleet) tasks(pool, job string) (all, ofJob int) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, mc := range fl.machines {
		if mc.worker == nil || mc.pool != pool {
			continue
		}
		mc.worker.mu.Lock()
		for name := range mc.worker.running {
			all++
			if strings.HasPrefix(name, job+".") {
				ofJob++
			}
		}
		mc.worker.mu.Unlock()
	}
	return all, ofJob
}

// until waits until a condition holds.
func (fl *fleet) until(limit time.Duration, what string, holds func() bool) error {
	end := now().Add(limit)
	for !holds() {
		if now().After(end) {
			return errors.New("no " + what + " in time")
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// signal sends a signal to a process of the fleet.
func (fl *fleet) signal(name string, sig syscall.Signal) error {
	text, err := os.ReadFile(filepath.Join(fl.dir, name+".pid")) //nolint:gosec // the script names the folder
	if err != nil {
		return err
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return err
	}
	fl.rec.log("signal", "%s to %s", sig, name)
	return syscall.Kill(pid, sig)
}

// mark creates a file that tells the script what becomes of a machine.
func (fl *fleet) mark(name, what string) error {
	fl.rec.log("machine", "%s: %s", name, what)
	return os.WriteFile(filepath.Join(fl.dir, name+"."+what), nil, 0o600)
}

// config returns a configuration with the named queues: a and b, which the pools of
// the same names serve.
func config(version int, queues ...string) map[string]any {
	routes, services := []any{}, []any{}
	for _, name := range queues {
		routes = append(routes, map[string]any{
			"name": "r-" + name, "host": callerHost, "path_prefix": "/" + name + "/", "type": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": 0, "service": "pool-" + name, "max_attempts": 3, "stretch": 1.6,
		})
	}
	for _, name := range []string{"pool-a", "pool-b"} {
		services = append(services, map[string]any{
			"name": name, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": true, "standby": false,
		})
	}
	limits := map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	return map[string]any{"version": version, "routes": routes, "services": services, "limits": limits}
}

// client keeps no connections, so that a frozen process holds no later call up.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// call sends one request. The host is that of the address if it is empty.
func call(ctx context.Context, method, addr, host, path string, body any) (int, []byte, error) {
	var content io.Reader = http.NoBody
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		content = bytes.NewReader(text)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, content)
	if err != nil {
		return 0, nil, err
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Greengageweir-Deadline-Ms", strconv.FormatInt(callTime.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, text, err
}

// ask sends one call of a caller to an entry and records it; status 0 means that no
// answer came.
func (fl *fleet) ask(entry int, method, path string, body any) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	status, text, err := call(ctx, method, fl.fronts[entry], callerHost, path, body)
	if err != nil {
		fl.rec.log("caller", "%s %s at entry %d: no answer", method, path, entry+1)
		return 0, ""
	}
	fl.rec.log("caller", "%s %s at entry %d: %d %s", method, path, entry+1, status, strings.TrimSpace(string(text)))
	return status, string(text)
}

// askAgain repeats a call at the next entries until an answer is clear.
func (fl *fleet) askAgain(method, path string, body any) (int, string) {
	for try := range 8 {
		status, text := fl.ask(try%zones, method, path, body)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout {
			return status, text
		}
		time.Sleep(300 * time.Millisecond)
	}
	return 0, ""
}

// configure sends a configuration until it is acknowledged, first to one of the control
// processes.
func (fl *fleet) configure(first, version int, queues ...string) error {
	for try := range 8 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, _, err := call(ctx, http.MethodPut, fl.controls[(first+try)%zones], "", "/-/config", config(version, queues...))
		cancel()
		fl.rec.log("operator", "PUT /-/config version %d with queues %v: %d %v", version, queues, status, err)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return errors.New("configuration not acknowledged")
}

// startWave asks for the maintenance of machines until the wave is acknowledged.
func (fl *fleet) startWave(number int, machines ...string) error {
	body := map[string]any{"wave": number, "machines": machines, "deadline_s": 60, "cap": 1}
	for try := range 8 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, _, err := call(ctx, http.MethodPost, fl.controls[try%zones], "", "/-/wave-start", body)
		cancel()
		fl.rec.log("operator", "POST /-/wave-start %d of %v: %d %v", number, machines, status, err)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return errors.New("wave not acknowledged")
}

// job returns a job of steps that follow each other.
func job(spec string, steps ...map[string]any) map[string]any {
	return map[string]any{"spec": spec, "steps": steps}
}

// errNotAccepted means that a call of the case's preparation got no clear success.
var errNotAccepted = errors.New("the case's own job was not taken")
