package balancer

import (
	"math"
	"slices"
	"time"
)

// selectRunner takes the runner with the least expected time. Without one that may be taken
// now it tells in how long there may be one.
func (balancer *Balancer) selectRunner(pool *servicePool, request *Request, now time.Duration) (*Lease, time.Duration) {
	balancer.markCached(pool, request, now)
	model := balancer.newCostModel(pool, request, now)
	listFreshUntil := balancer.listFreshUntil()
	var best, recovering *candidate
	bestCost, recoveringCost, delay := math.Inf(1), math.Inf(1), time.Duration(math.MaxInt64)
	for at := range pool.candidates {
		one := &pool.candidates[at]
		if one.state.misdirected || slices.Contains(request.Excluded, one.runner.Life) || slices.Contains(request.Excluded, one.runner.Address) {
			continue
		}
		slowStartDelay, ejectionDelay := one.state.slowStart.delay(listFreshUntil, now), one.state.health.delay(now)
		cost := model.cost(one)
		if model.full(one) {
			room := time.Duration(model.duration / float64(one.slots) * float64(time.Millisecond))
			delay = min(delay, max(slowStartDelay, ejectionDelay, room))
			continue
		}
		switch {
		case slowStartDelay > 0:
			delay = min(delay, max(slowStartDelay, ejectionDelay))
		case ejectionDelay > 0:
			delay = min(delay, ejectionDelay)
			if one.state.health.fullUntil <= now && cost+milliseconds(ejectionDelay) < recoveringCost {
				recovering, recoveringCost = one, cost+milliseconds(ejectionDelay)
			}
		case cost < bestCost:
			best, bestCost = one, cost
		}
	}
	if best == nil && recovering != nil {
		// All are avoided: one that may be well again is better than none.
		best = recovering
	}
	if best == nil {
		return nil, delay
	}
	return balancer.newLease(pool, best, request, now), 0
}
