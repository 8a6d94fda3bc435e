package raft

// transfer is a leader's side of a snapshot on its way to one peer.
type outgoingSnapshot struct {
	// index and sum name the snapshot.
	index           uint64
	contentChecksum uint32
	// ackedOffset is up to where the peer is known to hold it, sent up to where it was sent.
	ackedOffset uint64
	sentOffset  uint64
	// resent tells that what follows offset was already sent again for want of it.
	resent bool
	// ticksSinceSent counts the ticks since a chunk was sent.
	ticksSinceSent int
}

// acknowledge notes what the peer holds.
func (outgoing *outgoingSnapshot) acknowledge(offset uint64) {
	outgoing.resent = outgoing.resent && offset <= outgoing.ackedOffset
	outgoing.ackedOffset = offset
	outgoing.sentOffset = max(outgoing.sentOffset, offset)
}

// SendingSnapshot tells whether this leader sends its snapshot to a peer that answers. A
// new snapshot now would have the peer begin anew.
//
//	if !core.SendingSnapshot() {
//		core.Step(agreement.Input{Kind: agreement.InputCompact, Index: core.Applied(), Data: image})
//	}
func (core *Core) SendingSnapshot() bool {
	for _, peer := range core.peers {
		if peer.outgoing != nil && !core.isUnresponsive(peer) {
			return true
		}
	}
	return false
}

// sendSnapshot begins to send the snapshot to a peer, or goes on if the last chunk was not
// answered in time. A peer that is silent is sent nothing more until it is heard.
func (core *Core) sendSnapshot(name string, peer *progress) {
	if peer.outgoing == nil || peer.outgoing.index != core.snapshot.Index {
		peer.outgoing = &outgoingSnapshot{index: core.snapshot.Index, contentChecksum: core.contentChecksum()}
		core.sendChunk(name, peer.outgoing) // a snapshot without content is one chunk too
		core.fillWindow(name, peer.outgoing)
		return
	}
	if peer.outgoing.ticksSinceSent >= chunkRetryHeartbeats*core.settings.HeartbeatTicks && !core.isUnresponsive(peer) {
		// One chunk asks what the peer holds; its answer has the rest follow.
		peer.outgoing.sentOffset, peer.outgoing.resent = peer.outgoing.ackedOffset, false
		core.sendChunk(name, peer.outgoing)
	}
}

// fillWindow sends chunks until as many are out as may be, or all were sent.
func (core *Core) fillWindow(name string, outgoing *outgoingSnapshot) {
	total, window := uint64(len(core.snapshot.Data)), maxInflightChunks*core.chunkBytes()
	for outgoing.sentOffset < total && outgoing.sentOffset < outgoing.ackedOffset+window {
		core.sendChunk(name, outgoing)
	}
}

func (core *Core) sendChunk(name string, outgoing *outgoingSnapshot) {
	outgoing.ticksSinceSent = 0
	snapshot := core.snapshot
	total := uint64(len(snapshot.Data))
	end := min(outgoing.sentOffset+core.chunkBytes(), total)
	snapshot.Data = snapshot.Data[outgoing.sentOffset:end]
	message := Message{Kind: MessageSnapshotChunk, Group: core.settings.Group, From: core.settings.Name, To: name, Term: core.hardState.Term, Snapshot: snapshot,
		Chunk: SnapshotChunk{Offset: outgoing.sentOffset, Total: total, ContentChecksum: outgoing.contentChecksum}}
	message.Chunk.Checksum = chunkChecksum(message)
	outgoing.sentOffset = end
	core.send(message)
}

// handleSnapshotReply sends what follows, or again what the peer lacks. Doubled and late
// answers have nothing sent twice: an answer to a chunk before what is known to be held
// changes nothing, and what is missing is sent again once only before the next retry.
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
		outgoing.ackedOffset = min(received, outgoing.ackedOffset) // it is sent again when its time is up
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
