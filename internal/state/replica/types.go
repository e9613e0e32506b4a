// Package replica is the replicated log's state machine: elections with
// pre-vote and check-quorum, log replication, snapshots, and re-admission of a
// member that lost its disk. It reads no clock, opens no file and sends
// nothing: time and messages are arguments, and what must be synced, sent and
// applied is returned by Ready.
//
// The algorithm is Raft (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", 2014) with pre-vote and check-quorum
// from Ongaro's dissertation (sections 9.6 and 6.2). It differs in one point:
// a member that starts on an empty disk is a learner. It neither votes nor is
// counted for commits until it applies a Readmit entry that the other members
// committed without it. The set of voters changes by one member at a time, by
// an entry that is in force once it is appended (section 4.1).
//
// Usage:
//
//	core := &replica.Core{ID: "c1", Members: ids, Election: 400 * time.Millisecond, ...}
//	core.Restore(hard, snap, entries)
//	core.Tick(now); core.Step(now, msg); core.Propose(data)
//	rd := core.Ready()       // send rd.Early, sync rd.Entries and rd.Hard,
//	core.Synced(now, rd)     // then send rd.Messages, apply rd.Committed
package replica

import (
	"greengageweir/internal/duty/errkind"
)

// Kind tells the errors of this package apart.
type Kind string

// The kinds of errors.
const (
	KindNotLeader Kind = "not the leader"
	KindBacklog   Kind = "too many entries wait for commit"
	// KindPending says that an earlier change of members is not settled.
	KindPending Kind = "a change of members is under way"
	KindMembers Kind = "not a change of one member"
)

// Error is the error type of this package.
type Error = errkind.Error[Kind]

// EntryKind tells what an entry carries.
type EntryKind string

// The kinds of entries.
const (
	EntryCommand EntryKind = "command"
	// EntryNoop is proposed by each new leader.
	EntryNoop EntryKind = "noop"
	// EntryReadmit makes a learner a voter again.
	EntryReadmit EntryKind = "readmit"
	// EntryMembers replaces the set of voters; it is in force from the moment
	// a member appends it. Each new leader repeats the present set in one.
	EntryMembers EntryKind = "members"
)

// Entry is one record of the log.
type Entry struct {
	Index uint64    `json:"i"`
	Term  uint64    `json:"t"`
	Kind  EntryKind `json:"k"`
	Data  []byte    `json:"d,omitempty"`
}

// HardState is the state that must be synced before a member answers.
type HardState struct {
	Term uint64 `json:"term"`
	Vote string `json:"vote,omitempty"`
	// Learner is set while the member is not to vote.
	Learner bool `json:"learner,omitempty"`
	// Disk identifies the data folder, so that a wiped one is known.
	Disk string `json:"disk"`
	// Initial lists the voters that the cluster was created with; it is empty
	// where they come with the settings, and for members that joined later.
	Initial []string `json:"initial,omitempty"`
}

// Membership is the set of voters, each with the disk that it was admitted
// with. An empty disk stands for any disk that is not a learner's.
type Membership struct {
	Voters map[string]string `json:"voters"`
}

// Snapshot is the applied state up to an index.
type Snapshot struct {
	Index uint64 `json:"index"`
	Term  uint64 `json:"term"`
	Data  []byte `json:"data,omitempty"`
	// Members is the set of voters at the index; it may be empty in a
	// snapshot of a cluster whose members come with the settings.
	Members Membership `json:"members"`
}

// MessageKind tells messages apart.
type MessageKind string

// The kinds of messages.
const (
	MsgPreVote      MessageKind = "preVote"
	MsgPreVoteReply MessageKind = "preVoteReply"
	MsgVote         MessageKind = "vote"
	MsgVoteReply    MessageKind = "voteReply"
	MsgAppend       MessageKind = "append"
	MsgAppendReply  MessageKind = "appendReply"
	MsgSnapshot     MessageKind = "snapshot"
)

// Message passes between two members.
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
	// Learner and Disk mark replies of a member that is not to be counted. In
	// a request for a vote, Disk is the one that the candidate's set names.
	Learner  bool      `json:"learner,omitempty"`
	Disk     string    `json:"disk,omitempty"`
	Snapshot *Snapshot `json:"snapshot,omitempty"`
}

// Readmit is the payload of an EntryReadmit.
type Readmit struct {
	Member string `json:"member"`
	Disk   string `json:"disk"`
}

// Ready is what the owner of a Core has to do next.
type Ready struct {
	// Early may be sent before the sync (a leader's appends).
	Early []Message
	// Hard is to be synced if not nil.
	Hard *HardState
	// Snapshot is to be saved before Entries, if not nil; the state machine
	// is to be set to it.
	Snapshot *Snapshot
	// Entries are to be appended and synced; the first may overwrite a tail.
	Entries []Entry
	// Messages are to be sent after the sync.
	Messages []Message
	// Committed entries are to be applied in order.
	Committed []Entry
}

// Empty reports whether there is nothing to do.
func (rd Ready) Empty() bool {
	return len(rd.Early) == 0 && rd.Hard == nil && rd.Snapshot == nil &&
		len(rd.Entries) == 0 && len(rd.Messages) == 0 && len(rd.Committed) == 0
}

// Role is what a member is at present.
type Role string

// The roles of a member.
const (
	Follower     Role = "follower"
	PreCandidate Role = "preCandidate"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Status is a member's own account of itself.
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
	// Voters are the present voters.
	Voters []string `json:"voters"`
}
