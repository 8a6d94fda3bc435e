package modelcheck

import (
	"fmt"
	"slices"

	"yardrock.example/system/raft"
)

// history is what happened so far, as far as the invariants speak of it. No replica
// sees it.
type history struct {
	founding     raft.Membership
	leaders      []leadership
	committed    []commitment  // of the indices from foundingIndex+1 on
	reads        []pendingRead // that are not answered yet
	commands     uint64
	readsStarted uint64
}

// leadership tells who led in a term.
type leadership struct {
	term uint64
	name string
}

// commitment is an entry that is committed, and the term of the leader that counted it.
type commitment struct {
	entry raft.Entry
	term  uint64
}

// pendingRead is a read that was asked for while everything up to committed was committed.
type pendingRead struct {
	context   uint64
	committed uint64
}

func (history *history) found(replicas raft.Membership) { history.founding = replicas }

func (history *history) fork() history {
	copied := *history
	copied.leaders = slices.Clip(history.leaders)
	copied.committed = slices.Clip(history.committed)
	copied.reads = slices.Clone(history.reads)
	return copied
}

// highest is the highest committed index.
func (history *history) highest() uint64 { return foundingIndex + uint64(len(history.committed)) }

// committedAt returns the entry that is committed at an index, if one is.
func (history *history) committedAt(index uint64) (commitment, bool) {
	if index <= foundingIndex || index > history.highest() {
		return commitment{}, false
	}
	return history.committed[index-foundingIndex-1], true
}

// termAt returns the term of what is committed at an index.
func (history *history) termAt(index uint64) (uint64, bool) {
	if index == foundingIndex {
		return foundingTerm, true
	}
	found, known := history.committedAt(index)
	return found.entry.Term, known
}

// replicasAt returns the membership as of a committed index.
func (history *history) replicasAt(index uint64) raft.Membership {
	for ; index > foundingIndex; index-- {
		found, known := history.committedAt(index)
		if known && found.entry.Kind == raft.EntryMembership {
			return found.entry.Membership
		}
	}
	return history.founding
}

func (history *history) leader(term uint64) string {
	for _, known := range history.leaders {
		if known.term == term {
			return known.name
		}
	}
	return ""
}

// nextCommand returns data that no other command has, of at least a number of bytes.
func (history *history) nextCommand(size int) []byte {
	history.commands++
	data := fmt.Appendf(nil, "command %d", history.commands)
	return append(data, make([]byte, max(0, size-len(data)))...)
}

// startRead notes a read, and gives its context.
func (history *history) startRead() uint64 {
	history.readsStarted++
	history.reads = append(history.reads, pendingRead{context: history.readsStarted, committed: history.highest()})
	return history.readsStarted
}

// finishRead takes the read of a context off the list.
func (history *history) finishRead(context uint64) (pendingRead, bool) {
	at := slices.IndexFunc(history.reads, func(one pendingRead) bool { return one.context == context })
	if at < 0 {
		return pendingRead{}, false
	}
	found := history.reads[at]
	history.reads = slices.Delete(history.reads, at, at+1)
	return found, true
}

// Outcomes counts what the actions led to, so that a run in which nothing happened is
// not taken for one that held.
type Outcomes struct {
	Actions        [actionKinds]uint64
	Elections      uint64
	Commits        uint64
	ConfirmedReads uint64
	Changes        uint64
	Restores       uint64
}

func (outcomes *Outcomes) add(more *Outcomes) {
	for kind, count := range more.Actions {
		outcomes.Actions[kind] += count
	}
	outcomes.Elections += more.Elections
	outcomes.Commits += more.Commits
	outcomes.ConfirmedReads += more.ConfirmedReads
	outcomes.Changes += more.Changes
	outcomes.Restores += more.Restores
}
