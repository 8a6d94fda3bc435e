package forwarding

import (
	"context"
	"io"
	"net/http"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/balancer"
	"yardrock.example/system/config"
	"yardrock.example/system/runnerpool"
)

// attempt is one sending of a request to one runner, from the lease to the head of the
// response. While it runs it may be in a goroutine of its own, so it reads of the exchange
// only what does not change, and has copies of the rest.
type attempt struct {
	attempts *attemptSet
	lease    *balancer.Lease
	// active and route are those under which the request is sent; checkBeforeSend renews
	// them.
	active ActiveConfig
	route  *config.Route
	// lastEventID is the id of the last event that the caller has.
	lastEventID string
	startedAt   time.Time

	context context.Context
	// cancel ends the attempt; detach lets it go on when the caller's context ends, and
	// reports false if that has ended already.
	cancel context.CancelFunc
	detach func() bool

	// countedAsSent is set once the attempt counts against the route's maximum.
	countedAsSent bool
	// response or err is the result.
	response *runnerpool.Response
	err      error
}

// send sends the request to the runner and waits for the head of its response.
func (attempt *attempt) send() {
	exchange := attempt.attempts.exchange
	attempt.startedAt = time.Now()
	attempt.response, attempt.err = attempt.attempts.forwarder.settings.Pool.Send(attempt.context, runnerpool.Request{
		Runner: attempt.lease.Runner, MaxConnections: attempt.lease.MaxConnections, Method: exchange.Method, Target: exchange.Target, Host: exchange.Host, Header: exchange.Header,
		Body: exchange.body, ID: exchange.Name, Deadline: exchange.deadline, LastEventID: attempt.lastEventID,
		BeforeSend: attempt.checkBeforeSend,
	})
}

// checkBeforeSend is called when a connection is ready and the first byte is about to
// leave; an error keeps it back. The dial may have been slow or this process frozen since
// the runner was leased, so the configuration and the lease are checked again.
func (attempt *attempt) checkBeforeSend() error {
	settings, exchange := &attempt.attempts.forwarder.settings, attempt.attempts.exchange
	if attempt.attempts.closed.Load() || attempt.attempts.context.Err() != nil {
		return apierror.New(apierror.NotRun, "the caller has its answer, or has left", "none: nobody waits for an answer")
	}
	if err := settings.CheckViewFresh(); err != nil {
		return err
	}
	changed := apierror.NewRetryable(apierror.NotRun, "what is in force changed before anything was sent", "ask again", shortRetryAfter)
	active := settings.ActiveConfig()
	if active.Routing != attempt.active.Routing {
		route, found := active.Routing.Match(exchange.Host, exchange.Path)
		if !found || route.Kind != attempt.route.Kind || route.StoresHistory != attempt.route.StoresHistory {
			return changed
		}
		attempt.active, attempt.route = active, route
	}
	if !attempt.lease.Valid() || !attempt.lease.Serves(attempt.route) {
		return changed
	}
	return nil
}

// discard ends an attempt whose response nobody needs. The response is read to its end:
// aborting it would waste the runner's work and the connection.
func (attempt *attempt) discard() {
	defer attempt.cancel()
	if attempt.err != nil {
		attempt.lease.Release(outcomeOf(attempt.context, apierror.Of(attempt.err)), nil)
		return
	}
	_, err := io.Copy(io.Discard, io.LimitReader(attempt.response, maxBufferedResponseBytes))
	_ = attempt.response.Close() // its error only says that the connection is not reused
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

// outcomeOf says what a failed attempt shows of its runner, for the balancer. The order
// matters: a connection that could not be opened is both Lost and NeverSent, but speaks
// against the runner; one that broke off speaks against it even if ctx has ended since.
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
