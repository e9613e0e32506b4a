// Package relay passes callers' calls from an entry instance to the process
// that leads. All calls may be repeated: a job is known by its id.
//
// Usage:
//
//	rl := &relay.Relay{Links: ls, Roster: ro, Clock: clk, Logger: lg}
//	rep := rl.Handle(ctx, call) // the context carries the caller's deadline
package relay

import (
	"context"
	"time"

	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/duty/errkind"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/member/links"
	"greengageweir/internal/member/roster"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	weir "greengageweir"
)

const (
	// tryTimeout is how long one process may take: a commit takes some tens
	// of milliseconds, and a link needs longer to notice silence.
	tryTimeout = 700 * time.Millisecond
	// retryPause separates rounds over all processes.
	retryPause = 60 * time.Millisecond
	// patience bounds the tries for a call that certainly had no effect: the
	// caller is told soon, and may have more luck at another instance. A call
	// that may have had an effect is tried for as long as the caller waits,
	// since the caller cannot tell either.
	patience = 700 * time.Millisecond
	// retryAfter is told to callers while no leader can be reached.
	retryAfter = time.Second
)

// Relay passes calls on. Set the exported fields before use.
type Relay struct {
	Links  *links.Links
	Roster *roster.Roster
	Clock  weir.Clock
	Logger log.Logger
}

// Handle implements jobapi.Handler.
func (rl *Relay) Handle(ctx context.Context, call jobapi.Call) jobapi.Reply {
	// A holder without a leader answers at once; waiting is done here.
	call.Hops = 1
	until := rl.Clock.Now().Add(patience)
	open := false // whether an earlier try may have had an effect
	reason := "no process that holds the log can be reached"
	for {
		for _, id := range rl.order() {
			rep, err := rl.try(ctx, id, call)
			switch {
			case err == nil && rep.Outcome == jobapi.Unknown:
				open, reason = true, rep.Reason
			case err == nil && rep.Outcome == jobapi.Unavailable:
				reason = rep.Reason
			case err == nil:
				rl.Roster.SetLeader(rep.Leader)
				return rep
			case !errkind.Is(err, peer.KindNotSent):
				open, reason = true, err.Error()
				rl.Roster.SetLeader("")
			}
			if ctx.Err() != nil {
				break
			}
		}
		if ctx.Err() != nil || (!open && !rl.Clock.Now().Add(retryPause).Before(until)) {
			return rl.giveUp(call, open, reason)
		}
		timer := time.NewTimer(retryPause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (rl *Relay) giveUp(call jobapi.Call, open bool, reason string) jobapi.Reply {
	rep := jobapi.Reply{Outcome: jobapi.Unavailable, Reason: reason, RetryAfter: retryAfter}
	if open {
		rep.Outcome = jobapi.Unknown
	}
	metrics.GetOrCreateCounter(`weir_relay_failures_total{outcome="` + string(rep.Outcome) + `"}`).Inc()
	_ = rl.Logger.Log("level", "warn", "msg", "call not placed", "kind", string(call.Kind), "path", call.Path,
		"outcome", string(rep.Outcome), "reason", reason)
	return rep
}

// order lists the processes to try, the leader first.
func (rl *Relay) order() []string {
	leader := rl.Roster.Leader()
	var ids []string
	if leader != "" && rl.Links.Ready(leader) {
		ids = append(ids, leader)
	}
	for _, id := range rl.Roster.Holders() {
		if id != leader && rl.Links.Ready(id) {
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

// Ready reports whether a call could be passed on now.
func (rl *Relay) Ready() bool { return len(rl.order()) > 0 }
