package raft

// Output lists the actions that the driver must perform after a step, in this order: restore
// Snapshot, apply CommittedEntries, store Write, send Messages and deliver ReadResults.
type Output struct {
	// Messages can be sent immediately: the state that they depend on is durable.
	Messages []Message
	// Write, if not nil, must be made durable after all earlier writes. The driver then
	// passes [InputSynced] with its number.
	Write *Write
	// Snapshot, if not nil, is a leader's snapshot that has replaced the log up to its index.
	// [Settings.InstallSnapshot], if set, has already restored the state machine from it.
	Snapshot *Snapshot
	// CommittedEntries are to be applied in this order. They may be applied before they are
	// durable on this replica, since a quorum has stored them.
	CommittedEntries []Entry
	ReadResults      []ReadResult
	// ProposedIndex is the index of the proposed entry, or 0 if the proposal was rejected.
	ProposedIndex uint64
	// ProposedTerm is the term of the proposed entry. If another term's entry commits at
	// ProposedIndex, the proposal is lost.
	ProposedTerm uint64
	// SnapshotRejected is set if a snapshot or snapshot chunk from a peer was rejected.
	SnapshotRejected *SnapshotError
}

// ReadResult answers an [InputReadIndex].
type ReadResult struct {
	// Context is the Context of the input.
	Context uint64
	// Index is the read index: the read can be served once this entry has been applied.
	Index uint64
	// Rejected is set if this replica is not the leader, has not committed an entry in its
	// term, or stepped down before it could confirm its leadership.
	Rejected bool
}

// Write is a batch of changes to the persistent state. It must be durable before the messages
// that depend on it are sent.
type Write struct {
	// Number is the sequence number of the write, starting at 1 for each [Core].
	Number    uint64
	HardState HardState
	// Entries replace all stored entries from Entries[0].Index on.
	Entries []Entry
	// Snapshot, if not nil, replaces the stored snapshot and the entries that it covers.
	// Without Entries it replaces all stored entries.
	Snapshot *Snapshot
}
