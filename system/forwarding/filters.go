package forwarding

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
)

// filter processes one step of a request. done or an error ends the chain; done means that
// the request has been answered.
type filter func(ctx context.Context, forwarder *Forwarder, exchange *exchange) (done bool, err error)

// filters is the chain that every request passes through. The buffer limit comes first
// because it protects the other filters. The turn or operation is recorded just before dispatch,
// so that requests rejected by an earlier filter leave no record.
var filters = []filter{limitBufferedBytes, awaitFreshView, findRoute, authenticate, setDeadline, limitRate, beginTurn, beginOperation, dispatch}

// viewWaitFraction is the fraction of its remaining time that a request may wait for a
// fresh view.
const viewWaitFraction = 0.35

// limitBufferedBytes rejects the request if its body exceeds the front's buffer limit.
func limitBufferedBytes(_ context.Context, forwarder *Forwarder, exchange *exchange) (bool, error) {
	return false, forwarder.reserveBuffer(exchange, int64(len(exchange.Body)))
}

// awaitFreshView waits for a fresh view if necessary and takes the current configuration.
func awaitFreshView(ctx context.Context, forwarder *Forwarder, exchange *exchange) (bool, error) {
	if err := forwarder.settings.CheckViewFresh(); err != nil {
		if deadline := forwarder.viewWaitDeadline(exchange); !deadline.IsZero() {
			waitCtx, cancel := context.WithTimeout(ctx, time.Duration(viewWaitFraction*float64(time.Until(deadline))))
			defer cancel()
			ctx = waitCtx
		}
		if err := forwarder.settings.AwaitViewFresh(ctx); err != nil {
			exchange.timer.end(StageView)
			return false, err
		}
	}
	exchange.timer.end(StageView)
	exchange.current = forwarder.settings.CurrentConfig()
	if exchange.current.Routing == nil {
		return false, apierror.NewRetryable(apierror.NotRun, "no routes are configured yet", "retry later; operators: apply a configuration with routes", time.Second)
	}
	return false, nil
}

// viewWaitDeadline estimates the request's deadline before the view is fresh: the earlier
// of the client's deadline and the timeout of the matching route, which may be outdated.
// Zero means that there is no limit.
func (forwarder *Forwarder) viewWaitDeadline(exchange *exchange) time.Time {
	deadline := exchange.Deadline
	route, found := forwarder.settings.CurrentConfig().Routing.Match(exchange.Host, exchange.Path)
	if !found {
		return deadline
	}
	if timeout := exchange.ReceivedAt.Add(time.Duration(route.Timeout)); deadline.IsZero() || timeout.Before(deadline) {
		return timeout
	}
	return deadline
}

// findRoute matches the request's host and path against the current routes.
func findRoute(_ context.Context, _ *Forwarder, exchange *exchange) (bool, error) {
	route, found := exchange.current.Routing.Match(exchange.Host, exchange.Path)
	if !found {
		return false, apierror.New(apierror.NotFound, "no route matches "+exchange.Host+exchange.Path, "use a host and path that a configured route matches")
	}
	exchange.route = route
	return false, nil
}

// setDeadline sets the deadline to the earlier of the client's deadline and the route's
// timeout.
func setDeadline(_ context.Context, _ *Forwarder, exchange *exchange) (bool, error) {
	exchange.deadline = exchange.ReceivedAt.Add(time.Duration(exchange.route.Timeout))
	if !exchange.Deadline.IsZero() && exchange.Deadline.Before(exchange.deadline) {
		exchange.deadline = exchange.Deadline
	}
	if !time.Now().Before(exchange.deadline) {
		return false, apierror.NewRetryable(apierror.NotRun, "the deadline of the request has passed", "retry with a longer deadline", time.Second)
	}
	return false, nil
}
