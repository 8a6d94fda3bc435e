package balancer

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/runnerpool"
)

// fakeClock is a clock that tests advance by hand.
type fakeClock struct{ time time.Time }

func newFakeClock() *fakeClock { return &fakeClock{time: time.Unix(1_000_000, 0)} }

func (clock *fakeClock) now() time.Time { return clock.time }

func (clock *fakeClock) advance(span time.Duration) { clock.time = clock.time.Add(span) }

var domains = []string{"east", "north", "west"}

func modelService(slowStartRate float64) config.Service {
	return config.Service{
		Name: "model", MaxConnections: 240, WarmUp: config.Duration(3 * time.Second), WarmUpRate: slowStartRate,
		Engine: &config.Engine{Slots: 32, CacheTokens: 200_000, TokensPerEvent: 4},
	}
}

func plainService() config.Service { return config.Service{Name: "plain", MaxConnections: 96} }

func runnersOf(group string, count, slots int) []feed.Runner {
	runners := make([]feed.Runner, count)
	for at := range runners {
		runners[at] = feed.Runner{
			Life: fmt.Sprintf("%s-%d", group, at), Address: fmt.Sprintf("10.0.0.%d:80", at), Group: group,
			Domain: domains[at%len(domains)], State: feed.StateServing, Slots: uint32(slots),
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

func TestAcquireChoosesOnlyUsableRunners(t *testing.T) {
	cases := []struct {
		name    string
		change  func(state *State)
		avoid   []string
		allowed map[string]bool
	}{
		{"all", func(*State) {}, nil, map[string]bool{"plain-0": true, "plain-1": true, "plain-2": true}},
		{"one is draining", func(state *State) { state.View.Runners[0].State = feed.StateDraining }, nil, map[string]bool{"plain-1": true, "plain-2": true}},
		{"a domain is drained", func(state *State) {
			state.View.Domains = []feed.Domain{{Name: "north", State: feed.StateDrained}}
		}, nil, map[string]bool{"plain-0": true, "plain-2": true}},
		{"two were tried", func(*State) {}, []string{"plain-0", "plain-1"}, map[string]bool{"plain-2": true}},
		{"all were tried", func(*State) {}, []string{"plain-0", "plain-1", "plain-2"}, map[string]bool{}},
		{"no runners", func(state *State) { state.View.Runners = nil }, nil, map[string]bool{}},
		{"service unknown", func(state *State) { state.Routing.Services = nil }, nil, map[string]bool{}},
		{"runners of another service", func(state *State) {
			for at := range state.View.Runners {
				state.View.Runners[at].Group = "other"
			}
		}, nil, map[string]bool{}},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			route := routeTo(config.WeightedService{Service: "plain", Weight: 1})
			state := stateOf([]config.Service{plainService()}, route, runnersOf("plain", 3, 6), 1)
			one.change(&state)
			clock := newFakeClock()
			balancer := New("east", 1, clock.now)
			balancer.Update(state)
			for range 12 {
				lease, err := balancer.Acquire(context.Background(), Request{Route: &route, Excluded: one.avoid})
				if len(one.allowed) == 0 {
					if failed := apierror.Of(err); failed.Kind != apierror.NotRun || failed.RetryAfter <= 0 {
						t.Fatalf("want a rejection with a retry delay, got %v", err)
					}
					continue
				}
				if err != nil || !one.allowed[lease.Runner.Life] {
					t.Fatalf("got %v, %v; want one of %v", lease, err, one.allowed)
				}
			}
		})
	}
}

func TestLeaseValidityFollowsLatestState(t *testing.T) {
	cases := []struct {
		name   string
		change func(state *State)
		stands bool
	}{
		{"nothing changed", func(*State) {}, true},
		{"the runner is draining", func(state *State) { state.View.Runners[0].State = feed.StateDraining }, false},
		{"the runner is not listed", func(state *State) { state.View.Runners = nil }, false},
		{"another life has its address", func(state *State) { state.View.Runners[0].Life = "other" }, false},
		{"its domain is drained", func(state *State) { state.View.Domains = []feed.Domain{{Name: "east", State: feed.StateDrained}} }, false},
		{"the route goes elsewhere", func(state *State) {
			state.Routing.Routes[0].Shares = []config.WeightedService{{Service: "other", Weight: 1}}
		}, false},
		{"the weight is zero", func(state *State) { state.Routing.Routes[0].Shares = []config.WeightedService{{Service: "plain"}} }, false},
		{"the route is removed", func(state *State) { state.Routing.Routes = nil }, false},
		{"the route has another prefix", func(state *State) { state.Routing.Routes[0].Prefix = "/other/" }, false},
		{"the service is removed", func(state *State) { state.Routing.Services = nil }, false},
		{"only the time-out changed", func(state *State) { state.Routing.Routes[0].Timeout *= 2 }, true},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			route := routeTo(config.WeightedService{Service: "plain", Weight: 1})
			balancer := New("east", 1, newFakeClock().now)
			balancer.Update(stateOf([]config.Service{plainService()}, route, runnersOf("plain", 1, 6), 1))
			lease := mustAcquire(t, balancer, Request{Route: &route})
			later := stateOf([]config.Service{plainService()}, route, runnersOf("plain", 1, 6), 1)
			one.change(&later)
			balancer.Update(later)
			if lease.Valid() != one.stands {
				t.Fatalf("valid: %v", lease.Valid())
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
	for _, one := range []struct {
		shares []config.WeightedService
		serves bool
	}{
		{[]config.WeightedService{{Service: "plain", Weight: 1}}, true},
		{[]config.WeightedService{{Service: "other", Weight: 9}, {Service: "plain", Weight: 1}}, true},
		{[]config.WeightedService{{Service: "other", Weight: 9}, {Service: "plain"}}, false},
		{nil, false},
	} {
		narrower := routeTo(one.shares...)
		narrower.Name, narrower.Prefix = "narrower", "/work/narrower/"
		if lease.Serves(&narrower) != one.serves {
			t.Fatalf("a route with the shares %v: %v", one.shares, !one.serves)
		}
	}
}

func TestConnectionLimitIsSharedAmongFronts(t *testing.T) {
	for _, one := range []struct{ peak, fronts, want int }{
		{96, 6, 12}, {620, 72, 6}, {10, 72, 2}, {230, 1, 184}, {0, 6, math.MaxInt32},
	} {
		service := config.Service{Name: "plain", MaxConnections: one.peak}
		route := routeTo(config.WeightedService{Service: "plain", Weight: 1})
		balancer := New("east", 1, newFakeClock().now)
		balancer.Update(stateOf([]config.Service{service}, route, runnersOf("plain", 1, 6), one.fronts))
		if lease := mustAcquire(t, balancer, Request{Route: &route}); lease.MaxConnections != one.want {
			t.Fatalf("%d connections over %d fronts: got %d, want %d", one.peak, one.fronts, lease.MaxConnections, one.want)
		}
	}
}

func TestWeightedRoundRobinStaysWithinOneOfWeights(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(20261202))
	properties.Property("each share is within one of its weight at every time", prop.ForAll(func(first, second, third int) string {
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
					return fmt.Sprintf("after %d, %s had %v of weight %v", requested, name, counts[name], weight)
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

func TestReleaseIsIdempotent(t *testing.T) {
	route := routeTo(config.WeightedService{Service: "plain", Weight: 1})
	balancer := New("east", 1, newFakeClock().now)
	balancer.Update(stateOf([]config.Service{plainService()}, route, runnersOf("plain", 2, 6), 1))
	lease, other := mustAcquire(t, balancer, Request{Route: &route}), mustAcquire(t, balancer, Request{Route: &route})
	for range 3 {
		lease.Release(Answered, &runnerpool.Load{Running: 1, Slots: 6})
	}
	if out := totalInFlight(balancer); out != 1 {
		t.Fatalf("%d in flight", out)
	}
	other.Release(Cancelled, nil)
	if out := totalInFlight(balancer); out != 0 {
		t.Fatalf("%d in flight", out)
	}
}

func totalInFlight(balancer *Balancer) int {
	out := 0
	for _, one := range balancer.Status().Runners {
		out += one.InFlight
	}
	return out
}

func TestLeasesNeverLeak(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(20261203))
	properties.Property("in flight are the leases that were not released", prop.ForAll(func(steps []int) string {
		route := routeTo(config.WeightedService{Service: "model", Weight: 2}, config.WeightedService{Service: "plain", Weight: 1})
		runners := append(runnersOf("model", 5, 2), runnersOf("plain", 4, 1)...)
		state := stateOf([]config.Service{modelService(4), plainService()}, route, runners, 2)
		clock := newFakeClock()
		balancer := New("east", 1, clock.now)
		balancer.Update(state)
		var out []*Lease
		for at, step := range steps {
			clock.advance(time.Duration(step%97) * time.Millisecond)
			switch {
			case step%3 > 0:
				request := Request{Route: &route, Program: fmt.Sprint(step % 5), PromptParts: []PromptPart{{fmt.Sprint(step % 7), 500}}}
				request.Deadline = clock.now() // no time to wait
				if lease, err := balancer.Acquire(context.Background(), request); err == nil {
					out = append(out, lease)
				}
			case len(out) > 0:
				out[0].FirstEvent(time.Duration(step) * time.Millisecond)
				out[0].Release(Outcome(step/3%(int(Cancelled)+1)), nil)
				out = out[1:]
			}
			if step%50 == 0 {
				changed := state
				changed.View = &feed.View{Runners: runners[at%5:], Domains: []feed.Domain{{Name: domains[at%3], State: feed.StateDrained}}}
				balancer.Update(changed)
			}
		}
		for _, lease := range out {
			lease.Release(Answered, nil)
		}
		balancer.Update(state)
		for key, one := range balancer.runners {
			if one.inFlight != 0 || one.pendingPrefill > 1e-6 || one.health.probesInFlight != 0 {
				return fmt.Sprintf("%s: %d in flight, %v tokens pending, %d probes", key, one.inFlight, one.pendingPrefill, one.health.probesInFlight)
			}
		}
		if len(balancer.queue) != 0 {
			return "a request waits"
		}
		return ""
	}, gen.SliceOfN(300, gen.IntRange(0, 1000))))
	properties.TestingRun(t)
}

func TestPlainWorkSpreadsByInFlight(t *testing.T) {
	route := routeTo(config.WeightedService{Service: "plain", Weight: 1})
	balancer := New("east", 1, newFakeClock().now)
	balancer.Update(stateOf([]config.Service{plainService()}, route, runnersOf("plain", 3, 6), 1))
	counts := map[string]int{}
	for range 15 {
		counts[mustAcquire(t, balancer, Request{Route: &route}).Runner.Life]++
	}
	for life, count := range counts {
		if count < 4 || count > 6 {
			t.Fatalf("%s has %d of 15", life, count)
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
		if lease := mustAcquire(t, balancer, Request{Route: &route}); lease.Runner.Life == first.Runner.Life {
			t.Fatal("chose the runner that reported it is full")
		}
	}
}

func TestTurnsFollowPrefixCache(t *testing.T) {
	route := routeTo(config.WeightedService{Service: "model", Weight: 1})
	clock := newFakeClock()
	balancer := New("east", 1, clock.now)
	balancer.Update(stateOf([]config.Service{modelService(0)}, route, runnersOf("model", 12, 32), 6))
	parts := []PromptPart{{"prefix", 2560}, {"p/1", 900}}
	first := mustAcquire(t, balancer, Request{Route: &route, Program: "p", Session: "s", PromptParts: parts, Excluded: []string{"model-0"}})
	first.FirstEvent(100 * time.Millisecond)
	first.Release(Answered, nil)
	for turn := range 5 {
		clock.advance(400 * time.Millisecond)
		parts = append(parts, PromptPart{fmt.Sprintf("p/%d", turn+2), 500})
		lease := mustAcquire(t, balancer, Request{Route: &route, Program: "p", Session: fmt.Sprint("helper", turn), PromptParts: parts})
		if lease.Runner.Life != first.Runner.Life {
			t.Fatalf("turn %d went to %s, its parts are cached at %s", turn, lease.Runner.Life, first.Runner.Life)
		}
		lease.Release(Answered, nil)
	}
	for range 40 { // the runner gets clearly busier
		balancer.mutex.Lock()
		balancer.runners[first.Runner.Life].inFlight++
		balancer.mutex.Unlock()
	}
	if lease := mustAcquire(t, balancer, Request{Route: &route, Program: "p", PromptParts: parts}); lease.Runner.Life == first.Runner.Life {
		t.Fatal("a full runner was chosen for its cached parts")
	}
}

func TestFrontsOfDomainChooseSameRunnerIndependently(t *testing.T) {
	route := routeTo(config.WeightedService{Service: "model", Weight: 1})
	state := stateOf([]config.Service{modelService(0)}, route, runnersOf("model", 12, 32), 6)
	agreed, near := 0, 0
	for program := range 100 {
		request := Request{Route: &route, Program: fmt.Sprint(program), PromptParts: []PromptPart{{"prefix", 2560}, {fmt.Sprint("p", program), 900}}}
		lives := map[string]bool{}
		for seed := range uint64(4) {
			balancer := New("east", seed, newFakeClock().now)
			balancer.Update(state)
			lease := mustAcquire(t, balancer, request)
			lives[lease.Runner.Life] = true
			if lease.Runner.Domain == "east" {
				near++
			}
		}
		if len(lives) == 1 {
			agreed++
		}
	}
	if agreed != 100 || near != 400 {
		t.Fatalf("agreed on %d of 100 programs, %d of 400 in the own domain", agreed, near)
	}
}

func TestGenerationalCacheEvictsLeastRecentlyUsed(t *testing.T) {
	cached := generationalCache[int]{}
	for key := range uint64(3 * cacheGenerationSize) {
		cached.put(key, int(key))
		cached.put(1, 1)
	}
	if _, found := cached.get(1); !found {
		t.Fatal("an entry in regular use was dropped")
	}
	if _, found := cached.get(2); found || len(cached.newer)+len(cached.older) > 2*cacheGenerationSize {
		t.Fatalf("%d entries are kept", len(cached.newer)+len(cached.older))
	}
}

func TestQueueServesByUrgencyThenDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		urgent, patient := routeTo(config.WeightedService{Service: "plain", Weight: 1}), routeTo(config.WeightedService{Service: "plain", Weight: 1})
		patient.Name, patient.Urgency = "patient", 3
		state := stateOf([]config.Service{plainService()}, urgent, runnersOf("plain", 1, 4), 1)
		state.Routing.Routes = append(state.Routing.Routes, patient)
		balancer := New("east", 1, nil)
		balancer.Update(state)
		var full []*Lease
		for range 4 * queueFactor {
			full = append(full, mustAcquire(t, balancer, Request{Route: &urgent}))
		}
		requests := []Request{
			{Route: &patient, Session: "last", FinishBy: time.Now().Add(time.Second)},
			{Route: &urgent, Session: "second", FinishBy: time.Now().Add(9 * time.Second)},
			{Route: &urgent, Session: "first", FinishBy: time.Now().Add(5 * time.Second)},
		}
		var order []string
		var mutex sync.Mutex
		for _, request := range requests {
			go func() {
				if _, err := balancer.Acquire(t.Context(), request); err == nil {
					mutex.Lock()
					order = append(order, request.Session)
					mutex.Unlock()
				}
			}()
			synctest.Wait()
		}
		if waiting := balancer.Status().Queued; waiting != 3 {
			t.Fatalf("%d wait", waiting)
		}
		for _, lease := range full[:2] {
			lease.Release(Answered, nil)
			synctest.Wait()
		}
		time.Sleep(time.Second)
		if fmt.Sprint(order) != "[first second]" || balancer.Status().Queued != 0 {
			t.Fatalf("served %v, %d wait", order, balancer.Status().Queued)
		}
	})
}

func TestRejectionsAreTimely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := routeTo(config.WeightedService{Service: "plain", Weight: 1})
		balancer := New("east", 1, nil)
		balancer.Update(stateOf([]config.Service{plainService()}, route, runnersOf("plain", 1, 1), 1))
		for range queueFactor {
			mustAcquire(t, balancer, Request{Route: &route})
		}
		began := time.Now()
		_, err := balancer.Acquire(t.Context(), Request{Route: &route, Deadline: began.Add(time.Second)})
		waited := time.Since(began)
		if failed := apierror.Of(err); failed.Kind != apierror.NotRun || failed.RetryAfter <= 0 || waited >= time.Duration(route.FirstByteTarget)/4 {
			t.Fatalf("rejected after %v: %v", waited, err)
		}
		if out := totalInFlight(balancer); out != queueFactor {
			t.Fatalf("%d in flight", out)
		}
	})
}

func BenchmarkAcquire(b *testing.B) {
	for _, one := range []struct {
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
		b.Run(one.name, func(b *testing.B) {
			route := routeTo(config.WeightedService{Service: one.service.Name, Weight: 1})
			balancer := New("east", 1, nil)
			balancer.Update(stateOf([]config.Service{one.service}, route, runnersOf(one.service.Name, one.runners, 32), 6))
			parts := []PromptPart{}
			for at := range one.parts {
				parts = append(parts, PromptPart{fmt.Sprintf("e44%02x", at), 500})
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
