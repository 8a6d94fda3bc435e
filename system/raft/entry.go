package raft

// EntryKind tells what a log entry carries.
type EntryKind uint16

const (
	// EntryCommand carries an opaque command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoOp is what a new leader appends so that it may commit.
	EntryNoOp
	// EntryMembership changes the replica set by one member.
	EntryMembership
)

// Entry is one slot of the replicated log.
type Entry struct {
	Index      uint64
	Term       uint64
	Kind       EntryKind
	Data       []byte
	Membership Membership
}
