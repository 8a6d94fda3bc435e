package sessionlog

import (
	"encoding/binary"
	"hash/fnv"
)

// BucketCount is how many digests a group's lines are cut into.
const BucketCount = 64

// Sums are digests over a group's lines, one a bucket of them.
type BucketDigests [BucketCount]uint64

// BucketOf tells in which bucket a line is.
//
//	bucket := line.BucketOf("team/c-1")
func BucketOf(name string) int { return int(hashNumbered(name, 0) % BucketCount) }

// Toggle puts a line's archive progress into the sums, or takes it out again.
//
//	sums.Toggle("team/c-1", 40)
func (digests *BucketDigests) Toggle(name string, archived uint64) {
	if archived > 0 {
		digests[BucketOf(name)] ^= hashNumbered(name, archived)
	}
}

func hashNumbered(name string, number uint64) uint64 {
	digest := fnv.New64a()
	digest.Write([]byte(name))
	digest.Write(binary.BigEndian.AppendUint64(nil, number))
	return digest.Sum64()
}

// Sums gives the digests of how far the group's lines are archived.
//
//	if view.Sums() == told { ... }
func (view *View) ArchiveDigests() BucketDigests { return view.archiveDigests }
