package replica

import (
	"encoding/json"
	"sort"
	"time"

	"greengageweir/internal/common/invariant"
)

// snapshotResend is the minimum time between two snapshots to one follower.
const snapshotResend = 2 * time.Second

// broadcastNew sends the entries that have not been sent to a follower yet.
func (co *Core) broadcastNew() {
	for _, id := range co.followers() {
		pr := co.progress[id]
		if co.LazyPropagation && !co.isVoter(id) {
			continue
		}
		if pr.next <= co.log.last() && pr.next > co.log.snapIndex && pr.match+1 >= pr.next-min(pr.next-1, maxBatchEntries) {
			co.sendAppend(time.Time{}, id, false)
		}
	}
}

func latest(one, other time.Time) time.Time {
	if one.After(other) {
		return one
	}
	return other
}

// sendAppend sends the next entries to a follower, or a snapshot if the log no
// longer holds them. A heartbeat is sent even if there are no entries.
func (co *Core) sendAppend(now time.Time, id string, heartbeat bool) {
	pr := co.progress[id]
	if pr.next <= co.log.snapIndex {
		co.sendSnapshot(now, id, pr)
		return
	}
	prev := pr.next - 1
	entries := co.log.entriesFrom(pr.next, maxBatchEntries, maxBatchBytes)
	if len(entries) == 0 && !heartbeat {
		return
	}
	msg := Message{
		Kind: MsgAppend, From: co.ID, To: id, Term: co.hard.Term,
		Index: prev, LogTerm: co.log.term(prev), Commit: co.commit, Entries: entries,
	}
	if !now.IsZero() {
		msg.SentAt = now.UnixNano()
	}
	pr.next += uint64(len(entries))
	co.immediate = append(co.immediate, msg)
}

func (co *Core) sendSnapshot(now time.Time, id string, pr *progress) {
	if now.IsZero() || now.Sub(pr.snapshotSentAt) < snapshotResend {
		return
	}
	pr.snapshotSentAt = now
	snap := co.log.snap
	co.immediate = append(co.immediate, Message{Kind: MsgSnapshot, From: co.ID, To: id, Term: co.hard.Term, Snapshot: &snap})
}

func (co *Core) stepFromLeader(now time.Time, msg Message) {
	if msg.Term < co.hard.Term {
		co.send(Message{Kind: MsgAppendReply, To: msg.From, Term: co.hard.Term, Reject: true})
		return
	}
	invariant.Check(co.role != Leader || msg.Term > co.hard.Term, "oneLeaderPerTerm", "term", msg.Term, "other", msg.From)
	co.becomeFollower(now, msg.Term, msg.From)
	co.lastLeaderContact = now
	co.resetElection(now)
	if msg.Kind == MsgSnapshot {
		co.stepSnapshot(msg)
		return
	}
	co.stepAppend(msg)
}

func (co *Core) stepSnapshot(msg Message) {
	snap := *msg.Snapshot
	switch {
	case snap.Index <= co.commit:
	case co.log.term(snap.Index) == snap.Term:
		// The log extends past the snapshot, and the later entries may have been
		// acknowledged already, so they must be kept.
		co.commit = snap.Index
	default:
		co.log = memLog{snapIndex: snap.Index, snapTerm: snap.Term, snap: snap}
		co.restoreMembership()
		co.stable = snap.Index
		co.commit = snap.Index
		co.applied = snap.Index
		co.pendingSnapshot = &snap
	}
	co.sendAppendReply(msg, co.commit, false)
}

func (co *Core) stepAppend(msg Message) {
	if msg.Index < co.log.snapIndex {
		co.sendAppendReply(msg, co.commit, false)
		return
	}
	if msg.Index > co.log.last() || co.log.term(msg.Index) != msg.LogTerm {
		hint := min(msg.Index-1, co.log.last())
		co.sendAppendReply(msg, max(hint, co.commit), true)
		return
	}
	match := msg.Index
	for _, ent := range msg.Entries {
		co.acceptEntry(ent)
		match = ent.Index
	}
	if commit := min(msg.Commit, match); commit > co.commit {
		co.commit = commit
	}
	co.sendAppendReply(msg, match, false)
}

// acceptEntry appends an entry from the leader and drops a conflicting tail.
func (co *Core) acceptEntry(ent Entry) {
	if ent.Index <= co.log.last() {
		if co.log.term(ent.Index) == ent.Term {
			return
		}
		invariant.Check(ent.Index > co.commit, "committedEntryNeverReplaced", "index", ent.Index, "commit", co.commit)
		co.log.truncate(ent.Index - 1)
		co.truncateMembership(ent.Index - 1)
		co.stable = min(co.stable, ent.Index-1)
	}
	co.append(ent)
}

func (co *Core) sendAppendReply(msg Message, match uint64, reject bool) {
	co.send(Message{
		Kind: MsgAppendReply, To: msg.From, Term: co.hard.Term, Index: match,
		Reject: reject, Learner: co.learner(), Disk: co.hard.Disk, SentAt: msg.SentAt,
	})
}

func (co *Core) stepAppendReply(now time.Time, msg Message) {
	if msg.Term > co.hard.Term {
		co.becomeFollower(now, msg.Term, "")
		return
	}
	if co.role != Leader || msg.Term != co.hard.Term {
		return
	}
	pr, ok := co.progress[msg.From]
	if !ok || !pr.accepts(msg) {
		return
	}
	pr.lastContact, pr.heard = now, true
	if msg.SentAt != 0 {
		pr.leaseFrom = latest(pr.leaseFrom, time.Unix(0, msg.SentAt))
	}
	pr.learner = msg.Learner
	if msg.Reject {
		pr.next = max(min(pr.next, msg.Index+1), pr.match+1)
		co.sendAppend(now, msg.From, true)
		return
	}
	pr.match = max(pr.match, msg.Index)
	pr.next = max(pr.next, pr.match+1)
	co.advanceCommit(now)
	if pr.learner && co.isVoter(msg.From) && pr.match >= co.commit {
		co.readmit(msg)
	}
}

// accepts reports whether a reply is from the follower's current disk. A reply
// from a disk that was lost since must not count, because its entries are gone.
// A new disk is recognized by a learner's reply and resets match to 0.
func (pr *progress) accepts(msg Message) bool {
	if msg.Disk == pr.disk {
		return true
	}
	if pr.disk != "" && !msg.Learner {
		return false
	}
	pr.disk = msg.Disk
	pr.match = 0
	return true
}

// readmit proposes an entry that makes a caught-up learner a voter again. At
// most one such entry per disk is uncommitted at a time.
func (co *Core) readmit(msg Message) {
	data, err := json.Marshal(Readmit{Member: msg.From, Disk: msg.Disk})
	if err != nil || co.log.hasReadmit(data, co.commit) {
		return
	}
	_, _, _ = co.propose(EntryReadmit, data)
}

// advanceCommit commits an entry of the leader's own term once a majority of the
// voters has stored it.
func (co *Core) advanceCommit(now time.Time) {
	matches := make([]uint64, 0, len(co.voters()))
	if co.isVoter(co.ID) {
		matches = append(matches, co.stable)
	}
	for id, pr := range co.progress {
		if !co.isVoter(id) {
			continue
		}
		if !co.countsForMajority(id, pr) {
			matches = append(matches, 0)
			continue
		}
		matches = append(matches, pr.match)
	}
	sort.Slice(matches, func(a, b int) bool { return matches[a] > matches[b] })
	index := matches[co.quorum()-1]
	if index <= co.commit || co.log.term(index) != co.hard.Term {
		return
	}
	co.commit = index
	if !co.LazyPropagation {
		// Send followers the commit index now instead of with the next heartbeat.
		for _, id := range co.followers() {
			co.sendAppend(now, id, true)
		}
	}
	if !co.isVoter(co.ID) && !co.committedVoter() {
		co.becomeFollower(now, co.hard.Term, "")
	}
}
