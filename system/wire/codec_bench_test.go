package wire

import (
	"testing"
	"time"

	"yardrock.example/system/raft"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire/schema"
)

// BenchmarkQueries encodes and decodes one query of the hot path per operation. The allocations
// are compared between versions: `go test -bench . -benchmem`.
func BenchmarkQueries(b *testing.B) {
	addressed := func(message raft.Message) raft.Message {
		message.From, message.To = "store-a", "store-b"
		return message
	}
	heartbeats, replies := []raft.Message{}, []raft.Message{}
	for group := range uint32(16) {
		heartbeats = append(heartbeats, addressed(raft.Message{Group: group, Kind: raft.MessageAppend, Term: 3, Index: 1 << 40, LogTerm: 3, Commit: 1 << 40, Round: 9}))
		replies = append(replies, addressed(raft.Message{Group: group, Kind: raft.MessageAppendReply, Term: 3, Index: 1 << 40, Round: 9}))
	}
	withEntry := addressed(raft.Message{Group: 1, Kind: raft.MessageAppend, Term: 3, Index: 4, LogTerm: 2, Commit: 4, Round: 9,
		Entries: []raft.Entry{{Index: 5, Term: 3, Data: make([]byte, 300)}}})
	batch := func(messages ...raft.Message) *Query {
		return &Query{Version: Version, Fleet: "fleet", To: "store-b", Which: schema.Query_Which_agreement, Raft: &RaftBatch{Messages: messages}}
	}
	for _, benchmark := range []struct {
		name  string
		query *Query
	}{
		{"16 heartbeats", batch(heartbeats...)},
		{"16 heartbeat replies", batch(replies...)},
		{"one append", batch(withEntry)},
		{"mixed batch", batch(append(append(heartbeats[:8:8], replies[8:]...), withEntry)...)},
		{"begin of a turn", &Query{Version: Version, Fleet: "fleet", To: "store-b", Which: schema.Query_Which_command, Command: &CommandQuery{Group: 7, Commands: turnCommands[:1]}}},
		{"end of a turn", &Query{Version: Version, Fleet: "fleet", To: "store-b", Which: schema.Query_Which_command, Command: &CommandQuery{Group: 7, Commands: turnCommands[1:2]}}},
		{"read", &Query{Version: Version, Fleet: "fleet", To: "store-b", Which: schema.Query_Which_read, Read: &ReadQuery{Session: "program/3fa81c", After: 7, Limit: 100, Wait: time.Second}}},
	} {
		b.Run(benchmark.name, func(b *testing.B) {
			var target []byte
			for b.Loop() {
				data, err := AppendQuery(target[:0], benchmark.query)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := DecodeQuery(data); err != nil {
					b.Fatal(err)
				}
				target = data
			}
		})
	}
}

// BenchmarkReplies encodes and decodes one reply per operation.
func BenchmarkReplies(b *testing.B) {
	for _, benchmark := range []struct {
		name  string
		reply *Reply
	}{
		{"outcome", &Reply{Which: schema.Reply_Which_outcomes, Command: &CommandReply{Results: []sessionlog.Result{{Seq: 4, Head: 5}}, History: []byte("in\nout\n")}}},
		{"read", &Reply{Which: schema.Reply_Which_read, Read: &ReadReply{Session: sessionlog.Session{Name: "program/3fa81c", Team: "team", Program: "program"}, Events: make([]sessionlog.Event, 4)}}},
		{"failure", &Reply{Failure: Failure{Kind: "not_leader", Message: "elsewhere", Remedy: "ask there", Leader: "store-b"}}},
	} {
		b.Run(benchmark.name, func(b *testing.B) {
			var target []byte
			for b.Loop() {
				data, err := AppendReply(target[:0], benchmark.reply)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := DecodeReply(data); err != nil {
					b.Fatal(err)
				}
				target = data
			}
		})
	}
}

// BenchmarkStoredWrite encodes and decodes the durable log record of one command.
func BenchmarkStoredWrite(b *testing.B) {
	for b.Loop() {
		command := MustEncode(schema.Command_TypeID, &turnCommands[0])
		data := MustEncode(schema.StoredWrite_TypeID, &StoredWrite{HardState: raft.HardState{Term: 3, VotedFor: "store-a"}, Entries: []raft.Entry{{Index: 5, Term: 3, Data: command}}})
		var write StoredWrite
		if err := Decode(schema.StoredWrite_TypeID, data, &write); err != nil {
			b.Fatal(err)
		}
		var decoded sessionlog.Command
		if err := Decode(schema.Command_TypeID, write.Entries[0].Data, &decoded); err != nil {
			b.Fatal(err)
		}
	}
}
