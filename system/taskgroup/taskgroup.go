// Package taskgroup tracks background tasks, so that their owner can wait for them.
//
// Unlike a sync.WaitGroup, a Group allows tasks to start during a wait, a wait can be cancelled
// by a context, and a closed group starts no more tasks.
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
	// idle is closed when no task is running; nil before the first task.
	idle   chan struct{}
	closed bool
}

// Go runs a task in a new goroutine. It does nothing if the group is closed. The group does not
// cancel tasks: each must end by itself.
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

// done records the end of a task.
func (group *Group) done() {
	group.mutex.Lock()
	defer group.mutex.Unlock()
	if group.running--; group.running == 0 {
		close(group.idle)
	}
}

// Wait blocks until no task is running or the context ends.
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

// Close makes the group start no more tasks and waits for the running ones.
//
//	group.Close()
func (group *Group) Close() {
	group.mutex.Lock()
	group.closed = true
	group.mutex.Unlock()
	group.Wait(context.Background())
}
