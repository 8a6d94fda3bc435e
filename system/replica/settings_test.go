package replica

import (
	"bytes"
	"testing"
)

func TestCompactionThresholdFitsTheDisk(t *testing.T) {
	for _, test := range []struct{ disk, snapshot, want int64 }{
		{0, 40 << 20, 80 << 20},
		{128 << 20, 1 << 20, 16 << 20},
		{128 << 20, 24 << 20, 16 << 20},
		{128 << 20, 36 << 20, 8 << 20},
		{128 << 20, 60 << 20, minLogBytes},
	} {
		if got := DefaultSettings(1).WithDiskSize(test.disk).compactionThreshold(test.snapshot); got != test.want {
			t.Errorf("disk %d, snapshot %d: got compaction threshold %d, want %d", test.disk, test.snapshot, got, test.want)
		}
	}
}

// The entries that all groups may apply between snapshots are bounded by the process's memory,
// with a minimum for each group.
func TestLogsOfAllGroupsFitTheMemory(t *testing.T) {
	for _, test := range []struct {
		memory int64
		groups int
		want   int
	}{
		{0, 1000, minSnapshotLogBytes},
		{1 << 30, 1, minSnapshotLogBytes},
		{128 << 20, 32, 256 << 10},
		{16 << 20, 256, minGroupLogBytes},
	} {
		if got := DefaultSettings(1).WithMemorySize(test.memory).groupLogBytes(test.groups); got != test.want {
			t.Errorf("memory %d, %d groups: got a limit of %d bytes per group, want %d", test.memory, test.groups, got, test.want)
		}
	}
}

// With 4 MiB of memory, a host that applies 10 MB of entries keeps no more of them than the memory
// share of its log and the entries applied during an encoding.
func TestSmallMemoryBoundsTheLog(t *testing.T) {
	host, err := openHost(t, t.TempDir(), fastSettings().WithMemorySize(4<<20), &lastCommandStateMachine{})
	if err != nil {
		t.Fatal(err)
	}
	bootstrapSingleVoter(t, host)
	const proposalBytes = 10 << 10
	for proposal := range 1000 {
		propose(t, host, bytes.Repeat([]byte{byte(proposal)}, proposalBytes))
		if _, logged := host.logSinceSnapshot(); logged > minSnapshotLogBytes/2 {
			t.Fatalf("the log has %d bytes after %d proposals", logged, proposal+1)
		}
	}
}

// On a disk smaller than the default compaction threshold, the log must be compacted before the
// disk is full.
func TestDataDirectoryFitsASmallDisk(t *testing.T) {
	const diskBytes, proposalBytes = 12 << 20, 1 << 20
	path := t.TempDir()
	host, err := openHost(t, path, fastSettings().WithDiskSize(diskBytes), &lastCommandStateMachine{})
	if err != nil {
		t.Fatal(err)
	}
	bootstrapSingleVoter(t, host)
	for proposal := range 60 {
		propose(t, host, bytes.Repeat([]byte{byte(proposal)}, proposalBytes))
		if used := directoryBytes(t, path); used > diskBytes {
			t.Fatalf("the data directory has %d bytes after %d proposals, on a disk of %d", used, proposal+1, diskBytes)
		}
	}
}

// A job that exceeds the compaction threshold is written directly as a snapshot file. Appending it
// to the log first would store it twice.
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
