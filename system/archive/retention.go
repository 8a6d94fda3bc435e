package archive

import (
	"fmt"
	"slices"
)

// Expire drops the sessions whose retention is over, and removes the files of which no chunk is
// needed any more. A session expires by its chunks and the clock of its group, unless retained
// reports that the group still has it, as it may have been changed since. A group without a
// clock here (0) keeps what it has.
//
//	err := archiveStore.Expire(node.clock, node.isRetained)
func (store *Store) Expire(clock func(group uint32) int64, retained func(name string) bool) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.dropExpired(clock, retained)
	return store.removeEmptyFiles()
}

// dropExpired takes expired sessions out of the index. It asks for each clock once.
func (store *Store) dropExpired(clock func(group uint32) int64, retained func(name string) bool) {
	clocks := map[uint32]int64{}
	unexpired := func(location chunkLocation) bool {
		now, known := clocks[location.group]
		if !known {
			now = clock(location.group)
			clocks[location.group] = now
		}
		return location.expiresAt > now
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
}

// removeEmptyFiles removes the files without chunks in the index.
func (store *Store) removeEmptyFiles() error {
	for number, count := range store.liveChunks {
		if count == 0 {
			if err := store.folder.Remove(fileName(number)); err != nil {
				return fmt.Errorf("remove %s from the archive: %w", fileName(number), err)
			}
			delete(store.liveChunks, number)
		}
	}
	return nil
}
