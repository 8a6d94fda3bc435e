package raft

import (
	"fmt"
	"slices"
)

// HardState is what a replica must never forget.
type HardState struct {
	Term     uint64
	VotedFor string
}

// PersistentState is what a replica finds on its disk.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// With folds a write into what the disk holds. The receiver's entries must not be
// used afterwards: the usual write only adds to them.
//
//	stored = stored.With(output.Write)
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

// Check tells whether what the disk holds can be a replica's state: a log without gaps
// that begins where the snapshot ends, whose terms never fall nor pass the current one.
//
//	if err := stored.Check(); err != nil { return err }
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

// PersistentState is everything that a disk slot must hold for this replica.
//
//	stored := core.PersistentState()
func (core *Core) PersistentState() PersistentState {
	return PersistentState{HardState: core.hardState, Snapshot: core.snapshot, Entries: slices.Clone(core.entries)}
}
