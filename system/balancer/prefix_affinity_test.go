package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

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
		if lease.Runner.Incarnation != first.Runner.Incarnation {
			t.Fatalf("turn %d was sent to %s, but its prompt parts are cached at %s", turn, lease.Runner.Incarnation, first.Runner.Incarnation)
		}
		lease.Release(Answered, nil)
	}
	for range 40 { // make the runner much busier
		balancer.mutex.Lock()
		balancer.runners[first.Runner.Incarnation].inFlight++
		balancer.mutex.Unlock()
	}
	if lease := mustAcquire(t, balancer, Request{Route: &route, Program: "p", PromptParts: parts}); lease.Runner.Incarnation == first.Runner.Incarnation {
		t.Fatal("a busy runner was chosen for its cached parts")
	}
}

func TestFrontsOfDomainChooseSameRunnerIndependently(t *testing.T) {
	route := routeTo(config.WeightedService{Service: "model", Weight: 1})
	state := stateOf([]config.Service{modelService(0)}, route, runnersOf("model", 12, 32), 6)
	agreed, local := 0, 0
	for program := range 100 {
		request := Request{Route: &route, Program: fmt.Sprint(program), PromptParts: []PromptPart{{"prefix", 2560}, {fmt.Sprint("p", program), 900}}}
		incarnations := map[string]bool{}
		for seed := range uint64(4) {
			balancer := New("east", seed, newFakeClock().now)
			balancer.Update(state)
			lease := mustAcquire(t, balancer, request)
			incarnations[lease.Runner.Incarnation] = true
			if lease.Runner.Domain == "east" {
				local++
			}
		}
		if len(incarnations) == 1 {
			agreed++
		}
	}
	if agreed != 100 || local != 400 {
		t.Fatalf("agreed on %d of 100 programs, %d of 400 choices in the same domain", agreed, local)
	}
}

// TestTurnsFollowCacheLocation guards against ignoring Request.CachedAt at fronts that have
// not served the conversation themselves.
func TestTurnsFollowCacheLocation(t *testing.T) {
	route := routeTo(config.WeightedService{Service: "model", Weight: 1})
	runners := runnersOf("model", 12, 32)
	parts := []PromptPart{{"prefix", 2560}, {"p/1", 900}, {"p/2", 500}}
	newFront := func(listed []feed.Runner) *Balancer {
		balancer := New("east", 1, newFakeClock().now)
		balancer.Update(stateOf([]config.Service{modelService(0)}, route, listed, 6))
		return balancer
	}
	for _, runner := range runners {
		request := Request{Route: &route, Program: "p", Session: "s", PromptParts: parts, CachedAt: CacheLocation{Runner: runner.Incarnation, Tokens: 3460}}
		lease := mustAcquire(t, newFront(runners), request)
		if lease.Runner.Incarnation != runner.Incarnation || lease.prefillTokens != 500 {
			t.Errorf("cached at %s, but sent to %s with %v tokens to prefill", runner.Incarnation, lease.Runner.Incarnation, lease.prefillTokens)
		}
		others := slices.DeleteFunc(slices.Clone(runners), func(other feed.Runner) bool { return other.Incarnation == runner.Incarnation })
		if lease := mustAcquire(t, newFront(others), request); lease.prefillTokens != 3960 {
			t.Errorf("the cache location is not listed, but %s is assumed to have cached %v tokens", lease.Runner.Incarnation, 3960-lease.prefillTokens)
		}
	}
	front := newFront(runners)
	front.runners["model-3"].inFlight += 40
	if lease := mustAcquire(t, front, Request{Route: &route, Program: "p", PromptParts: parts, CachedAt: CacheLocation{Runner: "model-3", Tokens: 3460}}); lease.Runner.Incarnation == "model-3" {
		t.Error("a busy runner was chosen for its cached conversation")
	}
}

func TestGenerationalCacheEvictsLeastRecentlyUsed(t *testing.T) {
	cached := generationalCache[int]{}
	for key := range uint64(3 * cacheGenerationSize) {
		cached.put(key, int(key))
		cached.put(1, 1)
	}
	if _, found := cached.get(1); !found {
		t.Fatal("an entry that is put regularly was evicted")
	}
	if _, found := cached.get(2); found || len(cached.newer)+len(cached.older) > 2*cacheGenerationSize {
		t.Fatalf("%d entries in the cache", len(cached.newer)+len(cached.older))
	}
}
