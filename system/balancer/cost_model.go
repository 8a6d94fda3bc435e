package balancer

import (
	"math"
	"time"
)

const (
	// crossDomainMilliseconds and crossDomainFraction are what the way to another domain costs, in
	// milliseconds and as a part of the time that plain work takes: bytes between domains
	// and connections to many runners cost beside time.
	crossDomainMilliseconds = 10
	crossDomainFraction     = 0.15
	// newConnectionMilliseconds and newConnectionFraction are what a new connection costs, in
	// milliseconds and as a part of the time that plain work takes, with what it costs
	// beside time.
	newConnectionMilliseconds = 8
	newConnectionFraction     = 0.2
	// concurrencySlowdown is how much slower a model runner gets with each query that it runs.
	concurrencySlowdown = 0.02
	// While a prompt is read, the queries that run beside it are held up in part: reading
	// costs this much more with each that a runner of the service has, at most so much.
	prefillContentionStep = 0.15
	maxPrefillContention  = 2
	// fullRunnerSlowdown is how much slower a plain runner is when its slots are all taken.
	fullRunnerSlowdown = 1
	// minAffinityMilliseconds and affinityFraction are what it is worth, in milliseconds and as a part of
	// the time to read the prompt, to go where the other fronts send a program's turns.
	minAffinityMilliseconds = 6
	affinityFraction        = 0.25
	// stickyFraction is what a runner saves that has seen the subject, and stickyGuessFraction what
	// the one may save that other fronts send it to.
	stickyFraction      = 0.3
	stickyGuessFraction = 0.1
	// pendingPrefillFraction is how much of others' reading is waited for.
	pendingPrefillFraction = 0.7
	// queueFactor is how many times its slots a runner is thought to take at most.
	queueFactor = 4
	// Above this part of what a cold runner would bear, more queries cost: it may have
	// become cold without having been noticed.
	arrivalCostThreshold    = 0.6
	arrivalCostMilliseconds = 120 // milliseconds at the bound
	// reportHalfLife is how fast a reported load loses its weight.
	reportHalfLife = 300 * time.Millisecond
	// What the rules bear of a cold runner, over all fronts.
	slowStartExcess = 1.5
	slowStartSlack  = 5
)

// weighing holds what the cost of all candidates for one query rests on.
type costModel struct {
	balancer          *Balancer
	pool              *servicePool
	now               time.Duration
	isModel           bool
	promptTokens      float64
	prefillRate       float64 // tokens read in a millisecond
	prefillContention float64 // what reading a token costs all that run, against what it costs one
	duration          float64 // milliseconds
	frontCount        float64
	domainCount       float64
	// remoteLoad is what the fronts of another domain have out at each of its runners,
	// if they are like this one; less than 0: this front has too few runners near.
	remoteLoad     float64
	othersInFlight float64 // what the other fronts have out at a runner, if they are like this one
	othersArrivals float64 // what they sent to it in the last second
	arrivalLimit   float64
	preferred      *runnerState
	affinityBonus  float64
}

func (balancer *Balancer) newCostModel(pool *servicePool, request *Request, now time.Duration) costModel {
	runners, fronts := float64(len(pool.candidates)), float64(balancer.topology.Load().frontCount)
	model := costModel{balancer: balancer, pool: pool, now: now, isModel: pool.service.Engine != nil, frontCount: fronts, arrivalLimit: math.Inf(1)}
	model.othersInFlight = (fronts - 1) * pool.stats.meanInFlight.now(float64(pool.stats.inFlight), now) / runners
	if pool.service.WarmUpRate > 0 {
		model.arrivalLimit = slowStartExcess*pool.service.WarmUpRate + slowStartSlack
		model.othersArrivals = (fronts - 1) * pool.stats.arrivals.now(now) / runners
	}
	model.domainCount, model.remoteLoad = float64(pool.domainCount), -1
	if pool.preferLocal {
		model.remoteLoad = fronts / model.domainCount * pool.stats.meanInFlight.now(float64(pool.stats.inFlight), now) / float64(pool.localCount)
	}
	affinityKey := affinityKeyOf(request, model.isModel)
	if model.isModel {
		model.promptTokens, model.prefillRate, model.duration = promptTokens(request), pool.stats.prefill.rate(), pool.stats.duration.valueOr(200)
		model.prefillContention = 1 + math.Min(maxPrefillContention, prefillContentionStep*fronts*pool.stats.meanInFlight.now(float64(pool.stats.inFlight), now)/runners)
		model.affinityBonus = minAffinityMilliseconds + affinityFraction*model.promptTokens/model.prefillRate
	} else {
		model.duration = pool.stats.expectedDuration(request.Route.Name)
		model.affinityBonus = stickyGuessFraction * model.duration
		if last, found := balancer.lastRunner.get(affinityKey); found && affinityKey != 0 && last.listed {
			model.preferred, model.affinityBonus = last, stickyFraction*model.duration
			return model
		}
	}
	if affinityKey != 0 {
		model.preferred = pool.rendezvousRunner(affinityKey)
	}
	return model
}

// load is how many queries a runner is thought to have, running and waiting.
func (model *costModel) estimatedLoad(one *candidate) float64 {
	state, others := one.state, model.othersInFlight
	if !model.isModel {
		// Any front sends plain work as this one does, and each prefers its own domain;
		// turns go where their parts are.
		others = (model.frontCount - 1) * state.meanInFlight.now(float64(state.inFlight), model.now)
		switch {
		case model.remoteLoad < 0:
		case one.local:
			others /= model.domainCount
		default:
			others = model.remoteLoad
		}
	}
	if state.hasReport {
		reported := math.Max(0, float64(state.reportedLoad.Running+state.reportedLoad.Waiting-state.inFlightAtReport))
		others += (reported - others) * decayFactor(model.now-state.reportedAt, reportHalfLife)
	}
	return float64(state.inFlight) + others
}

// fullUntil tells whether a runner would turn one more query away or has no connection for
// it. What other fronts may have out is not counted: the runner says so itself at once.
func (model *costModel) full(one *candidate) bool {
	state, capacity := one.state, queueFactor*one.slots
	reported := state.hasReport && model.now-state.reportedAt < reportHalfLife && state.reportedLoad.Running+state.reportedLoad.Waiting+state.inFlight-state.inFlightAtReport >= capacity
	return reported || state.inFlight >= min(capacity, one.maxConnections)
}

// cost is how many milliseconds a query is expected to take at a runner, beside what
// it takes at all of them.
func (model *costModel) cost(one *candidate) float64 {
	state, now := one.state, model.now
	load, fresh := model.estimatedLoad(one), state.inFlight >= state.openConnections.now(now)
	cost := failureCostMilliseconds * state.health.failureProbability(now)
	cost += model.duration * math.Max(0, load-float64(one.slots)+1) / float64(one.slots)
	if model.isModel {
		cost += model.prefillContention*(model.promptTokens-float64(model.balancer.cachedTokens(state)))/model.prefillRate + pendingPrefillFraction*state.pendingPrefill/model.prefillRate
		cost += model.duration*concurrencySlowdown*load + math.Max(0, state.excessLatency.now(now))
		if !one.local {
			cost += crossDomainMilliseconds
		}
		if fresh {
			cost += newConnectionMilliseconds
		}
	} else {
		full := math.Min(1, load/float64(one.slots))
		cost += model.duration * (1 + state.excessLatency.now(now) + fullRunnerSlowdown*full*full)
		cost += model.balancer.random.Float64() * 0.05 * model.duration
		if !one.local {
			cost += crossDomainFraction * model.duration
		}
		if fresh {
			cost += newConnectionFraction * model.duration
		}
	}
	if over := (state.arrivals.now(now)+model.othersArrivals)/model.arrivalLimit - arrivalCostThreshold; over > 0 {
		cost += arrivalCostMilliseconds * over / (1 - arrivalCostThreshold)
	}
	if state == model.preferred {
		cost -= model.affinityBonus
	}
	return cost
}
