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
	// fenceTimeout bounds the fence that is set if it is not known whether a begin was
	// committed.
	fenceTimeout = 4 * time.Second
	// proveNotRunTimeout bounds the fence that is set before a request is rejected; it is
	// shorter, as the caller waits for nothing but a rejection.
	proveNotRunTimeout = 1500 * time.Millisecond
)

const (
	// startProducerSeq is the producer sequence number of a begin and of the fence in its
	// place, so that a session takes only one of them.
	startProducerSeq = 1
	// afterStartProducerSeq is that of the producer's next append: the first pieces of a
	// turn, or the end.
	afterStartProducerSeq = 2
)

// appendCondition says when a begin may be appended to a session.
type appendCondition int

const (
	// atAnyHead: whatever was appended since the session was read.
	atAnyHead appendCondition = iota
	// atReadHead: only if the session has not grown since it was read.
	atReadHead
)

// recordStart records that work is about to be dispatched. It returns nil, nil only once
// the record is committed and this request's own; a repeat that lost the race gets the
// event that won.
func (node *Node) recordStart(ctx context.Context, request *request, event sessionlog.Event, condition appendCondition) (*sessionlog.Event, error) {
	event.Text, event.Digest, event.Follows = request.input, request.digest(), request.follows
	if request.dispatchID == "" {
		request.dispatchID = node.newDispatchID()
	}
	event.Runner, event.Dispatch, event.Config = request.slot.Runner.Address, request.dispatchID, request.active.view.ConfigNumber
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
		return nil, apierror.NewRetryable(apierror.Conflict, "the conversation went on meanwhile", "read the history and follow its last complete turn", 0)
	case outcome.Status != sessionlog.Done && outcome.Status != sessionlog.StaleProducer:
		return nil, apierror.NewRetryable(apierror.NotRun, "the line refused the record (status "+strconv.Itoa(int(outcome.Status))+")", "ask again", time.Second)
	case outcome.Deduped:
		return node.readStart(commitCtx, request, outcome.Seq, event.Dispatch)
	}
	request.startEvent = event
	request.startEvent.Seq = outcome.Seq
	return nil, nil
}

// startCommands are the commands that append a begin, to a new session if there is none.
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

// createSession is the command that makes the request's session; it changes nothing if that
// exists.
func (request *request) createSession() sessionlog.Command {
	return sessionlog.Command{Kind: sessionlog.CreateSession, Team: request.team, Program: request.program, WorkKind: request.kind, Retention: time.Duration(request.programConfig.Retention)}
}

// readStart reads the event that opened the run of a producer, or its fence. The event at
// seq may be a later one of the same run. If the begin is this request's own, only the
// reply to its commit was lost, and nil is returned.
func (node *Node) readStart(ctx context.Context, request *request, seq uint64, dispatch string) (*sessionlog.Event, error) {
	event, err := node.readEvent(ctx, request.sessionName(), seq)
	if err == nil && event.Turn != 0 && event.Turn != event.Seq {
		event, err = node.readEvent(ctx, request.sessionName(), event.Turn)
	}
	if err != nil {
		return nil, apierror.WrapRetryable(err, apierror.Unknown, "whether the work began cannot be read now", "ask again with the same query key", time.Second)
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
		return sessionlog.Event{}, apierror.New(apierror.Gap, "event "+strconv.FormatUint(seq, 10)+" of "+name+" cannot be read", "ask again")
	}
	return reply.Events[0], nil
}

// fenceStart decides whether a request began: either the fence takes the place of its begin,
// so that it never can; or the begin is there and this request's own, and is closed as not
// run, as nothing was sent. The begin of another request is returned.
func (node *Node) fenceStart(request *request, event sessionlog.Event, cause error, timeout time.Duration) (*sessionlog.Event, error) {
	ctx, cancel := context.WithTimeout(node.context, timeout)
	defer cancel()
	unknown := apierror.WrapRetryable(cause, apierror.Unknown,
		"whether the work began is not known; this node sent nothing ("+apierror.Of(cause).Message+")",
		"ask again with the same query key", time.Second)
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

// fencedError makes the NotRun error that the session log proves. Without an idempotency
// key the same turn may be sent again as it is.
func (request *request) fencedError(cause error) error {
	request.provenNotRun = true
	failure := apierror.Of(cause)
	notRun := &apierror.Error{Kind: apierror.NotRun, Message: failure.Message, Remedy: "ask again", RetryAfter: max(failure.RetryAfter, time.Second), Cause: cause}
	if request.idempotencyKey != "" {
		notRun.Message += "; the query key is fenced off"
		notRun.Remedy = "send it under a new query key"
	}
	return notRun
}

// proveNotRun turns the rejection of recorded work into one that the session log proves. An
// earlier request for the same work may be on its way at another front: only a fence in
// its place keeps that from running after this one was answered with NotRun. Where no fence
// can be set at once, the answer is Unknown and when to ask again.
func (node *Node) proveNotRun(request *request, err error) error {
	repeatable := request.idempotencyKey == "" && request.follows == 0
	if !request.recorded || request.provenNotRun || repeatable || !apierror.Is(err, apierror.NotRun) {
		return err
	}
	unknown := apierror.WrapRetryable(err, apierror.Unknown,
		"this node sent nothing, but cannot tell what became of an earlier query for the same work ("+apierror.Of(err).Message+")",
		"ask again with the same query key", max(apierror.Of(err).RetryAfter, time.Second))
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

// recordEnd ends a run that this request began. It returns the end's seq once that is
// committed; Unknown also means that another node has closed the run.
func (node *Node) recordEnd(ctx context.Context, request *request, producerSeq uint64, outcome, text, detail string) (uint64, error) {
	outcomes, err := node.stores.Command(ctx, request.sessionName(), sessionlog.Command{Kind: sessionlog.AppendEvent, Producer: request.producer, ProducerSeq: producerSeq, Events: []sessionlog.Event{{
		Kind: sessionlog.ClosingKind(request.startEvent.Kind), Turn: request.startEvent.Seq, Outcome: outcome, Text: text, Name: detail,
	}}})
	if err != nil {
		return 0, err
	}
	if outcomes[0].Status != sessionlog.Done {
		return 0, apierror.New(apierror.Unknown, "the run was closed by another node meanwhile", "read the history")
	}
	return outcomes[0].Seq, nil
}

// recordNotRun ends a run of which provably nothing was sent. Only once that is committed
// may the caller get NotRun.
func (node *Node) recordNotRun(request *request, cause error) error {
	ctx, cancel := context.WithTimeout(node.context, commitTimeout)
	defer cancel()
	if _, err := node.recordEnd(ctx, request, afterStartProducerSeq, sessionlog.OutcomeNotRun, "", string(apierror.Of(cause).Kind)); err != nil {
		return apierror.WrapRetryable(err, apierror.Unknown, "nothing was sent, but that could not be recorded", "ask again with the same query key", time.Second)
	}
	return request.fencedError(cause)
}

// closeOverdueRun ends a run whose owner is gone, after its runner's time is over. An owner
// that still runs it finds the run closed.
func (node *Node) closeOverdueRun(ctx context.Context, name string, startEvent sessionlog.Event, outcome string) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := node.stores.Command(ctx, name, sessionlog.CloseOverdue(startEvent, outcome))
	return err
}
