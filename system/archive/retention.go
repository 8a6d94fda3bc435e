package archive

import (
	"fmt"
	"slices"
)

// Expire removes expired sessions from the index, and deletes the files that have no chunk left.
// A session expires when all its chunks have, by the clock of its group, unless retained reports
// that the replicated state still has it: its retention may have been extended since. A clock of 0
// means that this node has no replica of the group, and expires nothing.
//
//	err := archiveStore.Expire(node.clock, node.isRetained)
func (store *Store) Expire(clock func(group uint32) int64, retained func(sessionName string) bool) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.dropExpired(clock, retained)
	return store.removeEmptyFiles()
}

// dropExpired removes expired sessions from the index. It reads each group's clock once.
func (store *Store) dropExpired(clock func(group uint32) int64, retained func(sessionName string) bool) {
	clocks := map[uint32]int64{}
	unexpired := func(location chunkLocation) bool {
		now, known := clocks[location.group]
		if !known {
			now = clock(location.group)
			clocks[location.group] = now
		}
		return location.expiresAt > now
	}
	for sessionName, locations := range store.locations {
		if slices.ContainsFunc(locations, unexpired) || retained(sessionName) {
			continue
		}
		for _, location := range locations {
			store.liveChunks[location.file]--
		}
		store.setLocations(sessionName, locations[0].group, nil)
	}
}

// removeEmptyFiles deletes the files that have no chunks in the index.
func (store *Store) removeEmptyFiles() error {
	for number, count := range store.liveChunks {
		if count == 0 {
			if err := store.dir.Remove(fileName(number)); err != nil {
				return fmt.Errorf("remove archive file %s: %w", fileName(number), err)
			}
			delete(store.liveChunks, number)
		}
	}
	return nil
}
