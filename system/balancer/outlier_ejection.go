package balancer

import (
	"math"
	"time"

	"github.com/apex/log"
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
	// How much one answer counts for the slowness of a runner: plain work varies more
	// than what is said of first events.
	durationWeight   = 0.05
	firstEventWeight = 0.2
	// Silence is counted against a runner once it is this many times what is usual.
	silenceFactor = 4
	minSilence    = 500 * time.Millisecond
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

// recordOutcome takes the ending of a lease into account.
func (lease *Lease) recordOutcome(outcome Outcome, now time.Duration) {
	state := lease.state
	if lease.recoveryProbe {
		state.health.probesInFlight--
	}
	switch outcome {
	case Answered:
		state.health.recordSuccess(now)
		lease.recordDuration(milliseconds(now-lease.acquiredAt), now)
	case Failed:
		lease.recordFailure(1, now)
	case Lost:
		lease.recordFailure(1, now)
		state.health.recordLoss(lease.acquiredAt, now)
	case Rejected:
		state.health.fullUntil = now + fullBackoff
	case Misdirected:
		if lease.Runner.Life == "" {
			state.health.recordLoss(lease.acquiredAt, now)
			break
		}
		state.misdirected = true
		lease.logWarning("runner_misdirected", nil)
		lease.balancer.removeRunner(state)
	case NotSent:
		if lease.slowStartLimited {
			state.slowStart.refund()
		}
	case Cancelled:
		lease.recordSilence(now)
	}
}

// recordFailure counts a failure, and ejects the runner unless too many are ejected already.
func (lease *Lease) recordFailure(weight float64, now time.Duration) {
	if lease.state.health.recordFailure(weight, now) && !lease.state.health.ejected(now) && lease.balancer.canEject(lease.Service.Name, lease.state, now) {
		lease.state.health.eject(now)
		lease.logWarning("runner_ejected", log.Fields{"span": lease.state.health.ejectionTime})
	}
}

// logWarning logs what befell the lease's runner.
func (lease *Lease) logWarning(event string, more log.Fields) {
	log.WithFields(log.Fields{"runner": lease.Runner.Life, "address": lease.Runner.Address, "service": lease.Service.Name}).WithFields(more).Warn(event)
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

// removeRunner takes a runner out of the table: its address belongs to another one now.
func (balancer *Balancer) removeRunner(state *runnerState) {
	current := balancer.topology.Load()
	next := &topology{services: map[string]*servicePool{}, routes: current.routes, usable: map[*runnerState]bool{}, frontCount: current.frontCount}
	for one := range current.usable {
		if one != state {
			next.usable[one] = true
		}
	}
	for name, one := range current.services {
		left := *one
		left.candidates, left.slots = nil, 0
		for _, candidate := range one.candidates {
			if candidate.state != state {
				left.candidates = append(left.candidates, candidate)
				left.slots += candidate.slots
			}
		}
		next.services[name] = &left
	}
	balancer.topology.Store(next)
}

// usual is how many milliseconds queries like this one take.
func (lease *Lease) expectedLatency() float64 {
	if lease.Service.Engine != nil {
		return lease.stats.prefill.base() + lease.prefillTokens/lease.stats.prefill.rate()
	}
	return lease.stats.expectedDuration(lease.request.Route.Name)
}

// recordSilence counts it against a runner that it was given up without having said
// anything for much longer than usual.
func (lease *Lease) recordSilence(now time.Duration) {
	expected, silent := lease.expectedLatency(), milliseconds(now-lease.acquiredAt)
	if lease.firstEventSeen || silent < max(milliseconds(minSilence), silenceFactor*expected) {
		return
	}
	lease.recordFailure(0.5, now)
	if lease.Service.Engine != nil {
		lease.state.excessLatency.add(silent-expected, firstEventWeight, now)
	} else {
		lease.state.excessLatency.add(math.Min(8, silent/expected)-1, durationWeight, now)
	}
}

// recordFirstEvent takes the time to a first event into account.
func (lease *Lease) recordFirstEvent(latency float64, now time.Duration) {
	over := latency - lease.expectedLatency()
	lease.state.excessLatency.add(over, firstEventWeight, now)
	lease.stats.prefill.add(lease.prefillTokens, latency)
}

// recordDuration takes the time that a whole answer took into account.
func (lease *Lease) recordDuration(latency float64, now time.Duration) {
	lease.stats.duration.add(latency)
	if lease.Service.Engine != nil {
		return
	}
	name := lease.request.Route.Name
	mean, known := lease.stats.routeDurations[name]
	if !known {
		mean = &average{}
		lease.stats.routeDurations[name] = mean
	}
	mean.add(latency)
	lease.state.excessLatency.add(math.Min(8, latency/math.Max(1, mean.value))-1, durationWeight, now)
}

// usual is how many milliseconds queries of a route take at a service.
func (stats *serviceStats) expectedDuration(route string) float64 {
	if mean, known := stats.routeDurations[route]; known {
		return math.Max(1, mean.valueOr(100))
	}
	return math.Max(1, stats.duration.valueOr(100))
}
