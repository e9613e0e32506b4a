package replica

import (
	"encoding/json"
	"math/rand"
	"slices"
	"time"

	"greengageweir/internal/duty/invariant"
)

const (
	// maxBatchEntries bounds the entries of one append.
	maxBatchEntries = 512
	// maxBatchBytes bounds the payload of one append.
	maxBatchBytes = 1 << 20
	// maxApply bounds the entries handed out to be applied at a time, so that a
	// leader with thousands of them to apply goes on sending heartbeats.
	maxApply = 64
	// maxUncommitted bounds the entries that wait for commit.
	maxUncommitted = 8192
)

// Core is the log's state machine. Set the exported fields, then call Restore.
// It is not safe for concurrent use.
type Core struct {
	ID string
	// Members are the voters that the cluster starts with, unless the disk
	// names them.
	Members   []string
	Election  time.Duration
	Heartbeat time.Duration
	Rand      *rand.Rand
	// LazyPropagation leaves followers to learn of commits with the next entries or
	// heartbeat, and sends the log to spares with heartbeats only. It suits a
	// state that only the leader answers from.
	LazyPropagation bool

	hard      HardState
	hardDirty bool
	role      Role
	leader    string
	log       memLog
	stable    uint64 // last synced index
	commit    uint64
	applied   uint64 // last index handed out in Committed

	heardLeader time.Time // last message of a live leader
	electionAt  time.Time
	nextBeat    time.Time
	votes       map[string]bool
	progress    map[string]*progress
	// history holds the sets of voters since the snapshot; the last is in force.
	history []membersAt

	early    []Message
	messages []Message
	install  *Snapshot
}

// progress is what a leader knows of one member.
type progress struct {
	match   uint64
	next    uint64
	learner bool
	// disk is the data folder that match is about.
	disk  string
	heard time.Time
	// snapshotSent delays a second snapshot.
	snapshotSent time.Time
}

// Restore sets the state that was read from the disk.
func (co *Core) Restore(now time.Time, hard HardState, snap Snapshot, entries []Entry) {
	co.hard = hard
	co.role = Follower
	co.log = memLog{snapIndex: snap.Index, snapTerm: snap.Term, snap: snap, entries: entries}
	co.restoreMembers()
	co.stable = co.log.last()
	co.commit = snap.Index
	co.applied = snap.Index
	co.heardLeader = now
	co.resetElection(now)
}

// RestoreCommit notes, after Restore, that the entries up to an index were
// committed when the process ended, so that they are applied while a leader is
// still to be found.
func (co *Core) RestoreCommit(index uint64) {
	co.commit = max(co.commit, min(index, co.log.last()))
}

// Commit returns the index up to which entries are known to be committed.
func (co *Core) Commit() uint64 { return co.commit }

// Status returns a copy of the member's state for display.
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

// Role returns what the member is at present.
func (co *Core) Role() Role { return co.role }

// LeaderID returns the leader that the member follows, or "".
func (co *Core) LeaderID() string { return co.leader }

// Tick lets time pass: elections, heartbeats, check-quorum.
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
	if co.learner() || !co.isMember(co.ID) {
		return
	}
	co.startPreVote(now)
}

func (co *Core) tickLeader(now time.Time) {
	if !co.quorumHeard(now) {
		co.becomeFollower(now, co.hard.Term, "")
		return
	}
	if now.Before(co.nextBeat) {
		return
	}
	co.nextBeat = now.Add(co.Heartbeat)
	for _, id := range co.followers() {
		co.sendAppend(now, id, true)
	}
}

// quorumHeard implements check-quorum: a leader that has not heard from a
// majority for an election timeout is no leader.
func (co *Core) quorumHeard(now time.Time) bool {
	heard := 1
	for id, pr := range co.progress {
		if co.counts(id, pr) && now.Sub(pr.heard) < co.Election {
			heard++
		}
	}
	return heard >= co.quorum()
}

// leadMargin is taken off the time for which a leader is sure to lead: replies
// are counted on arrival, and voters count from the message they answer.
const leadMargin = 100 * time.Millisecond

// LeadsUntil returns the time until which no other leader can have been
// elected, going by the replies of a majority; zero where it does not lead.
func (co *Core) LeadsUntil() time.Time {
	if co.role != Leader {
		return time.Time{}
	}
	heard := make([]time.Time, 0, len(co.progress))
	for id, pr := range co.progress {
		if co.counts(id, pr) {
			heard = append(heard, pr.heard)
		}
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	need := co.quorum() - 1
	switch {
	case need == 0:
		return co.nextBeat.Add(co.Election - leadMargin)
	case len(heard) < need:
		return time.Time{}
	}
	return heard[need-1].Add(co.Election - leadMargin)
}

// Propose appends a command to the leader's log and returns its place.
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

// Step takes one message from another member.
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

// Ready returns what has to be done since the last call. The owner must finish
// it and call Synced before the next call of Ready.
func (co *Core) Ready() Ready {
	if co.role == Leader {
		co.broadcastNew()
	}
	rd := Ready{Early: co.early, Messages: co.messages, Snapshot: co.install}
	co.early, co.messages, co.install = nil, nil, nil
	if co.hardDirty {
		hard := co.hard
		rd.Hard = &hard
		co.hardDirty = false
	}
	rd.Entries = co.log.from(co.stable+1, maxUncommitted, 1<<30)
	bound := min(co.commit, co.stable, co.applied+maxApply)
	if bound > co.applied {
		rd.Committed = co.log.from(co.applied+1, int(bound-co.applied), 1<<30)
		co.applied = bound
		co.applyReadmits(rd.Committed)
	}
	return rd
}

// Synced tells that the writes of rd are on disk.
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

// Compact drops the log up to the snapshot's index.
func (co *Core) Compact(snap Snapshot) {
	if snap.Index <= co.log.snapIndex || snap.Index > co.applied {
		return
	}
	co.log.compact(snap)
	co.compactMembers(snap.Index)
}

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

// Applied returns the last index handed out to be applied.
func (co *Core) Applied() uint64 { return co.applied }

// TermAt returns the term of the entry at index, 0 where it is not held.
func (co *Core) TermAt(index uint64) uint64 { return co.log.term(index) }

// Tail returns the synced entries behind the latest snapshot.
func (co *Core) Tail() []Entry {
	return co.log.from(co.log.snapIndex+1, int(co.stable-co.log.snapIndex), 1<<30)
}
