package balancer

import (
	"math"
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/runnerpool"
)

// Lease is the permission to send one request to one runner. Until Release it counts as
// a request in flight. Its methods may be called concurrently.
type Lease struct {
	Runner  feed.Runner
	Service *config.Service
	// MaxConnections is how many connections this front may have open to the runner.
	MaxConnections int

	balancer    *Balancer
	stats       *serviceStats
	state       *runnerState
	request     Request
	affinityKey uint64        // 0 if none
	acquiredAt  time.Duration // since the balancer was created
	// prefillTokens is how many prompt tokens the runner was assumed not to have cached.
	prefillTokens    float64
	inFlight         int     // this front's other requests at the runner when it was chosen
	load             float64 // estimatedLoad of the runner when it was chosen, without this request
	firstEventSeen   bool
	released         bool
	slowStartLimited bool // it took a slow-start token of the runner
	recoveryProbe    bool // it is a probe of a runner that was ejected
	prefilled        bool // the runner has processed the prompt
	needsHealthCheck bool
}

// newLease returns a lease on a candidate and counts its request as in flight.
func (balancer *Balancer) newLease(pool *servicePool, chosen *candidate, request *Request, now time.Duration) *Lease {
	state := chosen.state
	prefillTokens := math.Max(0, promptTokens(request)-balancer.cachedTokens(state))
	lease := &Lease{
		Runner: chosen.runner, Service: pool.service, MaxConnections: chosen.maxConnections,
		balancer: balancer, stats: pool.stats, state: state, request: *request,
		affinityKey: affinityKeyOf(request, pool.service.Engine != nil), acquiredAt: now, prefillTokens: prefillTokens,
		inFlight: state.inFlight,
	}
	lease.slowStartLimited = state.slowStart.take(balancer.listFreshUntil(), now)
	lease.recoveryProbe = state.health.startProbe()
	if balancer.mayDrainUnnoticed(state, now) {
		lease.needsHealthCheck, state.healthCheck.inFlight = true, true
	}
	state.meanInFlight.update(float64(state.inFlight), now)
	state.inFlight++
	state.openConnections.observe(state.inFlight, now)
	state.pendingPrefill += prefillTokens
	pool.stats.meanInFlight.update(float64(pool.stats.inFlight), now)
	pool.stats.inFlight++
	state.arrivals.add(1, now)
	pool.stats.arrivals.add(1, now)
	pool.stats.prefillTokens.add(prefillTokens, now)
	if lease.affinityKey != 0 {
		balancer.lastRunner.put(lease.affinityKey, state)
	}
	return lease
}

// Incarnation identifies the process at the runner's address, or the service and address
// if the process is not known. CacheLocation.Runner has the same form.
//
//	location.Runner = lease.Incarnation()
func (lease *Lease) Incarnation() string { return runnerKey(lease.Runner) }

// PromptTokens returns the length of the prompt, in tokens.
//
//	location.Tokens = lease.PromptTokens()
func (lease *Lease) PromptTokens() int { return int(promptTokens(&lease.request)) }

// Valid reports whether the newest state still allows sending the request: the runner
// is listed and not draining, that was known within the drain timeout, its domain is not
// drained, the route still has its host and prefix, and the service still has a share of the
// route. Call it right before sending the first byte. It takes no lock.
//
//	if !lease.Valid() {
//		lease.Release(balancer.NotSent, nil)
//	}
func (lease *Lease) Valid() bool {
	current := lease.balancer.topology.Load()
	if !current.usable[lease.state] || lease.balancer.mayDrainUnnoticed(lease.state, lease.balancer.elapsed()) {
		return false
	}
	requested, route := lease.request.Route, current.routes[lease.request.Route.Name]
	if route == nil || route.Host != requested.Host || route.Prefix != requested.Prefix || current.services[lease.Service.Name] == nil {
		return false
	}
	return lease.Serves(route)
}

// Serves reports whether the lease's service has a share of a route. Call it in addition
// to Valid if the request now matches another route than the one it was acquired for.
//
//	if !lease.Valid() || !lease.Serves(route) {
//		lease.Release(balancer.NotSent, nil)
//	}
func (lease *Lease) Serves(route *config.Route) bool { return route.IsServedBy(lease.Service.Name) }

// FirstEvent reports the time from sending the request to the first event of the
// response. Only the first call counts.
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
	lease.recordFirstEvent(milliseconds(latency), lease.balancer.elapsed())
}

// markPrefilled records that the runner has processed the prompt and cached it.
func (lease *Lease) markPrefilled() {
	if lease.prefilled {
		return
	}
	lease.prefilled = true
	lease.state.pendingPrefill = math.Max(0, lease.state.pendingPrefill-lease.prefillTokens)
	lease.balancer.recordCached(lease.request.PromptParts, lease.state)
}

// Release ends the lease and reports the outcome; load is the load that the runner
// reported with its response, or nil. Only the first call counts. It grants leases to
// waiting requests that can now be served.
//
//	lease.Release(balancer.Answered, response.Load)
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
	state.meanInFlight.update(float64(state.inFlight), now)
	state.inFlight--
	lease.stats.meanInFlight.update(float64(lease.stats.inFlight), now)
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
