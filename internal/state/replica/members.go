package replica

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"greengageweir/internal/duty/invariant"
)

// membersAt is a set of voters and the entry that brought it.
type membersAt struct {
	index  uint64
	voters map[string]string
}

// restoreMembers rebuilds the history of members from the snapshot and the log.
func (co *Core) restoreMembers() {
	base := membersAt{index: co.log.snapIndex, voters: co.log.snap.Members.Voters}
	if len(base.voters) == 0 {
		base.voters = make(map[string]string, len(co.Members))
		for _, id := range co.initial() {
			base.voters[id] = ""
		}
	}
	co.history = []membersAt{base}
	for _, ent := range co.log.entries {
		co.noteMembers(ent)
	}
}

func (co *Core) initial() []string {
	if len(co.hard.Initial) > 0 {
		return co.hard.Initial
	}
	return co.Members
}

// append adds an entry to the log; a set of voters is in force at once.
func (co *Core) append(ent Entry) {
	co.log.append(ent)
	co.noteMembers(ent)
}

func (co *Core) noteMembers(ent Entry) {
	if ent.Kind != EntryMembers {
		return
	}
	var ms Membership
	if err := json.Unmarshal(ent.Data, &ms); err != nil {
		invariant.Check(false, "membersEntryReadable", "index", ent.Index, "err", err)
		return
	}
	co.history = append(co.history, membersAt{index: ent.Index, voters: ms.Voters})
}

// truncateMembers returns to the set in force at index.
func (co *Core) truncateMembers(index uint64) {
	for len(co.history) > 1 && co.history[len(co.history)-1].index > index {
		co.history = co.history[:len(co.history)-1]
	}
}

// MembersAt returns the set of voters as of an index of the log.
func (co *Core) MembersAt(index uint64) Membership {
	found := co.history[0]
	for _, at := range co.history[1:] {
		if at.index <= index {
			found = at
		}
	}
	return Membership{Voters: maps.Clone(found.voters)}
}

func (co *Core) compactMembers(index uint64) {
	for len(co.history) > 1 && co.history[1].index <= index {
		co.history = co.history[1:]
	}
}

func (co *Core) voters() map[string]string { return co.history[len(co.history)-1].voters }

func (co *Core) voterIDs() []string { return slices.Sorted(maps.Keys(co.voters())) }

func (co *Core) isMember(id string) bool {
	_, ok := co.voters()[id]
	return ok
}

// learner reports whether this member may not vote yet: its disk is new and
// the set of voters does not name it.
func (co *Core) learner() bool {
	return co.hard.Learner && co.voters()[co.ID] != co.hard.Disk
}

// counts reports whether a follower counts for a majority: it is a voter, and
// either no learner or admitted with the disk that it has.
func (co *Core) counts(id string, pr *progress) bool {
	disk, voter := co.voters()[id]
	return voter && (!pr.learner || (disk != "" && disk == pr.disk))
}

func (co *Core) quorum() int { return len(co.voters())/2 + 1 }

func (co *Core) otherVoters() []string {
	ids := co.voterIDs()
	return slices.DeleteFunc(ids, func(id string) bool { return id == co.ID })
}

// followers are all that a leader sends the log to: voters and spares.
func (co *Core) followers() []string { return slices.Sorted(maps.Keys(co.progress)) }

// AddSpare makes a leader send its log to a process that is no voter.
func (co *Core) AddSpare(now time.Time, id string) {
	if co.role != Leader || id == co.ID || co.progress[id] != nil {
		return
	}
	co.progress[id] = &progress{next: co.log.last() + 1, heard: now, learner: true}
}

// SpareReady returns the disk of a spare that one append brings up to date.
func (co *Core) SpareReady(id string) (disk string, ready bool) {
	pr := co.progress[id]
	if pr == nil || co.isMember(id) || pr.disk == "" || pr.match+maxBatchEntries < co.commit {
		return "", false
	}
	return pr.disk, true
}

// repeatMembers proposes the present set, as the first entry of a leader.
func (co *Core) repeatMembers() {
	data, err := json.Marshal(Membership{Voters: co.voters()})
	if err != nil {
		invariant.Check(false, "membersEntryWritable", "err", err)
		return
	}
	_, _, _ = co.propose(EntryMembers, data)
}

// ChangeMembers proposes a set of voters that differs by one member from the
// present one, so that any majority of the one meets any majority of the
// other (Ongaro's dissertation, section 4.1). The present set must be
// committed, and an entry of the leader's own term with it.
func (co *Core) ChangeMembers(now time.Time, voters map[string]string) error {
	if co.role != Leader {
		return &Error{Op: "change members", Kind: KindNotLeader}
	}
	if co.history[len(co.history)-1].index > co.commit || co.log.term(co.commit) != co.hard.Term {
		return &Error{Op: "change members", Kind: KindPending}
	}
	if _, self := voters[co.ID]; !self || setDifference(voters, co.voters()) != 1 {
		return &Error{Op: "change members", Kind: KindMembers}
	}
	data, err := json.Marshal(Membership{Voters: voters})
	if err != nil {
		return &Error{Op: "change members", Kind: KindMembers, Err: err}
	}
	if _, _, err := co.propose(EntryMembers, data); err != nil {
		return err
	}
	for id := range voters {
		co.AddSpare(now, id)
	}
	return nil
}

func setDifference(one, other map[string]string) int {
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

// Silence tells, at a leader, how long each voter and spare has not answered.
func (co *Core) Silence(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration, len(co.progress))
	for id, pr := range co.progress {
		out[id] = now.Sub(pr.heard)
	}
	return out
}
