package front

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/conversation"
	"yardrock.example/system/runnerclient"
	"yardrock.example/system/scheduler"
	"yardrock.example/system/sessionlog"
)

const (
	maxDials         = 3
	pieceQueueLength = 256
)

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
