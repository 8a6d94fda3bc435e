// Package archive keeps the archived events of sessions on a store node's own disk: the cold
// tier of the Starcite paper's read path.
//
// Events are stored in chunks, each a run of events of one session. Each Put writes one file
// and syncs it once, however many sessions it holds; files are never changed, and removed once
// none of their chunks is needed any more. A file begins with an index of its chunks, so that
// Open reads no events.
//
// Guarantees:
//
//   - A chunk is durable once Put has returned.
//   - Chunks are verified by a checksum whenever they are read. A damaged one reads as missing,
//     and Scrub takes it out of the index, so that package store's repair fetches it again from
//     a peer. Read may therefore return a range with gaps; the caller checks.
//   - Put is idempotent: a range that one chunk covers is not written again.
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

// Store is an open archive. Its methods may be called from any goroutine, but for Scrub, which
// one at a time may call.
type Store struct {
	folder vfs.Directory
	// writeMutex lets one Put write at a time, and guards nextFile. mutex guards the index
	// below and is never held while events are read or written, so that reads go on while a
	// sync is slow.
	writeMutex sync.Mutex
	mutex      sync.RWMutex
	// nextFile is the number of the next file to write.
	nextFile uint64
	// locations has the chunks of each session. A slice is replaced, never changed.
	locations map[string][]chunkLocation
	// liveChunks counts the chunks of each file that are in locations.
	liveChunks map[uint64]int
	// digests are digests, by group, of how far each session is here without a gap, as in
	// sessionlog.View.ArchiveDigests.
	digests map[uint32]*sessionlog.BucketDigests
	// sessionsByGroup has the names of a group's sessions in locations.
	sessionsByGroup map[uint32]map[string]bool
	// scrubCursor is the session that Scrub verified last; only Scrub touches it.
	scrubCursor string
}

// Open reads the index of each file in a folder. A file whose index is torn or damaged counts
// as empty: its Put was never confirmed, or repair fetches its chunks again.
//
//	archiveStore, err := archive.Open(folder)
func Open(folder vfs.Directory) (*Store, error) {
	store := &Store{
		folder: folder, nextFile: 1, locations: map[string][]chunkLocation{}, liveChunks: map[uint64]int{},
		digests: map[uint32]*sessionlog.BucketDigests{}, sessionsByGroup: map[uint32]map[string]bool{},
	}
	names, err := folder.List()
	if err != nil {
		return nil, fmt.Errorf("list the files of the archive: %w", err)
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

// Put stores chunks and returns once they are synced. A range that is here already is not
// written again. If the disk fails, the error is of kind apierror.DiskUnavailable, and none of
// the chunks counts as stored.
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

// Read returns the events of a session after one sequence number and through another, in
// order, as far as they are here; there may be gaps.
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
	return inOrder(bySeq)
}

// Covers tells whether a chunk's range is here as part of one chunk.
//
//	if archiveStore.Covers(wire.ArchiveChunk{Session: "team/c-1", First: 1, Last: 9}) { ... }
func (store *Store) Covers(chunk wire.ArchiveChunk) bool {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	return slices.ContainsFunc(store.locations[chunk.Session], func(location chunkLocation) bool {
		return location.first <= chunk.First && location.last >= chunk.Last
	})
}
