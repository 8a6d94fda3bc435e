package balancer

import (
	"slices"
	"strings"

	"yardrock.example/system/feed"
)

// Status is a snapshot of a balancer for operators and tests.
type Status struct {
	Queued  int            // requests waiting for a runner
	Runners []RunnerStatus // usable runners, by incarnation
}

// RunnerStatus is the state of one usable runner as this front sees it.
type RunnerStatus struct {
	Runner    feed.Runner
	InFlight  int  // this front's requests
	SlowStart bool // it is warming up and gets requests at a limited rate
	Ejected   bool // it gets no requests for a while because of failures
	// Unconfirmed is set if the runner gets no requests because it may be draining: neither the
	// runner list nor a response of its own has shown within the drain timeout that it serves.
	Unconfirmed bool
}

// Status returns the number of waiting requests and the state of all usable runners.
//
//	for _, runner := range runners.Status().Runners { ... }
func (balancer *Balancer) Status() Status {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := balancer.elapsed()
	status := Status{Queued: len(balancer.queue)}
	for _, pool := range balancer.topology.Load().services {
		for _, candidate := range pool.candidates {
			status.Runners = append(status.Runners, RunnerStatus{
				Runner: candidate.runner, InFlight: candidate.state.inFlight,
				SlowStart: candidate.state.slowStart.active(now), Ejected: candidate.state.health.ejected(now),
				Unconfirmed: balancer.mayDrainUnnoticed(candidate.state, now),
			})
		}
	}
	slices.SortFunc(status.Runners, func(left, right RunnerStatus) int {
		return strings.Compare(runnerKey(left.Runner), runnerKey(right.Runner))
	})
	return status
}

// Choice is what is logged about the choice of a lease's runner.
type Choice struct {
	Service string
	// Runner is the incarnation of the runner, Local whether it is in this front's domain.
	Runner string
	Local  bool
	// PromptTokens is the length of the prompt, PrefillTokens how many of its tokens the
	// runner was assumed not to have cached.
	PromptTokens  int
	PrefillTokens int
	// InFlight is how many requests this front had at the runner before this one, and
	// EstimatedLoad how many all fronts were estimated to have there.
	InFlight      int
	EstimatedLoad float64
	// SlowStart is whether the runner was limited to the warm-up rate.
	SlowStart bool
}

// Describe returns the inputs and result of the choice of the runner.
//
//	choice := lease.Describe()
func (lease *Lease) Describe() Choice {
	return Choice{
		Service: lease.Service.Name, Runner: lease.Runner.Incarnation, Local: lease.Runner.Domain == lease.balancer.domain,
		PromptTokens: int(promptTokens(&lease.request)), PrefillTokens: int(lease.prefillTokens),
		InFlight: lease.inFlight, EstimatedLoad: lease.load, SlowStart: lease.slowStartLimited,
	}
}
