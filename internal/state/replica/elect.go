package replica

import "time"

func (co *Core) startPreVote(now time.Time) {
	co.role = PreCandidate
	co.votes = map[string]bool{co.ID: true}
	co.askVotes(MsgPreVote, co.hard.Term+1)
	co.countPreVotes(now)
}

func (co *Core) startVote(now time.Time) {
	co.role = Candidate
	co.setTerm(co.hard.Term+1, co.ID)
	co.votes = map[string]bool{co.ID: true}
	co.resetElection(now)
	co.askVotes(MsgVote, co.hard.Term)
	co.countVotes(now)
}

func (co *Core) askVotes(kind MessageKind, term uint64) {
	last := co.log.last()
	for _, id := range co.otherVoters() {
		co.send(Message{Kind: kind, To: id, Term: term, Index: last, LogTerm: co.log.term(last), Disk: co.voters()[id]})
	}
}

// leaderAlive reports whether a leader was heard within an election timeout;
// then votes are refused, so that a member that was cut off does not disturb.
func (co *Core) leaderAlive(now time.Time) bool {
	if co.role == Leader {
		return true
	}
	return co.leader != "" && now.Sub(co.heardLeader) < co.Election
}

// mayVote reports whether this member's vote counts. A spare may be a voter
// before its own log says so: the candidate's set then names its disk.
func (co *Core) mayVote(msg Message) bool {
	return !co.learner() || (msg.Disk != "" && msg.Disk == co.hard.Disk)
}

func (co *Core) upToDate(msg Message) bool {
	last := co.log.last()
	term := co.log.term(last)
	if msg.LogTerm != term {
		return msg.LogTerm > term
	}
	return msg.Index >= last
}

func (co *Core) stepPreVote(now time.Time, msg Message) {
	grant := co.mayVote(msg) && msg.Term > co.hard.Term && !co.leaderAlive(now) && co.upToDate(msg)
	reply := Message{Kind: MsgPreVoteReply, To: msg.From, Term: msg.Term, Reject: !grant}
	if !grant {
		reply.Term = co.hard.Term
	}
	co.send(reply)
}

func (co *Core) stepPreVoteReply(now time.Time, msg Message) {
	if msg.Reject {
		if msg.Term > co.hard.Term {
			co.becomeFollower(now, msg.Term, "")
		}
		return
	}
	if co.role != PreCandidate || msg.Term != co.hard.Term+1 {
		return
	}
	co.takeVote(msg.From)
	co.countPreVotes(now)
}

func (co *Core) countPreVotes(now time.Time) {
	if len(co.votes) >= co.quorum() {
		co.startVote(now)
	}
}

func (co *Core) stepVote(now time.Time, msg Message) {
	if msg.Term < co.hard.Term || co.leaderAlive(now) {
		co.send(Message{Kind: MsgVoteReply, To: msg.From, Term: co.hard.Term, Reject: true})
		return
	}
	if msg.Term > co.hard.Term {
		co.becomeFollower(now, msg.Term, "")
	}
	free := co.hard.Vote == "" || co.hard.Vote == msg.From
	grant := co.mayVote(msg) && free && co.role == Follower && co.upToDate(msg)
	if grant {
		co.setTerm(msg.Term, msg.From)
		co.resetElection(now)
	}
	co.send(Message{Kind: MsgVoteReply, To: msg.From, Term: co.hard.Term, Reject: !grant})
}

func (co *Core) stepVoteReply(now time.Time, msg Message) {
	if msg.Term > co.hard.Term {
		co.becomeFollower(now, msg.Term, "")
		return
	}
	if co.role != Candidate || msg.Term != co.hard.Term || msg.Reject {
		return
	}
	co.takeVote(msg.From)
	co.countVotes(now)
}

func (co *Core) countVotes(now time.Time) {
	if len(co.votes) >= co.quorum() {
		co.becomeLeader(now)
	}
}

// takeVote counts the vote of a voter of the candidate's own set.
func (co *Core) takeVote(id string) {
	if co.isMember(id) {
		co.votes[id] = true
	}
}

func (co *Core) becomeLeader(now time.Time) {
	co.role = Leader
	co.leader = co.ID
	co.progress = make(map[string]*progress, len(co.voters()))
	for _, id := range co.otherVoters() {
		co.progress[id] = &progress{next: co.log.last() + 1, heard: now}
	}
	co.nextBeat = now
	// An entry of the new term lets older entries commit (section 5.4.2). It
	// repeats the set of voters, so that members that join later learn of it.
	co.repeatMembers()
	co.tickLeader(now)
}
