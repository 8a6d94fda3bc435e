package raft

// Output is what the driver must do after a step. It restores Snapshot and applies
// CommittedEntries first, then stores Write, sends Messages and passes on ReadResults.
type Output struct {
	// Messages may be sent at once: all that they promise is durable.
	Messages []Message
	// Write, if not nil, must become durable, after all earlier writes. The driver then
	// gives [InputSynced] with its number.
	Write *Write
	// Snapshot, if not nil, is a snapshot of the leader that now stands for the log up to
	// its index. [Settings.InstallSnapshot] has restored the state machine from it.
	Snapshot *Snapshot
	// CommittedEntries are to be applied, in this order. They may be applied before they
	// are durable here, since a quorum has them.
	CommittedEntries []Entry
	ReadResults      []ReadResult
	// ProposedIndex is the index of the proposed entry, or 0 if the proposal was rejected.
	ProposedIndex uint64
	// ProposedTerm is the term of the proposed entry. If another term's entry commits at
	// ProposedIndex, the proposal is lost.
	ProposedTerm uint64
	// SnapshotRejected is set when a peer's snapshot, or a chunk of one, was rejected.
	SnapshotRejected *SnapshotError
}

// ReadResult answers an [InputReadIndex].
type ReadResult struct {
	// Context is that of the input.
	Context uint64
	// Index is the read index: the read may be served once this entry is applied.
	Index uint64
	// Rejected says that this replica does not lead, or not yet or no longer for certain.
	Rejected bool
}

// Write is what must be durable before the messages that depend on it are sent.
type Write struct {
	// Number counts the writes of this core from 1 on.
	Number    uint64
	HardState HardState
	// Entries replace every stored entry from Entries[0].Index on.
	Entries []Entry
	// Snapshot, if not nil, replaces the stored snapshot and the entries that it covers.
	// Without Entries it replaces all stored entries.
	Snapshot *Snapshot
}
