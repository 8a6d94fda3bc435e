package replica

import (
	"yardrock.example/system/apierror"
	"yardrock.example/system/raft"
)

// raftGroup is this node's replica of one group. It is owned by the host's loop.
type raftGroup struct {
	core         *raft.Core
	stateMachine StateMachine
	// proposals are the pending proposals, by the index of their entry.
	proposals map[uint64]proposal
	// reads are the pending reads, by their read context.
	reads map[uint64]chan error
	// bytesSinceSnapshot is the size of the entries applied since the last snapshot, and
	// snapshotBytes the size of that snapshot.
	bytesSinceSnapshot int
	snapshotBytes      int
	// leading is the leadership state that was last logged.
	leading bool
}

// applyEntry applies a committed entry and completes the proposal waiting for it, if any.
func (group *raftGroup) applyEntry(entry raft.Entry) {
	var applyResult any
	group.bytesSinceSnapshot += len(entry.Data) + entryOverheadBytes
	if entry.Kind == raft.EntryCommand {
		applyResult = group.stateMachine.Apply(entry)
	}
	pending, found := group.proposals[entry.Index]
	if !found {
		return
	}
	delete(group.proposals, entry.Index)
	result := proposalResult{commandIndex: pending.commandIndex, applyResult: applyResult}
	if pending.term != entry.Term {
		// An entry of another leader was committed at this index, so the proposal never will be.
		result = proposalResult{commandIndex: pending.commandIndex, err: notLeaderError(group)}
	}
	pending.result <- result
}

// finishRead completes a read. All entries up to its read index are applied: the index was
// committed when the read was requested, and each step applies what it commits.
func (group *raftGroup) finishRead(read raft.ReadResult) {
	result := group.reads[read.Context]
	delete(group.reads, read.Context)
	if result != nil && read.Rejected {
		result <- notLeaderError(group)
	} else if result != nil {
		result <- nil
	}
}

// installSnapshot restores the state machine from a leader's snapshot. After an error the state
// machine is unchanged.
func (group *raftGroup) installSnapshot(snapshot raft.Snapshot) error {
	if len(snapshot.Data) > 0 {
		return group.stateMachine.Restore(snapshot.Data)
	}
	// A group bootstrapped without data has an empty first snapshot. Only a replica that has
	// applied nothing may install it.
	if group.core.AppliedIndex() > 0 {
		return apierror.New(apierror.Damaged, "received an empty snapshot on a replica that is not empty", "check the data directory of the sender")
	}
	return nil
}

// handleSnapshotInstalled updates the sizes after a leader's snapshot was installed, and fails the
// proposals whose entries it replaced: whether they were committed is no longer known.
func (group *raftGroup) handleSnapshotInstalled(snapshot *raft.Snapshot) {
	group.snapshotBytes, group.bytesSinceSnapshot = len(snapshot.Data), 0
	for index, pending := range group.proposals {
		if index <= snapshot.Index {
			pending.result <- proposalResult{commandIndex: pending.commandIndex, err: outcomeUnknownError()}
			delete(group.proposals, index)
		}
	}
}
