package raft

import "slices"

func (core *Core) lastIndex() uint64 { return core.snapshot.Index + uint64(len(core.entries)) }

func (core *Core) termAt(index uint64) uint64 {
	if index == core.snapshot.Index {
		return core.snapshot.Term
	}
	if index < core.snapshot.Index || index > core.lastIndex() {
		return 0
	}
	return core.entries[index-core.snapshot.Index-1].Term
}

func (core *Core) entriesFrom(index uint64) []Entry {
	if index <= core.snapshot.Index || index > core.lastIndex() {
		return nil
	}
	return core.entries[index-core.snapshot.Index-1:]
}

func (core *Core) propose(entry Entry) {
	if core.role != roleLeader || core.transferTarget != "" {
		return
	}
	core.output.ProposedIndex = core.appendEntry(entry)
	core.output.ProposedTerm = core.hardState.Term
	core.broadcast(false)
}

func (core *Core) appendEntry(entry Entry) uint64 {
	entry.Index = core.lastIndex() + 1
	entry.Term = core.hardState.Term
	core.entries = append(core.entries, entry)
	core.markUnwritten(entry.Index)
	return entry.Index
}

func (core *Core) truncate(from uint64) {
	if from > core.lastIndex() {
		return
	}
	core.entries = slices.Clone(core.entries[:from-core.snapshot.Index-1])
	core.stableIndex = min(core.stableIndex, from-1)
}

func (core *Core) markUnwritten(from uint64) {
	if core.firstUnwritten == 0 || from < core.firstUnwritten {
		core.firstUnwritten = from
	}
}

func (core *Core) commitTo(index uint64) {
	if index <= core.commitIndex {
		return
	}
	core.commitIndex = index
	if core.incoming != nil && index >= core.incoming.snapshot.Index {
		core.incoming = nil
	}
	ready := core.entriesFrom(core.lastApplied + 1)
	ready = ready[:index-core.lastApplied]
	core.output.CommittedEntries = append(core.output.CommittedEntries, ready...)
	core.lastApplied = index
}
