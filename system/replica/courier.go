package replica

import (
	"context"
	"sync"
	"time"

	"yardrock.example/system/agreement"
	"yardrock.example/system/link"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	courierQueue    = 4096
	courierPatience = 2 * time.Second
)

// Courier brings agreement messages to siblings. What waits while one batch is
// under way goes with the next; what is too much is dropped, as Raft allows.
type Courier struct {
	caller  *link.Caller
	resolve func(name string) string
	fleet   func() string
	mutex   sync.Mutex
	boxes   map[string]*box
	closed  context.Context
	close   context.CancelFunc
}

type box struct {
	mutex    sync.Mutex
	messages []agreement.Message
	wake     chan struct{}
}

// NewCourier makes a courier; resolve gives the address of a node's name, or "".
//
//	courier := replica.NewCourier(caller, view.AddressOf, fleet)
func NewCourier(caller *link.Caller, resolve func(string) string, fleet func() string) *Courier {
	courier := &Courier{caller: caller, resolve: resolve, fleet: fleet, boxes: map[string]*box{}}
	courier.closed, courier.close = context.WithCancel(context.Background())
	return courier
}

// Send queues messages for one sibling and never blocks.
//
//	courier.Send("store-b", messages)
func (courier *Courier) Send(to string, messages []agreement.Message) {
	courier.mutex.Lock()
	target, found := courier.boxes[to]
	if !found {
		target = &box{wake: make(chan struct{}, 1)}
		courier.boxes[to] = target
		go courier.run(to, target)
	}
	courier.mutex.Unlock()
	target.mutex.Lock()
	if len(target.messages) < courierQueue {
		target.messages = append(target.messages, messages...)
	}
	target.mutex.Unlock()
	select {
	case target.wake <- struct{}{}:
	default:
	}
}

func (courier *Courier) run(to string, source *box) {
	for {
		select {
		case <-source.wake:
		case <-courier.closed.Done():
			return
		}
		source.mutex.Lock()
		messages := source.messages
		source.messages = nil
		source.mutex.Unlock()
		address := courier.resolve(to)
		if len(messages) == 0 || address == "" {
			continue
		}
		ctx, cancel := context.WithTimeout(courier.closed, courierPatience)
		_, err := courier.caller.Call(ctx, address, &wire.Query{Fleet: courier.fleet(), Which: schema.Query_Which_agreement, Agreement: &wire.AgreementBatch{Messages: messages}})
		if err != nil && ctx.Err() != nil && courier.closed.Err() == nil {
			courier.caller.Drop(address)
		}
		cancel()
	}
}

// Close stops sending.
//
//	courier.Close()
func (courier *Courier) Close() { courier.close() }
