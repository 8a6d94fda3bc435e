package balancer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"yardrock.example/system/config"
)

// plainRunner simulates a runner of plain work with 6 slots and a short queue, which is
// slower when nearly full.
type plainRunner struct {
	sim          *simulation
	speed        float64 // factor on the duration of a request
	running      int
	waiting      []func()
	failureRatio float64 // fraction of its requests that fail
	down         bool
	completed    int
}

func (runner *plainRunner) accept(work float64, done func(Outcome)) {
	switch {
	case runner.down:
		done(Lost)
	case runner.running >= 6 && len(runner.waiting) >= 24:
		done(Rejected)
	default:
		runner.waiting = append(runner.waiting, func() {
			runner.running++
			latency := work * runner.speed
			if runner.running >= 5 {
				latency *= 1.6
			}
			runner.sim.schedule(latency, func() {
				runner.running--
				runner.completed++
				if runner.sim.random.Float64() < runner.failureRatio {
					done(Failed)
				} else {
					done(Answered)
				}
				runner.startNext()
			})
		})
		runner.startNext()
	}
}

func (runner *plainRunner) startNext() {
	for runner.running < 6 && len(runner.waiting) > 0 {
		start := runner.waiting[0]
		runner.waiting = runner.waiting[1:]
		start()
	}
}

type plainDeployment struct {
	name                                              string
	runners, fronts                                   int
	rate, work                                        float64 // requests per second, mean milliseconds of work per request
	firstSlowdown, firstFailureRatio                  float64 // of the first runner; 0 if none
	secondFlaps                                       bool    // the second runner goes down and up periodically
	randomChoice                                      bool
	maxLatencyRatio, maxFailedFraction, maxFirstShare float64 // bounds: mean latency by mean work, fraction of failed requests, fraction served by the first runner
}

type plainResult struct {
	latencies                                               []float64
	unsuccessful, requested, crossDomain, connectionsOpened int
	runners                                                 []*plainRunner
}

func (result plainResult) String() string {
	requested := float64(result.requested)
	return fmt.Sprintf("%d requests, failed %.4f, mean %.1f ms, p99 %.0f ms, cross-domain %.2f, %d connections, the first runner served %.3f", result.requested,
		float64(result.unsuccessful)/requested, mean(result.latencies), quantile(result.latencies, 0.99), float64(result.crossDomain)/requested, result.connectionsOpened, float64(result.runners[0].completed)/requested)
}

// plainSimulation is a simulation of fronts and runners of plain work.
type plainSimulation struct {
	*simulation
	setup         plainDeployment
	route         config.Route
	byIncarnation map[string]*plainRunner
	balancers     []*Balancer
	connections   *connectionCount
	result        plainResult
}

// simulatePlain simulates a deployment of runners of plain work for 30 seconds.
func simulatePlain(seed uint64, setup plainDeployment) plainResult {
	sim := newPlainSimulation(seed, setup)
	sim.startRequests()
	sim.run(30_000)
	sim.result.connectionsOpened = sim.connections.opened
	return sim.result
}

func newPlainSimulation(seed uint64, setup plainDeployment) *plainSimulation {
	sim := &plainSimulation{
		simulation: &simulation{random: rand.New(rand.NewPCG(seed, 4))}, setup: setup,
		route: routeTo(config.WeightedService{Service: "plain", Weight: 1}), byIncarnation: map[string]*plainRunner{}, connections: newConnectionCount(),
	}
	listed := runnersOf("plain", setup.runners, 6)
	for _, runner := range listed {
		simulated := &plainRunner{sim: sim.simulation, speed: 0.8 + 0.4*sim.random.Float64()}
		sim.byIncarnation[runner.Incarnation] = simulated
		sim.result.runners = append(sim.result.runners, simulated)
	}
	runners := sim.result.runners
	runners[0].speed *= max(1, setup.firstSlowdown)
	runners[0].failureRatio = setup.firstFailureRatio
	if setup.secondFlaps {
		var flap func()
		flap = func() {
			runners[1].down = !runners[1].down
			sim.schedule(1500, flap)
		}
		flap()
	}
	state := stateOf([]config.Service{plainService()}, sim.route, listed, setup.fronts)
	for front := range setup.fronts {
		balancer := New(domains[front%3], seed+uint64(front), sim.clock)
		balancer.Update(state)
		sim.balancers = append(sim.balancers, balancer)
	}
	return sim
}

// startRequests sends a request and schedules the next one.
func (sim *plainSimulation) startRequests() {
	sim.schedule(sim.random.ExpFloat64()*1000/sim.setup.rate, sim.startRequests)
	work, front := min(4*sim.setup.work, sim.logNormal(sim.setup.work, 1)), sim.random.IntN(sim.setup.fronts)
	startedAt := sim.now
	sim.result.requested++
	lease, err := sim.balancers[front].Acquire(context.Background(), Request{Route: &sim.route, Deadline: sim.clock()})
	if err != nil {
		sim.result.unsuccessful++
		return
	}
	runners, chosen := sim.result.runners, sim.byIncarnation[lease.Runner.Incarnation]
	if sim.setup.randomChoice {
		chosen = runners[sim.random.IntN(len(runners))]
	}
	index := slices.Index(runners, chosen)
	if index%3 != front%3 {
		sim.result.crossDomain++
	}
	link := fmt.Sprint(front, index)
	sim.connections.acquire(link, sim.now)
	sim.schedule(0.5, func() {
		chosen.accept(work, func(outcome Outcome) {
			sim.schedule(0.5, func() {
				lease.Release(outcome, nil)
				sim.connections.release(link, sim.now)
				if outcome != Answered {
					sim.result.unsuccessful++
					return
				}
				sim.result.latencies = append(sim.result.latencies, sim.now-startedAt)
			})
		})
	})
}

var plainDeployments = []plainDeployment{
	{name: "four runners", runners: 4, fronts: 6, rate: 130, work: 55, maxLatencyRatio: 1.2, maxFailedFraction: 0.001, maxFirstShare: 0.4},
	{name: "twenty-five runners", runners: 25, fronts: 6, rate: 300, work: 140, maxLatencyRatio: 1.05, maxFailedFraction: 0.001, maxFirstShare: 0.1},
	{name: "many fronts", runners: 22, fronts: 72, rate: 650, work: 55, maxLatencyRatio: 1.05, maxFailedFraction: 0.001, maxFirstShare: 0.1},
	{name: "one is slow", runners: 25, fronts: 6, rate: 300, work: 140, firstSlowdown: 6, maxLatencyRatio: 1.1, maxFailedFraction: 0.001, maxFirstShare: 0.015},
	{name: "one fails in part", runners: 25, fronts: 6, rate: 300, work: 140, firstFailureRatio: 0.5, maxLatencyRatio: 1.05, maxFailedFraction: 0.01, maxFirstShare: 0.015},
	{name: "one goes down and up", runners: 25, fronts: 6, rate: 300, work: 140, secondFlaps: true, maxLatencyRatio: 1.05, maxFailedFraction: 0.02, maxFirstShare: 0.1},
	{name: "one slow of four", runners: 4, fronts: 6, rate: 100, work: 55, firstSlowdown: 6, maxLatencyRatio: 1.35, maxFailedFraction: 0.001, maxFirstShare: 0.06},
}

func TestPlainWorkPrefersFastRunners(t *testing.T) {
	for _, setup := range plainDeployments {
		t.Run(setup.name, func(t *testing.T) {
			chosen := simulatePlain(3, setup)
			setup.randomChoice = true
			baseline := simulatePlain(3, setup)
			latencyRatio, firstShare := mean(chosen.latencies)/setup.work, float64(chosen.runners[0].completed)/float64(chosen.requested)
			t.Logf("selected: %v", chosen)
			t.Logf("random:   %v", baseline)
			if latencyRatio > setup.maxLatencyRatio || float64(chosen.unsuccessful) > setup.maxFailedFraction*float64(chosen.requested) || firstShare > setup.maxFirstShare || chosen.connectionsOpened > baseline.connectionsOpened {
				t.Error("a bound is exceeded, or more connections were opened than by a random choice")
			}
		})
	}
}
