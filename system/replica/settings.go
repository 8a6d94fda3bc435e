package replica

import (
	"time"

	"yardrock.example/system/metrics"
)

const (
	// maxDiskFraction is the fraction of the disk that snapshot files and logs may use together.
	maxDiskFraction = 0.75
	// minLogBytes is the lower bound of the compaction threshold, whatever the size of the disk.
	minLogBytes = 1 << 20
	// logMemoryFraction is the fraction of the process's memory that is divided among all groups
	// for entries applied since their snapshots. A group with a larger snapshot may exceed its
	// share, up to the size of that snapshot.
	logMemoryFraction = 1.0 / 16
	// minGroupLogBytes is the lower bound of each group's share, however many groups there are.
	minGroupLogBytes = 64 << 10
)

// Settings configure a host. [DefaultSettings] returns the defaults.
type Settings struct {
	// Tick is the unit of all Raft timers; 50 ms by default.
	Tick time.Duration
	// ElectionTicks is the lower bound of the election timeout, in ticks; 14 by default.
	ElectionTicks int
	// HeartbeatTicks is the heartbeat interval, in ticks; 4 by default.
	HeartbeatTicks int
	// SnapshotEntries is the number of applied entries after which a group takes a snapshot,
	// unless their size is small relative to the last snapshot. Their size may trigger a
	// snapshot earlier. 2048 by default.
	SnapshotEntries uint64
	// CompactionBytes is the size of the durable log, in bytes, at which it is compacted: the
	// complete state is written to a snapshot file and a new log is started. The threshold is
	// raised if the snapshot file is large and lowered if the disk is small; 16 MiB by default.
	CompactionBytes int64
	// DiskBytes is the size of the disk with the data directory, in bytes; 0, the default, means
	// unknown and sets no limit.
	DiskBytes int64
	// MemoryBytes is the memory available to the process, in bytes; 0, the default, means
	// unknown and sets no limit.
	MemoryBytes int64
	// Seed is the random seed of the election timeouts.
	Seed uint64
	// Metrics is the registry for the metrics of the host; nil, the default, reports none.
	Metrics *metrics.Registry
	// StallTimeout is how long a disk write may take before the node transfers the leadership of
	// its groups to other nodes; 1 s by default.
	StallTimeout time.Duration
}

// DefaultSettings returns the default settings with the given seed for election timeouts.
func DefaultSettings(seed uint64) Settings {
	return Settings{Tick: 50 * time.Millisecond, ElectionTicks: 14, HeartbeatTicks: 4, SnapshotEntries: 2048, CompactionBytes: 16 << 20, Seed: seed, StallTimeout: time.Second}
}

// WithDiskSize returns the settings for a disk of the given size in bytes; 0 means unknown.
func (settings Settings) WithDiskSize(size int64) Settings {
	settings.DiskBytes = size
	return settings
}

// WithMemorySize returns the settings for a process with the given memory in bytes; 0 means
// unknown.
func (settings Settings) WithMemorySize(size int64) Settings {
	settings.MemoryBytes = size
	return settings
}

// WithMetrics returns the settings for a host that reports metrics to a registry; nil reports
// none.
func (settings Settings) WithMetrics(registry *metrics.Registry) Settings {
	settings.Metrics = registry
	return settings
}

// groupLogBytes returns the size of entries, in bytes, that each group may apply before it takes
// a snapshot even if its last snapshot is smaller. groups is the number of groups on the node.
func (settings Settings) groupLogBytes(groups int) int {
	if settings.MemoryBytes <= 0 {
		return minSnapshotLogBytes
	}
	share := int(logMemoryFraction*float64(settings.MemoryBytes)) / max(1, groups)
	return min(minSnapshotLogBytes, max(minGroupLogBytes, share))
}

// compactionThreshold returns the size of the durable log, in bytes, at which it is compacted,
// given the size of the newest snapshot file. While a snapshot file is written, the data
// directory contains two snapshot files and two logs, and the new snapshot may exceed the last
// by the size of the log. All of them must fit on the disk: if the snapshot file cannot be
// written, the logs cannot be removed either.
func (settings Settings) compactionThreshold(snapshotBytes int64) int64 {
	limit := max(settings.CompactionBytes, 2*snapshotBytes)
	if settings.DiskBytes <= 0 {
		return limit
	}
	available := int64(maxDiskFraction*float64(settings.DiskBytes)) - 2*snapshotBytes
	return max(minLogBytes, min(limit, available/3))
}
