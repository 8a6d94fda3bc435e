package balancer

import (
	"math"
	"time"
)

const (
	// failureHalfLife is the half-life of the weight of past outcomes.
	failureHalfLife = 4 * time.Second
	// A runner is ejected when its weighted failures reach minEjectionFailures and make up
	// ejectionFailureRatio of its outcomes.
	ejectionFailureRatio = 0.35
	minEjectionFailures  = 2.5
	// The first ejection lasts baseEjectionTime, each further one twice as long as the last,
	// up to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 16 * time.Second
	// maxEjectedFraction is the fraction of a service's runners that may be ejected at the
	// same time.
	maxEjectedFraction = 1.0 / 3
	// maxRemainingUtilization is the fraction of the remaining runners' slots that may be in
	// use after an ejection.
	maxRemainingUtilization = 0.8
	// A runner that loses a request is ejected for firstLossEjectionTime if it was healthy,
	// because one loss may be a connection that the runner closed. Otherwise it is ejected
	// for baseLossEjectionTime, doubled with each consecutive loss up to maxLossEjectionTime.
	firstLossEjectionTime = 250 * time.Millisecond
	baseLossEjectionTime  = time.Second
	maxLossEjectionTime   = 8 * time.Second
	// maxLossDoublings prevents an overflow; maxLossEjectionTime is reached before.
	maxLossDoublings = 4
	// recoveredFailures caps the weighted failures of a runner that has recovered.
	recoveredFailures = 0.5
	// fullBackoff is how long a runner that rejected a request counts as full.
	fullBackoff = 150 * time.Millisecond
	// recoveryProbes is how many requests, sent one at a time, must succeed before an ejected
	// runner receives its full share of requests again.
	recoveryProbes = 3
	// failureCostMilliseconds is the cost of a failed request in addition to its latency.
	failureCostMilliseconds = 400
	// failurePrior is the number of successful outcomes added to the observed ones in the
	// failure probability, which keeps a few outcomes from dominating it.
	failurePrior = 10
)

// health holds a runner's weighted outcomes and its ejection state.
type health struct {
	failures, completions float64 // weighted; they decay with failureHalfLife
	decayedAt             time.Duration
	ejectedUntil          time.Duration
	fullUntil             time.Duration
	ejectionTime          time.Duration // of the last ejection
	probesNeeded          int           // successful probes until the runner has recovered
	probesInFlight        int
	consecutiveLosses     int
	lastLoss              time.Duration
}

// decay applies the exponential decay since the last call.
func (state *health) decay(now time.Duration) {
	remaining := decayFactor(now-state.decayedAt, failureHalfLife)
	state.failures, state.completions, state.decayedAt = state.failures*remaining, state.completions*remaining, now
}

// failureProbability estimates the probability that the next request fails.
func (state *health) failureProbability(now time.Duration) float64 {
	if state.failures == 0 {
		return 0
	}
	remaining := decayFactor(now-state.decayedAt, failureHalfLife)
	return state.failures * remaining / (state.completions*remaining + failurePrior)
}

// ejected reports whether the runner is ejected.
func (state *health) ejected(now time.Duration) bool { return now < state.ejectedUntil }

// delay returns how long until the runner may get a request; 0 means now. After an
// ejection it gets one probe at a time.
func (state *health) delay(now time.Duration) time.Duration {
	wait := max(0, state.ejectedUntil-now, state.fullUntil-now)
	if wait == 0 && state.probesNeeded > 0 && state.probesInFlight > 0 {
		return baseEjectionTime
	}
	return wait
}

// startProbe counts a request as a probe if the runner has not recovered, and reports
// whether it is one.
func (state *health) startProbe() bool {
	if state.probesNeeded == 0 {
		return false
	}
	state.probesInFlight++
	return true
}

// endProbe ends a probe, whatever its outcome.
func (state *health) endProbe() { state.probesInFlight-- }

// recordSuccess records a completed request.
func (state *health) recordSuccess(now time.Duration) {
	state.decay(now)
	state.completions++
	state.consecutiveLosses = 0
	if state.probesNeeded > 0 && now >= state.ejectedUntil {
		state.probesNeeded--
		if state.probesNeeded == 0 {
			state.ejectionTime, state.failures = 0, math.Min(state.failures, recoveredFailures)
		}
	}
}

// recordFailure records a failure with a weight, 1 for a definite failure, and reports
// whether the runner should be ejected.
func (state *health) recordFailure(weight float64, now time.Duration) bool {
	state.decay(now)
	state.failures += weight
	state.completions += weight
	probeFailed := state.probesNeeded > 0 && now >= state.ejectedUntil
	return probeFailed || state.failures >= minEjectionFailures && state.failures >= ejectionFailureRatio*(state.completions+1)
}

// eject ejects the runner for twice as long as the last time, up to maxEjectionTime.
func (state *health) eject(now time.Duration) {
	state.ejectionTime = min(maxEjectionTime, max(baseEjectionTime, 2*state.ejectionTime))
	state.ejectedUntil, state.probesNeeded = now+state.ejectionTime, recoveryProbes
}

// recordLoss ejects the runner at once because a request to it was lost. Requests leased
// before the last recorded loss belong to the same loss; acquiredAt is when this one was
// leased.
func (state *health) recordLoss(acquiredAt, now time.Duration) {
	if state.consecutiveLosses > 0 && acquiredAt <= state.lastLoss {
		return
	}
	ejection := firstLossEjectionTime
	if state.consecutiveLosses > 0 || state.failures > ejectionFailureRatio*(state.completions+1) {
		ejection = min(maxLossEjectionTime, baseLossEjectionTime<<min(state.consecutiveLosses, maxLossDoublings))
	}
	state.consecutiveLosses++
	state.lastLoss = now
	state.ejectedUntil, state.probesNeeded = max(state.ejectedUntil, now+ejection), max(state.probesNeeded, 1)
}

// canEject reports whether one more runner of a service may be ejected: at most
// maxEjectedFraction are ejected then, and the remaining ones have enough slots for the
// estimated demand of all fronts.
func (balancer *Balancer) canEject(service string, state *runnerState, now time.Duration) bool {
	current := balancer.topology.Load()
	pool := current.services[service]
	if pool == nil {
		return false
	}
	ejected, slots := 1, 0
	for _, candidate := range pool.candidates {
		switch {
		case candidate.state == state:
		case candidate.state.health.ejected(now):
			ejected++
		default:
			slots += candidate.slots
		}
	}
	demand := pool.stats.meanInFlight.update(float64(pool.stats.inFlight), now) * float64(current.frontCount)
	return float64(ejected) <= maxEjectedFraction*float64(len(pool.candidates)) && demand <= maxRemainingUtilization*float64(slots)
}
