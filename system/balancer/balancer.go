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
	// connectionShare is the part of a runner's connections that the fronts share out.
	connectionShare  = 0.8
	connectionsLeast = 2
	slotsAssumed     = 8
	// stateKept is how long what was learned of a runner that left the list is kept.
	stateKept = 30 * time.Second
)

// Balancer chooses runners for the queries of one front. All methods may be called
// from many goroutines.
type Balancer struct {
	domain  string
	now     func() time.Time
	started time.Time
	table   atomic.Pointer[table]

	mutex   sync.Mutex
	random  *rand.Rand
	seed    uint64
	runners map[string]*runnerState
	groups  map[string]*groupState
	wheels  map[string]map[string]float64 // by route, then by service
	domains map[string]feed.Domain        // as last seen
	fronts  frontSet
	// listRead tells when the runner list was read last; nil: it is always current.
	listRead func() time.Time
	parts    memory[*keptPart]
	places   memory[*runnerState] // where a line of turns went last
	waiting  []*waiter
	epoch    uint64 // of the marks in runnerState
}

// table is what Update made of a State; it is never changed afterwards.
type table struct {
	groups map[string]*group
	routes map[string]*config.Route
	usable map[*runnerState]bool
	fronts int
}

// group is a service with its usable runners.
type group struct {
	service    *config.Service
	state      *groupState
	candidates []candidate
	slots      int
	domains    int  // in which they are
	near       int  // how many are in this front's domain
	nearby     bool // whether the nearby runners are enough to be agreed on alone
}

// candidate is one usable runner.
type candidate struct {
	runner      feed.Runner
	state       *runnerState
	slots       int
	connections int
	near        bool
}

// groupState is what was learned of a service as a whole.
type groupState struct {
	known    bool // it has had runners
	out      int
	load     smoothed   // of out
	reading  regression // milliseconds to the first event by tokens to read
	duration average    // milliseconds
	routes   map[string]*average
	arrivals counter // queries
	tokens   counter // new tokens of prompts
}

// runnerState is what this front knows of one life of a runner.
type runnerState struct {
	hash         uint64
	seen         time.Duration // when it was last on the list
	listed       bool
	out          int
	load         smoothed // of out
	open         connections
	unread       float64 // tokens of prompts whose first event has not come
	arrivals     counter
	cold         coldness
	health       health
	slowness     decaying // milliseconds over what is usual; of plain work, in parts of it
	reported     runnerpool.Load
	reportedAt   time.Duration
	reportedOut  int
	reportedEver bool
	misdirected  bool

	epoch uint64 // of depth and kept
	depth int
	kept  int
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
		runners: map[string]*runnerState{}, groups: map[string]*groupState{},
		wheels: map[string]map[string]float64{}, domains: map[string]feed.Domain{},
	}
	balancer.table.Store(&table{})
	return balancer
}

// clock gives the time since the balancer was made.
func (balancer *Balancer) clock() time.Duration { return balancer.now().Sub(balancer.started) }

// Update replaces what the choices rest on: to be called on every newer view or
// routing and whenever the live fronts change.
//
//	choices.Update(balancer.State{View: view, Routes: routes, Fronts: 6})
func (balancer *Balancer) Update(state State) {
	if state.View == nil || state.Routes == nil {
		return
	}
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := balancer.clock()
	balancer.fronts.note(state, now)
	refilled := balancer.refilled(state.View)
	next := &table{groups: map[string]*group{}, routes: map[string]*config.Route{}, usable: map[*runnerState]bool{}, fronts: max(1, state.Fronts)}
	for at := range state.Routes.Routes {
		route := &state.Routes.Routes[at]
		next.routes[route.Name] = route
	}
	for at := range state.Routes.Services {
		service := &state.Routes.Services[at]
		learned, known := balancer.groups[service.Name]
		if !known {
			learned = &groupState{routes: map[string]*average{}}
			balancer.groups[service.Name] = learned
		}
		next.groups[service.Name] = &group{service: service, state: learned}
	}
	for _, one := range balancer.runners {
		one.listed = false
	}
	balancer.enlist(state, next, refilled, now)
	for key, one := range balancer.runners {
		if !one.listed && one.out == 0 && now-one.seen > stateKept {
			delete(balancer.runners, key)
		}
	}
	for name := range balancer.wheels {
		if next.routes[name] == nil {
			delete(balancer.wheels, name)
		}
	}
	for name := range balancer.groups {
		if next.groups[name] == nil {
			delete(balancer.groups, name)
		}
	}
	balancer.table.Store(next)
	balancer.serveWaiting(now)
}

// enlist puts the usable runners of a view into the groups of a table.
func (balancer *Balancer) enlist(state State, next *table, refilled map[string]bool, now time.Duration) {
	for _, runner := range state.View.Runners {
		into := next.groups[runner.Group]
		if into == nil {
			continue
		}
		one, found := balancer.runners[keyOf(runner)]
		if !found {
			one = &runnerState{hash: hashOf(keyOf(runner))}
			one.cold.share = balancer.fronts.shareOf(one.hash, into.service.WarmUpRate, balancer.seed, now)
			balancer.runners[keyOf(runner)] = one
		}
		fresh := !found && into.state.known || found && runner.Life == "" && one.seen != balancer.fronts.updated
		one.cold.note(runner, into.service, fresh, refilled[runner.Domain], now)
		one.cold.share.set(balancer.fronts.now.shareOf(one.hash, into.service.WarmUpRate, balancer.seed), now)
		one.seen, one.listed = now, true
		if runner.State == feed.StateDraining || state.View.DomainDrained(runner.Domain) || one.misdirected {
			continue
		}
		slots := int(runner.Slots)
		if slots == 0 && into.service.Engine != nil {
			slots = into.service.Engine.Slots
		}
		if slots <= 0 {
			slots = slotsAssumed
		}
		next.usable[one] = true
		into.slots += slots
		into.candidates = append(into.candidates, candidate{
			runner: runner, state: one, slots: slots, near: runner.Domain == balancer.domain,
			connections: connectionsOf(into.service, next.fronts),
		})
	}
	balancer.fronts.updated = now
	for _, runner := range state.View.Runners {
		if into := next.groups[runner.Group]; into != nil {
			into.state.known = true
		}
	}
	for _, one := range next.groups {
		domains, near := map[string]bool{}, 0
		for _, candidate := range one.candidates {
			domains[candidate.runner.Domain] = true
			if candidate.near {
				near++
			}
		}
		one.domains, one.near = len(domains), near
		one.nearby = 2*near*len(domains) >= len(one.candidates) && near > 0
	}
}

func connectionsOf(service *config.Service, fronts int) int {
	if service.MaxConnections <= 0 {
		return math.MaxInt32
	}
	return max(connectionsLeast, int(connectionShare*float64(service.MaxConnections)/float64(fronts)))
}

func keyOf(runner feed.Runner) string {
	if runner.Life != "" {
		return runner.Life
	}
	return runner.Group + "/" + runner.Address
}

// refilled tells which domains take work again since the last view: their runners may
// have become cold in the meantime.
func (balancer *Balancer) refilled(view *feed.View) map[string]bool {
	refilled := map[string]bool{}
	for _, domain := range view.Domains {
		before, known := balancer.domains[domain.Name]
		changed := before.State == feed.StateDrained || known && before.Since != domain.Since || !known && domain.Since != 0
		if domain.State != feed.StateDrained && changed {
			refilled[domain.Name] = true
		}
		balancer.domains[domain.Name] = domain
	}
	return refilled
}

// Lease is the right to send one query to a runner. Release must be called once.
type Lease struct {
	Runner  feed.Runner
	Service *config.Service
	// Connections is how many connections this front may hold to the runner.
	Connections int

	balancer  *Balancer
	group     *groupState
	state     *runnerState
	need      Need
	line      uint64
	taken     time.Duration
	toRead    float64 // tokens of the prompt that the runner had not kept, as was thought
	first     bool
	released  bool
	fromCold  bool
	trial     bool
	partsKept bool
}

// Acquire chooses a runner for a query. While no runner can take it, it may wait a
// little, by urgency and then by the time left. A refusal is NotRun and tells when to
// come back.
//
//	lease, err := choices.Acquire(ctx, balancer.Need{Route: route, Deadline: deadline})
//	if err != nil { return err }
//	defer func() { lease.Release(ending, nil) }()
func (balancer *Balancer) Acquire(ctx context.Context, need Need) (*Lease, error) {
	balancer.mutex.Lock()
	now := balancer.clock()
	chosen, found := balancer.pick(need.Route)
	if !found {
		balancer.mutex.Unlock()
		return nil, refusal("no runner takes work of route "+need.Route.Name+" now", 500*time.Millisecond)
	}
	var opens time.Duration
	if !balancer.someoneBefore(chosen, need) {
		var lease *Lease
		if lease, opens = balancer.choose(chosen, &need, now); lease != nil {
			balancer.mutex.Unlock()
			return lease, nil
		}
	}
	timeout := max(timeoutOf(need, balancer.now()), balancer.awaitsList(need, now))
	if opens > timeout || len(balancer.waiting) >= waitersMost {
		balancer.unpick(need.Route, chosen.service.Name)
		balancer.mutex.Unlock()
		return nil, refusal("all runners of "+chosen.service.Name+" are busy", min(opens, retryAfterMost))
	}
	one := balancer.enqueue(chosen, need, opens)
	balancer.mutex.Unlock()
	return balancer.await(ctx, one, timeout, opens)
}

func refusal(message string, after time.Duration) error {
	return apierror.NewRetryable(apierror.NotRun, message, "ask again later; operators: check the runner list and emptied domains", max(after, 50*time.Millisecond))
}

// grant makes the lease of a candidate.
func (balancer *Balancer) grant(from *group, one *candidate, need *Need, now time.Duration) *Lease {
	state := one.state
	kept := balancer.keptBy(state)
	toRead := math.Max(0, tokensOf(need)-float64(kept))
	lease := &Lease{
		Runner: one.runner, Service: from.service, Connections: one.connections,
		balancer: balancer, group: from.state, state: state, need: *need, line: lineOf(need, from.service.Engine != nil), taken: now, toRead: toRead,
	}
	lease.fromCold = state.cold.take(balancer.listedUntil(), now)
	lease.trial = state.health.take(now)
	state.load.now(float64(state.out), now)
	state.out++
	state.open.note(state.out, now)
	state.unread += toRead
	from.state.load.now(float64(from.state.out), now)
	from.state.out++
	state.arrivals.add(1, now)
	from.state.arrivals.add(1, now)
	from.state.tokens.add(toRead, now)
	if lease.line != 0 {
		balancer.places.put(lease.line, state)
	}
	return lease
}

// Stands tells, by the newest state, whether the query may still be sent: the runner
// is listed, not leaving, its domain not emptied, and its service is still in the
// shares of the route. It is to be asked right before the first byte is sent.
//
//	if !lease.Stands() { ... }
func (lease *Lease) Stands() bool {
	now := lease.balancer.table.Load()
	if !now.usable[lease.state] {
		return false
	}
	asked, route := lease.need.Route, now.routes[lease.need.Route.Name]
	if route == nil || route.Host != asked.Host || route.Prefix != asked.Prefix || now.groups[lease.Service.Name] == nil {
		return false
	}
	return lease.Serves(route)
}

// Serves tells whether the lease's service is in the shares of a route: to be asked when
// another route than the one that the lease was acquired for is in force for the query.
//
//	if !lease.Stands() || !lease.Serves(route) { ... }
func (lease *Lease) Serves(route *config.Route) bool {
	return slices.ContainsFunc(route.Shares, func(share config.WeightedService) bool {
		return share.Service == lease.Service.Name && share.Weight > 0
	})
}

// First tells how long the first event of an answer took, from when the query was
// sent. Only the first call counts.
//
//	lease.First(time.Since(sent))
func (lease *Lease) First(took time.Duration) {
	lease.balancer.mutex.Lock()
	defer lease.balancer.mutex.Unlock()
	if lease.first || lease.released {
		return
	}
	lease.first = true
	lease.read()
	if lease.Service.Engine == nil {
		return
	}
	now := lease.balancer.clock()
	lease.learnFirst(milliseconds(took), now)
}

// read notes that the runner has read the prompt.
func (lease *Lease) read() {
	if lease.partsKept {
		return
	}
	lease.partsKept = true
	lease.state.unread = math.Max(0, lease.state.unread-lease.toRead)
	lease.balancer.keep(lease.need.Parts, lease.state)
}

// Release gives the place back and tells how the dispatch ended; load is what the
// runner reported of itself, or nil. Only the first call counts.
//
//	lease.Release(balancer.Answered, answer.Load)
func (lease *Lease) Release(ending Ending, load *runnerpool.Load) {
	balancer := lease.balancer
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	if lease.released {
		return
	}
	now, state := balancer.clock(), lease.state
	if ending == Answered {
		lease.read()
	}
	lease.released = true
	state.load.now(float64(state.out), now)
	state.out--
	lease.group.load.now(float64(lease.group.out), now)
	lease.group.out--
	if !lease.partsKept {
		state.unread = math.Max(0, state.unread-lease.toRead)
	}
	if load != nil {
		state.reported, state.reportedAt, state.reportedOut, state.reportedEver = *load, now, state.out, true
	}
	lease.learn(ending, now)
	balancer.serveWaiting(now)
}

// Demand is what the runners bear of this front's queries.
type Demand struct {
	Waiting int
	Runners []RunnerDemand
}

// RunnerDemand is what one runner bears of this front's queries, and how it stands.
type RunnerDemand struct {
	Runner  feed.Runner
	Out     int
	Cold    bool
	Ejected bool
}

// Demand lists the usable runners with what is out at each, and counts who waits.
//
//	for _, one := range choices.Demand().Runners { ... }
func (balancer *Balancer) Demand() Demand {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := balancer.clock()
	demand := Demand{Waiting: len(balancer.waiting)}
	for _, one := range balancer.table.Load().groups {
		for _, candidate := range one.candidates {
			demand.Runners = append(demand.Runners, RunnerDemand{
				Runner: candidate.runner, Out: candidate.state.out,
				Cold: candidate.state.cold.is(now), Ejected: candidate.state.health.ejected(now),
			})
		}
	}
	slices.SortFunc(demand.Runners, func(one, other RunnerDemand) int {
		return compareText(keyOf(one.Runner), keyOf(other.Runner))
	})
	return demand
}
