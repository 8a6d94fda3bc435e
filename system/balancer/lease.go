package balancer

import (
	"math"
	"slices"
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/runnerpool"
)

// Lease is the right to send one query to a runner. Release must be called once.
type Lease struct {
	Runner  feed.Runner
	Service *config.Service
	// MaxConnections is how many connections this front may hold to the runner.
	MaxConnections int

	balancer         *Balancer
	stats            *serviceStats
	state            *runnerState
	request          Request
	affinityKey      uint64
	acquiredAt       time.Duration
	prefillTokens    float64 // tokens of the prompt that the runner had not kept, as was thought
	firstEventSeen   bool
	released         bool
	slowStartLimited bool
	recoveryProbe    bool
	prefilled        bool
}

// newLease makes the lease of a candidate.
func (balancer *Balancer) newLease(pool *servicePool, one *candidate, request *Request, now time.Duration) *Lease {
	state := one.state
	cachedTokens := balancer.cachedTokens(state)
	prefillTokens := math.Max(0, promptTokens(request)-float64(cachedTokens))
	lease := &Lease{
		Runner: one.runner, Service: pool.service, MaxConnections: one.maxConnections,
		balancer: balancer, stats: pool.stats, state: state, request: *request, affinityKey: affinityKeyOf(request, pool.service.Engine != nil), acquiredAt: now, prefillTokens: prefillTokens,
	}
	lease.slowStartLimited = state.slowStart.take(balancer.listFreshUntil(), now)
	lease.recoveryProbe = state.health.startProbe(now)
	state.meanInFlight.now(float64(state.inFlight), now)
	state.inFlight++
	state.openConnections.observe(state.inFlight, now)
	state.pendingPrefill += prefillTokens
	pool.stats.meanInFlight.now(float64(pool.stats.inFlight), now)
	pool.stats.inFlight++
	state.arrivals.add(1, now)
	pool.stats.arrivals.add(1, now)
	pool.stats.prefillTokens.add(prefillTokens, now)
	if lease.affinityKey != 0 {
		balancer.lastRunner.put(lease.affinityKey, state)
	}
	return lease
}

// Valid tells, by the newest state, whether the query may still be sent: the runner
// is listed, not leaving, its domain not emptied, and its service is still in the
// shares of the route. It is to be asked right before the first byte is sent.
//
//	if !lease.Valid() { ... }
func (lease *Lease) Valid() bool {
	current := lease.balancer.topology.Load()
	if !current.usable[lease.state] {
		return false
	}
	requested, route := lease.request.Route, current.routes[lease.request.Route.Name]
	if route == nil || route.Host != requested.Host || route.Prefix != requested.Prefix || current.services[lease.Service.Name] == nil {
		return false
	}
	return lease.Serves(route)
}

// Serves tells whether the lease's service is in the shares of a route: to be asked when
// another route than the one that the lease was acquired for is in force for the query.
//
//	if !lease.Valid() || !lease.Serves(route) { ... }
func (lease *Lease) Serves(route *config.Route) bool {
	return slices.ContainsFunc(route.Shares, func(share config.WeightedService) bool {
		return share.Service == lease.Service.Name && share.Weight > 0
	})
}

// FirstEvent tells how long the first event of an answer took, from when the query was
// sent. Only the first call counts.
//
//	lease.FirstEvent(time.Since(sent))
func (lease *Lease) FirstEvent(latency time.Duration) {
	lease.balancer.mutex.Lock()
	defer lease.balancer.mutex.Unlock()
	if lease.firstEventSeen || lease.released {
		return
	}
	lease.firstEventSeen = true
	lease.markPrefilled()
	if lease.Service.Engine == nil {
		return
	}
	now := lease.balancer.elapsed()
	lease.recordFirstEvent(milliseconds(latency), now)
}

// markPrefilled notes that the runner has read the prompt.
func (lease *Lease) markPrefilled() {
	if lease.prefilled {
		return
	}
	lease.prefilled = true
	lease.state.pendingPrefill = math.Max(0, lease.state.pendingPrefill-lease.prefillTokens)
	lease.balancer.recordCached(lease.request.PromptParts, lease.state)
}

// Release gives the place back and tells how the dispatch ended; load is what the
// runner reported of itself, or nil. Only the first call counts.
//
//	lease.Release(balancer.Answered, answer.Load)
func (lease *Lease) Release(outcome Outcome, load *runnerpool.Load) {
	balancer := lease.balancer
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if lease.released {
		return
	}
	now, state := balancer.elapsed(), lease.state
	if outcome == Answered {
		lease.markPrefilled()
	}
	lease.released = true
	state.meanInFlight.now(float64(state.inFlight), now)
	state.inFlight--
	lease.stats.meanInFlight.now(float64(lease.stats.inFlight), now)
	lease.stats.inFlight--
	if !lease.prefilled {
		state.pendingPrefill = math.Max(0, state.pendingPrefill-lease.prefillTokens)
	}
	if load != nil {
		state.reportedLoad, state.reportedAt, state.inFlightAtReport, state.hasReport = *load, now, state.inFlight, true
	}
	lease.recordOutcome(outcome, now)
	balancer.serveQueue(now)
}
