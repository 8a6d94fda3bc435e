package raft

import (
	"fmt"
	"slices"
)

// HardState is the persistent state other than the log and the snapshot (paper, figure 2). A
// replica that loses it could vote twice in a term.
type HardState struct {
	// Term is the latest term that the replica has seen.
	Term uint64
	// VotedFor is the candidate that received this replica's vote in Term, or "".
	VotedFor string
}

// PersistentState is the state that a replica restores after a restart. The zero value is the
// state of a replica that waits to be added to a group.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries is the log after the snapshot, without gaps.
	Entries []Entry
}

// With returns the state with a write applied. The receiver's Entries must not be used
// afterwards, since they may share memory with the result.
func (stored PersistentState) With(write *Write) PersistentState {
	stored.HardState = write.HardState
	if write.Snapshot != nil {
		stored.Snapshot = *write.Snapshot
		stored.Entries = slices.DeleteFunc(stored.Entries, func(entry Entry) bool {
			return entry.Index <= write.Snapshot.Index || len(write.Entries) == 0
		})
	}
	if len(write.Entries) > 0 {
		first := write.Entries[0].Index
		position, _ := slices.BinarySearchFunc(stored.Entries, first, func(entry Entry, index uint64) int { return int(entry.Index) - int(index) })
		stored.Entries = append(stored.Entries[:position], write.Entries...)
	}
	return stored
}

// Check returns an error if no replica could have stored this state. The log must follow the
// snapshot without gaps, and its terms must neither decrease nor exceed the current term.
func (stored PersistentState) Check() error {
	index, term := stored.Snapshot.Index, stored.Snapshot.Term
	for _, entry := range stored.Entries {
		if entry.Index != index+1 {
			return fmt.Errorf("stored log is not contiguous: entry %d follows entry %d", entry.Index, index)
		}
		if entry.Term < term {
			return fmt.Errorf("stored log has decreasing terms: term %d at entry %d follows term %d", entry.Term, entry.Index, term)
		}
		index, term = entry.Index, entry.Term
	}
	if term > stored.HardState.Term {
		return fmt.Errorf("stored log has an entry of term %d, which exceeds the stored current term %d", term, stored.HardState.Term)
	}
	return nil
}

// PersistentState returns the complete persistent state of this replica, including the changes
// in writes that are not synced yet.
func (core *Core) PersistentState() PersistentState {
	return PersistentState{HardState: core.hardState, Snapshot: core.snapshot, Entries: slices.Clone(core.entries)}
}
