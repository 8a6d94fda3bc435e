// Package balancer chooses the runner that a forwarded request is sent to. For requests of the
// work API, package scheduler does.
//
// Every front has one Balancer. It picks a service by weighted round-robin over the
// route's shares (weighted_round_robin.go) and selects the runner of that service with the
// least expected time to completion (selection.go, cost_model.go). If no runner can take
// the request now, the request waits in a short queue (wait_queue.go).
//
// Model work is a request to a service with an inference engine; all other requests are
// plain work.
//
// The expected time depends on
//   - the prompt parts that the runner probably has in its prefix cache
//     (prefix_affinity.go, rendezvous_hashing.go),
//   - its load: this front's own requests in flight, the load that the runner reported,
//     and an extrapolation to the other fronts,
//   - its measured latency and failures (latency_estimates.go, health_checks.go), and
//   - whether it is in another domain and whether a connection must be opened.
//
// Two rules are hard limits rather than costs: a runner that is warming up gets no more
// requests per second than its service allows, summed over all fronts (slow_start.go,
// front_shares.go), and a failing runner is temporarily ejected (outlier_ejection.go).
//
// The fronts do not coordinate individual choices. They agree because each computes the
// same rendezvous hashes and divides rates by the number of live fronts.
//
// The package starts no goroutines and keeps its state in memory only; a restarted front
// begins without measurements.
package balancer

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/roundrobin"
)

// noRunnerRetryAfter is the retry delay if no service of the route has a usable runner;
// minRetryAfter is the shortest retry delay of any rejection.
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
	// drainTimeout is a duration, firstListAt the time of the first Update since the start.
	drainTimeout atomic.Int64
	firstListAt  atomic.Int64

	mutex    sync.Mutex // guards the fields below
	random   *rand.Rand
	seed     uint64
	runners  map[string]*runnerState  // by runnerKey
	services map[string]*serviceStats // by service name
	// roundRobin holds the state of the weighted round-robin over services, by route.
	roundRobin map[string]roundrobin.Credits
	domains    map[string]feed.Domain // as last listed, by name
	fronts     frontSet
	// listReadTime returns when the runner list of the newest view was read; if nil, the
	// list counts as always current.
	listReadTime func() time.Time
	cachedParts  generationalCache[*cachedPart]
	// lastRunner is the runner that got the last request, by affinity key.
	lastRunner generationalCache[*runnerState]
	queue      []*waiter // in the order in which they are served
	// affinityEpoch identifies the request for which runnerState.cachedTokens is valid.
	affinityEpoch uint64
}

// randomStream is the second seed word of the PCG generator: 2^64 divided by the golden
// ratio. Any other constant would do.
const randomStream = 0x9e3779b97f4a7c15

// New returns a balancer for a front in a domain. The seed should differ between
// fronts. now must be monotonic; nil means time.Now.
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

// elapsed returns the time since the balancer was created.
func (balancer *Balancer) elapsed() time.Duration { return balancer.now().Sub(balancer.started) }

// Acquire chooses a runner for a request and returns a lease on it, which must be
// released. While no runner can take the request, Acquire waits up to a fifth of the
// route's first-byte target or of the time until the deadline, whichever is shorter, and
// longer only for the next read of a runner list that is out of date. Waiting requests
// are served by urgency and then by finish time.
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
	pool, found := balancer.poolFor(&request)
	if !found {
		balancer.mutex.Unlock()
		return nil, noUsableRunner(request.Route)
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
		balancer.returnPick(&request, pool.service.Name)
		balancer.mutex.Unlock()
		return nil, rejection("all runners of "+pool.service.Name+" are busy", min(delay, maxRetryAfter))
	}
	waiting := balancer.enqueue(pool, request, delay)
	balancer.mutex.Unlock()
	return balancer.await(ctx, waiting, timeout, delay)
}

// PickService picks the service that the next request of a route should be sent to, as Acquire does
// for a request without Service. The error is that of Acquire if no service has a usable runner.
//
//	service, err := runners.PickService(route)
func (balancer *Balancer) PickService(route *config.Route) (string, error) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	pool, found := balancer.pickService(route)
	if !found {
		return "", noUsableRunner(route)
	}
	return pool.service.Name, nil
}

// noUsableRunner is the error for a route of which no service has a candidate.
func noUsableRunner(route *config.Route) error {
	return rejection("route "+route.Name+" has no usable runner", noRunnerRetryAfter)
}

// rejection returns the error of Acquire, with at least minRetryAfter as its retry delay.
func rejection(message string, retryDelay time.Duration) error {
	return apierror.NewRetryable(apierror.NotRun, message, "retry later; operators: check the runner list and drained domains", max(retryDelay, minRetryAfter))
}
