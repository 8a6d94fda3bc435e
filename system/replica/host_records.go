package replica

import (
	"errors"
	"iter"
	"maps"
	"slices"

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

// encodeWrite gives the records of a write. A large content is not copied.
func encodeWrite(groupID uint32, write wire.StoredWrite) []durablelog.Record {
	records := []durablelog.Record{}
	if content := write.Snapshot.Data; len(content) >= separateContentBytes {
		write.Snapshot.Data, write.SnapshotDataSeparate = nil, true
		records = append(records, durablelog.Record{Group: groupID, Kind: recordSnapshotContent, Data: content})
	}
	return append(records, durablelog.Record{Group: groupID, Kind: recordWrite, Data: wire.MustEncode(schema.StoredWrite_TypeID, &write)})
}

var errSnapshotContentMissing = errors.New("the content of its snapshot is missing")

// decodeWrite decodes a write, whose snapshot's content may have come in the record
// before it.
func decodeWrite(record durablelog.Record, contents map[uint32][]byte) (*raft.Write, error) {
	var kept wire.StoredWrite
	if err := wire.Decode(schema.StoredWrite_TypeID, record.Data, &kept); err != nil {
		return nil, err
	}
	write := &raft.Write{HardState: kept.HardState, Entries: kept.Entries}
	if kept.SnapshotDataSeparate {
		content, found := contents[record.Group]
		if !found {
			return nil, errSnapshotContentMissing
		}
		delete(contents, record.Group)
		kept.Snapshot.Data = content
	}
	if kept.HasSnapshot {
		write.Snapshot = &kept.Snapshot
	}
	return write, nil
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
