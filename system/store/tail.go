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
	woken := node.tailWaiter(read.Session)
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

// wakeTailReaders lets the tail readers of a session read again (the cursor update of the
// Starcite paper).
func (node *Node) wakeTailReaders(sessionName string) {
	node.tailMutex.Lock()
	defer node.tailMutex.Unlock()
	if waiter, found := node.tailWaiters[sessionName]; found {
		close(waiter)
		delete(node.tailWaiters, sessionName)
	}
}

// tailWaiter returns a channel that is closed when a command of a session is applied here.
func (node *Node) tailWaiter(sessionName string) chan struct{} {
	node.tailMutex.Lock()
	defer node.tailMutex.Unlock()
	if _, found := node.tailWaiters[sessionName]; !found {
		node.tailWaiters[sessionName] = make(chan struct{})
	}
	return node.tailWaiters[sessionName]
}
