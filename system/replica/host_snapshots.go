package replica

import (
	"github.com/apex/log"

	"yardrock.example/system/raft"
)

const (
	// minLogDivisor: a count of entries leads to a checkpoint only once the log since the
	// last is a fourth of its size, so that what is written for checkpoints stays in
	// proportion to what happens.
	minLogDivisor = 4
	// minSnapshotLogBytes is up to how many bytes the log may grow however small the snapshot is.
	minSnapshotLogBytes = 1 << 20
	// transferGrowthFactor is how many times more the log may grow while the snapshot is being
	// sent, as a new one has the receiver begin anew.
	transferGrowthFactor = 4
	// entryOverheadBytes is what an entry takes beside its data.
	entryOverheadBytes = 64
)

// snapshotDue tells whether the log since the last snapshot has grown so far that a new
// one is made: past its budget of bytes, which is the snapshot's own size, or the count of
// entries, whichever comes first.
func (host *Host) snapshotDue(group *raftGroup) bool {
	entries, bytes := group.core.EntriesSinceSnapshot(), uint64(group.bytesSinceSnapshot)
	most, budget, share := host.settings.SnapshotEntries, uint64(max(minSnapshotLogBytes, group.snapshotBytes)), uint64(group.snapshotBytes/minLogDivisor)
	if group.core.SendingSnapshot() {
		most, budget, share = transferGrowthFactor*most, transferGrowthFactor*budget, transferGrowthFactor*share
	}
	return bytes >= budget || entries >= most && bytes >= share
}

// maybeSnapshot lets a group's content be encoded, off the loop, once enough has happened.
func (host *Host) maybeSnapshot(groupID uint32, group *raftGroup) {
	if group.snapshotting || !host.snapshotDue(group) {
		return
	}
	group.snapshotting = true
	index, encode := group.core.Applied(), group.stateMachine.Snapshot()
	logged := group.bytesSinceSnapshot
	go func() {
		data := encode()
		host.runOnLoop(func() {
			group.snapshotting = false
			if host.groups[groupID] != group || !group.core.CanCompact(index) {
				return
			}
			group.snapshotBytes, group.bytesSinceSnapshot = len(data), group.bytesSinceSnapshot-logged
			host.step(groupID, raft.Input{Kind: raft.InputCompact, Index: index, Data: data})
		})
	}()
}

func (host *Host) logSnapshotRejection(groupID uint32, refused *raft.SnapshotError) {
	entry := log.WithFields(log.Fields{"node": host.name, "group": groupID, "reason": refused.Reason.String(), "error": refused.Error()})
	if refused.Reason == raft.SnapshotOutOfOrder || refused.Reason == raft.SnapshotSuperseded {
		entry.Info("snapshot_chunk_refused") // the sender goes on where this replica is
		return
	}
	entry.Error("snapshot_refused")
}
