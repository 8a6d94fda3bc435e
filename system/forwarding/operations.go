package forwarding

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/sessionlog"
)

// DefaultOperationRetention is the default of Settings.OperationRetention.
const DefaultOperationRetention = 10 * time.Minute

const (
	// maxOperationAttempts bounds the attempts at an operation that provably did not run.
	maxOperationAttempts = 64
	// operationStartSeq and operationEndSeq are the producer sequence numbers of an attempt's start,
	// or of the fence that takes its place, and of its end.
	operationStartSeq = 1
	operationEndSeq   = 2
)

// operationRecord is the record of one attempt at an operation in a session of its own, which the
// stores keep. The first attempt is the only one unless it provably did not run.
type operationRecord struct {
	sessionName string
	producer    string // of the attempt's events
	dispatch    string // identifies this request
	startSeq    uint64 // of the start event
}

// recordedResponse is the stored form of a response.
type recordedResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// beginOperation is the filter for keyed routes. Unless the runners deduplicate operations, it
// records that this request runs the operation, or answers with the recorded response of the
// request that did.
func beginOperation(ctx context.Context, forwarder *Forwarder, exchange *exchange) (bool, error) {
	if exchange.route.Kind != config.Keyed {
		return false, nil
	}
	if exchange.OperationKey == "" {
		return false, apierror.New(apierror.Invalid, "the request has no operation key", "send the key of the operation on routes of this kind")
	}
	if exchange.current.Routing.DeduplicatesOperations(exchange.route) {
		return false, nil
	}
	defer exchange.timer.end(StageBeginTurn)
	ctx, cancel := context.WithTimeout(ctx, exchange.beginTurnTimeout())
	defer cancel()
	for number := range maxOperationAttempts {
		record := &operationRecord{
			sessionName: exchange.tenantScope() + "operation/" + exchange.OperationKey,
			producer:    "attempt/" + strconv.Itoa(number), dispatch: forwarder.settings.Node + "/" + exchange.ID,
		}
		earlier, err := forwarder.startOperation(ctx, exchange, record)
		switch {
		case err != nil:
			return false, err
		case earlier == nil:
			exchange.operation = record
			return false, nil
		case earlier.notRun:
			continue
		}
		return true, earlier.answer(exchange.writer)
	}
	return false, apierror.NewRetryable(apierror.NotRun, "the operation was begun too often without being run", "retry", shortRetryAfter)
}

// startOperation commits the start of an attempt. It returns the earlier one if another request has
// begun the attempt.
func (forwarder *Forwarder) startOperation(ctx context.Context, exchange *exchange, record *operationRecord) (*earlierAttempt, error) {
	lifetime := time.Until(exchange.deadline) + turnLifetimeMargin
	results, err := forwarder.settings.TurnStore.Command(ctx, record.sessionName,
		sessionlog.Command{Kind: sessionlog.CreateSession, Retention: forwarder.settings.OperationRetention},
		record.appendCommand(operationStartSeq, sessionlog.Event{Kind: sessionlog.TurnBegun, Dispatch: record.dispatch, Deadline: int64(lifetime)}))
	if apierror.Is(err, apierror.OutcomeUnknown) {
		forwarder.turnCommits.Go(func() { forwarder.fenceOperation(record) })
	}
	if err != nil {
		return nil, apierror.WrapRetryable(err, apierror.NotRun, "the operation could not begin in time: "+apierror.Of(err).Message, "retry", shortRetryAfter)
	}
	if started := results[1]; started.Status == sessionlog.Done && !started.Deduped {
		record.startSeq = started.Seq
		return nil, nil
	}
	return forwarder.readEarlierAttempt(ctx, record)
}

// appendCommand returns the command that appends an event of the attempt.
func (record *operationRecord) appendCommand(producerSeq uint64, event sessionlog.Event) sessionlog.Command {
	return sessionlog.Command{Kind: sessionlog.AppendEvent, Producer: record.producer, ProducerSeq: producerSeq, Events: []sessionlog.Event{event}}
}

// earlierAttempt is an attempt at an operation that another request has begun.
type earlierAttempt struct {
	notRun  bool // it provably did not run and never will
	overdue bool // its request is over
	ended   *sessionlog.Event
}

// readEarlierAttempt reads what is recorded of an attempt. It returns nil if the attempt is this
// request's own, whose start was committed by an earlier copy of the command.
func (forwarder *Forwarder) readEarlierAttempt(ctx context.Context, record *operationRecord) (*earlierAttempt, error) {
	events, reply, err := forwarder.settings.TurnStore.ReadAll(ctx, record.sessionName)
	if err != nil {
		return nil, apierror.WrapRetryable(err, apierror.NotRun, "the record of the operation could not be read: "+apierror.Of(err).Message, "retry", shortRetryAfter)
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
			earlier.overdue = reply.Clock > event.Deadline
		case sessionlog.TurnEnded:
			earlier.ended, earlier.notRun = event, event.Outcome == sessionlog.OutcomeNotRun
		}
	}
	return earlier, nil
}

// answer answers a repeated request: with the response of the attempt, that the attempt is at work,
// or that its outcome is not known.
func (earlier *earlierAttempt) answer(writer ResponseWriter) error {
	unknown := apierror.New(apierror.Unknown, "whether the operation ran is not known", "check at the system that the operation acts on; it is never run again with this key")
	switch {
	case earlier.ended == nil && !earlier.overdue:
		return operationInProgressError()
	case earlier.ended == nil || earlier.ended.Outcome != sessionlog.OutcomeComplete || len(earlier.ended.Data) == 0:
		return unknown
	}
	response := recordedResponse{}
	if err := json.Unmarshal(earlier.ended.Data, &response); err != nil {
		log.WithField("error", err.Error()).Error("cannot decode a recorded response")
		return unknown
	}
	if err := writer.Begin(response.Status, response.Header); err != nil {
		return err
	}
	return writer.Write(response.Body)
}

// operationInProgressError returns the error of a request whose operation another request runs.
func operationInProgressError() error {
	return apierror.NewRetryable(apierror.Conflict, "the operation is in progress", "retry for its response", shortRetryAfter)
}

// isInProgress reports whether a runner that deduplicates operations states that another request
// runs the operation.
func (attempt *attempt) isInProgress() bool {
	return attempt.route.Kind == config.Keyed && attempt.response != nil && attempt.response.Status == http.StatusConflict && apierror.Is(attempt.err, apierror.NotRun)
}

// recordResponse commits the response of an operation, which is sent to the client only after that:
// each repeat gets the same one. An error means that the client gets no response; the commit goes on
// in the background, so that a repeat may get it. A response that was not read to its end is not
// recorded and a repeat gets the answer that the outcome is unknown, so nothing waits for that.
func (forwarder *Forwarder) recordResponse(ctx context.Context, exchange *exchange, status int, header http.Header, body []byte, complete bool) error {
	record := exchange.operation
	if record == nil {
		return nil
	}
	event := sessionlog.Event{Kind: sessionlog.TurnEnded, Run: record.startSeq, Outcome: sessionlog.OutcomeComplete}
	if complete {
		data, err := json.Marshal(recordedResponse{status, header, body})
		if err != nil {
			log.WithField("error", err.Error()).Error("cannot encode a response to record it")
		}
		event.Data = data
	}
	exchange.operation = nil // its end is being recorded
	ended := make(chan error, 1)
	forwarder.turnCommits.Go(func() { ended <- forwarder.endOperation(record, event) })
	if !complete {
		return nil
	}
	defer exchange.timer.end(StageEndTurn)
	var err error
	select {
	case err = <-ended:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err == nil {
		return nil
	}
	exchange.mayHaveRun = true
	log.WithFields(log.Fields{"node": forwarder.settings.Node, "session": record.sessionName, "request": exchange.ID, "error": err.Error()}).Warn("could not record the response of an operation; the client gets none")
	return errors.Join(errNoRetry, &apierror.Error{Kind: apierror.Unknown, Message: "the operation ran, but its response could not be recorded", Remedy: "repeat the request with the same key, which does not run the operation again", Cause: err})
}

// recordUnansweredOperation records the end of an operation whose client gets no response.
func (forwarder *Forwarder) recordUnansweredOperation(exchange *exchange, cause error) {
	record := exchange.operation
	if record == nil {
		return
	}
	exchange.operation = nil
	event := sessionlog.Event{Kind: sessionlog.TurnEnded, Run: record.startSeq, Outcome: sessionlog.OutcomeUnknown}
	if apierror.Is(cause, apierror.NotRun) || apierror.Is(cause, apierror.RateLimited) {
		event.Outcome = sessionlog.OutcomeNotRun
	}
	// If this fails, repeats learn that the outcome is unknown once the attempt is overdue.
	forwarder.turnCommits.Go(func() { _ = forwarder.endOperation(record, event) })
}

// errOperationEndRejected means that the stores did not accept the end of an attempt.
var errOperationEndRejected = errors.New("the record of the operation does not accept its end")

// endOperation commits the end of an attempt. It retries until the result is final,
// backgroundEndTurnTimeout passes or Close is called. An error means that the end may not be recorded.
func (forwarder *Forwarder) endOperation(record *operationRecord, event sessionlog.Event) error {
	status := sessionlog.Done
	err := forwarder.retryCommit(func(ctx context.Context) error {
		results, err := forwarder.settings.TurnStore.Command(ctx, record.sessionName, record.appendCommand(operationEndSeq, event))
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
		_, err = forwarder.settings.TurnStore.Command(ctx, record.sessionName,
			record.appendCommand(operationEndSeq, sessionlog.Event{Kind: sessionlog.TurnEnded, Run: record.startSeq, Outcome: sessionlog.OutcomeNotRun}))
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
