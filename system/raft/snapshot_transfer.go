package raft

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	// defaultChunkBytes is how much of a snapshot goes in one message.
	defaultChunkBytes = 128 << 10
	// maxSnapshotBytes bounds what a replica gathers of a snapshot.
	maxSnapshotBytes = 256 << 20
	// maxInflightChunks is how many chunks may be out to one peer, so that a way that is slow
	// does not make a transfer slow.
	maxInflightChunks = 4
	// chunkRetryHeartbeats is after how many heartbeats without an answer a chunk is sent again.
	chunkRetryHeartbeats = 2
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

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

// incomingSnapshot is a receiver's side: the part of a snapshot that it holds, in memory only.
type incomingSnapshot struct {
	snapshot Snapshot // Data is what has come so far
	chunk    SnapshotChunk
	// leaderTerm is the term of the leader that sent the last part.
	leaderTerm uint64
}

func (received *incomingSnapshot) matches(message Message) bool {
	snapshot := message.Snapshot
	return received != nil && received.snapshot.Index == snapshot.Index && received.snapshot.Term == snapshot.Term &&
		received.chunk.Total == message.Chunk.Total && received.chunk.ContentChecksum == message.Chunk.ContentChecksum
}

// receivedBytes tells how much is held of the snapshot that a chunk claims to be of.
func (core *Core) receivedBytes(message Message) uint64 {
	if !core.incoming.matches(message) {
		return 0
	}
	return uint64(len(core.incoming.snapshot.Data))
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

func (core *Core) isUnresponsive(peer *progress) bool {
	return peer.ticksSinceHeard >= core.settings.ElectionTicks
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

func (core *Core) chunkBytes() uint64 {
	if core.settings.ChunkBytes > 0 {
		return uint64(core.settings.ChunkBytes)
	}
	return defaultChunkBytes
}

func (core *Core) rewind(name string, outgoing *outgoingSnapshot) {
	outgoing.sentOffset, outgoing.resent = outgoing.ackedOffset, true
	core.fillWindow(name, outgoing)
}

// contentChecksum is the checksum of the snapshot's content, reckoned once for each snapshot.
func (core *Core) contentChecksum() uint32 {
	if core.snapshotChecksumIndex != core.snapshot.Index {
		core.snapshotChecksum = crc32.Checksum(core.snapshot.Data, castagnoli)
		core.snapshotChecksumIndex = core.snapshot.Index
	}
	return core.snapshotChecksum
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

// chunkChecksum covers a chunk's bytes and all that tells where they belong.
func chunkChecksum(message Message) uint32 {
	snapshot, chunk := message.Snapshot, message.Chunk
	head := binary.LittleEndian.AppendUint32(nil, message.Group)
	for _, number := range []uint64{message.Term, snapshot.Index, snapshot.Term, chunk.Offset, chunk.Total, uint64(chunk.ContentChecksum), uint64(len(snapshot.Membership.Voters))} {
		head = binary.LittleEndian.AppendUint64(head, number)
	}
	for _, names := range [][]string{snapshot.Membership.Voters, snapshot.Membership.Learners, {message.From, message.To}} {
		for _, name := range names {
			head = append(append(head, name...), 0)
		}
	}
	return crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, snapshot.Data)
}

// checkChunk tells what is wrong with a chunk by itself, before anything of it is heeded.
func (core *Core) checkChunk(message Message) SnapshotRejection {
	chunk, length := message.Chunk, uint64(len(message.Snapshot.Data))
	switch {
	case message.Group != core.settings.Group:
		return SnapshotWrongGroup
	case chunk.Checksum != chunkChecksum(message):
		return SnapshotDamaged
	case chunk.Total > maxSnapshotBytes:
		return SnapshotTooLarge
	case chunk.Offset > chunk.Total || length > chunk.Total-chunk.Offset:
		return SnapshotDamaged
	case message.Term < core.hardState.Term:
		return SnapshotStaleTerm
	}
	return SnapshotAccepted
}

// handleSnapshotChunk adds a chunk, which was checked by itself, to what is held.
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

// checkFirstChunk tells whether a chunk of a snapshot that is not being received may begin it.
func (core *Core) checkFirstChunk(message Message) SnapshotRejection {
	if message.Chunk.Offset != 0 {
		return SnapshotOutOfOrder
	}
	if core.incoming != nil && core.incoming.leaderTerm == message.Term && core.incoming.snapshot.Index > message.Snapshot.Index {
		return SnapshotSuperseded
	}
	return SnapshotAccepted
}

// completeSnapshot takes a snapshot of which all has come, if it can be read.
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

func (core *Core) rejectChunk(message Message, reason SnapshotRejection, received uint64, cause error) {
	core.output.SnapshotRejected = &SnapshotError{From: message.From, Index: message.Snapshot.Index, Offset: message.Chunk.Offset, Reason: reason, Cause: cause}
	core.replyToChunk(message, Message{Rejected: true, Chunk: SnapshotChunk{Reason: reason}}, received)
}

func (core *Core) replyToChunk(message, reply Message, received uint64) {
	reply.Kind, reply.To, reply.Term = MessageSnapshotReply, message.From, core.hardState.Term
	reply.Index, reply.Hint = message.Snapshot.Index, message.Chunk.Offset
	reply.Chunk.Offset, reply.Chunk.ContentChecksum = received, message.Chunk.ContentChecksum
	core.send(reply)
}

// handleSnapshotReply sends what follows, or again what the peer lacks. Doubled and late
// answers have nothing sent twice: an answer to a chunk before what is known to be held
// changes nothing, and what is missing is sent again once only before the next retry.
func (core *Core) handleSnapshotReply(message Message) {
	peer := core.peers[message.From]
	if core.role != roleLeader || peer == nil {
		return
	}
	peer.recentlyActive, peer.ticksSinceHeard = true, 0
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
		core.handleMissingChunk(message.From, outgoing, received)
	case message.Rejected:
		outgoing.ackedOffset = min(received, outgoing.ackedOffset) // it is sent again when its time is up
	}
}

// handleMissingChunk sends again from where the peer lacks something: one chunk was lost, or the peer
// has restarted and holds nothing any more.
func (core *Core) handleMissingChunk(name string, outgoing *outgoingSnapshot, received uint64) {
	if received == outgoing.ackedOffset && outgoing.resent {
		return
	}
	outgoing.ackedOffset = received
	core.rewind(name, outgoing)
}
