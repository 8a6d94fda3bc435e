// Package coldstore keeps archived runs of events on a store node's own disk.
// One Put is one file and one sync, whatever number of lines it holds. A file
// begins with an index of its chunks, so that opening reads no events.
package archive

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/crc32"
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

var checksums = crc32.MakeTable(crc32.Castagnoli)

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

// Covers tells whether a chunk's range is here, as part of one.
//
//	if cold.Covers(wire.ArchiveChunk{Line: "team/c-1", First: 1, Last: 9}) { ... }
func (store *Store) Covers(chunk wire.ArchiveChunk) bool {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	return slices.ContainsFunc(store.locations[chunk.Session], func(location chunkLocation) bool { return location.first <= chunk.First && location.last >= chunk.Last })
}
