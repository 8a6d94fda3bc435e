package balancer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/runnerpool"
)

func TestLeaseValidityFollowsLatestState(t *testing.T) {
	cases := []struct {
		name   string
		change func(state *State)
		valid  bool
	}{
		{"nothing changed", func(*State) {}, true},
		{"the runner is draining", func(state *State) { state.View.Runners[0].State = feed.StateDraining }, false},
		{"the runner is not listed", func(state *State) { state.View.Runners = nil }, false},
		{"another incarnation answers at its address", func(state *State) { state.View.Runners[0].Incarnation = "other" }, false},
		{"its domain is drained", func(state *State) { state.View.Domains = []feed.Domain{{Name: "east", State: feed.StateDrained}} }, false},
		{"the route points to another service", func(state *State) {
			state.Routing.Routes[0].Shares = []config.WeightedService{{Service: "other", Weight: 1}}
		}, false},
		{"the weight is zero", func(state *State) { state.Routing.Routes[0].Shares = []config.WeightedService{{Service: "plain"}} }, false},
		{"the route is removed", func(state *State) { state.Routing.Routes = nil }, false},
		{"the route has another prefix", func(state *State) { state.Routing.Routes[0].Prefix = "/other/" }, false},
		{"the service is removed", func(state *State) { state.Routing.Services = nil }, false},
		{"only the timeout changed", func(state *State) { state.Routing.Routes[0].Timeout *= 2 }, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			route := routeTo(config.WeightedService{Service: "plain", Weight: 1})
			balancer := New("east", 1, newFakeClock().now)
			balancer.Update(stateOf([]config.Service{plainService()}, route, runnersOf("plain", 1, 6), 1))
			lease := mustAcquire(t, balancer, Request{Route: &route})
			later := stateOf([]config.Service{plainService()}, route, runnersOf("plain", 1, 6), 1)
			test.change(&later)
			balancer.Update(later)
			if lease.Valid() != test.valid {
				t.Fatalf("Valid is %v", lease.Valid())
			}
			lease.Release(NotSent, nil)
		})
	}
}

func TestLeaseServesRoutesOfItsService(t *testing.T) {
	route := routeTo(config.WeightedService{Service: "plain", Weight: 1})
	balancer := New("east", 1, newFakeClock().now)
	balancer.Update(stateOf([]config.Service{plainService()}, route, runnersOf("plain", 1, 6), 1))
	lease := mustAcquire(t, balancer, Request{Route: &route})
	for _, test := range []struct {
		shares []config.WeightedService
		serves bool
	}{
		{[]config.WeightedService{{Service: "plain", Weight: 1}}, true},
		{[]config.WeightedService{{Service: "other", Weight: 9}, {Service: "plain", Weight: 1}}, true},
		{[]config.WeightedService{{Service: "other", Weight: 9}, {Service: "plain"}}, false},
		{nil, false},
	} {
		narrower := routeTo(test.shares...)
		narrower.Name, narrower.Prefix = "narrower", "/work/narrower/"
		if lease.Serves(&narrower) != test.serves {
			t.Fatalf("route with the shares %v: Serves is %v", test.shares, !test.serves)
		}
	}
}

func TestReleaseIsIdempotent(t *testing.T) {
	route := routeTo(config.WeightedService{Service: "plain", Weight: 1})
	balancer := New("east", 1, newFakeClock().now)
	balancer.Update(stateOf([]config.Service{plainService()}, route, runnersOf("plain", 2, 6), 1))
	lease, other := mustAcquire(t, balancer, Request{Route: &route}), mustAcquire(t, balancer, Request{Route: &route})
	for range 3 {
		lease.Release(Answered, &runnerpool.Load{Running: 1, Slots: 6})
	}
	if inFlight := totalInFlight(balancer); inFlight != 1 {
		t.Fatalf("%d in flight", inFlight)
	}
	other.Release(Cancelled, nil)
	if inFlight := totalInFlight(balancer); inFlight != 0 {
		t.Fatalf("%d in flight", inFlight)
	}
}

func TestLeasesNeverLeak(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(20261203))
	properties.Property("only unreleased leases are counted as in flight", prop.ForAll(func(steps []int) string {
		route := routeTo(config.WeightedService{Service: "model", Weight: 2}, config.WeightedService{Service: "plain", Weight: 1})
		runners := append(runnersOf("model", 5, 2), runnersOf("plain", 4, 1)...)
		state := stateOf([]config.Service{modelService(4), plainService()}, route, runners, 2)
		clock := newFakeClock()
		balancer := New("east", 1, clock.now)
		balancer.Update(state)
		var leases []*Lease
		for index, step := range steps {
			clock.advance(time.Duration(step%97) * time.Millisecond)
			switch {
			case step%3 > 0:
				request := Request{Route: &route, Program: fmt.Sprint(step % 5), PromptParts: []PromptPart{{fmt.Sprint(step % 7), 500}}}
				request.Deadline = clock.now() // Acquire does not wait
				if lease, err := balancer.Acquire(context.Background(), request); err == nil {
					leases = append(leases, lease)
				}
			case len(leases) > 0:
				leases[0].FirstEvent(time.Duration(step) * time.Millisecond)
				leases[0].Release(Outcome(step/3%(int(Cancelled)+1)), nil)
				leases = leases[1:]
			}
			if step%50 == 0 {
				changed := state
				changed.View = &feed.View{Runners: runners[index%5:], Domains: []feed.Domain{{Name: domains[index%3], State: feed.StateDrained}}}
				balancer.Update(changed)
			}
		}
		for _, lease := range leases {
			lease.Release(Answered, nil)
		}
		balancer.Update(state)
		for key, runner := range balancer.runners {
			if runner.inFlight != 0 || runner.pendingPrefill > 1e-6 || runner.health.probesInFlight != 0 {
				return fmt.Sprintf("%s: %d in flight, %v tokens pending, %d probes", key, runner.inFlight, runner.pendingPrefill, runner.health.probesInFlight)
			}
		}
		if len(balancer.queue) != 0 {
			return "a request is still queued"
		}
		return ""
	}, gen.SliceOfN(300, gen.IntRange(0, 1000))))
	properties.TestingRun(t)
}
