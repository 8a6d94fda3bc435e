package replica

import (
	"yardrock.example/system/apierror"
	"yardrock.example/system/raft"
)

type raftGroup struct {
	core         *raft.Core
	stateMachine StateMachine
	proposals    map[uint64]proposal
	reads        map[uint64]chan error
	// bytesSinceSnapshot counts the bytes applied since the last checkpoint, pointed the bytes of
	// that checkpoint; imaging tells that the next is being made.
	bytesSinceSnapshot int
	snapshotBytes      int
	snapshotting       bool
}

// installSnapshot puts a peer's snapshot into the state machine, which is unchanged if it fails.
func (group *raftGroup) installSnapshot(snapshot raft.Snapshot) error {
	if len(snapshot.Data) > 0 {
		return group.stateMachine.Restore(snapshot.Data)
	}
	// What was founded empty comes without content, to a replica that has none either.
	if group.core.Applied() > 0 {
		return apierror.New(apierror.Damaged, "a snapshot without content came to a replica that has some", "the sender goes on; look at its data folder")
	}
	return nil
}

// handleRestored settles what waited for entries that a peer's snapshot now stands for.
func (group *raftGroup) handleRestored(snapshot *raft.Snapshot) {
	group.snapshotBytes, group.bytesSinceSnapshot = len(snapshot.Data), 0
	for index, waiting := range group.proposals {
		if index <= snapshot.Index {
			waiting.result <- proposalResult{commandIndex: waiting.commandIndex, err: outcomeUnknown()}
			delete(group.proposals, index)
		}
	}
}
