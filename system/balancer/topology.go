package balancer

import (
	"math"
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/runnerpool"
)

const (
	// sharedConnectionFraction is the part of a runner's connections that the fronts share out.
	sharedConnectionFraction = 0.8
	minConnections           = 2
	defaultSlots             = 8
	// runnerStateRetention is how long what was learned of a runner that left the list is kept.
	runnerStateRetention = 30 * time.Second
)

// topology is what Update made of a State; it is never changed afterwards.
type topology struct {
	services   map[string]*servicePool
	routes     map[string]*config.Route
	usable     map[*runnerState]bool
	frontCount int
}

// group is a service with its usable runners.
type servicePool struct {
	service     *config.Service
	stats       *serviceStats
	candidates  []candidate
	slots       int
	domainCount int  // in which they are
	localCount  int  // how many are in this front's domain
	preferLocal bool // whether the nearby runners are enough to be agreed on alone
}

// candidate is one usable runner.
type candidate struct {
	runner         feed.Runner
	state          *runnerState
	slots          int
	maxConnections int
	local          bool
}

// serviceStats is what was learned of a service as a whole.
type serviceStats struct {
	hadRunners     bool // it has had runners
	inFlight       int
	meanInFlight   timeWeightedMean // of out
	prefill        regression       // milliseconds to the first event by tokens to read
	duration       average          // milliseconds
	routeDurations map[string]*average
	arrivals       rateCounter // queries
	prefillTokens  rateCounter // new tokens of prompts
}

// runnerState is what this front knows of one life of a runner.
type runnerState struct {
	hash             uint64
	lastListed       time.Duration // when it was last on the list
	listed           bool
	inFlight         int
	meanInFlight     timeWeightedMean // of out
	openConnections  connectionEstimate
	pendingPrefill   float64 // tokens of prompts whose first event has not come
	arrivals         rateCounter
	slowStart        slowStart
	health           health
	excessLatency    decayingMean // milliseconds over what is usual; of plain work, in parts of it
	reportedLoad     runnerpool.Load
	reportedAt       time.Duration
	inFlightAtReport int
	hasReport        bool
	misdirected      bool

	affinityEpoch uint64 // of depth and kept
	cachedDepth   int
	cachedTokens  int
}

// Update replaces what the choices rest on: to be called on every newer view or
// routing and whenever the live fronts change.
//
//	choices.Update(balancer.State{View: view, Routes: routes, Fronts: 6})
func (balancer *Balancer) Update(state State) {
	if state.View == nil || state.Routing == nil {
		return
	}
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := balancer.elapsed()
	balancer.fronts.update(state, now)
	restored := balancer.restoredDomains(state.View)
	next := &topology{services: map[string]*servicePool{}, routes: map[string]*config.Route{}, usable: map[*runnerState]bool{}, frontCount: max(1, state.FrontCount)}
	for at := range state.Routing.Routes {
		route := &state.Routing.Routes[at]
		next.routes[route.Name] = route
	}
	for at := range state.Routing.Services {
		service := &state.Routing.Services[at]
		stats, known := balancer.services[service.Name]
		if !known {
			stats = &serviceStats{routeDurations: map[string]*average{}}
			balancer.services[service.Name] = stats
		}
		next.services[service.Name] = &servicePool{service: service, stats: stats}
	}
	for _, one := range balancer.runners {
		one.listed = false
	}
	balancer.addRunners(state, next, restored, now)
	for key, one := range balancer.runners {
		if !one.listed && one.inFlight == 0 && now-one.lastListed > runnerStateRetention {
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
	balancer.topology.Store(next)
	balancer.serveQueue(now)
}

// addRunners puts the usable runners of a view into the groups of a table.
func (balancer *Balancer) addRunners(state State, next *topology, restored map[string]bool, now time.Duration) {
	for _, runner := range state.View.Runners {
		pool := next.services[runner.Group]
		if pool == nil {
			continue
		}
		one, found := balancer.runners[runnerKey(runner)]
		if !found {
			one = &runnerState{hash: hashOf(runnerKey(runner))}
			one.slowStart.share = balancer.fronts.shareOf(one.hash, pool.service.WarmUpRate, balancer.seed, now)
			balancer.runners[runnerKey(runner)] = one
		}
		fresh := !found && pool.stats.hadRunners || found && runner.Life == "" && one.lastListed != balancer.fronts.lastUpdate
		one.slowStart.observe(runner, pool.service, fresh, restored[runner.Domain], now)
		one.slowStart.share.set(balancer.fronts.current.shareOf(one.hash, pool.service.WarmUpRate, balancer.seed), now)
		one.lastListed, one.listed = now, true
		if runner.State == feed.StateDraining || state.View.DomainDrained(runner.Domain) || one.misdirected {
			continue
		}
		slots := int(runner.Slots)
		if slots == 0 && pool.service.Engine != nil {
			slots = pool.service.Engine.Slots
		}
		if slots <= 0 {
			slots = defaultSlots
		}
		next.usable[one] = true
		pool.slots += slots
		pool.candidates = append(pool.candidates, candidate{
			runner: runner, state: one, slots: slots, local: runner.Domain == balancer.domain,
			maxConnections: connectionLimit(pool.service, next.frontCount),
		})
	}
	balancer.fronts.lastUpdate = now
	for _, runner := range state.View.Runners {
		if pool := next.services[runner.Group]; pool != nil {
			pool.stats.hadRunners = true
		}
	}
	for _, one := range next.services {
		domains, near := map[string]bool{}, 0
		for _, candidate := range one.candidates {
			domains[candidate.runner.Domain] = true
			if candidate.local {
				near++
			}
		}
		one.domainCount, one.localCount = len(domains), near
		one.preferLocal = 2*near*len(domains) >= len(one.candidates) && near > 0
	}
}

func connectionLimit(service *config.Service, fronts int) int {
	if service.MaxConnections <= 0 {
		return math.MaxInt32
	}
	return max(minConnections, int(sharedConnectionFraction*float64(service.MaxConnections)/float64(fronts)))
}

func runnerKey(runner feed.Runner) string {
	if runner.Life != "" {
		return runner.Life
	}
	return runner.Group + "/" + runner.Address
}

// refilled tells which domains take work again since the last view: their runners may
// have become cold in the meantime.
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

// removeRunner takes a runner out of the table: its address belongs to another one now.
func (balancer *Balancer) removeRunner(state *runnerState) {
	current := balancer.topology.Load()
	next := &topology{services: map[string]*servicePool{}, routes: current.routes, usable: map[*runnerState]bool{}, frontCount: current.frontCount}
	for one := range current.usable {
		if one != state {
			next.usable[one] = true
		}
	}
	for name, one := range current.services {
		left := *one
		left.candidates, left.slots = nil, 0
		for _, candidate := range one.candidates {
			if candidate.state != state {
				left.candidates = append(left.candidates, candidate)
				left.slots += candidate.slots
			}
		}
		next.services[name] = &left
	}
	balancer.topology.Store(next)
}
