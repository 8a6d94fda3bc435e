package raft

// Output is what the shell must do after a step, in this order: apply Restore
// and Committed, store Write, send Messages, answer Reads.
type Output struct {
	Messages         []Message
	Write            *Write
	Snapshot         *Snapshot
	CommittedEntries []Entry
	ReadResults      []ReadResult
	// ProposedIndex is where a proposal was put; 0 means it was refused.
	ProposedIndex uint64
	// ProposedTerm is the term of ProposedIndex.
	ProposedTerm uint64
	// SnapshotRejected is set when a peer's snapshot was not taken.
	SnapshotRejected *SnapshotError
}

// ReadResult tells that a read may be served once Index is applied, or that
// this replica cannot say.
type ReadResult struct {
	Context  uint64
	Index    uint64
	Rejected bool
}

// Write is what must be synced before the messages held back behind it leave.
// Entries replace every stored entry from Entries[0].Index on.
type Write struct {
	Number    uint64
	HardState HardState
	Entries   []Entry
	Snapshot  *Snapshot
}
