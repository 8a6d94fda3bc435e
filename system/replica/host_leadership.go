package replica

import "yardrock.example/system/raft"

// TransferLeadership asks a group that is led here to follow another voter.
//
//	host.TransferLeadership(7, "store-b")
func (host *Host) TransferLeadership(groupID uint32, peer string) {
	host.runOnLoop(func() {
		if host.groups[groupID] != nil {
			host.step(groupID, raft.Input{Kind: raft.InputTransferLeadership, Peer: peer})
		}
	})
}

// TransferAllLeaderships gives up leadership of every group, as a node does that drains.
//
//	host.TransferAllLeaderships()
func (host *Host) TransferAllLeaderships() {
	host.runOnLoop(func() {
		for groupID, group := range host.groups {
			if _, leading := group.core.Leading(); leading {
				host.transferLeadership(groupID, group)
			}
		}
	})
}

// transferLeadership gives leadership to the voter that holds most.
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
