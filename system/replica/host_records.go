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

// The kinds of records in the durable log. The values are part of the storage format.
const (
	// recordWrite contains a wire.StoredWrite of a group.
	recordWrite uint16 = iota + 1
	// recordReplicaDeleted marks the deletion of this node's replica of a group, and discards the
	// group's earlier records.
	recordReplicaDeleted
	// recordValue contains a value of StoreValue, with the key in place of the group.
	recordValue
	// recordSnapshotData contains the data of the snapshot in the next recordWrite of the group.
	recordSnapshotData
)

// separateSnapshotDataBytes is the minimum size of snapshot data that is stored in a record of
// its own, which avoids copying it into the encoded write.
const separateSnapshotDataBytes = 64 << 10

// encodeWrite returns the records of a write. Large snapshot data is shared, not copied.
func encodeWrite(groupID uint32, write wire.StoredWrite) []durablelog.Record {
	records := []durablelog.Record{}
	if data := write.Snapshot.Data; len(data) >= separateSnapshotDataBytes {
		write.Snapshot.Data, write.SnapshotDataSeparate = nil, true
		records = append(records, durablelog.Record{Group: groupID, Kind: recordSnapshotData, Data: data})
	}
	return append(records, durablelog.Record{Group: groupID, Kind: recordWrite, Data: wire.MustEncode(schema.StoredWrite_TypeID, &write)})
}

// dataBytes returns the total data size of records, without headers.
func dataBytes(records []durablelog.Record) (total int64) {
	for _, record := range records {
		total += int64(len(record.Data))
	}
	return total
}

var errSnapshotDataMissing = errors.New("the data of its snapshot is missing")

// decodeWrite decodes a recordWrite. If its snapshot data was stored in an earlier record, the
// data is removed from snapshotData.
func decodeWrite(record durablelog.Record, snapshotData map[uint32][]byte) (*raft.Write, error) {
	var stored wire.StoredWrite
	if err := wire.Decode(schema.StoredWrite_TypeID, record.Data, &stored); err != nil {
		return nil, err
	}
	write := &raft.Write{HardState: stored.HardState, Entries: stored.Entries}
	if stored.SnapshotDataSeparate {
		data, found := snapshotData[record.Group]
		if !found {
			return nil, errSnapshotDataMissing
		}
		delete(snapshotData, record.Group)
		stored.Snapshot.Data = data
	}
	if stored.HasSnapshot {
		write.Snapshot = &stored.Snapshot
	}
	return write, nil
}

// snapshotRecords returns the complete state of the host, as of this call, as records for a
// snapshot file. It must be called on the loop; the sequence may be consumed on another
// goroutine. Each group is encoded only when the sequence reaches it, so that only one encoded
// group is in memory at a time.
func (host *Host) snapshotRecords() iter.Seq[durablelog.Record] {
	groupIDs := slices.Sorted(maps.Keys(host.groups))
	states := make([]raft.PersistentState, 0, len(groupIDs))
	for _, groupID := range groupIDs {
		states = append(states, host.groups[groupID].core.PersistentState())
	}
	others := []durablelog.Record{}
	for _, groupID := range slices.Sorted(maps.Keys(host.deletedReplicas)) {
		others = append(others, durablelog.Record{Group: groupID, Kind: recordReplicaDeleted})
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
