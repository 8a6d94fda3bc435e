package replica

import (
	"github.com/apex/log"

	"yardrock.example/system/durablelog"
	"yardrock.example/system/raft"
	"yardrock.example/system/wire"
)

// Bootstrap starts a group with its founding voters and the content of its first snapshot,
// which may be empty. Every founding voter must be given the same. It has no effect if the
// group is here, or was removed from here.
func (host *Host) Bootstrap(groupID uint32, voters []string, content []byte) {
	host.runOnLoop(func() {
		if host.groups[groupID] != nil || host.removed[groupID] {
			return
		}
		snapshot := raft.Snapshot{Index: 1, Term: 1, Membership: raft.Membership{Voters: voters}, Data: content}
		stored := raft.PersistentState{HardState: raft.HardState{Term: 1}, Snapshot: snapshot}
		if err := host.addGroup(groupID, stored); err != nil {
			log.WithFields(log.Fields{"node": host.name, "group": groupID, "error": err.Error()}).Error("bootstrapping a group failed")
			return
		}
		host.pendingRecords = append(host.pendingRecords, encodeWrite(groupID, wire.StoredWrite{HardState: stored.HardState, HasSnapshot: true, Snapshot: snapshot})...)
	})
}

// Remove discards a group that has moved away. The caller must know that this replica is no
// member of the group any more. A leader may add it again.
func (host *Host) Remove(groupID uint32) {
	host.runOnLoop(func() {
		if host.groups[groupID] == nil {
			return
		}
		delete(host.groups, groupID)
		host.removed[groupID] = true
		host.pendingRecords = append(host.pendingRecords, durablelog.Record{Group: groupID, Kind: recordGroupRemoved})
	})
}

// ChangeMembership asks a group that is led here for another membership, which may differ by
// one voter, and reports whether the leader accepted it. It does not wait for the commit,
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
