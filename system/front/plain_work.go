package front

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/api/gen/work"
	"yardrock.example/system/apierror"
	"yardrock.example/system/runnerclient"
	"yardrock.example/system/scheduler"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
)

// plainRequest returns the form of the request that is sent to a runner.
func (request *request) plainRequest() runnerclient.PlainRequest {
	return runnerclient.PlainRequest{Program: request.program, Kind: request.kind, IdempotencyKey: request.idempotencyKey, Input: request.input}
}

// sendPlainWork sends plain work to a runner, and retries on another one only if provably
// nothing was sent. It releases the slot.
func (node *Node) sendPlainWork(ctx context.Context, request *request) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.workKind.Timeout))
	defer cancel()
	for attempt := 1; ; attempt++ {
		answer, err := node.runnerClient.Call(ctx, request.slot.Runner.Address, request.workKind.Path, request.plainRequest(), node.beforeSend(request))
		if err == nil || !apierror.Of(err).NeverSent || attempt == maxDispatchAttempts {
			request.slot.Release(node.dispatchOutcome(err))
			return answer, err
		}
		if node.switchRunner(ctx, request, err) != nil {
			// switchRunner may have acquired another slot before its check failed.
			request.slot.Release(scheduler.NotSent)
			return nil, err
		}
	}
}

// executeLookup dispatches a lookup. It may run more than once, so it is not recorded.
func executeLookup(ctx context.Context, node *Node, request *request) (any, error) {
	answer, err := node.sendPlainWork(ctx, request)
	if err != nil && apierror.Of(err).NeverSent {
		return nil, asNotRun(err)
	}
	if err != nil {
		return nil, err
	}
	return &work.Outcome{Outcome: sessionlog.OutcomeComplete, Answer: answer}, nil
}

// runOnce dispatches work whose start is recorded, and answers only once its outcome is recorded
// too. It continues in the background if the client disconnects.
func runOnce(ctx context.Context, node *Node, request *request) (any, error) {
	request.cleanups = nil
	type result struct {
		answer any
		err    error
	}
	done := make(chan result, 1)
	node.background.Go(func() {
		answer, err := node.executeOnce(request)
		done <- result{answer, err}
	})
	select {
	case finished := <-done:
		return finished.answer, finished.err
	case <-ctx.Done():
		return nil, apierror.Wrap(ctx.Err(), apierror.Unknown, "the client disconnected before the outcome was known", "retry with the same query_key")
	}
}

// executeOnce dispatches the work and records its outcome.
func (node *Node) executeOnce(request *request) (any, error) {
	answer, sendErr := node.sendPlainWork(node.context, request)
	endEvent := sessionlog.Event{Outcome: sessionlog.OutcomeComplete, Text: string(answer)}
	switch {
	case sendErr == nil:
	case apierror.Of(sendErr).NeverSent || apierror.Is(sendErr, apierror.NotRun):
		endEvent = sessionlog.Event{Outcome: sessionlog.OutcomeNotRun, Name: apierror.Of(sendErr).Message}
	default:
		endEvent = sessionlog.Event{Outcome: sessionlog.OutcomeUnknown, Name: apierror.Of(sendErr).Message}
		log.WithFields(log.Fields{
			"node": node.name, "session": request.sessionName(), "runner": request.slot.Runner.Incarnation, "address": request.slot.Runner.Address, "error": sendErr.Error(),
		}).Warn("outcome of work that may run only once is unknown")
	}
	ctx, cancel := context.WithTimeout(node.context, settleTimeout)
	defer cancel()
	if _, err := node.recordEnd(ctx, request, afterStartProducerSeq, endEvent.Outcome, endEvent.Text, endEvent.Name); err != nil {
		return nil, apierror.WrapRetryable(err, apierror.Unknown, "the outcome could not be recorded: "+err.Error(), "retry with the same query_key", time.Second)
	}
	return recordedAnswer(request, endEvent, false)
}

// recordedAnswer converts a recorded outcome into an answer if it is complete, else into a NotRun
// or an Unknown error.
func recordedAnswer(request *request, endEvent sessionlog.Event, repeated bool) (any, error) {
	switch endEvent.Outcome {
	case sessionlog.OutcomeComplete:
		name := request.conversation
		return &work.Outcome{Outcome: endEvent.Outcome, Line: &name, Answer: json.RawMessage(endEvent.Text), Repeated: &repeated}, nil
	case sessionlog.OutcomeNotRun:
		return nil, request.recordedNotRunError("the work did not run: " + endEvent.Name)
	default:
		return nil, apierror.New(apierror.Unknown, "whether the work ran is not known: "+endEvent.Name, "check at the system that the work acts on; it is never sent again with this query_key")
	}
}

// checkOnce answers a repeated idempotency key with the recorded outcome.
func checkOnce(ctx context.Context, node *Node, request *request) (any, error) {
	request.producer = strings.Join([]string{request.program, "once", request.idempotencyKey}, "/")
	return node.answerIfRecorded(ctx, request)
}

// checkTool is checkOnce for a tool call, which also needs a complete turn to follow.
func checkTool(ctx context.Context, node *Node, request *request) (any, error) {
	if request.idempotencyKey == "" {
		return nil, apierror.New(apierror.Invalid, "query_key is empty", "set a unique query_key for each tool call")
	}
	if err := checkFollowed(request); err != nil {
		return nil, err
	}
	request.producer = strings.Join([]string{request.program, "tool", request.idempotencyKey}, "/")
	return node.answerIfRecorded(ctx, request)
}

// answerIfRecorded answers a request whose work is already recorded, or returns nil.
func (node *Node) answerIfRecorded(ctx context.Context, request *request) (any, error) {
	if event, found := request.history.StartByProducer(request.producer); found {
		return node.answerRepeat(ctx, request, event)
	}
	return nil, nil
}

// recordOnceStart records the start of work that must run at most once.
func recordOnceStart(ctx context.Context, node *Node, request *request) (any, error) {
	return node.recordPlainStart(ctx, request, sessionlog.TurnBegun)
}

// recordToolStart records the start of a tool call.
func recordToolStart(ctx context.Context, node *Node, request *request) (any, error) {
	return node.recordPlainStart(ctx, request, sessionlog.ToolCalled)
}

// recordPlainStart records the start of plain work, or answers with the outcome of the same work
// that another request has started.
func (node *Node) recordPlainStart(ctx context.Context, request *request, kind sessionlog.EventKind) (any, error) {
	other, err := node.recordStart(ctx, request, sessionlog.Event{Kind: kind, Name: request.kind}, atAnyHead)
	if err != nil {
		return nil, err
	}
	if other != nil {
		return node.answerRepeat(ctx, request, *other)
	}
	return nil, nil
}

// answerRepeat waits for the recorded outcome of work that another request has started.
func (node *Node) answerRepeat(ctx context.Context, request *request, startEvent sessionlog.Event) (any, error) {
	if startEvent.Digest != request.digest() {
		return nil, apierror.New(apierror.Conflict, "the query_key was already used for other work", "use a new query_key")
	}
	if startEvent.Kind == sessionlog.Fenced {
		return nil, request.fencedEarlierError()
	}
	after := startEvent.Seq
	for wait := time.Duration(0); ; wait = tailPollTimeout {
		readCtx, cancel := context.WithTimeout(ctx, commitTimeout+tailPollTimeout)
		reply, err := node.stores.Read(readCtx, wire.ReadQuery{Session: request.sessionName(), After: after, Wait: wait})
		cancel()
		if err != nil {
			return nil, apierror.WrapRetryable(err, apierror.Unknown, "an earlier request started the work; its outcome cannot be read now", "retry with the same query_key", time.Second)
		}
		for _, event := range reply.Events {
			after = event.Seq
			if event.Run == startEvent.Seq && event.Kind == sessionlog.ClosingKind(startEvent.Kind) {
				return recordedAnswer(request, event, true)
			}
		}
		owner := node.ownerLiveness(ctx, startEvent)
		switch {
		case reply.Clock > startEvent.Deadline || owner == confirmedDead:
			if err := node.closeOverdueRun(ctx, request.sessionName(), startEvent, sessionlog.OutcomeUnknown); err != nil {
				return nil, apierror.WrapRetryable(err, apierror.Unknown, "an earlier request started the work; its outcome is not known", "retry with the same query_key", time.Second)
			}
		case owner == unreachable:
			// The owner may only be suspended or partitioned, and still record the outcome.
			return nil, apierror.NewRetryable(apierror.Unknown, "the work was started by a node that is unreachable; its outcome is not recorded yet", "retry with the same query_key", 2*time.Second)
		}
	}
}
