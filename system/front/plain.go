package front

import (
	"context"
	"encoding/json"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/api/gen/work"
	"yardrock.example/system/apierror"
	"yardrock.example/system/line"
	"yardrock.example/system/runnerorigin"
)

func (query *query) plain() runnerorigin.PlainQuery {
	return runnerorigin.PlainQuery{Program: query.program, Kind: query.kind, QueryKey: query.queryKey, Words: query.words}
}

// ask sends plain work to a runner, and to another only while provably nothing
// was sent.
func (node *Node) ask(ctx context.Context, query *query) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(query.work.Timeout))
	defer cancel()
	for dial := 1; ; dial++ {
		answer, err := node.runners.Ask(ctx, query.slot.Runner.Address, query.work.Path, query.plain(), node.lastLook(query))
		if err == nil || !apierror.Of(err).NeverSent || dial == mostDials {
			query.slot.Release(node.endingOf(err))
			return answer, err
		}
		if node.nextRunner(ctx, query, err) != nil {
			return nil, err
		}
	}
}

// askRunner answers a lookup. It may be asked again, so it leaves no record.
func askRunner(node *Node, ctx context.Context, query *query) (any, error) {
	answer, err := node.ask(ctx, query)
	if err != nil && apierror.Of(err).NeverSent {
		return nil, asNotRun(err)
	}
	if err != nil {
		return nil, err
	}
	return &work.Outcome{Outcome: line.OutcomeComplete, Answer: answer}, nil
}

// runOnce dispatches work that is recorded as begun, and tells its outcome only
// once that is recorded too. It goes on if the caller leaves.
func runOnce(node *Node, ctx context.Context, query *query) (any, error) {
	query.undo = nil
	type result struct {
		told any
		err  error
	}
	done := make(chan result, 1)
	node.runs.start(func() {
		told, err := node.dispatchOnce(query)
		done <- result{told, err}
	})
	select {
	case finished := <-done:
		return finished.told, finished.err
	case <-ctx.Done():
		return nil, apierror.New(apierror.Unknown, "the caller left before the outcome", "ask again with the same query key")
	}
}

func (node *Node) dispatchOnce(query *query) (any, error) {
	answer, failed := node.ask(node.context, query)
	ended := line.Event{Outcome: line.OutcomeComplete, Text: string(answer)}
	switch {
	case failed == nil:
	case apierror.Of(failed).NeverSent || apierror.Is(failed, apierror.NotRun):
		ended = line.Event{Outcome: line.OutcomeNotRun, Name: apierror.Of(failed).Message}
	default:
		ended = line.Event{Outcome: line.OutcomeUnknown, Name: apierror.Of(failed).Message}
		log.WithFields(log.Fields{"node": node.name, "line": query.line(), "runner": query.slot.Runner.Address, "error": failed.Error()}).Warn("outcome_unknown")
	}
	ctx, cancel := context.WithTimeout(node.context, settleTimeout)
	defer cancel()
	if _, err := node.closeRun(ctx, query, 2, ended.Outcome, ended.Text, ended.Name); err != nil {
		return nil, apierror.NewRetryable(apierror.Unknown, "the outcome could not be recorded: "+err.Error(), "ask again with the same query key", time.Second)
	}
	return node.told(query, ended, false)
}

// told turns a recorded outcome into one of the three answers.
func (node *Node) told(query *query, ended line.Event, repeated bool) (any, error) {
	switch ended.Outcome {
	case line.OutcomeComplete:
		name := query.conversation
		return &work.Outcome{Outcome: ended.Outcome, Line: &name, Answer: json.RawMessage(ended.Text), Repeated: &repeated}, nil
	case line.OutcomeNotRun:
		return nil, query.notRun("the work did not run: " + ended.Name)
	default:
		return nil, apierror.New(apierror.Unknown, "whether the work ran is not known: "+ended.Name, "find out at its receiver; it is never sent again under this query key")
	}
}
