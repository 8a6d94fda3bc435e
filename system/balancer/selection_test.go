package balancer

import (
	"context"
	"fmt"
	"testing"
	"time"

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
