package raft

import "slices"

// Snapshot is the state machine's content as of a log index. It replaces the log up to that index
// (paper 7).
type Snapshot struct {
	// Index and Term identify the last entry that the content includes.
	Index uint64
	Term  uint64
	// Membership is the latest membership as of Index.
	Membership Membership
	// Data is the content, in the state machine's own encoding.
	Data []byte
}

// EntriesSinceSnapshot returns the number of applied entries that are not yet compacted.
func (core *Core) EntriesSinceSnapshot() uint64 { return core.lastApplied - core.snapshot.Index }

// CanCompact reports whether a snapshot at index can replace the log up to there: the entry has
// been applied, and no snapshot covers it yet. Otherwise [InputCompact] has no effect.
func (core *Core) CanCompact(index uint64) bool {
	return index > core.snapshot.Index && index <= core.lastApplied
}

// compact replaces the log up to an index with a snapshot taken by the driver.
func (core *Core) compact(index uint64, data []byte) {
	if !core.CanCompact(index) {
		return
	}
	snapshot := Snapshot{Index: index, Term: core.termAt(index), Membership: core.snapshot.Membership, Data: data}
	for _, entry := range core.entries[:index-core.snapshot.Index] {
		if entry.Kind == EntryMembership {
			snapshot.Membership = entry.Membership
		}
	}
	core.entries = slices.Clone(core.entriesFrom(index + 1))
	core.snapshot = snapshot
	core.stableIndex = max(core.stableIndex, index)
	core.markSnapshotChanged()
}

// handleSnapshot handles a complete snapshot in one message, as earlier versions send it.
func (core *Core) handleSnapshot(message Message) {
	core.followLeader(message.From)
	reply := Message{Kind: MessageAppendReply, To: message.From, Term: core.hardState.Term, Round: message.Round}
	snapshot := message.Snapshot
	if snapshot.Index <= core.commitIndex {
		reply.Index = core.commitIndex
		core.send(reply)
		return
	}
	if err := core.installSnapshot(snapshot); err != nil {
		core.output.SnapshotRejected = &SnapshotError{From: message.From, Index: snapshot.Index, Reason: SnapshotUnreadable, Cause: err}
		reply.Rejected, reply.Hint = true, core.lastIndex()
		core.send(reply)
		return
	}
	core.restoreSnapshot(snapshot)
	reply.Index = snapshot.Index
	core.send(reply)
}

// installSnapshot restores the state machine from a snapshot, or leaves it unchanged and
// returns an error.
func (core *Core) installSnapshot(snapshot Snapshot) error {
	if core.settings.InstallSnapshot == nil {
		return nil
	}
	return core.settings.InstallSnapshot(snapshot)
}

// restoreSnapshot adopts a leader's snapshot after installSnapshot has succeeded. It retains the
// log entries that follow the snapshot only if the log has the snapshot's last entry (paper 7).
func (core *Core) restoreSnapshot(snapshot Snapshot) {
	if core.termAt(snapshot.Index) == snapshot.Term && snapshot.Index <= core.lastIndex() {
		core.entries = slices.Clone(core.entries[snapshot.Index-core.snapshot.Index:])
	} else {
		core.entries = nil
	}
	core.snapshot = snapshot
	core.commitIndex = snapshot.Index
	core.lastApplied = snapshot.Index
	core.stableIndex = max(min(core.stableIndex, core.lastIndex()), snapshot.Index)
	core.markSnapshotChanged()
	core.refreshMembership()
	core.output.Snapshot = &snapshot
}

// markSnapshotChanged includes the snapshot and all entries after it in the next write, since a
// written snapshot without entries replaces all stored entries.
func (core *Core) markSnapshotChanged() {
	core.snapshotChanged = true
	if len(core.entries) > 0 {
		core.markUnwritten(core.snapshot.Index + 1)
	}
}
