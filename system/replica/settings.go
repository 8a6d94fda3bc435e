package replica

import "time"

// Settings fix a host's pace.
type Settings struct {
	Tick            time.Duration
	ElectionTicks   int
	HeartbeatTicks  int
	SnapshotEntries uint64
	CompactionBytes int64
	// DiskBytes is the size of the disk that the data folder is on; 0 is not known.
	DiskBytes int64
	Seed      uint64
	// StallTimeout is how long a sync may hang before leadership is handed over.
	StallTimeout time.Duration
}

// DefaultSettings gives the settings that daemons run with.
//
//	settings := replica.DefaultSettings(seed)
func DefaultSettings(seed uint64) Settings {
	return Settings{Tick: 50 * time.Millisecond, ElectionTicks: 14, HeartbeatTicks: 4, SnapshotEntries: 2048, CompactionBytes: 16 << 20, Seed: seed, StallTimeout: time.Second}
}

// WithDiskSize gives the settings for a disk of a size; 0 is not known.
//
//	settings := replica.Usual(seed).WithDiskSize(128 << 20)
func (settings Settings) WithDiskSize(size int64) Settings {
	settings.DiskBytes = size
	return settings
}

const (
	// maxDiskFraction is the part of a disk that slots and logs may take together.
	maxDiskFraction = 0.75
	// minLogBytes is the least that the log may grow to before a slot is due, whatever the
	// size of the disk.
	minLogBytes = 1 << 20
)

// compactionThreshold gives the size of the log at which a slot is due. A folder holds two slots and
// two logs while one is written, and the new slot may be larger than the last by the log;
// all must fit the disk, as a slot that finds no room keeps the logs from being dropped.
func (settings Settings) compactionThreshold(snapshotBytes int64) int64 {
	limit := max(settings.CompactionBytes, 2*snapshotBytes)
	if settings.DiskBytes <= 0 {
		return limit
	}
	room := int64(maxDiskFraction*float64(settings.DiskBytes)) - 2*snapshotBytes
	return max(minLogBytes, min(limit, room/3))
}
