package replica

import "yardrock.example/system/raft"

// TransferLeadership starts the transfer of a group's leadership to another voter. It does not
// wait for the outcome, which [Host.Status] shows. It has no effect unless this node is the
// leader.
func (host *Host) TransferLeadership(groupID uint32, peer string) {
	host.runOnLoop(func() {
		if host.groups[groupID] != nil {
			host.step(groupID, raft.Input{Kind: raft.InputTransferLeadership, Peer: peer})
		}
	})
}

// TransferAllLeaderships starts the transfer of every group led by this node to another voter,
// for a node that is being drained. It does not wait for the outcomes.
func (host *Host) TransferAllLeaderships() {
	host.runOnLoop(func() {
		for groupID, group := range host.groups {
			if _, leading := group.core.Leading(); leading {
				host.transferLeadership(groupID, group)
			}
		}
	})
}

// transferLeadership starts the transfer of leadership to the voter with the highest match
// index. It must be called on the loop.
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
