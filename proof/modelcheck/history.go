package modelcheck

import (
	"fmt"
	"slices"

	"yardrock.example/system/raft"
)

// history records the past events that the invariants refer to. Replicas have no access
// to it.
type history struct {
	initialMembership raft.Membership
	leaders           []leadership
	committed         []committedEntry // starting at initialIndex+1
	reads             []pendingRead    // not answered yet
	commands          uint64
	readsStarted      uint64
}

// leadership is the leader of a term.
type leadership struct {
	term uint64
	name string
}

// committedEntry is a committed entry and the term of the leader that committed it.
type committedEntry struct {
	entry raft.Entry
	term  uint64
}

// pendingRead is an unanswered read; committed is the highest index that was committed
// when it was requested.
type pendingRead struct {
	context   uint64
	committed uint64
}

func (h *history) setInitialMembership(membership raft.Membership) {
	h.initialMembership = membership
}

func (h *history) fork() history {
	copied := *h
	copied.leaders = slices.Clip(h.leaders)
	copied.committed = slices.Clip(h.committed)
	copied.reads = slices.Clone(h.reads)
	return copied
}

// lastCommitted returns the highest committed index.
func (h *history) lastCommitted() uint64 { return initialIndex + uint64(len(h.committed)) }

// committedAt returns the entry committed at an index, if any.
func (h *history) committedAt(index uint64) (committedEntry, bool) {
	if index <= initialIndex || index > h.lastCommitted() {
		return committedEntry{}, false
	}
	return h.committed[index-initialIndex-1], true
}

// termAt returns the term of the entry committed at an index.
func (h *history) termAt(index uint64) (uint64, bool) {
	if index == initialIndex {
		return initialTerm, true
	}
	committed, ok := h.committedAt(index)
	return committed.entry.Term, ok
}

// membershipAt returns the membership in effect at a committed index.
func (h *history) membershipAt(index uint64) raft.Membership {
	for ; index > initialIndex; index-- {
		committed, ok := h.committedAt(index)
		if ok && committed.entry.Kind == raft.EntryMembership {
			return committed.entry.Membership
		}
	}
	return h.initialMembership
}

func (h *history) leaderOf(term uint64) string {
	for _, l := range h.leaders {
		if l.term == term {
			return l.name
		}
	}
	return ""
}

// nextCommand returns unique command data of at least size bytes.
func (h *history) nextCommand(size int) []byte {
	h.commands++
	data := fmt.Appendf(nil, "command %d", h.commands)
	return append(data, make([]byte, max(0, size-len(data)))...)
}

// startRead records a read request and returns its context.
func (h *history) startRead() uint64 {
	h.readsStarted++
	h.reads = append(h.reads, pendingRead{context: h.readsStarted, committed: h.lastCommitted()})
	return h.readsStarted
}

// finishRead removes and returns the pending read with a context.
func (h *history) finishRead(context uint64) (pendingRead, bool) {
	i := slices.IndexFunc(h.reads, func(read pendingRead) bool { return read.context == context })
	if i < 0 {
		return pendingRead{}, false
	}
	found := h.reads[i]
	h.reads = slices.Delete(h.reads, i, i+1)
	return found, true
}

// Outcomes counts the actions of a run and their effects, so that a run without progress
// is not mistaken for one that exercised the core.
type Outcomes struct {
	Actions        [actionKindCount]uint64
	Elections      uint64
	Commits        uint64
	ConfirmedReads uint64
	Changes        uint64
	Restores       uint64
}

func (outcomes *Outcomes) add(other *Outcomes) {
	for kind, count := range other.Actions {
		outcomes.Actions[kind] += count
	}
	outcomes.Elections += other.Elections
	outcomes.Commits += other.Commits
	outcomes.ConfirmedReads += other.ConfirmedReads
	outcomes.Changes += other.Changes
	outcomes.Restores += other.Restores
}
