package balancer

import (
	"math"
	"time"
)

const (
	failureHalfLife = 4 * time.Second
	// A runner is ejected when this much of its late work failed, and at least so many.
	ejectionFailureRatio = 0.35
	minEjectionFailures  = 2.5
	baseEjectionTime     = time.Second
	maxEjectionTime      = 16 * time.Second
	// maxEjectedFraction is the part of a service's runners that may be ejected at a time.
	maxEjectedFraction = 1.0 / 3
	// maxRemainingUtilization is how much of the other runners' slots may be taken by the demand.
	maxRemainingUtilization = 0.8
	// A runner that lost a query is avoided for this long, if it did well before; if it
	// did not, for longer each time.
	firstLossEjectionTime = 250 * time.Millisecond
	baseLossEjectionTime  = time.Second
	maxLossEjectionTime   = 8 * time.Second
	fullBackoff           = 150 * time.Millisecond
	// recoveryProbes is how many queries must go well, one after another, before a
	// runner that was ejected gets its full part again.
	recoveryProbes = 3
	// failureCostMilliseconds is what a failure costs beside time, in milliseconds.
	failureCostMilliseconds = 400
	// failurePrior is how many answers must have come before few failures count much.
	failurePrior = 10
)

// health is what the endings of queries tell of a runner.
type health struct {
	failures, completions float64 // both fade
	decayedAt             time.Duration
	ejectedUntil          time.Duration // until when it is avoided
	fullUntil             time.Duration // until when it is thought to be full
	ejectionTime          time.Duration // of the last ejection
	probesNeeded          int           // that must go well
	probesInFlight        int           // out now
	consecutiveLosses     int           // one after another
	lastLoss              time.Duration // when the last of them was noticed
}

func (state *health) decay(now time.Duration) {
	left := decayFactor(now-state.decayedAt, failureHalfLife)
	state.failures, state.completions, state.decayedAt = state.failures*left, state.completions*left, now
}

// failureProbability is how likely the next query fails.
func (state *health) failureProbability(now time.Duration) float64 {
	if state.failures == 0 {
		return 0
	}
	left := decayFactor(now-state.decayedAt, failureHalfLife)
	return state.failures * left / (state.completions*left + failurePrior)
}

func (state *health) ejected(now time.Duration) bool { return now < state.ejectedUntil }

// delay tells in how long a query may be sent: an ejected runner gets none, then one
// at a time until enough of them went well.
func (state *health) delay(now time.Duration) time.Duration {
	wait := max(0, state.ejectedUntil-now, state.fullUntil-now)
	if wait == 0 && state.probesNeeded > 0 && state.probesInFlight > 0 {
		return baseEjectionTime
	}
	return wait
}

func (state *health) startProbe(now time.Duration) bool {
	if state.probesNeeded == 0 {
		return false
	}
	state.probesInFlight++
	return true
}

// recordSuccess notes an answer.
func (state *health) recordSuccess(now time.Duration) {
	state.decay(now)
	state.completions++
	state.consecutiveLosses = 0
	if state.probesNeeded > 0 && now >= state.ejectedUntil {
		state.probesNeeded--
		if state.probesNeeded == 0 {
			state.ejectionTime, state.failures = 0, math.Min(state.failures, 0.5)
		}
	}
}

// recordFailure notes a failure of some weight and tells whether the runner should be ejected.
func (state *health) recordFailure(weight float64, now time.Duration) bool {
	state.decay(now)
	state.failures += weight
	state.completions += weight
	probeFailed := state.probesNeeded > 0 && now >= state.ejectedUntil
	return probeFailed || state.failures >= minEjectionFailures && state.failures >= ejectionFailureRatio*(state.completions+1)
}

// eject keeps work away for a while that doubles.
func (state *health) eject(now time.Duration) {
	state.ejectionTime = min(maxEjectionTime, max(baseEjectionTime, 2*state.ejectionTime))
	state.ejectedUntil, state.probesNeeded = now+state.ejectionTime, recoveryProbes
}

// recordLoss keeps work away at once, for longer with each loss in a row; queries that were
// out together when the runner went away count as one loss.
func (state *health) recordLoss(acquiredAt, now time.Duration) {
	if state.consecutiveLosses > 0 && acquiredAt <= state.lastLoss {
		return
	}
	span := firstLossEjectionTime
	if state.consecutiveLosses > 0 || state.failures > ejectionFailureRatio*(state.completions+1) {
		span = min(maxLossEjectionTime, baseLossEjectionTime<<min(state.consecutiveLosses, 4))
	}
	state.consecutiveLosses++
	state.lastLoss = now
	state.ejectedUntil, state.probesNeeded = max(state.ejectedUntil, now+span), max(state.probesNeeded, 1)
}

// canEject tells whether the service can do without one more runner.
func (balancer *Balancer) canEject(service string, state *runnerState, now time.Duration) bool {
	current := balancer.topology.Load()
	pool := current.services[service]
	if pool == nil {
		return false
	}
	ejected, slots := 1, 0
	for _, one := range pool.candidates {
		switch {
		case one.state == state:
		case one.state.health.ejected(now):
			ejected++
		default:
			slots += one.slots
		}
	}
	demand := pool.stats.meanInFlight.now(float64(pool.stats.inFlight), now) * float64(current.frontCount)
	return float64(ejected) <= maxEjectedFraction*float64(len(pool.candidates)) && demand <= maxRemainingUtilization*float64(slots)
}
