package archive

import (
	"maps"
	"slices"
)

// Scrub verifies the next maxChunks chunks or a few more, session by session, from where the
// last call ended. It takes damaged ones out of the index, so that repair finds the gap, and
// returns how many these are.
//
//	dropped := archiveStore.Scrub(256)
func (store *Store) Scrub(maxChunks int) (dropped int) {
	store.mutex.RLock()
	names := slices.Sorted(maps.Keys(store.locations))
	store.mutex.RUnlock()
	from, found := slices.BinarySearch(names, store.scrubCursor)
	if found {
		from++
	}
	checked := 0
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
			store.dropLocation(name, location)
		}
	}
	store.scrubCursor = "" // the next call begins again
	return dropped
}

// dropLocation takes one chunk out of the index. Expire may have done so since the chunk was
// read; it must not be counted off twice, or its file would be removed with chunks in use.
func (store *Store) dropLocation(name string, dropped chunkLocation) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	position := slices.Index(store.locations[name], dropped)
	if position < 0 {
		return
	}
	others := slices.Delete(slices.Clone(store.locations[name]), position, position+1)
	store.setLocations(name, dropped.group, others)
	store.liveChunks[dropped.file]--
}
