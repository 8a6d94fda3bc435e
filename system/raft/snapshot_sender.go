package raft

// outgoingSnapshot is the leader's state of a snapshot transfer to one peer: a sliding window of
// maxInflightChunks chunks that advances as the peer acknowledges them.
type outgoingSnapshot struct {
	// index and contentChecksum identify the snapshot.
	index           uint64
	contentChecksum uint32
	// ackedOffset is the number of bytes that the peer is known to have received, and
	// sentOffset the number of bytes sent.
	ackedOffset uint64
	sentOffset  uint64
	// retransmitted is set if the chunks after ackedOffset were sent again because the peer
	// reported them missing.
	retransmitted bool
	// ticksSinceSent counts the ticks since the last chunk was sent.
	ticksSinceSent int
}

// acknowledge records that the peer has received the bytes before offset.
func (outgoing *outgoingSnapshot) acknowledge(offset uint64) {
	outgoing.retransmitted = outgoing.retransmitted && offset <= outgoing.ackedOffset
	outgoing.ackedOffset = offset
	outgoing.sentOffset = max(outgoing.sentOffset, offset)
}

// SendingSnapshot reports whether this leader is sending its snapshot to a responsive peer. A new
// snapshot ([InputCompact]) would restart that transfer.
func (core *Core) SendingSnapshot() bool {
	for _, peer := range core.peers {
		if peer.outgoing != nil && !core.isUnresponsive(peer) {
			return true
		}
	}
	return false
}

// sendSnapshot starts a snapshot transfer to a peer, or retransmits one chunk if none was sent for
// chunkRetryHeartbeats heartbeat intervals. It retransmits nothing to an unresponsive peer.
func (core *Core) sendSnapshot(name string, peer *progress) {
	if peer.outgoing == nil || peer.outgoing.index != core.snapshot.Index {
		peer.outgoing = &outgoingSnapshot{index: core.snapshot.Index, contentChecksum: core.contentChecksum()}
		core.sendChunk(name, peer.outgoing) // even an empty snapshot needs one chunk
		core.fillWindow(name, peer.outgoing)
		return
	}
	if peer.outgoing.ticksSinceSent >= chunkRetryHeartbeats*core.settings.HeartbeatTicks && !core.isUnresponsive(peer) {
		// One chunk is enough: the reply has the peer's offset, from which the transfer resumes.
		peer.outgoing.sentOffset, peer.outgoing.retransmitted = peer.outgoing.ackedOffset, false
		core.sendChunk(name, peer.outgoing)
	}
}

// fillWindow sends chunks until the window is full or all chunks are sent.
func (core *Core) fillWindow(name string, outgoing *outgoingSnapshot) {
	total, window := uint64(len(core.snapshot.Data)), maxInflightChunks*core.chunkBytes()
	for outgoing.sentOffset < total && outgoing.sentOffset < outgoing.ackedOffset+window {
		core.sendChunk(name, outgoing)
	}
}

// sendChunk sends the chunk at sentOffset.
func (core *Core) sendChunk(name string, outgoing *outgoingSnapshot) {
	outgoing.ticksSinceSent = 0
	snapshot := core.snapshot
	total := uint64(len(snapshot.Data))
	end := min(outgoing.sentOffset+core.chunkBytes(), total)
	snapshot.Data = snapshot.Data[outgoing.sentOffset:end]
	// Group and From are part of the checksum, so they must be set before send sets them.
	message := Message{Kind: MessageSnapshotChunk, Group: core.settings.Group, From: core.settings.Name, To: name, Term: core.hardState.Term, Snapshot: snapshot,
		Chunk: SnapshotChunk{Offset: outgoing.sentOffset, Total: total, ContentChecksum: outgoing.contentChecksum}}
	message.Chunk.Checksum = chunkChecksum(message)
	outgoing.sentOffset = end
	core.send(message)
}

// handleSnapshotReply sends the next chunks, or retransmits those that the peer lacks. Duplicate
// and late replies cause no further retransmission: a rejection of a chunk before ackedOffset has
// no effect, and missing chunks are retransmitted only once before the next timed retry.
func (core *Core) handleSnapshotReply(message Message) {
	peer := core.peers[message.From]
	if core.role != roleLeader || peer == nil {
		return
	}
	peer.markActive()
	outgoing, received := peer.outgoing, message.Chunk.Offset
	if outgoing == nil || outgoing.index != message.Index || outgoing.index != core.snapshot.Index || outgoing.contentChecksum != message.Chunk.ContentChecksum {
		return
	}
	if received > uint64(len(core.snapshot.Data)) || message.Rejected && message.Hint < outgoing.ackedOffset {
		return
	}
	switch {
	case !message.Rejected && received > outgoing.ackedOffset:
		outgoing.acknowledge(received)
		core.fillWindow(message.From, outgoing)
	case message.Rejected && message.Chunk.Reason == SnapshotOutOfOrder:
		core.retransmitMissing(message.From, outgoing, received)
	case message.Rejected:
		outgoing.ackedOffset = min(received, outgoing.ackedOffset) // retransmitted by the timed retry
	}
}

// retransmitMissing retransmits from the first byte that the peer lacks, because a chunk was lost
// or the peer restarted and discarded what it had received.
func (core *Core) retransmitMissing(name string, outgoing *outgoingSnapshot, received uint64) {
	if received == outgoing.ackedOffset && outgoing.retransmitted {
		return
	}
	outgoing.ackedOffset = received
	outgoing.sentOffset, outgoing.retransmitted = received, true
	core.fillWindow(name, outgoing)
}
