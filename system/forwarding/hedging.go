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
	// hedgeDelayShare is the share of the time left that a runner may send nothing before
	// an idempotent request is sent to another one as well.
	hedgeDelayShare = 0.45
	// minHedgeDelay is the shortest such delay.
	minHedgeDelay = 250 * time.Millisecond
)

// hedgeDelay returns how long a runner may leave the request unanswered before another one
// gets it as well. 0 means that it is not hedged: the route forbids it, or allows only one
// attempt more.
func (exchange *exchange) hedgeDelay() time.Duration {
	if exchange.route.Kind != config.Repeatable || exchange.sendCount+1 >= exchange.route.MaxAttempts {
		return 0
	}
	return max(minHedgeDelay, time.Duration(hedgeDelayShare*float64(time.Until(exchange.deadline))))
}

// attemptSet is the attempts of one request. Only a request of an idempotent route has
// more than one in flight: a silent runner may be at work, so its attempt is not cancelled
// when the next one is made. The caller gets the first response; the others are discarded.
type attemptSet struct {
	context   context.Context // the caller's, with the deadline
	forwarder *Forwarder
	exchange  *exchange
	// finished receives the attempts that ran in goroutines of their own. Each of inFlight
	// sends itself once; what close leaves, its background task receives.
	finished chan *attempt
	inFlight []*attempt
	closed   atomic.Bool // the caller has its response, or will get none
	answered bool
}

// newAttemptSet makes an empty set; close must be called in the end.
func newAttemptSet(ctx context.Context, forwarder *Forwarder, exchange *exchange) *attemptSet {
	return &attemptSet{context: ctx, forwarder: forwarder, exchange: exchange, finished: make(chan *attempt)}
}

// tryNext makes one more attempt and waits for the response of any; retry says whether
// another runner may be tried after the error.
func (attempts *attemptSet) tryNext() (retry bool, err error) {
	attempt, err := attempts.leaseRunner()
	attempts.exchange.watch.end(StageQueue)
	if err != nil {
		return false, attempts.exchange.callerError(err)
	}
	timeout := attempts.exchange.hedgeDelay()
	if timeout == 0 && len(attempts.inFlight) == 0 {
		attempt.send()
		return attempts.handleResult(attempt)
	}
	attempts.launch(attempt)
	return attempts.awaitNext(timeout)
}

// awaitInFlight waits for the attempts in flight until one is answered or all have failed.
// It returns the last error; err is why there is no response so far.
func (attempts *attemptSet) awaitInFlight(err error) error {
	for err != nil && len(attempts.inFlight) > 0 && !attempts.exchange.stream.started && !errors.Is(err, errNoRetry) {
		_, err = attempts.awaitNext(0)
	}
	return err
}

// leaseRunner leases a runner that was not tried yet.
func (attempts *attemptSet) leaseRunner() (*attempt, error) {
	exchange := attempts.exchange
	lease, err := attempts.forwarder.settings.Balancer.Acquire(attempts.context, balancer.Request{
		Route: exchange.route, PromptParts: exchange.PromptParts, Program: exchange.Program, Session: exchange.Session, AffinityKey: exchange.Subject,
		InputTokens: exchange.InputTokens, MaxOutputTokens: exchange.MaxOutputTokens, Deadline: exchange.deadline, FinishBy: exchange.FinishBy, Excluded: exchange.triedRunners,
		CachedAt: exchange.cachedAt(),
	})
	if err != nil {
		return nil, err
	}
	return &attempt{
		attempts: attempts, lease: lease, active: exchange.active, route: exchange.route, lastEventID: exchange.stream.lastEventID,
		context: attempts.context, cancel: func() {},
	}, nil
}

// cachedAt returns where the conversation of a recorded turn is cached, as its session knows.
func (exchange *exchange) cachedAt() balancer.CacheLocation {
	if exchange.turn == nil {
		return balancer.CacheLocation{}
	}
	return balancer.CacheLocation{Runner: exchange.turn.Runner, Tokens: int(exchange.turn.CachedTokens)}
}

// launch sends an attempt in a goroutine of its own, under the forwarder's context, so
// that it can outlive the caller. It counts as sent from here on, so that the attempts in
// flight stay within the route's maximum.
func (attempts *attemptSet) launch(attempt *attempt) {
	attempt.context, attempt.cancel = context.WithDeadline(attempts.forwarder.context, attempts.exchange.deadline)
	attempt.detach = context.AfterFunc(attempts.context, attempt.cancel)
	if attempts.context.Err() != nil {
		attempt.cancel() // at once: what AfterFunc starts may come after the first byte
	}
	attempts.countSend(attempt)
	attempts.inFlight = append(attempts.inFlight, attempt)
	go func() {
		attempt.send()
		attempts.finished <- attempt
	}()
}

// awaitNext takes the next result. After the timeout, unless that is 0, the caller may
// make another attempt.
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
		return true, apierror.New(apierror.Unknown, "the runner has not answered yet", "ask with more time; whether the query ran is not known")
	}
}

// countSend counts an attempt against the route's maximum, once.
func (attempts *attemptSet) countSend(attempt *attempt) {
	if attempt.countedAsSent {
		return
	}
	attempt.countedAsSent = true
	attempts.exchange.sendCount++
	attempts.exchange.triedRunners = append(attempts.exchange.triedRunners, attempt.lease.Runner.Life)
}

// countFailedSend counts a failed attempt: one whose runner provably got nothing does not
// count against the route's maximum.
func (attempts *attemptSet) countFailedSend(attempt *attempt, failure *apierror.Error) {
	exchange := attempts.exchange
	switch {
	case !failure.NeverSent:
		attempts.countSend(attempt)
	case attempt.countedAsSent:
		exchange.sendCount--
	case failure.Lost || failure.ConnectionRefused:
		exchange.triedRunners = append(exchange.triedRunners, attempt.lease.Runner.Life)
	}
}

// handleResult relays an attempt's response to the caller and releases its lease. On an
// error, retry says whether another runner may be tried.
func (attempts *attemptSet) handleResult(attempt *attempt) (retry bool, err error) {
	exchange := attempts.exchange
	defer attempt.cancel()
	exchange.watch.end(StageHead)
	exchange.lastLease = attempt.lease
	exchange.active, exchange.route = attempt.active, attempt.route
	if attempt.err != nil {
		failure := apierror.Of(attempt.err)
		attempts.countFailedSend(attempt, failure)
		attempt.lease.Release(outcomeOf(attempts.context, failure), nil)
		return exchange.mayRetry(failure), exchange.callerError(failure)
	}
	attempts.countSend(attempt)
	outcome, err := attempts.relay(attempt)
	exchange.watch.end(StageStream)
	_ = attempt.response.Close() // its error only says that the connection is not reused
	if err != nil && attempts.context.Err() != nil {
		outcome = balancer.Cancelled
	}
	attempt.lease.Release(outcome, attempt.response.Load)
	attempts.answered = err == nil
	return err != nil && exchange.idempotent() && !errors.Is(err, errNoRetry), err
}

// close gives up the attempts in flight. If the caller has its response they go on until
// theirs or the deadline, else they are cancelled. A background task releases their leases.
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
	left := len(attempts.inFlight)
	attempts.forwarder.discardedAttempts.Go(func() {
		for range left {
			(<-attempts.finished).discard()
		}
	})
}
