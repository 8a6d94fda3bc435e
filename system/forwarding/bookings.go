package forwarding

import (
	"context"
	"sync"
)

// bookings counts what is booked behind callers' backs. Unlike a WaitGroup it may be
// waited for while more of it starts.
type bookings struct {
	mutex   sync.Mutex
	running int
	idle    chan struct{} // closed once none runs
}

// start runs one more.
func (bookings *bookings) start(work func()) {
	bookings.mutex.Lock()
	if bookings.running++; bookings.running == 1 {
		bookings.idle = make(chan struct{})
	}
	bookings.mutex.Unlock()
	go func() {
		defer func() {
			bookings.mutex.Lock()
			if bookings.running--; bookings.running == 0 {
				close(bookings.idle)
			}
			bookings.mutex.Unlock()
		}()
		work()
	}()
}

// wait waits until none runs, or the context ends.
func (bookings *bookings) wait(ctx context.Context) {
	bookings.mutex.Lock()
	idle := bookings.idle
	if bookings.running == 0 {
		idle = nil
	}
	bookings.mutex.Unlock()
	if idle == nil {
		return
	}
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
