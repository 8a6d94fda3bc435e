package raft

func (core *Core) transferLeadership(name string) {
	if core.role != roleLeader || name == core.settings.Name || !core.isVoter(name) {
		return
	}
	core.transferTarget = name
	core.transferElapsed = 0
	core.continueTransfer(name)
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

func (core *Core) handleTimeoutNow(Message) {
	if core.isVoter(core.settings.Name) {
		core.startElection(true)
	}
}
