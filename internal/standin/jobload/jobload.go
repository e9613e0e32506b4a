// Package jobload simulates the teams that submit jobs. Each job is sent with a key of
// its team; one team may send several times as much as each other. Some calls carry a
// key that the configuration no longer has, and must be refused.
//
// Usage:
//
//	gn := &jobload.Generator{Addrs: addrs, Queue: "bookings", Teams: teams, Revoked: keys, Rate: 20, Duration: 10 * time.Second}
//	res := gn.Run(ctx)
//	err := res.Err()
package jobload

import (
	"context"
	"fmt"
	"math/rand"
	"net/http"
	"net/url"
	"sync"
	"time"

	"greengageweir/internal/common/auth"
	"greengageweir/internal/common/errkind"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/contract/jobhttp"
	"greengageweir/internal/job/store"

	"github.com/pkg/errors"

	weir "greengageweir"
)

// Kind classifies the errors of this package.
type Kind string

// KindBroken means that a call was answered in a way that no team may be.
const KindBroken Kind = "promise to teams broken"

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// Team is a team that sends jobs.
type Team struct {
	Name weir.TeamName
	Key  auth.Key
	// Share is how often the team sends in relation to the others.
	Share int
}

// Generator submits jobs at a fixed rate. Set the exported fields before Run.
type Generator struct {
	Addrs []string
	Queue string
	Teams []Team
	// Revoked holds keys that must be refused. Each tenth submission is repeated with
	// one of them and another id.
	Revoked  []auth.Key
	Rate     int
	Duration time.Duration
	// Patience limits the retries of one call, and the wait for a job's end.
	Patience time.Duration
	Seed     int64
	Clock    weir.Clock

	mu  sync.Mutex
	res Result
}

// TeamResult counts the jobs of one team.
type TeamResult struct {
	Sent int `json:"sent"`
	Done int `json:"done"`
	// Unfinished jobs were not accepted, or had not ended, within the patience.
	Unfinished int `json:"unfinished"`
}

// Result counts what became of all calls.
type Result struct {
	Teams map[weir.TeamName]TeamResult `json:"teams"`
	// RevokedSent counts the calls with revoked keys, RevokedAccepted those of them that
	// were accepted.
	RevokedSent     int `json:"revokedSent"`
	RevokedAccepted int `json:"revokedAccepted"`
	// Refused counts the calls with a valid key that were refused for their key, Seen
	// the jobs that another team could query.
	Refused int `json:"refused"`
	Seen    int `json:"seen"`
}

// Err returns an error of KindBroken unless each answer was allowed and each job done.
func (rs Result) Err() error {
	unfinished := 0
	for _, tr := range rs.Teams {
		unfinished += tr.Unfinished
	}
	if rs.RevokedAccepted+rs.Refused+rs.Seen+unfinished == 0 {
		return nil
	}
	return &Error{Op: "load of jobs", Kind: KindBroken, Err: errors.Errorf(
		"%d of %d calls with revoked keys accepted, %d calls with valid keys refused, %d jobs seen by another team, %d jobs not done",
		rs.RevokedAccepted, rs.RevokedSent, rs.Refused, rs.Seen, unfinished)}
}

// revokedEvery is how many submissions come for each call with a revoked key.
const revokedEvery = 10

const pollPause = 200 * time.Millisecond

// Run submits jobs for Duration, waits for their ends and returns the counts.
func (gn *Generator) Run(ctx context.Context) Result {
	gn.res = Result{Teams: map[weir.TeamName]TeamResult{}}
	rng := rand.New(rand.NewSource(gn.Seed)) //nolint:gosec // a seeded load
	ticker := time.NewTicker(time.Second / time.Duration(gn.Rate))
	defer ticker.Stop()
	var wg sync.WaitGroup
	end := gn.Clock.Now().Add(gn.Duration)
	for number := 0; gn.Clock.Now().Before(end) && ctx.Err() == nil; number++ {
		<-ticker.C
		team := gn.pick(rng)
		id := weir.JobID(fmt.Sprintf("load-%d-%d", gn.Seed, number))
		wg.Go(func() { gn.runJob(ctx, team, id) })
		if len(gn.Revoked) > 0 && number%revokedEvery == 0 {
			key := gn.Revoked[rng.Intn(len(gn.Revoked))]
			wg.Go(func() { gn.tryRevoked(ctx, key, id+"-revoked") })
		}
	}
	wg.Wait()
	return gn.res
}

// pick draws the team that sends next, by the teams' shares; it returns its index.
func (gn *Generator) pick(rng *rand.Rand) int {
	total := 0
	for _, tm := range gn.Teams {
		total += tm.Share
	}
	at := rng.Intn(total)
	for ix, tm := range gn.Teams {
		if at -= tm.Share; at < 0 {
			return ix
		}
	}
	return 0
}

// runJob submits a job, lets another team ask for it and waits for its end.
func (gn *Generator) runJob(ctx context.Context, team int, id weir.JobID) {
	tm := gn.Teams[team]
	deadline, cancel := context.WithTimeout(ctx, gn.Patience)
	defer cancel()
	outcome, _ := gn.do(deadline, tm.Key, http.MethodPost, id)
	seen := false
	if other := gn.Teams[(team+1)%len(gn.Teams)]; outcome == jobapi.OK && other.Key != tm.Key {
		answer, _ := gn.do(deadline, other.Key, http.MethodGet, id)
		seen = answer == jobapi.OK
	}
	phase := store.Queued
	for outcome == jobapi.OK && !phase.Terminal() && deadline.Err() == nil {
		outcome, phase = gn.do(deadline, tm.Key, http.MethodGet, id)
		time.Sleep(pollPause)
	}
	gn.mu.Lock()
	defer gn.mu.Unlock()
	tr := gn.res.Teams[tm.Name]
	tr.Sent++
	if phase == store.Done {
		tr.Done++
	} else {
		tr.Unfinished++
	}
	gn.res.Teams[tm.Name] = tr
	if seen {
		gn.res.Seen++
	}
	if outcome == jobapi.Unauthorized {
		gn.res.Refused++
	}
}

// tryRevoked submits a job with a key that must be refused.
func (gn *Generator) tryRevoked(ctx context.Context, key auth.Key, id weir.JobID) {
	deadline, cancel := context.WithTimeout(ctx, gn.Patience)
	defer cancel()
	outcome, _ := gn.do(deadline, key, http.MethodPost, id)
	gn.mu.Lock()
	defer gn.mu.Unlock()
	gn.res.RevokedSent++
	if outcome == jobapi.OK {
		gn.res.RevokedAccepted++
	}
}

// do makes a call about a job until it has a definite answer; the outcome is Unknown if
// there is none in time.
func (gn *Generator) do(ctx context.Context, key auth.Key, method string, id weir.JobID) (jobapi.Outcome, store.Phase) {
	path, body := "/v1/jobs", any(nil)
	if method == http.MethodPost {
		body = jobhttp.Submission{Queue: gn.Queue, ID: id, Job: jobhttp.Job{
			Text: "100ms", Steps: []jobhttp.Step{{Count: 2, MilliCPU: 500, MemoryMB: 16, EstimateMillis: 100}},
		}}
	} else {
		path += "?" + url.Values{"queue": {gn.Queue}, "id": {string(id)}}.Encode()
	}
	ans, _, err := (&jobhttp.Client{Addrs: gn.Addrs, Key: key}).Do(ctx, method, path, body)
	if err != nil && ans.Outcome == "" {
		return jobapi.Unknown, ""
	}
	return ans.Outcome, ans.Phase
}
