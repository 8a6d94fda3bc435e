package forwarding

import (
	"context"
	"errors"
	"strconv"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/sessionlog"
)

// The producer sequence numbers of the events of one attempt at an operation. Each number is taken
// once, so that of two events with the same number the first one counts. The numbers are stored.
const (
	// operationStartSeq is the start, or the fence that takes its place.
	operationStartSeq = 1
	// operationEndSeq is the end. Of an attempt that is bound to a service it is the end as not run, or
	// the event that rules that out: another request has joined the attempt.
	operationEndSeq = 2
	// boundResponseSeq is the end with the response of an attempt that is bound to a service.
	boundResponseSeq = 3
)

// operationRecord is the record of one attempt at an operation in a session of its own, which the
// stores keep. The first attempt is the only one unless it provably did not run.
type operationRecord struct {
	sessionName string
	producer    string // of the attempt's events
	dispatch    string // identifies this request
	startSeq    uint64 // of the start event
	// service is the only service that may get the operation, as it deduplicates operations; "" if the
	// attempt is not bound to one and may be sent only once.
	service string
	// joined is set if another request began the attempt, and this one asks the service for the response.
	joined bool
}

// newOperationRecord returns the record of an attempt, by its number from 0. dispatch identifies the
// request. service is "" if the attempt is not bound to a service.
func (exchange *exchange) newOperationRecord(dispatch string, number int, service string) *operationRecord {
	return &operationRecord{
		sessionName: exchange.tenantScope() + sessionlog.OperationPrefix + exchange.OperationKey,
		producer:    "attempt/" + strconv.Itoa(number), dispatch: dispatch, service: service,
	}
}

// appendCommand returns the command that appends an event of the attempt.
func (record *operationRecord) appendCommand(producerSeq uint64, event sessionlog.Event) sessionlog.Command {
	return sessionlog.Command{Kind: sessionlog.AppendEvent, Producer: record.producer, ProducerSeq: producerSeq, Events: []sessionlog.Event{event}}
}

// endCommand returns the command that appends the event that ends the attempt.
func (record *operationRecord) endCommand(event sessionlog.Event) sessionlog.Command {
	if record.service != "" && event.Outcome != sessionlog.OutcomeNotRun {
		return record.appendCommand(boundResponseSeq, event)
	}
	return record.appendCommand(operationEndSeq, event)
}

// startOperation commits the start of an attempt. It returns the earlier one if another request has
// begun the attempt.
func (forwarder *Forwarder) startOperation(ctx context.Context, exchange *exchange, record *operationRecord) (*earlierAttempt, error) {
	lifetime := time.Until(exchange.deadline) + turnLifetimeMargin
	results, err := forwarder.settings.TurnStore.Command(ctx, record.sessionName,
		sessionlog.Command{Kind: sessionlog.CreateSession, Retention: forwarder.settings.OperationRetention},
		record.appendCommand(operationStartSeq, sessionlog.Event{Kind: sessionlog.TurnBegun, Dispatch: record.dispatch, Deadline: int64(lifetime), Name: record.service}))
	if apierror.Is(err, apierror.OutcomeUnknown) {
		forwarder.turnCommits.Go(func() { forwarder.fenceOperation(record) })
	}
	if err != nil {
		return nil, operationNotBegunError(err, "the operation could not begin in time")
	}
	if started := results[1]; started.Status == sessionlog.Done && !started.Deduped {
		record.startSeq = started.Seq
		return nil, nil
	}
	return forwarder.readEarlierAttempt(ctx, record)
}

// joinOperation makes the record that of a request which asks the service of an earlier attempt for the
// response. First it commits that the attempt can no longer end as not run: the next attempt might
// otherwise be sent to another service. It returns the earlier attempt, read again, if that has ended.
func (forwarder *Forwarder) joinOperation(ctx context.Context, record *operationRecord, earlier *earlierAttempt) (*earlierAttempt, error) {
	if !earlier.joined {
		results, err := forwarder.settings.TurnStore.Command(ctx, record.sessionName, record.appendCommand(operationEndSeq, sessionlog.Event{Kind: sessionlog.RunJoined, Run: earlier.startSeq}))
		if err != nil {
			return nil, operationNotBegunError(err, "the operation could not be joined in time")
		}
		if results[0].Status != sessionlog.Done || results[0].Deduped {
			// Another event has taken the number, or one with a higher number was appended before.
			again, err := forwarder.readEarlierAttempt(ctx, record)
			if err != nil || again == nil || !again.joined || again.ended != nil {
				return again, err
			}
		}
	}
	record.service, record.startSeq, record.joined = earlier.service, earlier.startSeq, true
	return nil, nil
}

// operationNotBegunError returns the error for a request that sends nothing, as its record could not be
// committed or read.
func operationNotBegunError(err error, message string) error {
	return apierror.WrapRetryable(err, apierror.NotRun, message+": "+apierror.Of(err).Message, "retry", shortRetryAfter)
}

// earlierAttempt is an attempt at an operation that another request has begun.
type earlierAttempt struct {
	notRun   bool // it provably did not run and never will
	overdue  bool // its request is over
	ended    *sessionlog.Event
	service  string // that it is bound to; "" if none
	joined   bool   // another request may have been sent to the service
	startSeq uint64
}

// readEarlierAttempt reads what is recorded of an attempt. It returns nil if the attempt is this
// request's own, whose start was committed by an earlier copy of the command.
func (forwarder *Forwarder) readEarlierAttempt(ctx context.Context, record *operationRecord) (*earlierAttempt, error) {
	events, reply, err := forwarder.settings.TurnStore.ReadAll(ctx, record.sessionName)
	if err != nil {
		return nil, operationNotBegunError(err, "the record of the operation could not be read")
	}
	earlier := &earlierAttempt{}
	for position := range events {
		event := &events[position]
		if event.Producer != record.producer {
			continue
		}
		switch event.Kind {
		case sessionlog.Fenced:
			earlier.notRun = true
		case sessionlog.TurnBegun:
			if event.Dispatch == record.dispatch {
				record.startSeq = event.Seq
				return nil, nil
			}
			earlier.startSeq, earlier.service, earlier.overdue = event.Seq, event.Name, reply.Clock > event.Deadline
		case sessionlog.RunJoined:
			earlier.joined = true
		case sessionlog.TurnEnded:
			earlier.ended, earlier.notRun = event, event.Outcome == sessionlog.OutcomeNotRun
		}
	}
	return earlier, nil
}

// errOperationEndRejected means that the stores did not accept the end of an attempt.
var errOperationEndRejected = errors.New("the record of the operation does not accept its end")

// endOperation commits the end of an attempt. It retries until the result is final,
// backgroundEndTurnTimeout passes or Close is called. An error means that the end may not be recorded.
func (forwarder *Forwarder) endOperation(record *operationRecord, event sessionlog.Event) error {
	status := sessionlog.Done
	err := forwarder.retryCommit(func(ctx context.Context) error {
		results, err := forwarder.settings.TurnStore.Command(ctx, record.sessionName, record.endCommand(event))
		if err == nil {
			status = results[0].Status
		}
		return err
	})
	if err == nil && status != sessionlog.Done {
		return errOperationEndRejected
	}
	return err
}

// fenceOperation settles a start whose commit has an unknown outcome, of a request that sends
// nothing: either the fence takes its place, or the start is ended as not run.
func (forwarder *Forwarder) fenceOperation(record *operationRecord) {
	// If this fails, repeats learn that the outcome is unknown once the attempt is overdue.
	_ = forwarder.retryCommit(func(ctx context.Context) error {
		results, err := forwarder.settings.TurnStore.Command(ctx, record.sessionName,
			sessionlog.Command{Kind: sessionlog.CreateSession, Retention: forwarder.settings.OperationRetention},
			record.appendCommand(operationStartSeq, sessionlog.Event{Kind: sessionlog.Fenced}))
		if err != nil || results[1].Status == sessionlog.Done && !results[1].Deduped {
			return err
		}
		earlier, err := forwarder.readEarlierAttempt(ctx, record)
		if err != nil || earlier != nil {
			return err // nil if the start is another request's
		}
		_, err = forwarder.settings.TurnStore.Command(ctx, record.sessionName, record.endCommand(
			sessionlog.Event{Kind: sessionlog.TurnEnded, Run: record.startSeq, Outcome: sessionlog.OutcomeNotRun}))
		return err
	})
}

// retryCommit calls a function until it returns no error, backgroundEndTurnTimeout passes or Close
// is called. It returns the function's last error.
func (forwarder *Forwarder) retryCommit(commit func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(forwarder.context, backgroundEndTurnTimeout)
	defer cancel()
	for {
		err := commit(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-time.After(backgroundEndTurnRetryInterval):
		case <-ctx.Done():
			return err
		}
	}
}
