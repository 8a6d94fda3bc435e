package balancer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"yardrock.example/system/config"
)

func newPlainBalancer(runners, fronts int) (*Balancer, *fakeClock, Request) {
	route, clock := routeTo(config.WeightedService{Service: "plain", Weight: 1}), newFakeClock()
	balancer := New("east", 1, clock.now)
	balancer.Update(stateOf([]config.Service{plainService()}, route, runnersOf("plain", runners, 6), fronts))
	return balancer, clock, Request{Route: &route}
}

// mustAcquireAt acquires a lease on a certain runner by excluding all others.
func mustAcquireAt(t *testing.T, balancer *Balancer, request Request, life string) *Lease {
	t.Helper()
	for _, one := range balancer.Status().Runners {
		if one.Runner.Life != life {
			request.Excluded = append(request.Excluded, one.Runner.Life)
		}
	}
	return mustAcquire(t, balancer, request)
}

func TestOutcomesEjectRunner(t *testing.T) {
	cases := []struct {
		name     string
		outcomes []Outcome
		latency  time.Duration
		away     time.Duration // without work for this long at least
		back     time.Duration // and this much longer at most
		forgiven bool          // the outcomes have no consequence
	}{
		{"answers", []Outcome{Answered, Answered, Answered}, 20 * time.Millisecond, 0, 0, true},
		{"unused", []Outcome{NotSent, NotSent}, 0, 0, 0, true},
		{"cancelled early", []Outcome{Cancelled}, 20 * time.Millisecond, 0, 0, true},
		{"rejected", []Outcome{Rejected}, time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, false},
		{"lost once", []Outcome{Lost}, time.Millisecond, 200 * time.Millisecond, 8 * time.Second, false},
		{"lost again", []Outcome{Lost, Lost, Lost}, time.Millisecond, 2 * time.Second, 40 * time.Second, false},
		{"failed often", []Outcome{Failed, Failed, Failed, Failed}, 20 * time.Millisecond, 900 * time.Millisecond, 60 * time.Second, false},
		{"silent again and again", []Outcome{Cancelled, Cancelled, Cancelled, Cancelled, Cancelled, Cancelled}, 900 * time.Millisecond, 200 * time.Millisecond, 60 * time.Second, false},
		{"misdirected", []Outcome{Misdirected}, time.Millisecond, time.Hour, 0, false},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			balancer, clock, request := newPlainBalancer(6, 1)
			for _, life := range []string{"plain-1", "plain-2", "plain-3"} {
				lease := mustAcquireAt(t, balancer, request, life)
				clock.advance(20 * time.Millisecond)
				lease.Release(Answered, nil)
			}
			for _, outcome := range one.outcomes {
				lease := mustAcquireAt(t, balancer, request, "plain-0")
				clock.advance(one.latency)
				lease.Release(outcome, nil)
			}
			// gets reports whether the runner gets one of 24 requests in flight together.
			gets := func() bool {
				found := false
				var out []*Lease
				for range 24 {
					lease := mustAcquire(t, balancer, request)
					found = found || lease.Runner.Life == "plain-0"
					out = append(out, lease)
				}
				for _, lease := range out {
					lease.Release(NotSent, nil)
				}
				return found
			}
			if gets() != one.forgiven {
				t.Fatalf("got work at once: %v", !one.forgiven)
			}
			if one.forgiven {
				return
			}
			clock.advance(one.away - 10*time.Millisecond)
			if gets() {
				t.Fatalf("got work again in less than %v", one.away)
			}
			if one.back == 0 {
				return
			}
			clock.advance(one.back)
			if !gets() {
				t.Fatalf("got no work after %v", one.back)
			}
		})
	}
}

func TestEjectedRunnersRecoverThroughProbes(t *testing.T) {
	balancer, clock, request := newPlainBalancer(6, 1)
	for range 4 {
		lease := mustAcquireAt(t, balancer, request, "plain-0")
		clock.advance(20 * time.Millisecond)
		lease.Release(Failed, nil)
	}
	clock.advance(time.Minute)
	for trial := range recoveryProbes {
		var out []*Lease
		trials := 0
		for range 30 {
			lease := mustAcquire(t, balancer, request)
			if lease.Runner.Life == "plain-0" {
				trials++
			}
			out = append(out, lease)
		}
		if trials != 1 {
			t.Fatalf("%d requests in flight at once at probe %d", trials, trial)
		}
		clock.advance(20 * time.Millisecond)
		for _, lease := range out {
			lease.Release(Answered, nil)
		}
	}
	got := 0
	for range 30 {
		if mustAcquire(t, balancer, request).Runner.Life == "plain-0" {
			got++
		}
	}
	if got < 3 {
		t.Fatalf("after its probes it has %d of 30", got)
	}
}

func TestMisdirectedRunnersStayExcluded(t *testing.T) {
	balancer, clock, request := newPlainBalancer(3, 1)
	lease := mustAcquireAt(t, balancer, request, "plain-0")
	lease.Release(Misdirected, nil)
	if lease.Valid() {
		t.Fatal("the lease is still valid")
	}
	for range 3 {
		clock.advance(time.Minute)
		balancer.Update(stateOf([]config.Service{plainService()}, *request.Route, runnersOf("plain", 3, 6), 1))
		for range 12 {
			if mustAcquire(t, balancer, request).Runner.Life == "plain-0" {
				t.Fatal("it was chosen again")
			}
		}
	}
}

func TestEjectionLeavesEnoughRunners(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(20261205))
	properties.Property("never more than a third is ejected, nor more than the demand allows", prop.ForAll(func(seed uint64, runners, held int) string {
		random := rand.New(rand.NewPCG(seed, 2))
		balancer, clock, request := newPlainBalancer(runners, 2)
		for range min(held, 4*runners) {
			mustAcquire(t, balancer, request)
		}
		for range 400 {
			clock.advance(time.Duration(random.IntN(40)) * time.Millisecond)
			lease, err := balancer.Acquire(context.Background(), Request{Route: request.Route, Deadline: clock.now()})
			if err != nil {
				return "rejected though a runner is usable: " + err.Error()
			}
			lease.Release(Failed, nil)
			ejected, slots := 0, 0
			for _, one := range balancer.Status().Runners {
				if one.Ejected {
					ejected++
				} else {
					slots += 6
				}
			}
			if 3*ejected > runners {
				return fmt.Sprintf("%d of %d are ejected", ejected, runners)
			}
			if demand := 2 * min(held, 4*runners); ejected > 0 && clock.time.Sub(balancer.started) > 10*time.Second && demand > slots {
				return fmt.Sprintf("%d are ejected, %d slots are left for %d", ejected, slots, demand)
			}
		}
		return ""
	}, gen.UInt64(), gen.IntRange(1, 30), gen.IntRange(0, 60)))
	properties.TestingRun(t)
}

// plainRunner simulates a runner of plain work: some slots, a short queue, slower when
// nearly full.
type plainRunner struct {
	sim          *simulation
	speed        float64
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
				runner.next()
			})
		})
		runner.next()
	}
}

func (runner *plainRunner) next() {
	for runner.running < 6 && len(runner.waiting) > 0 {
		one := runner.waiting[0]
		runner.waiting = runner.waiting[1:]
		one()
	}
}

type plainDeployment struct {
	name                    string
	runners, fronts         int
	rate, work              float64
	slow, fails             float64 // of the first runner
	down                    bool    // whether the second runner flaps
	random                  bool
	waited, bad, worstFirst float64 // bounds: mean latency over work, fraction that failed, fraction served by the first runner
}

type plainResult struct {
	latencies                                               []float64
	unsuccessful, requested, crossDomain, connectionsOpened int
	servers                                                 []*plainRunner
}

func (result plainResult) String() string {
	requested := float64(result.requested)
	return fmt.Sprintf("%d asked, wrong %.4f, mean %.1f ms, p99 %.0f ms, far %.2f, %d connections, the first runner did %.3f", result.requested,
		float64(result.unsuccessful)/requested, mean(result.latencies), quantile(result.latencies, 0.99), float64(result.crossDomain)/requested, result.connectionsOpened, float64(result.servers[0].completed)/requested)
}

func simulatePlain(seed uint64, setup plainDeployment) plainResult {
	result := plainResult{}
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 4))}
	began := time.Unix(1_000_000, 0)
	clock := func() time.Time { return began.Add(time.Duration(sim.now * float64(time.Millisecond))) }
	route := routeTo(config.WeightedService{Service: "plain", Weight: 1})
	listed := runnersOf("plain", setup.runners, 6)
	state := stateOf([]config.Service{plainService()}, route, listed, setup.fronts)
	byLife := map[string]*plainRunner{}
	for _, runner := range listed {
		one := &plainRunner{sim: sim, speed: 0.8 + 0.4*sim.random.Float64()}
		byLife[runner.Life] = one
		result.servers = append(result.servers, one)
	}
	servers := result.servers
	servers[0].speed *= max(1, setup.slow)
	servers[0].failureRatio = setup.fails
	if setup.down {
		var flap func()
		flap = func() {
			servers[1].down = !servers[1].down
			sim.schedule(1500, flap)
		}
		flap()
	}
	balancers := []*Balancer{}
	for at := range setup.fronts {
		balancer := New(domains[at%3], seed+uint64(at), clock)
		balancer.Update(state)
		balancers = append(balancers, balancer)
	}
	idle := map[string][]float64{} // since when connections are idle, by front and runner
	var arrive func()
	arrive = func() {
		sim.schedule(sim.random.ExpFloat64()*1000/setup.rate, arrive)
		work, at := min(4*setup.work, sim.spread(setup.work, 1)), sim.random.IntN(setup.fronts)
		began := sim.now
		result.requested++
		lease, err := balancers[at].Acquire(context.Background(), Request{Route: &route, Deadline: clock()})
		if err != nil {
			result.unsuccessful++
			return
		}
		chosen := byLife[lease.Runner.Life]
		if setup.random {
			chosen = servers[sim.random.IntN(len(servers))]
		}
		if number := slices.Index(servers, chosen); number%3 != at%3 {
			result.crossDomain++
		}
		way := fmt.Sprint(at, slices.Index(servers, chosen))
		if last := len(idle[way]) - 1; last >= 0 && sim.now-idle[way][last] < 10_000 {
			idle[way] = idle[way][:last]
		} else {
			result.connectionsOpened++
			idle[way] = nil
		}
		sim.schedule(0.5, func() {
			chosen.accept(work, func(outcome Outcome) {
				sim.schedule(0.5, func() {
					lease.Release(outcome, nil)
					idle[way] = append(idle[way], sim.now)
					if outcome != Answered {
						result.unsuccessful++
						return
					}
					result.latencies = append(result.latencies, sim.now-began)
				})
			})
		})
	}
	arrive()
	sim.run(30_000)
	return result
}

var plainDeployments = []plainDeployment{
	{name: "four runners", runners: 4, fronts: 6, rate: 130, work: 55, waited: 1.2, bad: 0.001, worstFirst: 0.4},
	{name: "twenty-five runners", runners: 25, fronts: 6, rate: 300, work: 140, waited: 1.05, bad: 0.001, worstFirst: 0.1},
	{name: "many fronts", runners: 22, fronts: 72, rate: 650, work: 55, waited: 1.05, bad: 0.001, worstFirst: 0.1},
	{name: "one is slow", runners: 25, fronts: 6, rate: 300, work: 140, slow: 6, waited: 1.1, bad: 0.001, worstFirst: 0.015},
	{name: "one fails in part", runners: 25, fronts: 6, rate: 300, work: 140, fails: 0.5, waited: 1.05, bad: 0.01, worstFirst: 0.015},
	{name: "one goes down and up", runners: 25, fronts: 6, rate: 300, work: 140, down: true, waited: 1.05, bad: 0.02, worstFirst: 0.1},
	{name: "one slow of four", runners: 4, fronts: 6, rate: 100, work: 55, slow: 6, waited: 1.35, bad: 0.001, worstFirst: 0.06},
}

func TestPlainWorkPrefersFastRunners(t *testing.T) {
	for _, setup := range plainDeployments {
		t.Run(setup.name, func(t *testing.T) {
			chosen := simulatePlain(3, setup)
			setup.random = true
			chance := simulatePlain(3, setup)
			waited, part := mean(chosen.latencies)/setup.work, float64(chosen.servers[0].completed)/float64(chosen.requested)
			t.Logf("chosen:    %v", chosen)
			t.Logf("by chance: %v", chance)
			if waited > setup.waited || float64(chosen.unsuccessful) > setup.bad*float64(chosen.requested) || part > setup.worstFirst || chosen.connectionsOpened > chance.connectionsOpened {
				t.Error("a bound is exceeded, or more connections than at random")
			}
		})
	}
}
