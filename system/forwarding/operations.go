package forwarding

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/sessionlog"
)

// DefaultOperationRetention is the default of Settings.OperationRetention.
const DefaultOperationRetention = 10 * time.Minute

// maxOperationAttempts bounds the attempts at an operation that provably did not run.
const maxOperationAttempts = 64

// recordedResponse is the stored form of a response.
type recordedResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

// isOperation reports whether the request belongs to an operation, which runs once: on keyed routes, and
// on all others if it has a key, as its route may have been keyed at an earlier try.
func (exchange *exchange) isOperation() bool {
	return exchange.route.Kind == config.Keyed || exchange.OperationKey != ""
}

// beginOperation is the filter for operations. It records that this request runs the operation, or
// finds the record of an earlier request that began it. That request's response is then the answer.
// Without one, only the service to which the record binds the operation may be asked for it.
func beginOperation(ctx context.Context, forwarder *Forwarder, exchange *exchange) (bool, error) {
	if !exchange.isOperation() {
		return false, nil
	}
	if exchange.OperationKey == "" {
		return false, apierror.New(apierror.Invalid, "the request has no operation key", "send the key of the operation on routes of this kind")
	}
	defer exchange.timer.end(StageBeginTurn)
	ctx, cancel := context.WithTimeout(ctx, exchange.beginTurnTimeout())
	defer cancel()
	answered, err := forwarder.recordOperation(ctx, exchange)
	if answered || err != nil {
		forwarder.endTurnInBackground(exchange, sessionlog.OutcomeNotRun) // if the request is a turn too
	}
	return answered, err
}

// recordOperation commits that this request runs the operation, or joins the request that does. It
// reports whether it has answered the request with the response of an earlier one.
func (forwarder *Forwarder) recordOperation(ctx context.Context, exchange *exchange) (answered bool, err error) {
	service, err := forwarder.bindOperation(exchange)
	if err != nil {
		return false, err
	}
	dispatch := forwarder.newDispatch()
	for number := range maxOperationAttempts {
		record := exchange.newOperationRecord(dispatch, number, service)
		earlier, err := forwarder.startOperation(ctx, exchange, record)
		if err == nil && earlier != nil && exchange.mayJoin(earlier) {
			earlier, err = forwarder.joinOperation(ctx, record, earlier)
		}
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

// bindOperation returns the service to which the operation is bound if this request runs it: one of
// those that deduplicate operations, so that a request without an answer may be sent to it again. It
// returns "" if not all services of the route do, and the operation is then sent once.
func (forwarder *Forwarder) bindOperation(exchange *exchange) (string, error) {
	if !exchange.current.Routing.DeduplicatesOperations(exchange.route) {
		return "", nil
	}
	service, err := forwarder.settings.Balancer.PickService(exchange.route)
	if err != nil {
		return "", exchange.errorForClient(err)
	}
	if !exchange.current.Routing.DeduplicatesAt(exchange.route, service) {
		return "", apierror.NewRetryable(apierror.NotRun, "the route changed before the operation began", "retry", shortRetryAfter)
	}
	return service, nil
}

// mayJoin reports whether the request may be sent to the service to which an earlier request bound the
// operation: it has no recorded response, and the service still serves the route and deduplicates.
func (exchange *exchange) mayJoin(earlier *earlierAttempt) bool {
	return !earlier.notRun && earlier.ended == nil && earlier.service != "" && exchange.current.Routing.DeduplicatesAt(exchange.route, earlier.service)
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
	return attempt.attempts.exchange.isOperation() && attempt.response != nil && attempt.response.Status == http.StatusConflict && apierror.Is(attempt.err, apierror.NotRun)
}

// recordResponse commits the response of an operation, so that each repeat gets the same one. The
// client of an operation without a service to ask again gets it only after that, and none if the
// function returns an error; the commit then goes on in the background, so that a repeat may get it. A
// response that was not read to its end is not recorded, and neither is a failure of a service that may be
// asked again: its own record decides what a repeat gets.
func (forwarder *Forwarder) recordResponse(ctx context.Context, exchange *exchange, status int, header http.Header, body []byte, complete bool) error {
	record := exchange.operation
	if record == nil {
		return nil
	}
	exchange.operation = nil // its end is being recorded
	event := sessionlog.Event{Kind: sessionlog.TurnEnded, Run: record.startSeq, Outcome: sessionlog.OutcomeComplete}
	if complete {
		data, err := json.Marshal(recordedResponse{status, header, body})
		if err != nil {
			log.WithField("error", err.Error()).Error("cannot encode a response to record it")
		}
		event.Data = data
	}
	if record.service != "" {
		if complete && status < http.StatusInternalServerError {
			forwarder.turnCommits.Go(func() { _ = forwarder.endOperation(record, event) }) // if this fails, the service has the response
		}
		return nil
	}
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

// recordUnansweredOperation records the end of an operation whose response is not recorded: its client
// gets none, or a stream. cause is nil in the latter case. One that is bound to a service ends only if it
// provably did not run: otherwise a repeat may still get the response from the service.
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
	if record.joined || record.service != "" && event.Outcome != sessionlog.OutcomeNotRun {
		return
	}
	// If this fails, repeats learn that the outcome is unknown once the attempt is overdue.
	forwarder.turnCommits.Go(func() { _ = forwarder.endOperation(record, event) })
}
