package raft

func (core *Core) tick(number uint64) {
	core.electionElapsed++
	if core.role == roleLeader {
		core.tickLeader(number)
		return
	}
	if core.electionElapsed >= core.electionTimeout && core.isVoter(core.settings.Name) {
		if core.lastSynced < core.lastWrite {
			// The disk holds an earlier promise up: this replica could not lead now.
			core.become(roleFollower, "")
			return
		}
		core.startPreVote()
	}
}

func (core *Core) tickLeader(number uint64) {
	core.quorumElapsed++
	for _, peer := range core.peers {
		if peer.outgoing != nil {
			peer.outgoing.ticksSinceSent++
		}
		if peer.ticksSinceHeard++; core.isUnresponsive(peer) {
			peer.probing = true
		}
	}
	if core.transferTarget != "" {
		core.transferElapsed++
		if core.transferElapsed > core.settings.ElectionTicks {
			core.transferTarget = ""
		}
	}
	if core.quorumElapsed >= core.settings.ElectionTicks {
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
		if active < core.quorum() {
			core.become(roleFollower, "")
			return
		}
	}
	core.heartbeatElapsed++
	// Groups of one node beat at the same ticks, so that their heartbeats travel together.
	every := core.settings.HeartbeatTicks
	together := number > 0 && number%uint64(every) == 0 && 2*core.heartbeatElapsed >= every
	if together || core.heartbeatElapsed >= every {
		core.broadcast(true)
	}
}
