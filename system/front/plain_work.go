package front

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/api/gen/work"
	"yardrock.example/system/apierror"
	"yardrock.example/system/runnerclient"
	"yardrock.example/system/sessionlog"
)

func (request *request) plainRequest() runnerclient.PlainRequest {
	return runnerclient.PlainRequest{Program: request.program, Kind: request.kind, RequestKey: request.idempotencyKey, Words: request.words}
}

// sendPlainWork sends plain work to a runner, and to another only while provably nothing
// was sent.
func (node *Node) sendPlainWork(ctx context.Context, request *request) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.workKind.Timeout))
	defer cancel()
	for dial := 1; ; dial++ {
		answer, err := node.runnerClient.Call(ctx, request.slot.Runner.Address, request.workKind.Path, request.plainRequest(), node.preSendCheck(request))
		if err == nil || !apierror.Of(err).NeverSent || dial == maxDials {
			request.slot.Release(node.outcomeOf(err))
			return answer, err
		}
		if node.switchRunner(ctx, request, err) != nil {
			return nil, err
		}
	}
}

// askRunner answers a lookup. It may be asked again, so it leaves no record.
func askRunner(ctx context.Context, node *Node, request *request) (any, error) {
	answer, err := node.sendPlainWork(ctx, request)
	if err != nil && apierror.Of(err).NeverSent {
		return nil, asNotRun(err)
	}
	if err != nil {
		return nil, err
	}
	return &work.Outcome{Outcome: sessionlog.OutcomeComplete, Answer: answer}, nil
}

// runOnce dispatches work that is recorded as begun, and tells its outcome only
// once that is recorded too. It goes on if the caller leaves.
func runOnce(ctx context.Context, node *Node, request *request) (any, error) {
	request.cleanups = nil
	type result struct {
		reported any
		err      error
	}
	done := make(chan result, 1)
	node.background.start(func() {
		reported, err := node.executeOnce(request)
		done <- result{reported, err}
	})
	select {
	case finished := <-done:
		return finished.reported, finished.err
	case <-ctx.Done():
		return nil, apierror.New(apierror.Unknown, "the caller left before the outcome", "ask again with the same query key")
	}
}

func (node *Node) executeOnce(request *request) (any, error) {
	answer, failed := node.sendPlainWork(node.context, request)
	ended := sessionlog.Event{Outcome: sessionlog.OutcomeComplete, Text: string(answer)}
	switch {
	case failed == nil:
	case apierror.Of(failed).NeverSent || apierror.Is(failed, apierror.NotRun):
		ended = sessionlog.Event{Outcome: sessionlog.OutcomeNotRun, Name: apierror.Of(failed).Message}
	default:
		ended = sessionlog.Event{Outcome: sessionlog.OutcomeUnknown, Name: apierror.Of(failed).Message}
		log.WithFields(log.Fields{"node": node.name, "line": request.sessionName(), "runner": request.slot.Runner.Address, "error": failed.Error()}).Warn("outcome_unknown")
	}
	ctx, cancel := context.WithTimeout(node.context, settleTimeout)
	defer cancel()
	if _, err := node.recordEnd(ctx, request, 2, ended.Outcome, ended.Text, ended.Name); err != nil {
		return nil, apierror.NewRetryable(apierror.Unknown, "the outcome could not be recorded: "+err.Error(), "ask again with the same query key", time.Second)
	}
	return node.recordedAnswer(request, ended, false)
}

// told turns a recorded outcome into one of the three answers.
func (node *Node) recordedAnswer(request *request, ended sessionlog.Event, repeated bool) (any, error) {
	switch ended.Outcome {
	case sessionlog.OutcomeComplete:
		name := request.conversation
		return &work.Outcome{Outcome: ended.Outcome, Line: &name, Answer: json.RawMessage(ended.Text), Repeated: &repeated}, nil
	case sessionlog.OutcomeNotRun:
		return nil, request.recordedNotRun("the work did not run: " + ended.Name)
	default:
		return nil, apierror.New(apierror.Unknown, "whether the work ran is not known: "+ended.Name, "find out at its receiver; it is never sent again under this query key")
	}
}
