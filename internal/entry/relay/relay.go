// Package relay forwards callers' job API calls from an entry instance to the
// leader. All calls may be repeated, because a job is identified by its id.
//
// Usage:
//
//	rl := &relay.Relay{Links: ls, Roster: ro, Clock: clk, Logger: lg}
//	rep := rl.Handle(ctx, call) // the context carries the caller's deadline
package relay

import (
	"context"
	"sync/atomic"
	"time"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/member/links"
	"greengageweir/internal/member/roster"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	weir "greengageweir"
)

const (
	// tryTimeout is the time limit for a call to one process. A commit takes
	// some tens of milliseconds, and a link needs longer to detect a process
	// that does not respond.
	tryTimeout = 700 * time.Millisecond
	// retryPause is the pause between rounds over all processes.
	retryPause = 60 * time.Millisecond
	// unavailableTimeout limits the retries of a call that certainly had no
	// effect, so that the caller can soon try another instance. A call that may
	// have had an effect is retried for as long as the caller waits, since only
	// a response shows whether it had.
	unavailableTimeout = 700 * time.Millisecond
	// retryAfter is the delay after which callers may retry, sent to them while
	// no leader can be reached.
	retryAfter = time.Second
)

// Relay forwards calls. Set the exported fields before use.
type Relay struct {
	Links  *links.Links
	Roster *roster.Roster
	Clock  weir.Clock
	Logger log.Logger

	isolated atomic.Bool // as last logged
}

// Handle implements jobapi.Handler.
func (rl *Relay) Handle(ctx context.Context, call jobapi.Call) jobapi.Reply {
	// With a hop counted, a replica that knows no leader responds at once. The
	// waiting is done here.
	call.Hops = 1
	until := rl.Clock.Now().Add(unavailableTimeout)
	mayHaveRun := false // an earlier try may have had an effect
	reason := "no process that holds the log can be reached"
	for {
		for _, id := range rl.candidates() {
			rep, err := rl.try(ctx, id, call)
			switch {
			case err == nil && rep.Outcome == jobapi.Unknown:
				mayHaveRun, reason = true, rep.Reason
			case err == nil && rep.Outcome == jobapi.Unavailable:
				reason = rep.Reason
				if id == rl.Roster.Leader() {
					rl.Roster.SetLeader("")
				}
			case err == nil && mayHaveRun && deniesEffect(call.Kind, rep.Outcome):
				// An earlier try may have had the effect that this reply denies.
				rl.Roster.SetLeader(rep.Leader)
				return rl.giveUp(call, true, rep.Reason)
			case err == nil:
				rl.Roster.SetLeader(rep.Leader)
				return rep
			case !errkind.Is(err, peer.KindNotSent):
				mayHaveRun, reason = true, err.Error()
				rl.Roster.SetLeader("")
			}
			if ctx.Err() != nil {
				break
			}
		}
		// An instance that is cut off cannot learn what became of the call. Another
		// one can, if the caller repeats it there.
		if ctx.Err() != nil || !rl.Ready() || (!mayHaveRun && !rl.Clock.Now().Add(retryPause).Before(until)) {
			return rl.giveUp(call, mayHaveRun, reason)
		}
		timer := time.NewTimer(retryPause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// deniesEffect reports whether a reply tells the caller that the call certainly had
// no effect. A cancelled job that is unknown by now may have been cancelled.
func deniesEffect(kind jobapi.Kind, outcome jobapi.Outcome) bool {
	switch kind {
	case jobapi.Submit:
		return outcome != jobapi.OK
	case jobapi.Cancel:
		return outcome == jobapi.Unauthorized || outcome == jobapi.Refused
	default:
		return false
	}
}

func (rl *Relay) giveUp(call jobapi.Call, mayHaveRun bool, reason string) jobapi.Reply {
	rep := jobapi.Reply{Outcome: jobapi.Unavailable, Reason: reason, RetryAfter: retryAfter}
	if mayHaveRun {
		rep.Outcome = jobapi.Unknown
	}
	metrics.GetOrCreateCounter(`weir_relay_failures_total{outcome="` + string(rep.Outcome) + `"}`).Inc()
	_ = rl.Logger.Log("level", "warn", "msg", "call not forwarded", "kind", string(call.Kind), "path", call.Path,
		"outcome", string(rep.Outcome), "reason", reason)
	return rep
}

// candidates returns the processes to try that reply to heartbeats, the leader
// first.
func (rl *Relay) candidates() []string {
	leader := rl.Roster.Leader()
	var ids []string
	if leader != "" && rl.Links.Responsive(leader) {
		ids = append(ids, leader)
	}
	for _, id := range rl.Roster.ReplicaIDs() {
		if id != leader && rl.Links.Responsive(id) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (rl *Relay) try(ctx context.Context, id string, call jobapi.Call) (jobapi.Reply, error) {
	callCtx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	var rep jobapi.Reply
	err := rl.Links.Call(callCtx, id, jobapi.CallMethod, call, &rep)
	return rep, err
}

// Ready reports whether calls can be served here: the leader replies, or a
// majority of those that elect one does. A process that is cut off together with
// a minority of them serves nobody, however many links are up.
func (rl *Relay) Ready() bool {
	electorate, reachable := rl.Roster.Electorate(), 0
	for _, id := range electorate {
		if rl.Links.Responsive(id) {
			reachable++
		}
	}
	leader := rl.Roster.Leader()
	ready := 2*reachable > len(electorate) || (leader != "" && rl.Links.Responsive(leader))
	if rl.isolated.Swap(!ready) == ready {
		_ = rl.Logger.Log("level", "info", "msg", "readiness changed", "ready", ready, "reachable", reachable,
			"voters", len(electorate), "leader", leader)
	}
	return ready
}
