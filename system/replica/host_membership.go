package replica

import (
	"github.com/apex/log"

	"yardrock.example/system/durablelog"
	"yardrock.example/system/raft"
	"yardrock.example/system/wire"
)

// Bootstrap starts a group with its founding voters, unless it is here already or
// was moved away from here.
// Every founder must name the same voters and content.
//
//	host.Bootstrap(7, []string{"a", "b", "c"}, nil)
func (host *Host) Bootstrap(groupID uint32, voters []string, content []byte) {
	host.runOnLoop(func() {
		if host.groups[groupID] != nil || host.removed[groupID] {
			return
		}
		snapshot := raft.Snapshot{Index: 1, Term: 1, Membership: raft.Membership{Voters: voters}, Data: content}
		stored := raft.PersistentState{HardState: raft.HardState{Term: 1}, Snapshot: snapshot}
		if err := host.addGroup(groupID, stored); err != nil {
			log.WithFields(log.Fields{"node": host.name, "group": groupID, "error": err.Error()}).Error("founding_failed")
			return
		}
		host.pendingRecords = append(host.pendingRecords, encodeWrite(groupID, wire.StoredWrite{HardState: stored.HardState, HasSnapshot: true, Snapshot: snapshot})...)
	})
}

// Remove forgets a group that has moved away.
//
//	host.Remove(7)
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

// ChangeMembership asks a group that is led here for a one-member change.
//
//	changed := host.ChangeMembership(7, next)
func (host *Host) ChangeMembership(groupID uint32, next raft.Membership) bool {
	index := uint64(0)
	host.runOnLoop(func() {
		if host.groups[groupID] != nil {
			index = host.step(groupID, raft.Input{Kind: raft.InputChangeMembership, Membership: next}).ProposedIndex
		}
	})
	return index != 0
}
