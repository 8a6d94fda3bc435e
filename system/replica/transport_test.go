package replica

import (
	"context"
	"sync"
	"testing"
	"time"

	"yardrock.example/system/link"
	"yardrock.example/system/raft"
	"yardrock.example/system/wire"
)

func next(t *testing.T, messages <-chan raft.Message) raft.Message {
	t.Helper()
	select {
	case message := <-messages:
		return message
	case <-time.After(testTimeout):
		t.Fatalf("no message came within %s", testTimeout)
		return raft.Message{}
	}
}

// A peer replies to no chunk: one batch is in flight, the others wait, each chunk once, and
// heartbeats pass.
func TestSnapshotChunksDoNotDelayHeartbeats(t *testing.T) {
	listener, err := link.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	chunks, heartbeats, answered := make(chan raft.Message, 100), make(chan raft.Message, 100), make(chan struct{})
	answer := sync.OnceFunc(func() { close(answered) })
	server := link.Serve(listener, func(_ context.Context, query *wire.Query) *wire.Reply {
		for _, message := range query.Raft.Messages {
			if message.Kind == raft.MessageSnapshotChunk {
				chunks <- message
				<-answered
			} else {
				heartbeats <- message
			}
		}
		return &wire.Reply{}
	})
	defer server.Close()
	defer answer()
	caller := link.NewClient(link.TCP{})
	defer caller.Close()
	transport := NewTransport(caller, func(string) string { return listener.Addr().String() }, func() string { return "" })
	defer transport.Close()
	chunk := func(group uint32, offset uint64) raft.Message {
		return raft.Message{Group: group, Kind: raft.MessageSnapshotChunk, From: "a", To: "b", Chunk: raft.SnapshotChunk{Offset: offset}}
	}
	transport.Send("b", []raft.Message{chunk(1, 0)})
	if first := next(t, chunks); first.Group != 1 {
		t.Fatalf("the first chunk is %+v", first)
	}
	for round := range uint64(3) {
		for offset := range uint64(maxInflightChunks) {
			transport.Send("b", []raft.Message{chunk(1, offset), chunk(2, offset), {Group: 3, Kind: raft.MessageAppend, Round: round + 1, From: "a", To: "b"}})
		}
	}
	for range 3 * maxInflightChunks {
		next(t, heartbeats)
	}
	if len(chunks) > 0 {
		t.Fatalf("a second batch was sent before the reply to the first: %+v", <-chunks)
	}
	answer()
	for offset := range uint64(maxInflightChunks) {
		for _, group := range []uint32{1, 2} {
			if came := next(t, chunks); came.Group != group || came.Chunk.Offset != offset {
				t.Fatalf("instead of chunk %d of group %d came %+v", offset, group, came)
			}
		}
	}
	if rest := transport.queues["b"].dequeueChunks(); len(rest) > 0 {
		t.Fatalf("chunks are queued twice: %+v", rest)
	}
}
