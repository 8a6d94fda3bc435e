package raft

import (
	"fmt"
	"slices"
)

// HardState is the part of the persistent state that is not the log (paper, figure 2). A
// replica that forgot it could vote twice in a term.
type HardState struct {
	// Term is the latest term that the replica has seen.
	Term uint64
	// VotedFor is who got this replica's vote in Term; "" means nobody.
	VotedFor string
}

// PersistentState is all that a replica must find again after a restart. The zero value is
// that of a replica that waits to be added to a group.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// With returns the state with a write applied. The receiver's entries must not be used
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
		at, _ := slices.BinarySearchFunc(stored.Entries, first, func(entry Entry, index uint64) int { return int(entry.Index) - int(index) })
		stored.Entries = append(stored.Entries[:at], write.Entries...)
	}
	return stored
}

// Check returns an error unless the state can be one that a replica stored: the log follows
// the snapshot without gaps, and its terms neither decrease nor exceed the current term.
func (stored PersistentState) Check() error {
	index, term := stored.Snapshot.Index, stored.Snapshot.Term
	for _, entry := range stored.Entries {
		if entry.Index != index+1 {
			return fmt.Errorf("the stored log has entry %d after %d", entry.Index, index)
		}
		if entry.Term < term {
			return fmt.Errorf("the stored log has term %d at %d after term %d", entry.Term, entry.Index, term)
		}
		index, term = entry.Index, entry.Term
	}
	if term > stored.HardState.Term {
		return fmt.Errorf("the stored log has term %d, later than the stored term %d", term, stored.HardState.Term)
	}
	return nil
}

// PersistentState returns the state that a full copy of this replica must hold. It includes
// what was handed out in writes that are not synced yet.
func (core *Core) PersistentState() PersistentState {
	return PersistentState{HardState: core.hardState, Snapshot: core.snapshot, Entries: slices.Clone(core.entries)}
}
