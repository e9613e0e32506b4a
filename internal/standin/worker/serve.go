package worker

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"greengageweir/internal/contract/endpoint"
	"greengageweir/internal/fleet/command"

	weir "greengageweir"
)

const (
	defaultWork = 5 * time.Millisecond
	maxWork     = time.Minute
	maxBody     = 2 << 20
)

// Echo is the body of a worker's answer.
type Echo struct {
	Key      string          `json:"key"`
	Task     string          `json:"task"`
	Instance weir.InstanceID `json:"instance"`
	// Body is what the caller sent, so that it can tell its answer from others.
	Body string `json:"body"`
}

// serve runs one request: it works for the time named in the query ("ms").
func (wk *Worker) serve(rw http.ResponseWriter, req *http.Request) {
	reason := wk.begin(req)
	if reason != "" {
		rw.Header().Set(endpoint.HeaderRefused, reason)
		http.Error(rw, reason, http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody))
	if err != nil {
		wk.end()
		return
	}
	work := workTime(req)
	failed := wk.isFailing()
	rn := Run{
		Key: req.Header.Get(endpoint.HeaderKey), Task: req.Header.Get(endpoint.HeaderTask),
		Service: weir.ServiceName(req.Header.Get(endpoint.HeaderService)),
		Team:    weir.TeamName(req.Header.Get(endpoint.HeaderTeam)), Instance: wk.ID,
		BusyMillis: uint64(work.Milliseconds()), Failed: failed,
	}
	if err := wk.Journal.Add(rn); err != nil {
		wk.end()
		return
	}
	time.Sleep(work)
	wk.count(rn)
	wk.end()
	if failed {
		http.Error(rw, "out of order", http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(Echo{Key: rn.Key, Task: rn.Task, Instance: wk.ID, Body: string(body)})
}

func workTime(req *http.Request) time.Duration {
	millis, err := strconv.Atoi(req.URL.Query().Get("ms"))
	if err != nil {
		return defaultWork
	}
	return min(time.Duration(millis)*time.Millisecond, maxWork)
}

// begin takes a slot, or tells why the request is refused.
func (wk *Worker) begin(req *http.Request) string {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	lease, ok := endpoint.ParseLease(req.Header.Get(endpoint.HeaderLease))
	switch {
	case wk.leaving || wk.down:
		return endpoint.RefusedLeaving
	case !ok || lease != wk.lease || !wk.granted || wk.Clock.Now().After(wk.expires):
		return endpoint.RefusedLease
	case wk.inFlight >= wk.slots:
		return endpoint.RefusedSlots
	}
	wk.inFlight++
	return ""
}

func (wk *Worker) end() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.inFlight--
	if wk.inFlight == 0 {
		wk.nudge()
	}
}

func (wk *Worker) isFailing() bool {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return wk.failing
}

// count adds a run to the usage of the next report.
func (wk *Worker) count(rn Run) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	key := usageKey{rn.Service, rn.Team}
	sum, ok := wk.totals[key]
	if !ok {
		sum = &command.UsageTotal{Service: rn.Service, Team: rn.Team}
		wk.totals[key] = sum
	}
	if rn.Failed {
		sum.Failed++
	} else {
		sum.Done++
	}
	sum.BusyMillis += rn.BusyMillis
}
