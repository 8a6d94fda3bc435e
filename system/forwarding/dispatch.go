package forwarding

import (
	"context"
	"errors"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
)

const (
	// maxUnsentAttempts bounds the attempts that failed before anything was sent. They do
	// not count as attempts of the route.
	maxUnsentAttempts = 6
	// minRetryTime is the time that must be left for another attempt to be worth it.
	minRetryTime = 50 * time.Millisecond
)

// errNoRetry marks errors after which no other runner may be tried: the caller is gone, or
// the work was done and only its record failed. Its text is part of messages to callers.
var errNoRetry = errors.New("the caller left")

// dispatch is the last filter: it sends the request to a runner, and to another one where
// that can't make it run twice, until one response was relayed.
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
		return true, err
	}
}

// hasAttemptLeft reports whether the route allows another attempt and there is time for it.
func (exchange *exchange) hasAttemptLeft() bool {
	return exchange.sendCount < max(exchange.route.MaxAttempts, 1) && time.Until(exchange.deadline) > minRetryTime
}

// idempotent reports whether the request may run more than once. A resumable stream may:
// another runner goes on after the last event that the caller has.
func (exchange *exchange) idempotent() bool {
	return exchange.route.Kind == config.Repeatable || (exchange.route.Kind == config.Streaming && exchange.route.Resumable)
}

// mayRetry reports whether another runner may get the request after a failed attempt.
func (exchange *exchange) mayRetry(failure *apierror.Error) bool {
	return failure.NeverSent || failure.Kind == apierror.NotRun || exchange.idempotent()
}

// callerError turns the failure of an attempt into the error for the caller. NotRun is a
// promise, so it is given only if no earlier attempt may have run either.
func (exchange *exchange) callerError(err error) error {
	failure := *apierror.Of(err)
	provenNotRun := failure.NeverSent || failure.Kind == apierror.NotRun
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
	default:
		failure.Kind = apierror.NotRun
		if failure.RetryAfter == 0 {
			failure.RetryAfter = shortRetryAfter
		}
	}
	return &failure
}
