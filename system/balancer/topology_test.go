package balancer

import (
	"context"
	"math"
	"testing"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

func TestAcquireChoosesOnlyUsableRunners(t *testing.T) {
	cases := []struct {
		name     string
		change   func(state *State)
		excluded []string
		allowed  map[string]bool
	}{
		{"all", func(*State) {}, nil, map[string]bool{"plain-0": true, "plain-1": true, "plain-2": true}},
		{"one runner is draining", func(state *State) { state.View.Runners[0].State = feed.StateDraining }, nil, map[string]bool{"plain-1": true, "plain-2": true}},
		{"a domain is drained", func(state *State) {
			state.View.Domains = []feed.Domain{{Name: "north", State: feed.StateDrained}}
		}, nil, map[string]bool{"plain-0": true, "plain-2": true}},
		{"two are excluded", func(*State) {}, []string{"plain-0", "plain-1"}, map[string]bool{"plain-2": true}},
		{"all are excluded", func(*State) {}, []string{"plain-0", "plain-1", "plain-2"}, map[string]bool{}},
		{"no runners", func(state *State) { state.View.Runners = nil }, nil, map[string]bool{}},
		{"unknown service", func(state *State) { state.Routing.Services = nil }, nil, map[string]bool{}},
		{"runners of another service", func(state *State) {
			for index := range state.View.Runners {
				state.View.Runners[index].Group = "other"
			}
		}, nil, map[string]bool{}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			route := routeTo(config.WeightedService{Service: "plain", Weight: 1})
			state := stateOf([]config.Service{plainService()}, route, runnersOf("plain", 3, 6), 1)
			test.change(&state)
			clock := newFakeClock()
			balancer := New("east", 1, clock.now)
			balancer.Update(state)
			for range 12 {
				lease, err := balancer.Acquire(context.Background(), Request{Route: &route, Excluded: test.excluded})
				if len(test.allowed) == 0 {
					if failed := apierror.Of(err); failed.Kind != apierror.NotRun || failed.RetryAfter <= 0 {
						t.Fatalf("want a rejection with a retry delay, got %v", err)
					}
					continue
				}
				if err != nil || !test.allowed[lease.Runner.Incarnation] {
					t.Fatalf("got %v, %v; want one of %v", lease, err, test.allowed)
				}
			}
		})
	}
}

func TestConnectionLimitIsSharedAmongFronts(t *testing.T) {
	for _, test := range []struct{ limit, fronts, want int }{
		{96, 6, 12}, {620, 72, 6}, {10, 72, 2}, {230, 1, 184}, {0, 6, math.MaxInt32},
	} {
		service := config.Service{Name: "plain", MaxConnections: test.limit}
		route := routeTo(config.WeightedService{Service: "plain", Weight: 1})
		balancer := New("east", 1, newFakeClock().now)
		balancer.Update(stateOf([]config.Service{service}, route, runnersOf("plain", 1, 6), test.fronts))
		if lease := mustAcquire(t, balancer, Request{Route: &route}); lease.MaxConnections != test.want {
			t.Fatalf("limit %d for %d fronts: got %d connections, want %d", test.limit, test.fronts, lease.MaxConnections, test.want)
		}
	}
}
