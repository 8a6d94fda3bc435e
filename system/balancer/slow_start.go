package balancer

import (
	"math"
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

const (
	slowStartBurst = 1
	// staleListRetry is how soon a runner may be looked at again that gets nothing from this
	// front because the list is too old.
	staleListRetry = 50 * time.Millisecond
)

// slowStart tells until when a runner is cold and counts out what it may get.
type slowStart struct {
	enabled     bool // the service bears less of a runner that is cold
	until       time.Duration
	forcedUntil time.Duration // until when it counts as cold whatever the list says
	lastReading listReading
	share       rateShare
	tokens      float64
	refilledAt  time.Duration
}

// listReading is what the list said last: the same again is nothing new, for the time that
// it stays cold counts from when the list was read.
type listReading struct {
	valid  bool
	state  string
	warmUp time.Duration
	since  int64
}

// note takes over what the list says of a runner. A fresh one was started or refilled
// just now: one that the list does not know to be cold counts as cold all the same.
func (start *slowStart) observe(runner feed.Runner, service *config.Service, fresh, restored bool, now time.Duration) {
	start.enabled = service.WarmUpRate > 0
	if !start.enabled {
		start.until, start.forcedUntil = 0, 0
		return
	}
	wasActive, reported := start.active(now), listReading{true, runner.State, runner.WarmUpLeft, runner.Since}
	warmUp := runner.WarmUpLeft
	if runner.State == feed.StateWarmingUp && warmUp <= 0 {
		warmUp = time.Duration(service.WarmUp)
	}
	if restored || fresh && warmUp <= 0 {
		start.forcedUntil = now + time.Duration(service.WarmUp)
	}
	if reported != start.lastReading {
		start.until, start.lastReading = now+warmUp, reported
	}
	start.until = max(start.until, start.forcedUntil)
	if !wasActive {
		start.tokens, start.refilledAt = 0, now
	}
}

func (start *slowStart) active(now time.Duration) bool { return now < start.until }

// limited tells whether a runner gets no more than a cold one: it is cold, or the list,
// which shows until listed that it is not, is too old.
func (start *slowStart) limited(listFreshUntil, now time.Duration) bool {
	return start.active(now) || start.enabled && now >= listFreshUntil
}

// delay tells in how long a limited runner may get a query from this front.
func (start *slowStart) delay(listFreshUntil, now time.Duration) time.Duration {
	if !start.limited(listFreshUntil, now) {
		return 0
	}
	start.refill(now)
	if start.tokens >= slowStartBurst {
		return 0
	}
	left := start.until - now
	if now >= listFreshUntil {
		left = max(left, staleListRetry)
	}
	if start.share.rate > 0 {
		left = min(left, time.Duration((slowStartBurst-start.tokens)/start.share.rate*float64(time.Second))+1)
	}
	return left
}

func (start *slowStart) refill(now time.Duration) {
	start.share.applyPending(now)
	start.tokens = math.Min(slowStartBurst, start.tokens+start.share.rate*(now-start.refilledAt).Seconds())
	start.refilledAt = now
}

// take counts a query to a limited runner; it tells whether the runner is limited.
func (start *slowStart) take(listFreshUntil, now time.Duration) bool {
	if !start.limited(listFreshUntil, now) {
		return false
	}
	start.refill(now)
	start.tokens--
	return true
}

// refund undoes take when nothing was sent.
func (start *slowStart) refund() { start.tokens = math.Min(slowStartBurst, start.tokens+1) }
