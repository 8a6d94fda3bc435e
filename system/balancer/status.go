package balancer

import (
	"cmp"
	"slices"

	"yardrock.example/system/feed"
)

// Status is what the runners bear of this front's queries.
type Status struct {
	Queued  int
	Runners []RunnerStatus
}

// RunnerStatus is what one runner bears of this front's queries, and how it stands.
type RunnerStatus struct {
	Runner    feed.Runner
	InFlight  int
	SlowStart bool
	Ejected   bool
}

// Status lists the usable runners with what is out at each, and counts who waits.
//
//	for _, one := range choices.Status().Runners { ... }
func (balancer *Balancer) Status() Status {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := balancer.elapsed()
	status := Status{Queued: len(balancer.queue)}
	for _, one := range balancer.topology.Load().services {
		for _, candidate := range one.candidates {
			status.Runners = append(status.Runners, RunnerStatus{
				Runner: candidate.runner, InFlight: candidate.state.inFlight,
				SlowStart: candidate.state.slowStart.active(now), Ejected: candidate.state.health.ejected(now),
			})
		}
	}
	slices.SortFunc(status.Runners, func(one, other RunnerStatus) int {
		return compareStrings(runnerKey(one.Runner), runnerKey(other.Runner))
	})
	return status
}

func compareStrings(one, other string) int { return cmp.Compare(one, other) }
