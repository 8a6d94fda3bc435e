package replica

import (
	"time"

	"yardrock.example/system/metrics"
)

const (
	// maxDiskFraction is the part of a disk that snapshot files and logs may take together.
	maxDiskFraction = 0.75
	// minLogBytes is the least size at which the log is compacted, whatever the size of the
	// disk.
	minLogBytes = 1 << 20
	// logMemoryFraction is the part of a process's memory that the entries of all its groups may
	// take together before they take snapshots, beside what is as large as those.
	logMemoryFraction = 1.0 / 16
	// minGroupLogBytes is the least that each group may apply before, however many there are.
	minGroupLogBytes = 64 << 10
)

// Settings configure a host. [DefaultSettings] has the defaults.
type Settings struct {
	// Tick is the unit of all Raft timers; 50 ms by default.
	Tick time.Duration
	// ElectionTicks is the lower bound of the election timeout, in ticks; 14 by default.
	ElectionTicks int
	// HeartbeatTicks is the heartbeat interval, in ticks; 4 by default.
	HeartbeatTicks int
	// SnapshotEntries is the number of applied entries after which a group takes a snapshot,
	// unless they are small beside the last one; their bytes may require it earlier. 2048 by
	// default.
	SnapshotEntries uint64
	// CompactionBytes is the size of the durable log, in bytes, at which it is compacted: all
	// state is written to a snapshot file and a new log begins. It is more if the snapshot
	// file is large and less if the disk is small; 16 MiB by default.
	CompactionBytes int64
	// DiskBytes is the size of the disk with the data folder, in bytes; 0, the default, means
	// that it is unknown and sets no limit.
	DiskBytes int64
	// MemoryBytes is the memory that the process may use, in bytes; 0, the default, means that
	// it is unknown and sets no limit.
	MemoryBytes int64
	// Seed seeds the election timeouts.
	Seed uint64
	// Figures is where the state of the replicas is reported; nil, the default, reports nothing.
	Figures *metrics.Registry
	// StallTimeout is how long a sync may take before the node transfers the leadership of
	// its groups to others; 1 s by default.
	StallTimeout time.Duration
}

// DefaultSettings returns the settings that daemons run with.
func DefaultSettings(seed uint64) Settings {
	return Settings{Tick: 50 * time.Millisecond, ElectionTicks: 14, HeartbeatTicks: 4, SnapshotEntries: 2048, CompactionBytes: 16 << 20, Seed: seed, StallTimeout: time.Second}
}

// WithDiskSize returns the settings for a disk of a size in bytes; 0 means unknown.
func (settings Settings) WithDiskSize(size int64) Settings {
	settings.DiskBytes = size
	return settings
}

// WithMemorySize returns the settings for a process that may use so many bytes; 0 means unknown.
func (settings Settings) WithMemorySize(size int64) Settings {
	settings.MemoryBytes = size
	return settings
}

// WithFigures returns the settings for a host that reports to a registry; nil reports nothing.
func (settings Settings) WithFigures(registry *metrics.Registry) Settings {
	settings.Figures = registry
	return settings
}

// groupLogBytes returns how many bytes of entries each of some groups always may apply before it
// takes a snapshot, however small that is.
func (settings Settings) groupLogBytes(groups int) int {
	if settings.MemoryBytes <= 0 {
		return minSnapshotLogBytes
	}
	share := int(logMemoryFraction*float64(settings.MemoryBytes)) / max(1, groups)
	return min(minSnapshotLogBytes, max(minGroupLogBytes, share))
}

// compactionThreshold returns the size of the durable log, in bytes, at which it is compacted,
// given the size of the newest snapshot file. While a snapshot file is written, the data
// folder has two of them and two logs, and the new snapshot may be larger than the last by
// the log. All must fit the disk: a snapshot file that finds no space would keep the logs
// from being removed.
func (settings Settings) compactionThreshold(snapshotBytes int64) int64 {
	limit := max(settings.CompactionBytes, 2*snapshotBytes)
	if settings.DiskBytes <= 0 {
		return limit
	}
	room := int64(maxDiskFraction*float64(settings.DiskBytes)) - 2*snapshotBytes
	return max(minLogBytes, min(limit, room/3))
}
