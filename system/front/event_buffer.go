package front

import (
	"context"
	"sync"

	"yardrock.example/system/sessionlog"
)

// eventBuffer has the committed events of one run for those who stream it. It only grows.
type eventBuffer struct {
	mutex  sync.Mutex // guards all that follows
	events []sessionlog.Event
	err    error         // that the stream ends with; only with ended
	ended  bool          // no event will be added
	grown  chan struct{} // closed, and replaced, when the buffer grows or ends
}

// newEventBuffer makes an empty buffer.
func newEventBuffer() *eventBuffer { return &eventBuffer{grown: make(chan struct{})} }

// append adds events and wakes all readers.
func (buffer *eventBuffer) append(events ...sessionlog.Event) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	buffer.grow(events)
}

// end adds the last events, with the error that the stream ends with, if any, and wakes all
// readers.
func (buffer *eventBuffer) end(err error, events ...sessionlog.Event) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	buffer.err, buffer.ended = err, true
	buffer.grow(events)
}

// grow adds events and wakes all readers. The caller holds the mutex.
func (buffer *eventBuffer) grow(events []sessionlog.Event) {
	buffer.events = append(buffer.events, events...)
	close(buffer.grown)
	buffer.grown = make(chan struct{})
}

// after returns the events beyond an offset and whether they are the last, and waits for
// one or the other. An error comes only with the end.
func (buffer *eventBuffer) after(ctx context.Context, offset int) ([]sessionlog.Event, bool, error) {
	for {
		buffer.mutex.Lock()
		events, ended, err, grown := buffer.events[offset:], buffer.ended, buffer.err, buffer.grown
		buffer.mutex.Unlock()
		if len(events) > 0 || ended {
			return events, ended, err
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return nil, true, ctx.Err()
		}
	}
}
