package replica

import (
	"context"

	"yardrock.example/system/raft"
	"yardrock.example/system/wire"
)

func (host *Host) step(groupID uint32, input raft.Input) raft.Output {
	group := host.groups[groupID]
	output := group.core.Step(input)
	if output.Snapshot != nil {
		group.handleRestored(output.Snapshot)
	}
	if output.SnapshotRejected != nil {
		host.logSnapshotRejection(groupID, output.SnapshotRejected)
	}
	for _, entry := range output.CommittedEntries {
		host.applyEntry(group, entry)
	}
	if output.Write != nil {
		kept := wire.StoredWrite{HardState: output.Write.HardState, Entries: output.Write.Entries}
		if output.Write.Snapshot != nil {
			kept.HasSnapshot, kept.Snapshot = true, *output.Write.Snapshot
		}
		host.pendingRecords = append(host.pendingRecords, encodeWrite(groupID, kept)...)
		written := output.Write.Number
		host.pendingCallbacks = append(host.pendingCallbacks, func() {
			if host.groups[groupID] == group {
				host.step(groupID, raft.Input{Kind: raft.InputSynced, Number: written})
			}
		})
	}
	for _, message := range output.Messages {
		host.outbox[message.To] = append(host.outbox[message.To], message)
	}
	for _, answer := range output.ReadResults {
		waiting := group.reads[answer.Context]
		delete(group.reads, answer.Context)
		if waiting != nil && answer.Rejected {
			waiting <- host.notLeader(group)
		} else if waiting != nil {
			waiting <- nil
		}
	}
	host.maybeSnapshot(groupID, group)
	return output
}

func (host *Host) applyEntry(group *raftGroup, entry raft.Entry) {
	var outcome any
	group.bytesSinceSnapshot += len(entry.Data) + entryOverheadBytes
	if entry.Kind == raft.EntryCommand {
		outcome = group.stateMachine.Apply(entry)
	}
	waiting, found := group.proposals[entry.Index]
	if !found {
		return
	}
	delete(group.proposals, entry.Index)
	answer := proposalResult{commandIndex: waiting.commandIndex, outcome: outcome}
	if waiting.term != entry.Term {
		answer = proposalResult{commandIndex: waiting.commandIndex, err: host.notLeader(group)}
	}
	waiting.result <- answer
}

// Receive takes a peer's messages, and does not wait until they are worked off. A
// group that a leader speaks of and that is not here yet starts empty. When the
// connection on which they came ends, the peer may be gone.
//
//	host.Receive(link.Connection(ctx), query.Agreement.Messages)
func (host *Host) Receive(connection context.Context, messages []raft.Message) {
	if len(messages) == 0 {
		return
	}
	peer := messages[0].From
	if _, known := host.connections.LoadOrStore(connection, peer); !known {
		context.AfterFunc(connection, func() {
			host.connections.Delete(connection)
			host.suspect(peer)
		})
	}
	host.enqueue(func() {
		for _, message := range messages {
			if message.To != host.name {
				continue
			}
			if host.groups[message.Group] == nil {
				if !isFromLeader(message.Kind) {
					continue
				}
				if err := host.addGroup(message.Group, raft.PersistentState{}); err != nil {
					continue
				}
				delete(host.removed, message.Group)
			}
			host.step(message.Group, raft.Input{Kind: raft.InputMessage, Message: message})
		}
	})
}

// isFromLeader tells whether only a leader sends messages of this kind.
func isFromLeader(kind raft.MessageKind) bool {
	return kind == raft.MessageAppend || kind == raft.MessageSnapshot || kind == raft.MessageSnapshotChunk
}

func (host *Host) suspect(peer string) {
	host.enqueue(func() {
		for groupID := range host.groups {
			host.step(groupID, raft.Input{Kind: raft.InputSuspect, Peer: peer})
		}
	})
}
