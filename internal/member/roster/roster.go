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
)

const (
	// fastQueryInterval and slowQueryInterval are the times between two directory
	// queries, before and after a leader is known.
	fastQueryInterval = 150 * time.Millisecond
	slowQueryInterval = 1500 * time.Millisecond
	// queryTimeout is the deadline of a directory query.
	queryTimeout = 700 * time.Millisecond
	// voterTimeout is the time since the last contact after which a voter is
	// replaced: longer than a short pause, shorter than most repairs.
	voterTimeout = 2 * time.Second
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
	Logger log.Logger

	mu       sync.Mutex
	replicas map[string]bool
	leader   string
	// voters are the voters that the last process with a leader named.
	voters []string
}

// String returns the name of the component in logs.
func (ro *Roster) String() string { return "roster" }

// Default adds the seeds to the directory.
func (ro *Roster) Default() error {
	ro.replicas = map[string]bool{}
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
	if ro.Log != nil && ro.Log.LeaderTerm() != 0 {
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
	replicas := ro.ReplicaIDs()
	err := ro.Log.WithCore(ctx, func(now time.Time, core *replica.Core) {
		for _, id := range replicas {
			core.AddNonVoter(now, id)
		}
		if now.Sub(changed) < voterChangeInterval {
			return
		}
		st := core.Status()
		next, reason := NextVoters(st.ID, core.MembersAt(st.Last).Voters, ro.caughtUpNonVoters(core, replicas), core.SinceLastContact(now), ro.Voters)
		if next == nil {
			return
		}
		changed = now
		err := core.ChangeMembers(now, next)
		_ = ro.Logger.Log("level", "info", "msg", "voter change proposed", "reason", reason,
			"voters", slices.Sorted(maps.Keys(next)), "err", err)
	})
	if err != nil {
		_ = ro.Logger.Log("level", "debug", "msg", "voter check failed", "err", err)
	}
	return changed
}

// caughtUpNonVoters returns the non-voters that may become voters, with their
// disks.
func (ro *Roster) caughtUpNonVoters(core *replica.Core, replicas []string) map[string]string {
	ready := map[string]string{}
	for _, id := range replicas {
		if disk, ok := core.CaughtUpNonVoter(id); ok {
			ready[id] = disk
		}
	}
	return ready
}

// NextVoters returns the next set of voters and the reason of the change, nil if
// the current set should stay. It first adds a caught-up non-voter and then
// removes an unreachable voter, so that the set does not shrink below its target
// size while a non-voter is available. nonVoters maps ids to disks; sinceContact
// is the time since each process last replied to the leader.
func NextVoters(leader string, voters, nonVoters map[string]string, sinceContact map[string]time.Duration, want int) (map[string]string, string) {
	unreachable := ""
	for _, id := range slices.Sorted(maps.Keys(voters)) {
		if id != leader && sinceContact[id] > voterTimeout && (unreachable == "" || sinceContact[id] > sinceContact[unreachable]) {
			unreachable = id
		}
	}
	if len(voters) > want {
		out := maps.Clone(voters)
		removed := unreachable
		if removed == "" {
			for id := range voters {
				if id != leader && (removed == "" || id > removed) {
					removed = id
				}
			}
		}
		delete(out, removed)
		return out, "more voters than wanted"
	}
	if len(voters) == want && unreachable == "" {
		return nil, ""
	}
	for _, id := range slices.Sorted(maps.Keys(nonVoters)) {
		if sinceContact[id] <= voterTimeout/4 {
			out := maps.Clone(voters)
			out[id] = nonVoters[id]
			return out, "non-voter promoted"
		}
	}
	return nil, ""
}
