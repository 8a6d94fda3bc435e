package front

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/conversation"
	"yardrock.example/system/runnerclient"
	"yardrock.example/system/scheduler"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/storeclient"
	"yardrock.example/system/wire"
)

const (
	maxDials         = 3
	pieceQueueLength = 256
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

var errTurnLimit = errors.New("the answer reached its reservation")

// turnExecution is one turn that this front feeds from a runner into the line.
type turnExecution struct {
	node             *Node
	request          *request
	buffer           *eventBuffer
	counter          conversation.WordCounter
	pieces           chan string
	nextProducerSeq  uint64 // producer seq of the next append
	parts            uint64
	timeToFirstPiece time.Duration
}

// startRun takes over slot and reservation and feeds the turn whether or not the
// caller stays. It answers once there is something to stream.
func startRun(ctx context.Context, node *Node, request *request) (any, error) {
	execution := &turnExecution{node: node, request: request, buffer: newEventBuffer(), pieces: make(chan string, pieceQueueLength), nextProducerSeq: 2}
	request.cleanups = nil
	node.background.start(execution.execute)
	_, ended, failed := execution.buffer.after(ctx, 0)
	if ended && apierror.Is(failed, apierror.NotRun) {
		request.provenNotRun = true // its end is recorded
		return nil, failed
	}
	offset := 0
	return &eventStream{conversation: request.conversation, turn: request.begun.Seq, next: func(ctx context.Context) ([]sessionlog.Event, bool, error) {
		events, ended, failed := execution.buffer.after(ctx, offset)
		offset += len(events)
		return events, ended, failed
	}}, nil
}

// execute dispatches, commits pieces as they come, and closes the turn.
func (execution *turnExecution) execute() {
	request, node := execution.request, execution.node
	ctx, cancel := context.WithTimeout(node.context, time.Duration(request.workKind.Timeout))
	defer cancel()
	dispatched := make(chan error, 1)
	go func() {
		defer close(execution.pieces)
		dispatched <- execution.dispatch(ctx)
	}()
	committed := execution.commitPieces(cancel)
	failed := <-dispatched
	outcome := node.outcomeOf(failed)
	if committed != nil {
		outcome = scheduler.NotSent // it was broken off from here
	}
	defer request.slot.Release(outcome)
	execution.close(failed, committed)
}

// dispatch sends the turn to a runner, and to another one only while provably
// nothing was sent.
func (execution *turnExecution) dispatch(ctx context.Context) error {
	request, node := execution.request, execution.node
	history := request.history.Messages(request.follows)
	for dial := 1; ; dial++ {
		turn := runnerclient.TurnRequest{Conversation: request.conversation, Turn: request.begun.Seq, History: history, Words: request.words, Limit: request.answerWordLimit()}
		began := time.Now()
		err := node.runnerClient.Stream(ctx, request.slot.Runner.Address, request.workKind.Path, turn, node.preSendCheck(request), func(words string) error {
			if execution.timeToFirstPiece == 0 {
				execution.timeToFirstPiece = time.Since(began)
				request.slot.FirstEvent(execution.timeToFirstPiece)
			}
			accepted, fits := execution.counter.CountUpTo(words, request.answerWordLimit())
			if accepted != "" {
				select {
				case execution.pieces <- accepted:
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			if !fits {
				return errTurnLimit
			}
			return nil
		})
		if err == nil || !apierror.Of(err).NeverSent || dial == maxDials {
			return err
		}
		if node.switchRunner(ctx, request, err) != nil {
			return err
		}
	}
}

// commitPieces commits whatever has come since the last commit as one append, and
// only then lets it be streamed.
func (execution *turnExecution) commitPieces(stop context.CancelFunc) error {
	for words := range execution.pieces {
		batch := []string{words}
		for more := true; more && len(batch) < pieceQueueLength; {
			select {
			case words, open := <-execution.pieces:
				if more = open; open {
					batch = append(batch, words)
				}
			default:
				more = false
			}
		}
		if err := execution.commit(batch); err != nil {
			stop()
			for range execution.pieces {
			}
			return err
		}
	}
	return nil
}

func (execution *turnExecution) commit(batch []string) error {
	request := execution.request
	events := make([]sessionlog.Event, len(batch))
	for position, words := range batch {
		execution.parts++
		events[position] = sessionlog.Event{Kind: sessionlog.OutputPart, Turn: request.begun.Seq, Text: words, Part: execution.parts}
	}
	ctx, cancel := context.WithTimeout(execution.node.context, commitTimeout)
	defer cancel()
	outcomes, err := execution.node.stores.Command(ctx, request.sessionName(), sessionlog.Command{Kind: sessionlog.AppendEvents, Producer: request.producer, ProducerSeq: execution.nextProducerSeq, Events: events})
	if err != nil {
		return err
	}
	if outcomes[0].Status != sessionlog.Done {
		return apierror.New(apierror.Unknown, "the turn was closed by another node meanwhile", "read the history")
	}
	execution.nextProducerSeq++
	for position := range events {
		events[position].Seq = outcomes[0].Seq + uint64(position)
	}
	execution.buffer.append(nil, false, events...)
	return nil
}

// close records how the turn ended. An answer counts as complete only once that
// is committed.
func (execution *turnExecution) close(failed, uncommitted error) {
	request, node := execution.request, execution.node
	ctx, cancel := context.WithTimeout(node.context, commitTimeout)
	defer cancel()
	words := conversation.CountWords(request.words) + execution.counter.Count
	if uncommitted != nil {
		node.settle(request, words)
		node.background.start(func() {
			ctx, cancel := context.WithTimeout(node.context, settleTimeout)
			defer cancel()
			err := node.closeOverdueRun(ctx, request.sessionName(), request.begun, sessionlog.OutcomeCut)
			for err != nil && ctx.Err() == nil {
				awaitRetry(ctx)
				err = node.closeOverdueRun(ctx, request.sessionName(), request.begun, sessionlog.OutcomeCut)
			}
			if err != nil {
				log.WithFields(log.Fields{"node": node.name, "line": request.sessionName(), "turn": request.begun.Seq, "error": err.Error()}).Warn("turn_left_open")
			}
		})
		execution.buffer.append(apierror.New(apierror.Unknown, "the answer's pieces could not be committed: "+uncommitted.Error(), "tail the conversation from the last seq you have"), true)
		return
	}
	outcome, detail := sessionlog.OutcomeComplete, ""
	switch {
	case errors.Is(failed, errTurnLimit):
		outcome, detail = sessionlog.OutcomeCut, "turn_limit"
	case failed != nil && execution.parts == 0 && (apierror.Of(failed).NeverSent || apierror.Is(failed, apierror.NotRun)):
		outcome, detail, words = sessionlog.OutcomeNotRun, "runner_unreachable", 0
	case failed != nil:
		outcome, detail = sessionlog.OutcomeCut, "runner_mishap"
		log.WithFields(log.Fields{"node": node.name, "line": request.sessionName(), "turn": request.begun.Seq, "runner": request.slot.Runner.Address, "error": failed.Error()}).Warn("turn_cut")
	}
	seq, err := node.recordEnd(ctx, request, execution.nextProducerSeq, outcome, "", detail)
	node.settle(request, words)
	if err != nil {
		execution.buffer.append(apierror.New(apierror.Unknown, "the end of the answer could not be committed: "+err.Error(), "tail the conversation from the last seq you have"), true)
		return
	}
	var reported error
	if outcome == sessionlog.OutcomeNotRun {
		reported = request.fencedError(failed)
	}
	execution.buffer.append(reported, true, sessionlog.Event{Seq: seq, Kind: sessionlog.TurnEnded, Turn: request.begun.Seq, Outcome: outcome, Name: detail})
}

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
