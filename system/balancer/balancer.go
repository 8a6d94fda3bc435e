package balancer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
)

// Balancer chooses runners for the queries of one front. All methods may be called
// from many goroutines.
type Balancer struct {
	domain   string
	now      func() time.Time
	started  time.Time
	topology atomic.Pointer[topology]

	mutex      sync.Mutex
	random     *rand.Rand
	seed       uint64
	runners    map[string]*runnerState
	services   map[string]*serviceStats
	roundRobin map[string]map[string]float64 // by route, then by service
	domains    map[string]feed.Domain        // as last seen
	fronts     frontSet
	// listReadTime tells when the runner list was read last; nil: it is always current.
	listReadTime  func() time.Time
	cachedParts   generationalCache[*cachedPart]
	lastRunner    generationalCache[*runnerState] // where a line of turns went last
	queue         []*waiter
	affinityEpoch uint64 // of the marks in runnerState
}

// New makes a balancer for a front in a domain. The random seed should differ between
// fronts; now is the steady clock, and nil stands for time.Now.
//
//	choices := balancer.New("east", 7, nil)
func New(domain string, seed uint64, now func() time.Time) *Balancer {
	if now == nil {
		now = time.Now
	}
	balancer := &Balancer{
		domain: domain, now: now, started: now(), seed: seed,
		random:  rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		runners: map[string]*runnerState{}, services: map[string]*serviceStats{},
		roundRobin: map[string]map[string]float64{}, domains: map[string]feed.Domain{},
	}
	balancer.topology.Store(&topology{})
	return balancer
}

// elapsed gives the time since the balancer was made.
func (balancer *Balancer) elapsed() time.Duration { return balancer.now().Sub(balancer.started) }

// Acquire chooses a runner for a query. While no runner can take it, it may wait a
// little, by urgency and then by the time left. A refusal is NotRun and tells when to
// come back.
//
//	lease, err := choices.Acquire(ctx, balancer.Request{Route: route, Deadline: deadline})
//	if err != nil { return err }
//	defer func() { lease.Release(ending, nil) }()
func (balancer *Balancer) Acquire(ctx context.Context, request Request) (*Lease, error) {
	balancer.mutex.Lock()
	now := balancer.elapsed()
	chosen, found := balancer.pickService(request.Route)
	if !found {
		balancer.mutex.Unlock()
		return nil, rejection("no runner takes work of route "+request.Route.Name+" now", 500*time.Millisecond)
	}
	var delay time.Duration
	if !balancer.hasEarlierWaiter(chosen, request) {
		var lease *Lease
		if lease, delay = balancer.selectRunner(chosen, &request, now); lease != nil {
			balancer.mutex.Unlock()
			return lease, nil
		}
	}
	timeout := max(queueTimeout(request, balancer.now()), balancer.firstListWait(request, now))
	if delay > timeout || len(balancer.queue) >= maxWaiters {
		balancer.returnPick(request.Route, chosen.service.Name)
		balancer.mutex.Unlock()
		return nil, rejection("all runners of "+chosen.service.Name+" are busy", min(delay, maxRetryAfter))
	}
	one := balancer.enqueue(chosen, request, delay)
	balancer.mutex.Unlock()
	return balancer.await(ctx, one, timeout, delay)
}

func rejection(message string, after time.Duration) error {
	return apierror.NewRetryable(apierror.NotRun, message, "ask again later; operators: check the runner list and emptied domains", max(after, 50*time.Millisecond))
}
