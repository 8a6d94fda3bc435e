// Package archive stores the archived events of sessions on a store node's disk: the cold tier
// of the Starcite paper's read path, hence "cold" in the names of files and wire messages.
//
// Events are stored in chunks of consecutive events of one session. Each Put writes one file,
// however many sessions it contains. Files are immutable, and are deleted once none of their
// chunks is in use. A file begins with an index of its chunks, so that Open reads no events.
//
// Guarantees:
//
//   - A chunk is durable once Put has returned.
//   - Every read of a chunk verifies its checksum. A damaged chunk is treated as missing, and
//     Scrub removes it from the index, so that package store fetches it again from a peer. Read
//     may therefore return a range with gaps; the caller must check.
//   - Put is idempotent: a range that an existing chunk covers is not written again.
package archive

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"yardrock.example/system/sessionlog"
	"yardrock.example/system/vfs"
	"yardrock.example/system/wire"
)

// Store is an open archive. It is safe for concurrent use, except that calls of Scrub must not
// overlap.
type Store struct {
	dir vfs.Directory
	// writeMutex serializes Put and guards nextFile. mutex guards the index below and is not
	// held while events are read or written, so that a slow sync does not block reads.
	writeMutex sync.Mutex
	mutex      sync.RWMutex
	// nextFile is the number of the next file to write.
	nextFile uint64
	// locations has the chunks of each session. Slices are replaced, never modified.
	locations map[string][]chunkLocation
	// liveChunks is the number of chunks in locations, by file.
	liveChunks map[uint64]int
	// digests has, by group, digests of the sequence number up to which each session is archived
	// without a gap, comparable with sessionlog.View.ArchiveDigests.
	digests map[uint32]*sessionlog.BucketDigests
	// sessionsByGroup is the set of sessions in locations, by group.
	sessionsByGroup map[uint32]map[string]bool
	// scrubCursor is the session that Scrub verified last; only Scrub accesses it.
	scrubCursor string
}

// Open reads the index of each file in a directory. A file whose index is torn or damaged is
// treated as empty: either its Put did not return, or repair fetches its chunks again.
//
//	archiveStore, err := archive.Open(dir)
func Open(dir vfs.Directory) (*Store, error) {
	store := &Store{
		dir: dir, nextFile: 1, locations: map[string][]chunkLocation{}, liveChunks: map[uint64]int{},
		digests: map[uint32]*sessionlog.BucketDigests{}, sessionsByGroup: map[uint32]map[string]bool{},
	}
	names, err := dir.List()
	if err != nil {
		return nil, fmt.Errorf("list archive files: %w", err)
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

// Put stores chunks and returns once they are synced. A range that an existing chunk covers is
// not written again. If the disk fails, the error is of kind apierror.DiskUnavailable and none
// of the chunks is added.
//
//	err := archiveStore.Put([]wire.ArchiveChunk{{Session: "team/c-1", First: 1, Last: 9, Events: events}})
func (store *Store) Put(chunks []wire.ArchiveChunk) error {
	store.writeMutex.Lock()
	defer store.writeMutex.Unlock()
	chunks = slices.DeleteFunc(slices.Clone(chunks), store.Covers)
	if len(chunks) == 0 {
		return nil
	}
	number := store.nextFile
	store.nextFile++
	locations, err := store.writeFile(number, chunks)
	if err != nil {
		return err
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, location := range locations {
		store.addLocation(number, location)
	}
	return nil
}

// Read returns the events of a session with sequence numbers after+1 to through, in order. Events
// that are missing or damaged are left out.
//
//	events := archiveStore.Read("team/c-1", 0, 9)
func (store *Store) Read(sessionName string, after, through uint64) []sessionlog.Event {
	store.mutex.RLock()
	locations := store.locations[sessionName]
	store.mutex.RUnlock()
	bySeq := map[uint64]sessionlog.Event{} // chunks may overlap
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
				bySeq[event.Seq] = event
			}
		}
	}
	return sortedBySeq(bySeq)
}

// Covers reports whether a single stored chunk covers the range of a chunk.
//
//	if archiveStore.Covers(wire.ArchiveChunk{Session: "team/c-1", First: 1, Last: 9}) { ... }
func (store *Store) Covers(chunk wire.ArchiveChunk) bool {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	return slices.ContainsFunc(store.locations[chunk.Session], func(location chunkLocation) bool {
		return location.first <= chunk.First && location.last >= chunk.Last
	})
}
