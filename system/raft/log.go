package raft

import "slices"

// lastIndex returns the index of the last entry, or of the snapshot if the log is empty.
func (core *Core) lastIndex() uint64 { return core.snapshot.Index + uint64(len(core.entries)) }

// termAt returns the term of the entry at index, or 0 if it is compacted or not in the log.
func (core *Core) termAt(index uint64) uint64 {
	if index == core.snapshot.Index {
		return core.snapshot.Term
	}
	if index < core.snapshot.Index || index > core.lastIndex() {
		return 0
	}
	return core.entries[index-core.snapshot.Index-1].Term
}

// entriesFrom returns the entries from index on. The result shares memory with the log. It is
// nil if the entry at index is compacted or does not exist yet.
func (core *Core) entriesFrom(index uint64) []Entry {
	if index <= core.snapshot.Index || index > core.lastIndex() {
		return nil
	}
	return core.entries[index-core.snapshot.Index-1:]
}

// propose appends an entry on the leader and sends it to the peers. Proposals are rejected during
// a leadership transfer, so that the target can catch up (thesis 3.10).
func (core *Core) propose(entry Entry) {
	if core.role != roleLeader || core.transferTarget != "" {
		return
	}
	core.output.ProposedIndex = core.appendEntry(entry)
	core.output.ProposedTerm = core.hardState.Term
	core.broadcast(false)
}

// appendEntry appends an entry in the current term and returns its index.
func (core *Core) appendEntry(entry Entry) uint64 {
	entry.Index = core.lastIndex() + 1
	entry.Term = core.hardState.Term
	core.entries = append(core.entries, entry)
	core.markUnwritten(entry.Index)
	return entry.Index
}

// truncate removes the entries from an index on, which conflict with the leader's. It copies the
// remaining entries, since earlier outputs may share memory with the log.
func (core *Core) truncate(from uint64) {
	if from > core.lastIndex() {
		return
	}
	core.entries = slices.Clone(core.entries[:from-core.snapshot.Index-1])
	core.stableIndex = min(core.stableIndex, from-1)
}

// markUnwritten includes the entries from an index on in the next write.
func (core *Core) markUnwritten(from uint64) {
	if core.firstUnwritten == 0 || from < core.firstUnwritten {
		core.firstUnwritten = from
	}
}

// commitTo advances the commit index and adds the committed entries to the output.
func (core *Core) commitTo(index uint64) {
	if index <= core.commitIndex {
		return
	}
	core.commitIndex = index
	if core.incoming != nil && index >= core.incoming.snapshot.Index {
		core.incoming = nil // the log already covers the snapshot
	}
	ready := core.entriesFrom(core.lastApplied + 1)
	ready = ready[:index-core.lastApplied]
	core.output.CommittedEntries = append(core.output.CommittedEntries, ready...)
	core.lastApplied = index
}
