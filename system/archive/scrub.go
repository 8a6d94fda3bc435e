package archive

import (
	"maps"
	"slices"
)

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
