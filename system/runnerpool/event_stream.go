package runnerpool

import (
	"bytes"
	"io"

	"yardrock.example/system/apierror"
)

const (
	// minEventBuffer is the size of a new buffer at least; one is made when less than an
	// eighth of it is free.
	minEventBuffer = 4 << 10
	// maxEventBytes is the size from which on an event that has not ended is an error.
	maxEventBytes = 1 << 20
)

// Event is one event of a text/event-stream (WHATWG HTML, "Server-sent events"). Its
// slices are never overwritten, and appending to one does not change another.
type Event struct {
	Raw     []byte // the bytes of the stream, including the blank line
	ID      string // empty if the event has none
	Data    []byte // the data lines, joined by line feeds
	HasData bool   // it has a data line; a browser ignores events without one
}

// EventReader splits a text/event-stream into events. It reads no further than the end of
// the next event needs. It is not safe for concurrent use.
type EventReader struct {
	source    io.Reader
	buffer    []byte // read and not returned yet
	scanned   int    // bytes of buffer that were searched for the end of an event
	lineStart int    // where the line begins in which the search stands
	started   bool   // the first event was returned; a byte order mark may only be before it
	// afterCarriageReturn means that the last event ended with a carriage return: a line
	// feed that follows belongs to the same line end.
	afterCarriageReturn bool
	failed              error // of the source, io.EOF included
	complete            bool  // the source has ended with io.EOF itself, not with an error that wraps it
}

// NewEventReader returns a reader of the events in a source, such as a Response.
//
//	events := runnerpool.NewEventReader(response)
func NewEventReader(source io.Reader) *EventReader { return &EventReader{source: source} }

// Next returns the next event as soon as its blank line was read. Comments and blank
// lines are returned as events without data, as is what a complete stream has after its
// last blank line, so that all Raw together are the stream. The error is io.EOF at the
// end of a complete stream, an *apierror.Error of kind RunnerFailure if an event exceeds
// 1 MiB, or that of the source; part of an event is not returned with the latter.
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

// fill reads once from the source. It starts a new buffer rather than move bytes that
// events refer to.
func (events *EventReader) fill() {
	if cap(events.buffer)-len(events.buffer) < minEventBuffer/8 {
		grown := make([]byte, len(events.buffer), max(minEventBuffer, 2*len(events.buffer)))
		copy(grown, events.buffer)
		events.buffer = grown
	}
	count, err := events.source.Read(events.buffer[len(events.buffer):cap(events.buffer)])
	events.buffer, events.failed, events.complete = events.buffer[:len(events.buffer)+count], err, err == io.EOF
}

// findEnd returns the length of the next event, or 0 if its end was not read yet. Lines
// end with a line feed, a carriage return, or both.
func (events *EventReader) findEnd() int {
	buffer := events.buffer
	for events.scanned < len(buffer) {
		at := events.scanned
		if buffer[at] != '\n' && buffer[at] != '\r' {
			events.scanned += lineEnd(buffer[at:])
			continue
		}
		if buffer[at] == '\n' && at == 0 && events.afterCarriageReturn {
			events.scanned, events.lineStart = 1, 1
			continue
		}
		after, blank := at+lineEndWidth(buffer[at:]), at == events.lineStart
		if events.awaitsLineFeed(at, after, blank) {
			return 0
		}
		if blank {
			return after
		}
		events.scanned, events.lineStart = after, after
	}
	return 0
}

// awaitsLineFeed reports whether a line must not be ended yet, because a line feed may
// follow its carriage return and is still to be read. It is waited for if the line is not
// blank, as more must come anyway, or if the line before ended with both, so that this
// one will too. After a blank line that ended otherwise nothing more may come.
func (events *EventReader) awaitsLineFeed(at, after int, blank bool) bool {
	if events.buffer[at] != '\r' || after != at+1 || after < len(events.buffer) || events.failed != nil {
		return false
	}
	return !blank || events.followsCRLF(at)
}

// lineEndWidth returns the length of the line end that a text begins with.
func lineEndWidth(text []byte) int {
	if text[0] == '\r' && len(text) > 1 && text[1] == '\n' {
		return 2
	}
	return 1
}

// lineEnd returns the length of the first line, or of the text if that has no line end.
func lineEnd(text []byte) int {
	if feed := bytes.IndexByte(text, '\n'); feed >= 0 {
		text = text[:feed]
	}
	if back := bytes.IndexByte(text, '\r'); back >= 0 {
		return back
	}
	return len(text)
}

// followsCRLF reports whether the bytes before an index of the buffer are a carriage
// return and a line feed.
func (events *EventReader) followsCRLF(at int) bool {
	return at >= 2 && events.buffer[at-1] == '\n' && events.buffer[at-2] == '\r'
}

// takeEvent removes an event of some length from the buffer and parses it.
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

// takeRemainder returns what a complete stream has after its last blank line, and then the
// error of the source.
func (events *EventReader) takeRemainder() (Event, error) {
	raw := events.buffer
	events.buffer, events.scanned, events.lineStart = nil, 0, 0
	if events.complete && len(raw) > 0 {
		return Event{Raw: raw}, nil
	}
	return Event{}, events.failed
}

// parse sets the fields from the lines of an event. Data of a single line is not copied.
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
