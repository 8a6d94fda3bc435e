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

// deployment holds the parameters of a simulation of model work.
type deployment struct {
	name                                        string
	runners, slots, cacheTokens, fronts         int
	stepTime, stepTimePerRequest, outputLatency float64
	programRate                                 float64 // new programs per second
	turns, thinkTime, newTokens                 float64
	helperRatio                                 float64 // fraction of the turns that are followed by helper sessions
	frontAffinity                               float64 // fraction of the turns that come through the program's first front
	slowRunnerFactor                            float64
	randomChoice                                bool // choose runners at random
	cacheLocations                              bool // requests carry Request.CachedAt
	seconds                                     float64
}

type simulationResult struct {
	turns, rejected, crossDomain        int
	prefillTokens, tokens               int // uncached tokens, and tokens of all prompts
	firstEventLatencies, durationRatios []float64
	peak                                int // most arrivals at one runner in any second
	perRunner                           map[string]int
	arrivals                            map[string][]time.Time
	slowTurns, newTokens                int
	connectionsOpened                   int
}

func (result *simulationResult) meanFirstEvent() float64 { return mean(result.firstEventLatencies) }

func (result *simulationResult) String() string {
	return fmt.Sprintf("turns %d rejected %d cross-domain %.2f cached %.3f first mean %.1f p90 %.1f p99 %.1f program mean %.3f p90 %.3f peak %d slow %d connections %d",
		result.turns, result.rejected, float64(result.crossDomain)/float64(result.turns), result.cachedFraction(),
		result.meanFirstEvent(), quantile(result.firstEventLatencies, 0.9), quantile(result.firstEventLatencies, 0.99), mean(result.durationRatios), quantile(result.durationRatios, 0.9), result.peak, result.slowTurns, result.connectionsOpened)
}

// modelSimulation is a simulation of fronts, programs and model runners.
type modelSimulation struct {
	*simulation
	setup          deployment
	route          config.Route
	listed         []feed.Runner
	runners        map[string]*modelRunner
	balancers      []*Balancer      // by front
	frontsByDomain map[string][]int // indexes into balancers
	prefixWeights  []float64
	connections    *connectionCount
	programs       int
	result         *simulationResult
}

// conversation is the remainder of a session of a program: a sequence of turns.
type conversation struct {
	program, session string
	front            int   // that receives most turns
	domainFronts     []int // all fronts of its domain
	parts            []PromptPart
	cachedAt         CacheLocation
	turnsLeft        int
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
		runners: map[string]*modelRunner{}, frontsByDomain: map[string][]int{}, prefixWeights: make([]float64, 16), connections: newConnectionCount(),
		result: &simulationResult{perRunner: map[string]int{}, arrivals: map[string][]time.Time{}},
	}
	service := modelService(19)
	service.Engine.Slots, service.Engine.CacheTokens = setup.slots, uint64(setup.cacheTokens)
	for index, runner := range sim.listed {
		sim.runners[runner.Incarnation] = &modelRunner{
			sim: sim.simulation, slots: setup.slots, prefillChunk: 2048, stepTime: setup.stepTime, stepTimePerRequest: setup.stepTimePerRequest, prefillRate: 38,
			outputLatency: setup.outputLatency, cacheTokens: setup.cacheTokens, cachedParts: map[string]*cacheEntry{}, slowdown: 1,
		}
		if index == 1 && setup.slowRunnerFactor > 0 {
			sim.runners[runner.Incarnation].slowdown = setup.slowRunnerFactor
		}
	}
	state := stateOf([]config.Service{service}, sim.route, sim.listed, setup.fronts)
	for front := range setup.fronts {
		domain := domains[front%3]
		balancer := New(domain, uint64(front), sim.clock)
		balancer.Update(state)
		sim.balancers = append(sim.balancers, balancer)
		sim.frontsByDomain[domain] = append(sim.frontsByDomain[domain], front)
	}
	for index := range sim.prefixWeights {
		sim.prefixWeights[index] = math.Pow(float64(index/2+1), -0.7)
	}
	return sim
}

// startPrograms starts a program and schedules the next one.
func (sim *modelSimulation) startPrograms() {
	sim.schedule(sim.random.ExpFloat64()*1000/sim.setup.programRate, sim.startPrograms)
	sim.programs++
	name, domainFronts := fmt.Sprint("program-", sim.programs), sim.frontsByDomain[domains[sim.random.IntN(3)]]
	pick, prefix := sim.random.Float64()*sum(sim.prefixWeights), 0
	for pick > sim.prefixWeights[prefix] {
		pick -= sim.prefixWeights[prefix]
		prefix++
	}
	turns, started := max(1, int(sim.logNormal(sim.setup.turns, 0.4))), sim.now
	sim.takeTurn(conversation{
		program: name, session: name, front: domainFronts[sim.random.IntN(len(domainFronts))], domainFronts: domainFronts,
		parts: []PromptPart{{fmt.Sprint("prefix-", prefix), 2560}}, turnsLeft: turns,
		done: func() {
			unloaded := float64(turns) * (sim.setup.thinkTime + sim.setup.outputLatency + sim.setup.newTokens/38 + 34*(sim.setup.stepTime+sim.setup.stepTimePerRequest))
			sim.result.durationRatios = append(sim.result.durationRatios, (sim.now-started)/unloaded)
		},
	})
}

// takeTurn sends the next turn of a conversation, or ends the conversation.
func (sim *modelSimulation) takeTurn(conv conversation) {
	if conv.turnsLeft == 0 {
		conv.done()
		return
	}
	newTokens := min(5140, int(sim.logNormal(sim.setup.newTokens, 0.7)))
	before := conv
	conv.parts = append(slices.Clone(conv.parts), PromptPart{fmt.Sprintf("%s/%d", conv.session, conv.turnsLeft), newTokens})
	front := conv.front
	if sim.random.Float64() >= sim.setup.frontAffinity {
		front = conv.domainFronts[sim.random.IntN(len(conv.domainFronts))]
	}
	request := Request{Route: &sim.route, Program: conv.program, Session: conv.session, PromptParts: conv.parts, Deadline: sim.clock()}
	if sim.setup.cacheLocations {
		request.CachedAt = conv.cachedAt
	}
	lease, err := sim.balancers[front].Acquire(context.Background(), request)
	if err != nil {
		sim.result.rejected++
		sim.schedule(200, func() { sim.takeTurn(before) })
		return
	}
	chosen := lease.Runner
	if sim.setup.randomChoice {
		lease.Release(NotSent, nil)
		lease = nil
		chosen = sim.listed[sim.random.IntN(len(sim.listed))]
	}
	sim.sendTurn(conv, lease, chosen, front, newTokens)
}

// sendTurn sends a turn to a runner. The lease is nil if the runner was chosen at random.
func (sim *modelSimulation) sendTurn(conv conversation, lease *Lease, chosen feed.Runner, front, newTokens int) {
	networkDelay, result := 0.2, sim.result
	if chosen.Domain != domains[front%3] {
		networkDelay = 0.9
		result.crossDomain++
	}
	link := fmt.Sprint(front, chosen.Incarnation)
	sim.connections.acquire(link, sim.now)
	requested, runner := sim.now, sim.runners[chosen.Incarnation]
	sent := &turn{parts: conv.parts, outputTokens: 2 + int(sim.logNormal(32, 0.8)), requested: requested}
	sim.countTurn(conv.parts, chosen.Incarnation, newTokens)
	conv.cachedAt = CacheLocation{Runner: chosen.Incarnation}
	for _, part := range conv.parts {
		conv.cachedAt.Tokens += part.Tokens
	}
	sent.onFirstEvent = func() {
		sim.schedule(networkDelay, func() {
			result.firstEventLatencies = append(result.firstEventLatencies, sim.now-requested)
			if lease != nil {
				lease.FirstEvent(time.Duration((sim.now - requested) * float64(time.Millisecond)))
			}
		})
	}
	sent.onDone = func() {
		sim.schedule(networkDelay, func() {
			sim.connections.release(link, sim.now)
			if lease != nil {
				lease.Release(Answered, nil)
			}
			sim.continueConversation(conv)
		})
	}
	sim.schedule(networkDelay, func() { runner.accept(sent) })
}

// countTurn counts a turn and its tokens.
func (sim *modelSimulation) countTurn(parts []PromptPart, incarnation string, newTokens int) {
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
		if uncached = uncached || runner.cachedParts[part.ID] == nil; uncached {
			result.prefillTokens += part.Tokens
		}
	}
	result.newTokens += newTokens
}

// continueConversation continues a conversation after a turn: at once by three helper
// sessions, or after the think time by the next turn.
func (sim *modelSimulation) continueConversation(conv conversation) {
	next := conv
	next.turnsLeft--
	if conv.turnsLeft == 1 || sim.random.Float64() >= sim.setup.helperRatio {
		sim.schedule(sim.logNormal(sim.setup.thinkTime, 0.6), func() { sim.takeTurn(next) })
		return
	}
	running := 3
	for index := range running {
		helper := conv
		helper.session, helper.turnsLeft = fmt.Sprintf("%s.%d.%d", conv.session, conv.turnsLeft, index), 2
		helper.done = func() {
			if running--; running == 0 {
				sim.takeTurn(next)
			}
		}
		sim.takeTurn(helper)
	}
}

func sum(values []float64) float64 { return mean(values) * float64(len(values)) }

var deployments = []deployment{
	{name: "twelve runners", runners: 12, slots: 32, cacheTokens: 197_627, fronts: 6, stepTime: 4.73, stepTimePerRequest: 0.0138, outputLatency: 20, programRate: 18, turns: 5.6, thinkTime: 250, newTokens: 800, helperRatio: 0.03, frontAffinity: 0.9, seconds: 20},
	{name: "eighteen runners", runners: 18, slots: 64, cacheTokens: 219_089, fronts: 6, stepTime: 4.63, stepTimePerRequest: 0.153, outputLatency: 10, programRate: 27, turns: 5.6, thinkTime: 200, newTokens: 900, helperRatio: 0.04, frontAffinity: 0.9, seconds: 20},
	{name: "eighteen runners, random fronts", runners: 18, slots: 64, cacheTokens: 219_089, fronts: 6, stepTime: 4.63, stepTimePerRequest: 0.153, outputLatency: 10, programRate: 27, turns: 5.6, thinkTime: 200, newTokens: 900, helperRatio: 0.04, frontAffinity: 0, seconds: 20},
	{name: "eighteen runners, twice the programs", runners: 18, slots: 64, cacheTokens: 219_089, fronts: 6, stepTime: 4.63, stepTimePerRequest: 0.153, outputLatency: 10, programRate: 54, turns: 5.6, thinkTime: 200, newTokens: 900, helperRatio: 0.04, frontAffinity: 0.9, seconds: 15},
	{name: "small caches", runners: 18, slots: 64, cacheTokens: 40_000, fronts: 6, stepTime: 4.63, stepTimePerRequest: 0.153, outputLatency: 10, programRate: 27, turns: 5.6, thinkTime: 200, newTokens: 900, helperRatio: 0.04, frontAffinity: 0.9, seconds: 15},
	{name: "one slow runner", runners: 12, slots: 32, cacheTokens: 197_627, fronts: 6, stepTime: 4.73, stepTimePerRequest: 0.0138, outputLatency: 20, programRate: 18, turns: 5.6, thinkTime: 250, newTokens: 800, helperRatio: 0.03, frontAffinity: 0.9, slowRunnerFactor: 5, seconds: 20},
	{name: "many fronts", runners: 72, slots: 12, cacheTokens: 171_035, fronts: 48, stepTime: 4.63, stepTimePerRequest: 0.153, outputLatency: 10, programRate: 87, turns: 5.6, thinkTime: 200, newTokens: 900, helperRatio: 0.04, frontAffinity: 0.9, seconds: 10},
}

// cachedFraction returns the fraction of the tokens of earlier turns that were cached at the
// chosen runner.
func (result *simulationResult) cachedFraction() float64 {
	return 1 - float64(result.prefillTokens-result.newTokens)/float64(max(1, result.tokens-result.newTokens))
}

// TestCacheLocationFindsRunnerAcrossFronts guards against lost cache hits in a fleet of many
// fronts where more than half of the turns arrive at another front than the one before.
func TestCacheLocationFindsRunnerAcrossFronts(t *testing.T) {
	setup := deployment{
		runners: 56, slots: 32, cacheTokens: 182_577, fronts: 60, stepTime: 5.55, stepTimePerRequest: 0.029, outputLatency: 10, programRate: 85, turns: 6, thinkTime: 150,
		newTokens: 760, helperRatio: 0.03, frontAffinity: 0.45, seconds: 12,
	}
	for seed := range uint64(3) {
		setup.cacheLocations = false
		withoutLocation := simulateModel(seed, setup)
		setup.cacheLocations = true
		withLocation := simulateModel(seed, setup)
		t.Logf("with location:    %v", withLocation)
		t.Logf("without location: %v", withoutLocation)
		if withLocation.cachedFraction() < 0.9 {
			t.Errorf("seed %d: only %.3f of the cacheable tokens were cached at the chosen runner", seed, withLocation.cachedFraction())
		}
		if withoutLocation.cachedFraction() > withLocation.cachedFraction() || mean(withLocation.durationRatios) > 0.9*mean(withoutLocation.durationRatios) {
			t.Errorf("seed %d: the cache location is of too little use: programs took %.3f times their unloaded duration with it, %.3f without", seed, mean(withLocation.durationRatios), mean(withoutLocation.durationRatios))
		}
	}
}

func TestSelectionUsesPrefixCacheAndSpreadsLoad(t *testing.T) {
	for _, setup := range deployments {
		t.Run(setup.name, func(t *testing.T) {
			chosen := simulateModel(5, setup)
			setup.randomChoice = true
			baseline := simulateModel(5, setup)
			t.Logf("selected: %v", chosen)
			t.Logf("random:   %v", baseline)
			if chosen.meanFirstEvent() > 0.8*baseline.meanFirstEvent() || mean(chosen.durationRatios) > mean(baseline.durationRatios) {
				t.Errorf("selection is not better than a random choice")
			}
			if chosen.rejected > 0 {
				t.Errorf("%d turns were rejected", chosen.rejected)
			}
		})
	}
}
