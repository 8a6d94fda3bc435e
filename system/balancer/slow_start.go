package balancer

import (
	"math"
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

const (
	// slowStartBurst is how many requests a front may send to a runner in slow start at
	// once. With more than one, the fronts together could exceed the limit.
	slowStartBurst = 1
	// staleListRetry is the retry delay of requests that find no runner only because the
	// runner list is too old.
	staleListRetry = 50 * time.Millisecond
)

// slowStart limits the rate of requests to a runner that warms up, if its service has a
// warm-up rate. A token bucket holds this front's share of the rate.
//
// A runner warms up when the runner list says so, and in addition for the service's
// warm-up time after it appeared or its domain was restored, whatever the list says.
// While the list is too old to be trusted, any runner of such a service is limited.
type slowStart struct {
	enabled      bool          // the service has a warm-up rate
	until        time.Duration // end of the warm-up
	assumedUntil time.Duration // end of the warm-up that this front assumes by itself
	lastEntry    listEntry
	share        rateShare
	tokens       float64
	refilledAt   time.Duration
}

// listEntry is what the runner list last said of a runner. Only a change restarts the
// remaining warm-up time, which counts from when the list was read.
type listEntry struct {
	valid  bool
	state  string
	warmUp time.Duration // remaining
	since  int64
}

// observe takes over what the runner list says. fresh means that the runner has just
// appeared, restored that its domain takes work again.
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

// active reports whether the runner warms up.
func (start *slowStart) active(now time.Duration) bool { return now < start.until }

// limited reports whether the runner gets no more than the warm-up rate: it warms up,
// or the runner list is too old to exclude that.
func (start *slowStart) limited(listFreshUntil, now time.Duration) bool {
	return start.active(now) || start.enabled && now >= listFreshUntil
}

// delay returns after what time the runner may get a request from this front; 0: now.
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

// refill adds the tokens of the time since the last refill.
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
