// Package load simulates callers. It sends a mix of reads and of bookings, which
// carry an idempotency key and run at most once, and records each outcome. A
// request without a complete response is sent again under the same key, to
// another entry instance.
//
// Usage:
//
//	ld := &load.Generator{Targets: targets, Services: names, Rate: 200, Duration: 10 * time.Second, Seed: 1}
//	results := ld.Run(ctx)
package load

import (
	"context"
	"encoding/json"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"greengageweir/internal/contract/caller"
	"greengageweir/internal/entry/ledger"
	"greengageweir/internal/standin/worker"

	weir "greengageweir"
)

// Target is the caller-facing address of an entry instance.
type Target struct {
	Zone weir.Zone
	Addr string
}

// Result is the final outcome of one request for its caller.
type Result struct {
	Key     string           `json:"key,omitempty"`
	Service weir.ServiceName `json:"service"`
	Booking bool             `json:"booking"`
	Outcome weir.OutcomeKind `json:"outcome"`
	// Tries is the number of attempts, resends included.
	Tries int `json:"tries"`
	// Wrong marks a response that belongs to another request or is malformed.
	Wrong bool `json:"wrong,omitempty"`
	// Status is the HTTP status of the last response.
	Status int `json:"status,omitempty"`
	// Reason is why the last attempt got no complete response.
	Reason string        `json:"reason,omitempty"`
	Took   time.Duration `json:"tookNanos"`
	// FirstTook is the duration of the first attempt.
	FirstTook time.Duration `json:"firstTookNanos"`
}

// Generator sends requests at a fixed rate. Set the exported fields before Run.
type Generator struct {
	Targets  []Target
	Services []weir.ServiceName
	Teams    []weir.TeamName
	// Rate is the number of requests a second, Bookings the percentage of
	// bookings, and Twice the percentage of bookings sent twice concurrently.
	Rate     int
	Bookings int
	Twice    int
	WorkMS   int
	Duration time.Duration
	Seed     int64
	Clock    weir.Clock
	Timeout  time.Duration
	// MaxTries limits the attempts for one request.
	MaxTries int

	client *http.Client

	mu      sync.Mutex
	results []Result
}

const (
	retryPause   = 150 * time.Millisecond
	clientGrace  = 2 * time.Second
	maxIdleConns = 256
)

// Run sends requests for Duration and returns all results.
func (ld *Generator) Run(ctx context.Context) []Result {
	ld.client = &http.Client{
		Timeout:   ld.Timeout + clientGrace,
		Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true},
	}
	rng := rand.New(rand.NewSource(ld.Seed)) //nolint:gosec // a seeded load
	ticker := time.NewTicker(time.Second / time.Duration(ld.Rate))
	defer ticker.Stop()
	var wg sync.WaitGroup
	end := ld.Clock.Now().Add(ld.Duration)
	for ld.Clock.Now().Before(end) && ctx.Err() == nil {
		<-ticker.C
		rq := ld.nextRequest(rng)
		wg.Add(1)
		go func() {
			defer wg.Done()
			ld.send(ctx, rq)
		}()
	}
	wg.Wait()
	return ld.results
}

// plannedRequest is a request with its randomly chosen parameters.
type plannedRequest struct {
	target  int
	service weir.ServiceName
	team    weir.TeamName
	booking bool
	twice   bool
	body    string
	class   weir.Class
}

// nextRequest draws the parameters of the next request.
func (ld *Generator) nextRequest(rng *rand.Rand) plannedRequest {
	rq := plannedRequest{
		target: rng.Intn(len(ld.Targets)), service: ld.Services[rng.Intn(len(ld.Services))],
		booking: rng.Intn(100) < ld.Bookings, twice: rng.Intn(100) < ld.Twice,
		body: strconv.FormatInt(rng.Int63(), 36), class: weir.Urgent,
	}
	if len(ld.Teams) > 0 {
		rq.team = ld.Teams[rng.Intn(len(ld.Teams))]
	}
	return rq
}

// send sends a request, or two concurrent ones under the same key, and records
// the result.
func (ld *Generator) send(ctx context.Context, rq plannedRequest) {
	res := Result{Service: rq.service, Booking: rq.booking}
	begin := ld.Clock.Now()
	if rq.booking {
		key, err := ledger.NewKey(ld.Targets[rq.target].Zone, begin)
		if err != nil {
			return
		}
		res.Key = key
	}
	if rq.booking && rq.twice {
		second := make(chan Result, 1)
		go func() { second <- ld.sendUntilComplete(ctx, rq, res, rq.target+1) }()
		res = ld.sendUntilComplete(ctx, rq, res, rq.target)
		res = mergeResults(res, <-second)
	} else {
		res = ld.sendUntilComplete(ctx, rq, res, rq.target)
	}
	res.Took = ld.Clock.Now().Sub(begin)
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.results = append(ld.results, res)
}

// mergeResults combines the results of two callers that used the same key.
func mergeResults(a, b Result) Result {
	a.Tries += b.Tries
	a.Wrong = a.Wrong || b.Wrong
	if b.Outcome == weir.Complete {
		a.Outcome = weir.Complete
	}
	return a
}

// sendUntilComplete sends until it gets a complete response or MaxTries is
// reached. Each attempt goes to the next entry instance.
func (ld *Generator) sendUntilComplete(ctx context.Context, rq plannedRequest, res Result, target int) Result {
	begin := ld.Clock.Now()
	outcome := weir.NotRun
	for res.Tries < ld.MaxTries {
		res.Tries++
		attempt := ld.sendOnce(ctx, rq, res.Key, ld.Targets[target%len(ld.Targets)].Addr)
		if res.Tries == 1 {
			res.FirstTook = ld.Clock.Now().Sub(begin)
		}
		res.Wrong = res.Wrong || attempt.Wrong
		outcome, res.Status, res.Reason = attempt.Outcome, attempt.Status, attempt.Reason
		if outcome == weir.Complete {
			break
		}
		target++
		time.Sleep(retryPause)
	}
	res.Outcome = outcome
	return res
}

// sendOnce makes one attempt. Without any response the outcome is unknown.
func (ld *Generator) sendOnce(ctx context.Context, rq plannedRequest, key, addr string) Result {
	method := http.MethodGet
	if rq.booking {
		method = http.MethodPost
	}
	url := "http://" + addr + caller.PathCall + string(rq.service) + "/work?ms=" + strconv.Itoa(ld.WorkMS)
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(rq.body))
	if err != nil {
		return Result{Outcome: weir.NotRun}
	}
	req.Header.Set(caller.HeaderTeam, string(rq.team))
	req.Header.Set(caller.HeaderClass, string(rq.class))
	req.Header.Set(caller.HeaderTimeout, ld.Timeout.String())
	if key != "" {
		req.Header.Set(caller.HeaderKey, key)
	}
	resp, err := ld.client.Do(req)
	if err != nil {
		return Result{Outcome: weir.Unknown, Reason: "no answer from the entry instance"}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Result{Outcome: weir.Unknown}
	}
	res := Result{
		Outcome: weir.OutcomeKind(resp.Header.Get(caller.HeaderOutcome)), Status: resp.StatusCode,
		Reason: resp.Header.Get(caller.HeaderReason),
	}
	if res.Outcome == weir.Complete && resp.StatusCode == http.StatusOK {
		var ech worker.EchoResponse
		err := json.Unmarshal(body, &ech)
		res.Wrong = err != nil || ech.Body != rq.body || ech.Key != key
	}
	return res
}
