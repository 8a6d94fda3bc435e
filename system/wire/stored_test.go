package wire

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"yardrock.example/system/feed"
	"yardrock.example/system/raft"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire/schema"
)

// storedDir has a file for each kind of stored record, as encoded by the version that wrote
// the file. With WRITE_STORED_DATA=1 the test writes missing files. Existing ones are never
// overwritten, because every later version must be able to read them.
const storedDir = "testdata/stored"

func storedMember(name string) feed.Member {
	return feed.Member{Name: name, Role: feed.RoleStore, Address: "10.0.1.1:7000", Domain: "east", State: feed.StateServing, AdminAddress: "10.0.1.1:7200", Machine: "rack 4"}
}

func storedView() feed.View {
	return feed.View{
		Fleet: "fleet-1", Number: 7, ConfigNumber: 5, Source: "a: 1", Compiled: []byte(`{"route":1}`),
		Domains:        []feed.Domain{{Name: "east", State: feed.StateDrained, Since: 11}},
		Runners:        []feed.Runner{{Incarnation: "life-1", Address: "10.0.0.1:80", Group: "engines", Domain: "east", State: feed.StateWarmingUp, Since: 12, Warmed: true, Slots: 32, WarmUpLeft: 3 * time.Second, Revision: "r7"}},
		FoundingStores: []feed.Member{storedMember("founding")}, Stores: []feed.Member{storedMember("store")}, Controls: []feed.Member{storedMember("control")},
		RoleLeases: []feed.RoleLease{{Key: "list", Holder: "control", FencingToken: 3}}, Groups: 8, Replicas: 5, Founding: []string{"one", "two"}, Decommissioned: []feed.Member{storedMember("retired")},
		RoutingRequests: feed.RequestHistory{Packed: bytes.Repeat([]byte{1, 2}, 8), EvictedUpTo: 2}, AdminRequests: feed.RequestHistory{Packed: bytes.Repeat([]byte{3, 4}, 8), EvictedUpTo: 1},
	}
}

func storedChange(kind feed.ChangeKind) feed.Change {
	return feed.Change{
		Number: 8, Kind: kind, At: 13, By: "root", Expects: true, Expected: 7, Source: "b: 2", Compiled: []byte(`{"route":2}`), Domain: feed.Domain{Name: "west", State: feed.StateServing, Since: 14},
		Runners: storedView().Runners, Member: storedMember("left"), Members: []feed.Member{storedMember("a"), storedMember("b")}, RoleLease: feed.RoleLease{Key: "list", Holder: "other", FencingToken: 4},
		View: storedView(), Statement: "empty domain west", Partial: true, Removed: []string{"life-0"}, AdminRequest: 77,
		RoutingRequests: []feed.AcceptedRequest{{Digest: 5, Number: 6}}, RoutingEvictedUpTo: 3,
		Delta: feed.ConfigDelta{Base: 5, Source: []byte("source"), Compiled: []byte("compiled"), Digest: []byte("digest")},
	}
}

func storedEvent(kind sessionlog.EventKind) sessionlog.Event {
	return sessionlog.Event{Seq: 4, At: 15, Kind: kind, Run: 3, Follows: 2, Text: "words", Outcome: sessionlog.OutcomeInterrupted, Runner: "10.0.0.1:80", Dispatch: "front-1/7", Digest: "digest",
		Name: "turn", Part: 9, Producer: "producer", ProducerSeq: 6, Config: 5, Deadline: 16, Data: []byte("in\x00\xff\n"), Prefix: "opening-2"}
}

func storedCommand(kind sessionlog.CommandKind) sessionlog.Command {
	return sessionlog.Command{Kind: kind, Session: "program/a", Now: 17, Retention: time.Hour, Team: "depot", Program: "dialogue", WorkKind: "talk", Producer: "turn", ProducerSeq: 1, HasExpectedSeq: true, ExpectedSeq: 12,
		Events: []sessionlog.Event{storedEvent(sessionlog.OutputPart)}, Reservation: "program/a|d", Words: 18, Quota: 1088, Acks: []sessionlog.Ack{{Session: "program/a", ArchivedSeq: 9}}, Lifetime: time.Minute,
		Follows: "before", Dispatch: "front-1/7", Outcome: sessionlog.OutcomeComplete, Data: []byte("data"), Tokens: 136, HasQuota: true, KeepData: true,
		Adopted: []sessionlog.AdoptedTurn{{Name: "adopted", Data: []byte("in\nout\n")}}, Scope: "scope", Prefix: "opening-2"}
}

// storedGroupSnapshot returns a session group's snapshot with all fields of a version: turns
// since version 2, shared prefixes since version 3.
func storedGroupSnapshot(version uint32) sessionlog.Snapshot {
	snapshot := sessionlog.Snapshot{Version: version, Clock: 20,
		Sessions: []sessionlog.Session{{Name: "program/a", Team: "depot", Program: "dialogue", WorkKind: "talk", CreatedAt: 1, Retention: time.Hour, UpdatedAt: 2, Head: 4, ArchivedSeq: 3,
			Producers: []sessionlog.Producer{{Name: "producer", ProducerSeq: 6, Seq: 4, At: 15}}, Unarchived: []sessionlog.Event{storedEvent(sessionlog.TurnBegun)}, OpenRuns: []uint64{4}, RetainUntil: 21, Spent: 22, Reserved: 23}},
		QuotaUsages: []sessionlog.QuotaUsage{{Name: sessionlog.QuotaName("depot", "dialogue", "first"), Spent: 24, Reservations: []sessionlog.Reservation{{Name: "program/a|d", Words: 25, ExpiresAt: 26}}, Settled: []sessionlog.Reservation{{Name: "program/a|c", Words: 27, ExpiresAt: 28}}}},
	}
	if version > 1 {
		snapshot.Turns = []sessionlog.TurnRecord{{Session: "program/a", Name: "one", Seq: 1, EndSeq: 3, Outcome: sessionlog.OutcomeComplete, Dispatch: "front-1/6", Deadline: 29, Tokens: 30},
			{Session: "program/a", Name: "turn", Seq: 4, Follows: "one", Dispatch: "front-1/7", Deadline: 31, Tokens: 32}}
	}
	if version > 2 {
		data := []byte("what many lines begin with")
		name := sessionlog.SharedPrefixName("scope", data)
		snapshot.Sessions[0].Prefixes = []string{name}
		snapshot.Prefixes = []sessionlog.SharedPrefixRecord{{Name: name, Scope: "scope", Data: data, KeepUntil: 33}}
	}
	return snapshot
}

func storedSnapshot() raft.Snapshot {
	return raft.Snapshot{Index: 4, Term: 2, Membership: raft.Membership{Voters: []string{"a", "b"}, Learners: []string{"c"}}, Data: []byte("content")}
}

func storedWrite() StoredWrite {
	return StoredWrite{HardState: raft.HardState{Term: 3, VotedFor: "a"}, HasSnapshot: true, Snapshot: storedSnapshot(), Entries: []raft.Entry{
		{Index: 5, Term: 3, Data: []byte("five")},
		{Index: 6, Term: 3, Kind: raft.EntryMembership, Membership: raft.Membership{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}}}}}
}

func storedSeparateWrite() StoredWrite {
	snapshot := storedSnapshot()
	snapshot.Data = nil
	return StoredWrite{HardState: raft.HardState{Term: 3, VotedFor: "a"}, HasSnapshot: true, Snapshot: snapshot, SnapshotDataSeparate: true}
}

func storedChunks() ArchiveChunkBatch {
	return ArchiveChunkBatch{Chunks: []ArchiveChunk{{Group: 7, Session: "program/a", First: 1, Last: 4, ExpiresAt: 34, Events: []sessionlog.Event{storedEvent(sessionlog.TurnEnded)}}}}
}

func storedIndex() ArchiveIndex {
	return ArchiveIndex{Locations: []ChunkLocation{{Group: 7, Session: "program/a", First: 1, Last: 4, ExpiresAt: 34, Offset: 35, Length: 36, Checksum: 37, Digest: []byte("digest")}}}
}

// storedRecord is a kind of stored record, with the value that its file holds.
type storedRecord struct {
	value  any
	encode func() []byte
	decode func(data []byte) (any, error)
}

func newStoredRecord[Value any](typeID uint64, value Value) storedRecord {
	return storedRecord{value: value, encode: func() []byte { return MustEncode(typeID, &value) }, decode: func(data []byte) (any, error) {
		var decoded Value
		err := Decode(typeID, data, &decoded)
		return decoded, err
	}}
}

func storedRecords() map[string]storedRecord {
	view := storedView()
	unpack := func(data []byte) (any, error) {
		decoded, err := UnpackView(data)
		if err != nil {
			return nil, err
		}
		return *decoded, nil
	}
	earlier := []feed.EarlierConfig{{Number: 4, Delta: storedChange(feed.ChangeConfig).Delta}}
	records := map[string]storedRecord{
		"view":             newStoredRecord(schema.View_TypeID, view),
		"view-packed":      {value: view, encode: func() []byte { return PackView(&view) }, decode: unpack},
		"view-unpacked":    {value: view, encode: func() []byte { return MustEncode(schema.View_TypeID, &view) }, decode: unpack},
		"control-image-1":  newStoredRecord(schema.ControlImage_TypeID, ControlSnapshot{Version: 1, View: view, Changes: []feed.Change{storedChange(feed.ChangeConfig)}}),
		"control-image-2":  newStoredRecord(schema.ControlImage_TypeID, ControlSnapshot{Version: 2, PackedView: []byte("packed"), Changes: []feed.Change{storedChange(feed.ChangeRunners)}, EarlierConfigs: earlier}),
		"line-image-1":     newStoredRecord(schema.LineImage_TypeID, storedGroupSnapshot(1)),
		"line-image-2":     newStoredRecord(schema.LineImage_TypeID, storedGroupSnapshot(2)),
		"line-image-3":     newStoredRecord(schema.LineImage_TypeID, storedGroupSnapshot(3)),
		"write":            newStoredRecord(schema.StoredWrite_TypeID, storedWrite()),
		"write-apart":      newStoredRecord(schema.StoredWrite_TypeID, storedSeparateWrite()),
		"cold-chunk-batch": newStoredRecord(schema.ColdChunkBatch_TypeID, storedChunks()),
		"cold-index":       newStoredRecord(schema.ColdIndex_TypeID, storedIndex()),
	}
	for kind := feed.ChangeBootstrapped; kind <= feed.ChangeRecovered; kind++ {
		records[fmt.Sprintf("change-%d", kind)] = newStoredRecord(schema.Change_TypeID, storedChange(kind))
	}
	for kind := sessionlog.CreateSession; kind <= sessionlog.BeginTurnWithPrefix; kind++ {
		records[fmt.Sprintf("command-%d", kind)] = newStoredRecord(schema.Command_TypeID, storedCommand(kind))
	}
	return records
}

// TestStoredDataOfEarlierVersionIsRead decodes each kind of stored record from a file that an
// earlier version wrote. Fields added since are zero there and must stay unset in the values
// above.
func TestStoredDataOfEarlierVersionIsRead(t *testing.T) {
	for name, record := range storedRecords() {
		path := filepath.Join(storedDir, name+".bin")
		if _, err := os.Stat(path); os.IsNotExist(err) && os.Getenv("WRITE_STORED_DATA") != "" {
			if err := os.WriteFile(path, record.encode(), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		data, err := os.ReadFile(path)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		decoded, err := record.decode(data)
		// Compared as text, because the stored form does not distinguish nil from empty slices.
		if got, want := fmt.Sprintf("%+v", decoded), fmt.Sprintf("%+v", record.value); err != nil || got != want {
			t.Errorf("%s: %v\nread %s\nwant %s", name, err, got, want)
		}
	}
}

// TestStoredSnapshotsOfEarlierVersionsAreRestored restores a state machine from each version of a
// group's snapshot.
func TestStoredSnapshotsOfEarlierVersionsAreRestored(t *testing.T) {
	for version := uint32(1); version <= 3; version++ {
		data, err := os.ReadFile(filepath.Join(storedDir, fmt.Sprintf("line-image-%d.bin", version)))
		if err != nil {
			t.Fatal(err)
		}
		var snapshot sessionlog.Snapshot
		machine := sessionlog.NewStateMachine()
		if err := Decode(schema.LineImage_TypeID, data, &snapshot); err != nil {
			t.Fatal(err)
		}
		if err := machine.Restore(snapshot); err != nil {
			t.Fatalf("snapshot of version %d: %v", version, err)
		}
		want := storedGroupSnapshot(version)
		want.Version = max(want.Version, 2)
		if version > 1 {
			want.Sessions[0].Turns = []string{"one", "turn"}
		}
		if got := machine.View().Snapshot(); fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", want) {
			t.Errorf("snapshot of version %d is restored as\n%+v\nwant\n%+v", version, got, want)
		}
	}
}
