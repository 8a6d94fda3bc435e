package archive

import (
	"slices"
)

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
