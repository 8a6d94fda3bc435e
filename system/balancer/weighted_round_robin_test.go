package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

func TestWeightedRoundRobinStaysWithinOneOfWeights(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(20261202))
	properties.Property("every count stays within one request of its weighted share", prop.ForAll(func(first, second, third int) string {
		weights := map[string]float64{"a": float64(first), "b": float64(second), "c": float64(third)}
		route, state := routeTo(), State{View: &feed.View{}, Routing: &config.Routing{}, FrontCount: 3}
		for _, name := range []string{"a", "b", "c"} {
			route.Shares = append(route.Shares, config.WeightedService{Service: name, Weight: weights[name]})
			state.Routing.Services = append(state.Routing.Services, config.Service{Name: name})
			state.View.Runners = append(state.View.Runners, runnersOf(name, 3, 6)...)
		}
		state.Routing.Routes = []config.Route{route}
		clock := newFakeClock()
		balancer := New("east", 1, clock.now)
		balancer.Update(state)
		total, counts := float64(first+second+third), map[string]float64{}
		for requested := 1; requested <= 200; requested++ {
			lease := mustAcquire(t, balancer, Request{Route: &route})
			counts[lease.Service.Name]++
			lease.Release(Answered, nil)
			clock.advance(time.Millisecond)
			for name, weight := range weights {
				if math.Abs(counts[name]-float64(requested)*weight/total) > 1.000001 {
					return fmt.Sprintf("after %d requests, %s got %v at weight %v", requested, name, counts[name], weight)
				}
			}
		}
		return ""
	}, gen.IntRange(1, 50), gen.IntRange(0, 50), gen.IntRange(0, 9)))
	properties.TestingRun(t)
}

func TestServicesWithoutUsableRunnersGetNoShare(t *testing.T) {
	route := routeTo(config.WeightedService{Service: "a", Weight: 9}, config.WeightedService{Service: "b", Weight: 1})
	state := stateOf([]config.Service{{Name: "a"}, {Name: "b"}}, route, runnersOf("b", 2, 6), 1)
	balancer := New("east", 1, newFakeClock().now)
	balancer.Update(state)
	for range 10 {
		if lease := mustAcquire(t, balancer, Request{Route: &route}); lease.Service.Name != "b" {
			t.Fatal(lease.Service.Name)
		}
	}
}
