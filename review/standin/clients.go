package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	callerHost = "jobs.example"
	// callerWait is how long clients wait for an answer, as they tell in
	// X-Greengageweir-Deadline-Ms.
	callerWait = 3 * time.Second
)

// route is a queue of the configuration.
type route struct {
	Name        string  `json:"name"`
	Host        string  `json:"host"`
	PathPrefix  string  `json:"path_prefix"`
	Type        string  `json:"type"`
	TimeoutMS   int     `json:"timeout_ms"`
	TargetMS    int     `json:"target_latency_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max_attempts"`
	Stretch     float64 `json:"stretch"`
	Advice      *advice `json:"advice,omitempty"`
}

// advice is what a configuration tells of a queue's adviser.
type advice struct {
	DecideMS   int `json:"decide_ms"`
	EachMS     int `json:"each_ms"`
	ValidityMS int `json:"validity_ms"`
}

func newRoute(prefix, service string) route {
	return route{
		Name: "r-" + strings.Trim(prefix, "/"), Host: callerHost, PathPrefix: prefix, Type: "non_idempotent", TimeoutMS: 3000,
		TargetMS: 600, Service: service, MaxAttempts: 3, Stretch: 1.6,
	}
}

// config returns a configuration as the operator sends it.
func config(version int, services []string, routes ...route) []byte {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{
			"name": name, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "enforces_capacity": true, "standby": false,
		})
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return data
}

// putConfig sends a configuration as the operator does: to one control process
// after the other until one gives a clear answer.
func (wd *world) putConfig(body []byte, wait time.Duration) (int, error) {
	until := time.Now().Add(wait)
	for ix := 0; time.Now().Before(until); ix++ {
		addr := wd.fl.controlAddr(ix % controlCount)
		status, _, err := call(http.MethodPut, "http://"+addr+"/-/config", "", body, time.Second, nil)
		wd.rec.add("operator: PUT /-/config (%s) to %s: %d %v", clip(string(body[:min(len(body), 40)])), addr, status, err)
		if err == nil && (status == http.StatusOK || (status/100 == 4 && status != http.StatusTooManyRequests && status != http.StatusRequestTimeout)) {
			return status, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, errors.New("no clear answer to the configuration")
}

// caller sends one request to an entry process; status 0 means no answer.
func (wd *world) caller(entry int, method, path string, body []byte) (int, string) {
	status, data, err := call(method, "http://"+wd.fl.frontAddr(entry)+path, callerHost, body, callerWait,
		map[string]string{"X-Greengageweir-Deadline-Ms": fmt.Sprint(callerWait.Milliseconds())})
	text := strings.TrimSpace(string(data))
	if err != nil {
		status, text = 0, err.Error()
	}
	wd.rec.add("client: %s %s at entry-%d: %d %s", method, path, entry+1, status, clip(text))
	return status, text
}

// submit hands a job in, and again at the next entry process after no answer, a
// 502, 503 or 504. It reports whether the job was accepted.
func (wd *world) submit(prefix, id string, jb job) bool {
	wd.mu.Lock()
	wd.jobs[id] = jb
	wd.mu.Unlock()
	body, _ := json.Marshal(jb)
	for try := range 5 {
		status, _ := wd.caller(try%entryCount, http.MethodPost, prefix+id, body)
		if status/100 == 2 {
			return true
		}
		if status == http.StatusNotFound || status == http.StatusBadRequest {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job; "" means that no answer came.
func (wd *world) state(entry int, prefix, id string) string {
	status, text := wd.caller(entry, http.MethodGet, prefix+id, nil)
	if status == http.StatusGone {
		return "410"
	}
	if status != http.StatusOK {
		return ""
	}
	var ans struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &ans)
	return ans.State
}

// awaitState asks until the job is in the wanted state and returns the last answer.
func (wd *world) awaitState(prefix, id, want string, wait time.Duration) string {
	until := time.Now().Add(wait)
	last := ""
	for try := 0; time.Now().Before(until); try++ {
		if last = wd.state(try%entryCount, prefix, id); last == want {
			return last
		}
		time.Sleep(250 * time.Millisecond)
	}
	return last
}

// advise names the workers that may run a step: those of one machine.
func (cl *cloud) advise(rw http.ResponseWriter, req *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(req.Body).Decode(&in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	const decide, each = 20, 2
	time.Sleep(time.Duration(decide+each*len(in.Workers)) * time.Millisecond)
	good := [][]string{}
	for _, id := range in.Workers {
		if strings.HasPrefix(id, advisedPrefix) {
			good = append(good, []string{id, "ticket-" + in.Step + "-" + id})
		}
	}
	cl.rec.add("adviser: step %s, asked about %v, good %v", in.Step, in.Workers, good)
	writeJSON(rw, http.StatusOK, map[string]any{"good": good, "validity_ms": adviceValidityMS})
}

const (
	// advisedPrefix is how the ids of the workers begin that may run a step.
	advisedPrefix    = "i-1-"
	adviceValidityMS = 30_000
)

// cloud is the platform's list of machines. No case needs moves or upkeep; it
// answers orders as busy and records them.
type cloud struct {
	rec  *record
	mu   sync.Mutex
	list func() []map[string]any
}

func (cl *cloud) start() (string, error) {
	lis, err := net.Listen("tcp", platformIP()+":0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", func(rw http.ResponseWriter, _ *http.Request) {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		writeJSON(rw, http.StatusOK, map[string]any{"machines": cl.list(), "next_token": ""})
	})
	order := func(rw http.ResponseWriter, req *http.Request) {
		cl.rec.add("platform: %s", req.URL.Path)
		writeJSON(rw, http.StatusConflict, map[string]string{"reason": "busy"})
	}
	mux.HandleFunc("POST /-/machine-move", order)
	mux.HandleFunc("POST /-/machine-upkeep", order)
	mux.HandleFunc("POST /-/advise", cl.advise)
	go func() { _ = http.Serve(lis, mux) }()
	return lis.Addr().String(), nil
}
