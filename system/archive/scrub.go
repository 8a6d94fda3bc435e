package archive

import (
	"maps"
	"slices"
)

// Scrub verifies the next chunks, starting where the previous call ended. It stops at the end of
// the session in which it reaches maxChunks. It removes damaged chunks from the index, so that
// repair finds the gap, and returns their number.
//
//	dropped := archiveStore.Scrub(256)
func (store *Store) Scrub(maxChunks int) (dropped int) {
	store.mutex.RLock()
	sessionNames := slices.Sorted(maps.Keys(store.locations))
	store.mutex.RUnlock()
	from, found := slices.BinarySearch(sessionNames, store.scrubCursor)
	if found {
		from++
	}
	checked := 0
	for _, sessionName := range sessionNames[from:] {
		if checked >= maxChunks {
			return dropped
		}
		store.scrubCursor = sessionName
		store.mutex.RLock()
		locations := store.locations[sessionName]
		store.mutex.RUnlock()
		for _, location := range locations {
			checked++
			if _, intact := store.readChunk(location); intact {
				continue
			}
			dropped++
			store.dropLocation(sessionName, location)
		}
	}
	store.scrubCursor = "" // the next call starts over
	return dropped
}

// dropLocation removes one chunk from the index. It does nothing if Expire has removed the chunk
// since it was read: decrementing liveChunks twice would delete a file with live chunks.
func (store *Store) dropLocation(sessionName string, dropped chunkLocation) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	position := slices.Index(store.locations[sessionName], dropped)
	if position < 0 {
		return
	}
	others := slices.Delete(slices.Clone(store.locations[sessionName]), position, position+1)
	store.setLocations(sessionName, dropped.group, others)
	store.liveChunks[dropped.file]--
}
