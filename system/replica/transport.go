package replica

import (
	"context"
	"sync"
	"time"

	"yardrock.example/system/link"
	"yardrock.example/system/raft"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	// maxQueuedMessages is the approximate limit of messages queued for a peer.
	maxQueuedMessages = 4096
	// sendTimeout limits the time to send one batch and receive the reply to it.
	sendTimeout = 2 * time.Second
	// maxInflightChunks is the number of snapshot chunks, of all groups, in flight to a peer, and
	// maxQueuedChunks the number that may be queued.
	maxInflightChunks = 4
	maxQueuedChunks   = 256
	// connectionCheckInterval is the minimum interval between batches to a peer that request a
	// reply. This detects connections that silently drop all data.
	connectionCheckInterval = 500 * time.Millisecond
)

// Transport sends Raft messages to the peers, in batches across all groups. Messages that cannot
// be sent in time are dropped, which Raft tolerates: the cores retransmit what is still needed.
type Transport struct {
	client *link.Client
	// resolveAddress returns the address of a node by its name, or "" if it is unknown.
	resolveAddress func(name string) string
	// fleet returns the name of the fleet, which is sent with every query.
	fleet func() string
	// context is canceled by Close, which ends all goroutines.
	context context.Context
	close   context.CancelFunc

	mutex  sync.Mutex // guards queues
	queues map[string]*peerQueue
}

// NewTransport returns a transport that sends through a client, which the caller must close after
// the transport. resolveAddress returns the address of a node by its name, or "" if it is
// unknown; fleet returns the name of the fleet, or "". Both are called concurrently.
func NewTransport(client *link.Client, resolveAddress func(string) string, fleet func() string) *Transport {
	transport := &Transport{client: client, resolveAddress: resolveAddress, fleet: fleet, queues: map[string]*peerQueue{}}
	transport.context, transport.close = context.WithCancel(context.Background())
	return transport
}

// Send queues messages for one peer. It does not block.
func (transport *Transport) Send(to string, messages []raft.Message) {
	transport.mutex.Lock()
	queue, found := transport.queues[to]
	if !found {
		queue = &peerQueue{messagesReady: make(chan struct{}, 1), chunksReady: make(chan struct{}, 1)}
		transport.queues[to] = queue
		go transport.sendLoop(to, queue)
		go transport.sendChunkLoop(to, queue)
	}
	transport.mutex.Unlock()
	queue.enqueue(messages)
}

// Close stops the goroutines of the transport without waiting for them. Queued messages are
// dropped.
func (transport *Transport) Close() { transport.close() }

// sendLoop sends all messages except snapshot chunks to a peer. It does not wait for replies.
// Periodically a batch is sent on a separate goroutine that waits for the reply, to check the
// connection.
func (transport *Transport) sendLoop(to string, queue *peerQueue) {
	lastCheck := time.Time{}
	checking := make(chan struct{}, 1) // full while a check is in progress
	for {
		select {
		case <-queue.messagesReady:
		case <-transport.context.Done():
			return
		}
		messages := queue.dequeue()
		address := transport.resolveAddress(to)
		if len(messages) == 0 || address == "" {
			continue
		}
		query := transport.newQuery(messages)
		if time.Since(lastCheck) >= connectionCheckInterval {
			select {
			case checking <- struct{}{}:
				lastCheck = time.Now()
				go func() {
					transport.sendAndCheck(address, query)
					<-checking
				}()
				continue
			default:
			}
		}
		transport.send(address, query)
	}
}

func (transport *Transport) newQuery(messages []raft.Message) *wire.Query {
	return &wire.Query{Fleet: transport.fleet(), Which: schema.Query_Which_agreement, Raft: &wire.RaftBatch{Messages: messages}}
}

// send sends a batch without waiting for a reply.
func (transport *Transport) send(address string, query *wire.Query) {
	ctx, cancel := context.WithTimeout(transport.context, sendTimeout)
	defer cancel()
	transport.client.Notify(ctx, address, query)
}

// sendAndCheck sends a batch and waits for the reply. If none arrives in time, it drops the
// connection, so that the next batch dials a new one.
func (transport *Transport) sendAndCheck(address string, query *wire.Query) {
	ctx, cancel := context.WithTimeout(transport.context, sendTimeout)
	defer cancel()
	if _, err := transport.client.Call(ctx, address, query); err != nil && ctx.Err() != nil && transport.context.Err() == nil {
		transport.client.DropIfSilent(address, sendTimeout)
	}
}

// sendChunkLoop sends snapshot chunks to a peer in small batches. Each batch waits for the reply
// to the previous one, so that a heartbeat is delayed by one batch at most.
func (transport *Transport) sendChunkLoop(to string, queue *peerQueue) {
	for {
		select {
		case <-queue.chunksReady:
		case <-transport.context.Done():
			return
		}
		for chunks := queue.dequeueChunks(); len(chunks) > 0; chunks = queue.dequeueChunks() {
			if address := transport.resolveAddress(to); address != "" {
				transport.sendChunks(address, chunks)
			}
		}
	}
}

func (transport *Transport) sendChunks(address string, chunks []raft.Message) {
	ctx, cancel := context.WithTimeout(transport.context, sendTimeout)
	defer cancel()
	// Errors are ignored: the group's leader retransmits chunks that are not acknowledged.
	_, _ = transport.client.Call(ctx, address, transport.newQuery(chunks))
}
