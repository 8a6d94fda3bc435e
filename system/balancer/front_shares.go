package balancer

import (
	"math"
	"slices"
	"time"
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
)

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
