package replica

import (
	"sync"

	"yardrock.example/system/raft"
)

type peerQueue struct {
	mutex         sync.Mutex
	messages      []raft.Message
	messagesReady chan struct{}
	// chunks are parts of snapshots, none of them twice, and chunked wakes who brings them.
	chunks      []raft.Message
	chunksReady chan struct{}
}

// enqueue queues messages, the parts of snapshots beside all others.
func (target *peerQueue) enqueue(messages []raft.Message) {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	room := len(target.messages) < maxQueuedMessages
	for _, message := range messages {
		if message.Kind == raft.MessageSnapshotChunk {
			target.enqueueChunk(message)
			signal(target.chunksReady)
		} else if room {
			target.messages = append(target.messages, message)
			signal(target.messagesReady)
		}
	}
}

func (target *peerQueue) enqueueChunk(message raft.Message) {
	for _, waiting := range target.chunks {
		if waiting.Group == message.Group && waiting.Chunk.Checksum == message.Chunk.Checksum && waiting.Chunk.Offset == message.Chunk.Offset {
			return
		}
	}
	if len(target.chunks) < maxQueuedChunks {
		target.chunks = append(target.chunks, message)
	}
}

// dequeueChunks gives the parts that go next, which are not many.
func (target *peerQueue) dequeueChunks() []raft.Message {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	next := target.chunks[:min(len(target.chunks), maxInflightChunks)]
	target.chunks = target.chunks[len(next):]
	return next
}

func signal(sleeper chan<- struct{}) {
	select {
	case sleeper <- struct{}{}:
	default:
	}
}
