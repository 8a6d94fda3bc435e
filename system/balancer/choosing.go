package balancer

import (
	"math"
	"slices"
	"time"

	"yardrock.example/system/config"
)

const (
	// distanceModel and distancePlain are what the way to another domain costs, in
	// milliseconds and as a part of the time that plain work takes: bytes between domains
	// and connections to many runners cost beside time.
	distanceModel = 10
	distancePlain = 0.15
	// connectingModel and connectingPlain are what a new connection costs, in
	// milliseconds and as a part of the time that plain work takes, with what it costs
	// beside time.
	connectingModel = 8
	connectingPlain = 0.2
	// runningPart is how much slower a model runner gets with each query that it runs.
	runningPart = 0.02
	// While a prompt is read, the queries that run beside it are held up in part: reading
	// costs this much more with each that a runner of the service has, at most so much.
	burdenPart = 0.15
	burdenMost = 2
	// fullPart is how much slower a plain runner is when its slots are all taken.
	fullPart = 1
	// agreedLeast and agreedPart are what it is worth, in milliseconds and as a part of
	// the time to read the prompt, to go where the other fronts send a program's turns.
	agreedLeast = 6
	agreedPart  = 0.25
	// stickyPart is what a runner saves that has seen the subject, and stickyHope what
	// the one may save that other fronts send it to.
	stickyPart = 0.3
	stickyHope = 0.1
	// unreadPart is how much of others' reading is waited for.
	unreadPart = 0.7
	// queueFactor is how many times its slots a runner is thought to take at most.
	queueFactor = 4
	// Above this part of what a cold runner would bear, more queries cost: it may have
	// become cold without having been noticed.
	spreadFrom = 0.6
	spreadCost = 120 // milliseconds at the bound
	// reportedHalf is how fast a reported load loses its weight.
	reportedHalf = 300 * time.Millisecond
	// What the rules bear of a cold runner, over all fronts.
	coldExcess = 1.5
	coldSlack  = 5
)

// pick turns the wheel of a route over the services that have usable runners: over any
// span each service's share stays within one of its weight.
func (balancer *Balancer) pick(asked *config.Route) (*group, bool) {
	current := balancer.table.Load()
	route := current.routes[asked.Name]
	if route == nil {
		route = asked
	}
	total, usable := 0.0, 0
	var only *group
	for _, share := range route.Shares {
		if one := current.groups[share.Service]; one != nil && share.Weight > 0 && len(one.candidates) > 0 {
			total += share.Weight
			usable++
			only = one
		}
	}
	if usable <= 1 {
		delete(balancer.wheels, route.Name)
		return only, usable == 1
	}
	wheel, known := balancer.wheels[route.Name]
	if !known {
		wheel = map[string]float64{}
		balancer.wheels[route.Name] = wheel
	}
	var best *group
	for _, share := range route.Shares {
		one := current.groups[share.Service]
		if one == nil || share.Weight <= 0 || len(one.candidates) == 0 {
			delete(wheel, share.Service)
			continue
		}
		wheel[share.Service] += share.Weight / total
		if best == nil || wheel[share.Service] > wheel[best.service.Name] {
			best = one
		}
	}
	for name := range wheel {
		if !slices.ContainsFunc(route.Shares, func(share config.WeightedService) bool { return share.Service == name }) {
			delete(wheel, name)
		}
	}
	wheel[best.service.Name]--
	return best, true
}

// unpick gives a turn of the wheel back that was not used.
func (balancer *Balancer) unpick(asked *config.Route, service string) {
	if wheel, known := balancer.wheels[asked.Name]; known {
		wheel[service]++
	}
}

// choose takes the runner with the least expected time. Without one that may be taken
// now it tells in how long there may be one.
func (balancer *Balancer) choose(from *group, need *Need, now time.Duration) (*Lease, time.Duration) {
	balancer.markKept(from, need, now)
	weigh := balancer.weighing(from, need, now)
	listed := balancer.listedUntil()
	var best, last *candidate
	bestCost, lastCost, opens := math.Inf(1), math.Inf(1), time.Duration(math.MaxInt64)
	for at := range from.candidates {
		one := &from.candidates[at]
		if one.state.misdirected || slices.Contains(need.Avoid, one.runner.Life) || slices.Contains(need.Avoid, one.runner.Address) {
			continue
		}
		cold, ill := one.state.cold.opens(listed, now), one.state.health.opens(now)
		cost := weigh.cost(one)
		if weigh.full(one) {
			room := time.Duration(weigh.duration / float64(one.slots) * float64(time.Millisecond))
			opens = min(opens, max(cold, ill, room))
			continue
		}
		switch {
		case cold > 0:
			opens = min(opens, max(cold, ill))
		case ill > 0:
			opens = min(opens, ill)
			if one.state.health.full <= now && cost+milliseconds(ill) < lastCost {
				last, lastCost = one, cost+milliseconds(ill)
			}
		case cost < bestCost:
			best, bestCost = one, cost
		}
	}
	if best == nil && last != nil {
		// All are avoided: one that may be well again is better than none.
		best = last
	}
	if best == nil {
		return nil, opens
	}
	return balancer.grant(from, best, need, now), 0
}

// weighing holds what the cost of all candidates for one query rests on.
type weighing struct {
	balancer *Balancer
	from     *group
	now      time.Duration
	engine   bool
	tokens   float64
	rate     float64 // tokens read in a millisecond
	burden   float64 // what reading a token costs all that run, against what it costs one
	duration float64 // milliseconds
	fronts   float64
	domains  float64
	// domainLoad is what the fronts of another domain have out at each of its runners,
	// if they are like this one; less than 0: this front has too few runners near.
	domainLoad float64
	others     float64 // what the other fronts have out at a runner, if they are like this one
	arrivals   float64 // what they sent to it in the last second
	bound      float64
	agreed     *runnerState
	bonus      float64
}

func (balancer *Balancer) weighing(from *group, need *Need, now time.Duration) weighing {
	runners, fronts := float64(len(from.candidates)), float64(balancer.table.Load().fronts)
	weigh := weighing{balancer: balancer, from: from, now: now, engine: from.service.Engine != nil, fronts: fronts, bound: math.Inf(1)}
	weigh.others = (fronts - 1) * from.state.load.now(float64(from.state.out), now) / runners
	if from.service.WarmUpRate > 0 {
		weigh.bound = coldExcess*from.service.WarmUpRate + coldSlack
		weigh.arrivals = (fronts - 1) * from.state.arrivals.now(now) / runners
	}
	weigh.domains, weigh.domainLoad = float64(from.domains), -1
	if from.nearby {
		weigh.domainLoad = fronts / weigh.domains * from.state.load.now(float64(from.state.out), now) / float64(from.near)
	}
	line := lineOf(need, weigh.engine)
	if weigh.engine {
		weigh.tokens, weigh.rate, weigh.duration = tokensOf(need), from.state.reading.rate(), from.state.duration.or(200)
		weigh.burden = 1 + math.Min(burdenMost, burdenPart*fronts*from.state.load.now(float64(from.state.out), now)/runners)
		weigh.bonus = agreedLeast + agreedPart*weigh.tokens/weigh.rate
	} else {
		weigh.duration = from.state.usual(need.Route.Name)
		weigh.bonus = stickyHope * weigh.duration
		if last, found := balancer.places.get(line); found && line != 0 && last.listed {
			weigh.agreed, weigh.bonus = last, stickyPart*weigh.duration
			return weigh
		}
	}
	if line != 0 {
		weigh.agreed = from.agreed(line)
	}
	return weigh
}

// agreed is the runner that all fronts of a domain choose for a line of turns, by
// rendezvous hashing.
func (from *group) agreed(line uint64) *runnerState {
	var best *runnerState
	highest := uint64(0)
	for at := range from.candidates {
		one := &from.candidates[at]
		if from.nearby && !one.near {
			continue
		}
		if weight := mixed(line ^ one.state.hash); best == nil || weight > highest {
			best, highest = one.state, weight
		}
	}
	return best
}

// load is how many queries a runner is thought to have, running and waiting.
func (weigh *weighing) load(one *candidate) float64 {
	state, others := one.state, weigh.others
	if !weigh.engine {
		// Any front sends plain work as this one does, and each prefers its own domain;
		// turns go where their parts are.
		others = (weigh.fronts - 1) * state.load.now(float64(state.out), weigh.now)
		switch {
		case weigh.domainLoad < 0:
		case one.near:
			others /= weigh.domains
		default:
			others = weigh.domainLoad
		}
	}
	if state.reportedEver {
		reported := math.Max(0, float64(state.reported.Running+state.reported.Waiting-state.reportedOut))
		others += (reported - others) * fading(weigh.now-state.reportedAt, reportedHalf)
	}
	return float64(state.out) + others
}

// full tells whether a runner would turn one more query away or has no connection for
// it. What other fronts may have out is not counted: the runner says so itself at once.
func (weigh *weighing) full(one *candidate) bool {
	state, most := one.state, queueFactor*one.slots
	reported := state.reportedEver && weigh.now-state.reportedAt < reportedHalf && state.reported.Running+state.reported.Waiting+state.out-state.reportedOut >= most
	return reported || state.out >= min(most, one.connections)
}

// cost is how many milliseconds a query is expected to take at a runner, beside what
// it takes at all of them.
func (weigh *weighing) cost(one *candidate) float64 {
	state, now := one.state, weigh.now
	load, fresh := weigh.load(one), state.out >= state.open.now(now)
	cost := failureCost * state.health.chance(now)
	cost += weigh.duration * math.Max(0, load-float64(one.slots)+1) / float64(one.slots)
	if weigh.engine {
		cost += weigh.burden*(weigh.tokens-float64(weigh.balancer.keptBy(state)))/weigh.rate + unreadPart*state.unread/weigh.rate
		cost += weigh.duration*runningPart*load + math.Max(0, state.slowness.now(now))
		if !one.near {
			cost += distanceModel
		}
		if fresh {
			cost += connectingModel
		}
	} else {
		full := math.Min(1, load/float64(one.slots))
		cost += weigh.duration * (1 + state.slowness.now(now) + fullPart*full*full)
		cost += weigh.balancer.random.Float64() * 0.05 * weigh.duration
		if !one.near {
			cost += distancePlain * weigh.duration
		}
		if fresh {
			cost += connectingPlain * weigh.duration
		}
	}
	if over := (state.arrivals.now(now)+weigh.arrivals)/weigh.bound - spreadFrom; over > 0 {
		cost += spreadCost * over / (1 - spreadFrom)
	}
	if state == weigh.agreed {
		cost -= weigh.bonus
	}
	return cost
}
