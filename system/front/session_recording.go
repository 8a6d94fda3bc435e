package front

import (
	"context"
	"strconv"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
)

const (
	// fenceTimeout bounds the append of the fence if it is not known whether a start was
	// committed.
	fenceTimeout = 4 * time.Second
	// proveNotRunTimeout bounds the append of the fence before a request is rejected; it is
	// shorter, as the client waits only for a rejection.
	proveNotRunTimeout = 1500 * time.Millisecond
)

const (
	// startProducerSeq is the producer sequence number of a start event and of the fence that
	// takes its place, so that a session accepts only one of them.
	startProducerSeq = 1
	// afterStartProducerSeq is that of the producer's next append: the first parts of a
	// turn's answer, or the end of the run.
	afterStartProducerSeq = 2
)

// appendCondition says when a start event may be appended to a session.
type appendCondition int

const (
	// atAnyHead: regardless of what was appended since the session was read.
	atAnyHead appendCondition = iota
	// atReadHead: only if the session has not grown since it was read.
	atReadHead
)

// recordStart records that work is about to be dispatched. It returns nil, nil only if this
// request's start event is committed. If another request for the same work was first, its event
// is returned.
func (node *Node) recordStart(ctx context.Context, request *request, event sessionlog.Event, condition appendCondition) (*sessionlog.Event, error) {
	event.Text, event.Digest, event.Follows = request.input, request.digest(), request.follows
	if request.dispatchID == "" {
		request.dispatchID = node.newDispatchID()
	}
	event.Runner, event.Dispatch, event.Config = request.slot.Runner.Address, request.dispatchID, request.current.view.ConfigNumber
	event.Deadline = int64(time.Duration(request.workKind.Timeout) + deadlineMargin)
	commands := request.startCommands(event, condition)
	commitCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	outcomes, err := node.stores.Command(commitCtx, request.sessionName(), commands...)
	if apierror.Is(err, apierror.OutcomeUnknown) {
		return node.fenceStart(request, event, asNotRun(err), fenceTimeout)
	}
	if err != nil {
		return nil, asNotRun(err)
	}
	outcome := outcomes[len(outcomes)-1]
	switch {
	case outcome.Status == sessionlog.UnexpectedSeq:
		return nil, apierror.NewRetryable(apierror.Conflict, "the conversation has changed since it was read", "read the history and follow its last complete turn", 0)
	case outcome.Status != sessionlog.Done && outcome.Status != sessionlog.StaleProducer:
		return nil, apierror.NewRetryable(apierror.NotRun, "the session rejected the start of the work (status "+strconv.Itoa(int(outcome.Status))+")", "retry", time.Second)
	case outcome.Deduped:
		return node.readStart(commitCtx, request, outcome.Seq, event.Dispatch)
	}
	request.startEvent = event
	request.startEvent.Seq = outcome.Seq
	return nil, nil
}

// startCommands returns the commands that append a start event, and create the session if it
// does not exist.
func (request *request) startCommands(event sessionlog.Event, condition appendCondition) []sessionlog.Command {
	commands := []sessionlog.Command{}
	if !request.sessionExists {
		commands = append(commands, request.createSession())
	}
	return append(commands, sessionlog.Command{
		Kind: sessionlog.AppendEvent, Producer: request.producer, ProducerSeq: startProducerSeq,
		HasExpectedSeq: condition == atReadHead, ExpectedSeq: request.history.Head, Events: []sessionlog.Event{event},
	})
}

// createSession returns the command that creates the request's session; it has no effect if the
// session exists.
func (request *request) createSession() sessionlog.Command {
	return sessionlog.Command{Kind: sessionlog.CreateSession, Team: request.team, Program: request.program, WorkKind: request.kind, Retention: time.Duration(request.programConfig.Retention)}
}

// readStart reads the start event or fence of a producer's run; the event at seq may be a later
// one of the run. It returns nil, nil if the start event is this request's own, so that only
// the reply to its commit was lost.
func (node *Node) readStart(ctx context.Context, request *request, seq uint64, dispatch string) (*sessionlog.Event, error) {
	event, err := node.readEvent(ctx, request.sessionName(), seq)
	if err == nil && event.Run != 0 && event.Run != event.Seq {
		event, err = node.readEvent(ctx, request.sessionName(), event.Run)
	}
	if err != nil {
		return nil, apierror.WrapRetryable(err, apierror.Unknown, "whether the work was started cannot be read now", "retry with the same query_key", time.Second)
	}
	if event.Kind != sessionlog.Fenced && event.Dispatch == dispatch {
		request.startEvent = event
		return nil, nil
	}
	return &event, nil
}

// readEvent reads one event of a session.
func (node *Node) readEvent(ctx context.Context, name string, seq uint64) (sessionlog.Event, error) {
	reply, err := node.stores.Read(ctx, wire.ReadQuery{Session: name, After: seq - 1, Limit: 1})
	if err != nil {
		return sessionlog.Event{}, err
	}
	if len(reply.Events) == 0 {
		return sessionlog.Event{}, apierror.New(apierror.Gap, "event "+strconv.FormatUint(seq, 10)+" of session "+name+" cannot be read", "retry")
	}
	return reply.Events[0], nil
}

// fenceStart settles whether a request's start is recorded. Either the fence takes the place of
// its start event, so that it can never start; or the start event is this request's own, and the
// run is closed as not run, as nothing was sent. Another request's start event is returned.
func (node *Node) fenceStart(request *request, event sessionlog.Event, cause error, timeout time.Duration) (*sessionlog.Event, error) {
	ctx, cancel := context.WithTimeout(node.context, timeout)
	defer cancel()
	unknown := apierror.WrapRetryable(cause, apierror.Unknown,
		"whether the work was started is not known; this node sent nothing ("+apierror.Of(cause).Message+")",
		"retry with the same query_key", time.Second)
	outcomes, err := node.stores.Command(ctx, request.sessionName(), request.createSession(), sessionlog.Command{
		Kind: sessionlog.AppendEvent, Producer: request.producer, ProducerSeq: startProducerSeq,
		Events: []sessionlog.Event{{Kind: sessionlog.Fenced, Digest: request.digest()}},
	})
	if err != nil {
		return nil, unknown
	}
	fenced := outcomes[1]
	if fenced.Status == sessionlog.Done && !fenced.Deduped {
		return nil, request.fencedError(cause)
	}
	other, err := node.readStart(ctx, request, fenced.Seq, event.Dispatch)
	if err != nil || other != nil {
		return other, err
	}
	return nil, node.recordNotRun(request, cause)
}

// fencedError returns the NotRun error that the session log proves. Without an idempotency key
// the same request may be retried unchanged.
func (request *request) fencedError(cause error) error {
	request.provenNotRun = true
	failure := apierror.Of(cause)
	notRun := &apierror.Error{Kind: apierror.NotRun, Message: failure.Message, Remedy: "retry", RetryAfter: max(failure.RetryAfter, time.Second), Cause: cause}
	if request.idempotencyKey != "" {
		notRun.Message += "; the query_key is fenced"
		notRun.Remedy = "retry with a new query_key"
	}
	return notRun
}

// proveNotRun turns the rejection of recorded work into one that the session log proves. An
// earlier request for the same work may be in flight at another front, and only a fence keeps
// it from running after this one was rejected with NotRun. If no fence can be appended in time,
// the error is Unknown, with a retry delay.
func (node *Node) proveNotRun(request *request, err error) error {
	repeatable := request.idempotencyKey == "" && request.follows == 0
	if !request.recorded || request.provenNotRun || repeatable || !apierror.Is(err, apierror.NotRun) {
		return err
	}
	unknown := apierror.WrapRetryable(err, apierror.Unknown,
		"this node sent nothing, but cannot tell whether an earlier request for the same work ran ("+apierror.Of(err).Message+")",
		"retry with the same query_key", max(apierror.Of(err).RetryAfter, time.Second))
	if request.producer == "" {
		return unknown
	}
	other, fenceErr := node.fenceStart(request, sessionlog.Event{Dispatch: request.dispatchID}, err, proveNotRunTimeout)
	switch {
	case fenceErr != nil:
		return fenceErr
	case other != nil && other.Kind == sessionlog.Fenced:
		return request.fencedError(err)
	}
	return unknown
}

// recordEnd appends the end of a run that this request started, and returns its seq once it is
// committed. An Unknown error may also mean that another node has closed the run.
func (node *Node) recordEnd(ctx context.Context, request *request, producerSeq uint64, outcome, text, detail string) (uint64, error) {
	outcomes, err := node.stores.Command(ctx, request.sessionName(), sessionlog.Command{Kind: sessionlog.AppendEvent, Producer: request.producer, ProducerSeq: producerSeq, Events: []sessionlog.Event{{
		Kind: sessionlog.ClosingKind(request.startEvent.Kind), Run: request.startEvent.Seq, Outcome: outcome, Text: text, Name: detail,
	}}})
	if err != nil {
		return 0, err
	}
	if outcomes[0].Status != sessionlog.Done {
		return 0, apierror.New(apierror.Unknown, "another node has closed the run", "read the history")
	}
	return outcomes[0].Seq, nil
}

// recordNotRun closes a run of which provably nothing was sent. The client may get NotRun only
// once that is committed.
func (node *Node) recordNotRun(request *request, cause error) error {
	ctx, cancel := context.WithTimeout(node.context, commitTimeout)
	defer cancel()
	if _, err := node.recordEnd(ctx, request, afterStartProducerSeq, sessionlog.OutcomeNotRun, "", string(apierror.Of(cause).Kind)); err != nil {
		return apierror.WrapRetryable(err, apierror.Unknown, "nothing was sent, but that could not be recorded", "retry with the same query_key", time.Second)
	}
	return request.fencedError(cause)
}

// closeOverdueRun closes a run that is overdue or whose owner has failed. If the owner still
// works on it, its further appends are rejected.
func (node *Node) closeOverdueRun(ctx context.Context, name string, startEvent sessionlog.Event, outcome string) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := node.stores.Command(ctx, name, sessionlog.CloseOverdue(startEvent, outcome))
	return err
}
