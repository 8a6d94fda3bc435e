package forwarding

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/balancer"
	"yardrock.example/system/config"
)

const (
	// hedgeDelayFraction is the fraction of the remaining time after which an unanswered
	// request is also sent to another runner.
	hedgeDelayFraction = 0.45
	// minHedgeDelay is the minimum of this delay.
	minHedgeDelay = 250 * time.Millisecond
)

// hedgeDelay returns how long to wait for a runner's response before the request is also
// sent to another one. 0 means no hedging: the route does not allow it, or only one more
// attempt is left.
func (exchange *exchange) hedgeDelay() time.Duration {
	if exchange.route.Kind != config.Repeatable || exchange.isOperation() || exchange.sendCount+1 >= exchange.route.MaxAttempts {
		return 0
	}
	return max(minHedgeDelay, time.Duration(hedgeDelayFraction*float64(time.Until(exchange.deadline))))
}

// attemptSet is the set of attempts of one request. Only requests of repeatable routes have
// more than one attempt in flight: a slow runner may still be working, so its attempt is not
// cancelled when the next one starts. The client gets the first usable response; the others
// are discarded.
type attemptSet struct {
	context   context.Context // of the request, with the deadline
	forwarder *Forwarder
	exchange  *exchange
	// finished receives each attempt of inFlight once, when it has ended. Those left at
	// close are received by its background task.
	finished chan *attempt
	inFlight []*attempt
	closed   atomic.Bool // the client has its response, or gets none
	answered bool
}

// newAttemptSet returns an empty set, which must be closed with close.
func newAttemptSet(ctx context.Context, forwarder *Forwarder, exchange *exchange) *attemptSet {
	return &attemptSet{context: ctx, forwarder: forwarder, exchange: exchange, finished: make(chan *attempt)}
}

// tryNext makes one more attempt and waits for the response of any attempt. On an error,
// retry reports whether another runner may be tried.
func (attempts *attemptSet) tryNext() (retry bool, err error) {
	if err := attempts.exchange.acquireToken(attempts.context, attempts.forwarder); err != nil {
		return false, attempts.exchange.errorForClient(err)
	}
	attempt, err := attempts.leaseRunner()
	attempts.exchange.timer.end(StageQueue)
	if err != nil {
		return false, attempts.exchange.errorForClient(err)
	}
	timeout := attempts.exchange.hedgeDelay()
	if timeout == 0 && len(attempts.inFlight) == 0 {
		attempt.send()
		return attempts.handleResult(attempt)
	}
	attempts.launch(attempt)
	return attempts.awaitNext(timeout)
}

// awaitInFlight waits until one of the attempts in flight is answered or all have failed, and
// returns the last error. err is the error so far.
func (attempts *attemptSet) awaitInFlight(err error) error {
	for err != nil && len(attempts.inFlight) > 0 && !attempts.exchange.stream.started && !errors.Is(err, errNoRetry) {
		_, err = attempts.awaitNext(0)
	}
	return err
}

// leaseRunner leases a runner that has not been tried yet.
func (attempts *attemptSet) leaseRunner() (*attempt, error) {
	exchange := attempts.exchange
	lease, err := attempts.forwarder.settings.Balancer.Acquire(attempts.context, balancer.Request{
		Route: exchange.route, Service: exchange.operationService(), Urgency: urgencyOf(exchange.tenant), PromptParts: exchange.PromptParts, Program: exchange.Program, Session: exchange.Session, AffinityKey: exchange.AffinityKey,
		InputTokens: exchange.InputTokens, MaxOutputTokens: exchange.MaxOutputTokens, Deadline: exchange.deadline, FinishBy: exchange.FinishBy, Excluded: exchange.triedRunners,
		CachedAt: exchange.cachedAt(),
	})
	if err != nil {
		return nil, err
	}
	return &attempt{
		attempts: attempts, lease: lease, current: exchange.current, route: exchange.route, tenant: exchange.tenant, sendBy: exchange.sendBy, operationService: exchange.operationService(), lastEventID: exchange.stream.lastEventID,
		context: attempts.context, cancel: func() {},
	}, nil
}

// cachedAt returns the runner that has the conversation of a recorded turn in its prefix
// cache, according to the session log.
func (exchange *exchange) cachedAt() balancer.CacheLocation {
	if exchange.turn == nil {
		return balancer.CacheLocation{}
	}
	return balancer.CacheLocation{Runner: exchange.turn.Runner, Tokens: int(exchange.turn.CachedTokens)}
}

// launch sends an attempt in its own goroutine under the forwarder's context, so that it can
// outlive the request's. It counts as sent immediately, so that the attempts in flight stay
// within the route's attempt limit.
func (attempts *attemptSet) launch(attempt *attempt) {
	attempt.context, attempt.cancel = context.WithDeadline(attempts.forwarder.context, attempts.exchange.deadline)
	attempt.detach = context.AfterFunc(attempts.context, attempt.cancel)
	if attempts.context.Err() != nil {
		attempt.cancel() // synchronously: AfterFunc may run only after the first byte is sent
	}
	attempts.countSend(attempt)
	attempts.inFlight = append(attempts.inFlight, attempt)
	go func() {
		attempt.send()
		attempts.finished <- attempt
	}()
}

// awaitNext waits for the next result and handles it. After the timeout it returns an error
// and allows another attempt; 0 means no timeout.
func (attempts *attemptSet) awaitNext(timeout time.Duration) (retry bool, err error) {
	var expired <-chan time.Time
	if timeout > 0 {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case ended := <-attempts.finished:
		attempts.inFlight = slices.DeleteFunc(attempts.inFlight, func(other *attempt) bool { return other == ended })
		return attempts.handleResult(ended)
	case <-expired:
		attempts.exchange.mayHaveRun = true
		return true, apierror.New(apierror.Unknown, "the runner did not respond in time", "retry with a longer deadline; whether the request ran is not known")
	}
}

// countSend counts an attempt towards the route's attempt limit, at most once.
func (attempts *attemptSet) countSend(attempt *attempt) {
	if attempt.countedAsSent {
		return
	}
	attempt.countedAsSent = true
	attempts.exchange.sendCount++
	attempts.exchange.triedRunners = append(attempts.exchange.triedRunners, attempt.lease.Runner.Incarnation)
}

// countFailedSend counts a failed attempt. Attempts that provably sent nothing do not count
// towards the route's attempt limit.
func (attempts *attemptSet) countFailedSend(attempt *attempt, failure *apierror.Error) {
	exchange := attempts.exchange
	switch {
	case !failure.NeverSent:
		attempts.countSend(attempt)
	case attempt.countedAsSent:
		exchange.sendCount--
	case failure.Lost || failure.ConnectionRefused:
		exchange.triedRunners = append(exchange.triedRunners, attempt.lease.Runner.Incarnation)
	}
}

// handleResult relays an attempt's response to the client and releases its lease. On an
// error, retry reports whether another runner may be tried.
func (attempts *attemptSet) handleResult(attempt *attempt) (retry bool, err error) {
	exchange := attempts.exchange
	defer attempt.cancel()
	exchange.timer.end(StageHead)
	exchange.lastLease = attempt.lease
	exchange.current, exchange.route = attempt.current, attempt.route
	if attempt.err != nil {
		if attempt.isInProgress() {
			attempt.lease.Release(balancer.NotSent, attempt.response.Load)
			return false, operationInProgressError()
		}
		failure := apierror.Of(attempt.err)
		attempts.countFailedSend(attempt, failure)
		attempt.lease.Release(outcomeOf(attempts.context, failure), nil)
		return exchange.mayRetry(failure), exchange.errorForClient(failure)
	}
	attempts.countSend(attempt)
	outcome, err := attempts.relay(attempt)
	exchange.timer.end(StageStream)
	_ = attempt.response.Close() // an error only means that the connection is not reused
	if err != nil && attempts.context.Err() != nil {
		outcome = balancer.Cancelled
	}
	attempt.lease.Release(outcome, attempt.response.Load)
	attempts.answered = err == nil
	return err != nil && exchange.idempotent() && !errors.Is(err, errNoRetry), err
}

// close abandons the attempts in flight. If the client has its response, they continue until
// they are answered or the deadline passes; otherwise they are cancelled. A background task
// releases their leases.
func (attempts *attemptSet) close() {
	attempts.closed.Store(true)
	if len(attempts.inFlight) == 0 {
		return
	}
	for _, attempt := range attempts.inFlight {
		if !attempts.answered || !attempt.detach() {
			attempt.cancel()
		}
	}
	remaining := len(attempts.inFlight)
	attempts.forwarder.discardedAttempts.Go(func() {
		for range remaining {
			(<-attempts.finished).discard()
		}
	})
}
