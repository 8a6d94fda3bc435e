package balancer

import (
	"math"
	"time"
)

// The weights of the cost model. Costs of model work are in milliseconds; those of plain
// work, whose duration varies more between routes, are fractions of the expected duration.
// docs/decisions.md (Ablation) has what a day is worth without each mechanism.
const (
	// crossDomainMilliseconds and crossDomainFraction are the cost of a runner in another
	// domain: latency, the price of traffic between domains, and more connections, as more
	// runners are in use.
	crossDomainMilliseconds = 10
	crossDomainFraction     = 0.15
	// newConnectionMilliseconds and newConnectionFraction are the cost of opening a
	// connection, including the runner's part of the work.
	newConnectionMilliseconds = 8
	newConnectionFraction     = 0.2
	// concurrencySlowdown is the fraction by which each request in flight slows down a
	// model runner.
	concurrencySlowdown = 0.02
	// prefillContentionStep is the fraction by which each request in flight per runner of
	// the service raises the cost of a prefill, because a prefill delays the generation of
	// all others; maxPrefillContention bounds the sum.
	prefillContentionStep = 0.15
	maxPrefillContention  = 2
	// fullRunnerSlowdown is the fraction by which a runner takes longer for plain work when all
	// its slots are taken; the slowdown grows with the square of the utilization.
	fullRunnerSlowdown = 1
	// plainJitter bounds the random cost added to plain work, which keeps fronts with the
	// same view from all choosing the same runner.
	plainJitter = 0.05
	// minAffinityMilliseconds and affinityFraction are the bonus of the preferred runner for
	// model work: a constant plus a fraction of the prefill time of the whole prompt. It is the
	// runner to which the other fronts send the same conversation.
	minAffinityMilliseconds = 6
	affinityFraction        = 0.25
	// stickyFraction is the bonus of the runner to which this front sent the last plain
	// request with the same affinity key. Without one, the rendezvous hash predicts where
	// other fronts send that key, and its runner has the bonus stickyRendezvousFraction.
	stickyFraction           = 0.3
	stickyRendezvousFraction = 0.1
	// pendingPrefillFraction is the fraction of the pending prefill of other requests that
	// delays a new one.
	pendingPrefillFraction = 0.7
	// queueFactor times its slots is how many requests a runner accepts at most, running
	// and queued.
	queueFactor = 4
	// Above arrivalCostThreshold, as a fraction of the slow-start limit, arrivals at a warm
	// runner cost extra: it may have restarted without the list showing it. The cost rises
	// to arrivalCostMilliseconds at the limit.
	arrivalCostThreshold    = 0.6
	arrivalCostMilliseconds = 120
	// reportHalfLife is the time in which a reported load loses half of its weight against
	// the estimate. A runner that reported to be full counts as full for that time.
	reportHalfLife = 300 * time.Millisecond
	// defaultModelDuration is the expected duration of model work, in milliseconds, before
	// the first measurement.
	defaultModelDuration = 200
	// slowStartExcess and slowStartSlack limit the arrivals from all fronts at a runner in
	// slow start: in any second at most slowStartExcess times its rate, plus slowStartSlack.
	slowStartExcess = 1.5
	slowStartSlack  = 5
)

// costModel computes the costs of all candidates for one request.
type costModel struct {
	balancer          *Balancer
	now               time.Duration
	isModel           bool // model work, as opposed to plain work
	promptTokens      float64
	prefillRate       float64 // tokens per millisecond
	prefillContention float64 // factor on the prefill time, at least 1
	duration          float64 // expected duration of the request, in milliseconds
	frontCount        float64
	domainCount       float64
	// remoteLoad is how many requests the fronts of another domain have in flight at each
	// runner of their own domain, assuming that each has as many in flight as this one. It is
	// negative if this front's domain has too few runners for the assumption.
	remoteLoad float64
	// otherFrontsInFlight and otherFrontsArrivals are how many requests the other fronts
	// have in flight at a runner on average, and sent to it in the last second, assuming
	// that each has as many as this one.
	otherFrontsInFlight float64
	otherFrontsArrivals float64
	arrivalLimit        float64      // slow-start limit on arrivals per second; infinite without a warm-up rate
	preferred           *runnerState // by affinity; nil if none
	affinityBonus       float64      // milliseconds by which the preferred runner costs less
}

// newCostModel prepares the cost model for a request.
func (balancer *Balancer) newCostModel(pool *servicePool, request *Request, now time.Duration) costModel {
	runners, fronts := float64(len(pool.candidates)), float64(balancer.topology.Load().frontCount)
	model := costModel{balancer: balancer, now: now, isModel: pool.service.Engine != nil, frontCount: fronts, arrivalLimit: math.Inf(1)}
	inFlight := pool.stats.meanInFlight.update(float64(pool.stats.inFlight), now)
	model.otherFrontsInFlight = (fronts - 1) * inFlight / runners
	if pool.service.WarmUpRate > 0 {
		model.arrivalLimit = slowStartExcess*pool.service.WarmUpRate + slowStartSlack
		model.otherFrontsArrivals = (fronts - 1) * pool.stats.arrivals.rateAt(now) / runners
	}
	model.domainCount, model.remoteLoad = float64(pool.domainCount), -1
	if pool.preferLocal {
		model.remoteLoad = fronts / model.domainCount * inFlight / float64(pool.localCount)
	}
	if model.isModel {
		model.promptTokens, model.prefillRate, model.duration = promptTokens(request), pool.stats.prefill.rate(), pool.stats.duration.valueOr(defaultModelDuration)
		model.prefillContention = 1 + math.Min(maxPrefillContention, prefillContentionStep*fronts*inFlight/runners)
	} else {
		model.duration = pool.stats.expectedDuration(request.Route.Name)
	}
	model.preferred, model.affinityBonus = balancer.preferredRunner(pool, request, &model)
	return model
}

// preferredRunner returns the runner that a request has an affinity to, or nil, and the
// bonus of that runner in milliseconds.
func (balancer *Balancer) preferredRunner(pool *servicePool, request *Request, model *costModel) (*runnerState, float64) {
	key := affinityKeyOf(request, model.isModel)
	if key == 0 {
		return nil, 0
	}
	if model.isModel {
		bonus := minAffinityMilliseconds + affinityFraction*model.promptTokens/model.prefillRate
		if located, found := balancer.runners[request.CachedAt.Runner]; found && located.listed {
			return located, bonus
		}
		return pool.rendezvousRunner(key), bonus
	}
	if last, found := balancer.lastRunner.get(key); found && last.listed {
		return last, stickyFraction * model.duration
	}
	return pool.rendezvousRunner(key), stickyRendezvousFraction * model.duration
}

// estimatedLoad estimates how many requests of all fronts are at a runner, running and
// queued.
func (model *costModel) estimatedLoad(candidate *candidate) float64 {
	state, otherFronts := candidate.state, model.otherFrontsInFlight
	if !model.isModel {
		// All fronts distribute plain work by the same costs and prefer their own domain, so
		// this front's requests at a runner predict those of the others. Model work follows
		// the prefix caches, so it only predicts the average over the runners.
		otherFronts = (model.frontCount - 1) * state.meanInFlight.update(float64(state.inFlight), model.now)
		switch {
		case model.remoteLoad < 0:
		case candidate.local:
			otherFronts /= model.domainCount
		default:
			otherFronts = model.remoteLoad
		}
	}
	if state.hasReport {
		reported := math.Max(0, float64(state.reportedLoad.Running+state.reportedLoad.Waiting-state.inFlightAtReport))
		otherFronts += (reported - otherFronts) * decayFactor(model.now-state.reportedAt, reportHalfLife)
	}
	return float64(state.inFlight) + otherFronts
}

// full reports whether a runner would reject one more request, or this front has no
// connection left for it. Estimates of other fronts' requests are not considered: a
// runner that they fill rejects requests, which is noticed at once.
func (model *costModel) full(candidate *candidate) bool {
	state, capacity := candidate.state, queueFactor*candidate.slots
	reported := state.hasReport && model.now-state.reportedAt < reportHalfLife &&
		state.reportedLoad.Running+state.reportedLoad.Waiting+state.inFlight-state.inFlightAtReport >= capacity
	return reported || state.inFlight >= min(capacity, candidate.maxConnections)
}

// cost returns the expected time to completion at a runner in milliseconds plus the
// penalties, without the terms that are equal for all runners of the service.
func (model *costModel) cost(candidate *candidate) float64 {
	state, now := candidate.state, model.now
	load := model.estimatedLoad(candidate)
	cost := failureCostMilliseconds * state.health.failureProbability(now)
	cost += model.duration * math.Max(0, load-float64(candidate.slots)+1) / float64(candidate.slots) // queueing
	if model.isModel {
		cost = model.addModelCost(cost, candidate, load)
	} else {
		cost = model.addPlainCost(cost, candidate, load)
	}
	if excess := (state.arrivals.rateAt(now)+model.otherFrontsArrivals)/model.arrivalLimit - arrivalCostThreshold; excess > 0 {
		cost += arrivalCostMilliseconds * excess / (1 - arrivalCostThreshold)
	}
	if state == model.preferred {
		cost -= model.affinityBonus
	}
	return cost
}

// addModelCost adds the cost of model work: prefill of uncached tokens, generation
// alongside other requests, a remote domain and a new connection.
func (model *costModel) addModelCost(cost float64, candidate *candidate, load float64) float64 {
	state := candidate.state
	uncached := model.promptTokens - model.balancer.cachedTokens(state)
	cost += model.prefillContention*uncached/model.prefillRate + pendingPrefillFraction*state.pendingPrefill/model.prefillRate
	cost += model.duration*concurrencySlowdown*load + math.Max(0, state.excessLatency.valueAt(model.now))
	if !candidate.local {
		cost += crossDomainMilliseconds
	}
	if state.needsConnection(model.now) {
		cost += newConnectionMilliseconds
	}
	return cost
}

// addPlainCost adds the cost of plain work: duration by load and by the runner's own
// speed, random jitter, a remote domain and a new connection.
func (model *costModel) addPlainCost(cost float64, candidate *candidate, load float64) float64 {
	state := candidate.state
	utilization := math.Min(1, load/float64(candidate.slots))
	cost += model.duration * (1 + state.excessLatency.valueAt(model.now) + fullRunnerSlowdown*utilization*utilization)
	cost += model.balancer.random.Float64() * plainJitter * model.duration
	if !candidate.local {
		cost += crossDomainFraction * model.duration
	}
	if state.needsConnection(model.now) {
		cost += newConnectionFraction * model.duration
	}
	return cost
}

// needsConnection reports whether one more request probably needs a new connection.
func (state *runnerState) needsConnection(now time.Duration) bool {
	return state.inFlight >= state.openConnections.countAt(now)
}
