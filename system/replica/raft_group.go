package replica

import (
	"yardrock.example/system/apierror"
	"yardrock.example/system/raft"
)

// raftGroup is this node's replica of one group. The host's loop owns it.
type raftGroup struct {
	core         *raft.Core
	stateMachine StateMachine
	// proposals wait for the entry at an index to be applied.
	proposals map[uint64]proposal
	// reads wait for their read index, by the context given to the core.
	reads map[uint64]chan error
	// bytesSinceSnapshot is the size of the entries applied since the last snapshot, and
	// snapshotBytes that of the snapshot.
	bytesSinceSnapshot int
	snapshotBytes      int
	// leading says that this replica led the group when that was logged last.
	leading bool
}

// applyEntry applies a committed entry and answers the proposal that waits for it, if any.
func (group *raftGroup) applyEntry(entry raft.Entry) {
	var outcome any
	group.bytesSinceSnapshot += len(entry.Data) + entryOverheadBytes
	if entry.Kind == raft.EntryCommand {
		outcome = group.stateMachine.Apply(entry)
	}
	pending, found := group.proposals[entry.Index]
	if !found {
		return
	}
	delete(group.proposals, entry.Index)
	result := proposalResult{commandIndex: pending.commandIndex, outcome: outcome}
	if pending.term != entry.Term {
		// Another leader's entry was committed in its place, so it never will be.
		result = proposalResult{commandIndex: pending.commandIndex, err: notLeader(group)}
	}
	pending.result <- result
}

// finishRead answers a read. Everything up to its read index is applied by now: the index was
// committed when the read was requested, and each step applies what it commits.
func (group *raftGroup) finishRead(read raft.ReadResult) {
	result := group.reads[read.Context]
	delete(group.reads, read.Context)
	if result != nil && read.Rejected {
		result <- notLeader(group)
	} else if result != nil {
		result <- nil
	}
}

// installSnapshot restores the state machine from a leader's snapshot. On error the state
// machine is unchanged.
func (group *raftGroup) installSnapshot(snapshot raft.Snapshot) error {
	if len(snapshot.Data) > 0 {
		return group.stateMachine.Restore(snapshot.Data)
	}
	// A group that was bootstrapped without content has an empty first snapshot. Only a
	// replica that has applied nothing may install it.
	if group.core.Applied() > 0 {
		return apierror.New(apierror.Damaged, "a snapshot without content came to a replica that has some", "the sender goes on; look at its data folder")
	}
	return nil
}

// handleRestored fails the proposals whose entries a leader's snapshot now stands for: whether
// they were committed is not known any more.
func (group *raftGroup) handleRestored(snapshot *raft.Snapshot) {
	group.snapshotBytes, group.bytesSinceSnapshot = len(snapshot.Data), 0
	for index, pending := range group.proposals {
		if index <= snapshot.Index {
			pending.result <- proposalResult{commandIndex: pending.commandIndex, err: outcomeUnknown()}
			delete(group.proposals, index)
		}
	}
}
