package wire

import (
	"yardrock.example/system/raft"
)

// RaftBatch carries Raft messages of many groups, all from one node to one other node.
type RaftBatch struct{ Messages []raft.Message }

// StoredWrite is the record of one write of the Raft core in the durable log: the hard state;
// entries, which replace all stored ones from the index of the first on; and, if HasSnapshot is
// set, a snapshot, which replaces the log up to its index.
type StoredWrite struct {
	HardState   raft.HardState
	Entries     []raft.Entry
	HasSnapshot bool
	Snapshot    raft.Snapshot
	// SnapshotDataSeparate marks a snapshot whose data is in a separate file.
	SnapshotDataSeparate bool
}
