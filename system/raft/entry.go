package raft

// EntryKind says what a log entry carries. The values are stored and sent.
type EntryKind uint16

const (
	// EntryCommand carries an opaque command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoOp is appended by each new leader, since only an entry of its own term lets it
	// commit those of earlier terms (paper 5.4.2 and 8).
	EntryNoOp
	// EntryMembership carries the membership of the group from this entry on.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	// Index is the entry's position in the log. Indices are contiguous.
	Index uint64
	// Term is the term of the leader that appended the entry.
	Term uint64
	Kind EntryKind
	// Data is the command of an EntryCommand.
	Data []byte
	// Membership is set in an EntryMembership.
	Membership Membership
}
