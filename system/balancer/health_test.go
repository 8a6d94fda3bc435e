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

func plainChoices(runners, fronts int) (*Balancer, *steady, Need) {
	route, clock := routeTo(config.WeightedService{Service: "plain", Weight: 1}), newSteady()
	choices := New("east", 1, clock.now)
	choices.Update(stateOf([]config.Service{plainService()}, route, runnersOf("plain", runners, 6), fronts))
	return choices, clock, Need{Route: &route}
}

// leaseAt acquires until it gets a runner, and gives the others back.
func leaseAt(t *testing.T, choices *Balancer, need Need, life string) *Lease {
	t.Helper()
	for _, one := range choices.Demand().Runners {
		if one.Runner.Life != life {
			need.Avoid = append(need.Avoid, one.Runner.Life)
		}
	}
	return acquired(t, choices, need)
}

func TestEndingsKeepWorkAway(t *testing.T) {
	cases := []struct {
		name     string
		endings  []Ending
		took     time.Duration
		away     time.Duration // how long at least
		back     time.Duration // how long at most
		forgiven bool          // no difference is made
	}{
		{"answers", []Ending{Answered, Answered, Answered}, 20 * time.Millisecond, 0, 0, true},
		{"unused", []Ending{Unused, Unused}, 0, 0, 0, true},
		{"given up early", []Ending{Abandoned}, 20 * time.Millisecond, 0, 0, true},
		{"refused", []Ending{Refused}, time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, false},
		{"lost once", []Ending{Lost}, time.Millisecond, 200 * time.Millisecond, 8 * time.Second, false},
		{"lost again", []Ending{Lost, Lost, Lost}, time.Millisecond, 2 * time.Second, 40 * time.Second, false},
		{"failed often", []Ending{Failed, Failed, Failed, Failed}, 20 * time.Millisecond, 900 * time.Millisecond, 60 * time.Second, false},
		{"silent again and again", []Ending{Abandoned, Abandoned, Abandoned, Abandoned, Abandoned, Abandoned}, 900 * time.Millisecond, 200 * time.Millisecond, 60 * time.Second, false},
		{"misdirected", []Ending{Misdirected}, time.Millisecond, time.Hour, 0, false},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			choices, clock, need := plainChoices(6, 1)
			for _, life := range []string{"plain-1", "plain-2", "plain-3"} {
				lease := leaseAt(t, choices, need, life)
				clock.pass(20 * time.Millisecond)
				lease.Release(Answered, nil)
			}
			for _, ending := range one.endings {
				lease := leaseAt(t, choices, need, "plain-0")
				clock.pass(one.took)
				lease.Release(ending, nil)
			}
			// gets tells whether the runner gets one of 24 that are out at the same time.
			gets := func() bool {
				found := false
				var out []*Lease
				for range 24 {
					lease := acquired(t, choices, need)
					found = found || lease.Runner.Life == "plain-0"
					out = append(out, lease)
				}
				for _, lease := range out {
					lease.Release(Unused, nil)
				}
				return found
			}
			if gets() != one.forgiven {
				t.Fatalf("got work at once: %v", !one.forgiven)
			}
			if one.forgiven {
				return
			}
			clock.pass(one.away - 10*time.Millisecond)
			if gets() {
				t.Fatalf("got work again in less than %v", one.away)
			}
			if one.back == 0 {
				return
			}
			clock.pass(one.back)
			if !gets() {
				t.Fatalf("got no work after %v", one.back)
			}
		})
	}
}

func TestEjectedRunnersComeBackByTrials(t *testing.T) {
	choices, clock, need := plainChoices(6, 1)
	for range 4 {
		lease := leaseAt(t, choices, need, "plain-0")
		clock.pass(20 * time.Millisecond)
		lease.Release(Failed, nil)
	}
	clock.pass(time.Minute)
	for trial := range trialsNeeded {
		var out []*Lease
		trials := 0
		for range 30 {
			lease := acquired(t, choices, need)
			if lease.Runner.Life == "plain-0" {
				trials++
			}
			out = append(out, lease)
		}
		if trials != 1 {
			t.Fatalf("%d queries out at once at trial %d", trials, trial)
		}
		clock.pass(20 * time.Millisecond)
		for _, lease := range out {
			lease.Release(Answered, nil)
		}
	}
	got := 0
	for range 30 {
		if acquired(t, choices, need).Runner.Life == "plain-0" {
			got++
		}
	}
	if got < 3 {
		t.Fatalf("after its trials it has %d of 30", got)
	}
}

func TestMisdirectedRunnersStayAwayInEveryLaterState(t *testing.T) {
	choices, clock, need := plainChoices(3, 1)
	lease := leaseAt(t, choices, need, "plain-0")
	lease.Release(Misdirected, nil)
	if lease.Stands() {
		t.Fatal("it still stands")
	}
	for range 3 {
		clock.pass(time.Minute)
		choices.Update(stateOf([]config.Service{plainService()}, *need.Route, runnersOf("plain", 3, 6), 1))
		for range 12 {
			if acquired(t, choices, need).Runner.Life == "plain-0" {
				t.Fatal("it was chosen again")
			}
		}
	}
}

func TestEjectionLeavesEnoughRunners(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(20261205))
	properties.Property("never more than a third is ejected, nor more than the demand spares", prop.ForAll(func(seed uint64, runners, held int) string {
		random := rand.New(rand.NewPCG(seed, 2))
		choices, clock, need := plainChoices(runners, 2)
		for range min(held, 4*runners) {
			acquired(t, choices, need)
		}
		for range 400 {
			clock.pass(time.Duration(random.IntN(40)) * time.Millisecond)
			lease, err := choices.Acquire(context.Background(), Need{Route: need.Route, Deadline: clock.now()})
			if err != nil {
				return "refused though a runner is there: " + err.Error()
			}
			lease.Release(Failed, nil)
			ejected, slots := 0, 0
			for _, one := range choices.Demand().Runners {
				if one.Ejected {
					ejected++
				} else {
					slots += 6
				}
			}
			if 3*ejected > runners {
				return fmt.Sprintf("%d of %d are ejected", ejected, runners)
			}
			if demand := 2 * min(held, 4*runners); ejected > 0 && clock.time.Sub(choices.started) > 10*time.Second && demand > slots {
				return fmt.Sprintf("%d are ejected, %d slots are left for %d", ejected, slots, demand)
			}
		}
		return ""
	}, gen.UInt64(), gen.IntRange(1, 30), gen.IntRange(0, 60)))
	properties.TestingRun(t)
}

// server is a plain runner: some slots, a short queue, slower when nearly full.
type server struct {
	world     *world
	speed     float64
	running   int
	waiting   []func()
	fails     float64 // part of its queries that fail
	down      bool
	completed int
}

func (runner *server) take(work float64, done func(Ending)) {
	switch {
	case runner.down:
		done(Lost)
	case runner.running >= 6 && len(runner.waiting) >= 24:
		done(Refused)
	default:
		runner.waiting = append(runner.waiting, func() {
			runner.running++
			took := work * runner.speed
			if runner.running >= 5 {
				took *= 1.6
			}
			runner.world.after(took, func() {
				runner.running--
				runner.completed++
				if runner.world.random.Float64() < runner.fails {
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

func (runner *server) next() {
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
	waited, bad, worstFirst float64 // bounds: mean over work, part that went wrong, part of the first runner
}

type plainOutcome struct {
	tooks                   []float64
	bad, asked, far, opened int
	servers                 []*server
}

func (result plainOutcome) String() string {
	asked := float64(result.asked)
	return fmt.Sprintf("%d asked, wrong %.4f, mean %.1f ms, p99 %.0f ms, far %.2f, %d connections, the first runner did %.3f", result.asked,
		float64(result.bad)/asked, mean(result.tooks), quantile(result.tooks, 0.99), float64(result.far)/asked, result.opened, float64(result.servers[0].completed)/asked)
}

func playPlain(seed uint64, setup plainDeployment) plainOutcome {
	result := plainOutcome{}
	world := &world{random: rand.New(rand.NewPCG(seed, 4))}
	began := time.Unix(1_000_000, 0)
	clock := func() time.Time { return began.Add(time.Duration(world.now * float64(time.Millisecond))) }
	route := routeTo(config.WeightedService{Service: "plain", Weight: 1})
	listed := runnersOf("plain", setup.runners, 6)
	state := stateOf([]config.Service{plainService()}, route, listed, setup.fronts)
	byLife := map[string]*server{}
	for _, runner := range listed {
		one := &server{world: world, speed: 0.8 + 0.4*world.random.Float64()}
		byLife[runner.Life] = one
		result.servers = append(result.servers, one)
	}
	servers := result.servers
	servers[0].speed *= max(1, setup.slow)
	servers[0].fails = setup.fails
	if setup.down {
		var flap func()
		flap = func() {
			servers[1].down = !servers[1].down
			world.after(1500, flap)
		}
		flap()
	}
	balancers := []*Balancer{}
	for at := range setup.fronts {
		choices := New(domains[at%3], seed+uint64(at), clock)
		choices.Update(state)
		balancers = append(balancers, choices)
	}
	idle := map[string][]float64{} // since when connections are, by front and runner
	var arrive func()
	arrive = func() {
		world.after(world.random.ExpFloat64()*1000/setup.rate, arrive)
		work, at := min(4*setup.work, world.spread(setup.work, 1)), world.random.IntN(setup.fronts)
		began := world.now
		result.asked++
		lease, err := balancers[at].Acquire(context.Background(), Need{Route: &route, Deadline: clock()})
		if err != nil {
			result.bad++
			return
		}
		chosen := byLife[lease.Runner.Life]
		if setup.random {
			chosen = servers[world.random.IntN(len(servers))]
		}
		if number := slices.Index(servers, chosen); number%3 != at%3 {
			result.far++
		}
		way := fmt.Sprint(at, slices.Index(servers, chosen))
		if last := len(idle[way]) - 1; last >= 0 && world.now-idle[way][last] < 10_000 {
			idle[way] = idle[way][:last]
		} else {
			result.opened++
			idle[way] = nil
		}
		world.after(0.5, func() {
			chosen.take(work, func(ending Ending) {
				world.after(0.5, func() {
					lease.Release(ending, nil)
					idle[way] = append(idle[way], world.now)
					if ending != Answered {
						result.bad++
						return
					}
					result.tooks = append(result.tooks, world.now-began)
				})
			})
		})
	}
	arrive()
	world.run(30_000)
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

func TestPlainWorkGoesWhereItIsDoneSoon(t *testing.T) {
	for _, setup := range plainDeployments {
		t.Run(setup.name, func(t *testing.T) {
			chosen := playPlain(3, setup)
			setup.random = true
			chance := playPlain(3, setup)
			waited, part := mean(chosen.tooks)/setup.work, float64(chosen.servers[0].completed)/float64(chosen.asked)
			t.Logf("chosen:    %v", chosen)
			t.Logf("by chance: %v", chance)
			if waited > setup.waited || float64(chosen.bad) > setup.bad*float64(chosen.asked) || part > setup.worstFirst || chosen.opened > chance.opened {
				t.Error("worse than it should be")
			}
		})
	}
}
