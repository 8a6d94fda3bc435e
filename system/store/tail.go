package store

import (
	"context"
	"time"

	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
)

// catchUpInterval bounds how long a tail reader waits before it reads again, so that a reader
// that missed an event in a change of leader still gets it soon.
const catchUpInterval = 5 * time.Second

// viewForRead returns a view of a group for a read. If Wait is set, it returns once the session
// has an event after the cursor, or the wait times out or is canceled.
func (node *Node) viewForRead(ctx context.Context, group uint32, read *wire.ReadQuery) (*sessionlog.View, error) {
	if read.Wait <= 0 {
		return node.linearizableView(ctx, group)
	}
	// The reader is registered before the view is read, so that an event applied in between
	// wakes it.
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

// tailWaiter is shared by the tail readers of a session; closing woken wakes all of them. The
// node's tailMutex guards readers, which counts them.
type tailWaiter struct {
	woken   chan struct{}
	readers int
}

// wakeTailReaders wakes the tail readers of a session, which then read again (the cursor update
// of the Starcite paper).
func (node *Node) wakeTailReaders(sessionName string) {
	node.tailMutex.Lock()
	defer node.tailMutex.Unlock()
	if waiter, found := node.tailWaiters[sessionName]; found {
		close(waiter.woken)
		delete(node.tailWaiters, sessionName)
	}
}

// joinTail registers a tail reader and returns a channel that is closed when a command of the
// session is applied on this node. The reader must call leave when it stops waiting; the last
// one removes the waiter.
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

// leaveTail unregisters a reader, and removes the waiter after its last one. If the readers were
// woken, the map may have a newer waiter for the session, which stays.
func (node *Node) leaveTail(sessionName string, waiter *tailWaiter) {
	node.tailMutex.Lock()
	defer node.tailMutex.Unlock()
	waiter.readers--
	if waiter.readers == 0 && node.tailWaiters[sessionName] == waiter {
		delete(node.tailWaiters, sessionName)
	}
}
