package raft

// tick advances the timers by one tick. nodeTick is the node's tick counter, or 0.
func (core *Core) tick(nodeTick uint64) {
	core.electionElapsed++
	if core.role == roleLeader {
		core.tickLeader(nodeTick)
		return
	}
	if core.electionElapsed >= core.electionTimeout && core.isVoter(core.settings.Name) {
		if core.lastSynced < core.lastWrite {
			// While an earlier write is not durable, this replica could not lead. Wait for
			// another election timeout instead of disrupting the group.
			core.become(roleFollower, "")
			return
		}
		core.startPreVote()
	}
}

func (core *Core) tickLeader(nodeTick uint64) {
	core.tickPeers()
	core.tickTransfer()
	if !core.checkQuorum() {
		core.become(roleFollower, "")
		return
	}
	core.heartbeatElapsed++
	if core.heartbeatDue(nodeTick) {
		core.broadcast(true)
	}
}

// tickPeers advances the timers of all peers. An unresponsive peer is probed, since the
// messages in flight to it are probably lost.
func (core *Core) tickPeers() {
	for _, peer := range core.peers {
		if peer.outgoing != nil {
			peer.outgoing.ticksSinceSent++
		}
		if peer.ticksSinceActive++; core.isUnresponsive(peer) {
			peer.probing = true
		}
	}
}

// tickTransfer aborts a leadership transfer that takes longer than an election timeout, so that
// the leader accepts proposals again (thesis 3.10).
func (core *Core) tickTransfer() {
	if core.transferTarget == "" {
		return
	}
	core.transferElapsed++
	if core.transferElapsed > core.settings.ElectionTicks {
		core.transferTarget = ""
	}
}

// checkQuorum reports, once per election timeout, whether a quorum of the voters was active
// during it; between checks it returns true. A leader without an active quorum steps down, so
// that its clients look for the leader that the other voters may have elected (thesis 6.2).
func (core *Core) checkQuorum() bool {
	core.quorumElapsed++
	if core.quorumElapsed < core.settings.ElectionTicks {
		return true
	}
	core.quorumElapsed = 0
	active := 0
	for _, name := range core.membership.Voters {
		if name == core.settings.Name {
			active++
		} else if peer := core.peers[name]; peer != nil && peer.recentlyActive {
			active++
		}
	}
	for _, peer := range core.peers {
		peer.recentlyActive = false
	}
	return active >= core.quorum()
}

// heartbeatDue reports whether the next heartbeat should be sent now. Heartbeats are aligned to
// multiples of the interval in node ticks, so that the groups of a node send them in one batch.
func (core *Core) heartbeatDue(nodeTick uint64) bool {
	interval := core.settings.HeartbeatTicks
	aligned := nodeTick > 0 && nodeTick%uint64(interval) == 0 && 2*core.heartbeatElapsed >= interval
	return aligned || core.heartbeatElapsed >= interval
}
