package replica

import (
	"bytes"
	"testing"
)

func TestCompactionThresholdFitsTheDisk(t *testing.T) {
	for _, one := range []struct{ disk, snapshot, want int64 }{
		{0, 40 << 20, 80 << 20},
		{128 << 20, 1 << 20, 16 << 20},
		{128 << 20, 24 << 20, 16 << 20},
		{128 << 20, 36 << 20, 8 << 20},
		{128 << 20, 60 << 20, minLogBytes},
	} {
		if got := DefaultSettings(1).WithDiskSize(one.disk).compactionThreshold(one.snapshot); got != one.want {
			t.Errorf("disk %d, snapshot %d: the log is compacted at %d, want %d", one.disk, one.snapshot, got, one.want)
		}
	}
}

// TestLogsOfAllGroupsFitTheMemory: what all groups may have applied since their snapshots is
// bounded by the process's memory, and each has a little.
func TestLogsOfAllGroupsFitTheMemory(t *testing.T) {
	for _, one := range []struct {
		memory int64
		groups int
		want   int
	}{
		{0, 1000, minSnapshotLogBytes},
		{1 << 30, 1, minSnapshotLogBytes},
		{128 << 20, 32, 256 << 10},
		{16 << 20, 256, minGroupLogBytes},
	} {
		if got := DefaultSettings(1).WithMemorySize(one.memory).groupLogBytes(one.groups); got != one.want {
			t.Errorf("memory %d, %d groups: each takes a snapshot after %d bytes, want %d", one.memory, one.groups, got, one.want)
		}
	}
}

// TestSmallMemoryBoundsTheLog applies 10 MB in a process that may use 4 MB: it keeps no more of
// them than its share of the memory and what is applied during an encoding.
func TestSmallMemoryBoundsTheLog(t *testing.T) {
	host, err := openHost(t, t.TempDir(), fastSettings().WithMemorySize(4<<20), &lastCommandStateMachine{})
	if err != nil {
		t.Fatal(err)
	}
	bootstrapAlone(t, host)
	const each = 10 << 10
	for proposal := range 1000 {
		propose(t, host, bytes.Repeat([]byte{byte(proposal)}, each))
		if _, logged := host.logSinceSnapshot(); logged > minSnapshotLogBytes/2 {
			t.Fatalf("the log has %d bytes after %d proposals", logged, proposal+1)
		}
	}
}

// On a disk that is smaller than the log may otherwise grow to, the log is compacted early
// enough.
func TestDataDirectoryFitsASmallDisk(t *testing.T) {
	const disk, each = 12 << 20, 1 << 20
	path := t.TempDir()
	host, err := openHost(t, path, fastSettings().WithDiskSize(disk), &lastCommandStateMachine{})
	if err != nil {
		t.Fatal(err)
	}
	bootstrapAlone(t, host)
	for proposal := range 60 {
		propose(t, host, bytes.Repeat([]byte{byte(proposal)}, each))
		if used := directoryBytes(t, path); used > disk {
			t.Fatalf("the folder has %d bytes after %d proposals, on a disk of %d", used, proposal+1, disk)
		}
	}
}

// One job that is larger than the log may become is written as a snapshot file at once, not
// appended and then compacted: the folder would have it twice.
func TestCompactionCountsRecordsToBeWritten(t *testing.T) {
	host, err := openHost(t, t.TempDir(), fastSettings().WithDiskSize(1), &textStateMachine{})
	if err != nil {
		t.Fatal(err)
	}
	if err := host.StoreValue(t.Context(), 1, make([]byte, 2*minLogBytes)); err != nil {
		t.Fatal(err)
	}
	host.runOnLoop(func() {
		if logged, snapshot := host.durableLog.LogBytes(), host.durableLog.SnapshotBytes(); logged > 0 || snapshot < 2*minLogBytes {
			t.Errorf("the log has %d bytes and the snapshot file %d", logged, snapshot)
		}
	})
}
