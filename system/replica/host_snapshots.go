package replica

import (
	"github.com/apex/log"

	"yardrock.example/system/raft"
)

const (
	// minSnapshotLogBytes is the size of entries that a group may apply before it takes a
	// snapshot even if its last snapshot is smaller, unless memory is limited.
	minSnapshotLogBytes = 1 << 20
	// minLogDivisor limits the cost of snapshots: the number of entries triggers one only if
	// their size is at least this fraction (1/minLogDivisor) of the last snapshot, so that the
	// bytes written for snapshots stay proportional to the bytes proposed.
	minLogDivisor = 4
	// transferGrowthFactor raises the limits of a group while its snapshot is being sent, since
	// a new snapshot makes the receiver start over.
	transferGrowthFactor = 4
	// entryOverheadBytes is the approximate memory overhead of an entry, in addition to its data.
	entryOverheadBytes = 64
)

// snapshotDue reports whether a group has applied enough since its last snapshot to take
// another: as many bytes as the last snapshot has, or SnapshotEntries entries, whichever comes
// first.
func (host *Host) snapshotDue(group *raftGroup) bool {
	entries, bytes := group.core.EntriesSinceSnapshot(), uint64(group.bytesSinceSnapshot)
	maxEntries, minBytes := host.settings.SnapshotEntries, uint64(group.snapshotBytes/minLogDivisor)
	maxBytes := uint64(max(host.settings.groupLogBytes(len(host.groups)), group.snapshotBytes))
	if group.core.SendingSnapshot() {
		maxEntries, maxBytes, minBytes = transferGrowthFactor*maxEntries, transferGrowthFactor*maxBytes, transferGrowthFactor*minBytes
	}
	return bytes >= maxBytes || entries >= maxEntries && bytes >= minBytes
}

// maybeSnapshot takes a snapshot of a group if one is due. It is encoded on a goroutine of its
// own, which ends with the encoding or with the host. Only one group takes a snapshot at a time,
// because encoding needs several times the memory of the snapshot and groups under the same
// load become due together. Other groups retry at their next step, at the next tick at the
// latest.
func (host *Host) maybeSnapshot(groupID uint32, group *raftGroup) {
	if host.encodingSnapshot || !host.snapshotDue(group) {
		return
	}
	host.encodingSnapshot = true
	index, encode := group.core.AppliedIndex(), group.stateMachine.Snapshot()
	includedBytes := group.bytesSinceSnapshot
	go func() {
		data := encode()
		host.runOnLoop(func() {
			host.encodingSnapshot = false
			// In the meantime the replica may have been deleted or have installed a later snapshot.
			if host.groups[groupID] != group || !group.core.CanCompact(index) {
				return
			}
			group.snapshotBytes, group.bytesSinceSnapshot = len(data), group.bytesSinceSnapshot-includedBytes
			host.step(groupID, raft.Input{Kind: raft.InputCompact, Index: index, Data: data})
		})
	}()
}

// logSnapshotRejection logs why a snapshot from a leader was rejected. Out-of-order chunks and
// superseded snapshots occur in normal operation: the sender resumes at the offset that this
// replica has reached, or is already sending a later snapshot.
func (host *Host) logSnapshotRejection(groupID uint32, rejected *raft.SnapshotError) {
	entry := log.WithFields(log.Fields{"node": host.name, "group": groupID, "reason": rejected.Reason.String(), "error": rejected.Error()})
	if rejected.Reason == raft.SnapshotOutOfOrder || rejected.Reason == raft.SnapshotSuperseded {
		entry.Info("snapshot chunk rejected")
		return
	}
	entry.Error("snapshot rejected")
}
