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

// Transport brings agreement messages to peers. Nobody waits for them to arrive; what
// is too much is dropped, as Raft allows.
type Transport struct {
	caller         *link.Client
	resolveAddress func(name string) string
	fleet          func() string
	mutex          sync.Mutex
	queues         map[string]*peerQueue
	closed         context.Context
	close          context.CancelFunc
}

// NewTransport makes a courier; resolve gives the address of a node's name, or "".
//
//	courier := replica.NewTransport(caller, view.AddressOf, fleet)
func NewTransport(caller *link.Client, resolve func(string) string, fleet func() string) *Transport {
	transport := &Transport{caller: caller, resolveAddress: resolve, fleet: fleet, queues: map[string]*peerQueue{}}
	transport.closed, transport.close = context.WithCancel(context.Background())
	return transport
}

// Send queues messages for one peer and never blocks.
//
//	courier.Send("store-b", messages)
func (transport *Transport) Send(to string, messages []raft.Message) {
	transport.mutex.Lock()
	target, found := transport.queues[to]
	if !found {
		target = &peerQueue{messagesReady: make(chan struct{}, 1), chunksReady: make(chan struct{}, 1)}
		transport.queues[to] = target
		go transport.sendLoop(to, target)
		go transport.sendChunkLoop(to, target)
	}
	transport.mutex.Unlock()
	target.enqueue(messages)
}

const (
	maxQueuedMessages = 4096
	sendTimeout       = 2 * time.Second
	// maxInflightChunks is how many parts of snapshots are out to a peer, over all groups, and
	// maxQueuedChunks how many may wait.
	maxInflightChunks = 4
	maxQueuedChunks   = 256
	// connectionCheckInterval is how often, while there is something to bring, a batch asks for an
	// answer, so that a way that swallows all is given up.
	connectionCheckInterval = 500 * time.Millisecond
)

// sendChunkLoop brings parts of snapshots a few at a time, each batch after the answer to the
// one before it, so that heartbeats to the same peer never wait behind more than one batch.
func (transport *Transport) sendChunkLoop(to string, source *peerQueue) {
	for {
		select {
		case <-source.chunksReady:
		case <-transport.closed.Done():
			return
		}
		for chunks := source.dequeueChunks(); len(chunks) > 0; chunks = source.dequeueChunks() {
			if address := transport.resolveAddress(to); address != "" {
				transport.sendChunks(address, chunks)
			}
		}
	}
}

func (transport *Transport) sendChunks(address string, chunks []raft.Message) {
	ctx, cancel := context.WithTimeout(transport.closed, sendTimeout)
	defer cancel()
	// What did not arrive is sent again by the group's leader.
	_, _ = transport.caller.Call(ctx, address, transport.newRequest(chunks))
}

func (transport *Transport) newRequest(messages []raft.Message) *wire.Query {
	return &wire.Query{Fleet: transport.fleet(), Which: schema.Query_Which_agreement, Raft: &wire.RaftBatch{Messages: messages}}
}

func (transport *Transport) sendLoop(to string, source *peerQueue) {
	lastCheck := time.Time{}
	checking := make(chan struct{}, 1)
	for {
		select {
		case <-source.messagesReady:
		case <-transport.closed.Done():
			return
		}
		source.mutex.Lock()
		messages := source.messages
		source.messages = nil
		source.mutex.Unlock()
		address := transport.resolveAddress(to)
		if len(messages) == 0 || address == "" {
			continue
		}
		query := transport.newRequest(messages)
		if time.Since(lastCheck) >= connectionCheckInterval {
			select {
			case checking <- struct{}{}:
				lastCheck = time.Now()
				go func() {
					transport.sendAndAwaitReply(address, query)
					<-checking
				}()
				continue
			default:
			}
		}
		ctx, cancel := context.WithTimeout(transport.closed, sendTimeout)
		transport.caller.Notify(ctx, address, query)
		cancel()
	}
}

// sendAndAwaitReply sends a batch and waits for the answer. Without one in time the connection is
// given up, so that the next batch dials anew.
func (transport *Transport) sendAndAwaitReply(address string, query *wire.Query) {
	ctx, cancel := context.WithTimeout(transport.closed, sendTimeout)
	defer cancel()
	if _, err := transport.caller.Call(ctx, address, query); err != nil && ctx.Err() != nil && transport.closed.Err() == nil {
		transport.caller.DropIfSilent(address, sendTimeout)
	}
}

// Close stops sending.
//
//	courier.Close()
func (transport *Transport) Close() { transport.close() }
