package forwarding

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/balancer"
	"yardrock.example/system/config"
	"yardrock.example/system/runnerpool"
)

// attempt is one try of a query at one runner, from the lease to the head of the answer.
// While it runs it touches nothing of the passage that may change.
type attempt struct {
	attempts *attemptSet
	lease    *balancer.Lease
	// active and route are those under which the query leaves; the last look renews them.
	active      ActiveConfig
	route       *config.Route
	lastEventID string // id of the last event that the caller has
	startedAt   time.Time

	context context.Context
	// cancel ends the attempt; detach lets it go on when the caller's context ends.
	cancel context.CancelFunc
	detach func() bool

	countedAsSent bool // as sent, though it has not ended
	response      *runnerpool.Response
	err           error
}

// send asks the runner and waits for the head of its answer.
func (attempt *attempt) send() {
	exchange := attempt.attempts.exchange
	attempt.startedAt = time.Now()
	attempt.response, attempt.err = attempt.attempts.forwarder.settings.Pool.Send(attempt.context, runnerpool.Request{
		Runner: attempt.lease.Runner, MaxConnections: attempt.lease.MaxConnections, Method: exchange.Method, Target: exchange.Target, Host: exchange.Host, Header: exchange.Header,
		Body: exchange.body, ID: exchange.Name, Deadline: exchange.deadline, LastEventID: attempt.lastEventID,
		BeforeSend: attempt.checkBeforeSend,
	})
}

// checkBeforeSend is the last look before the first byte leaves.
func (attempt *attempt) checkBeforeSend() error {
	settings, exchange := &attempt.attempts.forwarder.settings, attempt.attempts.exchange
	if attempt.attempts.closed.Load() || attempt.attempts.context.Err() != nil {
		return apierror.New(apierror.NotRun, "the caller has its answer, or has left", "none: nobody waits for an answer")
	}
	if err := settings.CheckViewFresh(); err != nil {
		return err
	}
	changed := apierror.NewRetryable(apierror.NotRun, "what is in force changed before anything was sent", "ask again", shortRetryAfter)
	rules := settings.ActiveConfig()
	if rules.Routing != attempt.active.Routing {
		route, found := rules.Routing.Match(exchange.Host, exchange.Path)
		if !found || route.Kind != attempt.route.Kind || route.StoresHistory != attempt.route.StoresHistory {
			return changed
		}
		attempt.active, attempt.route = rules, route
	}
	if !attempt.lease.Valid() || !attempt.lease.Serves(attempt.route) {
		return changed
	}
	return nil
}

// discard ends an attempt whose answer nobody needs: it is read to its end, as breaking
// it off would waste the runner's work and the connection.
func (attempt *attempt) discard() {
	defer attempt.cancel()
	if attempt.err != nil {
		attempt.lease.Release(outcomeOf(attempt.context, apierror.Of(attempt.err)), nil)
		return
	}
	_, err := io.Copy(io.Discard, io.LimitReader(attempt.response, maxBufferedResponseBytes))
	attempt.response.Close()
	outcome := balancer.Answered
	switch {
	case err != nil && attempt.context.Err() != nil:
		outcome = balancer.Cancelled
	case err != nil:
		outcome = balancer.Lost
	case attempt.response.Status >= http.StatusInternalServerError:
		outcome = balancer.Failed
	}
	attempt.lease.Release(outcome, attempt.response.Load)
}

// outcomeOf tells the balancer what a failed attempt shows of its runner.
func outcomeOf(ctx context.Context, failure *apierror.Error) balancer.Outcome {
	switch {
	case failure.Misdirected:
		return balancer.Misdirected
	case failure.Kind == apierror.NotRun && !failure.NeverSent:
		return balancer.Rejected
	case failure.Lost || failure.ConnectionRefused:
		return balancer.Lost
	case failure.NeverSent:
		return balancer.NotSent
	case ctx.Err() != nil:
		return balancer.Cancelled
	}
	return balancer.Failed
}

var errNoRetry = errors.New("the caller left")
