package forwarding

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
)

// filter looks at a request and may answer it: done ends the chain without an error.
type filter func(ctx context.Context, forwarder *Forwarder, exchange *exchange) (done bool, err error)

// filters is the chain that every request passes. The buffer limit comes first, as it
// protects the others; a turn is recorded last before it is dispatched.
var filters = []filter{limitBufferedBytes, requireFreshView, findRoute, setDeadline, beginTurn, dispatch}

// viewWaitShare is the share of its time that a request may wait for the view to become
// fresh.
const viewWaitShare = 0.35

// limitBufferedBytes rejects the request if its body would exceed the front's buffer limit.
func limitBufferedBytes(_ context.Context, forwarder *Forwarder, exchange *exchange) (bool, error) {
	return false, forwarder.reserveBuffer(exchange, int64(len(exchange.Body)))
}

// requireFreshView takes the configuration in force, and waits for the view to become
// fresh if it is not.
func requireFreshView(ctx context.Context, forwarder *Forwarder, exchange *exchange) (bool, error) {
	if err := forwarder.settings.CheckViewFresh(); err != nil {
		if until := forwarder.viewWaitDeadline(exchange); !until.IsZero() {
			limited, cancel := context.WithTimeout(ctx, time.Duration(viewWaitShare*float64(time.Until(until))))
			defer cancel()
			ctx = limited
		}
		if err := forwarder.settings.AwaitViewFresh(ctx); err != nil {
			exchange.watch.end(StageView)
			return false, err
		}
	}
	exchange.watch.end(StageView)
	exchange.active = forwarder.settings.ActiveConfig()
	if exchange.active.Routing == nil {
		return false, apierror.NewRetryable(apierror.NotRun, "no routes are in force yet", "ask again; operators: put a config with routes", time.Second)
	}
	return false, nil
}

// viewWaitDeadline returns until when a request may be served, as far as that is known
// before the view is fresh: the timeout of a route that may be out of date is the best
// estimate there is. Zero means that there is no limit.
func (forwarder *Forwarder) viewWaitDeadline(exchange *exchange) time.Time {
	until := exchange.Deadline
	route, found := forwarder.settings.ActiveConfig().Routing.Match(exchange.Host, exchange.Path)
	if !found {
		return until
	}
	if timeout := exchange.ReceivedAt.Add(time.Duration(route.Timeout)); until.IsZero() || timeout.Before(until) {
		return timeout
	}
	return until
}

// findRoute matches the request's host and path with the routes in force.
func findRoute(_ context.Context, _ *Forwarder, exchange *exchange) (bool, error) {
	route, found := exchange.active.Routing.Match(exchange.Host, exchange.Path)
	if !found {
		return false, apierror.New(apierror.NotFound, "no route is for "+exchange.Host+exchange.Path, "ask for a host and a path that the config has a route for")
	}
	exchange.route = route
	return false, nil
}

// setDeadline takes the earlier one of the caller's deadline and the route's timeout.
func setDeadline(_ context.Context, _ *Forwarder, exchange *exchange) (bool, error) {
	exchange.deadline = exchange.ReceivedAt.Add(time.Duration(exchange.route.Timeout))
	if !exchange.Deadline.IsZero() && exchange.Deadline.Before(exchange.deadline) {
		exchange.deadline = exchange.Deadline
	}
	if !time.Now().Before(exchange.deadline) {
		return false, apierror.NewRetryable(apierror.NotRun, "the time for this query is over", "ask again with more time", time.Second)
	}
	return false, nil
}
