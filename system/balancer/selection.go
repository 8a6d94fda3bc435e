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
// lease requires a health check (Lease.NeedsHealthCheck). Otherwise it returns no lease and the
// delay after which a candidate may be free, provided that no other request ends before.
func (balancer *Balancer) selectRunner(pool *servicePool, request *Request, now time.Duration) (*Lease, time.Duration) {
	balancer.markCached(pool, request, now)
	model := balancer.newCostModel(pool, request, now)
	selection := newSelection(balancer, &model)
	for index := range pool.candidates {
		candidate := &pool.candidates[index]
		if candidate.state.misdirected || slices.Contains(request.Excluded, candidate.runner.Incarnation) || slices.Contains(request.Excluded, candidate.runner.Address) {
			continue
		}
		selection.consider(candidate)
	}
	best := selection.chosen()
	if best == nil {
		return nil, selection.delay
	}
	load := model.estimatedLoad(best)
	lease := balancer.newLease(pool, best, request, now)
	lease.load = load
	return lease, 0
}

// selection compares the candidates for one request.
type selection struct {
	balancer       *Balancer
	model          *costModel
	listFreshUntil time.Duration
	// The candidates with the lowest cost of those that may get a request, of those that were
	// ejected, and of those that may be draining unnoticed.
	best, recovering, unconfirmed rankedCandidate
	// delay is the time until a candidate may be free.
	delay time.Duration
}

// rankedCandidate is a candidate, nil at first, and its cost.
type rankedCandidate struct {
	candidate *candidate
	cost      float64
}

// offer replaces the candidate by a cheaper one.
func (ranked *rankedCandidate) offer(candidate *candidate, cost float64) {
	if ranked.candidate == nil || cost < ranked.cost {
		ranked.candidate, ranked.cost = candidate, cost
	}
}

func newSelection(balancer *Balancer, model *costModel) *selection {
	return &selection{balancer: balancer, model: model, listFreshUntil: balancer.listFreshUntil(), delay: math.MaxInt64}
}

// consider offers a candidate in the place that its state allows, or records when it may be free.
func (selection *selection) consider(candidate *candidate) {
	state, now := candidate.state, selection.model.now
	slowStartDelay, ejectionDelay := state.slowStart.delay(selection.listFreshUntil, now), state.health.delay(now)
	// The cost of plain work draws a random number. It is computed even if it is not used,
	// so that the random sequence does not depend on which candidates are full or delayed.
	cost := selection.model.cost(candidate)
	switch {
	case selection.model.full(candidate):
		slotDelay := time.Duration(selection.model.duration / float64(candidate.slots) * float64(time.Millisecond))
		selection.delay = min(selection.delay, max(slowStartDelay, ejectionDelay, slotDelay))
	case slowStartDelay > 0:
		selection.delay = min(selection.delay, max(slowStartDelay, ejectionDelay))
	case selection.balancer.mayDrainUnnoticed(state, now):
		selection.delay = min(selection.delay, staleListRetry)
		if ejectionDelay == 0 && state.healthCheck.allowed(now) {
			selection.unconfirmed.offer(candidate, cost)
		}
	case ejectionDelay > 0:
		selection.delay = min(selection.delay, ejectionDelay)
		if state.health.fullUntil <= now {
			selection.recovering.offer(candidate, cost+milliseconds(ejectionDelay))
		}
	default:
		selection.best.offer(candidate, cost)
	}
}

// chosen returns the candidate to lease; nil if there is none.
func (selection *selection) chosen() *candidate {
	for _, ranked := range []rankedCandidate{selection.best, selection.recovering, selection.unconfirmed} {
		if ranked.candidate != nil {
			return ranked.candidate
		}
	}
	return nil
}
