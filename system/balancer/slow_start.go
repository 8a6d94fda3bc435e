package balancer

import (
	"math"
	"slices"
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

const (
	// shareTakeoverDelay is how long a front waits before it takes over the share of one
	// that has left: the others must have heard of the change too.
	shareTakeoverDelay = 2 * time.Second
	// slowStartFraction is the part of a cold runner's rate that the fronts share out.
	slowStartFraction = 0.9
	// slowStartFrontsPerRate is how many fronts may send to one cold runner, as a part of its rate:
	// each may send one query at any time, so that their number adds to the rate.
	slowStartFrontsPerRate = 0.4
	slowStartBurst         = 1
	// listFreshness is how long a reading of the runner list shows that a runner is not cold,
	// counted from when the list was asked for. After that any runner whose service bears
	// less while cold gets no more than a cold one, until the list is known to have been
	// read again.
	listFreshness = 1400 * time.Millisecond
	// staleListRetry is how soon a runner may be looked at again that gets nothing from this
	// front because the list is too old.
	staleListRetry = 50 * time.Millisecond
	// firstListTimeout is how long after its first view a front that has just started lets
	// queries wait for its first reading of the list rather than refuse them.
	firstListTimeout = 1500 * time.Millisecond
)

// SetListReadTime tells where the balancer learns when the runner list was read whose content
// is in the newest view given to Update. Without it the list counts as always current.
//
//	choices.SetListReadTime(following.RosterRead)
func (balancer *Balancer) SetListReadTime(read func() time.Time) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.listReadTime = read
}

// firstListWait tells for how long a query may wait for this front's first reading of the
// list, which comes soon after its first view: after a total outage the list is read right
// after a leader is elected. It waits for half of the time that it has left at most.
func (balancer *Balancer) firstListWait(request Request, now time.Duration) time.Duration {
	if balancer.listReadTime == nil || !balancer.listReadTime().IsZero() {
		return 0
	}
	wait := max(0, balancer.fronts.firstUpdate+firstListTimeout-now)
	if !request.Deadline.IsZero() {
		wait = min(wait, request.Deadline.Sub(balancer.now())/2)
	}
	return wait
}

// listFreshUntil is until when the runner list shows which runners are not cold.
func (balancer *Balancer) listFreshUntil() time.Duration {
	if balancer.listReadTime == nil {
		return math.MaxInt64
	}
	return balancer.listReadTime().Sub(balancer.started) + listFreshness
}

// frontSet is which fronts share the runners, and which did a moment ago.
type frontSet struct {
	current, previous frontList
	changedAt         time.Duration
	lastUpdate        time.Duration // when the last state came
	known             bool
	firstUpdate       time.Duration // when the first state came
}

type frontList struct {
	count int
	self  string
	names []string
}

func (set *frontSet) update(state State, now time.Duration) {
	list := frontList{count: max(1, state.FrontCount, len(state.FrontNames)), self: state.FrontName, names: state.FrontNames}
	if set.known && set.current.count == list.count && set.current.self == list.self && slices.Equal(set.current.names, list.names) {
		return
	}
	if !set.known {
		set.firstUpdate = now
	}
	set.previous, set.current, set.changedAt = set.current, list, now
	set.known = true
}

// shareOf cuts a cold runner's rate over the live fronts so that all of them together
// keep to it at every time; of many fronts only some may send to one runner, by
// rendezvous. What a change of the fronts takes away counts at once, what it gives
// only after a while.
func (set *frontSet) shareOf(runner uint64, rate float64, seed uint64, now time.Duration) rateShare {
	share := set.current.shareOf(runner, rate, seed)
	if now-set.changedAt >= shareTakeoverDelay {
		return rateShare{rate: share}
	}
	return rateShare{rate: math.Min(share, set.previous.shareOf(runner, rate, seed)), pendingRate: share, effectiveAt: set.changedAt + shareTakeoverDelay}
}

func (list frontList) shareOf(runner uint64, rate float64, seed uint64) float64 {
	if list.count == 0 || rate <= 0 {
		return 0
	}
	senders := max(1, min(list.count, int(slowStartFrontsPerRate*rate)))
	switch {
	case senders == list.count:
	case slices.Contains(list.names, list.self):
		if list.rank(runner) >= senders {
			return 0
		}
	default:
		// Without names each front tosses for itself; fewer may send, for there may be more.
		senders = max(1, senders*2/3)
		if float64(mixBits(runner^mixBits(seed)))/math.MaxUint64*float64(list.count) >= float64(senders) {
			return 0
		}
	}
	return slowStartFraction * rate / float64(senders)
}

// rank is this front's place among those that share a runner.
func (list frontList) rank(runner uint64) int {
	mine, rank := mixBits(runner^hashOf(list.self)), 0
	for _, name := range list.names {
		if name != list.self && mixBits(runner^hashOf(name)) > mine {
			rank++
		}
	}
	return rank
}

// rateShare is how many queries a second this front may send to a cold runner.
type rateShare struct {
	rate        float64
	pendingRate float64 // what it will be
	effectiveAt time.Duration
}

// set takes a lower share at once, and a higher one when the other fronts had time to
// take theirs back.
func (share *rateShare) set(rate float64, now time.Duration) {
	share.applyPending(now)
	switch {
	case rate <= share.rate:
		share.rate, share.pendingRate = rate, rate
	case rate != share.pendingRate:
		share.pendingRate, share.effectiveAt = rate, now+shareTakeoverDelay
	}
}

func (share *rateShare) applyPending(now time.Duration) {
	if share.pendingRate > share.rate && now >= share.effectiveAt {
		share.rate = share.pendingRate
	}
}

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
