package wire

import (
	"yardrock.example/system/sessionlog"
)

// ArchiveChunk is a contiguous range of archived events of one session, from sequence number
// First to Last. ExpiresAt is in Unix nanoseconds; the chunk may be deleted after that time.
type ArchiveChunk struct {
	Group     uint32             `capnp:"group"`
	Session   string             `capnp:"line"`
	First     uint64             `capnp:"first"`
	Last      uint64             `capnp:"last"`
	ExpiresAt int64              `capnp:"expires"`
	Events    []sessionlog.Event `capnp:"events"`
}

// ArchiveChunkBatch carries chunks, which may belong to different sessions and groups.
type ArchiveChunkBatch struct {
	Chunks []ArchiveChunk `capnp:"chunks"`
}

// ChunkLocation is the position of a chunk in an archive file. Offset and Length are in bytes,
// and Checksum covers those bytes. Digest identifies the content independently of where it is
// stored.
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

// ArchiveIndex lists the chunks of one archive file.
type ArchiveIndex struct{ Locations []ChunkLocation }

// DigestQuery requests digests of a store's archive of a group, to compare it with that of
// another replica (anti-entropy): one per bucket of sessions or, with Buckets, one per range in
// these buckets.
type DigestQuery struct {
	Group   uint32   `capnp:"group"`
	Buckets []uint32 `capnp:"buckets"`
}

// RangeDigest is the digest of one archived range of a session, from First to Last.
type RangeDigest struct {
	Session string `capnp:"line"`
	First   uint64 `capnp:"first"`
	Last    uint64 `capnp:"last"`
	Digest  []byte `capnp:"digest"`
}

// DigestReply is the response to a DigestQuery. It has Ranges if the query named buckets,
// otherwise BucketDigests.
type DigestReply struct {
	Ranges        []RangeDigest `capnp:"ranges"`
	BucketDigests []uint64      `capnp:"sums"`
}

// ReadArchiveQuery requests the events of a session from a store's own archive, with sequence
// numbers greater than After and up to Through.
type ReadArchiveQuery struct {
	Session string `capnp:"line"`
	After   uint64 `capnp:"after"`
	Through uint64 `capnp:"through"`
}
