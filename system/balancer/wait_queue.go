package balancer

import (
	"context"
	"slices"
	"time"
)

const (
	// maxWaiters is how many requests may wait at one front.
	maxWaiters = 256
	// A request may wait for the shorter of its route's first-byte target and the time until
	// its deadline, divided by queueTimeoutDivisor. defaultQueueTimeout replaces the former
	// quotient if the route has no target.
	queueTimeoutDivisor = 5
	defaultQueueTimeout = 50 * time.Millisecond
	// timeoutRetryAfter is the retry delay of requests that leave the queue without a lease,
	// maxRetryAfter the longest one of requests that are rejected without waiting.
	timeoutRetryAfter = 200 * time.Millisecond
	maxRetryAfter     = 500 * time.Millisecond
	// minRecheckInterval is the shortest time between two checks for a runner that became
	// free without a Release.
	minRecheckInterval = 5 * time.Millisecond
)

// waiter is a request that waits for a runner of a service.
type waiter struct {
	service string
	request Request
	granted chan *Lease   // buffered for one lease, so that granting never blocks
	delay   time.Duration // until a runner may be free without a Release
}

// queueTimeout returns how long a request may wait in the queue.
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

// urgency returns the urgency of a request; 0 is served first.
func (request *Request) urgency() int {
	if request.Urgency != nil {
		return *request.Urgency
	}
	return request.Route.Urgency
}

// precedes reports whether the left request is served before the right one: by urgency,
// lowest value first, then by finish time.
func precedes(left, right *Request) bool {
	if leftUrgency, rightUrgency := left.urgency(), right.urgency(); leftUrgency != rightUrgency {
		return leftUrgency < rightUrgency
	}
	return finishTime(left).Before(finishTime(right))
}

// finishTime returns when the request's program should be finished, or else its deadline.
func finishTime(request *Request) time.Time {
	if request.FinishBy.IsZero() {
		return request.Deadline
	}
	return request.FinishBy
}

// hasEarlierWaiter reports whether a waiting request for the same service is served before
// this one.
func (balancer *Balancer) hasEarlierWaiter(pool *servicePool, request Request) bool {
	return slices.ContainsFunc(balancer.queue, func(other *waiter) bool {
		return other.service == pool.service.Name && !precedes(&request, &other.request)
	})
}

// enqueue inserts a request into the queue, before the first one that it precedes.
func (balancer *Balancer) enqueue(pool *servicePool, request Request, delay time.Duration) *waiter {
	waiting := &waiter{service: pool.service.Name, request: request, delay: delay, granted: make(chan *Lease, 1)}
	index := slices.IndexFunc(balancer.queue, func(other *waiter) bool { return precedes(&request, &other.request) })
	if index < 0 {
		index = len(balancer.queue)
	}
	balancer.queue = slices.Insert(balancer.queue, index, waiting)
	return waiting
}

// serveQueue grants leases to waiting requests in queue order. If a service has no runner
// for a request without excluded runners, the later requests for it are skipped.
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

// await waits until a lease is granted, the timeout passes or ctx ends. A runner may also
// become free without a Release, for example when its ejection ends, so the queue is
// checked again after the expected delay.
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
// is returned, because otherwise it would never be released.
func (balancer *Balancer) leaveQueue(waiting *waiter) (*Lease, error) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	select {
	case lease := <-waiting.granted:
		return lease, nil
	default:
	}
	balancer.queue = slices.DeleteFunc(balancer.queue, func(other *waiter) bool { return other == waiting })
	balancer.returnPick(&waiting.request, waiting.service)
	return nil, rejection("all runners of "+waiting.service+" are busy", timeoutRetryAfter)
}
