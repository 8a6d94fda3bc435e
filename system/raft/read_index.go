package raft

type pendingRead struct {
	context uint64
	index   uint64
	round   uint64
}

func (core *Core) readIndex(context uint64) {
	if core.role != roleLeader || !core.committedInTerm() {
		core.output.ReadResults = append(core.output.ReadResults, ReadResult{Context: context, Rejected: true})
		return
	}
	if core.quorum() == 1 && core.isVoter(core.settings.Name) {
		core.output.ReadResults = append(core.output.ReadResults, ReadResult{Context: context, Index: core.commitIndex})
		return
	}
	// Reads that come while a round is out share the next one.
	open := len(core.pendingReads) > 0 && core.pendingReads[len(core.pendingReads)-1].round == core.readRound+1
	core.pendingReads = append(core.pendingReads, pendingRead{context: context, index: core.commitIndex, round: core.readRound + 1})
	if !open && core.pendingReads[0].round == core.readRound+1 {
		core.startReadRound()
	}
}

func (core *Core) startReadRound() {
	core.readRound++
	core.broadcast(true)
}

func (core *Core) confirmReads() {
	if len(core.pendingReads) == 0 {
		return
	}
	confirmed := core.quorumValue(core.readRound, func(peer *progress) uint64 { return peer.ackedReadRound })
	for len(core.pendingReads) > 0 && core.pendingReads[0].round <= confirmed {
		core.output.ReadResults = append(core.output.ReadResults, ReadResult{Context: core.pendingReads[0].context, Index: core.pendingReads[0].index})
		core.pendingReads = core.pendingReads[1:]
	}
	if len(core.pendingReads) > 0 && core.pendingReads[0].round > core.readRound {
		core.startReadRound()
	}
}
