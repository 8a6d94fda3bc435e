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
	// hedgeDelayShare is the part of the time left that a runner may say nothing before a
	// query that may run again is sent to another one as well.
	hedgeDelayShare = 0.45
	// minHedgeDelay is how long it may say nothing in any case.
	minHedgeDelay = 250 * time.Millisecond
)

// hedgeDelay gives how long a runner may leave a query unanswered before another one is asked
// as well, if it may run there and there is a try left; else it is 0.
func (exchange *exchange) hedgeDelay() time.Duration {
	if exchange.route.Kind != config.Repeatable || exchange.sendCount+1 >= exchange.route.MaxAttempts {
		return 0
	}
	return max(minHedgeDelay, time.Duration(hedgeDelayShare*float64(time.Until(exchange.deadline))))
}

// race is the attempts of one query. Only a query of a repeatable route has more than one
// under way: a silent runner may be at work, so it is not broken off when the next one is
// asked. The caller gets the first answer; what comes of the other attempts is discarded.
type attemptSet struct {
	context   context.Context // the caller's, with the deadline
	forwarder *Forwarder
	exchange  *exchange
	finished  chan *attempt // of those that run beside the caller
	inFlight  []*attempt
	closed    atomic.Bool // the caller has its answer, or will get none
	answered  bool
}

func newAttemptSet(ctx context.Context, forwarder *Forwarder, exchange *exchange) *attemptSet {
	return &attemptSet{context: ctx, forwarder: forwarder, exchange: exchange, finished: make(chan *attempt)}
}

// tryNext asks one more runner and waits for an answer from any. It tells whether another
// runner may be tried.
func (attempts *attemptSet) tryNext() (retry bool, err error) {
	attempt, err := attempts.leaseRunner()
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

// awaitInFlight waits for the attempts that are still under way, until one answers or all have
// failed; failed is why there is no answer so far.
func (attempts *attemptSet) awaitInFlight(failed error) error {
	for failed != nil && len(attempts.inFlight) > 0 && !attempts.exchange.stream.started && !errors.Is(failed, errNoRetry) {
		_, failed = attempts.awaitNext(0)
	}
	return failed
}

// leaseRunner leases a runner that has not been tried.
func (attempts *attemptSet) leaseRunner() (*attempt, error) {
	exchange := attempts.exchange
	lease, err := attempts.forwarder.settings.Balancer.Acquire(attempts.context, balancer.Request{
		Route: exchange.route, PromptParts: exchange.PromptParts, Program: exchange.Program, Session: exchange.Session, AffinityKey: exchange.Subject,
		InputTokens: exchange.InputTokens, MaxOutputTokens: exchange.MaxOutputTokens, Deadline: exchange.deadline, FinishBy: exchange.FinishBy, Excluded: exchange.triedRunners,
	})
	if err != nil {
		return nil, err
	}
	return &attempt{
		attempts: attempts, lease: lease, active: exchange.active, route: exchange.route, lastEventID: exchange.stream.lastEventID,
		context: attempts.context, cancel: func() {},
	}, nil
}

// launch sends an attempt beside the caller. It counts as sent from here on, so that all
// that are under way stay within the route's tries.
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

// awaitNext takes the next result. After a timeout, unless that is 0, the caller may start
// another attempt.
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

// countSend notes that a runner was sent the query.
func (attempts *attemptSet) countSend(attempt *attempt) {
	if attempt.countedAsSent {
		return
	}
	attempt.countedAsSent = true
	attempts.exchange.sendCount++
	attempts.exchange.triedRunners = append(attempts.exchange.triedRunners, attempt.lease.Runner.Life)
}

// handleResult passes an attempt's answer on, or tells why there is none, and whether another
// runner may be tried.
func (attempts *attemptSet) handleResult(attempt *attempt) (retry bool, err error) {
	exchange := attempts.exchange
	defer attempt.cancel()
	exchange.active, exchange.route = attempt.active, attempt.route
	if attempt.err != nil {
		failure := apierror.Of(attempt.err)
		attempts.countFailedSend(attempt, failure)
		attempt.lease.Release(outcomeOf(attempts.context, failure), nil)
		return exchange.mayRetry(failure), exchange.callerError(failure)
	}
	attempts.countSend(attempt)
	outcome, err := attempts.relay(attempt)
	attempt.response.Close()
	if err != nil && attempts.context.Err() != nil {
		outcome = balancer.Cancelled
	}
	attempt.lease.Release(outcome, attempt.response.Load)
	attempts.answered = err == nil
	return err != nil && exchange.repeatable() && !errors.Is(err, errNoRetry), err
}

// countFailedSend notes what a failed attempt leaves: a runner that provably got nothing does
// not count as one that the query was sent to.
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

// relay passes a response on to the caller.
func (attempts *attemptSet) relay(attempt *attempt) (balancer.Outcome, error) {
	if attempts.exchange.isEventStream(attempt.response) {
		first := func() { attempt.lease.FirstEvent(time.Since(attempt.startedAt)) }
		return attempts.forwarder.relayStream(attempts.context, attempts.exchange, attempt.response, tokensPerEvent(attempt.lease.Service), first)
	}
	return attempts.forwarder.relayBuffered(attempts.context, attempts, attempt)
}

// close lets go of the attempts that are still under way. If the caller has its answer they
// go on until theirs, or the deadline; else they are broken off.
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
	attempts.forwarder.discardedAttempts.start(func() {
		for range left {
			(<-attempts.finished).discard()
		}
	})
}
