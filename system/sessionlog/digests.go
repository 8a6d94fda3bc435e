package sessionlog

import (
	"encoding/binary"
	"hash/fnv"
)

// bucketCount is the number of buckets into which a group's sessions are hashed. Replicas
// exchange digests by bucket number, so it must not change.
const bucketCount = 64

// BucketDigests are digests of how far a group's sessions are archived, one for each bucket.
// Two replicas compare their archives by them at a cost that does not grow with the number of
// sessions (anti-entropy). Equal digests mean equal progress but for collisions of 64 bits.
type BucketDigests [bucketCount]uint64

// BucketOf returns the bucket of a session, from 0 to 63.
//
//	bucket := sessionlog.BucketOf("team/c-1")
func BucketOf(name string) int { return int(hashNameSeq(name, 0) % bucketCount) }

// Toggle adds a session's archive progress to the digests, or removes it if it is in them. A
// session of which nothing is archived does not count.
//
//	digests.Toggle("team/c-1", 40)
func (digests *BucketDigests) Toggle(name string, archivedSeq uint64) {
	if archivedSeq > 0 {
		digests[BucketOf(name)] ^= hashNameSeq(name, archivedSeq)
	}
}

// hashNameSeq is a hash of a name and a number. All replicas must agree on it, whatever
// version of the program they run.
func hashNameSeq(name string, seq uint64) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	hash.Write(binary.BigEndian.AppendUint64(nil, seq))
	return hash.Sum64()
}

// ArchiveDigests returns the digests of how far the group's sessions are archived.
//
//	if view.ArchiveDigests() == store.BucketDigests(group) { ... }
func (view *View) ArchiveDigests() BucketDigests { return view.archiveDigests }
