package raft

// transferLeadership starts a transfer of leadership to a voter (thesis 3.10). The leader rejects
// proposals until the transfer ends. Once the target's log is complete, the leader tells it to
// start an election. tickTransfer aborts the transfer after an election timeout.
func (core *Core) transferLeadership(target string) {
	if core.role != roleLeader || target == core.settings.Name || !core.isVoter(target) {
		return
	}
	core.transferTarget = target
	core.transferElapsed = 0
	core.continueTransfer(target)
}

// continueTransfer tells the named peer to start an election if it is the transfer target and its
// log is complete.
func (core *Core) continueTransfer(name string) {
	if core.role != roleLeader || core.transferTarget != name {
		return
	}
	if peer := core.peers[name]; peer != nil && peer.matchIndex == core.lastIndex() {
		core.send(Message{Kind: MessageTimeoutNow, To: name, Term: core.hardState.Term})
	}
}

// handleTimeoutNow starts an election without a pre-vote, which other voters would reject during
// the leader's lease.
func (core *Core) handleTimeoutNow(Message) {
	if core.isVoter(core.settings.Name) {
		core.startElection(true)
	}
}
