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

func (core *Core) chunkBytes() uint64 {
	if core.settings.ChunkBytes > 0 {
		return uint64(core.settings.ChunkBytes)
	}
	return defaultChunkBytes
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

// contentChecksum is the checksum of the snapshot's content, reckoned once for each snapshot.
func (core *Core) contentChecksum() uint32 {
	if core.snapshotChecksumIndex != core.snapshot.Index {
		core.snapshotChecksum = crc32.Checksum(core.snapshot.Data, castagnoli)
		core.snapshotChecksumIndex = core.snapshot.Index
	}
	return core.snapshotChecksum
}
