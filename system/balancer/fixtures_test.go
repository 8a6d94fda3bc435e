package balancer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

// fakeClock is a clock that tests advance explicitly.
type fakeClock struct{ time time.Time }

func newFakeClock() *fakeClock { return &fakeClock{time: time.Unix(1_000_000, 0)} }

func (clock *fakeClock) now() time.Time { return clock.time }

func (clock *fakeClock) advance(duration time.Duration) { clock.time = clock.time.Add(duration) }

var domains = []string{"east", "north", "west"}

func modelService(warmUpRate float64) config.Service {
	return config.Service{
		Name: "model", MaxConnections: 240, WarmUp: config.Duration(3 * time.Second), WarmUpRate: warmUpRate,
		Engine: &config.Engine{Slots: 32, CacheTokens: 200_000, TokensPerEvent: 4},
	}
}

func plainService() config.Service { return config.Service{Name: "plain", MaxConnections: 96} }

func runnersOf(group string, count, slots int) []feed.Runner {
	runners := make([]feed.Runner, count)
	for index := range runners {
		runners[index] = feed.Runner{
			Incarnation: fmt.Sprintf("%s-%d", group, index), Address: fmt.Sprintf("10.0.0.%d:80", index), Group: group,
			Domain: domains[index%len(domains)], State: feed.StateServing, Slots: uint32(slots),
		}
	}
	return runners
}

func routeTo(services ...config.WeightedService) config.Route {
	return config.Route{
		Name: "work", Host: "host", Prefix: "/work/", FirstByteTarget: config.Duration(250 * time.Millisecond),
		Timeout: config.Duration(4 * time.Second), Shares: services, MaxAttempts: 2,
	}
}

func stateOf(services []config.Service, route config.Route, runners []feed.Runner, fronts int) State {
	return State{
		View: &feed.View{Runners: runners}, FrontCount: fronts,
		Routing: &config.Routing{Routes: []config.Route{route}, Services: services},
	}
}

func mustAcquire(t testing.TB, balancer *Balancer, request Request) *Lease {
	t.Helper()
	lease, err := balancer.Acquire(context.Background(), request)
	if err != nil {
		t.Fatal(err)
	}
	return lease
}

func totalInFlight(balancer *Balancer) int {
	total := 0
	for _, runner := range balancer.Status().Runners {
		total += runner.InFlight
	}
	return total
}

func newPlainBalancer(runners, fronts int) (*Balancer, *fakeClock, Request) {
	route, clock := routeTo(config.WeightedService{Service: "plain", Weight: 1}), newFakeClock()
	balancer := New("east", 1, clock.now)
	balancer.Update(stateOf([]config.Service{plainService()}, route, runnersOf("plain", runners, 6), fronts))
	return balancer, clock, Request{Route: &route}
}

// mustAcquireAt acquires a lease on a specific runner by excluding all others.
func mustAcquireAt(t *testing.T, balancer *Balancer, request Request, incarnation string) *Lease {
	t.Helper()
	for _, runner := range balancer.Status().Runners {
		if runner.Runner.Incarnation != incarnation {
			request.Excluded = append(request.Excluded, runner.Runner.Incarnation)
		}
	}
	return mustAcquire(t, balancer, request)
}
