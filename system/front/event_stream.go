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

// tail streams committed events of a line after a cursor, from the stores. With a
// turn it streams only that turn and stops at its end; it reads the turn from its
// beginning, wherever the cursor is, so that it knows its deadline and its end.
func (node *Node) tail(name, conversationName string, cursor, turn uint64) *eventStream {
	reached := cursor
	if turn != 0 {
		reached = turn - 1
	}
	var begun sessionlog.Event
	wait := time.Duration(0)
	return &eventStream{conversation: conversationName, turn: turn, next: func(ctx context.Context) ([]sessionlog.Event, bool, error) {
		waiting, cancel := context.WithTimeout(ctx, commitTimeout+tailPollTimeout)
		defer cancel()
		reply, err := node.stores.Read(waiting, wire.ReadQuery{Session: name, After: reached, Limit: storeclient.MaxEventsPerPage, Wait: wait})
		if err != nil {
			return nil, true, err
		}
		wait = tailPollTimeout
		found, ended := []sessionlog.Event{}, false
		for _, event := range reply.Events {
			reached = event.Seq
			if turn != 0 && event.Turn != turn {
				continue
			}
			if event.Kind == sessionlog.TurnBegun {
				begun = event
			}
			ended = ended || (turn != 0 && event.Kind == sessionlog.TurnEnded)
			if event.Seq > cursor || ended {
				found = append(found, event)
			}
		}
		silent := len(reply.Events) == 0 && turn != 0 && !ended
		if silent && (reply.Clock > begun.Deadline || node.ownerPresumedDead(ctx, begun)) {
			if err := node.closeOverdueRun(ctx, name, begun, sessionlog.OutcomeCut); err != nil {
				return found, true, err
			}
		}
		return found, ended, nil
	}}
}

// eventStream writes events as one JSON object a line. It ends with an explicit mark,
// or with a failure in the same form.
type eventStream struct {
	conversation string
	turn         uint64
	next         func(ctx context.Context) ([]sessionlog.Event, bool, error)
	context      context.Context
}

// Read is never used: goa calls WriteTo.
func (stream *eventStream) Read([]byte) (int, error) { return 0, io.EOF }

// Close has nothing to give back.
func (stream *eventStream) Close() error { return nil }

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

var eventNames = map[sessionlog.EventKind]string{
	sessionlog.TurnBegun: "turn_begun", sessionlog.OutputPart: "piece", sessionlog.TurnEnded: "turn_ended", sessionlog.ToolCalled: "tool_called",
	sessionlog.ToolAnswered: "tool_answered", sessionlog.HelperStarted: "helper_started", sessionlog.Fenced: "fenced",
}

// WriteTo streams until the end mark, a failure or the caller's leaving.
func (stream *eventStream) WriteTo(target io.Writer) (int64, error) {
	ctx := stream.context
	written := int64(0)
	flush := func() {}
	if writer, isHTTP := target.(http.ResponseWriter); isHTTP {
		controller := http.NewResponseController(writer)
		flush = func() {
			if err := controller.Flush(); err != nil && ctx.Err() == nil {
				log.WithField("error", err.Error()).Debug("flush_failed")
			}
		}
	}
	encoder := json.NewEncoder(countingWriter{target, &written})
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(streamRecord{Conversation: stream.conversation, Turn: stream.turn}); err != nil {
		return written, err
	}
	for {
		events, ended, failed := stream.next(ctx)
		for _, event := range events {
			if err := encoder.Encode(toStreamRecord(event)); err != nil {
				return written, err
			}
		}
		if failed != nil && ctx.Err() == nil {
			failure := apierror.Of(failed)
			return written, encoder.Encode(streamRecord{End: "failed", Kind: string(failure.Kind), Message: failure.Message, Remedy: failure.Remedy})
		}
		flush()
		if ended || ctx.Err() != nil {
			return written, ctx.Err()
		}
	}
}

func toStreamRecord(event sessionlog.Event) streamRecord {
	record := streamRecord{Seq: event.Seq, Event: eventNames[event.Kind], Turn: event.Turn, Follows: event.Follows, Name: event.Name, Words: event.Text}
	if event.Kind == sessionlog.TurnEnded {
		record.End, record.Reason, record.Name = event.Outcome, event.Name, ""
	}
	return record
}

type countingWriter struct {
	target io.Writer
	count  *int64
}

func (writer countingWriter) Write(data []byte) (int, error) {
	written, err := writer.target.Write(data)
	*writer.count += int64(written)
	return written, err
}
