package wire

import (
	"yardrock.example/system/raft"
)

// RaftBatch carries Raft messages of many groups, all of one node to one other.
type RaftBatch struct{ Messages []raft.Message }

// StoredWrite is what one write of the Raft core puts into the durable log: the hard state,
// entries, which replace all stored ones from the first one's index on, and, if HasSnapshot,
// a snapshot that takes the place of the log up to its index.
type StoredWrite struct {
	HardState   raft.HardState
	Entries     []raft.Entry
	HasSnapshot bool
	Snapshot    raft.Snapshot
	// SnapshotDataSeparate marks a snapshot whose data is in a file of its own.
	SnapshotDataSeparate bool
}
