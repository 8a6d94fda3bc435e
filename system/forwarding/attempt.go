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

const (
	// healthCheckTimeout bounds the health check of a runner before a request is sent to it.
	healthCheckTimeout = 500 * time.Millisecond
	// maxHealthResponseBytes is how much of the body of a health response is read and dropped.
	maxHealthResponseBytes = 16 << 10
)

// attempt is one attempt to send a request to one runner, from the lease to the response
// head. It may run in its own goroutine, so it only reads those fields of the exchange that
// no longer change, and has copies of the others.
type attempt struct {
	attempts *attemptSet
	lease    *balancer.Lease
	// current and route are the ones that the request is sent under; checkBeforeSend updates
	// them.
	current CurrentConfig
	route   *config.Route
	// tenant and sendBy are those of the exchange when the attempt was made.
	tenant *config.Tenant
	sendBy time.Time
	// operationService is the only service that may get the operation; "" if it is bound to none.
	operationService string
	// lastEventID is the ID of the last event that the client received.
	lastEventID string
	startedAt   time.Time

	context context.Context
	// cancel ends the attempt. detach lets it continue after the end of the request's
	// context, and returns false if that context has already ended.
	cancel context.CancelFunc
	detach func() bool

	// countedAsSent is set once the attempt counts towards the route's attempt limit.
	countedAsSent bool
	// The result is either response or err.
	response *runnerpool.Response
	err      error
}

// send sends the request to the runner and waits for the response head.
func (attempt *attempt) send() {
	exchange := attempt.attempts.exchange
	if attempt.err = attempt.checkHealth(); attempt.err != nil {
		return
	}
	attempt.startedAt = time.Now()
	attempt.response, attempt.err = attempt.attempts.forwarder.settings.Pool.Send(attempt.context, runnerpool.Request{
		Runner: attempt.lease.Runner, MaxConnections: attempt.lease.MaxConnections, Method: exchange.Method, Target: exchange.Target, Host: exchange.Host, Header: exchange.Header,
		Body: exchange.body, ID: exchange.ID, Deadline: exchange.deadline, LastEventID: attempt.lastEventID,
		BeforeSend: attempt.checkBeforeSend, Tenant: nameOf(attempt.tenant), WithholdsKey: attempt.current.Routing.HasTenants(),
	})
	if attempt.err == nil && !attempt.response.Closing {
		attempt.lease.ConfirmServing(attempt.startedAt)
	}
}

// checkHealth checks the runner's health if the lease requires it. An error means that the request
// was not sent.
func (attempt *attempt) checkHealth() error {
	if !attempt.lease.NeedsHealthCheck() {
		return nil
	}
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(attempt.context, healthCheckTimeout)
	defer cancel()
	response, err := attempt.attempts.forwarder.settings.Pool.Send(ctx, runnerpool.Request{
		Runner: attempt.lease.Runner, MaxConnections: attempt.lease.MaxConnections, Method: http.MethodGet, Target: attempt.lease.Service.HealthPath,
		Host: attempt.lease.Runner.Address, Deadline: sentAt.Add(healthCheckTimeout),
	})
	healthy := err == nil && response.Status == http.StatusOK
	if err == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response, maxHealthResponseBytes)) // an error only means that the connection is not reused
		_ = response.Close()
	}
	attempt.lease.EndHealthCheck(sentAt, healthy)
	if healthy {
		return nil
	}
	failed := &apierror.Error{
		Kind: apierror.NotRun, Message: "runner " + attempt.lease.Runner.Address + " may be draining: it failed a health check while the runner list is out of date",
		Remedy: "retry", RetryAfter: shortRetryAfter, NeverSent: true,
	}
	if err != nil {
		cause := apierror.Of(err)
		failed.Cause, failed.Lost, failed.ConnectionRefused, failed.Misdirected = err, cause.Lost, cause.ConnectionRefused, cause.Misdirected
	}
	return failed
}

// checkBeforeSend is called on a ready connection just before the first byte is sent; an
// error prevents that. The dial may have been slow or this process suspended since the
// runner was leased, so the configuration and the lease are checked again.
func (attempt *attempt) checkBeforeSend() error {
	settings := &attempt.attempts.forwarder.settings
	if attempt.attempts.closed.Load() || attempt.attempts.context.Err() != nil {
		return apierror.New(apierror.NotRun, "the request was already answered or cancelled by the client", "none; no response is expected")
	}
	if err := settings.CheckViewFresh(); err != nil {
		return err
	}
	changed := apierror.NewRetryable(apierror.NotRun, "the configuration or runner list changed before the request was sent", "retry", shortRetryAfter)
	if current := settings.CurrentConfig(); current.Routing != attempt.current.Routing && !attempt.adoptConfig(current) {
		return changed
	}
	if !attempt.sendBy.IsZero() && time.Now().After(attempt.sendBy) {
		return apierror.NewRetryable(apierror.NotRun, "the request's token of the rate limit has expired", "retry", shortRetryAfter)
	}
	if !attempt.lease.Valid() || !attempt.lease.Serves(attempt.route) {
		return changed
	}
	return nil
}

// adoptConfig puts the request under a newer configuration. It returns false if the request is of
// another kind or of another tenant there.
func (attempt *attempt) adoptConfig(current CurrentConfig) bool {
	exchange := attempt.attempts.exchange
	route, found := current.Routing.Match(exchange.Host, exchange.Path)
	if !found || route.Kind != attempt.route.Kind || route.StoresHistory != attempt.route.StoresHistory {
		return false
	}
	if tenant, err := tenantOf(current.Routing, route, exchange.TenantKey); err != nil || nameOf(tenant) != nameOf(attempt.tenant) {
		return false
	}
	if attempt.operationService != "" && !current.Routing.DeduplicatesAt(route, attempt.operationService) {
		return false
	}
	attempt.current, attempt.route = current, route
	return true
}

// discard ends an attempt whose response is not needed. The response is drained, up to a
// limit, because aborting it would waste the runner's work and the connection.
func (attempt *attempt) discard() {
	defer attempt.cancel()
	if attempt.err != nil {
		attempt.lease.Release(outcomeOf(attempt.context, apierror.Of(attempt.err)), nil)
		return
	}
	_, err := io.Copy(io.Discard, io.LimitReader(attempt.response, maxBufferedResponseBytes))
	_ = attempt.response.Close() // an error only means that the connection is not reused
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

// outcomeOf classifies a failed attempt for the balancer. The order matters: a connection
// that could not be opened is both Lost and NeverSent but counts against the runner, and so
// does one that was interrupted, even if ctx has ended in the meantime.
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
