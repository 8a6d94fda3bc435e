package front

import (
	"context"
	"sync"

	"yardrock.example/system/sessionlog"
)

// eventBuffer holds the committed events of one run for its streams. Events are only added.
type eventBuffer struct {
	mutex  sync.Mutex // guards the fields below
	events []sessionlog.Event
	err    error         // the error that the stream ends with; nil unless ended
	ended  bool          // no more events will be added
	grown  chan struct{} // closed and replaced when the buffer grows or ends
}

// newEventBuffer returns an empty buffer.
func newEventBuffer() *eventBuffer { return &eventBuffer{grown: make(chan struct{})} }

// append adds events and wakes all readers.
func (buffer *eventBuffer) append(events ...sessionlog.Event) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	buffer.grow(events)
}

// end adds the last events, sets the error that the stream ends with, or nil, and wakes all
// readers.
func (buffer *eventBuffer) end(err error, events ...sessionlog.Event) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	buffer.err, buffer.ended = err, true
	buffer.grow(events)
}

// grow adds events and wakes all readers. The caller must hold the mutex.
func (buffer *eventBuffer) grow(events []sessionlog.Event) {
	buffer.events = append(buffer.events, events...)
	close(buffer.grown)
	buffer.grown = make(chan struct{})
}

// after returns the events beyond an offset and whether they are the last. It waits until there
// are events or the buffer has ended. An error is returned only with the end.
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
