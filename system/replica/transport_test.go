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

func awaitMessage(t *testing.T, messages <-chan raft.Message) raft.Message {
	t.Helper()
	select {
	case message := <-messages:
		return message
	case <-time.After(testTimeout):
		t.Fatalf("no message arrived within %s", testTimeout)
		return raft.Message{}
	}
}

// While a peer does not reply to a batch of chunks, further chunks are queued without duplicates
// and heartbeats are still delivered.
func TestSnapshotChunksDoNotDelayHeartbeats(t *testing.T) {
	listener, err := link.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	chunks, heartbeats, replyAllowed := make(chan raft.Message, 100), make(chan raft.Message, 100), make(chan struct{})
	allowReplies := sync.OnceFunc(func() { close(replyAllowed) })
	server := link.Serve(listener, func(_ context.Context, query *wire.Query) *wire.Reply {
		for _, message := range query.Raft.Messages {
			if message.Kind == raft.MessageSnapshotChunk {
				chunks <- message
				<-replyAllowed
			} else {
				heartbeats <- message
			}
		}
		return &wire.Reply{}
	})
	defer server.Close()
	defer allowReplies()
	client := link.NewClient(link.TCP{})
	defer client.Close()
	transport := NewTransport(client, func(string) string { return listener.Addr().String() }, func() string { return "" })
	defer transport.Close()
	chunk := func(group uint32, offset uint64) raft.Message {
		return raft.Message{Group: group, Kind: raft.MessageSnapshotChunk, From: "a", To: "b", Chunk: raft.SnapshotChunk{Offset: offset}}
	}
	transport.Send("b", []raft.Message{chunk(1, 0)})
	if first := awaitMessage(t, chunks); first.Group != 1 {
		t.Fatalf("unexpected first chunk: %+v", first)
	}
	for round := range uint64(3) {
		for offset := range uint64(maxInflightChunks) {
			transport.Send("b", []raft.Message{chunk(1, offset), chunk(2, offset), {Group: 3, Kind: raft.MessageAppend, Round: round + 1, From: "a", To: "b"}})
		}
	}
	for range 3 * maxInflightChunks {
		awaitMessage(t, heartbeats)
	}
	if len(chunks) > 0 {
		t.Fatalf("a second batch was sent before the reply to the first: %+v", <-chunks)
	}
	allowReplies()
	for offset := range uint64(maxInflightChunks) {
		for _, group := range []uint32{1, 2} {
			if got := awaitMessage(t, chunks); got.Group != group || got.Chunk.Offset != offset {
				t.Fatalf("want chunk %d of group %d, got %+v", offset, group, got)
			}
		}
	}
	if rest := transport.queues["b"].dequeueChunks(); len(rest) > 0 {
		t.Fatalf("duplicate chunks are queued: %+v", rest)
	}
}
