package replica

import (
	"context"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/durablelog"
	"yardrock.example/system/raft"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// The kinds of record that a host keeps.
const (
	recordWrite uint16 = iota + 1
	recordGroupRemoved
	recordValue
	// recordSnapshotContent is the content of the snapshot in the group's next recordWrite.
	recordSnapshotContent
)

// separateContentBytes is from how many bytes on a snapshot's content is a record of its own,
// which is stored as it is, and not encoded into another.
const separateContentBytes = 64 << 10

const (
	// maxDiskFraction is the part of a disk that slots and logs may take together.
	maxDiskFraction = 0.75
	// minLogBytes is the least that the log may grow to before a slot is due, whatever the
	// size of the disk.
	minLogBytes = 1 << 20
)

// WithDiskSize gives the settings for a disk of a size; 0 is not known.
//
//	settings := replica.Usual(seed).WithDiskSize(128 << 20)
func (settings Settings) WithDiskSize(size int64) Settings {
	settings.DiskBytes = size
	return settings
}

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

type diskJob struct {
	// slot, if set, gives the records of a whole slot; records are those for the log.
	snapshot  iter.Seq[durablelog.Record]
	records   []durablelog.Record
	callbacks []func()
	started   time.Time
}

// StoredValue gives the last value pinned under a number, as found on disk.
//
//	data := host.StoredValue(feedPin)
func (host *Host) StoredValue(key uint32) []byte {
	var data []byte
	host.runOnLoop(func() { data = host.values[key] })
	return data
}

// snapshotRecords gives the records of a whole slot. The replicas' states are taken now; each is
// encoded, by the disk's goroutine, only when its record is due.
func (host *Host) snapshotRecords() iter.Seq[durablelog.Record] {
	numbers := slices.Sorted(maps.Keys(host.groups))
	images := make([]raft.PersistentState, 0, len(numbers))
	for _, groupID := range numbers {
		images = append(images, host.groups[groupID].core.PersistentState())
	}
	others := []durablelog.Record{}
	for _, groupID := range slices.Sorted(maps.Keys(host.removed)) {
		others = append(others, durablelog.Record{Group: groupID, Kind: recordGroupRemoved})
	}
	for _, groupID := range slices.Sorted(maps.Keys(host.values)) {
		others = append(others, durablelog.Record{Group: groupID, Kind: recordValue, Data: host.values[groupID]})
	}
	return func(yield func(durablelog.Record) bool) {
		for position, stored := range images {
			kept := wire.StoredWrite{HardState: stored.HardState, Entries: stored.Entries, HasSnapshot: true, Snapshot: stored.Snapshot}
			for _, record := range encodeWrite(numbers[position], kept) {
				if !yield(record) {
					return
				}
			}
		}
		for _, record := range others {
			if !yield(record) {
				return
			}
		}
	}
}

// encodeWrite gives the records of a write. A large content is not copied.
func encodeWrite(groupID uint32, write wire.StoredWrite) []durablelog.Record {
	records := []durablelog.Record{}
	if content := write.Snapshot.Data; len(content) >= separateContentBytes {
		write.Snapshot.Data, write.SnapshotDataSeparate = nil, true
		records = append(records, durablelog.Record{Group: groupID, Kind: recordSnapshotContent, Data: content})
	}
	return append(records, durablelog.Record{Group: groupID, Kind: recordWrite, Data: wire.MustEncode(schema.StoredWrite_TypeID, &write)})
}

const diskRetryDelay = 200 * time.Millisecond

func (host *Host) diskLoop() {
	for job := range host.diskJobs {
		for {
			var err error
			if job.snapshot != nil {
				err = host.durableLog.WriteSnapshot(job.snapshot)
			} else if len(job.records) > 0 {
				err = host.durableLog.Append(job.records)
			}
			if err == nil {
				break
			}
			log.WithFields(log.Fields{"node": host.name, "error": err.Error()}).Error("disk_write_failed")
			select {
			case <-time.After(diskRetryDelay):
			case <-host.stopping:
				return
			}
		}
		host.finishedJobs <- job
	}
}

// StoreValue stores the last value under a number, beside the groups, and returns once
// it lasts.
//
//	err := host.StoreValue(ctx, feedPin, data)
func (host *Host) StoreValue(ctx context.Context, key uint32, data []byte) error {
	done := make(chan struct{})
	running := host.runOnLoop(func() {
		host.values[key] = data
		host.pendingRecords = append(host.pendingRecords, durablelog.Record{Group: key, Kind: recordValue, Data: data})
		host.pendingCallbacks = append(host.pendingCallbacks, func() { close(done) })
	})
	if !running {
		return outcomeUnknown()
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return outcomeUnknown()
	case <-host.stopped:
		return outcomeUnknown()
	}
}

// Syncs counts the synced frames of this node.
//
//	syncs := host.Syncs()
func (host *Host) Syncs() uint64 { return host.durableLog.Syncs() }
