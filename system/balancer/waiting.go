package balancer

import (
	"context"
	"slices"
	"time"
)

const (
	waitersMost = 256
	// A query is held at most for this part of its target and of the time it has left.
	timeoutPart    = 5
	timeoutUnset   = 50 * time.Millisecond
	retryAfter     = 200 * time.Millisecond
	retryAfterMost = 500 * time.Millisecond
	lookLeast      = 5 * time.Millisecond
)

// waiter waits for room at the runners of a service.
type waiter struct {
	service string
	need    Need
	granted chan *Lease
	opens   time.Duration // in how long there may be room without another query's end
}

// timeoutOf is how long a query may be held before it is offered to a runner.
func timeoutOf(need Need, now time.Time) time.Duration {
	timeout := timeoutUnset
	if need.Route.FirstByteTarget > 0 {
		timeout = time.Duration(need.Route.FirstByteTarget) / timeoutPart
	}
	if !need.Deadline.IsZero() {
		timeout = min(timeout, need.Deadline.Sub(now)/timeoutPart)
	}
	return timeout
}

// before tells whether a query gets room before another: by urgency, then by the time
// left to finish.
func before(one, other *Need) bool {
	if one.Route.Urgency != other.Route.Urgency {
		return one.Route.Urgency < other.Route.Urgency
	}
	return finishOf(one).Before(finishOf(other))
}

func finishOf(need *Need) time.Time {
	if need.Finish.IsZero() {
		return need.Deadline
	}
	return need.Finish
}

// someoneBefore tells whether one waits who gets room for the service first.
func (balancer *Balancer) someoneBefore(from *group, need Need) bool {
	return slices.ContainsFunc(balancer.waiting, func(one *waiter) bool {
		return one.service == from.service.Name && !before(&need, &one.need)
	})
}

func (balancer *Balancer) enqueue(from *group, need Need, opens time.Duration) *waiter {
	one := &waiter{service: from.service.Name, need: need, opens: opens, granted: make(chan *Lease, 1)}
	at := slices.IndexFunc(balancer.waiting, func(other *waiter) bool { return before(&need, &other.need) })
	if at < 0 {
		at = len(balancer.waiting)
	}
	balancer.waiting = slices.Insert(balancer.waiting, at, one)
	return one
}

// serveWaiting gives room to those who wait, in their order; a service without room
// for one has none for those after it.
func (balancer *Balancer) serveWaiting(now time.Duration) {
	if len(balancer.waiting) == 0 {
		return
	}
	current, full := balancer.table.Load(), map[string]bool{}
	balancer.waiting = slices.DeleteFunc(balancer.waiting, func(one *waiter) bool {
		from := current.groups[one.service]
		if from == nil || full[one.service] {
			return false
		}
		lease, opens := balancer.choose(from, &one.need, now)
		if lease == nil {
			one.opens = opens
			full[one.service] = len(one.need.Avoid) == 0
			return false
		}
		one.granted <- lease
		return true
	})
}

// await waits for room until it is too late to be of use.
func (balancer *Balancer) await(ctx context.Context, one *waiter, timeout, opens time.Duration) (*Lease, error) {
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	look := time.NewTimer(max(opens, lookLeast))
	defer look.Stop()
	for {
		select {
		case lease := <-one.granted:
			return lease, nil
		case <-look.C:
			balancer.mutex.Lock()
			balancer.serveWaiting(balancer.clock())
			opens = one.opens
			balancer.mutex.Unlock()
			look.Reset(max(opens, lookLeast))
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
	balancer.waiting = slices.DeleteFunc(balancer.waiting, func(other *waiter) bool { return one == other })
	balancer.unpick(one.need.Route, one.service)
	return nil, refusal("all runners of "+one.service+" are busy", retryAfter)
}
