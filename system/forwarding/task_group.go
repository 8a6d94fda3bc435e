package forwarding

import (
	"context"
	"sync"
)

// bookings counts what is booked behind callers' backs. Unlike a WaitGroup it may be
// waited for while more of it starts.
type taskGroup struct {
	mutex   sync.Mutex
	running int
	idle    chan struct{} // closed once none runs
}

// start runs one more.
func (tasks *taskGroup) start(work func()) {
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
		work()
	}()
}

// wait waits until none runs, or the context ends.
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
