package raft

// tick advances the timers by one tick. nodeTick counts the ticks of the node, or is 0.
func (core *Core) tick(nodeTick uint64) {
	core.electionElapsed++
	if core.role == roleLeader {
		core.tickLeader(nodeTick)
		return
	}
	if core.electionElapsed >= core.electionTimeout && core.isVoter(core.settings.Name) {
		if core.lastSynced < core.lastWrite {
			// The disk is late with an earlier write, so this replica could not lead now.
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

// tickPeers advances the timers of all peers. One that was silent for an election timeout is
// probed, since what is in flight to it is probably lost.
func (core *Core) tickPeers() {
	for _, peer := range core.peers {
		if peer.outgoing != nil {
			peer.outgoing.ticksSinceSent++
		}
		if peer.ticksSinceHeard++; core.isUnresponsive(peer) {
			peer.probing = true
		}
	}
}

// tickTransfer gives up a leadership transfer that has taken longer than an election timeout,
// so that the leader accepts proposals again (thesis 3.10).
func (core *Core) tickTransfer() {
	if core.transferTarget == "" {
		return
	}
	core.transferElapsed++
	if core.transferElapsed > core.settings.ElectionTicks {
		core.transferTarget = ""
	}
}

// checkQuorum reports, once in each election timeout, whether a quorum of the voters was
// heard during it. A leader without one steps down, so that its clients look for the leader
// that the others may have elected (thesis 6.2).
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

// heartbeatDue reports whether the next heartbeat is to be sent now. The groups of one node
// prefer the same node ticks, so that their heartbeats travel in one batch.
func (core *Core) heartbeatDue(nodeTick uint64) bool {
	every := core.settings.HeartbeatTicks
	aligned := nodeTick > 0 && nodeTick%uint64(every) == 0 && 2*core.heartbeatElapsed >= every
	return aligned || core.heartbeatElapsed >= every
}
