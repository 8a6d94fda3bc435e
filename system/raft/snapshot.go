package raft

import "slices"

// Snapshot is a state machine's whole content as of Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership Membership
	Data       []byte
}

// EntriesSinceSnapshot counts the applied entries that the log still carries.
//
//	if core.EntriesSinceSnapshot() >= 2048 {
//		core.Step(agreement.Input{Kind: agreement.InputCompact, Index: core.Applied(), Data: image})
//	}
func (core *Core) EntriesSinceSnapshot() uint64 { return core.lastApplied - core.snapshot.Index }

// CanCompact tells whether the log still carries the applied entry of that index, so that a
// snapshot of it may replace the log up to there.
//
//	if core.CanCompact(index) {
//		core.Step(agreement.Input{Kind: agreement.InputCompact, Index: index, Data: image})
//	}
func (core *Core) CanCompact(index uint64) bool {
	return index > core.snapshot.Index && index <= core.lastApplied
}

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

// handleSnapshot takes a whole snapshot in one message.
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

func (core *Core) installSnapshot(snapshot Snapshot) error {
	if core.settings.InstallSnapshot == nil {
		return nil
	}
	return core.settings.InstallSnapshot(snapshot)
}

// restoreSnapshot makes a snapshot that the state machine holds the replica's own. Entries
// after it stay only if the log agrees with it.
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

// markSnapshotChanged has the next write contain the snapshot and all entries after it: a
// stored snapshot without entries replaces the whole stored log.
func (core *Core) markSnapshotChanged() {
	core.snapshotChanged = true
	if len(core.entries) > 0 {
		core.markUnwritten(core.snapshot.Index + 1)
	}
}
