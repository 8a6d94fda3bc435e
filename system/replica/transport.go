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
	// maxQueuedMessages bounds the messages that wait for a peer, about.
	maxQueuedMessages = 4096
	// sendTimeout bounds the sending of one batch, and the wait for the reply to it.
	sendTimeout = 2 * time.Second
	// maxInflightChunks is how many snapshot chunks, of all groups, are sent to a peer at a
	// time, and maxQueuedChunks how many may wait.
	maxInflightChunks = 4
	maxQueuedChunks   = 256
	// connectionCheckInterval is how often a batch to a peer asks for a reply, while there is
	// something to send. A connection that swallows everything is found so.
	connectionCheckInterval = 500 * time.Millisecond
)

// Transport sends Raft messages to the peers, in batches of all groups. Messages that cannot be
// sent in time are dropped, which Raft allows: the cores send again what matters.
type Transport struct {
	client *link.Client
	// resolveAddress returns the address of a node, or "" if it is unknown.
	resolveAddress func(name string) string
	// fleet returns the name of the fleet, which every query carries.
	fleet func() string
	// context ends with Close, and with it all goroutines.
	context context.Context
	close   context.CancelFunc

	mutex  sync.Mutex // guards queues
	queues map[string]*peerQueue
}

// NewTransport returns a transport that sends with a client, which the caller closes after the
// transport. resolveAddress returns the address of a node by its name, or "" if it is unknown;
// fleet returns the name of the fleet, or "". Both are called from several goroutines.
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

// Close ends the goroutines of the transport, and does not wait for them. What is queued is
// dropped.
func (transport *Transport) Close() { transport.close() }

// sendLoop sends a peer all messages but snapshot chunks. It waits for no reply, except that
// from time to time one batch asks for one on a goroutine of its own, to check the connection.
func (transport *Transport) sendLoop(to string, queue *peerQueue) {
	lastCheck := time.Time{}
	checking := make(chan struct{}, 1) // full while a check is under way
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

// sendAndCheck sends a batch and waits for the reply. Without one in time the connection is
// dropped, so that the next batch dials a new one.
func (transport *Transport) sendAndCheck(address string, query *wire.Query) {
	ctx, cancel := context.WithTimeout(transport.context, sendTimeout)
	defer cancel()
	if _, err := transport.client.Call(ctx, address, query); err != nil && ctx.Err() != nil && transport.context.Err() == nil {
		transport.client.DropIfSilent(address, sendTimeout)
	}
}

// sendChunkLoop sends a peer snapshot chunks, a few at a time: each batch waits for the reply
// to the one before, so that a heartbeat is never behind more than one batch.
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
	// A failure needs no action here: the group's leader sends again what was not acknowledged.
	_, _ = transport.client.Call(ctx, address, transport.newQuery(chunks))
}
