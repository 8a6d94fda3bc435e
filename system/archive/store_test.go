package archive

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"testing"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/vfs"
	"yardrock.example/system/wire"
)

const testGroup = 7

// openAt opens the archive of a folder, as a node that starts does it.
func openAt(t *testing.T, folder string) *Store {
	t.Helper()
	directory, err := vfs.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	store, err := Open(directory)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// chunkOf makes a chunk of a session whose retention ends at a time.
func chunkOf(sessionName string, first, last uint64, expires int64) wire.ArchiveChunk {
	chunk := wire.ArchiveChunk{Group: testGroup, Session: sessionName, First: first, Last: last, ExpiresAt: expires}
	for seq := first; seq <= last; seq++ {
		chunk.Events = append(chunk.Events, sessionlog.Event{Seq: seq, Kind: sessionlog.HelperStarted, Name: sessionName})
	}
	return chunk
}

func put(t *testing.T, store *Store, chunks ...wire.ArchiveChunk) {
	t.Helper()
	if err := store.Put(chunks); err != nil {
		t.Fatal(err)
	}
}

// digestsOf returns the digests of sessions that are archived up to some sequence number.
func digestsOf(archived map[string]uint64) (digests sessionlog.BucketDigests) {
	for name, seq := range archived {
		digests.Toggle(name, seq)
	}
	return digests
}

func files(t *testing.T, folder string) []string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(folder, filePrefix+"*"))
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// damage flips a bit of a file, at an offset from its end if that is negative.
func damage(t *testing.T, file string, offset int) {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if offset < 0 {
		offset += len(data)
	}
	data[offset] ^= 1
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// indexEnd returns where the index of a file ends.
func indexEnd(t *testing.T, file string) int {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return headerLength + int(binary.LittleEndian.Uint32(data))
}

func TestReadReturnsRangesInOrderAlsoAfterRestart(t *testing.T) {
	folder := t.TempDir()
	store := openAt(t, folder)
	put(t, store, chunkOf("a", 4, 6, 10), chunkOf("b", 1, 2, 10))
	put(t, store, chunkOf("a", 1, 4, 10)) // overlaps what is there
	put(t, store, chunkOf("a", 2, 3, 10)) // is covered, so nothing is written
	if written := files(t, folder); len(written) != 2 {
		t.Fatalf("%v were written", written)
	}
	for name, opened := range map[string]*Store{"written": store, "opened again": openAt(t, folder)} {
		events := opened.Read("a", 1, 5)
		if len(events) != 4 || events[0].Seq != 2 || events[3].Seq != 5 || events[3].Name != "a" {
			t.Errorf("%s: read %+v", name, events)
		}
		if got := opened.Read("none", 0, 9); len(got) != 0 {
			t.Errorf("%s: an unknown session has %+v", name, got)
		}
		if !opened.Covers(wire.ArchiveChunk{Session: "a", First: 5, Last: 6}) || opened.Covers(wire.ArchiveChunk{Session: "a", First: 3, Last: 6}) {
			t.Errorf("%s: only a range that is part of one chunk is covered", name)
		}
		if got := opened.BucketDigests(testGroup); got != digestsOf(map[string]uint64{"a": 6, "b": 2}) {
			t.Errorf("%s: digests %v", name, got)
		}
	}
}

func TestDigestsCountOnlyWhatIsThereWithoutAGap(t *testing.T) {
	store := openAt(t, t.TempDir())
	put(t, store, chunkOf("a", 1, 3, 10), chunkOf("a", 5, 9, 10), chunkOf("b", 2, 4, 10))
	if got := store.BucketDigests(testGroup); got != digestsOf(map[string]uint64{"a": 3}) {
		t.Fatalf("digests %v", got)
	}
	put(t, store, chunkOf("a", 4, 4, 10))
	if got := store.BucketDigests(testGroup); got != digestsOf(map[string]uint64{"a": 9}) {
		t.Fatalf("digests %v once the gap is filled", got)
	}
	bucket := uint32(sessionlog.BucketOf("a"))
	if ranges := store.RangeDigests(testGroup, []uint32{bucket}); len(ranges) < 3 {
		t.Fatalf("ranges %+v", ranges)
	}
	if other := store.BucketDigests(testGroup + 1); other != (sessionlog.BucketDigests{}) {
		t.Fatalf("another group has digests %v", other)
	}
}

func TestScrubDropsDamagedChunksAndPutRepairsThem(t *testing.T) {
	folder := t.TempDir()
	store := openAt(t, folder)
	put(t, store, chunkOf("a", 1, 3, 10))
	put(t, store, chunkOf("b", 1, 3, 10))
	if dropped := store.Scrub(10); dropped != 0 {
		t.Fatalf("%d intact chunks were dropped", dropped)
	}
	damage(t, files(t, folder)[0], -9)
	if events := store.Read("a", 0, 3); len(events) != 0 {
		t.Fatalf("a damaged chunk was read: %+v", events)
	}
	if dropped := store.Scrub(1) + store.Scrub(1); dropped != 1 {
		t.Fatalf("%d were dropped", dropped)
	}
	if got := store.BucketDigests(testGroup); got != digestsOf(map[string]uint64{"b": 3}) {
		t.Fatalf("digests %v", got)
	}
	put(t, store, chunkOf("a", 1, 3, 10))
	if events := store.Read("a", 0, 3); len(events) != 3 {
		t.Fatalf("after the repair %+v", events)
	}
}

func TestFileWithDamagedIndexCountsAsEmpty(t *testing.T) {
	folder := t.TempDir()
	store := openAt(t, folder)
	put(t, store, chunkOf("a", 1, 3, 10))
	put(t, store, chunkOf("b", 1, 3, 10))
	first := files(t, folder)[0]
	for offset := range indexEnd(t, first) {
		damage(t, first, offset)
		if got := openAt(t, folder).BucketDigests(testGroup); got != digestsOf(map[string]uint64{"b": 3}) {
			t.Fatalf("damaged at %d, digests %v", offset, got)
		}
		damage(t, first, offset) // as it was
	}
	if got := openAt(t, folder).BucketDigests(testGroup); got != digestsOf(map[string]uint64{"a": 3, "b": 3}) {
		t.Fatalf("undamaged, digests %v", got)
	}
	damage(t, first, headerLength)
	again := openAt(t, folder)
	put(t, again, chunkOf("a", 1, 3, 10))
	if len(again.Read("a", 0, 3)) != 3 || len(files(t, folder)) != 3 {
		t.Fatalf("files %v", files(t, folder))
	}
}

func TestExpireRemovesFilesOnceNoChunkIsNeeded(t *testing.T) {
	folder := t.TempDir()
	store := openAt(t, folder)
	put(t, store, chunkOf("a", 1, 3, 10), chunkOf("b", 1, 3, 20))
	retained := map[string]bool{}
	for position, step := range []struct {
		clock int64
		keep  string
		left  map[string]uint64
		files int
	}{
		{0, "", map[string]uint64{"a": 3, "b": 3}, 1}, // the group has no clock here
		{9, "", map[string]uint64{"a": 3, "b": 3}, 1},
		{10, "a", map[string]uint64{"a": 3, "b": 3}, 1}, // the group has changed it since
		{10, "", map[string]uint64{"b": 3}, 1},
		{20, "", nil, 0},
	} {
		clear(retained)
		retained[step.keep] = true
		if err := store.Expire(func(uint32) int64 { return step.clock }, func(name string) bool { return retained[name] }); err != nil {
			t.Fatal(err)
		}
		if got := store.BucketDigests(testGroup); got != digestsOf(step.left) || len(files(t, folder)) != step.files {
			t.Fatalf("step %d: digests %v, files %v", position, got, files(t, folder))
		}
	}
}

// sizedDirectory notes the longest part of a file that was read or written at a time.
type sizedDirectory struct {
	vfs.Directory
	longest int
}

func (sized *sizedDirectory) ReadRange(name string, offset int64, length int) ([]byte, error) {
	sized.longest = max(sized.longest, length)
	return sized.Directory.ReadRange(name, offset, length)
}

func (sized *sizedDirectory) WriteAt(name string, offset int64, data []byte) error {
	sized.longest = max(sized.longest, len(data))
	return sized.Directory.WriteAt(name, offset, data)
}

// TestDamagedLengthIsNotAllocated opens a folder whose file says that its index has 4 GiB.
func TestDamagedLengthIsNotAllocated(t *testing.T) {
	folder := t.TempDir()
	put(t, openAt(t, folder), chunkOf("a", 1, 3, 10))
	data, err := os.ReadFile(files(t, folder)[0])
	if err != nil {
		t.Fatal(err)
	}
	binary.LittleEndian.PutUint32(data, math.MaxUint32)
	if err := os.WriteFile(files(t, folder)[0], data, 0o600); err != nil {
		t.Fatal(err)
	}
	directory, err := vfs.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	sized := &sizedDirectory{Directory: directory}
	if opened, err := Open(sized); err != nil || len(opened.Read("a", 0, 3)) != 0 || sized.longest > len(data) {
		t.Errorf("%d bytes were read at a time: %v", sized.longest, err)
	}
}

// crashingDirectory is a disk that loses its power at a sync. What was written since the sync
// before is lost but for the first bytes of the file, as a disk may write in any order.
type crashingDirectory struct {
	vfs.Directory
	syncsLeft int
	unsynced  []unsyncedWrite
}

type unsyncedWrite struct {
	name   string
	offset int64
	data   []byte
}

var errNoPower = errors.New("no power")

func (crashing *crashingDirectory) WriteAt(name string, offset int64, data []byte) error {
	crashing.unsynced = append(crashing.unsynced, unsyncedWrite{name, offset, bytes.Clone(data)})
	return nil
}

func (crashing *crashingDirectory) Sync(name string) error {
	lost := crashing.syncsLeft == 0
	for _, write := range crashing.unsynced {
		if lost && write.offset > 0 {
			continue
		}
		if err := crashing.Directory.WriteAt(write.name, write.offset, write.data); err != nil {
			return err
		}
	}
	crashing.unsynced = nil
	if lost {
		return errNoPower
	}
	crashing.syncsLeft--
	return crashing.Directory.Sync(name)
}

// TestInterruptedPutDoesNotCount loses the power at each sync of a Put. Whatever reached the disk
// by then, the node must not say that it has a chunk that it cannot read.
func TestInterruptedPutDoesNotCount(t *testing.T) {
	for syncs, interrupted := 0, true; interrupted; syncs++ {
		folder := t.TempDir()
		put(t, openAt(t, folder), chunkOf("a", 1, 3, 10))
		directory, err := vfs.Open(folder)
		if err != nil {
			t.Fatal(err)
		}
		store, err := Open(&crashingDirectory{Directory: directory, syncsLeft: syncs})
		if err != nil {
			t.Fatal(err)
		}
		err = store.Put([]wire.ArchiveChunk{chunkOf("b", 1, 3, 10), chunkOf("c", 1, 3, 10)})
		if interrupted = err != nil; interrupted && !apierror.Is(err, apierror.DiskUnavailable) {
			t.Fatalf("a Put without power: %v", err)
		}
		again := openAt(t, folder)
		for _, name := range []string{"a", "b", "c"} {
			covered, events := again.Covers(wire.ArchiveChunk{Session: name, First: 1, Last: 3}), again.Read(name, 0, 3)
			if covered != (len(events) == 3) || name == "a" && !covered || !interrupted && !covered {
				t.Errorf("power lost after %d syncs: %s counts as there: %t, and has %d events", syncs, name, covered, len(events))
			}
		}
	}
}

// TestPutEncodesAPartAtATime stores 4 MB in one call: they are never in memory as one file.
func TestPutEncodesAPartAtATime(t *testing.T) {
	directory, err := vfs.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	sized := &sizedDirectory{Directory: directory}
	store, err := Open(sized)
	if err != nil {
		t.Fatal(err)
	}
	const count, chunkBytes = 64, 64 << 10
	var chunks []wire.ArchiveChunk
	for number := range count {
		chunk := chunkOf(fmt.Sprint("c-", number), 1, 1, 10)
		chunk.Events[0].Data = make([]byte, chunkBytes)
		chunks = append(chunks, chunk)
	}
	put(t, store, chunks...)
	if sized.longest > writeBufferBytes+2*chunkBytes {
		t.Errorf("%d bytes were written at a time", sized.longest)
	}
	for _, opened := range []*Store{store, openDirectoryAgain(t, directory)} {
		for _, chunk := range chunks {
			if events := opened.Read(chunk.Session, 0, 1); len(events) != 1 || len(events[0].Data) != chunkBytes {
				t.Fatalf("%s has %d events", chunk.Session, len(events))
			}
		}
	}
}

// openDirectoryAgain opens the archive of a folder once more.
func openDirectoryAgain(t *testing.T, directory vfs.Directory) *Store {
	t.Helper()
	store, err := Open(directory)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// TestChunkExpiredDuringScrubIsCountedOffOnce has a session expire between the moment at which
// the scrub reads its damaged chunk and the one at which it drops it. The file of the chunk has
// another session's, which must stay.
func TestChunkExpiredDuringScrubIsCountedOffOnce(t *testing.T) {
	folder := t.TempDir()
	store := openAt(t, folder)
	put(t, store, chunkOf("a", 1, 3, 10), chunkOf("b", 1, 3, 20))
	read := store.locations["a"][0]
	expire := func(now int64) {
		if err := store.Expire(func(uint32) int64 { return now }, func(string) bool { return false }); err != nil {
			t.Fatal(err)
		}
	}
	expire(10)
	store.dropLocation("a", read)
	expire(10)
	if events := store.Read("b", 0, 3); len(events) != 3 || len(files(t, folder)) != 1 {
		t.Fatalf("events %+v, files %v", events, files(t, folder))
	}
}
