package wire

import (
	"bytes"
	"reflect"
	"runtime"
	"slices"
	"testing"
	"time"

	"yardrock.example/system/raft"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire/schema"
)

var turnCommands = []sessionlog.Command{
	{Kind: sessionlog.BeginTurn, Session: "program/3fa81c", Now: 7, Retention: time.Hour, Producer: "9c41d07b", ProducerSeq: 1, Follows: "40c8f1a7", Dispatch: "front-1/7", Data: []byte("in\x00\xff\n"),
		Tokens: 136, Quota: 1088, HasQuota: true, KeepData: true, Lifetime: time.Minute, HasExpectedSeq: true, ExpectedSeq: 12,
		Adopted: []sessionlog.AdoptedTurn{{Name: "a", Data: []byte("in a\nout a\n")}, {Name: "b"}}},
	{Kind: sessionlog.EndTurn, Session: "program/3fa81c", Producer: "9c41d07b", ProducerSeq: 2, Outcome: sessionlog.OutcomeComplete, Data: bytes.Repeat([]byte("out\n"), 300), Tokens: 80, KeepData: true},
	{Kind: sessionlog.AckArchived, Acks: []sessionlog.Ack{{Session: "program/3fa81c", ArchivedSeq: 9}}},
	{Kind: sessionlog.AppendEvents, Session: "a/c", Producer: "p", ProducerSeq: 1, Events: []sessionlog.Event{{Kind: sessionlog.OutputPart, Text: "hello", Data: []byte{0}}}},
	{},
}

func TestTurnCommandsRoundTrip(t *testing.T) {
	for position, command := range turnCommands {
		var stored sessionlog.Command
		if err := Decode(schema.Command_TypeID, MustEncode(schema.Command_TypeID, &command), &stored); err != nil || !reflect.DeepEqual(stored, command) {
			t.Errorf("command %d was decoded as %+v, %v", position, stored, err)
		}
	}
	query := &Query{Version: Version, Fleet: "fleet", To: "store-b", Which: schema.Query_Which_command, Command: &CommandQuery{Group: 7, Commands: turnCommands}}
	data, err := AppendQuery([]byte("before"), query)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeQuery(data[len("before"):]); err != nil || !reflect.DeepEqual(got, query) {
		t.Errorf("query was decoded as %+v, %v", got, err)
	}
	for _, reply := range []*Reply{
		{Which: schema.Reply_Which_outcomes, Command: &CommandReply{Results: []sessionlog.Result{{Status: sessionlog.TurnOpen, Seq: 4, Head: 5, Deduped: true, Spent: 6, Reserved: 7}}, History: []byte("in\nout\n")}},
		{Which: schema.Reply_Which_found, FoundTurn: &FindTurnReply{SearchedGroups: []uint32{1, 31}, Found: true, Chain: turnCommands[0].Adopted[:1]}},
		{Failure: Failure{Kind: "not_leader", Message: "elsewhere", Remedy: "ask there", Leader: "store-b", RetryAfter: time.Second}},
		{},
	} {
		data, err := AppendReply(nil, reply)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeReply(data); err != nil || !reflect.DeepEqual(got, reply) {
			t.Errorf("%+v was decoded as %+v, %v", reply, got, err)
		}
	}
}

func TestSnapshotRoundTripsTurnsAndQuotaUsage(t *testing.T) {
	machine := sessionlog.NewStateMachine()
	for _, command := range []sessionlog.Command{
		{Kind: sessionlog.BeginTurn, Session: "program/a", Now: 1, Retention: time.Hour, Producer: "one", Dispatch: "d", KeepData: true, Data: []byte("in"), HasQuota: true, Tokens: 10, Quota: 100, Lifetime: time.Minute},
		{Kind: sessionlog.EndTurn, Session: "program/a", Producer: "one", Outcome: sessionlog.OutcomeComplete, KeepData: true, Data: []byte("out"), Tokens: 4},
		{Kind: sessionlog.BeginTurn, Session: "program/a", Now: 1, Retention: time.Hour, Producer: "two", Follows: "one", Dispatch: "e", HasQuota: true, Tokens: 10, Quota: 100, Lifetime: time.Minute},
	} {
		if outcome := machine.Apply(&command); outcome.Status != sessionlog.Done {
			t.Fatalf("command was not applied: %+v", outcome)
		}
	}
	snapshot := machine.View().Snapshot()
	var stored sessionlog.Snapshot
	if err := Decode(schema.LineImage_TypeID, MustEncode(schema.LineImage_TypeID, &snapshot), &stored); err != nil {
		t.Fatal(err)
	}
	restoredMachine := sessionlog.NewStateMachine()
	if err := restoredMachine.Restore(stored); err != nil {
		t.Fatal(err)
	}
	restored := restoredMachine.View().Snapshot()
	if !reflect.DeepEqual(restored.Turns, snapshot.Turns) || restored.Sessions[0].Spent != 4 || restored.Sessions[0].Reserved != 10 || restored.Sessions[0].RetainUntil != snapshot.Sessions[0].RetainUntil {
		t.Fatalf("restored %+v, want %+v", restored, snapshot)
	}
	if turn, found := restoredMachine.View().Turn("program/a", "two"); !found || turn.Follows == nil || turn.Follows.Name != "one" || !turn.Follows.Complete() {
		t.Fatalf("restored %+v", turn)
	}
	snapshot.Version, snapshot.Turns = 1, nil // as the previous version wrote it
	if err := Decode(schema.LineImage_TypeID, MustEncode(schema.LineImage_TypeID, &snapshot), &stored); err != nil || restoredMachine.Restore(stored) != nil {
		t.Fatalf("a snapshot of the previous version was rejected: %v", err)
	}
}

func TestRaftBatchRoundTripsAllMessages(t *testing.T) {
	addressed := func(message raft.Message) raft.Message {
		message.From, message.To = "store-a", "store-b"
		return message
	}
	entries := []raft.Entry{{Index: 5, Term: 3, Data: []byte("five")}, {Index: 6, Term: 3, Kind: raft.EntryMembership, Membership: raft.Membership{Voters: []string{"a", "b"}}}}
	messages := []raft.Message{
		addressed(raft.Message{Group: 1, Kind: raft.MessageAppend, Term: 3, Index: 4, LogTerm: 2, Commit: 4, Round: 9, Entries: entries}),
		addressed(raft.Message{Group: 2, Kind: raft.MessageAppend, Term: 3, Index: 4, LogTerm: 3, Commit: 4, Round: 9}),
		addressed(raft.Message{Group: 3, Kind: raft.MessageAppend, Term: 3, Index: 4, LogTerm: 3, Commit: 3}),
		addressed(raft.Message{Group: 4, Kind: raft.MessageAppend, Term: 1 << 33, Index: 4, LogTerm: 1 << 33, Commit: 4}),
		addressed(raft.Message{Group: 5, Kind: raft.MessageAppendReply, Term: 3, Index: 4, Round: 9}),
		addressed(raft.Message{Group: 6, Kind: raft.MessageAppendReply, Term: 3, Index: 4, Rejected: true, Hint: 2}),
		addressed(raft.Message{Group: 7, Kind: raft.MessagePreVote, Term: 3, Index: 4, LogTerm: 3}),
		addressed(raft.Message{Group: 8, Kind: raft.MessageVote, Term: 3, Index: 4, LogTerm: 3, Forced: true}),
		addressed(raft.Message{Group: 9, Kind: raft.MessageSnapshot, Term: 3, Snapshot: raft.Snapshot{Index: 4, Term: 2, Data: []byte("image")}}),
		addressed(raft.Message{Group: 10, Kind: raft.MessageSnapshotChunk, Term: 3, Snapshot: raft.Snapshot{Index: 4, Term: 2, Data: []byte("part")},
			Chunk: raft.SnapshotChunk{Offset: 9, Total: 13, ContentChecksum: 5, Checksum: 6}}),
		addressed(raft.Message{Group: 11, Kind: raft.MessageSnapshotReply, Term: 3, Index: 4, Hint: 9, Rejected: true,
			Chunk: raft.SnapshotChunk{Offset: 7, ContentChecksum: 5, Reason: raft.SnapshotOutOfOrder}}),
	}
	data, err := AppendQuery(nil, &Query{Which: schema.Query_Which_agreement, Raft: &RaftBatch{Messages: messages}})
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeQuery(data)
	if err != nil {
		t.Fatal(err)
	}
	slices.SortFunc(got.Raft.Messages, func(left, right raft.Message) int { return int(left.Group) - int(right.Group) })
	if !reflect.DeepEqual(got.Raft.Messages, messages) {
		t.Fatalf("batch was decoded as %+v", got.Raft.Messages)
	}
	heartbeats := []raft.Message{}
	for group := range uint32(16) {
		heartbeats = append(heartbeats, addressed(raft.Message{Group: group, Kind: raft.MessageAppend, Term: 3, Index: 1 << 40, LogTerm: 3, Commit: 1 << 40, Round: 9}))
	}
	if data, err = AppendQuery(nil, &Query{Which: schema.Query_Which_agreement, Raft: &RaftBatch{Messages: heartbeats}}); err != nil || len(data) > 24*len(heartbeats)+200 {
		t.Fatalf("%d heartbeats take %d bytes, %v", len(heartbeats), len(data), err)
	}
}

// TestEntryDoesNotKeepItsMessage decodes batches and retains one small entry of each, as if the
// logs of the other groups had been compacted. The large entries must be freed.
func TestEntryDoesNotKeepItsMessage(t *testing.T) {
	const batches, largeSize = 50, 1 << 20
	messages := []raft.Message{
		{Group: 1, Kind: raft.MessageAppend, Term: 3, Entries: []raft.Entry{{Index: 1, Term: 3, Data: []byte("small")}}},
		{Group: 2, Kind: raft.MessageAppend, Term: 3, Entries: []raft.Entry{{Index: 1, Term: 3, Data: make([]byte, largeSize)}}},
	}
	data, err := AppendQuery(nil, &Query{Which: schema.Query_Which_agreement, Raft: &RaftBatch{Messages: messages}})
	if err != nil {
		t.Fatal(err)
	}
	heapBefore, entries := heapInUse(), []raft.Entry{}
	for range batches {
		got, err := DecodeQuery(bytes.Clone(data))
		if err != nil {
			t.Fatal(err)
		}
		for _, message := range got.Raft.Messages {
			if message.Group == 1 {
				entries = append(entries, message.Entries...)
			}
		}
	}
	if retained := heapInUse() - heapBefore; retained > batches*largeSize/10 {
		t.Errorf("%d small entries retain %d bytes", len(entries), retained)
	}
	runtime.KeepAlive(entries)
}

// TestRestoredEventDoesNotKeepItsSnapshot restores a large and a small session from a snapshot
// and archives the large one. The events of the small session must not keep the snapshot data
// in memory.
func TestRestoredEventDoesNotKeepItsSnapshot(t *testing.T) {
	const snapshots, largeSize = 20, 1 << 20
	machine := sessionlog.NewStateMachine()
	for name, size := range map[string]int{"a/large": largeSize, "a/small": 10} {
		machine.Apply(&sessionlog.Command{Kind: sessionlog.CreateSession, Session: name, Retention: time.Hour})
		event := sessionlog.Event{Kind: sessionlog.HelperStarted, Data: make([]byte, size)}
		machine.Apply(&sessionlog.Command{Kind: sessionlog.AppendEvent, Session: name, Producer: "p", ProducerSeq: 1, Events: []sessionlog.Event{event}})
	}
	snapshot := machine.View().Snapshot()
	data := MustEncode(schema.LineImage_TypeID, &snapshot)
	heapBefore, machines := heapInUse(), []*sessionlog.StateMachine{}
	for range snapshots {
		var stored sessionlog.Snapshot
		if err := Decode(schema.LineImage_TypeID, bytes.Clone(data), &stored); err != nil {
			t.Fatal(err)
		}
		restored := sessionlog.NewStateMachine()
		if err := restored.Restore(stored); err != nil {
			t.Fatal(err)
		}
		restored.Apply(&sessionlog.Command{Kind: sessionlog.AckArchived, Acks: []sessionlog.Ack{{Session: "a/large", ArchivedSeq: 1}}})
		if session, found := restored.View().Session("a/small"); !found || len(session.Unarchived) != 1 || len(session.Unarchived[0].Data) != 10 {
			t.Fatalf("restored %+v", session)
		}
		machines = append(machines, restored)
	}
	if retained := heapInUse() - heapBefore; retained > snapshots*largeSize/10 {
		t.Errorf("%d small events retain %d bytes", len(machines), retained)
	}
	runtime.KeepAlive(machines)
}

// heapInUse collects garbage and returns the bytes in use on the heap.
func heapInUse() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapInuse)
}

func TestMessagesOfAnyLengthArePackedAndUnpacked(t *testing.T) {
	for size := 0; size < 3*maxPackableSize; size = 2*size + 1 {
		for name, data := range map[string][]byte{"zeros": make([]byte, size), "text": bytes.Repeat([]byte("x"), size)} {
			query := &Query{Which: schema.Query_Which_command, Command: &CommandQuery{Commands: []sessionlog.Command{{Kind: sessionlog.BeginTurn, Producer: "p", Data: data}}}}
			encoded, err := AppendQuery(nil, query)
			if err != nil {
				t.Fatal(err)
			}
			if decoded, err := DecodeQuery(encoded); err != nil || !bytes.Equal(decoded.Command.Commands[0].Data, data) {
				t.Fatalf("%d bytes of %s did not round trip: %v", size, name, err)
			}
			for _, length := range []int{1, 7, 8, 9, len(encoded) / 2, len(encoded) - 1} {
				if decoded, err := DecodeQuery(encoded[:length]); err == nil && decoded == nil {
					t.Fatalf("decoding %d of %d bytes returned neither a query nor an error", length, len(encoded))
				}
			}
		}
	}
	if _, err := DecodeQuery([]byte{packedMarker, 0, 0, 0, 0xff, 0xff, 0xff, 0xff, 0, 0xff}); err == nil {
		t.Fatal("a message with a wrong declared size was decoded")
	}
}

// FuzzDecodeQuery decodes arbitrary bytes. A decoded command query must round trip, and a state
// machine that applied its commands must have a snapshot that can be restored.
func FuzzDecodeQuery(f *testing.F) {
	for _, query := range []*Query{
		{Which: schema.Query_Which_command, Command: &CommandQuery{Group: 7, Commands: turnCommands}},
		{Which: schema.Query_Which_find, FindTurn: &FindTurnQuery{Name: "9c41d07b"}},
		{Which: schema.Query_Which_agreement, Raft: &RaftBatch{Messages: []raft.Message{{Group: 1, Kind: raft.MessageAppend, From: "a", To: "b", Term: 3, Index: 4, LogTerm: 3, Commit: 4}, {Kind: raft.MessageAppend, From: "a", To: "b", Entries: []raft.Entry{{Data: []byte("x")}}}}}},
	} {
		data, err := AppendQuery(nil, query)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		query, err := DecodeQuery(data)
		if err != nil || query.Command == nil {
			return
		}
		encoded, err := AppendQuery(nil, query)
		if err != nil {
			return // content shared by several pointers may exceed the limits once it is encoded for each
		}
		decoded, err := DecodeQuery(encoded)
		if err != nil || !reflect.DeepEqual(decoded, query) {
			t.Fatalf("%+v was decoded as %+v, %v", query, decoded, err)
		}
		machine := sessionlog.NewStateMachine()
		for position := range query.Command.Commands {
			machine.Apply(&query.Command.Commands[position])
		}
		snapshot := machine.View().Snapshot()
		if sessionlog.NewStateMachine().Restore(snapshot) != nil {
			t.Fatal("the group's snapshot cannot be restored")
		}
	})
}

// FuzzDecodeReply decodes arbitrary bytes, which must return a reply or an error.
func FuzzDecodeReply(f *testing.F) {
	data, err := AppendReply(nil, &Reply{Which: schema.Reply_Which_outcomes, Command: &CommandReply{Results: []sessionlog.Result{{Seq: 4}}, History: []byte("in\nout\n")}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		reply, err := DecodeReply(data)
		if err == nil && reply == nil {
			t.Fatal("decoding returned neither a reply nor an error")
		}
	})
}
