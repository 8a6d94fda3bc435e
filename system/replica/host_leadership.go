package replica

import "yardrock.example/system/raft"

// TransferLeadership asks a group that is led here to hand leadership to another voter. It
// does not wait for the outcome, which [Host.Status] shows. Elsewhere it has no effect.
func (host *Host) TransferLeadership(groupID uint32, peer string) {
	host.runOnLoop(func() {
		if host.groups[groupID] != nil {
			host.step(groupID, raft.Input{Kind: raft.InputTransferLeadership, Peer: peer})
		}
	})
}

// TransferAllLeaderships hands leadership of every group that is led here to another voter, as
// a node does that is being drained. It does not wait for the outcomes.
func (host *Host) TransferAllLeaderships() {
	host.runOnLoop(func() {
		for groupID, group := range host.groups {
			if _, leading := group.core.Leading(); leading {
				host.transferLeadership(groupID, group)
			}
		}
	})
}

// transferLeadership hands leadership to the voter whose log is most complete. It must be
// called on the loop.
func (host *Host) transferLeadership(groupID uint32, group *raftGroup) {
	status := group.core.Status()
	best := ""
	for _, name := range status.Membership.Voters {
		if name != host.name && (best == "" || status.MatchIndex[name] > status.MatchIndex[best]) {
			best = name
		}
	}
	if best != "" {
		host.step(groupID, raft.Input{Kind: raft.InputTransferLeadership, Peer: best})
	}
}
