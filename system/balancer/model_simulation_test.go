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
		result.turns, result.rejected, float64(result.crossDomain)/float64(result.turns), 1-float64(result.prefillTokens-result.newTokens)/float64(max(1, result.tokens-result.newTokens)),
		result.meanFirstEvent(), quantile(result.firstEventLatencies, 0.9), quantile(result.firstEventLatencies, 0.99), mean(result.ratios), quantile(result.ratios, 0.9), result.peak, result.slowTurns, result.connectionsOpened)
}

// simulateModel simulates a deployment of model runners.
func simulateModel(seed uint64, setup deployment) *simulationResult {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 3))}
	began := time.Unix(1_000_000, 0)
	clock := func() time.Time { return began.Add(time.Duration(sim.now * float64(time.Millisecond))) }
	service := modelService(19)
	service.Engine.Slots, service.Engine.CacheTokens = setup.slots, uint64(setup.cache)
	route := routeTo(config.WeightedService{Service: "model", Weight: 1})
	listed := runnersOf("model", setup.runners, setup.slots)
	engines := map[string]*modelRunner{}
	for at, runner := range listed {
		engines[runner.Life] = &modelRunner{
			sim: sim, slots: setup.slots, chunk: 2048, stepTime: setup.stepTime, perSlot: setup.perSlot, rate: 38,
			outputLatency: setup.first, cacheTokens: setup.cache, cachedParts: map[string]*cacheEntry{}, slowdown: 1,
		}
		if at == 1 && setup.slowRunner > 0 {
			engines[runner.Life].slowdown = setup.slowRunner
		}
	}
	balancers, homes := []*Balancer{}, map[string][]int{}
	state := stateOf([]config.Service{service}, route, listed, setup.fronts)
	for at := range setup.fronts {
		domain := domains[at%3]
		balancer := New(domain, uint64(at), clock)
		balancer.Update(state)
		balancers = append(balancers, balancer)
		homes[domain] = append(homes[domain], at)
	}
	result := &simulationResult{perRunner: map[string]int{}, arrivals: map[string][]time.Time{}}
	prefixWeights := make([]float64, 16)
	for at := range prefixWeights {
		prefixWeights[at] = math.Pow(float64(at/2+1), -0.7)
	}
	idle := map[string][]float64{} // since when connections are idle, by front and runner
	var take func(program, session string, front int, home []int, parts []PromptPart, left int, done func())
	take = func(program, session string, front int, home []int, parts []PromptPart, left int, done func()) {
		if left == 0 {
			done()
			return
		}
		fresh := min(5140, int(sim.spread(setup.newTokens, 0.7)))
		parts = append(slices.Clone(parts), PromptPart{fmt.Sprintf("%s/%d", session, left), fresh})
		at := front
		if sim.random.Float64() >= setup.stays {
			at = home[sim.random.IntN(len(home))]
		}
		balancer := balancers[at]
		lease, err := balancer.Acquire(context.Background(), Request{Route: &route, Program: program, Session: session, PromptParts: parts, Deadline: clock()})
		if err != nil {
			result.rejected++
			sim.schedule(200, func() { take(program, session, front, home, parts[:len(parts)-1], left, done) })
			return
		}
		chosen := lease.Runner
		if setup.random {
			lease.Release(NotSent, nil)
			chosen = listed[sim.random.IntN(len(listed))]
		}
		way := 0.2
		if chosen.Domain != domains[at%3] {
			way = 0.9
			result.crossDomain++
		}
		result.turns++
		link := fmt.Sprint(at, chosen.Life)
		if last := len(idle[link]) - 1; last >= 0 && sim.now-idle[link][last] < 10_000 {
			idle[link] = idle[link][:last]
		} else {
			result.connectionsOpened++
			idle[link] = nil
		}
		requested := sim.now
		result.perRunner[chosen.Life]++
		result.arrivals[chosen.Life] = append(result.arrivals[chosen.Life], clock())
		runner := engines[chosen.Life]
		if runner.slowdown > 1 {
			result.slowTurns++
		}
		one := &turn{parts: parts, outputTokens: 2 + int(sim.spread(32, 0.8)), requested: requested}
		tokens, reading := 0, false
		for _, part := range parts {
			tokens += part.Tokens
			known := runner.cachedParts[part.Name]
			if reading = reading || known == nil; reading {
				result.prefillTokens += part.Tokens
			}
		}
		result.tokens += tokens
		result.newTokens += fresh
		one.first = func() {
			sim.schedule(way, func() {
				result.firstEventLatencies = append(result.firstEventLatencies, sim.now-requested)
				if !setup.random {
					lease.FirstEvent(time.Duration((sim.now - requested) * float64(time.Millisecond)))
				}
			})
		}
		one.done = func() {
			sim.schedule(way, func() {
				idle[link] = append(idle[link], sim.now)
				if !setup.random {
					lease.Release(Answered, nil)
				}
				if left > 1 && sim.random.Float64() < setup.helpers {
					open := 3
					for helper := range open {
						take(program, fmt.Sprintf("%s.%d.%d", session, left, helper), front, home, parts, 2, func() {
							if open--; open == 0 {
								take(program, session, front, home, parts, left-1, done)
							}
						})
					}
					return
				}
				sim.schedule(sim.spread(setup.think, 0.6), func() { take(program, session, front, home, parts, left-1, done) })
			})
		}
		sim.schedule(way, func() { runner.accept(one) })
	}
	program := 0
	var arrive func()
	arrive = func() {
		sim.schedule(sim.random.ExpFloat64()*1000/setup.programs, arrive)
		program++
		name, home := fmt.Sprint("program-", program), homes[domains[sim.random.IntN(3)]]
		pick, prefix := sim.random.Float64()*sum(prefixWeights), 0
		for pick > prefixWeights[prefix] {
			pick -= prefixWeights[prefix]
			prefix++
		}
		turns, started := max(1, int(sim.spread(setup.turns, 0.4))), sim.now
		take(name, name, home[sim.random.IntN(len(home))], home, []PromptPart{{fmt.Sprint("prefix-", prefix), 2560}}, turns, func() {
			idle := float64(turns) * (setup.think + setup.first + setup.newTokens/38 + 34*(setup.stepTime+setup.perSlot))
			result.ratios = append(result.ratios, (sim.now-started)/idle)
		})
	}
	arrive()
	sim.run(setup.seconds * 1000)
	for _, arrivals := range result.arrivals {
		result.peak = max(result.peak, peakPerSecond(arrivals))
	}
	return result
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
