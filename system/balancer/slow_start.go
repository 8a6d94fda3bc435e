package balancer

import (
	"math"
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

const (
	// slowStartBurst is the token bucket size of a front for a runner in slow start. With
	// more than 1, the fronts together could exceed the limit.
	slowStartBurst = 1
	// staleListRetry is the shortest delay until a request that finds no runner because the
	// runner list is out of date checks again.
	staleListRetry = 50 * time.Millisecond
)

// slowStart limits the rate of requests to a runner that is warming up, if its service has a
// warm-up rate, by a token bucket that refills at this front's share of the rate.
//
// A runner is warming up if the runner list says so, and for the service's warm-up time
// after its domain was restored, or after it appeared in the list without a remaining
// warm-up, whatever later lists say. While the list is out of date, every runner of such a
// service is limited.
type slowStart struct {
	enabled      bool          // the service has a warm-up rate
	until        time.Duration // end of the warm-up
	assumedUntil time.Duration // end of the warm-up that this front assumes regardless of the list
	lastEntry    listEntry
	share        rateShare
	tokens       float64
	refilledAt   time.Duration
}

// listEntry is a runner's entry in the runner list, as far as it concerns the warm-up. Only
// a changed entry restarts the remaining warm-up time, which counts from the read of the
// list.
type listEntry struct {
	valid  bool
	state  string
	warmUp time.Duration // remaining
	since  int64
}

// observe applies a runner's entry in the runner list. isNew means that the runner has just
// appeared, restored that its domain is no longer drained.
func (start *slowStart) observe(runner feed.Runner, service *config.Service, isNew, restored bool, now time.Duration) {
	start.enabled = service.WarmUpRate > 0
	if !start.enabled {
		start.until, start.assumedUntil = 0, 0
		return
	}
	wasActive, entry := start.active(now), listEntry{true, runner.State, runner.WarmUpLeft, runner.Since}
	warmUp := runner.WarmUpLeft
	if runner.State == feed.StateWarmingUp && warmUp <= 0 {
		warmUp = time.Duration(service.WarmUp)
	}
	if restored || isNew && warmUp <= 0 {
		start.assumedUntil = now + time.Duration(service.WarmUp)
	}
	if entry != start.lastEntry {
		start.until, start.lastEntry = now+warmUp, entry
	}
	start.until = max(start.until, start.assumedUntil)
	if !wasActive {
		start.tokens, start.refilledAt = 0, now
	}
}

// active reports whether the runner is warming up.
func (start *slowStart) active(now time.Duration) bool { return now < start.until }

// limited reports whether the runner gets no more than the warm-up rate: it is warming up,
// or the runner list is too old to rule that out.
func (start *slowStart) limited(listFreshUntil, now time.Duration) bool {
	return start.active(now) || start.enabled && now >= listFreshUntil
}

// delay returns how long until this front may send the runner a request; 0 means now.
func (start *slowStart) delay(listFreshUntil, now time.Duration) time.Duration {
	if !start.limited(listFreshUntil, now) {
		return 0
	}
	start.refill(now)
	if start.tokens >= slowStartBurst {
		return 0
	}
	wait := start.until - now
	if now >= listFreshUntil {
		wait = max(wait, staleListRetry)
	}
	if start.share.rate > 0 {
		wait = min(wait, time.Duration((slowStartBurst-start.tokens)/start.share.rate*float64(time.Second))+1)
	}
	return wait
}

// refill adds the tokens for the time since the last refill.
func (start *slowStart) refill(now time.Duration) {
	start.share.applyPending(now)
	start.tokens = math.Min(slowStartBurst, start.tokens+start.share.rate*(now-start.refilledAt).Seconds())
	start.refilledAt = now
}

// take removes a token if the runner is limited, and reports whether it is.
func (start *slowStart) take(listFreshUntil, now time.Duration) bool {
	if !start.limited(listFreshUntil, now) {
		return false
	}
	start.refill(now)
	start.tokens--
	return true
}

// refund returns the token of a request that was not sent.
func (start *slowStart) refund() { start.tokens = math.Min(slowStartBurst, start.tokens+1) }
