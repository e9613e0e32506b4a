// Package replica implements the consensus algorithm of the replicated log:
// elections with pre-vote and check-quorum, log replication, snapshots, and
// re-admission of a member that lost its disk. It performs no I/O and reads no
// clock: time and messages are arguments, and Ready returns what the caller
// must sync, send and apply.
//
// The algorithm is Raft (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", 2014) with pre-vote and check-quorum
// from Ongaro's dissertation (sections 9.6 and 6.2). It differs in one point:
// a member that starts on an empty disk is a learner. It neither votes nor
// counts for commits until it applies a Readmit entry that the other members
// committed without it. The set of voters changes by one member at a time,
// through an entry that takes effect when it is appended (section 4.1).
//
// Usage:
//
//	core := &replica.Core{ID: "c1", Members: ids, Election: 400 * time.Millisecond, ...}
//	core.Restore(hard, snap, entries)
//	core.Tick(now); core.Step(now, msg); core.Propose(data)
//	rd := core.Ready()       // send rd.Immediate, sync rd.Hard and rd.Entries,
//	core.Synced(now, rd)     // then send rd.Messages, apply rd.Committed
package replica

import (
	"greengageweir/internal/common/errkind"
)

// Kind classifies the errors of this package.
type Kind string

// Error kinds.
const (
	KindNotLeader Kind = "not the leader"
	KindBacklog   Kind = "too many entries wait for commit"
	// KindPending means that an earlier membership change is not committed.
	KindPending Kind = "a change of members is under way"
	// KindMembers means that the proposed set of voters is not allowed.
	KindMembers Kind = "not a change of one member"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// EntryKind is the type of an entry's payload.
type EntryKind string

// Entry kinds.
const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryKind = "command"
	// EntryNoop carries no command and is skipped when applied.
	EntryNoop EntryKind = "noop"
	// EntryReadmit makes a learner a voter again.
	EntryReadmit EntryKind = "readmit"
	// EntryMembers replaces the set of voters and takes effect when a member
	// appends it. Each new leader starts its term with the current set.
	EntryMembers EntryKind = "members"
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64    `json:"i"`
	Term  uint64    `json:"t"`
	Kind  EntryKind `json:"k"`
	Data  []byte    `json:"d,omitempty"`
}

// HardState is the state that must be on disk before a member replies.
type HardState struct {
	Term uint64 `json:"term"`
	Vote string `json:"vote,omitempty"`
	// Learner is set while the member must not vote.
	Learner bool `json:"learner,omitempty"`
	// Disk is the unique id of the data folder. A wiped folder gets a new one.
	Disk string `json:"disk"`
	// Initial lists the voters that the cluster was created with. It is empty
	// if they come from the settings, and for members that joined later.
	Initial []string `json:"initial,omitempty"`
}

// Membership maps each voter to the id of the disk that it was admitted with.
// An empty id matches any disk that is not a learner's.
type Membership struct {
	Voters map[string]string `json:"voters"`
}

// Snapshot is the state of the state machine at an index of the log.
type Snapshot struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	Data  []byte `json:"data,omitempty"`
	// Members is the set of voters at the index. It may be empty if the
	// members of the cluster come from the settings.
	Members Membership `json:"members"`
}

// MessageKind is the type of a message.
type MessageKind string

// Message kinds.
const (
	MsgPreVote      MessageKind = "preVote"
	MsgPreVoteReply MessageKind = "preVoteReply"
	MsgVote         MessageKind = "vote"
	MsgVoteReply    MessageKind = "voteReply"
	MsgAppend       MessageKind = "append"
	MsgAppendReply  MessageKind = "appendReply"
	MsgSnapshot     MessageKind = "snapshot"
)

// Message is sent from one member to another.
type Message struct {
	Kind MessageKind `json:"kind"`
	From string      `json:"from"`
	To   string      `json:"to"`
	Term uint64      `json:"term"`
	// Index is the previous entry's index in an append, the candidate's last
	// index in a vote, and the highest matching index in a reply.
	Index   uint64  `json:"index"`
	LogTerm uint64  `json:"logTerm,omitempty"`
	Commit  uint64  `json:"commit,omitempty"`
	Entries []Entry `json:"entries,omitempty"`
	Reject  bool    `json:"reject,omitempty"`
	// Learner and Disk tell in a reply whether the sender counts for a majority.
	// In a vote request, Disk is the receiver's disk in the candidate's set of
	// voters.
	Learner  bool      `json:"learner,omitempty"`
	Disk     string    `json:"disk,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
	// SentAt is when the leader sent an append, in nanoseconds of its own clock; the
	// reply repeats it.
	SentAt int64 `json:"sentAt,omitempty"`
}

// Readmit is the payload of an EntryReadmit.
type Readmit struct {
	Member string `json:"member"`
	Disk   string `json:"disk"`
}

// Ready is the work that the caller of a Core must do next.
type Ready struct {
	// Immediate holds messages that may be sent before the sync: the appends and
	// snapshots of a leader.
	Immediate []Message
	// Hard must be synced if not nil.
	Hard *HardState
	// Snapshot, if not nil, must be saved before Entries and restored into the
	// state machine.
	Snapshot *Snapshot
	// Entries must be appended and synced. The first may overwrite the tail of
	// the stored log.
	Entries []Entry
	// Messages must be sent after the sync.
	Messages []Message
	// Committed entries must be applied in order.
	Committed []Entry
}

// Empty reports whether there is no work.
func (rd Ready) Empty() bool {
	return len(rd.Immediate) == 0 && rd.Hard == nil && rd.Snapshot == nil &&
		len(rd.Entries) == 0 && len(rd.Messages) == 0 && len(rd.Committed) == 0
}

// Role is the current Raft role of a member.
type Role string

// Member roles.
const (
	Follower     Role = "follower"
	PreCandidate Role = "preCandidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Status is the state of a member as it sees itself.
type Status struct {
	ID       string            `json:"id"`
	Role     Role              `json:"role"`
	Term     uint64            `json:"term"`
	Leader   string            `json:"leader"`
	Learner  bool              `json:"learner"`
	First    uint64            `json:"first"`
	Last     uint64            `json:"last"`
	Commit   uint64            `json:"commit"`
	Progress map[string]uint64 `json:"progress,omitempty"`
	// Voters lists the ids of the current voters, sorted.
	Voters []string `json:"voters"`
}
