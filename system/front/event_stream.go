package front

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/storeclient"
	"yardrock.example/system/wire"
)

// tailPollTimeout is how long one read from the stores waits for new events.
const tailPollTimeout = time.Second

// tail streams the committed events of a session after a cursor, from the stores. If turn is
// not 0, it streams only that turn and stops at its end; it then reads from the start of the
// turn regardless of the cursor, as it needs the turn's deadline and its end.
func (node *Node) tail(name, conversationName string, cursor, turn uint64) *eventStream {
	reader := &tailReader{node: node, sessionName: name, cursor: cursor, turn: turn, readUpTo: cursor}
	if turn != 0 {
		reader.readUpTo = turn - 1
	}
	return &eventStream{conversation: conversationName, turn: turn, next: reader.next}
}

// tailReader reads a session page by page for one stream.
type tailReader struct {
	node        *Node
	sessionName string
	// cursor is the seq after which events are returned; turn is as for tail.
	cursor uint64
	turn   uint64
	// readUpTo is the seq up to which the session was read; startEvent opened the turn.
	readUpTo   uint64
	startEvent sessionlog.Event
	// wait is how long the next read waits for new events; 0 for the first read.
	wait time.Duration
}

// next returns the events of the next page and whether the stream ends with them. It closes
// the turn if it is overdue or its owner is presumed dead.
func (reader *tailReader) next(ctx context.Context) ([]sessionlog.Event, bool, error) {
	readCtx, cancel := context.WithTimeout(ctx, commitTimeout+tailPollTimeout)
	defer cancel()
	reply, err := reader.node.stores.Read(readCtx, wire.ReadQuery{Session: reader.sessionName, After: reader.readUpTo, Limit: storeclient.MaxEventsPerPage, Wait: reader.wait})
	if err != nil {
		return nil, true, err
	}
	reader.wait = tailPollTimeout
	events, ended := reader.consume(reply.Events)
	idle := len(reply.Events) == 0 && reader.turn != 0 && !ended
	if idle && (reply.Clock > reader.startEvent.Deadline || reader.node.ownerPresumedDead(ctx, reader.startEvent)) {
		if err := reader.node.closeOverdueRun(ctx, reader.sessionName, reader.startEvent, sessionlog.OutcomeInterrupted); err != nil {
			return events, true, err
		}
	}
	return events, ended, nil
}

// consume advances past a page and returns its events that belong to the stream, and whether
// the turn ends with them. The end of the turn is returned even if it is not after the cursor,
// as the stream ends with it.
func (reader *tailReader) consume(page []sessionlog.Event) (events []sessionlog.Event, ended bool) {
	events = []sessionlog.Event{}
	for _, event := range page {
		reader.readUpTo = event.Seq
		if reader.turn != 0 && event.Run != reader.turn {
			continue
		}
		if event.Kind == sessionlog.TurnBegun {
			reader.startEvent = event
		}
		ended = ended || (reader.turn != 0 && event.Kind == sessionlog.TurnEnded)
		if event.Seq > reader.cursor || ended {
			events = append(events, event)
		}
	}
	return events, ended
}

// eventStream writes events as newline-delimited JSON. It ends with the record of the turn's end
// or with an error record, so that a client can detect a truncated stream.
type eventStream struct {
	conversation string
	turn         uint64
	// next waits for events and returns them and whether they are the last.
	next func(ctx context.Context) ([]sessionlog.Event, bool, error)
	// context is that of the client's request; it must be set before WriteTo, which has no
	// parameter for it.
	context context.Context
}

// Read is not used, as goa prefers WriteTo.
func (*eventStream) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing, as there is nothing to release.
func (*eventStream) Close() error { return nil }

// streamRecord is one line of a stream.
type streamRecord struct {
	Conversation string `json:"conversation,omitempty"`
	Turn         uint64 `json:"turn,omitempty"`
	Seq          uint64 `json:"seq,omitempty"`
	Event        string `json:"event,omitempty"`
	Follows      uint64 `json:"follows,omitempty"`
	Name         string `json:"name,omitempty"`
	Words        string `json:"words,omitempty"`
	End          string `json:"end,omitempty"`
	Reason       string `json:"reason,omitempty"`
	Kind         string `json:"kind,omitempty"`
	Message      string `json:"message,omitempty"`
	Remedy       string `json:"remedy,omitempty"`
}

// eventNames has the names of the event kinds in the work API.
var eventNames = map[sessionlog.EventKind]string{
	sessionlog.TurnBegun: "turn_begun", sessionlog.OutputPart: "piece", sessionlog.TurnEnded: "turn_ended", sessionlog.ToolCalled: "tool_called",
	sessionlog.ToolAnswered: "tool_answered", sessionlog.HelperStarted: "helper_started", sessionlog.Fenced: "fenced",
}

// WriteTo streams until the last event, an error, or the end of the client's context.
func (stream *eventStream) WriteTo(target io.Writer) (int64, error) {
	ctx := stream.context
	written := int64(0)
	flush := func() {}
	if writer, isHTTP := target.(http.ResponseWriter); isHTTP {
		controller := http.NewResponseController(writer)
		flush = func() {
			if err := controller.Flush(); err != nil && ctx.Err() == nil {
				log.WithField("error", err.Error()).Debug("cannot flush the stream to the client")
			}
		}
	}
	encoder := json.NewEncoder(countingWriter{target, &written})
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(streamRecord{Conversation: stream.conversation, Turn: stream.turn}); err != nil {
		return written, err
	}
	for {
		events, ended, streamErr := stream.next(ctx)
		for _, event := range events {
			if err := encoder.Encode(toStreamRecord(event)); err != nil {
				return written, err
			}
		}
		if streamErr != nil && ctx.Err() == nil {
			failure := apierror.Of(streamErr)
			return written, encoder.Encode(streamRecord{End: "failed", Kind: string(failure.Kind), Message: failure.Message, Remedy: failure.Remedy})
		}
		flush()
		if ended || ctx.Err() != nil {
			return written, ctx.Err()
		}
	}
}

// toStreamRecord converts an event to its line in a stream.
func toStreamRecord(event sessionlog.Event) streamRecord {
	record := streamRecord{Seq: event.Seq, Event: eventNames[event.Kind], Turn: event.Run, Follows: event.Follows, Name: event.Name, Words: event.Text}
	if event.Kind == sessionlog.TurnEnded {
		record.End, record.Reason, record.Name = event.Outcome, event.Name, ""
	}
	return record
}

// countingWriter counts the bytes written through it.
type countingWriter struct {
	target io.Writer
	count  *int64
}

// Write writes data and adds the bytes written to the count.
func (writer countingWriter) Write(data []byte) (int, error) {
	written, err := writer.target.Write(data)
	*writer.count += int64(written)
	return written, err
}
