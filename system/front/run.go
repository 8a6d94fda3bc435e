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
	"yardrock.example/system/line"
	"yardrock.example/system/runnerorigin"
	"yardrock.example/system/scheduling"
	"yardrock.example/system/storeorigin"
	"yardrock.example/system/wire"
)

const (
	mostDials  = 3
	pieceQueue = 256
)

// journal holds the committed events of one run, in memory, for those who stream
// it. It only grows.
type journal struct {
	mutex  sync.Mutex
	events []line.Event
	failed error
	ended  bool
	grown  chan struct{}
}

func newJournal() *journal { return &journal{grown: make(chan struct{})} }

func (journal *journal) append(failed error, ended bool, events ...line.Event) {
	journal.mutex.Lock()
	defer journal.mutex.Unlock()
	journal.events = append(journal.events, events...)
	journal.failed, journal.ended = failed, ended
	close(journal.grown)
	journal.grown = make(chan struct{})
}

// after waits for events beyond a place.
func (journal *journal) after(ctx context.Context, place int) ([]line.Event, bool, error) {
	for {
		journal.mutex.Lock()
		events, ended, failed, grown := journal.events[place:], journal.ended, journal.failed, journal.grown
		journal.mutex.Unlock()
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

var errCutAtLimit = errors.New("the answer reached its reservation")

// run is one turn that this front feeds from a runner into the line.
type run struct {
	node    *Node
	query   *query
	journal *journal
	counter conversation.WordCounter
	pieces  chan string
	next    uint64 // producer seq of the next append
	parts   uint64
	first   time.Duration
}

// startRun takes over slot and reservation and feeds the turn whether or not the
// caller stays. It answers once there is something to stream.
func startRun(node *Node, ctx context.Context, query *query) (any, error) {
	running := &run{node: node, query: query, journal: newJournal(), pieces: make(chan string, pieceQueue), next: 2}
	query.undo = nil
	node.runs.start(running.do)
	_, ended, failed := running.journal.after(ctx, 0)
	if ended && apierror.Is(failed, apierror.NotRun) {
		query.proven = true // its end is recorded
		return nil, failed
	}
	place := 0
	return &stream{conversation: query.conversation, turn: query.begun.Seq, next: func(ctx context.Context) ([]line.Event, bool, error) {
		events, ended, failed := running.journal.after(ctx, place)
		place += len(events)
		return events, ended, failed
	}}, nil
}

// do dispatches, commits pieces as they come, and closes the turn.
func (running *run) do() {
	query, node := running.query, running.node
	ctx, cancel := context.WithTimeout(node.context, time.Duration(query.work.Timeout))
	defer cancel()
	dispatched := make(chan error, 1)
	go func() {
		defer close(running.pieces)
		dispatched <- running.dispatch(ctx)
	}()
	committed := running.commitPieces(cancel)
	failed := <-dispatched
	ending := node.endingOf(failed)
	if committed != nil {
		ending = scheduling.Unused // it was broken off from here
	}
	defer query.slot.Release(ending)
	running.close(failed, committed)
}

// dispatch sends the turn to a runner, and to another one only while provably
// nothing was sent.
func (running *run) dispatch(ctx context.Context) error {
	query, node := running.query, running.node
	history := query.said.Messages(query.follows)
	for dial := 1; ; dial++ {
		asked := runnerorigin.TurnQuery{Conversation: query.conversation, Turn: query.begun.Seq, History: history, Words: query.words, Limit: query.limit()}
		began := time.Now()
		err := node.runners.Stream(ctx, query.slot.Runner.Address, query.work.Path, asked, node.lastLook(query), func(words string) error {
			if running.first == 0 {
				running.first = time.Since(began)
				query.slot.First(running.first)
			}
			kept, whole := running.counter.CountUpTo(words, query.limit())
			if kept != "" {
				select {
				case running.pieces <- kept:
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			if !whole {
				return errCutAtLimit
			}
			return nil
		})
		if err == nil || !apierror.Of(err).NeverSent || dial == mostDials {
			return err
		}
		if node.nextRunner(ctx, query, err) != nil {
			return err
		}
	}
}

// commitPieces commits whatever has come since the last commit as one append, and
// only then lets it be streamed.
func (running *run) commitPieces(stop context.CancelFunc) error {
	for words := range running.pieces {
		batch := []string{words}
		for more := true; more && len(batch) < pieceQueue; {
			select {
			case words, open := <-running.pieces:
				if more = open; open {
					batch = append(batch, words)
				}
			default:
				more = false
			}
		}
		if err := running.commit(batch); err != nil {
			stop()
			for range running.pieces {
			}
			return err
		}
	}
	return nil
}

func (running *run) commit(batch []string) error {
	query := running.query
	events := make([]line.Event, len(batch))
	for position, words := range batch {
		running.parts++
		events[position] = line.Event{Kind: line.OutputPart, Turn: query.begun.Seq, Text: words, Part: running.parts}
	}
	ctx, cancel := context.WithTimeout(running.node.context, commitTimeout)
	defer cancel()
	outcomes, err := running.node.stores.Command(ctx, query.line(), line.Command{Kind: line.AppendEvents, Producer: query.producer, ProducerSeq: running.next, Events: events})
	if err != nil {
		return err
	}
	if outcomes[0].Status != line.Done {
		return apierror.New(apierror.Unknown, "the turn was closed by another node meanwhile", "read the history")
	}
	running.next++
	for position := range events {
		events[position].Seq = outcomes[0].Seq + uint64(position)
	}
	running.journal.append(nil, false, events...)
	return nil
}

// close records how the turn ended. An answer counts as complete only once that
// is committed.
func (running *run) close(failed, uncommitted error) {
	query, node := running.query, running.node
	ctx, cancel := context.WithTimeout(node.context, commitTimeout)
	defer cancel()
	words := conversation.CountWords(query.words) + running.counter.Count
	if uncommitted != nil {
		node.settle(query, words)
		node.runs.start(func() {
			ctx, cancel := context.WithTimeout(node.context, settleTimeout)
			defer cancel()
			err := node.closeOverdue(ctx, query.line(), query.begun, line.OutcomeCut)
			for err != nil && ctx.Err() == nil {
				pauseAWhile(ctx)
				err = node.closeOverdue(ctx, query.line(), query.begun, line.OutcomeCut)
			}
			if err != nil {
				log.WithFields(log.Fields{"node": node.name, "line": query.line(), "turn": query.begun.Seq, "error": err.Error()}).Warn("turn_left_open")
			}
		})
		running.journal.append(apierror.New(apierror.Unknown, "the answer's pieces could not be committed: "+uncommitted.Error(), "tail the conversation from the last seq you have"), true)
		return
	}
	outcome, detail := line.OutcomeComplete, ""
	switch {
	case errors.Is(failed, errCutAtLimit):
		outcome, detail = line.OutcomeCut, "turn_limit"
	case failed != nil && running.parts == 0 && (apierror.Of(failed).NeverSent || apierror.Is(failed, apierror.NotRun)):
		outcome, detail, words = line.OutcomeNotRun, "runner_unreachable", 0
	case failed != nil:
		outcome, detail = line.OutcomeCut, "runner_mishap"
		log.WithFields(log.Fields{"node": node.name, "line": query.line(), "turn": query.begun.Seq, "runner": query.slot.Runner.Address, "error": failed.Error()}).Warn("turn_cut")
	}
	seq, err := node.closeRun(ctx, query, running.next, outcome, "", detail)
	node.settle(query, words)
	if err != nil {
		running.journal.append(apierror.New(apierror.Unknown, "the end of the answer could not be committed: "+err.Error(), "tail the conversation from the last seq you have"), true)
		return
	}
	var told error
	if outcome == line.OutcomeNotRun {
		told = query.fenced(failed)
	}
	running.journal.append(told, true, line.Event{Seq: seq, Kind: line.TurnEnded, Turn: query.begun.Seq, Outcome: outcome, Name: detail})
}

// tail streams committed events of a line after a cursor, from the stores. With a
// turn it streams only that turn and stops at its end; it reads the turn from its
// beginning, wherever the cursor is, so that it knows its deadline and its end.
func (node *Node) tail(name, conversationName string, cursor, turn uint64) *stream {
	reached := cursor
	if turn != 0 {
		reached = turn - 1
	}
	var begun line.Event
	wait := time.Duration(0)
	return &stream{conversation: conversationName, turn: turn, next: func(ctx context.Context) ([]line.Event, bool, error) {
		waiting, cancel := context.WithTimeout(ctx, commitTimeout+tailWait)
		defer cancel()
		reply, err := node.stores.Read(waiting, wire.ReadQuery{Session: name, After: reached, Limit: storeorigin.EventsAtOnce, Wait: wait})
		if err != nil {
			return nil, true, err
		}
		wait = tailWait
		found, ended := []line.Event{}, false
		for _, event := range reply.Events {
			reached = event.Seq
			if turn != 0 && event.Turn != turn {
				continue
			}
			if event.Kind == line.TurnBegun {
				begun = event
			}
			ended = ended || (turn != 0 && event.Kind == line.TurnEnded)
			if event.Seq > cursor || ended {
				found = append(found, event)
			}
		}
		silent := len(reply.Events) == 0 && turn != 0 && !ended
		if silent && (reply.Clock > begun.Deadline || node.presumedGone(ctx, begun)) {
			if err := node.closeOverdue(ctx, name, begun, line.OutcomeCut); err != nil {
				return found, true, err
			}
		}
		return found, ended, nil
	}}
}

// stream writes events as one JSON object a line. It ends with an explicit mark,
// or with a failure in the same form.
type stream struct {
	conversation string
	turn         uint64
	next         func(ctx context.Context) ([]line.Event, bool, error)
	context      context.Context
}

// Read is never used: goa calls WriteTo.
func (stream *stream) Read([]byte) (int, error) { return 0, io.EOF }

// Close has nothing to give back.
func (stream *stream) Close() error { return nil }

type streamed struct {
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

var eventNames = map[line.EventKind]string{
	line.TurnBegun: "turn_begun", line.OutputPart: "piece", line.TurnEnded: "turn_ended", line.ToolCalled: "tool_called",
	line.ToolAnswered: "tool_answered", line.HelperStarted: "helper_started", line.Fenced: "fenced",
}

// WriteTo streams until the end mark, a failure or the caller's leaving.
func (stream *stream) WriteTo(target io.Writer) (int64, error) {
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
	if err := encoder.Encode(streamed{Conversation: stream.conversation, Turn: stream.turn}); err != nil {
		return written, err
	}
	for {
		events, ended, failed := stream.next(ctx)
		for _, event := range events {
			if err := encoder.Encode(toStreamed(event)); err != nil {
				return written, err
			}
		}
		if failed != nil && ctx.Err() == nil {
			told := apierror.Of(failed)
			return written, encoder.Encode(streamed{End: "failed", Kind: string(told.Kind), Message: told.Message, Remedy: told.Remedy})
		}
		flush()
		if ended || ctx.Err() != nil {
			return written, ctx.Err()
		}
	}
}

func toStreamed(event line.Event) streamed {
	told := streamed{Seq: event.Seq, Event: eventNames[event.Kind], Turn: event.Turn, Follows: event.Follows, Name: event.Name, Words: event.Text}
	if event.Kind == line.TurnEnded {
		told.End, told.Reason, told.Name = event.Outcome, event.Name, ""
	}
	return told
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
