package raft

import "fmt"

// SnapshotRejection says why a snapshot, or a chunk of one, was rejected. The values are sent.
type SnapshotRejection uint16

const (
	// SnapshotAccepted is the zero value: nothing was rejected.
	SnapshotAccepted SnapshotRejection = iota
	// SnapshotUnreadable says that the state machine cannot read the content.
	SnapshotUnreadable
	// SnapshotDamaged says that a checksum or a length does not match.
	SnapshotDamaged
	// SnapshotOutOfOrder says that the chunk does not continue what was received.
	SnapshotOutOfOrder
	// SnapshotStaleTerm says that the sender leads an earlier term.
	SnapshotStaleTerm
	// SnapshotWrongGroup says that the chunk belongs to another group.
	SnapshotWrongGroup
	// SnapshotTooLarge says that the snapshot is larger than a replica receives.
	SnapshotTooLarge
	// SnapshotSuperseded says that a later snapshot of the same leader is being received.
	SnapshotSuperseded
)

var rejectionNames = map[SnapshotRejection]string{
	SnapshotAccepted: "accepted", SnapshotUnreadable: "unreadable", SnapshotDamaged: "damaged",
	SnapshotOutOfOrder: "out of order", SnapshotStaleTerm: "of an earlier term",
	SnapshotWrongGroup: "of another group", SnapshotTooLarge: "too large",
	SnapshotSuperseded: "superseded",
}

// String returns the reason in words, as "out of order".
func (rejection SnapshotRejection) String() string {
	if name, known := rejectionNames[rejection]; known {
		return name
	}
	return fmt.Sprintf("rejection %d", uint16(rejection))
}

// SnapshotError reports a snapshot, or a chunk of one, that was rejected. The replica is
// unchanged by it, and the sender sends again what is missing. A driver should log it: of the
// reasons only SnapshotOutOfOrder and SnapshotSuperseded are usual.
type SnapshotError struct {
	// From is the sender.
	From string
	// Index is that of the snapshot.
	Index uint64
	// Offset is the first byte of the chunk; 0 if the snapshot was not sent in chunks.
	Offset uint64
	Reason SnapshotRejection
	// Cause is the state machine's error if Reason is SnapshotUnreadable, else nil.
	Cause error
}

// Error says what was rejected, and why.
func (err *SnapshotError) Error() string {
	text := fmt.Sprintf("snapshot %d at byte %d from %s rejected: %s", err.Index, err.Offset, err.From, err.Reason)
	if err.Cause != nil {
		text += ": " + err.Cause.Error()
	}
	return text
}

// Unwrap returns the state machine's error, if there is one.
func (err *SnapshotError) Unwrap() error { return err.Cause }
