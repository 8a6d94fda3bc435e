package wire

import (
	"yardrock.example/system/sessionlog"
)

// ArchiveChunk is a run of archived events of one line.
type ArchiveChunk struct {
	Group     uint32             `capnp:"group"`
	Session   string             `capnp:"line"`
	First     uint64             `capnp:"first"`
	Last      uint64             `capnp:"last"`
	ExpiresAt int64              `capnp:"expires"`
	Events    []sessionlog.Event `capnp:"events"`
}

// ArchiveChunkBatch carries chunks.
type ArchiveChunkBatch struct {
	Chunks []ArchiveChunk `capnp:"chunks"`
}

// ChunkLocation says where in a cold file a chunk is.
type ChunkLocation struct {
	Group     uint32
	Session   string
	First     uint64
	Last      uint64
	ExpiresAt int64
	Offset    uint64
	Length    uint32
	Checksum  uint32
	Digest    []byte
}

// ArchiveIndex lists the chunks of one cold file.
type ArchiveIndex struct{ Locations []ChunkLocation }

// DigestQuery asks a store for the sums of a group's cold lines, one a bucket; with
// buckets named, for the digests of the ranges in these.
type DigestQuery struct {
	Group   uint32   `capnp:"group"`
	Buckets []uint32 `capnp:"buckets"`
}

// RangeDigest is the digest of one cold range.
type RangeDigest struct {
	Session string `capnp:"line"`
	First   uint64 `capnp:"first"`
	Last    uint64 `capnp:"last"`
	Digest  []byte `capnp:"digest"`
}

// DigestReply answers a DigestQuery.
type DigestReply struct {
	Ranges        []RangeDigest `capnp:"ranges"`
	BucketDigests []uint64      `capnp:"sums"`
}

// ReadArchiveQuery asks a store for its own cold events of a line.
type ReadArchiveQuery struct {
	Session string `capnp:"line"`
	After   uint64 `capnp:"after"`
	Through uint64 `capnp:"through"`
}
