package link

import (
	"bytes"
	"context"
	"testing"

	"yardrock.example/system/raft"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

func trafficOf(kind string) wire.TrafficByKind {
	for _, counted := range Traffic() {
		if counted.Kind == kind {
			return counted
		}
	}
	return wire.TrafficByKind{Kind: kind}
}

// TestTrafficIsCountedByKindOnBothSides runs client and server in one process, so each query is
// counted once as sent and once as received, and its bytes once in each direction.
func TestTrafficIsCountedByKindOnBothSides(t *testing.T) {
	listener, err := TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := Serve(listener, func(_ context.Context, query *wire.Query) *wire.Reply {
		if query.Status != nil {
			return &wire.Reply{Which: schema.Reply_Which_status, Status: &wire.StatusReply{Name: "one"}}
		}
		return &wire.Reply{}
	})
	defer server.Close()
	client := NewClient(TCP{})
	defer client.Close()
	before := trafficOf("agreement")
	const queries, size = 5, 4096
	for range queries {
		message := raft.Message{Kind: raft.MessageAppend, Entries: []raft.Entry{{Data: bytes.Repeat([]byte{1}, size)}}}
		if _, err := client.Call(t.Context(), listener.Addr().String(), &wire.Query{Which: schema.Query_Which_agreement, Raft: &wire.RaftBatch{Messages: []raft.Message{message}}}); err != nil {
			t.Fatal(err)
		}
	}
	after := trafficOf("agreement")
	if sent, received := after.QueriesSent-before.QueriesSent, after.QueriesReceived-before.QueriesReceived; sent != queries || received != queries {
		t.Fatalf("counted %d sent and %d received, want %d of each", sent, received, queries)
	}
	for direction, increase := range map[string]uint64{"out": after.BytesOut - before.BytesOut, "in": after.BytesIn - before.BytesIn} {
		if increase < queries*size || increase > queries*(size+2048) {
			t.Errorf("counted %d bytes %s for %d queries of %d bytes", increase, direction, queries, size)
		}
	}
	for requested, want := range map[bool]bool{false: false, true: true} {
		reply, err := client.Call(t.Context(), listener.Addr().String(), &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{Traffic: requested}})
		if err != nil {
			t.Fatal(err)
		}
		if reported := len(reply.Status.Traffic) > 0; reported != want {
			t.Errorf("traffic requested: %t, reported: %t", requested, reported)
		}
	}
}

func TestUnknownKindsAreNotCounted(*testing.T) {
	countQuerySent(maxQueryKinds, 0)
	countQueryReceived(maxQueryKinds+1, 0)
	countReplyReceived(maxQueryKinds+2, 0)
	countReplySent(maxQueryKinds+3, 0)
}
