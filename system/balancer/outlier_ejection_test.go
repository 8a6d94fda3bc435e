package balancer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"yardrock.example/system/config"
)

func TestOutcomesEjectRunner(t *testing.T) {
	cases := []struct {
		name             string
		outcomes         []Outcome
		latency          time.Duration
		minEjection      time.Duration // the runner gets no requests for at least this long
		maxExtraEjection time.Duration // and for at most this much longer; 0 if there is no bound
		unaffected       bool          // the runner still gets requests at once
	}{
		{"answered", []Outcome{Answered, Answered, Answered}, 20 * time.Millisecond, 0, 0, true},
		{"not sent", []Outcome{NotSent, NotSent}, 0, 0, 0, true},
		{"cancelled early", []Outcome{Cancelled}, 20 * time.Millisecond, 0, 0, true},
		{"rejected", []Outcome{Rejected}, time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, false},
		{"lost once", []Outcome{Lost}, time.Millisecond, 200 * time.Millisecond, 8 * time.Second, false},
		{"lost repeatedly", []Outcome{Lost, Lost, Lost}, time.Millisecond, 2 * time.Second, 40 * time.Second, false},
		{"failed repeatedly", []Outcome{Failed, Failed, Failed, Failed}, 20 * time.Millisecond, 900 * time.Millisecond, 60 * time.Second, false},
		{"unresponsive repeatedly", []Outcome{Cancelled, Cancelled, Cancelled, Cancelled, Cancelled, Cancelled}, 900 * time.Millisecond, 200 * time.Millisecond, 60 * time.Second, false},
		{"misdirected", []Outcome{Misdirected}, time.Millisecond, time.Hour, 0, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			balancer, clock, request := newPlainBalancer(6, 1)
			for _, incarnation := range []string{"plain-1", "plain-2", "plain-3"} {
				lease := mustAcquireAt(t, balancer, request, incarnation)
				clock.advance(20 * time.Millisecond)
				lease.Release(Answered, nil)
			}
			for _, outcome := range test.outcomes {
				lease := mustAcquireAt(t, balancer, request, "plain-0")
				clock.advance(test.latency)
				lease.Release(outcome, nil)
			}
			// receivesRequests reports whether the runner gets one of 24 concurrent requests.
			receivesRequests := func() bool {
				found := false
				var leases []*Lease
				for range 24 {
					lease := mustAcquire(t, balancer, request)
					found = found || lease.Runner.Incarnation == "plain-0"
					leases = append(leases, lease)
				}
				for _, lease := range leases {
					lease.Release(NotSent, nil)
				}
				return found
			}
			if receivesRequests() != test.unaffected {
				t.Fatalf("got requests at once: %v", !test.unaffected)
			}
			if test.unaffected {
				return
			}
			clock.advance(test.minEjection - 10*time.Millisecond)
			if receivesRequests() {
				t.Fatalf("got requests again in less than %v", test.minEjection)
			}
			if test.maxExtraEjection == 0 {
				return
			}
			clock.advance(test.maxExtraEjection)
			if !receivesRequests() {
				t.Fatalf("got no requests %v after the shortest ejection", test.maxExtraEjection)
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
	for probe := range recoveryProbes {
		var leases []*Lease
		probes := 0
		for range 30 {
			lease := mustAcquire(t, balancer, request)
			if lease.Runner.Incarnation == "plain-0" {
				probes++
			}
			leases = append(leases, lease)
		}
		if probes != 1 {
			t.Fatalf("%d concurrent requests during probe %d, want 1", probes, probe)
		}
		clock.advance(20 * time.Millisecond)
		for _, lease := range leases {
			lease.Release(Answered, nil)
		}
	}
	received := 0
	for range 30 {
		if mustAcquire(t, balancer, request).Runner.Incarnation == "plain-0" {
			received++
		}
	}
	if received < 3 {
		t.Fatalf("the recovered runner got %d of 30 requests", received)
	}
}

func TestMisdirectedRunnersStayExcluded(t *testing.T) {
	balancer, clock, request := newPlainBalancer(3, 1)
	lease := mustAcquireAt(t, balancer, request, "plain-0")
	lease.Release(Misdirected, nil)
	if lease.Valid() {
		t.Fatal("the lease on a misdirected runner is still valid")
	}
	for range 3 {
		clock.advance(time.Minute)
		balancer.Update(stateOf([]config.Service{plainService()}, *request.Route, runnersOf("plain", 3, 6), 1))
		for range 12 {
			if mustAcquire(t, balancer, request).Runner.Incarnation == "plain-0" {
				t.Fatal("a misdirected runner was chosen again")
			}
		}
	}
}

func TestEjectionLeavesEnoughRunners(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(20261205))
	properties.Property("at most a third is ejected, and the remaining slots meet the demand", prop.ForAll(func(seed uint64, runners, occupied int) string {
		random := rand.New(rand.NewPCG(seed, 2))
		balancer, clock, request := newPlainBalancer(runners, 2)
		for range min(occupied, 4*runners) {
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
			for _, runner := range balancer.Status().Runners {
				if runner.Ejected {
					ejected++
				} else {
					slots += 6
				}
			}
			if 3*ejected > runners {
				return fmt.Sprintf("%d of %d runners are ejected", ejected, runners)
			}
			if demand := 2 * min(occupied, 4*runners); ejected > 0 && clock.time.Sub(balancer.started) > 10*time.Second && demand > slots {
				return fmt.Sprintf("%d runners are ejected, %d slots remain for a demand of %d", ejected, slots, demand)
			}
		}
		return ""
	}, gen.UInt64(), gen.IntRange(1, 30), gen.IntRange(0, 60)))
	properties.TestingRun(t)
}
