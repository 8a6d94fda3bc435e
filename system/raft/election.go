package raft

import "slices"

func (core *Core) become(next role, leaderName string) {
	if core.role == roleLeader && next != roleLeader {
		for _, read := range core.pendingReads {
			core.output.ReadResults = append(core.output.ReadResults, ReadResult{Context: read.context, Rejected: true})
		}
		core.pendingReads = nil
		core.peers = nil
		core.transferTarget = ""
	}
	core.role = next
	core.leader = leaderName
	core.electionElapsed = 0
	core.quorumElapsed = 0
	core.electionTimeout = core.settings.ElectionTicks + core.random.IntN(core.settings.ElectionTicks)
}

func (core *Core) setTerm(term uint64) {
	if term > core.hardState.Term {
		core.hardState = HardState{Term: term}
		core.hardStateChanged = true
	}
}

func (core *Core) followLeader(from string) {
	if core.role != roleFollower || core.leader != from {
		core.become(roleFollower, from)
	}
	core.electionElapsed = 0
}

// suspectLeader ends the lease of a leader that may be gone. One that is still there is heard
// of before this replica stands for election; of the others each waits longer than the
// one before it, so that they do not stand against each other.
func (core *Core) suspectLeader(name string) {
	if core.role != roleFollower || core.leader != name {
		return
	}
	core.become(roleFollower, "")
	rank := max(0, slices.Index(Without(core.membership.Voters, name), core.settings.Name))
	core.electionTimeout = min(core.electionTimeout, core.settings.HeartbeatTicks+1+3*rank)
}

// inLease tells that a leader was heard lately (or is this replica), so that no
// other should be elected over it.
func (core *Core) inLease() bool {
	return core.role == roleLeader || (core.leader != "" && core.electionElapsed < core.settings.ElectionTicks)
}

// shortenElectionTimeout shortens the wait for the next election, where no leader is known that could be
// disturbed.
func (core *Core) shortenElectionTimeout() {
	half := max(core.settings.ElectionTicks/2, 1)
	core.electionTimeout = half + core.random.IntN(half)
}

// shortenPreVoteTimeout shortens the wait for the next pre-vote yet more: it disturbs nobody, as who has
// a leader refuses it. So a group that starts anew waits only for its second replica.
func (core *Core) shortenPreVoteTimeout() {
	core.electionTimeout = max(core.settings.ElectionTicks/7, 1) + core.random.IntN(max(core.settings.ElectionTicks/2, 1))
}

// startPreVote asks first whether an election could be won, so that a replica that was
// cut off does not depose a leader.
func (core *Core) startPreVote() {
	core.become(rolePreCandidate, "")
	core.shortenPreVoteTimeout()
	core.requestVotes(Message{Kind: MessagePreVote, Term: core.hardState.Term + 1})
}

func (core *Core) startElection(forced bool) {
	core.become(roleCandidate, "")
	core.shortenElectionTimeout()
	core.setTerm(core.hardState.Term + 1)
	core.hardState.VotedFor = core.settings.Name
	core.hardStateChanged = true
	core.requestVotes(Message{Kind: MessageVote, Term: core.hardState.Term, Forced: forced})
}

func (core *Core) requestVotes(ask Message) {
	core.votes = map[string]bool{core.settings.Name: true}
	if core.tallyVotes() {
		return
	}
	ask.Index, ask.LogTerm = core.lastIndex(), core.termAt(core.lastIndex())
	for _, name := range core.membership.Voters {
		if name != core.settings.Name {
			ask.To = name
			core.send(ask)
		}
	}
}

// tallyVotes moves on when a majority said yes; a lone voter moves on at once.
func (core *Core) tallyVotes() bool {
	granted, rejected := 0, 0
	for _, name := range core.membership.Voters {
		if answer, known := core.votes[name]; known && answer {
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

func (core *Core) becomeLeader() {
	core.become(roleLeader, core.settings.Name)
	core.peers = map[string]*progress{}
	core.incoming = nil
	core.pendingReads = nil
	core.trackPeers()
	core.appendEntry(Entry{Kind: EntryNoOp})
	core.broadcast(true)
}

func (core *Core) isLogUpToDate(message Message) bool {
	ownTerm := core.termAt(core.lastIndex())
	return message.LogTerm > ownTerm || (message.LogTerm == ownTerm && message.Index >= core.lastIndex())
}

func (core *Core) handlePreVote(message Message) {
	grant := message.Term > core.hardState.Term && !core.inLease() && core.isLogUpToDate(message)
	reply := Message{Kind: MessagePreVoteReply, To: message.From, Term: message.Term}
	if !grant {
		reply.Rejected = true
		reply.Term = core.hardState.Term
	}
	core.send(reply)
}

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

func (core *Core) handleVoteReply(message Message) {
	asking := core.role == roleCandidate && message.Kind == MessageVoteReply && message.Term == core.hardState.Term
	if core.role == rolePreCandidate && message.Kind == MessagePreVoteReply {
		asking = message.Rejected || message.Term == core.hardState.Term+1
	}
	if !asking {
		return
	}
	core.votes[message.From] = !message.Rejected
	core.tallyVotes()
}
