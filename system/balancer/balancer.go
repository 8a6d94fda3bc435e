package balancer

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"yardrock.example/system/apierror"
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

// Balancer chooses runners for the queries of one front. All methods may be called
// from many goroutines.
type Balancer struct {
	domain   string
	now      func() time.Time
	started  time.Time
	topology atomic.Pointer[topology]

	mutex      sync.Mutex
	random     *rand.Rand
	seed       uint64
	runners    map[string]*runnerState
	services   map[string]*serviceStats
	roundRobin map[string]map[string]float64 // by route, then by service
	domains    map[string]feed.Domain        // as last seen
	fronts     frontSet
	// listReadTime tells when the runner list was read last; nil: it is always current.
	listReadTime  func() time.Time
	cachedParts   generationalCache[*cachedPart]
	lastRunner    generationalCache[*runnerState] // where a line of turns went last
	queue         []*waiter
	affinityEpoch uint64 // of the marks in runnerState
}

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

// New makes a balancer for a front in a domain. The random seed should differ between
// fronts; now is the steady clock, and nil stands for time.Now.
//
//	choices := balancer.New("east", 7, nil)
func New(domain string, seed uint64, now func() time.Time) *Balancer {
	if now == nil {
		now = time.Now
	}
	balancer := &Balancer{
		domain: domain, now: now, started: now(), seed: seed,
		random:  rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		runners: map[string]*runnerState{}, services: map[string]*serviceStats{},
		roundRobin: map[string]map[string]float64{}, domains: map[string]feed.Domain{},
	}
	balancer.topology.Store(&topology{})
	return balancer
}

// elapsed gives the time since the balancer was made.
func (balancer *Balancer) elapsed() time.Duration { return balancer.now().Sub(balancer.started) }

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

// Acquire chooses a runner for a query. While no runner can take it, it may wait a
// little, by urgency and then by the time left. A refusal is NotRun and tells when to
// come back.
//
//	lease, err := choices.Acquire(ctx, balancer.Request{Route: route, Deadline: deadline})
//	if err != nil { return err }
//	defer func() { lease.Release(ending, nil) }()
func (balancer *Balancer) Acquire(ctx context.Context, request Request) (*Lease, error) {
	balancer.mutex.Lock()
	now := balancer.elapsed()
	chosen, found := balancer.pickService(request.Route)
	if !found {
		balancer.mutex.Unlock()
		return nil, rejection("no runner takes work of route "+request.Route.Name+" now", 500*time.Millisecond)
	}
	var delay time.Duration
	if !balancer.hasEarlierWaiter(chosen, request) {
		var lease *Lease
		if lease, delay = balancer.selectRunner(chosen, &request, now); lease != nil {
			balancer.mutex.Unlock()
			return lease, nil
		}
	}
	timeout := max(queueTimeout(request, balancer.now()), balancer.firstListWait(request, now))
	if delay > timeout || len(balancer.queue) >= maxWaiters {
		balancer.returnPick(request.Route, chosen.service.Name)
		balancer.mutex.Unlock()
		return nil, rejection("all runners of "+chosen.service.Name+" are busy", min(delay, maxRetryAfter))
	}
	one := balancer.enqueue(chosen, request, delay)
	balancer.mutex.Unlock()
	return balancer.await(ctx, one, timeout, delay)
}

func rejection(message string, after time.Duration) error {
	return apierror.NewRetryable(apierror.NotRun, message, "ask again later; operators: check the runner list and emptied domains", max(after, 50*time.Millisecond))
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

// Status is what the runners bear of this front's queries.
type Status struct {
	Queued  int
	Runners []RunnerStatus
}

// RunnerStatus is what one runner bears of this front's queries, and how it stands.
type RunnerStatus struct {
	Runner    feed.Runner
	InFlight  int
	SlowStart bool
	Ejected   bool
}

// Status lists the usable runners with what is out at each, and counts who waits.
//
//	for _, one := range choices.Status().Runners { ... }
func (balancer *Balancer) Status() Status {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := balancer.elapsed()
	status := Status{Queued: len(balancer.queue)}
	for _, one := range balancer.topology.Load().services {
		for _, candidate := range one.candidates {
			status.Runners = append(status.Runners, RunnerStatus{
				Runner: candidate.runner, InFlight: candidate.state.inFlight,
				SlowStart: candidate.state.slowStart.active(now), Ejected: candidate.state.health.ejected(now),
			})
		}
	}
	slices.SortFunc(status.Runners, func(one, other RunnerStatus) int {
		return compareStrings(runnerKey(one.Runner), runnerKey(other.Runner))
	})
	return status
}
