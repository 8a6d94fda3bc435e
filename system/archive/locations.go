package archive

import (
	"cmp"
	"crypto/sha256"
	"slices"

	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
)

// chunkLocation is the location of a chunk: length bytes at an offset in a file.
type chunkLocation struct {
	file   uint64
	offset int64
	length int
	group  uint32
	// first and last are the sequence numbers of the chunk's first and last events.
	first uint64
	last  uint64
	// expiresAt is the end of the session's retention, as of when the chunk was archived, in
	// nanoseconds of the group's clock.
	expiresAt int64
	checksum  uint32
	digest    [sha256.Size]byte
}

// addLocation adds a chunk to the index. The caller must hold mutex, except in Open.
func (store *Store) addLocation(file uint64, location wire.ChunkLocation) {
	added := chunkLocation{
		file: file, offset: int64(location.Offset), length: int(location.Length), checksum: location.Checksum,
		group: location.Group, first: location.First, last: location.Last, expiresAt: location.ExpiresAt,
	}
	copy(added.digest[:], location.Digest)
	store.setLocations(location.Session, location.Group, append(slices.Clip(store.locations[location.Session]), added))
	store.liveChunks[file]++
}

// setLocations replaces the chunks of a session in the index, and updates the digests of its
// group. The caller must hold mutex, except in Open.
func (store *Store) setLocations(sessionName string, group uint32, locations []chunkLocation) {
	digests, found := store.digests[group]
	if !found {
		digests = &sessionlog.BucketDigests{}
		store.digests[group], store.sessionsByGroup[group] = digests, map[string]bool{}
	}
	digests.Toggle(sessionName, contiguousThrough(store.locations[sessionName]))
	if len(locations) == 0 {
		delete(store.locations, sessionName)
		delete(store.sessionsByGroup[group], sessionName)
		return
	}
	store.locations[sessionName] = locations
	store.sessionsByGroup[group][sessionName] = true
	digests.Toggle(sessionName, contiguousThrough(locations))
}

// contiguousThrough returns the sequence number up to which chunks have a session's events
// without a gap, starting from the first event; 0 without that event.
func contiguousThrough(locations []chunkLocation) uint64 {
	sorted, through := locations, uint64(0)
	byFirst := func(left, right chunkLocation) int { return cmp.Compare(left.first, right.first) }
	if !slices.IsSortedFunc(sorted, byFirst) {
		sorted = slices.SortedFunc(slices.Values(locations), byFirst)
	}
	for _, location := range sorted {
		if location.first > through+1 {
			break
		}
		through = max(through, location.last)
	}
	return through
}

// BucketDigests returns the digests of the sequence numbers up to which the sessions of a group
// are archived without a gap.
//
//	if archiveStore.BucketDigests(7) == view.ArchiveDigests() { ... }
func (store *Store) BucketDigests(group uint32) sessionlog.BucketDigests {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	if digests, found := store.digests[group]; found {
		return *digests
	}
	return sessionlog.BucketDigests{}
}

// RangeDigests returns the ranges and digests of all chunks of a group's sessions in the given
// buckets.
//
//	ranges := archiveStore.RangeDigests(7, []uint32{0, 12})
func (store *Store) RangeDigests(group uint32, buckets []uint32) []wire.RangeDigest {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	ranges := []wire.RangeDigest{}
	for sessionName := range store.sessionsByGroup[group] {
		if !slices.Contains(buckets, uint32(sessionlog.BucketOf(sessionName))) {
			continue
		}
		for _, location := range store.locations[sessionName] {
			ranges = append(ranges, wire.RangeDigest{Session: sessionName, First: location.first, Last: location.last, Digest: location.digest[:]})
		}
	}
	return ranges
}
