package raft

// transferLeadership hands leadership to a voter (thesis 3.10). The leader accepts no
// proposals until the transfer ends; once the target's log is complete it is asked to start
// an election. After an election timeout the leader goes on itself.
func (core *Core) transferLeadership(target string) {
	if core.role != roleLeader || target == core.settings.Name || !core.isVoter(target) {
		return
	}
	core.transferTarget = target
	core.transferElapsed = 0
	core.continueTransfer(target)
}

// continueTransfer tells the transfer target to start an election if it is the given peer and
// its log is complete.
func (core *Core) continueTransfer(name string) {
	if core.role != roleLeader || core.transferTarget != name {
		return
	}
	if peer := core.peers[name]; peer != nil && peer.matchIndex == core.lastIndex() {
		core.send(Message{Kind: MessageTimeoutNow, To: name, Term: core.hardState.Term})
	}
}

// handleTimeoutNow starts an election without a pre-vote, which the leader's lease would have
// rejected.
func (core *Core) handleTimeoutNow(Message) {
	if core.isVoter(core.settings.Name) {
		core.startElection(true)
	}
}
