package raft

import "fmt"

// SnapshotRejection tells why a snapshot, or a part of one, was not taken.
type SnapshotRejection uint16

const (
	// SnapshotAccepted is the zero value: nothing was refused.
	SnapshotAccepted SnapshotRejection = iota
	// SnapshotUnreadable: the state machine cannot read the content.
	SnapshotUnreadable
	// SnapshotDamaged: a checksum does not match.
	SnapshotDamaged
	// SnapshotOutOfOrder: the chunk does not continue what is held.
	SnapshotOutOfOrder
	// SnapshotStaleTerm: the sender leads an older term.
	SnapshotStaleTerm
	// SnapshotWrongGroup: the chunk belongs to another group.
	SnapshotWrongGroup
	// SnapshotTooLarge: the snapshot is longer than a replica takes.
	SnapshotTooLarge
	// SnapshotSuperseded: a newer snapshot of the same leader is being received.
	SnapshotSuperseded
)

var rejectionNames = map[SnapshotRejection]string{
	SnapshotAccepted: "accepted", SnapshotUnreadable: "unreadable", SnapshotDamaged: "damaged",
	SnapshotOutOfOrder: "out of order", SnapshotStaleTerm: "of another term",
	SnapshotWrongGroup: "of another group", SnapshotTooLarge: "too large",
	SnapshotSuperseded: "superseded",
}

// String names the reason.
//
//	fmt.Println(agreement.SnapshotDamaged) // damaged
func (rejection SnapshotRejection) String() string {
	if name, known := rejectionNames[rejection]; known {
		return name
	}
	return fmt.Sprintf("refusal %d", uint16(rejection))
}

// SnapshotError is a snapshot, or a part of one, that was refused. The replica that
// refused it is as it was before.
type SnapshotError struct {
	From   string
	Index  uint64
	Offset uint64
	Reason SnapshotRejection
	Cause  error
}

// Error tells what was refused, and why.
//
//	log.Error(output.SnapshotRefused.Error())
func (rejected *SnapshotError) Error() string {
	text := fmt.Sprintf("snapshot %d at byte %d from %s refused: %s", rejected.Index, rejected.Offset, rejected.From, rejected.Reason)
	if rejected.Cause != nil {
		text += ": " + rejected.Cause.Error()
	}
	return text
}

// Unwrap gives the state machine's own error, if there is one.
//
//	errors.Is(output.SnapshotRefused, errDecode)
func (rejected *SnapshotError) Unwrap() error { return rejected.Cause }
