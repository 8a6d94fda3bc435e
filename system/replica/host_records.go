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

// The kinds of record in the durable log. The values are stored.
const (
	// recordWrite has a wire.StoredWrite of a group.
	recordWrite uint16 = iota + 1
	// recordGroupRemoved says that a group has moved away. It ends what was stored of it.
	recordGroupRemoved
	// recordValue has a value of StoreValue; the key is in the place of the group.
	recordValue
	// recordSnapshotContent has the content of the snapshot in the group's next recordWrite.
	recordSnapshotContent
)

// separateContentBytes is the size from which on a snapshot's content is stored in a record of
// its own, so that it need not be copied into another encoding.
const separateContentBytes = 64 << 10

// encodeWrite returns the records of a write. They share the memory of a large snapshot.
func encodeWrite(groupID uint32, write wire.StoredWrite) []durablelog.Record {
	records := []durablelog.Record{}
	if content := write.Snapshot.Data; len(content) >= separateContentBytes {
		write.Snapshot.Data, write.SnapshotDataSeparate = nil, true
		records = append(records, durablelog.Record{Group: groupID, Kind: recordSnapshotContent, Data: content})
	}
	return append(records, durablelog.Record{Group: groupID, Kind: recordWrite, Data: wire.MustEncode(schema.StoredWrite_TypeID, &write)})
}

// dataBytes returns the size of the data of records.
func dataBytes(records []durablelog.Record) (total int64) {
	for _, record := range records {
		total += int64(len(record.Data))
	}
	return total
}

var errSnapshotContentMissing = errors.New("the content of its snapshot is missing")

// decodeWrite decodes a recordWrite. The content of its snapshot may have been in a record
// before it; it is taken out of contents then.
func decodeWrite(record durablelog.Record, contents map[uint32][]byte) (*raft.Write, error) {
	var stored wire.StoredWrite
	if err := wire.Decode(schema.StoredWrite_TypeID, record.Data, &stored); err != nil {
		return nil, err
	}
	write := &raft.Write{HardState: stored.HardState, Entries: stored.Entries}
	if stored.SnapshotDataSeparate {
		content, found := contents[record.Group]
		if !found {
			return nil, errSnapshotContentMissing
		}
		delete(contents, record.Group)
		stored.Snapshot.Data = content
	}
	if stored.HasSnapshot {
		write.Snapshot = &stored.Snapshot
	}
	return write, nil
}

// snapshotRecords returns the records of the complete state of the host, for a snapshot file. The
// state is that of this call, which must be on the loop. The sequence may be read on another
// goroutine; it encodes each group only when its record is needed, so that memory is needed
// for one at a time.
func (host *Host) snapshotRecords() iter.Seq[durablelog.Record] {
	groupIDs := slices.Sorted(maps.Keys(host.groups))
	states := make([]raft.PersistentState, 0, len(groupIDs))
	for _, groupID := range groupIDs {
		states = append(states, host.groups[groupID].core.PersistentState())
	}
	others := []durablelog.Record{}
	for _, groupID := range slices.Sorted(maps.Keys(host.removed)) {
		others = append(others, durablelog.Record{Group: groupID, Kind: recordGroupRemoved})
	}
	for _, key := range slices.Sorted(maps.Keys(host.values)) {
		others = append(others, durablelog.Record{Group: key, Kind: recordValue, Data: host.values[key]})
	}
	return func(yield func(durablelog.Record) bool) {
		for position, state := range states {
			write := wire.StoredWrite{HardState: state.HardState, Entries: state.Entries, HasSnapshot: true, Snapshot: state.Snapshot}
			for _, record := range encodeWrite(groupIDs[position], write) {
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
