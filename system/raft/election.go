package raft

import "slices"

const (
	// suspectRankTicks is by how many ticks each voter waits longer than the one before it, in
	// the order of the membership, when the leader is suspected.
	suspectRankTicks = 3
	// preVoteTimeoutDivisor says how much shorter than ElectionTicks the least time before
	// another pre-vote is.
	preVoteTimeoutDivisor = 7
)

// become changes the role, and starts a new election timeout. A leader that steps down
// rejects the reads that it has not confirmed and discards its progress.
func (core *Core) become(next role, leader string) {
	if core.role == roleLeader && next != roleLeader {
		for _, read := range core.pendingReads {
			core.output.ReadResults = append(core.output.ReadResults, ReadResult{Context: read.context, Rejected: true})
		}
		core.pendingReads = nil
		core.peers = nil
		core.transferTarget = ""
	}
	core.role = next
	core.leader = leader
	core.electionElapsed = 0
	core.quorumElapsed = 0
	core.electionTimeout = core.settings.ElectionTicks + core.random.IntN(core.settings.ElectionTicks)
}

// setTerm enters a later term, in which no vote is given yet.
func (core *Core) setTerm(term uint64) {
	if term > core.hardState.Term {
		core.hardState = HardState{Term: term}
		core.hardStateChanged = true
	}
}

// followLeader notes that the leader of the current term was heard.
func (core *Core) followLeader(name string) {
	if core.role != roleFollower || core.leader != name {
		core.become(roleFollower, name)
	}
	core.electionElapsed = 0
}

// suspectLeader ends the lease of a leader whose connection ended, and shortens the election
// timeout. A leader that still runs is heard before it is over. The voters wait in the order
// of the membership, so that they do not split the votes.
func (core *Core) suspectLeader(name string) {
	if core.role != roleFollower || core.leader != name {
		return
	}
	core.become(roleFollower, "")
	rank := max(0, slices.Index(Without(core.membership.Voters, name), core.settings.Name))
	core.electionTimeout = min(core.electionTimeout, core.settings.HeartbeatTicks+1+suspectRankTicks*rank)
}

// inLease reports whether this replica leads, or has heard a leader within the minimum
// election timeout. Then it ignores requests for votes, which a replica that was cut off or
// removed would otherwise disrupt the group with (paper 6, thesis 4.2.3).
func (core *Core) inLease() bool {
	return core.role == roleLeader || (core.leader != "" && core.electionElapsed < core.settings.ElectionTicks)
}

// shortenElectionTimeout draws the timeout of a candidate: half as long as a follower's, since no
// leader is known that a new election could disrupt.
func (core *Core) shortenElectionTimeout() {
	half := max(core.settings.ElectionTicks/2, 1)
	core.electionTimeout = half + core.random.IntN(half)
}

// shortenPreVoteTimeout draws the timeout of a pre-candidate, or of a replica that has just
// started. A pre-vote disrupts nobody, as those that hear a leader reject it, so it is repeated
// sooner than an election: a group that restarts waits for little more than its second replica.
func (core *Core) shortenPreVoteTimeout() {
	core.electionTimeout = max(core.settings.ElectionTicks/preVoteTimeoutDivisor, 1) + core.random.IntN(max(core.settings.ElectionTicks/2, 1))
}

// startPreVote asks whether an election could be won, without entering a new term (thesis
// 9.6).
func (core *Core) startPreVote() {
	core.become(rolePreCandidate, "")
	core.shortenPreVoteTimeout()
	core.requestVotes(Message{Kind: MessagePreVote, Term: core.hardState.Term + 1})
}

// startElection enters the next term as a candidate (paper 5.2). A forced election, part of a
// leadership transfer, is not held up by the lease of the leader.
func (core *Core) startElection(forced bool) {
	core.become(roleCandidate, "")
	core.shortenElectionTimeout()
	core.setTerm(core.hardState.Term + 1)
	core.hardState.VotedFor = core.settings.Name
	core.hardStateChanged = true
	core.requestVotes(Message{Kind: MessageVote, Term: core.hardState.Term, Forced: forced})
}

// requestVotes votes for this replica and sends a request to all other voters.
func (core *Core) requestVotes(request Message) {
	core.votes = map[string]bool{core.settings.Name: true}
	if core.countVotes() {
		return
	}
	request.Index, request.LogTerm = core.lastIndex(), core.termAt(core.lastIndex())
	for _, name := range core.membership.Voters {
		if name != core.settings.Name {
			request.To = name
			core.send(request)
		}
	}
}

// countVotes reports whether a quorum has granted the request, and then takes the next step:
// from the pre-vote to the election, or from the election to leadership. A single voter
// takes both at once. If a quorum rejects the request, the replica becomes a follower.
func (core *Core) countVotes() bool {
	granted, rejected := 0, 0
	for _, name := range core.membership.Voters {
		if vote, known := core.votes[name]; known && vote {
			granted++
		} else if known {
			rejected++
		}
	}
	if granted >= core.quorum() {
		if core.role == rolePreCandidate {
			core.startElection(false)
		} else {
			core.becomeLeader()
		}
		return true
	}
	if rejected >= core.quorum() {
		core.become(roleFollower, "")
	}
	return false
}

// becomeLeader starts to lead: with a no-op entry, whose commit also commits the entries of
// earlier terms (paper 5.4.2), and a heartbeat that prevents other elections.
func (core *Core) becomeLeader() {
	core.become(roleLeader, core.settings.Name)
	core.peers = map[string]*progress{}
	core.incoming = nil
	core.pendingReads = nil
	core.trackPeers()
	core.appendEntry(Entry{Kind: EntryNoOp})
	core.broadcast(true)
}

// isLogUpToDate reports whether a candidate's log is at least as up to date as this replica's
// (paper 5.4.1).
func (core *Core) isLogUpToDate(message Message) bool {
	ownTerm := core.termAt(core.lastIndex())
	return message.LogTerm > ownTerm || (message.LogTerm == ownTerm && message.Index >= core.lastIndex())
}

// handlePreVote grants a pre-vote if this replica could vote for the sender in a later term.
// Nothing is recorded: several replicas may be granted the same term. A grant repeats the
// term of the request, a rejection has this replica's own.
func (core *Core) handlePreVote(message Message) {
	grant := message.Term > core.hardState.Term && !core.inLease() && core.isLogUpToDate(message)
	reply := Message{Kind: MessagePreVoteReply, To: message.From, Term: message.Term}
	if !grant {
		reply.Rejected = true
		reply.Term = core.hardState.Term
	}
	core.send(reply)
}

// handleVote grants one vote in each term, to a candidate whose log is up to date (paper 5.2,
// 5.4.1). The reply waits until the vote is durable.
func (core *Core) handleVote(message Message) {
	free := core.hardState.VotedFor == "" || core.hardState.VotedFor == message.From
	grant := free && core.isLogUpToDate(message) && core.role != roleLeader
	if grant {
		if core.hardState.VotedFor == "" {
			core.hardState.VotedFor = message.From
			core.hardStateChanged = true
		}
		core.electionElapsed = 0
	}
	core.send(Message{Kind: MessageVoteReply, To: message.From, Term: core.hardState.Term, Rejected: !grant})
}

// handleVoteReply counts a reply to the present request for votes; replies to earlier ones
// are ignored.
func (core *Core) handleVoteReply(message Message) {
	awaited := core.role == roleCandidate && message.Kind == MessageVoteReply && message.Term == core.hardState.Term
	if core.role == rolePreCandidate && message.Kind == MessagePreVoteReply {
		awaited = message.Rejected || message.Term == core.hardState.Term+1
	}
	if !awaited {
		return
	}
	core.votes[message.From] = !message.Rejected
	core.countVotes()
}
