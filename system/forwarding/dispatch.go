package forwarding

import (
	"context"
	"errors"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
)

const (
	// maxUnsentAttempts limits the attempts that failed before anything was sent. They do
	// not count towards the route's attempt limit.
	maxUnsentAttempts = 6
	// minRetryTime is the least remaining time for which another attempt is made.
	minRetryTime = 50 * time.Millisecond
)

// errNoRetry marks errors after which no other runner may be tried: the client has
// disconnected, or the work is done and only its record failed. Its text is part of messages
// to clients.
var errNoRetry = errors.New("the request is not retried")

// dispatch is the last filter: it sends the request to a runner and, as far as the route's
// guarantees allow, to further ones until a response has been relayed.
func dispatch(ctx context.Context, forwarder *Forwarder, exchange *exchange) (bool, error) {
	ctx, cancel := context.WithDeadline(ctx, exchange.deadline)
	defer cancel()
	if number, numbered := parseEventNumber(exchange.LastEventID); numbered && exchange.route.Resumable {
		exchange.stream.lastEventID, exchange.stream.lastEventNumber = exchange.LastEventID, number
	}
	attempts := newAttemptSet(ctx, forwarder, exchange)
	defer attempts.close()
	unsent := 0
	for {
		retry, err := attempts.tryNext()
		if err == nil {
			forwarder.recordUnansweredOperation(exchange, nil)
			return true, nil
		}
		if apierror.Of(err).NeverSent {
			unsent++
		}
		if retry && unsent < maxUnsentAttempts && exchange.hasAttemptLeft() && ctx.Err() == nil {
			continue
		}
		if err = attempts.awaitInFlight(err); err != nil {
			forwarder.recordUnansweredTurn(exchange, err)
		}
		forwarder.recordUnansweredOperation(exchange, err)
		return true, err
	}
}

// hasAttemptLeft reports whether the route and the remaining time allow another attempt.
func (exchange *exchange) hasAttemptLeft() bool {
	return exchange.sendCount < max(exchange.route.MaxAttempts, 1) && time.Until(exchange.deadline) > minRetryTime
}

// idempotent reports whether the request may be sent again after it may have run. This includes
// resumable streams, which another runner continues after the last event that the client received,
// and operations that are bound to a service which deduplicates them.
func (exchange *exchange) idempotent() bool {
	if exchange.isOperation() {
		return exchange.operationService() != ""
	}
	switch exchange.route.Kind {
	case config.Repeatable:
		return true
	case config.Streaming:
		return exchange.route.Resumable
	}
	return false
}

// operationService returns the only service that may get the request, as its operation is bound to it;
// "" if it is bound to none.
func (exchange *exchange) operationService() string {
	if exchange.operation == nil {
		return ""
	}
	return exchange.operation.service
}

// mayRetry reports whether the request may be sent to another runner after a failed attempt.
func (exchange *exchange) mayRetry(failure *apierror.Error) bool {
	return failure.NeverSent || failure.Kind == apierror.NotRun || exchange.idempotent()
}

// errorForClient converts the error of an attempt into the one for the client. It is NotRun
// only if no earlier attempt may have run either.
func (exchange *exchange) errorForClient(err error) error {
	failure := *apierror.Of(err)
	provenNotRun := failure.NeverSent || failure.Kind == apierror.NotRun || failure.Kind == apierror.RateLimited
	switch {
	case exchange.stream.started:
		return err
	case !provenNotRun:
		exchange.mayHaveRun = true
		if failure.Kind != apierror.RunnerFailure {
			failure.Kind = apierror.Unknown
		}
	case exchange.mayHaveRun:
		failure.Kind = apierror.Unknown
	case failure.Kind == apierror.RateLimited:
	default:
		failure.Kind = apierror.NotRun
		if failure.RetryAfter == 0 {
			failure.RetryAfter = shortRetryAfter
		}
	}
	return &failure
}
