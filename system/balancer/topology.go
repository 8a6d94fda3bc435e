package balancer

import (
	"math"
	"sync/atomic"
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/runnerpool"
)

const (
	// sharedConnectionFraction is the fraction of a runner's connection limit that the
	// fronts divide among themselves; the rest is a reserve for changes in their number.
	sharedConnectionFraction = 0.8
	// minConnections is the lower bound of one front's connection limit to one runner.
	minConnections = 2
	// defaultSlots is how many requests a runner is assumed to process at a time if
	// neither the runner list nor the service states it.
	defaultSlots = 8
	// runnerStateRetention is how long the measurements of a runner are kept after it
	// left the runner list, so that a runner missing from one read does not count as new.
	runnerStateRetention = 30 * time.Second
)

// topology is the index that Update builds from a State. It is immutable, so that
// Lease.Valid can read it without the mutex.
type topology struct {
	services   map[string]*servicePool
	routes     map[string]*config.Route
	usable     map[*runnerState]bool
	frontCount int
}

// servicePool is a service with its usable runners. A runner belongs to the service that
// feed.Runner.Group names.
type servicePool struct {
	service     *config.Service
	stats       *serviceStats
	candidates  []candidate
	slots       int // sum over the candidates
	domainCount int // number of domains with candidates
	localCount  int // candidates in this front's domain
	// preferLocal is whether this front's domain has at least half of its fair share of the
	// candidates, so that affinity may be restricted to them without overloading them.
	preferLocal bool
}

// candidate is one usable runner of a service.
type candidate struct {
	runner         feed.Runner
	state          *runnerState
	slots          int  // requests that it processes at a time
	maxConnections int  // of this front
	local          bool // in this front's domain
}

// serviceStats are the measurements of a service. They outlive the topology.
type serviceStats struct {
	hadRunners     bool // runners were listed before, so one that appears now has just started
	inFlight       int  // this front's requests
	meanInFlight   timeWeightedMean
	prefill        regression // first-event latency in milliseconds over uncached prompt tokens
	duration       average    // milliseconds
	routeDurations map[string]*average
	arrivals       rateCounter // requests
	prefillTokens  rateCounter // uncached prompt tokens
}

// runnerState is what this front knows about one incarnation of a runner, that is, one
// process at one address. It outlives the topology.
type runnerState struct {
	hash             uint64        // of runnerKey, the same at every front
	lastListed       time.Duration // when it was last on the runner list
	listed           bool          // it is on the newest list
	inFlight         int           // this front's requests
	meanInFlight     timeWeightedMean
	openConnections  connectionEstimate
	pendingPrefill   float64 // uncached prompt tokens of requests without a first event
	arrivals         rateCounter
	slowStart        slowStart
	health           health
	excessLatency    decayingMean // over the expectation: milliseconds for models, a fraction for plain work
	reportedLoad     runnerpool.Load
	reportedAt       time.Duration
	inFlightAtReport int // this front's requests when the load was reported
	hasReport        bool
	misdirected      bool // another runner answers at its address
	// servingAt is when the last request was sent whose response showed that the runner is not
	// draining; 0 if there was none.
	servingAt   atomic.Int64
	healthCheck healthCheck

	// The fields below are valid if affinityEpoch equals that of the balancer.
	affinityEpoch       uint64
	cachedDepth         int // leading parts of the prompt that are cached completely
	cachedTokens        int // leading tokens probably cached, judging by this front's own requests
	cacheLocationTokens int // leading tokens probably cached, judging by Request.CachedAt
}

// Update replaces the state that runners are selected by. Call it for every newer view or
// routing and whenever the set of live fronts changes. A state without view or routing
// is ignored.
//
//	runners.Update(balancer.State{View: view, Routing: routing, FrontCount: 6})
func (balancer *Balancer) Update(state State) {
	if state.View == nil || state.Routing == nil {
		return
	}
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := balancer.elapsed()
	balancer.firstListAt.CompareAndSwap(0, int64(now))
	balancer.fronts.update(state, now)
	restored := balancer.restoredDomains(state.View)
	next := balancer.newTopology(state)
	balancer.addRunners(state, next, restored, now)
	for _, pool := range next.services {
		pool.countDomains()
	}
	balancer.dropUnused(next, now)
	balancer.topology.Store(next)
	balancer.serveQueue(now)
}

// newTopology returns a topology with the routes and services of a state and without
// runners.
func (balancer *Balancer) newTopology(state State) *topology {
	next := &topology{services: map[string]*servicePool{}, routes: map[string]*config.Route{}, usable: map[*runnerState]bool{}, frontCount: max(1, state.FrontCount)}
	for index := range state.Routing.Routes {
		route := &state.Routing.Routes[index]
		next.routes[route.Name] = route
	}
	for index := range state.Routing.Services {
		service := &state.Routing.Services[index]
		stats, known := balancer.services[service.Name]
		if !known {
			stats = &serviceStats{routeDurations: map[string]*average{}}
			balancer.services[service.Name] = stats
		}
		next.services[service.Name] = &servicePool{service: service, stats: stats}
	}
	return next
}

// addRunners adds the usable runners of a view to a topology and updates the slow start
// of all its runners.
func (balancer *Balancer) addRunners(state State, next *topology, restored map[string]bool, now time.Duration) {
	for _, known := range balancer.runners {
		known.listed = false
	}
	for _, runner := range state.View.Runners {
		pool := next.services[runner.Group]
		if pool == nil {
			continue
		}
		known := balancer.observeRunner(runner, pool, restored[runner.Domain], now)
		if runner.State == feed.StateDraining || state.View.DomainDrained(runner.Domain) || known.misdirected {
			continue
		}
		slots := slotsOf(runner, pool.service)
		next.usable[known] = true
		pool.slots += slots
		pool.candidates = append(pool.candidates, candidate{
			runner: runner, state: known, slots: slots, local: runner.Domain == balancer.domain,
			maxConnections: connectionLimit(pool.service, next.frontCount),
		})
	}
	balancer.fronts.lastUpdate = now
	for _, runner := range state.View.Runners {
		if pool := next.services[runner.Group]; pool != nil {
			pool.stats.hadRunners = true
		}
	}
}

// observeRunner records that a runner is on the newest list and returns its state.
func (balancer *Balancer) observeRunner(runner feed.Runner, pool *servicePool, restored bool, now time.Duration) *runnerState {
	key, rate := runnerKey(runner), pool.service.WarmUpRate
	known, found := balancer.runners[key]
	if !found {
		known = &runnerState{hash: hashOf(key)}
		known.slowStart.share = balancer.fronts.shareOf(known.hash, rate, balancer.seed, now)
		balancer.runners[key] = known
	}
	// A runner with an unknown key is new, unless this front has not seen runners of the
	// service before. Without an incarnation, one missing from the previous list may have
	// restarted.
	isNew := !found && pool.stats.hadRunners || found && runner.Incarnation == "" && known.lastListed != balancer.fronts.lastUpdate
	known.slowStart.observe(runner, pool.service, isNew, restored, now)
	known.slowStart.share.set(balancer.fronts.current.shareOf(known.hash, rate, balancer.seed), now)
	known.lastListed, known.listed = now, true
	return known
}

// countDomains sets the fields that depend on the distribution of the candidates over
// domains.
func (pool *servicePool) countDomains() {
	domains, local := map[string]bool{}, 0
	for _, candidate := range pool.candidates {
		domains[candidate.runner.Domain] = true
		if candidate.local {
			local++
		}
	}
	pool.domainCount, pool.localCount = len(domains), local
	pool.preferLocal = 2*local*len(domains) >= len(pool.candidates) && local > 0
}

// dropUnused drops the measurements of runners that left the list more than
// runnerStateRetention ago, and the state of routes and services that no longer exist.
func (balancer *Balancer) dropUnused(next *topology, now time.Duration) {
	for key, known := range balancer.runners {
		if !known.listed && known.inFlight == 0 && now-known.lastListed > runnerStateRetention {
			delete(balancer.runners, key)
		}
	}
	for name := range balancer.roundRobin {
		if next.routes[name] == nil {
			delete(balancer.roundRobin, name)
		}
	}
	for name := range balancer.services {
		if next.services[name] == nil {
			delete(balancer.services, name)
		}
	}
}

// slotsOf returns how many requests a runner processes at a time.
func slotsOf(runner feed.Runner, service *config.Service) int {
	slots := int(runner.Slots)
	if slots == 0 && service.Engine != nil {
		slots = service.Engine.Slots
	}
	if slots <= 0 {
		slots = defaultSlots
	}
	return slots
}

// connectionLimit returns how many connections one of frontCount fronts may open to a
// runner of a service.
func connectionLimit(service *config.Service, frontCount int) int {
	if service.MaxConnections <= 0 {
		return math.MaxInt32
	}
	return max(minConnections, int(sharedConnectionFraction*float64(service.MaxConnections)/float64(frontCount)))
}

// runnerKey identifies one incarnation of a runner, or its service and address if no
// incarnation is known.
func runnerKey(runner feed.Runner) string {
	if runner.Incarnation != "" {
		return runner.Incarnation
	}
	return runner.Group + "/" + runner.Address
}

// restoredDomains returns the domains that were drained and no longer are, and stores the
// domains of the view. Their runners were idle and may have cold caches. A drain and
// restore between two views is detected by a changed Since.
func (balancer *Balancer) restoredDomains(view *feed.View) map[string]bool {
	restored := map[string]bool{}
	for _, domain := range view.Domains {
		before, known := balancer.domains[domain.Name]
		changed := before.State == feed.StateDrained || known && before.Since != domain.Since || !known && domain.Since != 0
		if domain.State != feed.StateDrained && changed {
			restored[domain.Name] = true
		}
		balancer.domains[domain.Name] = domain
	}
	return restored
}

// removeRunner removes a misdirected runner from the topology without waiting for the next
// Update. The domain counts stay unchanged until then.
func (balancer *Balancer) removeRunner(state *runnerState) {
	current := balancer.topology.Load()
	next := &topology{services: map[string]*servicePool{}, routes: current.routes, usable: map[*runnerState]bool{}, frontCount: current.frontCount}
	for known := range current.usable {
		if known != state {
			next.usable[known] = true
		}
	}
	for name, pool := range current.services {
		remaining := *pool
		remaining.candidates, remaining.slots = nil, 0
		for _, candidate := range pool.candidates {
			if candidate.state != state {
				remaining.candidates = append(remaining.candidates, candidate)
				remaining.slots += candidate.slots
			}
		}
		next.services[name] = &remaining
	}
	balancer.topology.Store(next)
}
