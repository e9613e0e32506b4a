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

// EchoResponse is the body of a worker's response.
type EchoResponse struct {
	Key      string          `json:"key"`
	Task     string          `json:"task"`
	Instance weir.InstanceID `json:"instance"`
	// Body is the request body, so that the caller can detect a response that
	// belongs to another request.
	Body string `json:"body"`
}

// serve handles one request: it sleeps for the milliseconds in the query
// parameter "ms" and echoes the body.
func (wk *Worker) serve(rw http.ResponseWriter, req *http.Request) {
	reason := wk.acquireSlot(req)
	if reason != "" {
		rw.Header().Set(endpoint.HeaderRefused, reason)
		http.Error(rw, reason, http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBody))
	if err != nil {
		wk.releaseSlot()
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
		wk.releaseSlot()
		return
	}
	time.Sleep(work)
	wk.recordUsage(rn)
	wk.releaseSlot()
	if failed {
		http.Error(rw, "out of order", http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(EchoResponse{Key: rn.Key, Task: rn.Task, Instance: wk.ID, Body: string(body)})
}

func workTime(req *http.Request) time.Duration {
	millis, err := strconv.Atoi(req.URL.Query().Get("ms"))
	if err != nil {
		return defaultWork
	}
	return min(time.Duration(millis)*time.Millisecond, maxWork)
}

// acquireSlot takes a slot, or returns why the request is refused.
func (wk *Worker) acquireSlot(req *http.Request) string {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	lease, ok := endpoint.ParseLease(req.Header.Get(endpoint.HeaderLease))
	switch {
	case wk.leaving || wk.down:
		return endpoint.RefusedLeaving
	case !ok || lease != wk.lease || !wk.granted || wk.Clock.Now().After(wk.leaseExpires):
		return endpoint.RefusedLease
	case wk.inFlight >= wk.slots:
		return endpoint.RefusedSlots
	}
	wk.inFlight++
	return ""
}

// releaseSlot frees a slot and announces at once when the worker becomes idle.
func (wk *Worker) releaseSlot() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.inFlight--
	if wk.inFlight == 0 {
		wk.wakeAnnouncer()
	}
}

func (wk *Worker) isFailing() bool {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return wk.failing
}

// recordUsage adds a run to the next usage report.
func (wk *Worker) recordUsage(rn Run) {
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
