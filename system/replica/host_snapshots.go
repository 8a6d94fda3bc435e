package replica

import (
	"github.com/apex/log"

	"yardrock.example/system/raft"
)

const (
	// minSnapshotLogBytes is how many bytes of entries a group always may apply before it
	// takes a snapshot, however small that is, if there is memory for it.
	minSnapshotLogBytes = 1 << 20
	// minLogDivisor limits what snapshots cost: the count of entries leads to one only if
	// their bytes are this part of the last snapshot's, so that the bytes written for
	// snapshots stay in proportion to those that were proposed.
	minLogDivisor = 4
	// transferGrowthFactor is how many times more a group may apply while its snapshot is being
	// sent, since a new one makes the receiver start over.
	transferGrowthFactor = 4
	// entryOverheadBytes is about what an entry takes beside its data.
	entryOverheadBytes = 64
)

// snapshotDue reports whether a group has applied so much since its last snapshot that it
// takes another: more bytes than the last one has, or more than SnapshotEntries entries,
// whichever comes first.
func (host *Host) snapshotDue(group *raftGroup) bool {
	entries, bytes := group.core.EntriesSinceSnapshot(), uint64(group.bytesSinceSnapshot)
	limit, share := host.settings.SnapshotEntries, uint64(group.snapshotBytes/minLogDivisor)
	budget := uint64(max(host.settings.groupLogBytes(len(host.groups)), group.snapshotBytes))
	if group.core.SendingSnapshot() {
		limit, budget, share = transferGrowthFactor*limit, transferGrowthFactor*budget, transferGrowthFactor*share
	}
	return bytes >= budget || entries >= limit && bytes >= share
}

// maybeSnapshot takes a snapshot of a group if one is due. One group at a time does so: encoding
// takes several times the memory of the snapshot, and groups with the same load come due
// together. The others try again at their next step, a tick later at most. It is encoded on a goroutine of its
// own, which ends with the encoding or with the host.
func (host *Host) maybeSnapshot(groupID uint32, group *raftGroup) {
	if host.encoding || !host.snapshotDue(group) {
		return
	}
	host.encoding = true
	index, encode := group.core.Applied(), group.stateMachine.Snapshot()
	included := group.bytesSinceSnapshot
	go func() {
		data := encode()
		host.runOnLoop(func() {
			host.encoding = false
			// Meanwhile the group may have been removed, or have received a later snapshot.
			if host.groups[groupID] != group || !group.core.CanCompact(index) {
				return
			}
			group.snapshotBytes, group.bytesSinceSnapshot = len(data), group.bytesSinceSnapshot-included
			host.step(groupID, raft.Input{Kind: raft.InputCompact, Index: index, Data: data})
		})
	}()
}

// logSnapshotRejection logs why a leader's snapshot was rejected. Chunks out of order are
// usual: the sender continues where this replica is.
func (host *Host) logSnapshotRejection(groupID uint32, rejected *raft.SnapshotError) {
	entry := log.WithFields(log.Fields{"node": host.name, "group": groupID, "reason": rejected.Reason.String(), "error": rejected.Error()})
	if rejected.Reason == raft.SnapshotOutOfOrder || rejected.Reason == raft.SnapshotSuperseded {
		entry.Info("a snapshot chunk was rejected")
		return
	}
	entry.Error("a snapshot was rejected")
}
