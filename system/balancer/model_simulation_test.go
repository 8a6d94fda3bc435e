package balancer

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

// deployment are the parameters of a simulation.
type deployment struct {
	name                          string
	runners, slots, cache, fronts int
	stepTime, perSlot, first      float64
	programs                      float64 // a second
	turns, think, newTokens       float64
	helpers                       float64
	stays                         float64 // fraction of the turns that come through the program's first front
	slowRunner                    float64
	random                        bool // choose at random
	locations                     bool // sessions tell where their conversation is cached
	seconds                       float64
}

type simulationResult struct {
	turns, rejected, crossDomain int
	prefillTokens, tokens        int // not cached, and of all prompts
	firstEventLatencies, ratios  []float64
	peak                         int // arrivals at one runner in one second
	perRunner                    map[string]int
	arrivals                     map[string][]time.Time
	slowTurns, newTokens         int
	connectionsOpened            int // connections
}

func (result *simulationResult) meanFirstEvent() float64 { return mean(result.firstEventLatencies) }

func (result *simulationResult) String() string {
	return fmt.Sprintf("turns %d rejected %d cross-domain %.2f cached %.3f first mean %.1f p90 %.1f p99 %.1f program mean %.3f p90 %.3f most %d slow %d connections %d",
		result.turns, result.rejected, float64(result.crossDomain)/float64(result.turns), result.cachedFraction(),
		result.meanFirstEvent(), quantile(result.firstEventLatencies, 0.9), quantile(result.firstEventLatencies, 0.99), mean(result.ratios), quantile(result.ratios, 0.9), result.peak, result.slowTurns, result.connectionsOpened)
}

// modelSimulation is a simulation of fronts, programs and model runners.
type modelSimulation struct {
	*simulation
	setup         deployment
	route         config.Route
	listed        []feed.Runner
	runners       map[string]*modelRunner
	balancers     []*Balancer      // by front
	homes         map[string][]int // fronts by domain
	prefixWeights []float64
	connections   *connectionCount
	programs      int
	result        *simulationResult
}

// conversation is what is left of a session of a program: turns that follow each other.
type conversation struct {
	program, session string
	front            int   // through which most turns come
	home             []int // the other fronts of its domain
	parts            []PromptPart
	cachedAt         CacheLocation
	left             int // turns
	done             func()
}

// simulateModel simulates a deployment of model runners.
func simulateModel(seed uint64, setup deployment) *simulationResult {
	sim := newModelSimulation(seed, setup)
	sim.startPrograms()
	sim.run(setup.seconds * 1000)
	sim.result.connectionsOpened = sim.connections.opened
	for _, arrivals := range sim.result.arrivals {
		sim.result.peak = max(sim.result.peak, peakPerSecond(arrivals))
	}
	return sim.result
}

func newModelSimulation(seed uint64, setup deployment) *modelSimulation {
	sim := &modelSimulation{
		simulation: &simulation{random: rand.New(rand.NewPCG(seed, 3))}, setup: setup,
		route: routeTo(config.WeightedService{Service: "model", Weight: 1}), listed: runnersOf("model", setup.runners, setup.slots),
		runners: map[string]*modelRunner{}, homes: map[string][]int{}, prefixWeights: make([]float64, 16), connections: newConnectionCount(),
		result: &simulationResult{perRunner: map[string]int{}, arrivals: map[string][]time.Time{}},
	}
	service := modelService(19)
	service.Engine.Slots, service.Engine.CacheTokens = setup.slots, uint64(setup.cache)
	for index, runner := range sim.listed {
		sim.runners[runner.Life] = &modelRunner{
			sim: sim.simulation, slots: setup.slots, chunk: 2048, stepTime: setup.stepTime, perSlot: setup.perSlot, rate: 38,
			outputLatency: setup.first, cacheTokens: setup.cache, cachedParts: map[string]*cacheEntry{}, slowdown: 1,
		}
		if index == 1 && setup.slowRunner > 0 {
			sim.runners[runner.Life].slowdown = setup.slowRunner
		}
	}
	state := stateOf([]config.Service{service}, sim.route, sim.listed, setup.fronts)
	for front := range setup.fronts {
		domain := domains[front%3]
		balancer := New(domain, uint64(front), sim.clock)
		balancer.Update(state)
		sim.balancers = append(sim.balancers, balancer)
		sim.homes[domain] = append(sim.homes[domain], front)
	}
	for index := range sim.prefixWeights {
		sim.prefixWeights[index] = math.Pow(float64(index/2+1), -0.7)
	}
	return sim
}

// startPrograms starts a program and schedules the next one.
func (sim *modelSimulation) startPrograms() {
	sim.schedule(sim.random.ExpFloat64()*1000/sim.setup.programs, sim.startPrograms)
	sim.programs++
	name, home := fmt.Sprint("program-", sim.programs), sim.homes[domains[sim.random.IntN(3)]]
	pick, prefix := sim.random.Float64()*sum(sim.prefixWeights), 0
	for pick > sim.prefixWeights[prefix] {
		pick -= sim.prefixWeights[prefix]
		prefix++
	}
	turns, started := max(1, int(sim.spread(sim.setup.turns, 0.4))), sim.now
	sim.takeTurn(conversation{
		program: name, session: name, front: home[sim.random.IntN(len(home))], home: home,
		parts: []PromptPart{{fmt.Sprint("prefix-", prefix), 2560}}, left: turns,
		done: func() {
			unloaded := float64(turns) * (sim.setup.think + sim.setup.first + sim.setup.newTokens/38 + 34*(sim.setup.stepTime+sim.setup.perSlot))
			sim.result.ratios = append(sim.result.ratios, (sim.now-started)/unloaded)
		},
	})
}

// takeTurn sends the next turn of a conversation, or ends the conversation.
func (sim *modelSimulation) takeTurn(talk conversation) {
	if talk.left == 0 {
		talk.done()
		return
	}
	fresh := min(5140, int(sim.spread(sim.setup.newTokens, 0.7)))
	before := talk
	talk.parts = append(slices.Clone(talk.parts), PromptPart{fmt.Sprintf("%s/%d", talk.session, talk.left), fresh})
	front := talk.front
	if sim.random.Float64() >= sim.setup.stays {
		front = talk.home[sim.random.IntN(len(talk.home))]
	}
	request := Request{Route: &sim.route, Program: talk.program, Session: talk.session, PromptParts: talk.parts, Deadline: sim.clock()}
	if sim.setup.locations {
		request.CachedAt = talk.cachedAt
	}
	lease, err := sim.balancers[front].Acquire(context.Background(), request)
	if err != nil {
		sim.result.rejected++
		sim.schedule(200, func() { sim.takeTurn(before) })
		return
	}
	chosen := lease.Runner
	if sim.setup.random {
		lease.Release(NotSent, nil)
		lease = nil
		chosen = sim.listed[sim.random.IntN(len(sim.listed))]
	}
	sim.sendTurn(talk, lease, chosen, front, fresh)
}

// sendTurn sends a turn to a runner; the lease is nil if the runner was chosen at random.
func (sim *modelSimulation) sendTurn(talk conversation, lease *Lease, chosen feed.Runner, front, fresh int) {
	way, result := 0.2, sim.result
	if chosen.Domain != domains[front%3] {
		way = 0.9
		result.crossDomain++
	}
	link := fmt.Sprint(front, chosen.Life)
	sim.connections.take(link, sim.now)
	requested, runner := sim.now, sim.runners[chosen.Life]
	sent := &turn{parts: talk.parts, outputTokens: 2 + int(sim.spread(32, 0.8)), requested: requested}
	sim.countTurn(talk.parts, chosen.Life, fresh)
	talk.cachedAt = CacheLocation{Runner: chosen.Life}
	for _, part := range talk.parts {
		talk.cachedAt.Tokens += part.Tokens
	}
	sent.first = func() {
		sim.schedule(way, func() {
			result.firstEventLatencies = append(result.firstEventLatencies, sim.now-requested)
			if lease != nil {
				lease.FirstEvent(time.Duration((sim.now - requested) * float64(time.Millisecond)))
			}
		})
	}
	sent.done = func() {
		sim.schedule(way, func() {
			sim.connections.putBack(link, sim.now)
			if lease != nil {
				lease.Release(Answered, nil)
			}
			sim.goOn(talk)
		})
	}
	sim.schedule(way, func() { runner.accept(sent) })
}

// countTurn counts a turn and its tokens.
func (sim *modelSimulation) countTurn(parts []PromptPart, incarnation string, fresh int) {
	result, runner := sim.result, sim.runners[incarnation]
	result.turns++
	result.perRunner[incarnation]++
	result.arrivals[incarnation] = append(result.arrivals[incarnation], sim.clock())
	if runner.slowdown > 1 {
		result.slowTurns++
	}
	uncached := false
	for _, part := range parts {
		result.tokens += part.Tokens
		if uncached = uncached || runner.cachedParts[part.Name] == nil; uncached {
			result.prefillTokens += part.Tokens
		}
	}
	result.newTokens += fresh
}

// goOn continues a conversation after a turn: at once through three helpers, or after a
// while with the next turn.
func (sim *modelSimulation) goOn(talk conversation) {
	next := talk
	next.left--
	if talk.left == 1 || sim.random.Float64() >= sim.setup.helpers {
		sim.schedule(sim.spread(sim.setup.think, 0.6), func() { sim.takeTurn(next) })
		return
	}
	open := 3
	for number := range open {
		helper := talk
		helper.session, helper.left = fmt.Sprintf("%s.%d.%d", talk.session, talk.left, number), 2
		helper.done = func() {
			if open--; open == 0 {
				sim.takeTurn(next)
			}
		}
		sim.takeTurn(helper)
	}
}

func sum(values []float64) float64 { return mean(values) * float64(len(values)) }

var deployments = []deployment{
	{name: "twelve runners", runners: 12, slots: 32, cache: 197_627, fronts: 6, stepTime: 4.73, perSlot: 0.0138, first: 20, programs: 18, turns: 5.6, think: 250, newTokens: 800, helpers: 0.03, stays: 0.9, seconds: 20},
	{name: "eighteen runners", runners: 18, slots: 64, cache: 219_089, fronts: 6, stepTime: 4.63, perSlot: 0.153, first: 10, programs: 27, turns: 5.6, think: 200, newTokens: 900, helpers: 0.04, stays: 0.9, seconds: 20},
	{name: "eighteen runners, fronts by chance", runners: 18, slots: 64, cache: 219_089, fronts: 6, stepTime: 4.63, perSlot: 0.153, first: 10, programs: 27, turns: 5.6, think: 200, newTokens: 900, helpers: 0.04, stays: 0, seconds: 20},
	{name: "eighteen runners, twice the programs", runners: 18, slots: 64, cache: 219_089, fronts: 6, stepTime: 4.63, perSlot: 0.153, first: 10, programs: 54, turns: 5.6, think: 200, newTokens: 900, helpers: 0.04, stays: 0.9, seconds: 15},
	{name: "small caches", runners: 18, slots: 64, cache: 40_000, fronts: 6, stepTime: 4.63, perSlot: 0.153, first: 10, programs: 27, turns: 5.6, think: 200, newTokens: 900, helpers: 0.04, stays: 0.9, seconds: 15},
	{name: "one slow runner", runners: 12, slots: 32, cache: 197_627, fronts: 6, stepTime: 4.73, perSlot: 0.0138, first: 20, programs: 18, turns: 5.6, think: 250, newTokens: 800, helpers: 0.03, stays: 0.9, slowRunner: 5, seconds: 20},
	{name: "many fronts", runners: 72, slots: 12, cache: 171_035, fronts: 48, stepTime: 4.63, perSlot: 0.153, first: 10, programs: 87, turns: 5.6, think: 200, newTokens: 900, helpers: 0.04, stays: 0.9, seconds: 10},
}

// cachedFraction returns which part of the tokens that some runner could have cached were.
func (result *simulationResult) cachedFraction() float64 {
	return 1 - float64(result.prefillTokens-result.newTokens)/float64(max(1, result.tokens-result.newTokens))
}

// TestConversationsFindTheirRunnerThroughOtherFronts simulates a fleet of many fronts, each
// with few requests, whose callers come through another front at more than every other turn.
// What a front itself knows is of little use then.
func TestConversationsFindTheirRunnerThroughOtherFronts(t *testing.T) {
	setup := deployment{
		runners: 56, slots: 32, cache: 182_577, fronts: 60, stepTime: 5.55, perSlot: 0.029, first: 10, programs: 85, turns: 6, think: 150,
		newTokens: 760, helpers: 0.03, stays: 0.45, seconds: 12,
	}
	for seed := range uint64(3) {
		setup.locations = false
		unlocated := simulateModel(seed, setup)
		setup.locations = true
		located := simulateModel(seed, setup)
		t.Logf("located:   %v", located)
		t.Logf("unlocated: %v", unlocated)
		if located.cachedFraction() < 0.9 {
			t.Errorf("seed %d: %.3f of what was cached somewhere was used", seed, located.cachedFraction())
		}
		if unlocated.cachedFraction() > located.cachedFraction() || mean(located.ratios) > 0.9*mean(unlocated.ratios) {
			t.Errorf("seed %d: programs took %.3f times their unloaded time with the location, %.3f without", seed, mean(located.ratios), mean(unlocated.ratios))
		}
	}
}

func TestSelectionUsesPrefixCacheAndSpreadsLoad(t *testing.T) {
	for _, setup := range deployments {
		t.Run(setup.name, func(t *testing.T) {
			chosen := simulateModel(5, setup)
			setup.random = true
			byChance := simulateModel(5, setup)
			t.Logf("chosen:    %v", chosen)
			t.Logf("by chance: %v", byChance)
			if chosen.meanFirstEvent() > 0.8*byChance.meanFirstEvent() || mean(chosen.ratios) > mean(byChance.ratios) {
				t.Errorf("choosing is not better than chance")
			}
			if chosen.rejected > 0 {
				t.Errorf("%d turns were rejected", chosen.rejected)
			}
		})
	}
}
