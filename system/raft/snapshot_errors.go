package raft

import "fmt"

// SnapshotRejection is the reason why a snapshot or snapshot chunk was rejected. The values are
// part of the wire format.
type SnapshotRejection uint16

const (
	// SnapshotAccepted is the zero value: nothing was rejected.
	SnapshotAccepted SnapshotRejection = iota
	// SnapshotUnreadable means that the state machine cannot decode the content.
	SnapshotUnreadable
	// SnapshotDamaged means that a checksum or a length does not match.
	SnapshotDamaged
	// SnapshotOutOfOrder means that the chunk does not follow the bytes received so far.
	SnapshotOutOfOrder
	// SnapshotStaleTerm means that the sender is the leader of an earlier term.
	SnapshotStaleTerm
	// SnapshotWrongGroup means that the chunk belongs to another group.
	SnapshotWrongGroup
	// SnapshotTooLarge means that the snapshot exceeds the size limit of the receiver.
	SnapshotTooLarge
	// SnapshotSuperseded means that a later snapshot of the same leader is being received.
	SnapshotSuperseded
)

var rejectionNames = map[SnapshotRejection]string{
	SnapshotAccepted: "accepted", SnapshotUnreadable: "unreadable", SnapshotDamaged: "damaged",
	SnapshotOutOfOrder: "out of order", SnapshotStaleTerm: "of an earlier term",
	SnapshotWrongGroup: "of another group", SnapshotTooLarge: "too large",
	SnapshotSuperseded: "superseded",
}

// String returns the reason as text, for example "out of order".
func (rejection SnapshotRejection) String() string {
	if name, known := rejectionNames[rejection]; known {
		return name
	}
	return fmt.Sprintf("unknown reason %d", uint16(rejection))
}

// SnapshotError reports a rejected snapshot or snapshot chunk. The rejection leaves the log and
// the state machine unchanged, and the sender retransmits the missing data. Drivers should log
// it: only SnapshotOutOfOrder and SnapshotSuperseded occur in normal operation.
type SnapshotError struct {
	// From is the name of the sender.
	From string
	// Index is the index of the snapshot.
	Index uint64
	// Offset is the position of the chunk's first byte, or 0 if the snapshot was sent complete.
	Offset uint64
	Reason SnapshotRejection
	// Cause is the state machine's error if Reason is SnapshotUnreadable, or nil.
	Cause error
}

// Error implements the error interface.
func (err *SnapshotError) Error() string {
	text := fmt.Sprintf("snapshot at index %d, byte offset %d, from %s rejected: %s", err.Index, err.Offset, err.From, err.Reason)
	if err.Cause != nil {
		text += ": " + err.Cause.Error()
	}
	return text
}

// Unwrap returns Cause.
func (err *SnapshotError) Unwrap() error { return err.Cause }
