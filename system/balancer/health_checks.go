package balancer

import (
	"math"
	"time"

	"github.com/apex/log"
)

const (
	// How much one answer counts for the slowness of a runner: plain work varies more
	// than what is said of first events.
	durationWeight   = 0.05
	firstEventWeight = 0.2
	// Silence is counted against a runner once it is this many times what is usual.
	silenceFactor = 4
	minSilence    = 500 * time.Millisecond
)

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
