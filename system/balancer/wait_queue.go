package balancer

import (
	"context"
	"slices"
	"time"
)

const (
	maxWaiters = 256
	// A query is held at most for this part of its target and of the time it has left.
	queueTimeoutDivisor = 5
	defaultQueueTimeout = 50 * time.Millisecond
	retryAfter          = 200 * time.Millisecond
	maxRetryAfter       = 500 * time.Millisecond
	minRecheckInterval  = 5 * time.Millisecond
)

// waiter waits for room at the runners of a service.
type waiter struct {
	service string
	request Request
	granted chan *Lease
	delay   time.Duration // in how long there may be room without another query's end
}

// queueTimeout is how long a query may be held before it is offered to a runner.
func queueTimeout(request Request, now time.Time) time.Duration {
	timeout := defaultQueueTimeout
	if request.Route.FirstByteTarget > 0 {
		timeout = time.Duration(request.Route.FirstByteTarget) / queueTimeoutDivisor
	}
	if !request.Deadline.IsZero() {
		timeout = min(timeout, request.Deadline.Sub(now)/queueTimeoutDivisor)
	}
	return timeout
}

// precedes tells whether a query gets room before another: by urgency, then by the time
// left to finish.
func precedes(one, other *Request) bool {
	if one.Route.Urgency != other.Route.Urgency {
		return one.Route.Urgency < other.Route.Urgency
	}
	return finishTime(one).Before(finishTime(other))
}

func finishTime(request *Request) time.Time {
	if request.FinishBy.IsZero() {
		return request.Deadline
	}
	return request.FinishBy
}

// hasEarlierWaiter tells whether one waits who gets room for the service first.
func (balancer *Balancer) hasEarlierWaiter(pool *servicePool, request Request) bool {
	return slices.ContainsFunc(balancer.queue, func(one *waiter) bool {
		return one.service == pool.service.Name && !precedes(&request, &one.request)
	})
}

func (balancer *Balancer) enqueue(pool *servicePool, request Request, delay time.Duration) *waiter {
	one := &waiter{service: pool.service.Name, request: request, delay: delay, granted: make(chan *Lease, 1)}
	at := slices.IndexFunc(balancer.queue, func(other *waiter) bool { return precedes(&request, &other.request) })
	if at < 0 {
		at = len(balancer.queue)
	}
	balancer.queue = slices.Insert(balancer.queue, at, one)
	return one
}

// serveQueue gives room to those who wait, in their order; a service without room
// for one has none for those after it.
func (balancer *Balancer) serveQueue(now time.Duration) {
	if len(balancer.queue) == 0 {
		return
	}
	current, full := balancer.topology.Load(), map[string]bool{}
	balancer.queue = slices.DeleteFunc(balancer.queue, func(one *waiter) bool {
		pool := current.services[one.service]
		if pool == nil || full[one.service] {
			return false
		}
		lease, delay := balancer.selectRunner(pool, &one.request, now)
		if lease == nil {
			one.delay = delay
			full[one.service] = len(one.request.Excluded) == 0
			return false
		}
		one.granted <- lease
		return true
	})
}

// await waits for room until it is too late to be of use.
func (balancer *Balancer) await(ctx context.Context, one *waiter, timeout, delay time.Duration) (*Lease, error) {
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	recheck := time.NewTimer(max(delay, minRecheckInterval))
	defer recheck.Stop()
	for {
		select {
		case lease := <-one.granted:
			return lease, nil
		case <-recheck.C:
			balancer.mutex.Lock()
			balancer.serveQueue(balancer.elapsed())
			delay = one.delay
			balancer.mutex.Unlock()
			recheck.Reset(max(delay, minRecheckInterval))
			continue
		case <-expired.C:
		case <-ctx.Done():
		}
		break
	}
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	select {
	case lease := <-one.granted:
		return lease, nil
	default:
	}
	balancer.queue = slices.DeleteFunc(balancer.queue, func(other *waiter) bool { return one == other })
	balancer.returnPick(one.request.Route, one.service)
	return nil, rejection("all runners of "+one.service+" are busy", retryAfter)
}
