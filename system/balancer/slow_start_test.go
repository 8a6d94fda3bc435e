package balancer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

// peakPerSecond returns the largest number of arrivals in any one second.
func peakPerSecond(arrivals []time.Time) int {
	peak, start := 0, 0
	for index := range arrivals {
		for arrivals[index].Sub(arrivals[start]) > time.Second {
			start++
		}
		peak = max(peak, index-start+1)
	}
	return peak
}

// simulateSlowStart lets many fronts send as much as they can to runners in slow start. If
// changing is set, fronts join and leave, which each front learns up to a second late. It
// returns the peak of requests per second at one runner and the number of requests sent.
func simulateSlowStart(seed uint64, fronts int, rate float64, named, changing bool) (peak, sent int) {
	random := rand.New(rand.NewPCG(seed, 1))
	clock := newFakeClock()
	service := modelService(rate)
	route := routeTo(config.WeightedService{Service: "model", Weight: 1})
	runners := runnersOf("model", 3, 32)
	for index := range runners {
		runners[index].State, runners[index].WarmUpLeft = feed.StateWarmingUp, time.Minute
	}
	live := []string{}
	for index := range fronts {
		live = append(live, fmt.Sprintf("front-%d", index))
	}
	balancers := map[string]*Balancer{}
	type delivery struct {
		front string
		at    time.Time
		state State
	}
	var deliveries []delivery
	started := 0
	publish := func() {
		for _, front := range live {
			if balancers[front] == nil {
				started++
				balancers[front] = New(domains[started%3], random.Uint64(), clock.now)
			}
			state := stateOf([]config.Service{service}, route, runners, len(live))
			if state.FrontName = front; named {
				state.FrontNames = slices.Clone(live)
			}
			deliveries = append(deliveries, delivery{front, clock.time.Add(time.Duration(random.IntN(1000)) * time.Millisecond), state})
		}
	}
	publish()
	arrivals := map[string][]time.Time{}
	for range 600 { // 12 s in steps of 20 ms
		clock.advance(20 * time.Millisecond)
		if changing && random.IntN(75) == 0 {
			live = changeFronts(random, live, balancers, started)
			publish()
		}
		deliveries = slices.DeleteFunc(deliveries, func(message delivery) bool {
			if clock.time.Before(message.at) {
				return false
			}
			if front := balancers[message.front]; front != nil {
				front.Update(message.state)
			}
			return true
		})
		for _, front := range live {
			lease, err := balancers[front].Acquire(context.Background(), Request{Route: &route, Program: fmt.Sprint(random.IntN(50)), Deadline: clock.time})
			if err == nil {
				arrivals[lease.Runner.Incarnation] = append(arrivals[lease.Runner.Incarnation], clock.time)
				lease.FirstEvent(50 * time.Millisecond)
				lease.Release(Answered, nil)
				sent++
			}
		}
	}
	for _, times := range arrivals {
		peak = max(peak, peakPerSecond(times))
	}
	return peak, sent
}

// changeFronts removes a front or adds one.
func changeFronts(random *rand.Rand, live []string, balancers map[string]*Balancer, started int) []string {
	index := random.IntN(len(live))
	if random.IntN(2) == 0 && len(live) > 1 {
		delete(balancers, live[index])
		return slices.Delete(slices.Clone(live), index, index+1)
	}
	return append(slices.Clone(live), fmt.Sprintf("front-%d", 1000+started))
}

func TestSlowStartRateLimitHoldsAcrossFronts(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	properties.Property("in any second a runner in slow start gets at most the limit from all fronts together", prop.ForAll(func(seed uint64, fronts int, rate float64, named, changing bool) string {
		peak, _ := simulateSlowStart(seed, fronts, rate, named, changing)
		if float64(peak) > slowStartExcess*rate+slowStartSlack {
			return fmt.Sprintf("%d fronts sent %d requests in a second at a warm-up rate of %v", fronts, peak, rate)
		}
		return ""
	}, gen.UInt64(), gen.IntRange(1, 24), gen.Float64Range(0.3, 30), gen.Bool(), gen.Bool()))
	properties.TestingRun(t)
}

func TestSlowStartRunnersAreUsed(t *testing.T) {
	for _, test := range []struct {
		fronts      int
		rate        float64
		named       bool
		minFraction float64 // of the requests that the warm-up rate of three runners allows in ten seconds
	}{{1, 19, true, 0.7}, {6, 22, true, 0.7}, {6, 22, false, 0.7}, {72, 19, true, 0.6}, {3, 0.5, true, 0.3}} {
		peak, sent := simulateSlowStart(7, test.fronts, test.rate, test.named, false)
		if float64(sent) < test.minFraction*30*test.rate {
			t.Errorf("%d fronts sent %d requests in ten seconds, with a peak of %d per second, at a warm-up rate of %v", test.fronts, sent, peak, test.rate)
		}
	}
}

func TestSlowStartTriggers(t *testing.T) {
	cases := []struct {
		name      string
		before    func(state *State)
		after     func(state *State)
		slowStart bool
	}{
		{"nothing changed", func(*State) {}, func(*State) {}, false},
		{"the list has a remaining warm-up", func(*State) {}, func(state *State) { state.View.Runners[0].WarmUpLeft = time.Second }, true},
		{"its state is warming up", func(*State) {}, func(state *State) { state.View.Runners[0].State = feed.StateWarmingUp }, true},
		{"it has a new incarnation", func(*State) {}, func(state *State) { state.View.Runners[0].Incarnation = "new" }, true},
		{"its domain was restored", func(state *State) {
			state.View.Domains = []feed.Domain{{Name: "east", State: feed.StateDrained}}
		}, func(state *State) {
			state.View.Domains = []feed.Domain{{Name: "east", State: feed.StateServing}}
		}, true},
		{"its domain was drained and restored between two views", func(state *State) {
			state.View.Domains = []feed.Domain{{Name: "east", State: feed.StateServing, Since: 1}}
		}, func(state *State) {
			state.View.Domains = []feed.Domain{{Name: "east", State: feed.StateServing, Since: 9}}
		}, true},
		{"another domain was restored", func(state *State) {
			state.View.Domains = []feed.Domain{{Name: "west", State: feed.StateDrained}}
		}, func(state *State) {
			state.View.Domains = []feed.Domain{{Name: "west", State: feed.StateServing}}
		}, false},
		{"it left the list for a while", func(*State) {}, func(state *State) {
			state.View.Runners = state.View.Runners[1:]
		}, false},
		{"its service has no warm-up rate", func(*State) {}, func(state *State) {
			state.View.Runners[0].State = feed.StateWarmingUp
			state.Routing.Services[0].WarmUpRate = 0
		}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			clock := newFakeClock()
			balancer := New("east", 1, clock.now)
			newState := func() State {
				return stateOf([]config.Service{modelService(19)}, routeTo(config.WeightedService{Service: "model", Weight: 1}), runnersOf("model", 3, 32), 1)
			}
			state := newState()
			test.before(&state)
			balancer.Update(state)
			clock.advance(10 * time.Second)
			balancer.Update(state)
			state = newState()
			test.after(&state)
			balancer.Update(state)
			slowStart := false
			for _, runner := range balancer.Status().Runners {
				slowStart = slowStart || runner.SlowStart && runner.Runner.Domain == "east"
			}
			if slowStart != test.slowStart {
				t.Fatalf("slow start: %v", slowStart)
			}
			clock.advance(3100 * time.Millisecond)
			for _, runner := range balancer.Status().Runners {
				if runner.SlowStart {
					t.Fatalf("%s is still in slow start", runner.Runner.Incarnation)
				}
			}
		})
	}
}

func TestSlowStartFollowsRunnerList(t *testing.T) {
	type step struct {
		after     time.Duration
		change    func(state *State)
		slowStart bool
	}
	listed := func(state string, warmUpLeft time.Duration, since int64) func(*State) {
		return func(change *State) {
			change.View.Runners[0].State, change.View.Runners[0].WarmUpLeft, change.View.Runners[0].Since = state, warmUpLeft, since
		}
	}
	domain := func(state string, since int64) func(*State) {
		return func(change *State) {
			change.View.Domains = []feed.Domain{{Name: "east", State: state, Since: since}}
		}
	}
	combined := func(first, second func(*State)) func(*State) {
		return func(change *State) { first(change); second(change) }
	}
	for _, test := range []struct {
		name  string
		steps []step
	}{
		{"an unchanged entry does not restart the warm-up", []step{
			{0, listed(feed.StateWarmingUp, 3*time.Second, 1), true},
			{2 * time.Second, listed(feed.StateWarmingUp, 3*time.Second, 1), true},
			{1100 * time.Millisecond, listed(feed.StateWarmingUp, 3*time.Second, 1), false},
		}},
		{"serving ends the warm-up", []step{
			{0, listed(feed.StateWarmingUp, 30*time.Second, 1), true},
			{2 * time.Second, listed(feed.StateServing, 0, 2), false},
		}},
		{"a changed entry restarts the warm-up", []step{
			{0, listed(feed.StateWarmingUp, 3*time.Second, 1), true},
			{2 * time.Second, listed(feed.StateWarmingUp, 2900*time.Millisecond, 1), true},
			{2800 * time.Millisecond, listed(feed.StateWarmingUp, 2900*time.Millisecond, 1), true},
			{200 * time.Millisecond, listed(feed.StateWarmingUp, 2900*time.Millisecond, 1), false},
		}},
		{"after a domain restore the listed warm-up is too short", []step{
			{0, domain(feed.StateDrained, 1), false},
			{time.Second, combined(domain(feed.StateServing, 2), listed(feed.StateWarmingUp, time.Second, 1)), true},
			{time.Second, combined(domain(feed.StateServing, 2), listed(feed.StateServing, 0, 2)), true},
			{2100 * time.Millisecond, combined(domain(feed.StateServing, 2), listed(feed.StateServing, 0, 2)), false},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			clock := newFakeClock()
			balancer := New("east", 1, clock.now)
			newState := func() State {
				return stateOf([]config.Service{modelService(19)}, routeTo(config.WeightedService{Service: "model", Weight: 1}), runnersOf("model", 1, 32), 1)
			}
			balancer.Update(newState())
			for index, step := range test.steps {
				clock.advance(step.after)
				state := newState()
				step.change(&state)
				balancer.Update(state)
				if slowStart := balancer.runners["model-0"].slowStart.active(balancer.elapsed()); slowStart != step.slowStart {
					t.Fatalf("step %d: slow start is %v", index, slowStart)
				}
			}
		})
	}
}

func TestUnsentLeasesRefundSlowStartToken(t *testing.T) {
	clock := newFakeClock()
	balancer := New("east", 1, clock.now)
	route := routeTo(config.WeightedService{Service: "model", Weight: 1})
	runners := runnersOf("model", 1, 32)
	balancer.Update(stateOf([]config.Service{modelService(2)}, route, runners, 1))
	clock.advance(5 * time.Second)
	runners = runnersOf("model", 1, 32)
	runners[0].WarmUpLeft = time.Minute
	balancer.Update(stateOf([]config.Service{modelService(2)}, route, runners, 1))
	clock.advance(2 * time.Second)
	for range 5 {
		mustAcquire(t, balancer, Request{Route: &route}).Release(NotSent, nil)
	}
	mustAcquire(t, balancer, Request{Route: &route}).Release(Answered, nil)
	if _, err := balancer.Acquire(context.Background(), Request{Route: &route, Deadline: clock.now()}); err == nil {
		t.Fatal("more than one refunded token was kept")
	}
}

// TestStaleRunnerListLimitsAllFronts checks that the slow-start limit holds for runners
// listed as serving while the list is out of date, and ends with the next read.
func TestStaleRunnerListLimitsAllFronts(t *testing.T) {
	for _, test := range []struct {
		fronts int
		rate   float64
	}{{1, 19}, {4, 6}, {6, 22}, {72, 19}, {3, 0.5}} {
		clock := newFakeClock()
		readAt, runners, route := clock.time, runnersOf("model", 3, 32), routeTo(config.WeightedService{Service: "model", Weight: 1})
		names := []string{}
		for index := range test.fronts {
			names = append(names, fmt.Sprintf("front-%d", index))
		}
		fronts := []*Balancer{}
		for index, name := range names {
			front := New(domains[index%3], uint64(index), clock.now)
			front.SetListReadTime(func() time.Time { return readAt })
			state := stateOf([]config.Service{modelService(test.rate)}, route, runners, test.fronts)
			state.FrontName, state.FrontNames = name, names
			front.Update(state)
			fronts = append(fronts, front)
		}
		saturate := func(duration time.Duration) (peak int) {
			arrivals := map[string][]time.Time{}
			for until := clock.time.Add(duration); clock.time.Before(until); clock.advance(10 * time.Millisecond) {
				for _, front := range fronts {
					lease, err := front.Acquire(context.Background(), Request{Route: &route, Deadline: clock.time})
					if err == nil {
						arrivals[lease.Runner.Incarnation] = append(arrivals[lease.Runner.Incarnation], clock.time)
						lease.Release(Answered, nil)
					}
				}
			}
			for _, times := range arrivals {
				peak = max(peak, peakPerSecond(times))
			}
			return peak
		}
		clock.advance(shareTakeoverDelay)
		bound := int(slowStartExcess*test.rate + slowStartSlack)
		readAt = clock.time
		if peak := saturate(listFreshness); peak <= bound {
			t.Errorf("%d fronts, rate %v: a runner listed as serving gets only %d requests in a second", test.fronts, test.rate, peak)
		}
		if peak := saturate(5 * time.Second); peak > bound || peak == 0 {
			t.Errorf("%d fronts, rate %v: a runner gets %d requests in a second while the list is out of date", test.fronts, test.rate, peak)
		}
		readAt = clock.time
		if peak := saturate(listFreshness); peak <= bound {
			t.Errorf("%d fronts, rate %v: a runner gets only %d requests in a second after the list was read again", test.fronts, test.rate, peak)
		}
	}
}

// TestRequestsWaitForRunnerList guards against rejecting requests that a short wait for the
// next read of the runner list would serve, and against waiting too long for it.
func TestRequestsWaitForRunnerList(t *testing.T) {
	for name, test := range map[string]struct {
		outage     time.Duration // how long the list has been out of date; 0 if it was never read
		refreshed  bool          // the list is read 400 ms later
		maxLatency time.Duration
	}{
		"the list is read for the first time":        {0, true, 400*time.Millisecond + staleListRetry},
		"the list is never read":                     {0, false, maxListWait},
		"the list is read again":                     {time.Second, true, 400*time.Millisecond + staleListRetry},
		"the list is not read again":                 {time.Second, false, maxListWait},
		"the list has been out of date for too long": {listOutageWait, true, time.Duration(routeTo().FirstByteTarget) / queueTimeoutDivisor},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route, readAt := routeTo(config.WeightedService{Service: "model", Weight: 1}), atomic.Pointer[time.Time]{}
				balancer := New("east", 1, nil)
				balancer.SetListReadTime(func() time.Time { return *readAt.Load() })
				state := stateOf([]config.Service{modelService(19)}, route, runnersOf("model", 3, 32), 60)
				state.FrontName = "front-00"
				for index := range 60 {
					state.FrontNames = append(state.FrontNames, fmt.Sprintf("front-%02d", index))
				}
				balancer.Update(state)
				readAt.Store(&time.Time{})
				if test.outage > 0 {
					readAt.Store(new(time.Now()))
					time.Sleep(listFreshness + test.outage)
				}
				startedAt := time.Now()
				time.AfterFunc(400*time.Millisecond, func() {
					if test.refreshed {
						readAt.Store(new(time.Now()))
					}
				})
				_, err := balancer.Acquire(context.Background(), Request{Route: &route, Deadline: startedAt.Add(4 * time.Second)})
				served := test.refreshed && test.maxLatency > 400*time.Millisecond
				if latency := time.Since(startedAt); (err == nil) != served || latency > test.maxLatency {
					t.Fatalf("Acquire returned after %s: %v", latency, err)
				}
			})
		})
	}
}
