package front

import (
	"context"
	"sync"

	"yardrock.example/system/sessionlog"
)

// eventBuffer has the committed events of one run for those who stream it. It only grows.
type eventBuffer struct {
	mutex  sync.Mutex
	events []sessionlog.Event
	failed error
	ended  bool
	grown  chan struct{}
}

// newEventBuffer makes an empty buffer.
func newEventBuffer() *eventBuffer { return &eventBuffer{grown: make(chan struct{})} }

// append adds events and wakes all readers; ended means that these are the last.
func (buffer *eventBuffer) append(failed error, ended bool, events ...sessionlog.Event) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	buffer.events = append(buffer.events, events...)
	buffer.failed, buffer.ended = failed, ended
	close(buffer.grown)
	buffer.grown = make(chan struct{})
}

// after returns the events beyond an offset and whether they are the last, and waits for
// one or the other. An error comes only with the end.
func (buffer *eventBuffer) after(ctx context.Context, offset int) ([]sessionlog.Event, bool, error) {
	for {
		buffer.mutex.Lock()
		events, ended, failed, grown := buffer.events[offset:], buffer.ended, buffer.failed, buffer.grown
		buffer.mutex.Unlock()
		if len(events) > 0 || ended {
			return events, ended, failed
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return nil, true, ctx.Err()
		}
	}
}
