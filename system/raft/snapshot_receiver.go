package raft

import "hash/crc32"

// incomingSnapshot is the receiver's state of a snapshot transfer. It is kept only in memory, so
// the transfer starts over after a restart.
type incomingSnapshot struct {
	// snapshot is the snapshot with the part of its content received so far.
	snapshot Snapshot
	// chunk is that of the first message; its Total and ContentChecksum identify the transfer.
	chunk SnapshotChunk
	// leaderTerm is the term of the leader that sent the last chunk.
	leaderTerm uint64
}

// matches reports whether a chunk belongs to the snapshot that is being received. It is false for
// a nil receiver.
func (received *incomingSnapshot) matches(message Message) bool {
	snapshot := message.Snapshot
	return received != nil && received.snapshot.Index == snapshot.Index && received.snapshot.Term == snapshot.Term &&
		received.chunk.Total == message.Chunk.Total && received.chunk.ContentChecksum == message.Chunk.ContentChecksum
}

// receivedBytes returns the number of bytes received so far of the snapshot that a chunk claims to
// belong to.
func (core *Core) receivedBytes(message Message) uint64 {
	if !core.incoming.matches(message) {
		return 0
	}
	return uint64(len(core.incoming.snapshot.Data))
}

// handleSnapshotChunk adds a chunk, already validated by checkChunk, to the snapshot that is being
// received.
func (core *Core) handleSnapshotChunk(message Message) {
	core.followLeader(message.From)
	snapshot, chunk := message.Snapshot, message.Chunk
	if snapshot.Index <= core.commitIndex {
		core.send(Message{Kind: MessageAppendReply, To: message.From, Term: core.hardState.Term, Index: core.commitIndex})
		return
	}
	if !core.incoming.matches(message) {
		if rejection := core.checkFirstChunk(message); rejection != SnapshotAccepted {
			core.rejectChunk(message, rejection, 0, nil)
			return
		}
		core.incoming = &incomingSnapshot{snapshot: snapshot, chunk: chunk}
		core.incoming.snapshot.Data = make([]byte, 0, chunk.Total)
	}
	received := core.incoming
	received.leaderTerm = message.Term
	length := uint64(len(received.snapshot.Data))
	if chunk.Offset > length {
		core.rejectChunk(message, SnapshotOutOfOrder, length, nil)
		return
	}
	if end := chunk.Offset + uint64(len(snapshot.Data)); end > length {
		received.snapshot.Data = append(received.snapshot.Data, snapshot.Data[length-chunk.Offset:]...)
		length = end
	}
	if length < chunk.Total {
		core.replyToChunk(message, Message{}, length)
		return
	}
	core.completeSnapshot(message)
}

// checkFirstChunk checks whether a chunk may start the transfer of a snapshot other than the one
// being received.
func (core *Core) checkFirstChunk(message Message) SnapshotRejection {
	if message.Chunk.Offset != 0 {
		return SnapshotOutOfOrder
	}
	if core.incoming != nil && core.incoming.leaderTerm == message.Term && core.incoming.snapshot.Index > message.Snapshot.Index {
		return SnapshotSuperseded
	}
	return SnapshotAccepted
}

// completeSnapshot installs a snapshot whose last chunk has been received.
func (core *Core) completeSnapshot(message Message) {
	received := core.incoming
	core.incoming = nil
	if crc32.Checksum(received.snapshot.Data, castagnoli) != received.chunk.ContentChecksum {
		core.rejectChunk(message, SnapshotDamaged, 0, nil)
		return
	}
	if err := core.installSnapshot(received.snapshot); err != nil {
		core.rejectChunk(message, SnapshotUnreadable, 0, err)
		return
	}
	core.restoreSnapshot(received.snapshot)
	core.send(Message{Kind: MessageAppendReply, To: message.From, Term: core.hardState.Term, Index: received.snapshot.Index})
}

// rejectChunk reports a rejected chunk to the driver and the sender.
func (core *Core) rejectChunk(message Message, reason SnapshotRejection, received uint64, cause error) {
	core.output.SnapshotRejected = &SnapshotError{From: message.From, Index: message.Snapshot.Index, Offset: message.Chunk.Offset, Reason: reason, Cause: cause}
	core.replyToChunk(message, Message{Rejected: true, Chunk: SnapshotChunk{Reason: reason}}, received)
}

// replyToChunk completes a reply to a chunk with the number of bytes received, and sends it.
func (core *Core) replyToChunk(message, reply Message, received uint64) {
	reply.Kind, reply.To, reply.Term = MessageSnapshotReply, message.From, core.hardState.Term
	reply.Index, reply.Hint = message.Snapshot.Index, message.Chunk.Offset
	reply.Chunk.Offset, reply.Chunk.ContentChecksum = received, message.Chunk.ContentChecksum
	core.send(reply)
}
