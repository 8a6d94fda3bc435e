package sessionlog

import (
	"encoding/binary"
	"hash/fnv"
)

// bucketCount is the number of buckets into which a group's sessions are hashed. Replicas
// exchange digests by bucket number, so it must not change.
const bucketCount = 64

// BucketDigests are digests of the archive progress of a group's sessions, one for each bucket.
// Replicas compare their archives by them (anti-entropy) at a cost that is independent of the
// number of sessions. Equal digests mean equal progress, except for 64-bit hash collisions.
type BucketDigests [bucketCount]uint64

// BucketOf returns the bucket of a session, from 0 to 63.
//
//	bucket := sessionlog.BucketOf("team/c-1")
func BucketOf(name string) int { return int(hashNameSeq(name, 0) % bucketCount) }

// Toggle adds a session's archive progress to the digests, or removes it if they include it. An
// archivedSeq of 0 has no effect.
//
//	digests.Toggle("team/c-1", 40)
func (digests *BucketDigests) Toggle(name string, archivedSeq uint64) {
	if archivedSeq > 0 {
		digests[BucketOf(name)] ^= hashNameSeq(name, archivedSeq)
	}
}

// hashNameSeq hashes a session name and a sequence number. All replicas must compute the same
// hash, also across versions of the program.
func hashNameSeq(name string, seq uint64) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	hash.Write(binary.BigEndian.AppendUint64(nil, seq))
	return hash.Sum64()
}

// ArchiveDigests returns the digests of the archive progress of the group's sessions.
//
//	if view.ArchiveDigests() == store.BucketDigests(group) { ... }
func (view *View) ArchiveDigests() BucketDigests { return view.archiveDigests }
