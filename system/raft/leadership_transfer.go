package raft

func (core *Core) transferLeadership(name string) {
	if core.role != roleLeader || name == core.settings.Name || !core.isVoter(name) {
		return
	}
	core.transferTarget = name
	core.transferElapsed = 0
	if peer := core.peers[name]; peer != nil && peer.matchIndex == core.lastIndex() {
		core.send(Message{Kind: MessageTimeoutNow, To: name, Term: core.hardState.Term})
	}
}

func (core *Core) handleTimeoutNow(Message) {
	if core.isVoter(core.settings.Name) {
		core.startElection(true)
	}
}
