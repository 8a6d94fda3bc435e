package replica

import (
	"github.com/apex/log"

	"yardrock.example/system/durablelog"
	"yardrock.example/system/raft"
	"yardrock.example/system/wire"
)

// Bootstrap starts a group with its initial voters and the data of its first snapshot, which may
// be empty. Both must be the same on every initial voter. It has no effect if this node has a
// replica of the group or has deleted one.
func (host *Host) Bootstrap(groupID uint32, voters []string, snapshotData []byte) {
	host.runOnLoop(func() {
		if host.groups[groupID] != nil || host.deletedReplicas[groupID] {
			return
		}
		snapshot := raft.Snapshot{Index: 1, Term: 1, Membership: raft.Membership{Voters: voters}, Data: snapshotData}
		stored := raft.PersistentState{HardState: raft.HardState{Term: 1}, Snapshot: snapshot}
		if err := host.addGroup(groupID, stored); err != nil {
			log.WithFields(log.Fields{"node": host.name, "group": groupID, "error": err.Error()}).Error("failed to bootstrap group")
			return
		}
		host.pendingRecords = append(host.pendingRecords, encodeWrite(groupID, wire.StoredWrite{HardState: stored.HardState, HasSnapshot: true, Snapshot: snapshot})...)
	})
}

// DeleteReplica deletes this node's replica of a group. The replica must no longer be a member of the
// group. A leader may add it again.
func (host *Host) DeleteReplica(groupID uint32) {
	host.runOnLoop(func() {
		if host.groups[groupID] == nil {
			return
		}
		delete(host.groups, groupID)
		host.deletedReplicas[groupID] = true
		host.pendingRecords = append(host.pendingRecords, durablelog.Record{Group: groupID, Kind: recordReplicaDeleted})
	})
}

// ChangeMembership proposes a new membership, which may differ by one voter, in a group that this
// node leads, and reports whether the proposal was accepted. It does not wait for the commit,
// which [Host.Status] shows.
func (host *Host) ChangeMembership(groupID uint32, next raft.Membership) bool {
	index := uint64(0)
	host.runOnLoop(func() {
		if host.groups[groupID] != nil {
			index = host.step(groupID, raft.Input{Kind: raft.InputChangeMembership, Membership: next}).ProposedIndex
		}
	})
	return index != 0
}
