// Package taskgroup counts background tasks, so that their owner can wait for them.
//
// Unlike a sync.WaitGroup, a Group may be waited for while more tasks start, a wait ends with
// a context, and a closed group takes no more tasks.
package taskgroup

import (
	"context"
	"sync"
)

// Group is a set of background tasks. Its zero value is empty and open. It is safe for
// concurrent use.
type Group struct {
	mutex   sync.Mutex
	running int
	// idle is closed once no task runs; nil before the first.
	idle   chan struct{}
	closed bool
}

// Go runs a task in a goroutine of its own, unless the group is closed. The task must end by
// itself; the group does not cancel it.
//
//	group.Go(func() { settle(ctx, reservation) })
func (group *Group) Go(task func()) {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.closed {
		return
	}
	if group.running++; group.running == 1 {
		group.idle = make(chan struct{})
	}
	go func() {
		defer group.done()
		task()
	}()
}

// done counts a task that has ended.
func (group *Group) done() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.running--; group.running == 0 {
		close(group.idle)
	}
}

// Wait returns once no task runs, or the context ends.
//
//	group.Wait(ctx)
func (group *Group) Wait(ctx context.Context) {
	for {
		group.mutex.Lock()
		running, idle := group.running, group.idle
		group.mutex.Unlock()
		if running == 0 {
			return
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return
		}
	}
}

// Close takes no more tasks and waits for those that run.
//
//	group.Close()
func (group *Group) Close() {
	group.mutex.Lock()
	group.closed = true
	group.mutex.Unlock()
	group.Wait(context.Background())
}
