package runnerpool

import (
	"bytes"
	"io"

	"yardrock.example/system/apierror"
)

const (
	minEventBuffer = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// Event is one event of a text/event-stream. Its slices are never overwritten.
type Event struct {
	Raw     []byte // the bytes as they came, with the blank line
	ID      string // "" if the event brings none
	Data    []byte // its data lines, joined by line feeds
	HasData bool   // it has a data line; one without is no event to a browser
}

// EventReader splits a text/event-stream. It is used by one goroutine at a time.
type EventReader struct {
	source    io.Reader
	buffer    []byte // what came and was not given out yet
	scanned   int    // bytes of buffer in which the end of an event was looked for
	lineStart int    // where the line begins in which the look stands
	started   bool   // an event was given out; a mark of byte order can't come any more
	// afterCarriageReturn tells that a carriage return ended the event before: the line feed that
	// may follow belongs to it.
	afterCarriageReturn bool
	failed              error
}

// NewEventReader splits what a reader gives, such as the body of a reply.
//
//	events := runnerpool.NewEventReader(reply)
func NewEventReader(source io.Reader) *EventReader { return &EventReader{source: source} }

// Next gives the next event once its blank line is there. Comments and blank lines
// come as events without data, so that all Raw together are the whole stream; what a
// whole stream has after its last blank line comes as an event without data, too. The
// error is io.EOF at the whole end, else that of the reader.
//
//	for {
//		event, err := events.Next()
//		if err == io.EOF {
//			break
//		}
//		...
//	}
func (events *EventReader) Next() (Event, error) {
	for {
		if end := events.findEnd(); end > 0 {
			return events.takeEvent(end), nil
		}
		if events.failed != nil {
			return events.takeRemainder()
		}
		if len(events.buffer) > maxEventBytes {
			events.failed, events.buffer = &apierror.Error{Kind: apierror.RunnerFailure, Message: "a runner sent an event that is too large", Remedy: "send smaller events"}, nil
			return Event{}, events.failed
		}
		events.fill()
	}
}

// Buffered tells that Next would give an event without reading.
//
//	for more := true; more; more = events.Buffered() { ... }
func (events *EventReader) Buffered() bool { return events.findEnd() > 0 }

func (events *EventReader) fill() {
	if cap(events.buffer)-len(events.buffer) < minEventBuffer/8 {
		grown := make([]byte, len(events.buffer), max(minEventBuffer, 2*len(events.buffer)))
		copy(grown, events.buffer)
		events.buffer = grown
	}
	count, err := events.source.Read(events.buffer[len(events.buffer):cap(events.buffer)])
	events.buffer, events.failed = events.buffer[:len(events.buffer)+count], err
}

// findEnd gives the length of the next event, or 0 if its end is not there yet.
func (events *EventReader) findEnd() int {
	buffer := events.buffer
	for events.scanned < len(buffer) {
		at := events.scanned
		one := buffer[at]
		if one != '\n' && one != '\r' {
			events.scanned += lineEnd(buffer[at:])
			continue
		}
		if one == '\n' && at == 0 && events.afterCarriageReturn {
			events.scanned, events.lineStart = 1, 1
			continue
		}
		after, width := at+1, 1
		if one == '\r' && after < len(buffer) && buffer[after] == '\n' {
			after, width = at+2, 2
		}
		blank := at == events.lineStart
		if one == '\r' && width == 1 && after == len(buffer) && events.failed == nil {
			// A line feed may follow. Only if the line before ended with both is it sure to.
			if !blank || events.followsCRLF(at) {
				return 0
			}
		}
		if blank {
			return after
		}
		events.scanned, events.lineStart = after, after
	}
	return 0
}

// lineEnd gives where the first line ends, or the length of the text.
func lineEnd(text []byte) int {
	if feed := bytes.IndexByte(text, '\n'); feed >= 0 {
		text = text[:feed]
	}
	if back := bytes.IndexByte(text, '\r'); back >= 0 {
		return back
	}
	return len(text)
}

// followsCRLF tells that the line before the one at a place ended with both return and feed.
func (events *EventReader) followsCRLF(at int) bool {
	return at >= 2 && events.buffer[at-1] == '\n' && events.buffer[at-2] == '\r'
}

func (events *EventReader) takeEvent(length int) Event {
	raw := events.buffer[:length:length]
	events.buffer = events.buffer[length:]
	events.scanned, events.lineStart = 0, 0
	event := Event{Raw: raw}
	text := raw
	if events.afterCarriageReturn {
		text = bytes.TrimPrefix(text, []byte("\n"))
	}
	if !events.started {
		text = bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))
	}
	events.afterCarriageReturn, events.started = raw[length-1] == '\r', true
	event.parse(text)
	return event
}

// takeRemainder gives what a whole stream has after its last blank line.
func (events *EventReader) takeRemainder() (Event, error) {
	raw := events.buffer
	events.buffer, events.scanned, events.lineStart = nil, 0, 0
	if events.failed == io.EOF && len(raw) > 0 {
		return Event{Raw: raw}, nil
	}
	return Event{}, events.failed
}

// parse reads the lines of an event.
func (event *Event) parse(text []byte) {
	lines := 0
	for len(text) > 0 {
		end := lineEnd(text)
		line := text[:end]
		text = text[min(end+1, len(text)):]
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "id":
			if bytes.IndexByte(value, 0) < 0 {
				event.ID = string(value)
			}
		case "data":
			if lines++; lines == 1 {
				event.Data = value[:len(value):len(value)]
				break
			}
			event.Data = append(append(event.Data, '\n'), value...)
		}
	}
	event.HasData = lines > 0
}
