package raft

// pendingRead is a read that waits until a quorum has replied to a heartbeat round that began
// after it was requested.
type pendingRead struct {
	context uint64
	index   uint64
	round   uint64
}

// readIndex answers a read with the current commit index once a heartbeat round confirms that
// this replica still leads (thesis 6.4). A leader that has not committed an entry in its term
// rejects the read, since its commit index may be behind that of the previous leader.
func (core *Core) readIndex(context uint64) {
	if core.role != roleLeader || !core.committedInTerm() {
		core.output.ReadResults = append(core.output.ReadResults, ReadResult{Context: context, Rejected: true})
		return
	}
	if core.quorum() == 1 && core.isVoter(core.settings.Name) {
		core.output.ReadResults = append(core.output.ReadResults, ReadResult{Context: context, Index: core.commitIndex})
		return
	}
	// Reads requested while a round is in flight share the next round.
	nextRoundPending := len(core.pendingReads) > 0 && core.pendingReads[len(core.pendingReads)-1].round == core.readRound+1
	core.pendingReads = append(core.pendingReads, pendingRead{context: context, index: core.commitIndex, round: core.readRound + 1})
	if !nextRoundPending && core.pendingReads[0].round == core.readRound+1 {
		core.startReadRound()
	}
}

func (core *Core) startReadRound() {
	core.readRound++
	core.broadcast(true)
}

// confirmReads answers the reads whose round a quorum has replied to, and starts the next round
// if reads are waiting for it.
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
