// Package balancer chooses the runner that a request is sent to.
//
// Every front has one Balancer. A choice takes three steps: the service is picked by
// weighted round-robin over the route's shares (weighted_round_robin.go), the runner of
// that service with the least expected time to completion is selected (selection.go,
// cost_model.go), and if none can take the request now, the request waits in a short
// queue (wait_queue.go).
//
// The expected time rests on
//   - the prompt parts that the runner probably has in its prefix cache
//     (prefix_affinity.go, rendezvous_hashing.go),
//   - its load: this front's own requests in flight, the load that the runner reported,
//     and an extrapolation to the other fronts,
//   - its latency and failures so far (latency_estimates.go, health_checks.go), and
//   - whether it is in another domain and whether a connection must be opened.
//
// Two rules are limits and not costs: a runner that warms up gets no more requests per
// second than its service allows, summed over all fronts (slow_start.go,
// front_shares.go), and a runner that failed is ejected for a while
// (outlier_ejection.go).
//
// The fronts do not talk to each other about single choices. They agree because each
// computes the same rendezvous hashes and divides rates by the number of live fronts.
//
// The package owns no goroutines and keeps its state in memory only; a restarted front
// learns it anew.
package balancer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/roundrobin"
)

// noRunnerRetryAfter is the retry delay given to callers of a route none of whose
// services has a usable runner; minRetryAfter is the shortest given to any caller.
const (
	noRunnerRetryAfter = 500 * time.Millisecond
	minRetryAfter      = 50 * time.Millisecond
)

// Balancer chooses runners for the requests of one front. Its methods may be called
// concurrently.
type Balancer struct {
	domain  string // of this front
	now     func() time.Time
	started time.Time // origin of all time.Duration timestamps in this package
	// topology is replaced as a whole under mutex and read without it by Lease.Valid.
	topology atomic.Pointer[topology]

	mutex    sync.Mutex // guards all that follows
	random   *rand.Rand
	seed     uint64
	runners  map[string]*runnerState  // by runnerKey
	services map[string]*serviceStats // by service name
	// roundRobin holds the state of the weighted round-robin over services, by route.
	roundRobin map[string]roundrobin.Credits
	domains    map[string]feed.Domain // of the previous view
	fronts     frontSet
	// listReadTime returns when the runner list of the newest view was read; nil means
	// that the list is always current.
	listReadTime func() time.Time
	cachedParts  generationalCache[*cachedPart]
	// lastRunner is the runner that got the latest request with an affinity key.
	lastRunner generationalCache[*runnerState]
	queue      []*waiter // in the order in which they are served
	// affinityEpoch identifies the request for which runnerState.cachedTokens is valid.
	affinityEpoch uint64
}

// randomStream is the second half of the random generator's seed; the golden ratio as a
// fraction of 2^64, as good as any other constant.
const randomStream = 0x9e3779b97f4a7c15

// New returns a balancer for a front in a domain. The seed should differ between
// fronts. now must be monotonic; nil stands for time.Now.
//
//	runners := balancer.New("east", 7, nil)
func New(domain string, seed uint64, now func() time.Time) *Balancer {
	if now == nil {
		now = time.Now
	}
	balancer := &Balancer{
		domain: domain, now: now, started: now(), seed: seed,
		random:  rand.New(rand.NewPCG(seed, randomStream)),
		runners: map[string]*runnerState{}, services: map[string]*serviceStats{},
		roundRobin: map[string]roundrobin.Credits{}, domains: map[string]feed.Domain{},
	}
	balancer.topology.Store(&topology{})
	return balancer
}

// elapsed returns the time since the balancer was made.
func (balancer *Balancer) elapsed() time.Duration { return balancer.now().Sub(balancer.started) }

// Acquire chooses a runner for a request and returns a lease on it, which must be
// released. While no runner can take the request, Acquire waits up to a fifth of the
// route's first-byte target and of the time until the deadline, and longer only for this
// front's first reading of the runner list; waiting requests are served by urgency and
// then by finish time.
//
// The error always is or wraps an *apierror.Error of kind NotRun with a retry delay: no runner
// of the route is usable, all are busy, or ctx ended.
//
//	lease, err := runners.Acquire(ctx, balancer.Request{Route: route, Deadline: deadline})
//	if err != nil {
//		return err
//	}
//	defer func() { lease.Release(outcome, nil) }()
func (balancer *Balancer) Acquire(ctx context.Context, request Request) (*Lease, error) {
	balancer.mutex.Lock()
	now := balancer.elapsed()
	pool, found := balancer.pickService(request.Route)
	if !found {
		balancer.mutex.Unlock()
		return nil, rejection("no runner takes work of route "+request.Route.Name+" now", noRunnerRetryAfter)
	}
	var delay time.Duration
	if !balancer.hasEarlierWaiter(pool, request) {
		var lease *Lease
		if lease, delay = balancer.selectRunner(pool, &request, now); lease != nil {
			balancer.mutex.Unlock()
			return lease, nil
		}
	}
	timeout := max(queueTimeout(request, balancer.now()), balancer.listWait(pool, request, now))
	if delay > timeout || len(balancer.queue) >= maxWaiters {
		balancer.returnPick(request.Route, pool.service.Name)
		balancer.mutex.Unlock()
		return nil, rejection("all runners of "+pool.service.Name+" are busy", min(delay, maxRetryAfter))
	}
	waiting := balancer.enqueue(pool, request, delay)
	balancer.mutex.Unlock()
	return balancer.await(ctx, waiting, timeout, delay)
}

// rejection is the error of Acquire.
func rejection(message string, retryDelay time.Duration) error {
	return apierror.NewRetryable(apierror.NotRun, message, "ask again later; operators: check the runner list and emptied domains", max(retryDelay, minRetryAfter))
}
