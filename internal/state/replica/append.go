package replica

import (
	"encoding/json"
	"sort"
	"time"

	"greengageweir/internal/duty/invariant"
)

// snapshotResend is how long a leader waits before it sends a snapshot again.
const snapshotResend = 2 * time.Second

// broadcastNew sends entries that members have not been sent yet.
func (co *Core) broadcastNew() {
	for _, id := range co.followers() {
		pr := co.progress[id]
		if co.LazyPropagation && !co.isMember(id) {
			continue
		}
		if pr.next <= co.log.last() && pr.next > co.log.snapIndex && pr.match+1 >= pr.next-min(pr.next-1, maxBatchEntries) {
			co.sendAppend(time.Time{}, id, false)
		}
	}
}

// sendAppend sends the next entries to a member, or a snapshot where the log
// no longer reaches back that far. A beat is sent also without entries.
func (co *Core) sendAppend(now time.Time, id string, beat bool) {
	pr := co.progress[id]
	if pr.next <= co.log.snapIndex {
		co.sendSnapshot(now, id, pr)
		return
	}
	prev := pr.next - 1
	entries := co.log.from(pr.next, maxBatchEntries, maxBatchBytes)
	if len(entries) == 0 && !beat {
		return
	}
	msg := Message{
		Kind: MsgAppend, From: co.ID, To: id, Term: co.hard.Term,
		Index: prev, LogTerm: co.log.term(prev), Commit: co.commit, Entries: entries,
	}
	pr.next += uint64(len(entries))
	co.early = append(co.early, msg)
}

func (co *Core) sendSnapshot(now time.Time, id string, pr *progress) {
	if now.IsZero() || now.Sub(pr.snapshotSent) < snapshotResend {
		return
	}
	pr.snapshotSent = now
	snap := co.log.snap
	co.early = append(co.early, Message{Kind: MsgSnapshot, From: co.ID, To: id, Term: co.hard.Term, Snapshot: &snap})
}

func (co *Core) stepFromLeader(now time.Time, msg Message) {
	if msg.Term < co.hard.Term {
		co.send(Message{Kind: MsgAppendReply, To: msg.From, Term: co.hard.Term, Reject: true})
		return
	}
	invariant.Check(co.role != Leader || msg.Term > co.hard.Term, "oneLeaderPerTerm", "term", msg.Term, "other", msg.From)
	co.becomeFollower(now, msg.Term, msg.From)
	co.heardLeader = now
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
		// The log reaches past the snapshot, and what is behind it may have
		// been acknowledged already, so it must be kept.
		co.commit = snap.Index
	default:
		co.log = memLog{snapIndex: snap.Index, snapTerm: snap.Term, snap: snap}
		co.restoreMembers()
		co.stable = snap.Index
		co.commit = snap.Index
		co.applied = snap.Index
		co.install = &snap
	}
	co.replyMatch(msg, co.commit, false)
}

func (co *Core) stepAppend(msg Message) {
	if msg.Index < co.log.snapIndex {
		co.replyMatch(msg, co.commit, false)
		return
	}
	if msg.Index > co.log.last() || co.log.term(msg.Index) != msg.LogTerm {
		hint := min(msg.Index-1, co.log.last())
		co.replyMatch(msg, max(hint, co.commit), true)
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
	co.replyMatch(msg, match, false)
}

func (co *Core) acceptEntry(ent Entry) {
	if ent.Index <= co.log.last() {
		if co.log.term(ent.Index) == ent.Term {
			return
		}
		invariant.Check(ent.Index > co.commit, "committedEntryNeverReplaced", "index", ent.Index, "commit", co.commit)
		co.log.truncate(ent.Index - 1)
		co.truncateMembers(ent.Index - 1)
		co.stable = min(co.stable, ent.Index-1)
	}
	co.append(ent)
}

func (co *Core) replyMatch(msg Message, match uint64, reject bool) {
	co.send(Message{
		Kind: MsgAppendReply, To: msg.From, Term: co.hard.Term, Index: match,
		Reject: reject, Learner: co.learner(), Disk: co.hard.Disk,
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
	pr.heard = now
	pr.learner = msg.Learner
	if msg.Reject {
		pr.next = max(min(pr.next, msg.Index+1), pr.match+1)
		co.sendAppend(now, msg.From, true)
		return
	}
	pr.match = max(pr.match, msg.Index)
	pr.next = max(pr.next, pr.match+1)
	co.advanceCommit(now)
	if pr.learner && co.isMember(msg.From) && pr.match >= co.commit {
		co.readmit(msg)
	}
}

// accepts reports whether a reply is of the member's present disk. A reply of
// a disk that was lost since must not count: what it matched is gone. A new
// disk shows itself by a learner's reply, and starts from nothing.
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

// readmit proposes that a caught-up learner votes again, once per disk.
func (co *Core) readmit(msg Message) {
	data, err := json.Marshal(Readmit{Member: msg.From, Disk: msg.Disk})
	if err != nil || co.log.hasReadmit(data, co.commit) {
		return
	}
	_, _, _ = co.propose(EntryReadmit, data)
}

// advanceCommit applies the commit rule: a majority of voters holds the entry
// and it is of the leader's own term.
func (co *Core) advanceCommit(now time.Time) {
	matches := make([]uint64, 0, len(co.voters()))
	matches = append(matches, co.stable)
	for id, pr := range co.progress {
		if !co.isMember(id) {
			continue
		}
		if !co.counts(id, pr) {
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
	if co.LazyPropagation {
		return
	}
	// Followers learn of the commit at once, not with the next heartbeat.
	for _, id := range co.followers() {
		co.sendAppend(now, id, true)
	}
}
