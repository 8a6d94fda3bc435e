package balancer

import (
	"context"
	"slices"
	"time"
)

const (
	// maxWaiters is how many requests may wait at a front.
	maxWaiters = 256
	// A request may wait for its route's first-byte target, or the time until its deadline
	// if that is shorter, divided by queueTimeoutDivisor; defaultQueueTimeout stands for
	// the former if the route has no target.
	queueTimeoutDivisor = 5
	defaultQueueTimeout = 50 * time.Millisecond
	// timeoutRetryAfter is the retry delay given to requests that waited in vain, maxRetryAfter
	// the longest given to those that did not wait.
	timeoutRetryAfter = 200 * time.Millisecond
	maxRetryAfter     = 500 * time.Millisecond
	// minRecheckInterval is the shortest time between two checks of a waiting request for
	// a runner that becomes free by itself.
	minRecheckInterval = 5 * time.Millisecond
)

// waiter is a request that waits for a runner of a service.
type waiter struct {
	service string
	request Request
	granted chan *Lease   // has room for the one lease, so that granting never blocks
	delay   time.Duration // until a runner may be free without another request's end
}

// queueTimeout returns for how long a request may wait.
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

// precedes reports whether a request is served before another one: the more urgent
// first, then the one that must be finished earlier.
func precedes(left, right *Request) bool {
	if left.Route.Urgency != right.Route.Urgency {
		return left.Route.Urgency < right.Route.Urgency
	}
	return finishTime(left).Before(finishTime(right))
}

// finishTime returns when a request's program, or else the request, must be finished.
func finishTime(request *Request) time.Time {
	if request.FinishBy.IsZero() {
		return request.Deadline
	}
	return request.FinishBy
}

// hasEarlierWaiter reports whether a request of the same service waits that is served
// before this one.
func (balancer *Balancer) hasEarlierWaiter(pool *servicePool, request Request) bool {
	return slices.ContainsFunc(balancer.queue, func(other *waiter) bool {
		return other.service == pool.service.Name && !precedes(&request, &other.request)
	})
}

// enqueue inserts a request into the queue, behind all that it does not precede.
func (balancer *Balancer) enqueue(pool *servicePool, request Request, delay time.Duration) *waiter {
	waiting := &waiter{service: pool.service.Name, request: request, delay: delay, granted: make(chan *Lease, 1)}
	index := slices.IndexFunc(balancer.queue, func(other *waiter) bool { return precedes(&request, &other.request) })
	if index < 0 {
		index = len(balancer.queue)
	}
	balancer.queue = slices.Insert(balancer.queue, index, waiting)
	return waiting
}

// serveQueue grants leases to waiting requests in their order. If a service has no
// runner for one, it is taken to have none for those behind it, unless the one has
// excluded runners.
func (balancer *Balancer) serveQueue(now time.Duration) {
	if len(balancer.queue) == 0 {
		return
	}
	current, exhausted := balancer.topology.Load(), map[string]bool{}
	balancer.queue = slices.DeleteFunc(balancer.queue, func(waiting *waiter) bool {
		pool := current.services[waiting.service]
		if pool == nil || exhausted[waiting.service] {
			return false
		}
		lease, delay := balancer.selectRunner(pool, &waiting.request, now)
		if lease == nil {
			waiting.delay = delay
			exhausted[waiting.service] = len(waiting.request.Excluded) == 0
			return false
		}
		waiting.granted <- lease
		return true
	})
}

// await waits until a lease is granted, the timeout passes or ctx ends. Runners become
// free without a Release too, when an ejection or a slow start ends, so that the queue
// is also checked after the expected delay.
func (balancer *Balancer) await(ctx context.Context, waiting *waiter, timeout, delay time.Duration) (*Lease, error) {
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	recheck := time.NewTimer(max(delay, minRecheckInterval))
	defer recheck.Stop()
	for {
		select {
		case lease := <-waiting.granted:
			return lease, nil
		case <-recheck.C:
			balancer.mutex.Lock()
			balancer.serveQueue(balancer.elapsed())
			delay = waiting.delay
			balancer.mutex.Unlock()
			recheck.Reset(max(delay, minRecheckInterval))
			continue
		case <-expired.C:
		case <-ctx.Done():
		}
		return balancer.leaveQueue(waiting)
	}
}

// leaveQueue removes a request from the queue. A lease that was granted in the meantime
// is returned: nobody else would release it.
func (balancer *Balancer) leaveQueue(waiting *waiter) (*Lease, error) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	select {
	case lease := <-waiting.granted:
		return lease, nil
	default:
	}
	balancer.queue = slices.DeleteFunc(balancer.queue, func(other *waiter) bool { return other == waiting })
	balancer.returnPick(waiting.request.Route, waiting.service)
	return nil, rejection("all runners of "+waiting.service+" are busy", timeoutRetryAfter)
}
