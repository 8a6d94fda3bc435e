// Package coldstore keeps archived runs of events on a store node's own disk.
// One Put is one file and one sync, whatever number of lines it holds.
package coldstore

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"yardrock.example/system/files"
	"yardrock.example/system/line"
	"yardrock.example/system/mishap"
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
	digest  [sha256.Size]byte
}

// Store is an open cold store.
type Store struct {
	folder files.Folder
	mutex  sync.RWMutex
	lines  map[string][]place
	living map[uint64]int // how many chunks of each file still count
	next   uint64
}

// Open reads the index from the files that are there. A chunk that does not
// match its checksum is left out, so that repair fetches it anew.
//
//	cold, err := coldstore.Open(folder)
func Open(folder files.Folder) (*Store, error) {
	store := &Store{folder: folder, lines: map[string][]place{}, living: map[uint64]int{}, next: 1}
	names, err := folder.Names()
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		digits, isCold := strings.CutPrefix(name, prefix)
		number, err := strconv.ParseUint(digits, 10, 64)
		if !isCold || err != nil {
			continue
		}
		data, err := folder.ReadFile(name)
		if err != nil {
			return nil, err
		}
		store.next = max(store.next, number+1)
		store.index(number, data)
	}
	return store, nil
}

func fileName(number uint64) string { return fmt.Sprintf("%s%020d", prefix, number) }

func (store *Store) index(number uint64, data []byte) {
	offset := 0
	for offset+frameHeader <= len(data) {
		length := int(binary.LittleEndian.Uint32(data[offset:]))
		end := offset + frameHeader + length
		if end > len(data) {
			return
		}
		body := data[offset+frameHeader : end]
		if chunk, err := decodeChunk(binary.LittleEndian.Uint32(data[offset+4:]), body); err == nil {
			store.add(chunk, place{file: number, offset: int64(offset), length: frameHeader + length, digest: sha256.Sum256(body)})
		}
		offset = end
	}
}

func (store *Store) add(chunk wire.ColdChunk, at place) {
	at.group, at.first, at.last, at.expires = chunk.Group, chunk.First, chunk.Last, chunk.Expires
	store.lines[chunk.Line] = append(slices.Clip(store.lines[chunk.Line]), at)
	store.living[at.file]++
}

func decodeChunk(checksum uint32, body []byte) (wire.ColdChunk, error) {
	if crc32.Checksum(body, checksums) != checksum {
		return wire.ColdChunk{}, mishap.New(mishap.Damaged, "a cold chunk does not match its checksum", "it is fetched anew from a sibling")
	}
	var batch wire.ColdChunkBatch
	if err := wire.Decode(schema.ColdChunkBatch_TypeID, body, &batch); err != nil {
		return wire.ColdChunk{}, err
	}
	return batch.Chunks[0], nil
}

func (store *Store) covered(chunk wire.ColdChunk) bool {
	return slices.ContainsFunc(store.lines[chunk.Line], func(at place) bool { return at.first <= chunk.First && at.last >= chunk.Last })
}

// Put stores chunks and returns once they last. What is there already is not
// written again.
//
//	err := cold.Put([]wire.ColdChunk{{Line: "team/c-1", First: 1, Last: 9, Events: events}})
func (store *Store) Put(chunks []wire.ColdChunk) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	var data []byte
	places := []place{}
	fresh := []wire.ColdChunk{}
	for _, chunk := range chunks {
		if store.covered(chunk) {
			continue
		}
		body, err := wire.Encode(schema.ColdChunkBatch_TypeID, &wire.ColdChunkBatch{Chunks: []wire.ColdChunk{chunk}})
		if err != nil {
			return err
		}
		places = append(places, place{file: store.next, offset: int64(len(data)), length: frameHeader + len(body), digest: sha256.Sum256(body)})
		data = binary.LittleEndian.AppendUint32(data, uint32(len(body)))
		data = binary.LittleEndian.AppendUint32(data, crc32.Checksum(body, checksums))
		data = append(data, body...)
		fresh = append(fresh, chunk)
	}
	if len(fresh) == 0 {
		return nil
	}
	name := fileName(store.next)
	store.next++
	if err := store.folder.WriteAt(name, 0, data); err != nil {
		return mishap.New(mishap.DiskUnavailable, "the cold store took no write: "+err.Error(), "free space on the disk or replace it")
	}
	if err := store.folder.Sync(name); err != nil {
		return mishap.New(mishap.DiskUnavailable, "the cold store could not sync: "+err.Error(), "free space on the disk or replace it")
	}
	for position, chunk := range fresh {
		store.add(chunk, places[position])
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
		data, err := store.folder.ReadPart(fileName(at.file), at.offset, at.length)
		if err != nil {
			continue // a damaged or missing chunk is a gap
		}
		chunk, err := decodeChunk(binary.LittleEndian.Uint32(data[4:]), data[frameHeader:])
		if err != nil {
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

// Digests lists the ranges of a group with their digests.
//
//	ranges := cold.Digests(7)
func (store *Store) Digests(group uint32) []wire.RangeDigest {
	store.mutex.RLock()
	defer store.mutex.RUnlock()
	ranges := []wire.RangeDigest{}
	for name, places := range store.lines {
		for _, at := range places {
			if at.group == group {
				ranges = append(ranges, wire.RangeDigest{Line: name, First: at.first, Last: at.last, Digest: at.digest[:]})
			}
		}
	}
	return ranges
}

// Expire forgets chunks whose keeping time is over and removes files in which
// nothing counts any more. Live tells whether a line is still kept by its group.
//
//	err := cold.Expire(time.Now(), func(name string) bool { return known(name) })
func (store *Store) Expire(now time.Time, live func(name string) bool) error {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for name, places := range store.lines {
		if live(name) || slices.ContainsFunc(places, func(at place) bool { return at.expires > now.UnixNano() }) {
			continue
		}
		for _, at := range places {
			store.living[at.file]--
		}
		delete(store.lines, name)
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

// Scrub reads every chunk again and drops from the index what has rotted, so that
// repair finds the hole.
//
//	dropped := cold.Scrub()
func (store *Store) Scrub() int {
	store.mutex.RLock()
	names := slices.Collect(maps.Keys(store.lines))
	store.mutex.RUnlock()
	dropped := 0
	for _, name := range names {
		store.mutex.RLock()
		places := store.lines[name]
		store.mutex.RUnlock()
		for _, at := range places {
			data, err := store.folder.ReadPart(fileName(at.file), at.offset, at.length)
			if err == nil && crc32.Checksum(data[frameHeader:], checksums) == binary.LittleEndian.Uint32(data[4:]) {
				continue
			}
			dropped++
			store.mutex.Lock()
			store.lines[name] = slices.DeleteFunc(slices.Clone(store.lines[name]), func(one place) bool { return one == at })
			store.living[at.file]--
			store.mutex.Unlock()
		}
	}
	return dropped
}
