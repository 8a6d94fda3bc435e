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

// openAt opens the archive in a directory.
func openAt(t *testing.T, dir string) *Store {
	t.Helper()
	directory, err := vfs.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	store, err := Open(directory)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// chunkOf returns a chunk of a session whose retention ends at expires.
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

// digestsOf returns the digests of sessions that are archived up to the given sequence numbers.
func digestsOf(archived map[string]uint64) (digests sessionlog.BucketDigests) {
	for name, seq := range archived {
		digests.Toggle(name, seq)
	}
	return digests
}

func files(t *testing.T, dir string) []string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, filePrefix+"*"))
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// damage flips a bit of a file at an offset; a negative offset counts from the end.
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
	return headerBytes + int(binary.LittleEndian.Uint32(data))
}

func TestReadReturnsRangesInOrderAlsoAfterRestart(t *testing.T) {
	dir := t.TempDir()
	store := openAt(t, dir)
	put(t, store, chunkOf("a", 4, 6, 10), chunkOf("b", 1, 2, 10))
	put(t, store, chunkOf("a", 1, 4, 10)) // overlaps the first chunk
	put(t, store, chunkOf("a", 2, 3, 10)) // is covered, so no file is written
	if written := files(t, dir); len(written) != 2 {
		t.Fatalf("files written: %v", written)
	}
	for name, opened := range map[string]*Store{"written": store, "reopened": openAt(t, dir)} {
		events := opened.Read("a", 1, 5)
		if len(events) != 4 || events[0].Seq != 2 || events[3].Seq != 5 || events[3].Name != "a" {
			t.Errorf("%s: read %+v", name, events)
		}
		if got := opened.Read("none", 0, 9); len(got) != 0 {
			t.Errorf("%s: an unknown session has %+v", name, got)
		}
		if !opened.Covers(wire.ArchiveChunk{Session: "a", First: 5, Last: 6}) || opened.Covers(wire.ArchiveChunk{Session: "a", First: 3, Last: 6}) {
			t.Errorf("%s: Covers must be true only for a range within one chunk", name)
		}
		if got := opened.BucketDigests(testGroup); got != digestsOf(map[string]uint64{"a": 6, "b": 2}) {
			t.Errorf("%s: digests %v", name, got)
		}
	}
}

func TestDigestsCoverOnlyContiguousEvents(t *testing.T) {
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
	dir := t.TempDir()
	store := openAt(t, dir)
	put(t, store, chunkOf("a", 1, 3, 10))
	put(t, store, chunkOf("b", 1, 3, 10))
	if dropped := store.Scrub(10); dropped != 0 {
		t.Fatalf("%d intact chunks were dropped", dropped)
	}
	damage(t, files(t, dir)[0], -9)
	if events := store.Read("a", 0, 3); len(events) != 0 {
		t.Fatalf("a damaged chunk was read: %+v", events)
	}
	if dropped := store.Scrub(1) + store.Scrub(1); dropped != 1 {
		t.Fatalf("%d chunks were dropped, want 1", dropped)
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
	dir := t.TempDir()
	store := openAt(t, dir)
	put(t, store, chunkOf("a", 1, 3, 10))
	put(t, store, chunkOf("b", 1, 3, 10))
	first := files(t, dir)[0]
	for offset := range indexEnd(t, first) {
		damage(t, first, offset)
		if got := openAt(t, dir).BucketDigests(testGroup); got != digestsOf(map[string]uint64{"b": 3}) {
			t.Fatalf("damaged at %d, digests %v", offset, got)
		}
		damage(t, first, offset) // flips the bit back
	}
	if got := openAt(t, dir).BucketDigests(testGroup); got != digestsOf(map[string]uint64{"a": 3, "b": 3}) {
		t.Fatalf("undamaged, digests %v", got)
	}
	damage(t, first, headerBytes)
	again := openAt(t, dir)
	put(t, again, chunkOf("a", 1, 3, 10))
	if len(again.Read("a", 0, 3)) != 3 || len(files(t, dir)) != 3 {
		t.Fatalf("files %v", files(t, dir))
	}
}

func TestExpireRemovesFilesOnceNoChunkIsNeeded(t *testing.T) {
	dir := t.TempDir()
	store := openAt(t, dir)
	put(t, store, chunkOf("a", 1, 3, 10), chunkOf("b", 1, 3, 20))
	retained := map[string]bool{}
	for position, step := range []struct {
		clock int64
		keep  string
		left  map[string]uint64
		files int
	}{
		{0, "", map[string]uint64{"a": 3, "b": 3}, 1}, // no replica of the group on this node
		{9, "", map[string]uint64{"a": 3, "b": 3}, 1},
		{10, "a", map[string]uint64{"a": 3, "b": 3}, 1}, // still in the replicated state
		{10, "", map[string]uint64{"b": 3}, 1},
		{20, "", nil, 0},
	} {
		clear(retained)
		retained[step.keep] = true
		if err := store.Expire(func(uint32) int64 { return step.clock }, func(name string) bool { return retained[name] }); err != nil {
			t.Fatal(err)
		}
		if got := store.BucketDigests(testGroup); got != digestsOf(step.left) || len(files(t, dir)) != step.files {
			t.Fatalf("step %d: digests %v, files %v", position, got, files(t, dir))
		}
	}
}

// maxSizeDirectory records the size of the largest single read or write.
type maxSizeDirectory struct {
	vfs.Directory
	maxBytes int
}

func (sized *maxSizeDirectory) ReadRange(name string, offset int64, length int) ([]byte, error) {
	sized.maxBytes = max(sized.maxBytes, length)
	return sized.Directory.ReadRange(name, offset, length)
}

func (sized *maxSizeDirectory) WriteAt(name string, offset int64, data []byte) error {
	sized.maxBytes = max(sized.maxBytes, len(data))
	return sized.Directory.WriteAt(name, offset, data)
}

// TestDamagedLengthIsNotAllocated opens an archive with a file whose header claims an index of
// 4 GiB.
func TestDamagedLengthIsNotAllocated(t *testing.T) {
	dir := t.TempDir()
	put(t, openAt(t, dir), chunkOf("a", 1, 3, 10))
	data, err := os.ReadFile(files(t, dir)[0])
	if err != nil {
		t.Fatal(err)
	}
	binary.LittleEndian.PutUint32(data, math.MaxUint32)
	if err := os.WriteFile(files(t, dir)[0], data, 0o600); err != nil {
		t.Fatal(err)
	}
	directory, err := vfs.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	sized := &maxSizeDirectory{Directory: directory}
	if opened, err := Open(sized); err != nil || len(opened.Read("a", 0, 3)) != 0 || sized.maxBytes > len(data) {
		t.Errorf("largest read has %d bytes, error %v", sized.maxBytes, err)
	}
}

// crashingDirectory simulates a power loss during a sync. Of the writes since the previous sync,
// only those at offset 0 survive, as a disk may reorder writes.
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

var errPowerLoss = errors.New("power loss")

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
		return errPowerLoss
	}
	crashing.syncsLeft--
	return crashing.Directory.Sync(name)
}

// TestInterruptedPutDoesNotCount simulates a power loss at each sync of a Put. After a restart,
// the archive must not list a chunk that it cannot read.
func TestInterruptedPutDoesNotCount(t *testing.T) {
	for syncs, interrupted := 0, true; interrupted; syncs++ {
		dir := t.TempDir()
		put(t, openAt(t, dir), chunkOf("a", 1, 3, 10))
		directory, err := vfs.Open(dir)
		if err != nil {
			t.Fatal(err)
		}
		store, err := Open(&crashingDirectory{Directory: directory, syncsLeft: syncs})
		if err != nil {
			t.Fatal(err)
		}
		err = store.Put([]wire.ArchiveChunk{chunkOf("b", 1, 3, 10), chunkOf("c", 1, 3, 10)})
		if interrupted = err != nil; interrupted && !apierror.Is(err, apierror.DiskUnavailable) {
			t.Fatalf("Put during a power loss: %v", err)
		}
		again := openAt(t, dir)
		for _, name := range []string{"a", "b", "c"} {
			covered, events := again.Covers(wire.ArchiveChunk{Session: name, First: 1, Last: 3}), again.Read(name, 0, 3)
			if covered != (len(events) == 3) || name == "a" && !covered || !interrupted && !covered {
				t.Errorf("power loss after %d syncs: %s is covered: %t, has %d events", syncs, name, covered, len(events))
			}
		}
	}
}

// TestPutBufferIsBounded stores 4 MB in one call. Put must not encode the whole file in memory.
func TestPutBufferIsBounded(t *testing.T) {
	directory, err := vfs.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	sized := &maxSizeDirectory{Directory: directory}
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
	if sized.maxBytes > writeBufferBytes+2*chunkBytes {
		t.Errorf("largest write has %d bytes", sized.maxBytes)
	}
	for _, opened := range []*Store{store, reopen(t, directory)} {
		for _, chunk := range chunks {
			if events := opened.Read(chunk.Session, 0, 1); len(events) != 1 || len(events[0].Data) != chunkBytes {
				t.Fatalf("%s has %d events", chunk.Session, len(events))
			}
		}
	}
}

// reopen opens the archive in a directory again.
func reopen(t *testing.T, directory vfs.Directory) *Store {
	t.Helper()
	store, err := Open(directory)
	if err != nil {
		t.Fatal(err)
	}
	return store
}

// TestChunkExpiredDuringScrubIsCountedOffOnce expires a session after Scrub has read its chunk and
// before Scrub drops it. The file must stay, as it has a chunk of another session.
func TestChunkExpiredDuringScrubIsCountedOffOnce(t *testing.T) {
	dir := t.TempDir()
	store := openAt(t, dir)
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
	if events := store.Read("b", 0, 3); len(events) != 3 || len(files(t, dir)) != 1 {
		t.Fatalf("events %+v, files %v", events, files(t, dir))
	}
}
