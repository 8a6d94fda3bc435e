package raft

import (
	"encoding/binary"
	"hash/crc32"
)

const (
	// defaultChunkBytes is the chunk size if Settings.ChunkBytes is 0. It is small enough that
	// a chunk does not delay heartbeats on a slow connection.
	defaultChunkBytes = 128 << 10
	// maxSnapshotBytes limits the size of a received snapshot, which is buffered in memory.
	maxSnapshotBytes = 256 << 20
	// maxInflightChunks is the maximum number of unacknowledged chunks per peer. Chunks are
	// pipelined so that latency does not limit throughput.
	maxInflightChunks = 4
	// chunkRetryHeartbeats is the number of heartbeat intervals since the last sent chunk after
	// which a chunk is retransmitted.
	chunkRetryHeartbeats = 2
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func (core *Core) chunkBytes() uint64 {
	if core.settings.ChunkBytes > 0 {
		return uint64(core.settings.ChunkBytes)
	}
	return defaultChunkBytes
}

// chunkChecksum returns the checksum of a chunk's data and of all fields that identify the chunk:
// the group, sender, receiver and term, the snapshot's metadata, and the position in it.
func chunkChecksum(message Message) uint32 {
	snapshot, chunk := message.Snapshot, message.Chunk
	header := binary.LittleEndian.AppendUint32(nil, message.Group)
	for _, number := range []uint64{message.Term, snapshot.Index, snapshot.Term, chunk.Offset, chunk.Total, uint64(chunk.ContentChecksum), uint64(len(snapshot.Membership.Voters))} {
		header = binary.LittleEndian.AppendUint64(header, number)
	}
	for _, names := range [][]string{snapshot.Membership.Voters, snapshot.Membership.Learners, {message.From, message.To}} {
		for _, name := range names {
			header = append(append(header, name...), 0)
		}
	}
	return crc32.Update(crc32.Checksum(header, castagnoli), castagnoli, snapshot.Data)
}

// checkChunk validates a chunk independently of the chunks received so far, before it has any
// effect.
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

// contentChecksum returns the checksum of the snapshot's content, computing it once per snapshot.
func (core *Core) contentChecksum() uint32 {
	if core.snapshotChecksumIndex != core.snapshot.Index {
		core.snapshotChecksum = crc32.Checksum(core.snapshot.Data, castagnoli)
		core.snapshotChecksumIndex = core.snapshot.Index
	}
	return core.snapshotChecksum
}
