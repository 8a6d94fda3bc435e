package runnerpool

import (
	"bytes"
	"io"

	"yardrock.example/system/apierror"
)

const (
	// minEventBuffer is the minimum size of a new buffer. A new one is allocated when less
	// than an eighth of this size is free.
	minEventBuffer = 4 << 10
	// maxEventBytes is the size above which an event that has not ended is an error.
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

// EventReader splits a text/event-stream into events. It reads from its source only while
// the next event is incomplete. It is not safe for concurrent use.
type EventReader struct {
	source    io.Reader
	buffer    []byte // read and not yet returned
	scanned   int    // bytes of buffer already searched for the end of an event
	lineStart int    // start of the line that the search has reached
	started   bool   // the first event was returned; only it may have a byte order mark
	// afterCarriageReturn means that the last event ended with a carriage return; a line
	// feed that follows belongs to the same line end.
	afterCarriageReturn bool
	err                 error // of the source, including io.EOF
	complete            bool  // the source ended with io.EOF itself, not with an error that wraps it
}

// NewEventReader returns a reader of the events in a source, such as a Response.
//
//	events := runnerpool.NewEventReader(response)
func NewEventReader(source io.Reader) *EventReader { return &EventReader{source: source} }

// Next returns the next event as soon as its blank line has been read. Comments, blank
// lines and the remainder of a complete stream after its last blank line are returned as
// events without data, so that the concatenation of all Raw is the stream. The error is
// io.EOF at the end of a complete stream, an *apierror.Error of kind RunnerFailure if an
// event exceeds 1 MiB, or the source's error; in the latter case an incomplete event is
// not returned.
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
		if events.err != nil {
			return events.takeRemainder()
		}
		if len(events.buffer) > maxEventBytes {
			events.err, events.buffer = &apierror.Error{Kind: apierror.RunnerFailure, Message: "runner sent an event that is too large", Remedy: "send smaller events"}, nil
			return Event{}, events.err
		}
		events.fill()
	}
}

// fill reads once from the source. It allocates a new buffer instead of moving bytes that
// returned events refer to.
func (events *EventReader) fill() {
	if cap(events.buffer)-len(events.buffer) < minEventBuffer/8 {
		grown := make([]byte, len(events.buffer), max(minEventBuffer, 2*len(events.buffer)))
		copy(grown, events.buffer)
		events.buffer = grown
	}
	count, err := events.source.Read(events.buffer[len(events.buffer):cap(events.buffer)])
	events.buffer, events.err, events.complete = events.buffer[:len(events.buffer)+count], err, err == io.EOF
}

// findEnd returns the length of the next event, or 0 if its end has not been read yet.
// Lines end with a line feed, a carriage return, or both.
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

// awaitsLineFeed reports whether to read on before ending a line, because a line feed may
// follow the carriage return that was read last. It does if the line is not blank, since
// the event needs more input anyway, or if the previous line ended with both, so that this
// one is expected to as well. Otherwise a blank line ends the event at once: there may be
// no further input until the next event.
func (events *EventReader) awaitsLineFeed(at, after int, blank bool) bool {
	if events.buffer[at] != '\r' || after != at+1 || after < len(events.buffer) || events.err != nil {
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
	if lineFeed := bytes.IndexByte(text, '\n'); lineFeed >= 0 {
		text = text[:lineFeed]
	}
	if carriageReturn := bytes.IndexByte(text, '\r'); carriageReturn >= 0 {
		return carriageReturn
	}
	return len(text)
}

// followsCRLF reports whether a carriage return and a line feed precede an index of the
// buffer.
func (events *EventReader) followsCRLF(at int) bool {
	return at >= 2 && events.buffer[at-1] == '\n' && events.buffer[at-2] == '\r'
}

// takeEvent removes an event of the given length from the buffer and parses it.
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

// takeRemainder returns the rest of a complete stream after its last blank line, and then
// the error of the source.
func (events *EventReader) takeRemainder() (Event, error) {
	raw := events.buffer
	events.buffer, events.scanned, events.lineStart = nil, 0, 0
	if events.complete && len(raw) > 0 {
		return Event{Raw: raw}, nil
	}
	return Event{}, events.err
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
