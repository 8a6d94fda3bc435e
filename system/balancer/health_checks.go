package balancer

import (
	"time"

	"github.com/apex/log"
)

const (
	// A cancelled request counts as a failure of its runner if the runner sent nothing for
	// unresponsiveFactor times the expected latency and at least minUnresponsive. It has only
	// the weight unresponsiveWeight, because the client may have had a short deadline.
	unresponsiveFactor = 4
	minUnresponsive    = 500 * time.Millisecond
	unresponsiveWeight = 0.5
)

// recordOutcome is the passive health check: it updates the runner's health and latency
// estimates by the outcome of a lease.
func (lease *Lease) recordOutcome(outcome Outcome, now time.Duration) {
	state := lease.state
	if lease.recoveryProbe {
		state.health.endProbe()
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
		lease.recordMisdirection(now)
	case NotSent:
		if lease.slowStartLimited {
			state.slowStart.refund()
		}
	case Cancelled:
		lease.recordCancelled(now)
	}
}

// recordFailure records a failure and ejects the runner if it failed too often and the
// remaining runners of the service suffice.
func (lease *Lease) recordFailure(weight float64, now time.Duration) {
	health := &lease.state.health
	if health.recordFailure(weight, now) && !health.ejected(now) && lease.balancer.canEject(lease.Service.Name, lease.state, now) {
		health.eject(now)
		lease.logger().WithField("duration", health.ejectionTime).Warn("runner ejected: too many of its requests failed")
	}
}

// recordMisdirection removes a runner whose address now belongs to another one. Without an
// incarnation it cannot be distinguished from its successor and is only ejected.
func (lease *Lease) recordMisdirection(now time.Duration) {
	if lease.Runner.Incarnation == "" {
		lease.state.health.recordLoss(lease.acquiredAt, now)
		return
	}
	lease.state.misdirected = true
	lease.logger().Warn("runner removed from selection: another runner answers at its address")
	lease.balancer.removeRunner(lease.state)
}

// recordCancelled records a cancelled request. It counts against the runner only if there
// was no event for much longer than expected.
func (lease *Lease) recordCancelled(now time.Duration) {
	expected, elapsed := lease.expectedLatency(), milliseconds(now-lease.acquiredAt)
	if lease.firstEventSeen || elapsed < max(milliseconds(minUnresponsive), unresponsiveFactor*expected) {
		return
	}
	lease.recordFailure(unresponsiveWeight, now)
	if lease.Service.Engine != nil {
		lease.state.excessLatency.add(elapsed-expected, firstEventWeight, now)
	} else {
		lease.state.excessLatency.add(excessFraction(elapsed, expected), durationWeight, now)
	}
}

// logger returns a log entry with the fields of the lease's runner.
func (lease *Lease) logger() *log.Entry {
	return log.WithFields(log.Fields{"runner": lease.Runner.Incarnation, "address": lease.Runner.Address, "service": lease.Service.Name})
}
