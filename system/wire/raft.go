package wire

import (
	"yardrock.example/system/raft"
)

// RaftBatch carries messages of many groups, all of one node to one other.
type RaftBatch struct{ Messages []raft.Message }

// StoredWrite is an agreement write as the disk keeps it.
type StoredWrite struct {
	HardState   raft.HardState
	Entries     []raft.Entry
	HasSnapshot bool
	Snapshot    raft.Snapshot
	// SnapshotDataSeparate tells that the checkpoint's content is stored beside this.
	SnapshotDataSeparate bool
}
