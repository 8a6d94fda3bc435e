package archive

import (
	"cmp"
	"crypto/sha256"
	"slices"

	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
)

type chunkLocation struct {
	file    uint64
	offset  int64
	length  int
	group   uint32
	first   uint64
	last    uint64
	expires int64
	sum     uint32
	digest  [sha256.Size]byte
}

func (store *Store) addLocation(file uint64, location wire.ChunkLocation) {
	made := chunkLocation{file: file, offset: int64(location.Offset), length: int(location.Length), group: location.Group, first: location.First, last: location.Last, expires: location.ExpiresAt, sum: location.Checksum}
	copy(made.digest[:], location.Digest)
	store.setLocations(location.Session, location.Group, append(slices.Clip(store.locations[location.Session]), made))
	store.liveChunks[file]++
}

// setLocations replaces where a line's chunks are, and brings its group's sums up to date.
func (store *Store) setLocations(name string, group uint32, locations []chunkLocation) {
	sums, found := store.digests[group]
	if !found {
		sums = &sessionlog.BucketDigests{}
		store.digests[group], store.sessionsByGroup[group] = sums, map[string]bool{}
	}
	sums.Toggle(name, contiguousThrough(store.locations[name]))
	if len(locations) == 0 {
		delete(store.locations, name)
		delete(store.sessionsByGroup[group], name)
		return
	}
	store.locations[name] = locations
	store.sessionsByGroup[group][name] = true
	sums.Toggle(name, contiguousThrough(locations))
}

// contiguousThrough tells up to which seq places hold a line without a hole.
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

// BucketDigests gives the digests of how far a group's lines are here, one a bucket.
//
//	if cold.BucketDigests(7) == view.BucketDigests() { ... }
func (store *Store) BucketDigests(group uint32) sessionlog.BucketDigests {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	if sums, found := store.digests[group]; found {
		return *sums
	}
	return sessionlog.BucketDigests{}
}

// RangeDigests lists the ranges of some buckets of a group with their digests.
//
//	ranges := cold.RangeDigests(7, []uint32{0, 12})
func (store *Store) RangeDigests(group uint32, buckets []uint32) []wire.RangeDigest {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	ranges := []wire.RangeDigest{}
	for name := range store.sessionsByGroup[group] {
		if !slices.Contains(buckets, uint32(sessionlog.BucketOf(name))) {
			continue
		}
		for _, location := range store.locations[name] {
			ranges = append(ranges, wire.RangeDigest{Session: name, First: location.first, Last: location.last, Digest: location.digest[:]})
		}
	}
	return ranges
}
