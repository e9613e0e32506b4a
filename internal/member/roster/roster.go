// Package roster discovers the processes that hold a replica of the replicated
// log, starting from a few seeds. At the leader it also keeps the set of voters
// at its configured size: it replaces an unreachable voter by a caught-up
// non-voter, one membership change at a time.
//
// Usage:
//
//	ro := &roster.Roster{Self: id, IsReplica: true, Seeds: seeds, Links: ls, Log: nd, Voters: 3}
//	go ro.Run(ctx)
//	rep := ro.HandleDirectoryRequest(req) // handles jobapi.DirectoryMethod
package roster

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"greengageweir/internal/contract/jobapi"
	"greengageweir/internal/member/links"
	"greengageweir/internal/state/replica"

	"github.com/go-kit/log"

	weir "greengageweir"
)

const (
	// fastQueryInterval and slowQueryInterval are the times between two directory
	// queries, before and after a leader is known.
	fastQueryInterval = 150 * time.Millisecond
	slowQueryInterval = 1500 * time.Millisecond
	// queryTimeout is the deadline of a directory query.
	queryTimeout = 700 * time.Millisecond
	// voterChangeInterval is the minimum time between two membership changes.
	voterChangeInterval = 300 * time.Millisecond
)

// Log is the replicated log as the roster uses it.
type Log interface {
	WithCore(ctx context.Context, fn func(now time.Time, core *replica.Core)) error
	LeaderID() string
	LeaderTerm() uint64
	VoterIDs() []string
}

// Roster is the directory of known replicas. Set the exported fields before Run.
type Roster struct {
	// Self is this process's id, which is also its peer address.
	Self string
	// IsReplica is set if this process holds a replica of the log.
	IsReplica bool
	Seeds     []string
	Links     *links.Links
	// Log is nil if this process holds no replica.
	Log Log
	// Voters is the target number of voters.
	Voters int
	Clock  weir.Clock
	Logger log.Logger

	mu       sync.Mutex
	replicas map[string]bool
	leader   string
	// voters are the voters that the last process with a leader named.
	voters []string
	// leaving holds, at the leader, when each process that is about to stop last asked
	// to be replaced as a voter.
	leaving map[string]time.Time
	// stopping is set once this process is about to stop.
	stopping bool
}

// String returns the name of the component in logs.
func (ro *Roster) String() string { return "roster" }

// Default adds the seeds to the directory.
func (ro *Roster) Default() error {
	ro.replicas, ro.leaving = map[string]bool{}, map[string]time.Time{}
	if ro.IsReplica {
		ro.replicas[ro.Self] = true
	}
	for _, id := range ro.Seeds {
		ro.addReplica(id)
	}
	return nil
}

// addReplica adds a process and connects to it. The caller holds the lock or
// has not called Run yet.
func (ro *Roster) addReplica(id string) {
	if id == "" || ro.replicas[id] {
		return
	}
	ro.replicas[id] = true
	ro.Links.Add(id, id)
	_ = ro.Logger.Log("level", "info", "msg", "replica discovered", "peer", id)
}

// AddSeeds adds further seeds to the directory.
func (ro *Roster) AddSeeds(seeds []string) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, id := range seeds {
		ro.addReplica(id)
	}
}

// ReplicaIDs returns the sorted ids of the known processes that hold a replica of
// the log.
func (ro *Roster) ReplicaIDs() []string {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return slices.Sorted(maps.Keys(ro.replicas))
}

// Leader returns the id of the last known leader, "" if none is known.
func (ro *Roster) Leader() string {
	if ro.Log != nil {
		return ro.Log.LeaderID()
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return ro.leader
}

// SetLeader records the last known leader, "" if none is known.
func (ro *Roster) SetLeader(id string) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.leader = id
}

// HandleDirectoryRequest returns the directory to another process, and adds that
// process if it holds a replica.
func (ro *Roster) HandleDirectoryRequest(in jobapi.DirectoryRequest) jobapi.DirectoryReply {
	ro.mu.Lock()
	if in.Replica {
		ro.addReplica(in.ID)
		delete(ro.leaving, in.ID) // It has started again.
	}
	list := jobapi.DirectoryReply{Replicas: slices.Sorted(maps.Keys(ro.replicas))}
	ro.mu.Unlock()
	list.Leader = ro.Leader()
	if ro.Log != nil && list.Leader != "" {
		list.Voters = ro.Log.VoterIDs()
	}
	return list
}

// Run queries the known replicas for their directory and, at the leader,
// reconciles the set of voters, until the context ends.
func (ro *Roster) Run(ctx context.Context) error {
	var changed time.Time
	for ctx.Err() == nil {
		ro.queryAll(ctx)
		if ro.Log != nil && ro.Log.LeaderTerm() != 0 {
			changed = ro.reconcileVoters(ctx, changed)
		}
		pause := fastQueryInterval
		if ro.Leader() != "" {
			pause = slowQueryInterval
		}
		if ro.Log != nil && ro.Log.LeaderTerm() != 0 {
			pause = voterChangeInterval
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
	return nil
}

func (ro *Roster) queryAll(ctx context.Context) {
	if ro.isStopping() || (ro.Log != nil && ro.Log.LeaderTerm() != 0) {
		// The other processes query the leader, which adds them to its directory.
		return
	}
	var wg sync.WaitGroup
	for _, id := range ro.ReplicaIDs() {
		if id != ro.Self && ro.Links.Ready(id) {
			wg.Go(func() { ro.query(ctx, id) })
		}
	}
	wg.Wait()
}

func (ro *Roster) query(ctx context.Context, id string) {
	callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var list jobapi.DirectoryReply
	if err := ro.Links.Call(callCtx, id, jobapi.DirectoryMethod, jobapi.DirectoryRequest{Replica: ro.IsReplica, ID: ro.Self}, &list); err != nil {
		_ = ro.Logger.Log("level", "debug", "msg", "directory query failed", "peer", id, "err", err)
		return
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	for _, other := range list.Replicas {
		ro.addReplica(other)
	}
	if list.Leader != "" || id == ro.leader {
		ro.leader = list.Leader
	}
	if len(list.Voters) > 0 {
		ro.voters = list.Voters
	}
}

// Electorate returns the processes of which a majority elects the leader: the
// voters, or all known replicas while no voters are known.
func (ro *Roster) Electorate() []string {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	if len(ro.voters) > 0 {
		return slices.Clone(ro.voters)
	}
	return slices.Sorted(maps.Keys(ro.replicas))
}

// reconcileVoters makes the leader replicate to all known processes and proposes
// the next membership change, if one is due. It returns the time of the last
// change.
func (ro *Roster) reconcileVoters(ctx context.Context, changed time.Time) time.Time {
	replicas, leaving := ro.ReplicaIDs(), ro.leavingIDs()
	err := ro.Log.WithCore(ctx, func(now time.Time, core *replica.Core) {
		for _, id := range replicas {
			core.AddNonVoter(now, id)
		}
		if now.Sub(changed) >= voterChangeInterval && ro.proposeVoters(now, core, membershipOf(now, core, replicas, leaving, ro.Voters)) {
			changed = now
		}
	})
	if err != nil {
		_ = ro.Logger.Log("level", "debug", "msg", "voter check failed", "err", err)
	}
	return changed
}

// proposeVoters proposes the next membership change. It reports false if there is none.
func (ro *Roster) proposeVoters(now time.Time, core *replica.Core, ms Membership) bool {
	next, reason := ms.Next()
	if next == nil {
		return false
	}
	propose := func() error { return core.ChangeMembers(now, next) }
	if _, stays := next[ms.Leader]; !stays {
		propose = func() error { return core.RemoveSelf(now) }
	}
	err := propose()
	_ = ro.Logger.Log("level", "info", "msg", "voter change proposed", "reason", reason,
		"voters", slices.Sorted(maps.Keys(next)), "err", err)
	return true
}
