package durablelog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"yardrock.example/system/apierror"
	"yardrock.example/system/vfs"
)

const testRole = "store"

func openDirectory(t *testing.T, path string) (*Log, []Record, error) {
	t.Helper()
	directory, err := vfs.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	return Open(directory, testRole)
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func record(group uint32, value string) Record {
	return Record{Group: group, Kind: 1, Data: []byte(value)}
}

// lastValues replays records and formats the last value of each group.
func lastValues(records []Record) string {
	values := map[uint32]string{}
	for _, record := range records {
		values[record.Group] = string(record.Data)
	}
	return fmt.Sprint(values)
}

// filledDirectory creates a data directory with snapshot 1 in slot-0, snapshot 2 in slot-1, and
// logs 1 and 2.
func filledDirectory(t *testing.T) (path, want string) {
	t.Helper()
	path = t.TempDir()
	log, _, err := openDirectory(t, path)
	must(t, err)
	must(t, log.Append([]Record{record(1, "first"), record(2, "two")}))
	must(t, log.WriteSnapshot(slices.Values([]Record{record(1, "first"), record(2, "two")})))
	must(t, log.Append([]Record{record(1, "second")}))
	must(t, log.WriteSnapshot(slices.Values([]Record{record(1, "second"), record(2, "two")})))
	must(t, log.Append([]Record{record(3, "last")}))
	return path, lastValues([]Record{record(1, "second"), record(2, "two"), record(3, "last")})
}

func TestDamagedSnapshotFallsBackToTheOlderOne(t *testing.T) {
	path, want := filledDirectory(t)
	snapshotPath := filepath.Join(path, snapshotFiles[1])
	complete, err := os.ReadFile(snapshotPath)
	must(t, err)
	check := func(name string, data []byte) {
		must(t, os.WriteFile(snapshotPath, data, 0o600))
		if _, records, err := openDirectory(t, path); err != nil || lastValues(records) != want {
			t.Errorf("%s: %v, got %s, want %s", name, err, lastValues(records), want)
		}
	}
	for size := range complete {
		check(fmt.Sprintf("cut to %d bytes", size), complete[:size])
		flipped := slices.Clone(complete)
		flipped[size] ^= 0x10
		check(fmt.Sprintf("bit flipped at %d", size), flipped)
	}
	check("trailing byte", append(slices.Clone(complete), 0))
}

func TestDirectoryMissingAFileIsRejected(t *testing.T) {
	remove := func(names ...string) func(*testing.T, string) {
		return func(t *testing.T, path string) {
			for _, name := range names {
				must(t, os.Remove(filepath.Join(path, name)))
			}
		}
	}
	tear := func(path, name string) error { return os.Truncate(filepath.Join(path, name), 25) }
	for name, damage := range map[string]func(*testing.T, string){
		"newest log is missing":        remove(logName(2)),
		"all logs are missing":         remove(logName(1), logName(2)),
		"all but the identity missing": remove(logName(1), logName(2), snapshotFiles[0], snapshotFiles[1]),
		"snapshots are missing":        remove(snapshotFiles[0], snapshotFiles[1]),
		"newest snapshot torn, its log missing": func(t *testing.T, path string) {
			must(t, tear(path, snapshotFiles[1]))
			must(t, os.Remove(filepath.Join(path, logName(2))))
		},
		"newest snapshot torn, older log missing": func(t *testing.T, path string) {
			must(t, tear(path, snapshotFiles[1]))
			must(t, os.Remove(filepath.Join(path, logName(1))))
		},
		"both snapshots torn": func(t *testing.T, path string) {
			must(t, tear(path, snapshotFiles[0]))
			must(t, tear(path, snapshotFiles[1]))
		},
		"log renamed": func(t *testing.T, path string) {
			must(t, os.Rename(filepath.Join(path, logName(2)), filepath.Join(path, logName(2)+".old")))
		},
		"snapshot renamed": func(t *testing.T, path string) {
			must(t, os.Rename(filepath.Join(path, snapshotFiles[1]), filepath.Join(path, snapshotFiles[1]+".new")))
		},
	} {
		t.Run(name, func(t *testing.T) {
			path, _ := filledDirectory(t)
			damage(t, path)
			for range 2 { // a rejected directory is left unchanged
				_, records, err := openDirectory(t, path)
				if !apierror.Is(err, apierror.Damaged) || apierror.Of(err).Remedy == "" {
					t.Fatalf("got error %v and records %s, want Damaged", err, lastValues(records))
				}
			}
		})
	}
}

func TestMissingFirstLogIsRejected(t *testing.T) {
	path := t.TempDir()
	log, _, err := openDirectory(t, path)
	must(t, err)
	must(t, log.Append([]Record{record(1, "a vote")}))
	must(t, os.Remove(filepath.Join(path, logName(0))))
	if _, _, err := openDirectory(t, path); !apierror.Is(err, apierror.Damaged) {
		t.Fatalf("got error %v for a missing first log, want Damaged", err)
	}
}

// A directory whose initialization was interrupted by a power loss counts as empty.
func TestInterruptedInitializationStartsOver(t *testing.T) {
	for name, files := range map[string][]string{
		"only the first log":      {logName(0)},
		"identity torn":           {logName(0), identityFile},
		"identity before its log": {identityFile},
	} {
		path := t.TempDir()
		for _, file := range files {
			must(t, os.WriteFile(filepath.Join(path, file), nil, 0o600))
		}
		log, records, err := openDirectory(t, path)
		if err != nil || len(records) != 0 || log.Identity().Name == "" {
			t.Errorf("%s: not initialized again: %v", name, err)
		}
	}
}

// Repeatedly interrupted snapshots must not overwrite the complete one.
func TestInterruptedSnapshotsKeepTheCompleteOne(t *testing.T) {
	path, want := filledDirectory(t)
	for attempt := range 5 {
		log, records, err := openDirectory(t, path)
		must(t, err)
		if lastValues(records) != want {
			t.Fatalf("attempt %d: got %s, want %s", attempt, lastValues(records), want)
		}
		completeFile := log.snapshotFile
		interrupted := func(yield func(Record) bool) {
			yield(Record{Group: 9, Kind: 1, Data: make([]byte, 2*writeBufferBytes)})
			panic("power loss")
		}
		func() {
			defer func() { _ = recover() }()
			_ = log.WriteSnapshot(interrupted)
		}()
		for _, name := range snapshotFiles {
			if name != completeFile {
				must(t, os.WriteFile(filepath.Join(path, name), []byte("RSry torn"), 0o600))
			}
		}
	}
	log, _, err := openDirectory(t, path)
	must(t, err)
	for round := range 3 {
		must(t, log.WriteSnapshot(slices.Values([]Record{record(1, fmt.Sprint("round ", round))})))
	}
	names, err := log.directory.List()
	must(t, err)
	if len(names) != 5 { // identity, two snapshot files, two logs
		t.Fatalf("unneeded files were not removed: %v", names)
	}
	if _, records, err := openDirectory(t, path); err != nil || lastValues(records) != lastValues([]Record{record(1, "round 2")}) {
		t.Fatalf("after the last snapshot: error %v, records %s", err, lastValues(records))
	}
}

// encodeFrame encodes records as a single frame, which is also the snapshot encoding of format 1.
func encodeFrame(sequence uint64, records []Record) []byte {
	size := 0
	for _, record := range records {
		size += recordHeaderBytes + len(record.Data)
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+size)
	for _, record := range records {
		frame = append(appendRecordHeader(frame, record), record.Data...)
	}
	putFrameHeader(frame, frameMagic, sequence, size, frame[frameHeaderBytes:])
	return frame
}

// In format 1 a snapshot is a single frame, and the newest log may be missing.
func TestDirectoryOfFormatOneIsRead(t *testing.T) {
	path := t.TempDir()
	write := func(name string, data []byte) { must(t, os.WriteFile(filepath.Join(path, name), data, 0o600)) }
	identity, err := json.Marshal(Identity{Name: "store-1", Format: 1, Role: testRole})
	must(t, err)
	write(identityFile, identity)
	write(logName(0), encodeFrame(1, []Record{record(1, "first")}))
	write(snapshotFiles[1], encodeFrame(1, []Record{record(1, "first"), record(2, "two")}))
	want := lastValues([]Record{record(1, "first"), record(2, "two")})
	for range 3 {
		log, records, err := openDirectory(t, path)
		must(t, err)
		if lastValues(records) != want || log.Identity().Name != "store-1" {
			t.Fatalf("got %s, want %s", lastValues(records), want)
		}
		must(t, log.Append([]Record{record(3, "more")}))
		want = lastValues([]Record{record(1, "first"), record(2, "two"), record(3, "more")})
		must(t, log.WriteSnapshot(slices.Values([]Record{record(1, "first"), record(2, "two"), record(3, "more")})))
	}
}

func TestSnapshotOfManyRecordsIsStreamed(t *testing.T) {
	path := t.TempDir()
	log, _, err := openDirectory(t, path)
	must(t, err)
	records := []Record{}
	for group := range uint32(40) {
		records = append(records, Record{Group: group, Kind: 1, Data: make([]byte, int(group)*7000)})
	}
	must(t, log.WriteSnapshot(slices.Values(records)))
	_, read, err := openDirectory(t, path)
	must(t, err)
	if len(read) != len(records) {
		t.Fatalf("got %d records, want %d", len(read), len(records))
	}
	for position, got := range read {
		if got.Group != records[position].Group || len(got.Data) != len(records[position].Data) {
			t.Fatalf("record %d has group %d and %d bytes", position, got.Group, len(got.Data))
		}
	}
	must(t, log.WriteSnapshot(slices.Values([]Record{})))
	if _, read, err = openDirectory(t, path); err != nil || len(read) != 0 {
		t.Fatalf("got %d records and error %v from an empty snapshot", len(read), err)
	}
}

// spyDirectory records the length of the longest read.
type spyDirectory struct {
	vfs.Directory
	longest int
}

func (spy *spyDirectory) ReadFile(name string) ([]byte, error) {
	data, err := spy.Directory.ReadFile(name)
	spy.longest = max(spy.longest, len(data))
	return data, err
}

func (spy *spyDirectory) ReadRange(name string, offset int64, length int) ([]byte, error) {
	spy.longest = max(spy.longest, length)
	return spy.Directory.ReadRange(name, offset, length)
}

// TestReplayMemoryIsBoundedByReadWindow checks that replay never reads a large file as a whole,
// and that a record does not retain the buffer that it was decoded from.
func TestReplayMemoryIsBoundedByReadWindow(t *testing.T) {
	directory, err := vfs.Open(t.TempDir())
	must(t, err)
	log, _, err := Open(directory, testRole)
	must(t, err)
	sized := func(number, size int) Record {
		return Record{Group: uint32(number), Kind: 1, Data: bytes.Repeat([]byte{byte(number)}, size)}
	}
	const count, size = 40, 50 << 10
	large := sized(count, 2*readWindowBytes) // larger than the read window
	must(t, log.WriteSnapshot(func(yield func(Record) bool) {
		for number := range count {
			if !yield(sized(number, size)) {
				return
			}
		}
		yield(large)
	}))
	for number := range count {
		must(t, log.Append([]Record{sized(number, size), sized(number, 10)}))
	}
	spy := &spyDirectory{Directory: directory}
	_, records, err := Open(spy, testRole)
	if err != nil || len(records) != count+1+2*count {
		t.Fatalf("got %d records and error %v", len(records), err)
	}
	if longest := frameHeaderBytes + recordHeaderBytes + len(large.Data); spy.longest > longest {
		t.Errorf("the longest read was %d bytes, more than the largest record needs", spy.longest)
	}
	for position, got := range records {
		if len(got.Data) == 0 || got.Data[0] != byte(got.Group) || cap(got.Data) > 2*len(got.Data) {
			t.Fatalf("record %d of group %d has %d bytes and retains %d in memory", position, got.Group, len(got.Data), cap(got.Data))
		}
	}
}
