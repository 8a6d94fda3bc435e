package raft

// EntryKind is the type of a log entry. The values are part of the storage and wire formats.
type EntryKind uint16

const (
	// EntryCommand carries an opaque command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoOp is appended by each new leader, which can commit entries of earlier terms only
	// together with one of its own term (paper 5.4.2 and 8).
	EntryNoOp
	// EntryMembership carries the membership that applies from this entry on.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	// Index is the entry's position in the log. Indexes are contiguous.
	Index uint64
	// Term is the term of the leader that appended the entry.
	Term uint64
	Kind EntryKind
	// Data is the command; set only for EntryCommand.
	Data []byte
	// Membership is set only for EntryMembership.
	Membership Membership
}
