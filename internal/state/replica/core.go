package replica

import (
	"encoding/json"
	"math/rand"
	"slices"
	"time"

	"greengageweir/internal/common/invariant"
)

const (
	// maxBatchEntries bounds the entries of one append.
	maxBatchEntries = 512
	// maxBatchBytes bounds the entry data of one append.
	maxBatchBytes = 1 << 20
	// maxApplyBatch bounds the committed entries of one Ready, so that a leader
	// with thousands of entries to apply keeps sending heartbeats.
	maxApplyBatch = 64
	// maxUncommitted bounds the entries that are appended but not committed.
	maxUncommitted = 8192
)

// Core is one member of the Raft cluster. Set the exported fields, then call
// Restore. It is not safe for concurrent use.
type Core struct {
	ID string
	// Members are the initial voters of the cluster. It is ignored if the hard
	// state or a snapshot names voters.
	Members   []string
	Election  time.Duration
	Heartbeat time.Duration
	Rand      *rand.Rand
	// LazyPropagation sends followers the commit index with the next entries or
	// heartbeat only, and sends entries to non-voters with heartbeats only. It
	// saves messages where only the leader serves reads.
	LazyPropagation bool

	hard      HardState
	hardDirty bool
	role      Role
	leader    string
	log       memLog
	stable    uint64 // last synced index
	commit    uint64
	applied   uint64 // last index returned in Ready.Committed

	lastLeaderContact time.Time // last message from the current leader
	// noVoteBefore is the end of the time after a restart in which a leader may
	// still rely on what this member replied before.
	noVoteBefore  time.Time
	electionAt    time.Time
	nextHeartbeat time.Time
	votes         map[string]bool
	progress      map[string]*progress
	// membershipHistory holds the sets of voters since the snapshot. The last
	// one is in effect.
	membershipHistory []membershipEntry

	immediate       []Message
	messages        []Message
	pendingSnapshot *Snapshot
}

// progress is the replication state of one follower at the leader.
type progress struct {
	match   uint64
	next    uint64
	learner bool
	// disk is the id of the data folder that match refers to.
	disk        string
	lastContact time.Time
	// heard is set once the follower has replied to this leader. Before that,
	// lastContact is when the leader began to count.
	heard bool
	// leaseFrom is when the last append was sent that the follower has replied to.
	// The follower votes for no other member for an election timeout after it.
	leaseFrom time.Time
	// snapshotSentAt is when the last snapshot was sent; see snapshotResend.
	snapshotSentAt time.Time
}

// Restore initializes the member with the state read from disk.
func (co *Core) Restore(now time.Time, hard HardState, snap Snapshot, entries []Entry) {
	co.hard = hard
	co.role = Follower
	co.log = memLog{snapIndex: snap.Index, snapTerm: snap.Term, snap: snap, entries: entries}
	co.restoreMembership()
	co.stable = co.log.last()
	co.commit = snap.Index
	co.applied = snap.Index
	co.lastLeaderContact = now
	if hard.Term > 0 {
		co.noVoteBefore = now.Add(co.Election)
	}
	co.resetElection(now)
}

// RestoreCommit sets the commit index known before the restart, so that those
// entries are applied before a leader is elected. Call it after Restore.
func (co *Core) RestoreCommit(index uint64) {
	co.commit = max(co.commit, min(index, co.log.last()))
}

// Commit returns the commit index.
func (co *Core) Commit() uint64 { return co.commit }

// Status returns the current state of the member.
func (co *Core) Status() Status {
	st := Status{
		ID: co.ID, Role: co.role, Term: co.hard.Term, Leader: co.leader, Learner: co.learner(),
		First: co.log.snapIndex + 1, Last: co.log.last(), Commit: co.commit, Voters: co.voterIDs(),
	}
	if co.role == Leader {
		st.Progress = make(map[string]uint64, len(co.progress))
		for id, pr := range co.progress {
			st.Progress[id] = pr.match
		}
	}
	return st
}

// Role returns the current role of the member.
func (co *Core) Role() Role { return co.role }

// LeaderID returns the id of the current leader, "" if none is known.
func (co *Core) LeaderID() string { return co.leader }

// Tick starts elections, sends heartbeats and runs check-quorum where due.
func (co *Core) Tick(now time.Time) {
	if co.role == Leader {
		co.tickLeader(now)
		return
	}
	if now.Before(co.electionAt) {
		return
	}
	co.leader = ""
	co.resetElection(now)
	if !co.mayCampaign() {
		return
	}
	co.startPreVote(now)
}

func (co *Core) tickLeader(now time.Time) {
	if !co.quorumActive(now) {
		co.becomeFollower(now, co.hard.Term, "")
		return
	}
	if now.Before(co.nextHeartbeat) {
		return
	}
	co.nextHeartbeat = now.Add(co.Heartbeat)
	for _, id := range co.followers() {
		co.sendAppend(now, id, true)
	}
}

// quorumActive implements check-quorum: a leader steps down if it has not heard
// from a majority for an election timeout.
func (co *Core) quorumActive(now time.Time) bool {
	heard := co.ownVote()
	for id, pr := range co.progress {
		if co.countsForMajority(id, pr) && now.Sub(pr.lastContact) < co.Election {
			heard++
		}
	}
	return heard >= co.quorum()
}

// leaseDivisor sets the margin by which a leader lease is shorter than an election
// timeout, as a fraction of it. It covers clocks that run at different rates.
const leaseDivisor = 4

// leaseDuration returns how long a voter's contact keeps another leader from being
// elected, less the margin.
func (co *Core) leaseDuration() time.Duration { return co.Election - co.Election/leaseDivisor }

// LeaseUntil returns the end of the leader lease: until then no other leader
// can be elected, according to the replies of a majority. It is zero if this
// member is not the leader.
func (co *Core) LeaseUntil() time.Time {
	if co.role != Leader {
		return time.Time{}
	}
	heard := make([]time.Time, 0, len(co.progress))
	for id, pr := range co.progress {
		if co.countsForMajority(id, pr) {
			heard = append(heard, pr.leaseFrom)
		}
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	need := co.quorum() - co.ownVote()
	switch {
	case need == 0:
		return co.nextHeartbeat.Add(co.leaseDuration())
	case len(heard) < need || heard[need-1].IsZero():
		return time.Time{}
	}
	return heard[need-1].Add(co.leaseDuration())
}

// Propose appends a command to the leader's log and returns its index and term.
func (co *Core) Propose(data []byte) (index, term uint64, err error) {
	return co.propose(EntryCommand, data)
}

func (co *Core) propose(kind EntryKind, data []byte) (index, term uint64, err error) {
	if co.role != Leader {
		return 0, 0, &Error{Op: "propose", Kind: KindNotLeader}
	}
	if co.log.last()-co.commit >= maxUncommitted {
		return 0, 0, &Error{Op: "propose", Kind: KindBacklog}
	}
	ent := Entry{Index: co.log.last() + 1, Term: co.hard.Term, Kind: kind, Data: data}
	co.append(ent)
	return ent.Index, ent.Term, nil
}

// Step handles one message from another member.
func (co *Core) Step(now time.Time, msg Message) {
	if msg.To != co.ID {
		return
	}
	switch msg.Kind {
	case MsgPreVote:
		co.stepPreVote(now, msg)
	case MsgPreVoteReply:
		co.stepPreVoteReply(now, msg)
	case MsgVote:
		co.stepVote(now, msg)
	case MsgVoteReply:
		co.stepVoteReply(now, msg)
	case MsgAppend, MsgSnapshot:
		co.stepFromLeader(now, msg)
	case MsgAppendReply:
		co.stepAppendReply(now, msg)
	}
}

// Ready returns the work that is due since the last call. The caller must
// finish it and call Synced before it calls Ready again.
func (co *Core) Ready() Ready {
	if co.role == Leader {
		co.broadcastNew()
	}
	rd := Ready{Immediate: co.immediate, Messages: co.messages, Snapshot: co.pendingSnapshot}
	co.immediate, co.messages, co.pendingSnapshot = nil, nil, nil
	if co.hardDirty {
		hard := co.hard
		rd.Hard = &hard
		co.hardDirty = false
	}
	rd.Entries = co.log.entriesFrom(co.stable+1, maxUncommitted, 1<<30)
	bound := min(co.commit, co.stable, co.applied+maxApplyBatch)
	if bound > co.applied {
		rd.Committed = co.log.entriesFrom(co.applied+1, int(bound-co.applied), 1<<30)
		co.applied = bound
		co.applyReadmits(rd.Committed)
	}
	return rd
}

// Synced reports that the writes of rd are on disk.
func (co *Core) Synced(now time.Time, rd Ready) {
	if len(rd.Entries) > 0 {
		last := rd.Entries[len(rd.Entries)-1]
		if co.log.term(last.Index) == last.Term {
			co.stable = max(co.stable, last.Index)
		}
	}
	if co.role == Leader {
		co.advanceCommit(now)
	}
}

// Compact drops the entries up to the snapshot's index.
func (co *Core) Compact(snap Snapshot) {
	if snap.Index <= co.log.snapIndex || snap.Index > co.applied {
		return
	}
	co.log.compact(snap)
	co.compactMembership(snap.Index)
}

// applyReadmits lets a learner vote again once the entry that readmits its disk
// is committed.
func (co *Core) applyReadmits(entries []Entry) {
	for _, ent := range entries {
		if ent.Kind != EntryReadmit {
			continue
		}
		var rm Readmit
		if json.Unmarshal(ent.Data, &rm) != nil {
			continue
		}
		if rm.Member == co.ID && rm.Disk == co.hard.Disk && co.hard.Learner {
			co.hard.Learner = false
			co.hardDirty = true
		}
	}
}

// resetElection sets a randomized election timeout, one to two times Election.
func (co *Core) resetElection(now time.Time) {
	jitter := time.Duration(co.Rand.Int63n(int64(co.Election)))
	co.electionAt = now.Add(co.Election + jitter)
}

func (co *Core) setTerm(term uint64, vote string) {
	invariant.Check(term >= co.hard.Term, "termNeverFalls", "from", co.hard.Term, "to", term)
	if co.hard.Term == term && co.hard.Vote == vote {
		return
	}
	co.hard.Term = term
	co.hard.Vote = vote
	co.hardDirty = true
}

func (co *Core) becomeFollower(now time.Time, term uint64, leader string) {
	if term > co.hard.Term {
		co.setTerm(term, "")
	}
	if co.role != Follower || leader != co.leader {
		co.resetElection(now)
	}
	co.role = Follower
	co.leader = leader
	co.progress = nil
}

func (co *Core) send(msg Message) {
	msg.From = co.ID
	co.messages = append(co.messages, msg)
}

// Applied returns the last index that Ready returned as committed.
func (co *Core) Applied() uint64 { return co.applied }

// TermAt returns the term of the entry at index, 0 if the log does not hold it.
func (co *Core) TermAt(index uint64) uint64 { return co.log.term(index) }

// Tail returns the synced entries after the latest snapshot.
func (co *Core) Tail() []Entry {
	return co.log.entriesFrom(co.log.snapIndex+1, int(co.stable-co.log.snapIndex), 1<<30)
}
