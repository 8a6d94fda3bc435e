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

// partQueueLength is the maximum number of parts of an answer that wait for their commit, and
// of those in one commit. While the queue is full, nothing is read from the runner.
const partQueueLength = 256

// errTurnLimit ends the stream of a runner whose answer exceeds its word limit.
var errTurnLimit = errors.New("the answer reached the word limit of its reservation")

// The reasons recorded with the end of an incomplete turn. Clients read them in the session, so
// they never change.
const (
	reasonTurnLimit         = "turn_limit"         // the answer reached its word limit
	reasonRunnerUnreachable = "runner_unreachable" // the turn was sent to no runner
	reasonRunnerFailure     = "runner_mishap"      // the runner failed or broke off its answer
)

// turnExecution is one turn that this front streams from a runner into a session. The goroutine
// of execute owns it; dispatch runs in a second one and passes on the parts of the answer.
type turnExecution struct {
	node        *Node
	request     *request
	buffer      *eventBuffer
	wordCounter conversation.WordCounter
	// pendingParts has the parts that the runner has sent and that are not yet committed;
	// dispatch closes it.
	pendingParts    chan string
	nextProducerSeq uint64 // of the next append
	partCount       uint64 // parts taken from pendingParts so far; also the number of the last one
	// timeToFirstPart is 0 until the first part arrives; only dispatch uses it.
	timeToFirstPart time.Duration
}

// startRun takes over the slot and the reservation and executes the turn in the background,
// which continues if the client disconnects. It answers once there is an event to stream.
func startRun(ctx context.Context, node *Node, request *request) (any, error) {
	execution := &turnExecution{node: node, request: request, buffer: newEventBuffer(), pendingParts: make(chan string, partQueueLength), nextProducerSeq: afterStartProducerSeq}
	request.cleanups = nil
	node.background.Go(execution.execute)
	_, ended, err := execution.buffer.after(ctx, 0)
	if ended && apierror.Is(err, apierror.NotRun) {
		request.provenNotRun = true // the end of the run is recorded
		return nil, err
	}
	offset := 0
	return &eventStream{conversation: request.conversation, turn: request.startEvent.Seq, next: func(ctx context.Context) ([]sessionlog.Event, bool, error) {
		events, ended, err := execution.buffer.after(ctx, offset)
		offset += len(events)
		return events, ended, err
	}}, nil
}

// execute dispatches the turn, commits the parts of the answer as they arrive, and closes the turn.
func (execution *turnExecution) execute() {
	request, node := execution.request, execution.node
	ctx, cancel := context.WithTimeout(node.context, time.Duration(request.workKind.Timeout))
	defer cancel()
	dispatched := make(chan error, 1)
	go func() {
		defer close(execution.pendingParts)
		dispatched <- execution.dispatch(ctx)
	}()
	commitErr := execution.commitParts(cancel)
	dispatchErr := <-dispatched
	outcome := node.dispatchOutcome(dispatchErr)
	if commitErr != nil {
		outcome = scheduler.NotSent // this front cancelled it, which says nothing about the runner
	}
	defer request.slot.Release(outcome)
	execution.close(dispatchErr, commitErr)
}

// dispatch sends the turn to a runner, and retries on another one only if provably nothing was
// sent.
func (execution *turnExecution) dispatch(ctx context.Context) error {
	request, node := execution.request, execution.node
	history := request.history.Messages(request.follows)
	for attempt := 1; ; attempt++ {
		turn := runnerclient.TurnRequest{Conversation: request.conversation, Turn: request.startEvent.Seq, History: history, Input: request.input, MaxWords: request.answerWordLimit()}
		startedAt := time.Now()
		err := node.runnerClient.Stream(ctx, request.slot.Runner.Address, request.workKind.Path, turn, node.beforeSend(request), func(text string) error {
			if execution.timeToFirstPart == 0 {
				execution.timeToFirstPart = time.Since(startedAt)
				request.slot.FirstEvent(execution.timeToFirstPart)
			}
			accepted, fits := execution.wordCounter.CountUpTo(text, request.answerWordLimit())
			if accepted != "" {
				select {
				case execution.pendingParts <- accepted:
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			if !fits {
				return errTurnLimit
			}
			return nil
		})
		if err == nil || !apierror.Of(err).NeverSent || attempt == maxDispatchAttempts {
			return err
		}
		if node.switchRunner(ctx, request, err) != nil {
			return err
		}
	}
}

// commitParts commits the parts that arrived since the last commit in one append; they are
// streamed only after that. On an error it stops the dispatch and discards the remaining parts.
func (execution *turnExecution) commitParts(stop context.CancelFunc) error {
	for text := range execution.pendingParts {
		batch := []string{text}
		for more := true; more && len(batch) < partQueueLength; {
			select {
			case text, open := <-execution.pendingParts:
				if more = open; open {
					batch = append(batch, text)
				}
			default:
				more = false
			}
		}
		if err := execution.commit(batch); err != nil {
			stop()
			for range execution.pendingParts {
			}
			return err
		}
	}
	return nil
}

// commit appends one batch of parts to the session, then to the event buffer.
func (execution *turnExecution) commit(batch []string) error {
	request := execution.request
	events := make([]sessionlog.Event, len(batch))
	for position, text := range batch {
		execution.partCount++
		events[position] = sessionlog.Event{Kind: sessionlog.OutputPart, Run: request.startEvent.Seq, Text: text, Part: execution.partCount}
	}
	ctx, cancel := context.WithTimeout(execution.node.context, commitTimeout)
	defer cancel()
	outcomes, err := execution.node.stores.Command(ctx, request.sessionName(), sessionlog.Command{
		Kind: sessionlog.AppendEvents, Producer: request.producer, ProducerSeq: execution.nextProducerSeq, Events: events,
	})
	if err != nil {
		return err
	}
	if outcomes[0].Status != sessionlog.Done {
		return apierror.New(apierror.Unknown, "another node has closed the turn", "read the history")
	}
	execution.nextProducerSeq++
	for position := range events {
		events[position].Seq = outcomes[0].Seq + uint64(position)
	}
	execution.buffer.append(events...)
	return nil
}

// close records the end of the turn, settles its reservation, and ends the event buffer. An
// answer is complete only once its end is committed.
func (execution *turnExecution) close(dispatchErr, commitErr error) {
	request, node := execution.request, execution.node
	wordCount := conversation.CountWords(request.input) + execution.wordCounter.Count
	if commitErr != nil {
		node.settle(request, wordCount)
		execution.cutInBackground()
		execution.buffer.end(apierror.Wrap(commitErr, apierror.Unknown, "the answer could not be committed: "+commitErr.Error(), "tail the conversation from the last seq you have"))
		return
	}
	outcome, detail := execution.turnOutcome(dispatchErr)
	if outcome == sessionlog.OutcomeNotRun {
		wordCount = 0
	}
	ctx, cancel := context.WithTimeout(node.context, commitTimeout)
	defer cancel()
	seq, err := node.recordEnd(ctx, request, execution.nextProducerSeq, outcome, "", detail)
	node.settle(request, wordCount)
	if err != nil {
		execution.buffer.end(apierror.Wrap(err, apierror.Unknown, "the end of the answer could not be committed: "+err.Error(), "tail the conversation from the last seq you have"))
		return
	}
	var streamErr error
	if outcome == sessionlog.OutcomeNotRun {
		streamErr = request.fencedError(dispatchErr)
	}
	execution.buffer.end(streamErr, sessionlog.Event{Seq: seq, Kind: sessionlog.TurnEnded, Run: request.startEvent.Seq, Outcome: outcome, Name: detail})
}

// turnOutcome returns the outcome to record for the result of the dispatch, and the reason
// if it is not complete.
func (execution *turnExecution) turnOutcome(dispatchErr error) (outcome, detail string) {
	switch {
	case dispatchErr == nil:
		return sessionlog.OutcomeComplete, ""
	case errors.Is(dispatchErr, errTurnLimit):
		return sessionlog.OutcomeInterrupted, reasonTurnLimit
	case execution.partCount == 0 && (apierror.Of(dispatchErr).NeverSent || apierror.Is(dispatchErr, apierror.NotRun)):
		return sessionlog.OutcomeNotRun, reasonRunnerUnreachable
	}
	request := execution.request
	log.WithFields(log.Fields{
		"node": execution.node.name, "session": request.sessionName(), "turn": request.startEvent.Seq, "runner": request.slot.Runner.Incarnation, "address": request.slot.Runner.Address, "error": dispatchErr.Error(),
	}).Warn("runner failed or broke off its answer; turn closed as cut")
	return sessionlog.OutcomeInterrupted, reasonRunnerFailure
}

// cutInBackground closes the turn as cut after parts of it could not be committed. Until that
// succeeds the turn stays open; any front that reads it once it is overdue closes it as well.
func (execution *turnExecution) cutInBackground() {
	request, node := execution.request, execution.node
	node.background.Go(func() {
		ctx, cancel := context.WithTimeout(node.context, settleTimeout)
		defer cancel()
		err := node.closeOverdueRun(ctx, request.sessionName(), request.startEvent, sessionlog.OutcomeInterrupted)
		for err != nil && ctx.Err() == nil {
			awaitRetry(ctx)
			err = node.closeOverdueRun(ctx, request.sessionName(), request.startEvent, sessionlog.OutcomeInterrupted)
		}
		if err != nil {
			log.WithFields(log.Fields{"node": node.name, "session": request.sessionName(), "turn": request.startEvent.Seq, "error": err.Error()}).Warn("cannot close the turn; it stays open until it is overdue")
		}
	})
}
