// Package load is a small stand-in for callers: it sends a mix of bookings,
// which run at most once under a key, and reads, and records what it was
// told. A caller that gets no whole answer asks again with the same key, at
// another entry instance.
//
// Usage:
//
//	ld := &load.Load{Targets: targets, Services: names, Rate: 200, Duration: 10 * time.Second, Seed: 1}
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

// Target is an entry instance's callers' address.
type Target struct {
	Zone weir.Zone
	Addr string
}

// Result is what one caller was told in the end.
type Result struct {
	Key     string           `json:"key,omitempty"`
	Service weir.ServiceName `json:"service"`
	Booking bool             `json:"booking"`
	Outcome weir.OutcomeKind `json:"outcome"`
	// Tries counts the requests sent under the key.
	Tries int `json:"tries"`
	// Wrong marks an answer that belongs to another request or is not whole.
	Wrong bool `json:"wrong,omitempty"`
	// Status is that of a whole answer.
	Status int `json:"status,omitempty"`
	// Reason is why the last try was not whole.
	Reason string        `json:"reason,omitempty"`
	Took   time.Duration `json:"tookNanos"`
	// FirstTook is the time of the first try.
	FirstTook time.Duration `json:"firstTookNanos"`
}

// Load sends requests. Set the exported fields before Run.
type Load struct {
	Targets  []Target
	Services []weir.ServiceName
	Teams    []weir.TeamName
	// Rate is the requests a second, Bookings the share of bookings in percent
	// and Twice the share of bookings sent twice at the same time.
	Rate     int
	Bookings int
	Twice    int
	WorkMS   int
	Duration time.Duration
	Seed     int64
	Clock    weir.Clock
	Timeout  time.Duration
	// MaxTries bounds the requests under one key.
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

// Run sends the load and returns all results.
func (ld *Load) Run(ctx context.Context) []Result {
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
		rq := ld.plan(rng)
		wg.Add(1)
		go func() {
			defer wg.Done()
			ld.send(ctx, rq)
		}()
	}
	wg.Wait()
	return ld.results
}

// planned is one caller's request.
type planned struct {
	target  int
	service weir.ServiceName
	team    weir.TeamName
	booking bool
	twice   bool
	body    string
	class   weir.Class
}

func (ld *Load) plan(rng *rand.Rand) planned {
	rq := planned{
		target: rng.Intn(len(ld.Targets)), service: ld.Services[rng.Intn(len(ld.Services))],
		booking: rng.Intn(100) < ld.Bookings, twice: rng.Intn(100) < ld.Twice,
		body: strconv.FormatInt(rng.Int63(), 36), class: weir.Urgent,
	}
	if len(ld.Teams) > 0 {
		rq.team = ld.Teams[rng.Intn(len(ld.Teams))]
	}
	return rq
}

func (ld *Load) send(ctx context.Context, rq planned) {
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
		go func() { second <- ld.askUntilWhole(ctx, rq, res, rq.target+1) }()
		res = ld.askUntilWhole(ctx, rq, res, rq.target)
		res = merge(res, <-second)
	} else {
		res = ld.askUntilWhole(ctx, rq, res, rq.target)
	}
	res.Took = ld.Clock.Now().Sub(begin)
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.results = append(ld.results, res)
}

// merge joins the results of two callers that used the same key.
func merge(a, b Result) Result {
	a.Tries += b.Tries
	a.Wrong = a.Wrong || b.Wrong
	if b.Outcome == weir.Complete {
		a.Outcome = weir.Complete
	}
	return a
}

// askUntilWhole asks until it has a whole answer or has tried often enough.
func (ld *Load) askUntilWhole(ctx context.Context, rq planned, res Result, target int) Result {
	begin := ld.Clock.Now()
	told := weir.NotRun
	for res.Tries < ld.MaxTries {
		res.Tries++
		one := ld.ask(ctx, rq, res.Key, ld.Targets[target%len(ld.Targets)].Addr)
		if res.Tries == 1 {
			res.FirstTook = ld.Clock.Now().Sub(begin)
		}
		res.Wrong = res.Wrong || one.Wrong
		told, res.Status, res.Reason = one.Outcome, one.Status, one.Reason
		if told == weir.Complete {
			break
		}
		target++
		time.Sleep(retryPause)
	}
	res.Outcome = told
	return res
}

// ask sends one request. No answer at all is an unknown outcome.
func (ld *Load) ask(ctx context.Context, rq planned, key, addr string) Result {
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
