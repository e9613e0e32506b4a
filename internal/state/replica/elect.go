package replica

import "time"

func (co *Core) startPreVote(now time.Time) {
	co.role = PreCandidate
	co.voteForSelf()
	co.requestVotes(MsgPreVote, co.hard.Term+1)
	co.countPreVotes(now)
}

func (co *Core) startVote(now time.Time) {
	co.role = Candidate
	co.setTerm(co.hard.Term+1, co.ID)
	co.voteForSelf()
	co.resetElection(now)
	co.requestVotes(MsgVote, co.hard.Term)
	co.countVotes(now)
}

func (co *Core) voteForSelf() {
	co.votes = map[string]bool{}
	co.recordVote(co.ID)
}

// mayCampaign reports whether this member may be needed as the leader. A leader that
// removed itself is, until that is committed: no other member may hold the entry.
func (co *Core) mayCampaign() bool {
	return !co.learner() && (co.isVoter(co.ID) || co.committedVoter())
}

func (co *Core) requestVotes(kind MessageKind, term uint64) {
	last := co.log.last()
	for _, id := range co.otherVoters() {
		co.send(Message{Kind: kind, To: id, Term: term, Index: last, LogTerm: co.log.term(last), Disk: co.voters()[id]})
	}
}

// leaderAlive reports whether there was, or may have been before a restart, a
// message from a leader within an election timeout. Votes are refused then, so
// that a member that rejoins after a network partition does not disrupt a healthy
// leader.
func (co *Core) leaderAlive(now time.Time) bool {
	if co.role == Leader || now.Before(co.noVoteBefore) {
		return true
	}
	return co.leader != "" && now.Sub(co.lastLeaderContact) < co.Election
}

// mayVote reports whether this member's vote counts. A non-voter may have become
// a voter without having received the entry that says so: then the request
// carries its disk from the candidate's set of voters.
func (co *Core) mayVote(msg Message) bool {
	return !co.learner() || (msg.Disk != "" && msg.Disk == co.hard.Disk)
}

// upToDate reports whether the candidate's log is at least as up to date as this
// member's (section 5.4.1 of the Raft paper).
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
	co.recordVote(msg.From)
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
	co.recordVote(msg.From)
	co.countVotes(now)
}

func (co *Core) countVotes(now time.Time) {
	if len(co.votes) >= co.quorum() {
		co.becomeLeader(now)
	}
}

// recordVote counts a vote if the candidate's set of voters holds its sender.
func (co *Core) recordVote(id string) {
	if co.isVoter(id) {
		co.votes[id] = true
	}
}

func (co *Core) becomeLeader(now time.Time) {
	co.role = Leader
	co.leader = co.ID
	co.progress = make(map[string]*progress, len(co.voters()))
	for _, id := range co.otherVoters() {
		co.progress[id] = &progress{next: co.log.last() + 1, lastContact: now}
	}
	co.nextHeartbeat = now
	// Older entries commit only with an entry of the new term (section 5.4.2).
	// It carries the set of voters, so that members that join later receive it.
	co.proposeCurrentMembership()
	co.tickLeader(now)
}
