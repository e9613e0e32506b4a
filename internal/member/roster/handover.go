package roster

import (
	"context"
	"maps"
	"time"

	"greengageweir/internal/common/errkind"
	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/link/peer"
	"greengageweir/internal/state/replica"
)

const (
	// leavePollInterval is the time between two requests to be replaced as a voter.
	leavePollInterval = 25 * time.Millisecond
	// leavingMemory is how long the leader remembers such a request. It exceeds the
	// time after which a process that has stopped counts as unreachable.
	leavingMemory = voterTimeout + time.Second
)

// HandOver has this process replaced as a voter before it stops, so that its vote is
// not missing afterwards. It returns once its vote is not needed any more, nobody
// can replace it, or the context ends.
func (ro *Roster) HandOver(ctx context.Context) {
	ro.mu.Lock()
	ro.stopping = true
	ro.mu.Unlock()
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	led := false
	for {
		rep, err := ro.askToLeave(ctx)
		if led = led || ro.Leader() == ro.Self; led {
			// A leader steps down once it is replaced.
			rep.Replaced = rep.Replaced || ro.replaced(ctx)
			rep.Released = rep.Released || rep.Replaced
		}
		if rep.Released || errkind.Is(err, peer.KindRemote) || ctx.Err() != nil {
			_ = ro.Logger.Log("level", "info", "msg", "vote handed over", "replaced", rep.Replaced, "released", rep.Released, "err", err)
			return
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// replaced reports whether a committed set of voters lacks this process.
func (ro *Roster) replaced(ctx context.Context) bool {
	voter := true
	_ = ro.Log.WithCore(ctx, func(_ time.Time, core *replica.Core) {
		_, voter = core.MembersAt(core.Commit()).Voters[ro.Self]
	})
	return !voter
}

func (ro *Roster) isStopping() bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.stopping
}

// askToLeave sends one request to the leader. A leader of an earlier version does not
// know the method and returns an error of peer.KindRemote.
func (ro *Roster) askToLeave(ctx context.Context) (rep jobapi.LeaveReply, err error) {
	in := jobapi.LeaveRequest{ID: ro.Self}
	switch leader := ro.Leader(); leader {
	case "":
		return rep, nil
	case ro.Self:
		return ro.HandleLeave(ctx, in), nil
	default:
		err = ro.Links.Call(ctx, leader, jobapi.LeaveMethod, in, &rep)
		return rep, err
	}
}

// HandleLeave takes the next step to replace a process that is about to stop, if this
// process is the leader.
func (ro *Roster) HandleLeave(ctx context.Context, in jobapi.LeaveRequest) (rep jobapi.LeaveReply) {
	if ro.Log == nil || ro.Log.LeaderTerm() == 0 {
		return rep
	}
	ro.mu.Lock()
	ro.leaving[in.ID] = ro.Clock.Now()
	ro.mu.Unlock()
	replicas, leaving := ro.ReplicaIDs(), ro.leavingIDs()
	err := ro.Log.WithCore(ctx, func(now time.Time, core *replica.Core) {
		if core.Role() != replica.Leader {
			return
		}
		ms := membershipOf(now, core, replicas, leaving, ro.Voters)
		if !maps.Equal(ms.Voters, core.MembersAt(core.Commit()).Voters) {
			return // The last change is not committed yet.
		}
		_, voter := ms.Voters[in.ID]
		rep.Replaced = !voter
		rep.Released = !voter || (len(ms.Voters) <= ms.Want && ms.Replacement() == "")
		if !rep.Released {
			ro.proposeVoters(now, core, ms)
		}
	})
	if err != nil {
		_ = ro.Logger.Log("level", "debug", "msg", "leave request failed", "peer", in.ID, "err", err)
	}
	return rep
}

// leavingIDs returns the processes that are about to stop.
func (ro *Roster) leavingIDs() map[string]bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ids, now := map[string]bool{}, ro.Clock.Now()
	for id, at := range ro.leaving {
		if now.Sub(at) > leavingMemory {
			delete(ro.leaving, id)
			continue
		}
		ids[id] = true
	}
	return ids
}
