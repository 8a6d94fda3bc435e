package raft

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	// defaultChunkBytes is the size of a chunk if Settings.ChunkBytes is 0. A chunk is small
	// enough not to delay heartbeats on a slow connection.
	defaultChunkBytes = 128 << 10
	// maxSnapshotBytes is the size of the largest snapshot that a replica receives. It is
	// gathered in memory.
	maxSnapshotBytes = 256 << 20
	// maxInflightChunks is how many chunks may be sent to a peer before it acknowledges them,
	// so that latency does not limit the transfer.
	maxInflightChunks = 4
	// chunkRetryHeartbeats is after how many heartbeat intervals without a reply a chunk is
	// sent again.
	chunkRetryHeartbeats = 2
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func (core *Core) chunkBytes() uint64 {
	if core.settings.ChunkBytes > 0 {
		return uint64(core.settings.ChunkBytes)
	}
	return defaultChunkBytes
}

// chunkChecksum returns the checksum of a chunk's content and of all that locates it: the
// group, sender, receiver and term, the snapshot, and the position in it.
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

// checkChunk checks a chunk by itself, before any of it has an effect.
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

// contentChecksum returns the checksum of the snapshot's content, computed once for each
// snapshot.
func (core *Core) contentChecksum() uint32 {
	if core.snapshotChecksumIndex != core.snapshot.Index {
		core.snapshotChecksum = crc32.Checksum(core.snapshot.Data, castagnoli)
		core.snapshotChecksumIndex = core.snapshot.Index
	}
	return core.snapshotChecksum
}
