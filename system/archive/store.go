// Package coldstore keeps archived runs of events on a store node's own disk.
// One Put is one file and one sync, whatever number of lines it holds. A file
// begins with an index of its chunks, so that opening reads no events.
package archive

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/vfs"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	filePrefix  = "cold-"
	frameHeader = 8
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

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

// Store is an open cold store.
type Store struct {
	folder vfs.Directory
	// writeMutex lets one Put write at a time, and guards next; mutex guards what is known,
	// and is never held while the disk works, so that reads go on while a sync is slow.
	writeMutex sync.Mutex
	mutex      sync.RWMutex
	locations  map[string][]chunkLocation
	liveChunks map[uint64]int // how many chunks of each file still count
	// digests are digests of how far each line is here without a hole, by group; sessionsByGroup
	// names the lines of a group.
	digests         map[uint32]*sessionlog.BucketDigests
	sessionsByGroup map[uint32]map[string]bool
	nextFile        uint64
	// scrubCursor is the line that Scrub came to; only Scrub's caller touches it.
	scrubCursor string
}

// Open reads the index of each file. A file whose index was torn was never
// confirmed and is left out; what it should hold is fetched anew by repair.
//
//	cold, err := coldstore.Open(folder)
func Open(folder vfs.Directory) (*Store, error) {
	store := &Store{folder: folder, locations: map[string][]chunkLocation{}, liveChunks: map[uint64]int{}, digests: map[uint32]*sessionlog.BucketDigests{}, sessionsByGroup: map[uint32]map[string]bool{}, nextFile: 1}
	names, err := folder.List()
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		digits, isArchiveFile := strings.CutPrefix(name, filePrefix)
		number, err := strconv.ParseUint(digits, 10, 64)
		if !isArchiveFile || err != nil {
			continue
		}
		store.nextFile = max(store.nextFile, number+1)
		store.liveChunks[number] = 0
		for _, location := range store.readIndex(name) {
			store.addLocation(number, location)
		}
	}
	return store, nil
}

func fileName(number uint64) string { return fmt.Sprintf("%s%020d", filePrefix, number) }

func (store *Store) readIndex(name string) []wire.ChunkLocation {
	header, err := store.folder.ReadRange(name, 0, frameHeader)
	if err != nil {
		return nil
	}
	body, err := store.folder.ReadRange(name, frameHeader, int(binary.LittleEndian.Uint32(header)))
	if err != nil || crc32.Checksum(body, checksums) != binary.LittleEndian.Uint32(header[4:]) {
		return nil
	}
	var index wire.ArchiveIndex
	if err := wire.Decode(schema.ColdIndex_TypeID, body, &index); err != nil {
		return nil
	}
	return index.Locations
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

// readChunk reads a chunk's events; a damaged or missing one is a gap.
func (store *Store) readChunk(location chunkLocation) (wire.ArchiveChunk, bool) {
	body, err := store.folder.ReadRange(fileName(location.file), location.offset, location.length)
	if err != nil || crc32.Checksum(body, checksums) != location.sum {
		return wire.ArchiveChunk{}, false
	}
	var batch wire.ArchiveChunkBatch
	if err := wire.Decode(schema.ColdChunkBatch_TypeID, body, &batch); err != nil || len(batch.Chunks) != 1 {
		return wire.ArchiveChunk{}, false
	}
	return batch.Chunks[0], true
}

// Covers tells whether a chunk's range is here, as part of one.
//
//	if cold.Covers(wire.ArchiveChunk{Line: "team/c-1", First: 1, Last: 9}) { ... }
func (store *Store) Covers(chunk wire.ArchiveChunk) bool {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	return slices.ContainsFunc(store.locations[chunk.Session], func(location chunkLocation) bool { return location.first <= chunk.First && location.last >= chunk.Last })
}

// Put stores chunks and returns once they last. What is there already is not
// written again.
//
//	err := cold.Put([]wire.ArchiveChunk{{Line: "team/c-1", First: 1, Last: 9, Events: events}})
func (store *Store) Put(chunks []wire.ArchiveChunk) error {
	store.writeMutex.Lock()
	defer store.writeMutex.Unlock()
	var bodies []byte
	index := wire.ArchiveIndex{}
	for _, chunk := range chunks {
		if store.Covers(chunk) {
			continue
		}
		body, err := wire.Encode(schema.ColdChunkBatch_TypeID, &wire.ArchiveChunkBatch{Chunks: []wire.ArchiveChunk{chunk}})
		if err != nil {
			return err
		}
		digest := sha256.Sum256(body)
		index.Locations = append(index.Locations, wire.ChunkLocation{Group: chunk.Group, Session: chunk.Session, First: chunk.First, Last: chunk.Last, ExpiresAt: chunk.ExpiresAt,
			Offset: uint64(len(bodies)), Length: uint32(len(body)), Checksum: crc32.Checksum(body, checksums), Digest: digest[:]})
		bodies = append(bodies, body...)
	}
	if len(index.Locations) == 0 {
		return nil
	}
	// The index has the same size whatever the offsets are.
	size := uint64(frameHeader + len(wire.MustEncode(schema.ColdIndex_TypeID, &index)))
	for position := range index.Locations {
		index.Locations[position].Offset += size
	}
	encodedIndex := wire.MustEncode(schema.ColdIndex_TypeID, &index)
	data := binary.LittleEndian.AppendUint32(nil, uint32(len(encodedIndex)))
	data = binary.LittleEndian.AppendUint32(data, crc32.Checksum(encodedIndex, checksums))
	data = append(append(data, encodedIndex...), bodies...)
	number := store.nextFile
	store.nextFile++
	if err := store.folder.WriteAt(fileName(number), 0, data); err != nil {
		return apierror.New(apierror.DiskUnavailable, "the cold store took no write: "+err.Error(), "free space on the disk or replace it")
	}
	if err := store.folder.Sync(fileName(number)); err != nil {
		return apierror.New(apierror.DiskUnavailable, "the cold store could not sync: "+err.Error(), "free space on the disk or replace it")
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, location := range index.Locations {
		store.addLocation(number, location)
	}
	return nil
}

// Read gives the events of a line after one seq and through another, as far as
// this store has them; there may be gaps.
//
//	events, err := cold.Read("team/c-1", 0, 9)
func (store *Store) Read(name string, after, through uint64) ([]sessionlog.Event, error) {
	store.mutex.RLock()
	locations := store.locations[name]
	store.mutex.RUnlock()
	found := map[uint64]sessionlog.Event{}
	for _, location := range locations {
		if location.last <= after || location.first > through {
			continue
		}
		chunk, intact := store.readChunk(location)
		if !intact {
			continue
		}
		for _, event := range chunk.Events {
			if event.Seq > after && event.Seq <= through {
				found[event.Seq] = event
			}
		}
	}
	events := make([]sessionlog.Event, 0, len(found))
	for _, event := range found {
		events = append(events, event)
	}
	slices.SortFunc(events, func(left, right sessionlog.Event) int { return int(left.Seq) - int(right.Seq) })
	return events, nil
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

// Expire forgets chunks whose keeping time is over by their group's clock and
// removes files in which nothing counts any more. Live tells whether a line is still
// kept by its group. A group that has no clock here keeps what it has.
//
//	err := cold.Expire(clock, func(name string) bool { return known(name) })
func (store *Store) Expire(clock func(group uint32) int64, retained func(name string) bool) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	clocks := map[uint32]int64{}
	unexpired := func(location chunkLocation) bool {
		now, known := clocks[location.group]
		if !known {
			now = clock(location.group)
			clocks[location.group] = now
		}
		return location.expires > now
	}
	for name, locations := range store.locations {
		if slices.ContainsFunc(locations, unexpired) || retained(name) {
			continue
		}
		for _, location := range locations {
			store.liveChunks[location.file]--
		}
		store.setLocations(name, locations[0].group, nil)
	}
	for number, count := range store.liveChunks {
		if count == 0 {
			if err := store.folder.Remove(fileName(number)); err != nil {
				return err
			}
			delete(store.liveChunks, number)
		}
	}
	return nil
}

// Scrub reads the next so many chunks again and drops from the index what has
// rotted, so that repair finds the hole.
//
//	dropped := cold.Scrub(256)
func (store *Store) Scrub(maxChunks int) int {
	store.mutex.RLock()
	names := slices.Sorted(maps.Keys(store.locations))
	store.mutex.RUnlock()
	from, found := slices.BinarySearch(names, store.scrubCursor)
	if found {
		from++
	}
	dropped, checked := 0, 0
	for _, name := range names[from:] {
		if checked >= maxChunks {
			return dropped
		}
		store.scrubCursor = name
		store.mutex.RLock()
		locations := store.locations[name]
		store.mutex.RUnlock()
		for _, location := range locations {
			checked++
			if _, intact := store.readChunk(location); intact {
				continue
			}
			dropped++
			store.mutex.Lock()
			store.setLocations(name, location.group, slices.DeleteFunc(slices.Clone(store.locations[name]), func(one chunkLocation) bool { return one == location }))
			store.liveChunks[location.file]--
			store.mutex.Unlock()
		}
	}
	store.scrubCursor = "" // begin anew with the next call
	return dropped
}
