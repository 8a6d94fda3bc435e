package forwarding

import (
	"context"
	"sync"
)

// taskGroup counts background tasks. Unlike a sync.WaitGroup it may be waited for while
// more tasks start, and the wait ends with a context.
type taskGroup struct {
	mutex   sync.Mutex
	running int
	idle    chan struct{} // closed once none runs
}

// start runs a task in a goroutine of its own.
func (tasks *taskGroup) start(task func()) {
	tasks.mutex.Lock()
	if tasks.running++; tasks.running == 1 {
		tasks.idle = make(chan struct{})
	}
	tasks.mutex.Unlock()
	go func() {
		defer func() {
			tasks.mutex.Lock()
			if tasks.running--; tasks.running == 0 {
				close(tasks.idle)
			}
			tasks.mutex.Unlock()
		}()
		task()
	}()
}

// wait returns once no task runs, or the context ends.
func (tasks *taskGroup) wait(ctx context.Context) {
	tasks.mutex.Lock()
	idle := tasks.idle
	if tasks.running == 0 {
		idle = nil
	}
	tasks.mutex.Unlock()
	if idle == nil {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
