package wire

import (
	"yardrock.example/system/sessionlog"
)

// ArchiveChunk is a run of archived events of one session, from sequence number First to
// Last. ExpiresAt is in Unix nanoseconds; the chunk may be deleted afterwards.
type ArchiveChunk struct {
	Group     uint32             `capnp:"group"`
	Session   string             `capnp:"line"`
	First     uint64             `capnp:"first"`
	Last      uint64             `capnp:"last"`
	ExpiresAt int64              `capnp:"expires"`
	Events    []sessionlog.Event `capnp:"events"`
}

// ArchiveChunkBatch carries chunks of any sessions and groups.
type ArchiveChunkBatch struct {
	Chunks []ArchiveChunk `capnp:"chunks"`
}

// ChunkLocation is where in an archive file a chunk is: Offset and Length in bytes, Checksum
// over those bytes. Digest identifies the content, wherever it is stored.
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

// DigestQuery asks a store for digests of a group's archive, to compare it with another
// replica's (anti-entropy): one for each bucket of sessions, or, with Buckets, one for each
// range in these buckets.
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

// DigestReply answers a DigestQuery with Ranges if it named buckets, else with BucketDigests.
type DigestReply struct {
	Ranges        []RangeDigest `capnp:"ranges"`
	BucketDigests []uint64      `capnp:"sums"`
}

// ReadArchiveQuery asks a store for the events of a session that its own archive has, after
// After and up to Through.
type ReadArchiveQuery struct {
	Session string `capnp:"line"`
	After   uint64 `capnp:"after"`
	Through uint64 `capnp:"through"`
}
