package raft

// outgoingSnapshot is the leader's side of the transfer of a snapshot to one peer: a window of
// maxInflightChunks chunks that moves as the peer acknowledges them.
type outgoingSnapshot struct {
	// index and contentChecksum identify the snapshot.
	index           uint64
	contentChecksum uint32
	// ackedOffset is the number of bytes that the peer is known to have, and sentOffset how
	// many were sent.
	ackedOffset uint64
	sentOffset  uint64
	// resent says that the chunks after ackedOffset have been sent a second time, because the
	// peer reported them missing.
	resent bool
	// ticksSinceSent counts the ticks since the last chunk was sent.
	ticksSinceSent int
}

// acknowledge notes how many bytes the peer has.
func (outgoing *outgoingSnapshot) acknowledge(offset uint64) {
	outgoing.resent = outgoing.resent && offset <= outgoing.ackedOffset
	outgoing.ackedOffset = offset
	outgoing.sentOffset = max(outgoing.sentOffset, offset)
}

// SendingSnapshot reports whether this leader is sending its snapshot to a peer that replies.
// A new snapshot ([InputCompact]) would make that peer start over.
func (core *Core) SendingSnapshot() bool {
	for _, peer := range core.peers {
		if peer.outgoing != nil && !core.isUnresponsive(peer) {
			return true
		}
	}
	return false
}

// sendSnapshot starts to send the snapshot to a peer, or sends a chunk again if there was no
// reply in time. Nothing is sent again to a peer that is unresponsive.
func (core *Core) sendSnapshot(name string, peer *progress) {
	if peer.outgoing == nil || peer.outgoing.index != core.snapshot.Index {
		peer.outgoing = &outgoingSnapshot{index: core.snapshot.Index, contentChecksum: core.contentChecksum()}
		core.sendChunk(name, peer.outgoing) // an empty snapshot is one chunk too
		core.fillWindow(name, peer.outgoing)
		return
	}
	if peer.outgoing.ticksSinceSent >= chunkRetryHeartbeats*core.settings.HeartbeatTicks && !core.isUnresponsive(peer) {
		// A single chunk is enough: the reply says how far the peer is, and the rest follows.
		peer.outgoing.sentOffset, peer.outgoing.resent = peer.outgoing.ackedOffset, false
		core.sendChunk(name, peer.outgoing)
	}
}

// fillWindow sends chunks until the window is full or all were sent.
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
	// Group and From are part of the checksum, so they are set here already.
	message := Message{Kind: MessageSnapshotChunk, Group: core.settings.Group, From: core.settings.Name, To: name, Term: core.hardState.Term, Snapshot: snapshot,
		Chunk: SnapshotChunk{Offset: outgoing.sentOffset, Total: total, ContentChecksum: outgoing.contentChecksum}}
	message.Chunk.Checksum = chunkChecksum(message)
	outgoing.sentOffset = end
	core.send(message)
}

// handleSnapshotReply sends the next chunks, or those again that the peer lacks. Repeated and
// late replies cause no chunk to be sent twice: a reply to a chunk before ackedOffset has no
// effect, and what is missing is sent again only once before the next retry.
func (core *Core) handleSnapshotReply(message Message) {
	peer := core.peers[message.From]
	if core.role != roleLeader || peer == nil {
		return
	}
	peer.heard()
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
		core.resendMissing(message.From, outgoing, received)
	case message.Rejected:
		outgoing.ackedOffset = min(received, outgoing.ackedOffset) // sent again by the retry
	}
}

// resendMissing sends again from where the peer lacks something: a chunk was lost, or the peer
// restarted and has nothing any more.
func (core *Core) resendMissing(name string, outgoing *outgoingSnapshot, received uint64) {
	if received == outgoing.ackedOffset && outgoing.resent {
		return
	}
	outgoing.ackedOffset = received
	outgoing.sentOffset, outgoing.resent = received, true
	core.fillWindow(name, outgoing)
}
