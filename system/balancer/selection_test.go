package balancer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/runnerpool"
)

func TestPlainWorkSpreadsByInFlight(t *testing.T) {
	route := routeTo(config.WeightedService{Service: "plain", Weight: 1})
	balancer := New("east", 1, newFakeClock().now)
	balancer.Update(stateOf([]config.Service{plainService()}, route, runnersOf("plain", 3, 6), 1))
	counts := map[string]int{}
	for range 15 {
		counts[mustAcquire(t, balancer, Request{Route: &route}).Runner.Incarnation]++
	}
	for incarnation, count := range counts {
		if count < 4 || count > 6 {
			t.Fatalf("%s got %d of 15 requests", incarnation, count)
		}
	}
}

func TestReportedLoadIsConsidered(t *testing.T) {
	route, clock := routeTo(config.WeightedService{Service: "plain", Weight: 1}), newFakeClock()
	balancer := New("east", 1, clock.now)
	runners := runnersOf("plain", 2, 6)
	runners[1].Domain = "east"
	balancer.Update(stateOf([]config.Service{plainService()}, route, runners, 2))
	first := mustAcquire(t, balancer, Request{Route: &route})
	clock.advance(50 * time.Millisecond)
	first.Release(Answered, &runnerpool.Load{Running: 6, Waiting: 9, Slots: 6})
	for range 6 {
		if lease := mustAcquire(t, balancer, Request{Route: &route}); lease.Runner.Incarnation == first.Runner.Incarnation {
			t.Fatal("chose the runner that reported to be full")
		}
	}
}

// TestRequestBoundToAServiceIsSentNowhereElse guards against requests that are bound to a service and get
// a runner of another one, and against shares that they distort.
func TestRequestBoundToAServiceIsSentNowhereElse(t *testing.T) {
	route := routeTo(config.WeightedService{Service: "plain", Weight: 1}, config.WeightedService{Service: "model", Weight: 1})
	balancer := New("east", 1, newFakeClock().now)
	services := []config.Service{plainService(), modelService(0)}
	balancer.Update(stateOf(services, route, append(runnersOf("plain", 2, 1), runnersOf("model", 2, 32)...), 1))
	picked := map[string]int{}
	for range 10 {
		service, err := balancer.PickService(&route)
		if err != nil {
			t.Fatal(err)
		}
		picked[service]++
		lease := mustAcquire(t, balancer, Request{Route: &route, Service: service})
		if lease.Service.Name != service {
			t.Errorf("bound to %s, got %s", service, lease.Service.Name)
		}
		lease.Release(Answered, nil)
	}
	if picked["plain"] != 5 || picked["model"] != 5 {
		t.Errorf("shares %v, want 5 each", picked)
	}
	balancer.Update(stateOf(services, route, runnersOf("model", 2, 32), 1))
	if lease, err := balancer.Acquire(context.Background(), Request{Route: &route, Service: "plain"}); !apierror.Is(err, apierror.NotRun) {
		t.Errorf("without a runner of the service: %v %v", lease, err)
	}
	balancer.Update(stateOf(services, route, nil, 1))
	if service, err := balancer.PickService(&route); !apierror.Is(err, apierror.NotRun) {
		t.Errorf("without a runner: %q %v", service, err)
	}
}

func BenchmarkAcquire(b *testing.B) {
	for _, test := range []struct {
		name    string
		service config.Service
		runners int
		parts   int
	}{
		{"plain of 25", plainService(), 25, 0},
		{"plain of 133", plainService(), 133, 0},
		{"model of 18", modelService(22), 18, 12},
		{"model of 72", modelService(22), 72, 12},
	} {
		b.Run(test.name, func(b *testing.B) {
			route := routeTo(config.WeightedService{Service: test.service.Name, Weight: 1})
			balancer := New("east", 1, nil)
			balancer.Update(stateOf([]config.Service{test.service}, route, runnersOf(test.service.Name, test.runners, 32), 6))
			parts := []PromptPart{}
			for index := range test.parts {
				parts = append(parts, PromptPart{fmt.Sprintf("e44%02x", index), 500})
			}
			request := Request{Route: &route, Program: "3fa81c", Session: "77d20b", PromptParts: parts}
			b.ReportAllocs()
			for b.Loop() {
				lease, err := balancer.Acquire(context.Background(), request)
				if err != nil {
					b.Fatal(err)
				}
				lease.FirstEvent(80 * time.Millisecond)
				lease.Release(Answered, nil)
			}
		})
	}
}
