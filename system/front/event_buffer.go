package front

import (
	"context"
	"sync"

	"yardrock.example/system/sessionlog"
)

// journal holds the committed events of one run, in memory, for those who stream
// it. It only grows.
type eventBuffer struct {
	mutex  sync.Mutex
	events []sessionlog.Event
	failed error
	ended  bool
	grown  chan struct{}
}

func newEventBuffer() *eventBuffer { return &eventBuffer{grown: make(chan struct{})} }

func (buffer *eventBuffer) append(failed error, ended bool, events ...sessionlog.Event) {
	buffer.mutex.Lock()
	defer buffer.mutex.Unlock()
	buffer.events = append(buffer.events, events...)
	buffer.failed, buffer.ended = failed, ended
	close(buffer.grown)
	buffer.grown = make(chan struct{})
}

// after waits for events beyond a place.
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
