package replica

import (
	"context"

	"github.com/apex/log"

	"yardrock.example/system/raft"
	"yardrock.example/system/wire"
)

// step passes one input to the core of a group and processes the output, in the order that
// package raft requires. It must be called on the loop, for a group on this node.
func (host *Host) step(groupID uint32, input raft.Input) raft.Output {
	group := host.groups[groupID]
	output := group.core.Step(input)
	if output.Snapshot != nil {
		group.handleSnapshotInstalled(output.Snapshot)
	}
	if output.SnapshotRejected != nil {
		host.logSnapshotRejection(groupID, output.SnapshotRejected)
	}
	for _, entry := range output.CommittedEntries {
		group.applyEntry(entry)
	}
	if output.Write != nil {
		host.queueWrite(groupID, group, output.Write)
	}
	for _, message := range output.Messages {
		host.outbox[message.To] = append(host.outbox[message.To], message)
	}
	for _, result := range output.ReadResults {
		group.finishRead(result)
	}
	host.maybeSnapshot(groupID, group)
	host.logLeadership(groupID, group)
	return output
}

// logLeadership logs when this replica becomes leader of a group or ceases to be.
func (host *Host) logLeadership(groupID uint32, group *raftGroup) {
	term, leading := group.core.Leading()
	if leading == group.leading {
		return
	}
	group.leading = leading
	entry := log.WithFields(log.Fields{"node": host.name, "group": groupID, "term": term})
	if leading {
		host.stats.electionsWon.Add(1)
		entry.Info("replica became leader")
	} else {
		entry.Info("replica is no longer leader")
	}
}

// queueWrite adds a write to the next disk job, and reports it to the core as synced once it is
// durable.
func (host *Host) queueWrite(groupID uint32, group *raftGroup, write *raft.Write) {
	stored := wire.StoredWrite{HardState: write.HardState, Entries: write.Entries}
	if write.Snapshot != nil {
		stored.HasSnapshot, stored.Snapshot = true, *write.Snapshot
	}
	host.pendingRecords = append(host.pendingRecords, encodeWrite(groupID, stored)...)
	host.pendingCallbacks = append(host.pendingCallbacks, func() {
		if host.groups[groupID] == group { // not deleted in the meantime
			host.step(groupID, raft.Input{Kind: raft.InputSynced, Number: write.Number})
		}
	})
}

// Receive queues messages from a peer for their groups, without waiting for them to be processed.
// A message from the leader of a group that is not on this node adds the group with an empty
// state. connection is the context of the connection that the messages arrived on: when it
// ends, the peer is suspected of having failed.
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
			host.receiveMessage(message)
		}
	})
}

func (host *Host) receiveMessage(message raft.Message) {
	if message.To != host.name {
		return // for the node that used this address before
	}
	if host.groups[message.Group] == nil {
		if !isFromLeader(message.Kind) {
			return
		}
		// Adding a group fails only on unreadable stored state, which an empty state is not.
		if err := host.addGroup(message.Group, raft.PersistentState{}); err != nil {
			return
		}
		delete(host.deletedReplicas, message.Group)
	}
	host.step(message.Group, raft.Input{Kind: raft.InputMessage, Message: message})
}

// isFromLeader reports whether messages of a kind are sent by leaders only.
func isFromLeader(kind raft.MessageKind) bool {
	return kind == raft.MessageAppend || kind == raft.MessageSnapshot || kind == raft.MessageSnapshotChunk
}

// suspect reports to all groups that the connection from a peer has ended.
func (host *Host) suspect(peer string) {
	host.enqueue(func() {
		for groupID := range host.groups {
			host.step(groupID, raft.Input{Kind: raft.InputSuspect, Peer: peer})
		}
	})
}
