package front

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"yardrock.example/system/line"
	"yardrock.example/system/mishap"
	"yardrock.example/system/wire"
)

// begin records that work is about to be dispatched. It returns nil only when the
// record is committed and this query's own. A repeat that lost the race gets the
// event that won.
func (node *Node) begin(ctx context.Context, query *query, event line.Event, expects bool) (*line.Event, error) {
	event.Words, event.Digest, event.Follows = query.words, query.digest(), query.follows
	event.Runner, event.Dispatch, event.Charter = query.slot.Runner.Address, uuid.NewString(), query.rules.view.CharterNumber
	event.Deadline = time.Now().Add(time.Duration(query.work.Patience) + deadlineMargin).UnixNano()
	commands := []line.Command{}
	if !query.existed {
		commands = append(commands, line.Command{Kind: line.CreateSession, Team: query.team, Program: query.program, WorkKind: query.kind, KeepFor: time.Duration(query.terms.Keep)})
	}
	commands = append(commands, line.Command{Kind: line.AppendEvent, Producer: query.producer, ProducerSeq: 1, Expects: expects, ExpectedSeq: query.said.Head, Events: []line.Event{event}})
	committing, cancel := context.WithTimeout(ctx, commitPatience)
	defer cancel()
	outcomes, err := node.stores.Command(committing, query.line(), commands...)
	if mishap.Is(err, mishap.Unclear) {
		return node.fence(query, event)
	}
	if err != nil {
		return nil, asNotRun(err)
	}
	outcome := outcomes[len(outcomes)-1]
	switch {
	case outcome.Status == line.UnexpectedSeq:
		return nil, mishap.Later(mishap.Conflict, "the conversation went on meanwhile", "read the history and follow its last complete turn", 0)
	case outcome.Status != line.Done:
		return nil, mishap.New(mishap.NotRun, "the line refused the record (status "+strconv.Itoa(int(outcome.Status))+")", "ask again with a new request key")
	case outcome.Deduped:
		return node.recorded(committing, query, outcome.Seq, event.Dispatch)
	}
	query.begun = event
	query.begun.Seq = outcome.Seq
	return nil, nil
}

// recorded reads the event that holds the producer pair. If it is this query's
// own, a lost answer had hidden that it was committed.
func (node *Node) recorded(ctx context.Context, query *query, seq uint64, dispatch string) (*line.Event, error) {
	reply, err := node.stores.Read(ctx, wire.ReadQuery{Line: query.line(), After: seq - 1, Limit: 1})
	if err != nil || len(reply.Events) == 0 {
		return nil, mishap.New(mishap.Unknown, "whether the work began cannot be read now", "ask again with the same request key")
	}
	event := reply.Events[0]
	if event.Kind != line.Fenced && event.Dispatch == dispatch {
		query.begun = event
		return nil, nil
	}
	return &event, nil
}

// fence settles an unclear begin: either the fence takes its place, so that it can
// never begin, or the begin is there and is closed as not run, as nothing was sent.
func (node *Node) fence(query *query, event line.Event) (*line.Event, error) {
	ctx, cancel := context.WithTimeout(node.context, fencePatience)
	defer cancel()
	unknown := mishap.New(mishap.Unknown, "whether the work was recorded as begun is not known; this node sent nothing", "ask again with the same request key")
	outcomes, err := node.stores.Command(ctx, query.line(),
		line.Command{Kind: line.CreateSession, Team: query.team, Program: query.program, WorkKind: query.kind, KeepFor: time.Duration(query.terms.Keep)},
		line.Command{Kind: line.AppendEvent, Producer: query.producer, ProducerSeq: 1, Events: []line.Event{{Kind: line.Fenced, Digest: event.Digest}}})
	if err != nil {
		return nil, unknown
	}
	fenced := outcomes[1]
	if fenced.Status == line.Done && !fenced.Deduped {
		return nil, mishap.Later(mishap.NotRun, "the line's stores did not answer in time; the work is fenced off", "ask again with a new request key", time.Second)
	}
	other, err := node.recorded(ctx, query, fenced.Seq, event.Dispatch)
	if err != nil || other != nil {
		return other, err
	}
	return nil, node.closeNotRun(query, mishap.Later(mishap.NotRun, "the line's stores did not answer in time", "ask again with a new request key", time.Second))
}

var closingKinds = map[line.EventKind]line.EventKind{line.TurnBegun: line.TurnEnded, line.ToolCalled: line.ToolAnswered}

// closeRun ends a run that this query began. It returns nil once the end is
// committed; TurnClosed means that another node has closed it.
func (node *Node) closeRun(ctx context.Context, query *query, producerSeq uint64, outcome, words, detail string) (uint64, error) {
	outcomes, err := node.stores.Command(ctx, query.line(), line.Command{Kind: line.AppendEvent, Producer: query.producer, ProducerSeq: producerSeq, Events: []line.Event{{
		Kind: closingKinds[query.begun.Kind], Turn: query.begun.Seq, Outcome: outcome, Words: words, Name: detail,
	}}})
	if err != nil {
		return 0, err
	}
	if outcomes[0].Status != line.Done {
		return 0, mishap.New(mishap.Unknown, "the run was closed by another node meanwhile", "read the history")
	}
	return outcomes[0].Seq, nil
}

// closeNotRun ends a run of which provably nothing was sent. Only once that is
// committed may the caller be told "not run".
func (node *Node) closeNotRun(query *query, cause error) error {
	ctx, cancel := context.WithTimeout(node.context, commitPatience)
	defer cancel()
	if _, err := node.closeRun(ctx, query, 2, line.OutcomeNotRun, "", string(mishap.Of(cause).Kind)); err != nil {
		return mishap.New(mishap.Unknown, "nothing was sent, but that could not be recorded", "ask again with the same request key")
	}
	return asNotRun(cause)
}

// closeOverdue ends a run whose node is gone, after its runner's time is over.
// Who still ran it finds the line closed.
func (node *Node) closeOverdue(ctx context.Context, name string, begun line.Event, outcome string) error {
	ctx, cancel := context.WithTimeout(ctx, commitPatience)
	defer cancel()
	_, err := node.stores.Command(ctx, name, line.Command{Kind: line.AppendEvent, Producer: "closer/" + strconv.FormatUint(begun.Seq, 10), ProducerSeq: 1, Events: []line.Event{{
		Kind: closingKinds[begun.Kind], Turn: begun.Seq, Outcome: outcome, Name: "overdue",
	}}})
	return err
}

func beginTurn(node *Node, ctx context.Context, query *query) (any, error) {
	other, err := node.begin(ctx, query, line.Event{Kind: line.TurnBegun}, true)
	if mishap.Is(err, mishap.Conflict) {
		// A tool or helper may have joined the line; only another turn is a conflict.
		answer, checked := again(node, ctx, query)
		if checked != nil || answer != nil {
			return answer, checked
		}
		if other, err = node.begin(ctx, query, line.Event{Kind: line.TurnBegun}, true); err != nil {
			return nil, err
		}
	}
	if err != nil {
		return nil, err
	}
	return node.repeatedTurn(query, other)
}

func (node *Node) repeatedTurn(query *query, other *line.Event) (any, error) {
	switch {
	case other == nil:
		return nil, nil
	case other.Kind == line.Fenced:
		return nil, mishap.New(mishap.NotRun, "this turn was fenced off before", "follow the same turn with a new request key")
	case other.Digest != query.digest():
		return nil, mishap.New(mishap.Conflict, "another turn already follows turn "+strconv.FormatUint(query.follows, 10), "read the history and follow its last complete turn")
	}
	return node.tail(query.line(), query.conversation, other.Seq-1, other.Seq), nil
}

// checkOnce answers a repeated request key with what was recorded.
func checkOnce(node *Node, ctx context.Context, query *query) (any, error) {
	query.producer = strings.Join([]string{query.program, "once", query.requestKey}, "/")
	return node.checkRecorded(ctx, query)
}

func checkTool(node *Node, ctx context.Context, query *query) (any, error) {
	if query.requestKey == "" {
		return nil, mishap.New(mishap.Invalid, "request_key is empty", "give each tool call a key of its own")
	}
	if err := checkFollowed(query); err != nil {
		return nil, err
	}
	query.producer = strings.Join([]string{query.program, "tool", query.requestKey}, "/")
	return node.checkRecorded(ctx, query)
}

func (node *Node) checkRecorded(ctx context.Context, query *query) (any, error) {
	if event, found := query.said.ByProducer(query.producer); found {
		return node.repeatedOnce(ctx, query, event)
	}
	return nil, nil
}

func beginOnce(node *Node, ctx context.Context, query *query) (any, error) {
	return node.beginWork(ctx, query, line.TurnBegun)
}

func beginTool(node *Node, ctx context.Context, query *query) (any, error) {
	return node.beginWork(ctx, query, line.ToolCalled)
}

func (node *Node) beginWork(ctx context.Context, query *query, kind line.EventKind) (any, error) {
	other, err := node.begin(ctx, query, line.Event{Kind: kind, Name: query.kind}, false)
	if err != nil {
		return nil, err
	}
	if other != nil {
		return node.repeatedOnce(ctx, query, *other)
	}
	return nil, nil
}

// repeatedOnce waits for the recorded outcome of work that another query began.
func (node *Node) repeatedOnce(ctx context.Context, query *query, begun line.Event) (any, error) {
	if begun.Digest != query.digest() {
		return nil, mishap.New(mishap.Conflict, "the request key was used with another body", "use a new request key for other work")
	}
	if begun.Kind == line.Fenced {
		return nil, mishap.New(mishap.NotRun, "the work under this request key was fenced off and did not run", "send it under a new request key")
	}
	after := begun.Seq
	for {
		waiting, cancel := context.WithTimeout(ctx, commitPatience+tailWait)
		reply, err := node.stores.Read(waiting, wire.ReadQuery{Line: query.line(), After: after, Wait: tailWait})
		cancel()
		if err != nil {
			return nil, mishap.Later(mishap.Unknown, "the work began before; its outcome cannot be read now", "ask again with the same request key", time.Second)
		}
		for _, event := range reply.Events {
			after = event.Seq
			if event.Turn == begun.Seq && event.Kind == closingKinds[begun.Kind] {
				return node.told(query, event, true)
			}
		}
		if time.Now().After(time.Unix(0, begun.Deadline)) {
			if err := node.closeOverdue(ctx, query.line(), begun, line.OutcomeUnknown); err != nil {
				return nil, mishap.Later(mishap.Unknown, "the work began before; its outcome is not known", "ask again with the same request key", time.Second)
			}
		}
	}
}
