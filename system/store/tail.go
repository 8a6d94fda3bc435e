package store

import (
	"context"
	"time"

	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
)

// catchUpInterval is how long a tail reader waits at most before it reads again, so that one
// which missed an event because the leader changed still gets it soon.
const catchUpInterval = 5 * time.Second

// viewForRead returns a view of a group for a read. With Wait it returns once the session has
// an event after the cursor, the time is over or the reader has gone.
func (node *Node) viewForRead(ctx context.Context, group uint32, read *wire.ReadQuery) (*sessionlog.View, error) {
	if read.Wait <= 0 {
		return node.linearizableView(ctx, group)
	}
	// The waiter comes before the view: an event that is applied between the two wakes it.
	woken, leave := node.joinTail(read.Session)
	defer leave()
	view, err := node.linearizableView(ctx, group)
	if err != nil {
		return nil, err
	}
	session, found := view.Session(read.Session)
	if !found || session.Head > read.After {
		return view, nil
	}
	timer := time.NewTimer(min(read.Wait, catchUpInterval))
	defer timer.Stop()
	select {
	case <-woken:
	case <-timer.C:
		node.wakeTailReaders(read.Session)
	case <-ctx.Done():
	case <-node.context.Done():
	}
	return node.linearizableView(ctx, group)
}

// tailWaiter is what the tail readers of a session wait for. The node's tailMutex guards readers.
type tailWaiter struct {
	woken   chan struct{}
	readers int
}

// wakeTailReaders lets the tail readers of a session read again (the cursor update of the
// Starcite paper).
func (node *Node) wakeTailReaders(sessionName string) {
	node.tailMutex.Lock()
	defer node.tailMutex.Unlock()
	if waiter, found := node.tailWaiters[sessionName]; found {
		close(waiter.woken)
		delete(node.tailWaiters, sessionName)
	}
}

// joinTail returns a channel that is closed when a command of a session is applied here. The
// reader calls leave once it waits no more; the last one leaves nothing behind.
func (node *Node) joinTail(sessionName string) (woken <-chan struct{}, leave func()) {
	node.tailMutex.Lock()
	defer node.tailMutex.Unlock()
	waiter, found := node.tailWaiters[sessionName]
	if !found {
		waiter = &tailWaiter{woken: make(chan struct{})}
		node.tailWaiters[sessionName] = waiter
	}
	waiter.readers++
	return waiter.woken, func() { node.leaveTail(sessionName, waiter) }
}

// leaveTail removes a waiter once its last reader has left, unless they were woken: then another
// one may stand in its place.
func (node *Node) leaveTail(sessionName string, waiter *tailWaiter) {
	node.tailMutex.Lock()
	defer node.tailMutex.Unlock()
	waiter.readers--
	if waiter.readers == 0 && node.tailWaiters[sessionName] == waiter {
		delete(node.tailWaiters, sessionName)
	}
}
