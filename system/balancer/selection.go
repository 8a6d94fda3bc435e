package balancer

import (
	"math"
	"slices"
	"time"
)

// selectRunner leases the candidate with the lowest cost among those that may get a
// request now. If there is none, it falls back to the ejected candidate with the lowest sum
// of cost and remaining delay, because it may have recovered; full ones and those delayed
// by slow start are left out. The last choice is a candidate that may be draining unnoticed; its
// lease requires a health check (Lease.NeedsHealthCheck). Otherwise it returns no lease and the delay after which a
// candidate may be free, provided that no other request ends before.
func (balancer *Balancer) selectRunner(pool *servicePool, request *Request, now time.Duration) (*Lease, time.Duration) {
	balancer.markCached(pool, request, now)
	model := balancer.newCostModel(pool, request, now)
	listFreshUntil := balancer.listFreshUntil()
	var best, recovering, unconfirmed *candidate
	bestCost, recoveringCost, unconfirmedCost, delay := math.Inf(1), math.Inf(1), math.Inf(1), time.Duration(math.MaxInt64)
	for index := range pool.candidates {
		candidate := &pool.candidates[index]
		if candidate.state.misdirected || slices.Contains(request.Excluded, candidate.runner.Incarnation) || slices.Contains(request.Excluded, candidate.runner.Address) {
			continue
		}
		slowStartDelay, ejectionDelay := candidate.state.slowStart.delay(listFreshUntil, now), candidate.state.health.delay(now)
		// The cost of plain work draws a random number. It is computed even if it is not used,
		// so that the random sequence does not depend on which candidates are full or delayed.
		cost := model.cost(candidate)
		if model.full(candidate) {
			slotDelay := time.Duration(model.duration / float64(candidate.slots) * float64(time.Millisecond))
			delay = min(delay, max(slowStartDelay, ejectionDelay, slotDelay))
			continue
		}
		switch {
		case slowStartDelay > 0:
			delay = min(delay, max(slowStartDelay, ejectionDelay))
		case balancer.mayDrainUnnoticed(candidate.state, now):
			delay = min(delay, staleListRetry)
			if ejectionDelay == 0 && candidate.state.healthCheck.allowed(now) && cost < unconfirmedCost {
				unconfirmed, unconfirmedCost = candidate, cost
			}
		case ejectionDelay > 0:
			delay = min(delay, ejectionDelay)
			if candidate.state.health.fullUntil <= now && cost+milliseconds(ejectionDelay) < recoveringCost {
				recovering, recoveringCost = candidate, cost+milliseconds(ejectionDelay)
			}
		case cost < bestCost:
			best, bestCost = candidate, cost
		}
	}
	if best == nil {
		best = recovering
	}
	if best == nil {
		best = unconfirmed
	}
	if best == nil {
		return nil, delay
	}
	load := model.estimatedLoad(best)
	lease := balancer.newLease(pool, best, request, now)
	lease.load = load
	return lease, 0
}
