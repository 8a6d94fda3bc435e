// Package coldstore keeps archived runs of events on a store node's own disk.
// One Put is one file and one sync, whatever number of lines it holds. A file
// begins with an index of its chunks, so that opening reads no events.
package coldstore

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
	"yardrock.example/system/files"
	"yardrock.example/system/line"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	prefix      = "cold-"
	frameHeader = 8
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

type place struct {
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
	folder files.Directory
	// writing lets one Put write at a time, and guards next; mutex guards what is known,
	// and is never held while the disk works, so that reads go on while a sync is slow.
	writing sync.Mutex
	mutex   sync.RWMutex
	lines   map[string][]place
	living  map[uint64]int // how many chunks of each file still count
	// sums are digests of how far each line is here without a hole, by group; byGroup
	// names the lines of a group.
	sums    map[uint32]*line.Sums
	byGroup map[uint32]map[string]bool
	next    uint64
	// scrubbed is the line that Scrub came to; only Scrub's caller touches it.
	scrubbed string
}

// Open reads the index of each file. A file whose index was torn was never
// confirmed and is left out; what it should hold is fetched anew by repair.
//
//	cold, err := coldstore.Open(folder)
func Open(folder files.Directory) (*Store, error) {
	store := &Store{folder: folder, lines: map[string][]place{}, living: map[uint64]int{}, sums: map[uint32]*line.Sums{}, byGroup: map[uint32]map[string]bool{}, next: 1}
	names, err := folder.List()
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		digits, isCold := strings.CutPrefix(name, prefix)
		number, err := strconv.ParseUint(digits, 10, 64)
		if !isCold || err != nil {
			continue
		}
		store.next = max(store.next, number+1)
		store.living[number] = 0
		for _, at := range store.readIndex(name) {
			store.add(number, at)
		}
	}
	return store, nil
}

func fileName(number uint64) string { return fmt.Sprintf("%s%020d", prefix, number) }

func (store *Store) readIndex(name string) []wire.ColdPlace {
	header, err := store.folder.ReadRange(name, 0, frameHeader)
	if err != nil {
		return nil
	}
	body, err := store.folder.ReadRange(name, frameHeader, int(binary.LittleEndian.Uint32(header)))
	if err != nil || crc32.Checksum(body, checksums) != binary.LittleEndian.Uint32(header[4:]) {
		return nil
	}
	var index wire.ColdIndex
	if err := wire.Decode(schema.ColdIndex_TypeID, body, &index); err != nil {
		return nil
	}
	return index.Places
}

func (store *Store) add(file uint64, at wire.ColdPlace) {
	made := place{file: file, offset: int64(at.Offset), length: int(at.Length), group: at.Group, first: at.First, last: at.Last, expires: at.Expires, sum: at.Checksum}
	copy(made.digest[:], at.Digest)
	store.setPlaces(at.Line, at.Group, append(slices.Clip(store.lines[at.Line]), made))
	store.living[file]++
}

// setPlaces replaces where a line's chunks are, and brings its group's sums up to date.
func (store *Store) setPlaces(name string, group uint32, places []place) {
	sums, found := store.sums[group]
	if !found {
		sums = &line.Sums{}
		store.sums[group], store.byGroup[group] = sums, map[string]bool{}
	}
	sums.Toggle(name, reached(store.lines[name]))
	if len(places) == 0 {
		delete(store.lines, name)
		delete(store.byGroup[group], name)
		return
	}
	store.lines[name] = places
	store.byGroup[group][name] = true
	sums.Toggle(name, reached(places))
}

// reached tells up to which seq places hold a line without a hole.
func reached(places []place) uint64 {
	sorted, through := places, uint64(0)
	byFirst := func(left, right place) int { return cmp.Compare(left.first, right.first) }
	if !slices.IsSortedFunc(sorted, byFirst) {
		sorted = slices.SortedFunc(slices.Values(places), byFirst)
	}
	for _, at := range sorted {
		if at.first > through+1 {
			break
		}
		through = max(through, at.last)
	}
	return through
}

// Sums gives the digests of how far a group's lines are here, one a bucket.
//
//	if cold.Sums(7) == view.Sums() { ... }
func (store *Store) Sums(group uint32) line.Sums {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	if sums, found := store.sums[group]; found {
		return *sums
	}
	return line.Sums{}
}

// readChunk reads a chunk's events; a damaged or missing one is a gap.
func (store *Store) readChunk(at place) (wire.ColdChunk, bool) {
	body, err := store.folder.ReadRange(fileName(at.file), at.offset, at.length)
	if err != nil || crc32.Checksum(body, checksums) != at.sum {
		return wire.ColdChunk{}, false
	}
	var batch wire.ColdChunkBatch
	if err := wire.Decode(schema.ColdChunkBatch_TypeID, body, &batch); err != nil || len(batch.Chunks) != 1 {
		return wire.ColdChunk{}, false
	}
	return batch.Chunks[0], true
}

// Covers tells whether a chunk's range is here, as part of one.
//
//	if cold.Covers(wire.ColdChunk{Line: "team/c-1", First: 1, Last: 9}) { ... }
func (store *Store) Covers(chunk wire.ColdChunk) bool {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	return slices.ContainsFunc(store.lines[chunk.Line], func(at place) bool { return at.first <= chunk.First && at.last >= chunk.Last })
}

// Put stores chunks and returns once they last. What is there already is not
// written again.
//
//	err := cold.Put([]wire.ColdChunk{{Line: "team/c-1", First: 1, Last: 9, Events: events}})
func (store *Store) Put(chunks []wire.ColdChunk) error {
	store.writing.Lock()
	defer store.writing.Unlock()
	var bodies []byte
	index := wire.ColdIndex{}
	for _, chunk := range chunks {
		if store.Covers(chunk) {
			continue
		}
		body, err := wire.Encode(schema.ColdChunkBatch_TypeID, &wire.ColdChunkBatch{Chunks: []wire.ColdChunk{chunk}})
		if err != nil {
			return err
		}
		digest := sha256.Sum256(body)
		index.Places = append(index.Places, wire.ColdPlace{Group: chunk.Group, Line: chunk.Line, First: chunk.First, Last: chunk.Last, Expires: chunk.Expires,
			Offset: uint64(len(bodies)), Length: uint32(len(body)), Checksum: crc32.Checksum(body, checksums), Digest: digest[:]})
		bodies = append(bodies, body...)
	}
	if len(index.Places) == 0 {
		return nil
	}
	// The index has the same size whatever the offsets are.
	size := uint64(frameHeader + len(wire.MustEncode(schema.ColdIndex_TypeID, &index)))
	for position := range index.Places {
		index.Places[position].Offset += size
	}
	head := wire.MustEncode(schema.ColdIndex_TypeID, &index)
	data := binary.LittleEndian.AppendUint32(nil, uint32(len(head)))
	data = binary.LittleEndian.AppendUint32(data, crc32.Checksum(head, checksums))
	data = append(append(data, head...), bodies...)
	number := store.next
	store.next++
	if err := store.folder.WriteAt(fileName(number), 0, data); err != nil {
		return apierror.New(apierror.DiskUnavailable, "the cold store took no write: "+err.Error(), "free space on the disk or replace it")
	}
	if err := store.folder.Sync(fileName(number)); err != nil {
		return apierror.New(apierror.DiskUnavailable, "the cold store could not sync: "+err.Error(), "free space on the disk or replace it")
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, at := range index.Places {
		store.add(number, at)
	}
	return nil
}

// Read gives the events of a line after one seq and through another, as far as
// this store has them; there may be gaps.
//
//	events, err := cold.Read("team/c-1", 0, 9)
func (store *Store) Read(name string, after, through uint64) ([]line.Event, error) {
	store.mutex.RLock()
	places := store.lines[name]
	store.mutex.RUnlock()
	found := map[uint64]line.Event{}
	for _, at := range places {
		if at.last <= after || at.first > through {
			continue
		}
		chunk, whole := store.readChunk(at)
		if !whole {
			continue
		}
		for _, event := range chunk.Events {
			if event.Seq > after && event.Seq <= through {
				found[event.Seq] = event
			}
		}
	}
	events := make([]line.Event, 0, len(found))
	for _, event := range found {
		events = append(events, event)
	}
	slices.SortFunc(events, func(left, right line.Event) int { return int(left.Seq) - int(right.Seq) })
	return events, nil
}

// Digests lists the ranges of some buckets of a group with their digests.
//
//	ranges := cold.Digests(7, []uint32{0, 12})
func (store *Store) Digests(group uint32, buckets []uint32) []wire.RangeDigest {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	ranges := []wire.RangeDigest{}
	for name := range store.byGroup[group] {
		if !slices.Contains(buckets, uint32(line.BucketOf(name))) {
			continue
		}
		for _, at := range store.lines[name] {
			ranges = append(ranges, wire.RangeDigest{Line: name, First: at.first, Last: at.last, Digest: at.digest[:]})
		}
	}
	return ranges
}

// Expire forgets chunks whose keeping time is over by their group's clock and
// removes files in which nothing counts any more. Live tells whether a line is still
// kept by its group. A group that has no clock here keeps what it has.
//
//	err := cold.Expire(clock, func(name string) bool { return known(name) })
func (store *Store) Expire(clock func(group uint32) int64, live func(name string) bool) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	clocks := map[uint32]int64{}
	kept := func(at place) bool {
		now, known := clocks[at.group]
		if !known {
			now = clock(at.group)
			clocks[at.group] = now
		}
		return at.expires > now
	}
	for name, places := range store.lines {
		if slices.ContainsFunc(places, kept) || live(name) {
			continue
		}
		for _, at := range places {
			store.living[at.file]--
		}
		store.setPlaces(name, places[0].group, nil)
	}
	for number, count := range store.living {
		if count == 0 {
			if err := store.folder.Remove(fileName(number)); err != nil {
				return err
			}
			delete(store.living, number)
		}
	}
	return nil
}

// Scrub reads the next so many chunks again and drops from the index what has
// rotted, so that repair finds the hole.
//
//	dropped := cold.Scrub(256)
func (store *Store) Scrub(most int) int {
	store.mutex.RLock()
	names := slices.Sorted(maps.Keys(store.lines))
	store.mutex.RUnlock()
	from, found := slices.BinarySearch(names, store.scrubbed)
	if found {
		from++
	}
	dropped, read := 0, 0
	for _, name := range names[from:] {
		if read >= most {
			return dropped
		}
		store.scrubbed = name
		store.mutex.RLock()
		places := store.lines[name]
		store.mutex.RUnlock()
		for _, at := range places {
			read++
			if _, whole := store.readChunk(at); whole {
				continue
			}
			dropped++
			store.mutex.Lock()
			store.setPlaces(name, at.group, slices.DeleteFunc(slices.Clone(store.lines[name]), func(one place) bool { return one == at }))
			store.living[at.file]--
			store.mutex.Unlock()
		}
	}
	store.scrubbed = "" // begin anew with the next call
	return dropped
}
