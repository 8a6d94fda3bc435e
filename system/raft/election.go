package raft

import "slices"

const (
	// suspectStaggerTicks is the difference between the election timeouts of successive voters,
	// in the order of the membership, when the leader is suspected.
	suspectStaggerTicks = 3
	// preVoteTimeoutDivisor divides ElectionTicks to give the minimum time between pre-votes.
	preVoteTimeoutDivisor = 7
)

// become changes the role and resets the election timer with a new random timeout. A leader
// that steps down rejects its unconfirmed reads and discards the progress of its peers.
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

// setTerm enters a later term, in which this replica has not voted yet.
func (core *Core) setTerm(term uint64) {
	if term > core.hardState.Term {
		core.hardState = HardState{Term: term}
		core.hardStateChanged = true
	}
}

// followLeader records a message from the leader of the current term.
func (core *Core) followLeader(name string) {
	if core.role != roleFollower || core.leader != name {
		core.become(roleFollower, name)
	}
	core.electionElapsed = 0
}

// suspectLeader ends the lease of a leader whose connection was closed and shortens the
// election timeout. The timeout is longer than a heartbeat interval, so that a leader that is
// still running can prevent the election, and staggered by voter, to avoid split votes.
func (core *Core) suspectLeader(name string) {
	if core.role != roleFollower || core.leader != name {
		return
	}
	core.become(roleFollower, "")
	rank := max(0, slices.Index(Without(core.membership.Voters, name), core.settings.Name))
	core.electionTimeout = min(core.electionTimeout, core.settings.HeartbeatTicks+1+suspectStaggerTicks*rank)
}

// inLease reports whether this replica leads, or has received a message from a leader within the
// minimum election timeout. If so, it ignores vote requests, so that a replica that was
// partitioned or removed cannot disrupt the group (paper 6, thesis 4.2.3).
func (core *Core) inLease() bool {
	return core.role == roleLeader || (core.leader != "" && core.electionElapsed < core.settings.ElectionTicks)
}

// shortenElectionTimeout sets a candidate's random timeout, half as long as a follower's: no
// leader is known that another election could disrupt.
func (core *Core) shortenElectionTimeout() {
	half := max(core.settings.ElectionTicks/2, 1)
	core.electionTimeout = half + core.random.IntN(half)
}

// shortenPreVoteTimeout sets the random timeout of a pre-candidate or of a replica that has just
// started. It is short, so that a restarting group elects a leader soon after a quorum is up. A
// pre-vote is not disruptive, since replicas with an active leader reject it.
func (core *Core) shortenPreVoteTimeout() {
	core.electionTimeout = max(core.settings.ElectionTicks/preVoteTimeoutDivisor, 1) + core.random.IntN(max(core.settings.ElectionTicks/2, 1))
}

// startPreVote checks whether an election could be won, without entering a new term (thesis
// 9.6).
func (core *Core) startPreVote() {
	core.become(rolePreCandidate, "")
	core.shortenPreVoteTimeout()
	core.requestVotes(Message{Kind: MessagePreVote, Term: core.hardState.Term + 1})
}

// startElection enters the next term as a candidate (paper 5.2). A forced election, which is part
// of a leadership transfer, overrides the leader's lease.
func (core *Core) startElection(forced bool) {
	core.become(roleCandidate, "")
	core.shortenElectionTimeout()
	core.setTerm(core.hardState.Term + 1)
	core.hardState.VotedFor = core.settings.Name
	core.hardStateChanged = true
	core.requestVotes(Message{Kind: MessageVote, Term: core.hardState.Term, Forced: forced})
}

// requestVotes counts this replica's own vote and sends the request to all other voters.
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

// countVotes reports whether a quorum has granted the request. If so, it starts the election
// after a pre-vote, or becomes leader after an election; a single voter does both at once. If a
// quorum has rejected the request, the replica becomes a follower.
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

// becomeLeader takes leadership. It appends a no-op entry, whose commit also commits the entries
// of earlier terms (paper 5.4.2), and sends a heartbeat to prevent other elections.
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

// handlePreVote grants a pre-vote if this replica could vote for the sender in a later term. A
// grant is not recorded, so several replicas may be granted the same term. A grant echoes the
// term of the request; a rejection carries this replica's term.
func (core *Core) handlePreVote(message Message) {
	grant := message.Term > core.hardState.Term && !core.inLease() && core.isLogUpToDate(message)
	reply := Message{Kind: MessagePreVoteReply, To: message.From, Term: message.Term}
	if !grant {
		reply.Rejected = true
		reply.Term = core.hardState.Term
	}
	core.send(reply)
}

// handleVote grants at most one vote per term, to a candidate whose log is up to date (paper
// 5.2, 5.4.1). The reply is sent once the vote is durable.
func (core *Core) handleVote(message Message) {
	canVote := core.hardState.VotedFor == "" || core.hardState.VotedFor == message.From
	grant := canVote && core.isLogUpToDate(message) && core.role != roleLeader
	if grant {
		if core.hardState.VotedFor == "" {
			core.hardState.VotedFor = message.From
			core.hardStateChanged = true
		}
		core.electionElapsed = 0
	}
	core.send(Message{Kind: MessageVoteReply, To: message.From, Term: core.hardState.Term, Rejected: !grant})
}

// handleVoteReply counts a reply to the current vote or pre-vote request, and ignores replies to
// earlier ones.
func (core *Core) handleVoteReply(message Message) {
	expected := core.role == roleCandidate && message.Kind == MessageVoteReply && message.Term == core.hardState.Term
	if core.role == rolePreCandidate && message.Kind == MessagePreVoteReply {
		expected = message.Rejected || message.Term == core.hardState.Term+1
	}
	if !expected {
		return
	}
	core.votes[message.From] = !message.Rejected
	core.countVotes()
}
