package replica

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"greengageweir/internal/common/invariant"
)

// membershipEntry is a set of voters and the index of the entry that set it.
type membershipEntry struct {
	index  uint64
	voters map[string]string
}

// restoreMembership rebuilds the membership history from the snapshot and log.
func (co *Core) restoreMembership() {
	base := membershipEntry{index: co.log.snapIndex, voters: co.log.snap.Members.Voters}
	if len(base.voters) == 0 {
		base.voters = make(map[string]string, len(co.Members))
		for _, id := range co.initialVoters() {
			base.voters[id] = ""
		}
	}
	co.membershipHistory = []membershipEntry{base}
	for _, ent := range co.log.entries {
		co.recordMembership(ent)
	}
}

func (co *Core) initialVoters() []string {
	if len(co.hard.Initial) > 0 {
		return co.hard.Initial
	}
	return co.Members
}

// append adds an entry to the log. A set of voters takes effect immediately.
func (co *Core) append(ent Entry) {
	co.log.append(ent)
	co.recordMembership(ent)
}

func (co *Core) recordMembership(ent Entry) {
	if ent.Kind != EntryMembers {
		return
	}
	var ms Membership
	if err := json.Unmarshal(ent.Data, &ms); err != nil {
		invariant.Check(false, "membersEntryReadable", "index", ent.Index, "err", err)
		return
	}
	co.membershipHistory = append(co.membershipHistory, membershipEntry{index: ent.Index, voters: ms.Voters})
}

// truncateMembership reverts to the set of voters in effect at index.
func (co *Core) truncateMembership(index uint64) {
	for len(co.membershipHistory) > 1 && co.membershipHistory[len(co.membershipHistory)-1].index > index {
		co.membershipHistory = co.membershipHistory[:len(co.membershipHistory)-1]
	}
}

// MembersAt returns a copy of the set of voters in effect at an index.
func (co *Core) MembersAt(index uint64) Membership {
	found := co.membershipHistory[0]
	for _, at := range co.membershipHistory[1:] {
		if at.index <= index {
			found = at
		}
	}
	return Membership{Voters: maps.Clone(found.voters)}
}

func (co *Core) compactMembership(index uint64) {
	for len(co.membershipHistory) > 1 && co.membershipHistory[1].index <= index {
		co.membershipHistory = co.membershipHistory[1:]
	}
}

func (co *Core) voters() map[string]string {
	return co.membershipHistory[len(co.membershipHistory)-1].voters
}

func (co *Core) voterIDs() []string { return slices.Sorted(maps.Keys(co.voters())) }

func (co *Core) isVoter(id string) bool {
	_, ok := co.voters()[id]
	return ok
}

// learner reports whether this member may not vote yet: its disk is new and
// not the one in the set of voters.
func (co *Core) learner() bool {
	return co.hard.Learner && co.voters()[co.ID] != co.hard.Disk
}

// countsForMajority reports whether a follower is a voter, and either is not a
// learner or was admitted with its current disk.
func (co *Core) countsForMajority(id string, pr *progress) bool {
	disk, voter := co.voters()[id]
	return voter && (!pr.learner || (disk != "" && disk == pr.disk))
}

func (co *Core) quorum() int { return len(co.voters())/2 + 1 }

// committedVoter reports whether this member is a voter in the latest set that it knows
// to be committed.
func (co *Core) committedVoter() bool {
	_, ok := co.MembersAt(co.commit).Voters[co.ID]
	return ok
}

// ownVote returns 1 if this member is a voter, else 0.
func (co *Core) ownVote() int {
	if co.isVoter(co.ID) {
		return 1
	}
	return 0
}

func (co *Core) otherVoters() []string {
	ids := co.voterIDs()
	return slices.DeleteFunc(ids, func(id string) bool { return id == co.ID })
}

// followers returns the ids of all voters and non-voters that the leader
// replicates to, sorted.
func (co *Core) followers() []string { return slices.Sorted(maps.Keys(co.progress)) }

// AddNonVoter makes the leader replicate its log to a process that does not
// vote. It does nothing if this member does not lead, or for a known process.
func (co *Core) AddNonVoter(now time.Time, id string) {
	if co.role != Leader || id == co.ID || co.progress[id] != nil {
		return
	}
	co.progress[id] = &progress{next: co.log.last() + 1, lastContact: now, learner: true}
}

// CaughtUpNonVoter returns the disk of a non-voter that lags the commit index by
// at most one append.
func (co *Core) CaughtUpNonVoter(id string) (disk string, ready bool) {
	pr := co.progress[id]
	if pr == nil || co.isVoter(id) || pr.disk == "" || pr.match+maxBatchEntries < co.commit {
		return "", false
	}
	return pr.disk, true
}

// proposeCurrentMembership proposes the current set of voters as the first entry
// of a new leader.
func (co *Core) proposeCurrentMembership() {
	data, err := json.Marshal(Membership{Voters: co.voters()})
	if err != nil {
		invariant.Check(false, "membersEntryWritable", "err", err)
		return
	}
	_, _, _ = co.propose(EntryMembers, data)
}

// ChangeMembers proposes a set of voters that differs from the current one by
// one member, so that any two majorities of the two sets overlap (Ongaro's
// dissertation, section 4.1). It returns KindPending until the current set and
// an entry of the leader's own term are committed, and KindMembers if the set
// differs by another number or lacks the leader.
func (co *Core) ChangeMembers(now time.Time, voters map[string]string) error {
	if err := co.mayChangeMembers(); err != nil {
		return err
	}
	if _, self := voters[co.ID]; !self || symmetricDifference(voters, co.voters()) != 1 {
		return &Error{Op: "change members", Kind: KindMembers}
	}
	return co.proposeMembers(now, voters)
}

// RemoveSelf proposes the set of voters without the leader, which stops soon. Its own
// log does not count for a majority from then on, and it steps down once the set is
// committed (section 4.2.2 of the dissertation). Errors are those of ChangeMembers; a
// leader that is not a voter, or the only one, gets KindMembers.
func (co *Core) RemoveSelf(now time.Time) error {
	if err := co.mayChangeMembers(); err != nil {
		return err
	}
	if !co.isVoter(co.ID) || len(co.voters()) == 1 {
		return &Error{Op: "change members", Kind: KindMembers}
	}
	voters := maps.Clone(co.voters())
	delete(voters, co.ID)
	return co.proposeMembers(now, voters)
}

// mayChangeMembers returns an error unless this member is the leader and its set of
// voters and an entry of its own term are committed.
func (co *Core) mayChangeMembers() error {
	if co.role != Leader {
		return &Error{Op: "change members", Kind: KindNotLeader}
	}
	if co.membershipHistory[len(co.membershipHistory)-1].index > co.commit || co.log.term(co.commit) != co.hard.Term {
		return &Error{Op: "change members", Kind: KindPending}
	}
	return nil
}

func (co *Core) proposeMembers(now time.Time, voters map[string]string) error {
	data, err := json.Marshal(Membership{Voters: voters})
	if err != nil {
		return &Error{Op: "change members", Kind: KindMembers, Err: err}
	}
	if _, _, err := co.propose(EntryMembers, data); err != nil {
		return err
	}
	for id := range voters {
		co.AddNonVoter(now, id)
	}
	return nil
}

// symmetricDifference counts the ids that are in exactly one of the two sets.
func symmetricDifference(one, other map[string]string) int {
	count := 0
	for id := range one {
		if _, ok := other[id]; !ok {
			count++
		}
	}
	for id := range other {
		if _, ok := one[id]; !ok {
			count++
		}
	}
	return count
}

// SinceLastContact returns, at the leader, the time since the last reply of each
// voter and non-voter.
func (co *Core) SinceLastContact(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration, len(co.progress))
	for id, pr := range co.progress {
		out[id] = now.Sub(pr.lastContact)
	}
	return out
}

// HeardFrom reports whether a voter or non-voter has replied to this leader since it
// was elected. It is true for the leader itself.
func (co *Core) HeardFrom(id string) bool {
	pr := co.progress[id]
	return id == co.ID || (pr != nil && pr.heard)
}
