package replica

import (
	"sync"

	"yardrock.example/system/raft"
)

// peerQueue contains the messages to be sent to one peer.
type peerQueue struct {
	mutex sync.Mutex // guards messages and chunks
	// messages are all messages except snapshot chunks; chunks contains no duplicates.
	messages []raft.Message
	chunks   []raft.Message
	// messagesReady and chunksReady wake the sending goroutines.
	messagesReady chan struct{}
	chunksReady   chan struct{}
}

// enqueue queues messages. Messages that exceed the limits are dropped.
func (queue *peerQueue) enqueue(messages []raft.Message) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	room := len(queue.messages) < maxQueuedMessages
	for _, message := range messages {
		if message.Kind == raft.MessageSnapshotChunk {
			queue.enqueueChunk(message)
			signal(queue.chunksReady)
		} else if room {
			queue.messages = append(queue.messages, message)
			signal(queue.messagesReady)
		}
	}
}

// enqueueChunk queues a chunk unless it is queued already: the core retransmits a chunk if no reply
// arrived in time, which may be due to the wait in this queue. The mutex must be held.
func (queue *peerQueue) enqueueChunk(message raft.Message) {
	for _, queued := range queue.chunks {
		if queued.Group == message.Group && queued.Chunk.Checksum == message.Chunk.Checksum && queued.Chunk.Offset == message.Chunk.Offset {
			return
		}
	}
	if len(queue.chunks) < maxQueuedChunks {
		queue.chunks = append(queue.chunks, message)
	}
}

// dequeue removes and returns all messages.
func (queue *peerQueue) dequeue() []raft.Message {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	messages := queue.messages
	queue.messages = nil
	return messages
}

// dequeueChunks removes and returns the next chunks, up to maxInflightChunks.
func (queue *peerQueue) dequeueChunks() []raft.Message {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	next := queue.chunks[:min(len(queue.chunks), maxInflightChunks)]
	queue.chunks = queue.chunks[len(next):]
	return next
}

// signal wakes the receiver of a channel with a buffer of one. If a signal is already pending,
// another is not needed: the receiver takes everything that is queued by the time it wakes.
func signal(ready chan<- struct{}) {
	select {
	case ready <- struct{}{}:
	default:
	}
}
