package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	// shareTakeoverDelay is how long a front waits before it uses a larger share, so that
	// the other fronts have learned of the change and lowered theirs.
	shareTakeoverDelay = 2 * time.Second
	// slowStartFraction is the fraction of a runner's warm-up rate that the fronts divide
	// among themselves.
	slowStartFraction = 0.9
	// slowStartFrontsPerRate times the warm-up rate (requests per second) is how many fronts
	// may send to one runner in slow start. Each may send its burst at any time, so every
	// further front adds to the peak.
	slowStartFrontsPerRate = 0.4
)

// frontSet is the current and the previous list of the fronts that share the runners.
type frontSet struct {
	current, previous frontList
	changedAt         time.Duration
	lastUpdate        time.Duration // time of the last Update, whether or not the fronts changed
	initialized       bool
	firstUpdate       time.Duration
}

// frontList is the list of live fronts. names is optional; count is always known.
type frontList struct {
	count int
	self  string
	names []string
}

// update applies the front list of a state.
func (set *frontSet) update(state State, now time.Duration) {
	list := frontList{count: max(1, state.FrontCount, len(state.FrontNames)), self: state.FrontName, names: state.FrontNames}
	if set.initialized && set.current.count == list.count && set.current.self == list.self && slices.Equal(set.current.names, list.names) {
		return
	}
	if !set.initialized {
		set.firstUpdate = now
	}
	set.previous, set.current, set.changedAt = set.current, list, now
	set.initialized = true
}

// shareOf returns this front's share of a runner's warm-up rate. The sum over all fronts
// stays within the rate even while they learn of a change at different times: a smaller
// share takes effect at once, a larger one after shareTakeoverDelay.
func (set *frontSet) shareOf(runner uint64, rate float64, seed uint64, now time.Duration) rateShare {
	share := set.current.shareOf(runner, rate, seed)
	if now-set.changedAt >= shareTakeoverDelay {
		return rateShare{rate: share}
	}
	return rateShare{rate: math.Min(share, set.previous.shareOf(runner, rate, seed)), pendingRate: share, effectiveAt: set.changedAt + shareTakeoverDelay}
}

// shareOf returns this front's share of a rate, in requests per second. If there are many
// fronts, only some of them may send to a runner; rendezvous hashing decides which.
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
		// Without names each front decides independently by its seed. The expected number of
		// senders is lowered, because more than that may decide to send.
		senders = max(1, senders*2/3)
		if float64(mixBits(runner^mixBits(seed)))/math.MaxUint64*float64(list.count) >= float64(senders) {
			return 0
		}
	}
	return slowStartFraction * rate / float64(senders)
}

// rank returns this front's rank for a runner by rendezvous hash; 0 is the highest.
func (list frontList) rank(runner uint64) int {
	ownHash, rank := mixBits(runner^hashOf(list.self)), 0
	for _, name := range list.names {
		if name != list.self && mixBits(runner^hashOf(name)) > ownHash {
			rank++
		}
	}
	return rank
}

// rateShare is this front's share of a runner's warm-up rate, in requests per second.
type rateShare struct {
	rate        float64
	pendingRate float64 // the rate from effectiveAt on, if it is higher
	effectiveAt time.Duration
}

// set lowers the share at once, or raises it after shareTakeoverDelay.
func (share *rateShare) set(rate float64, now time.Duration) {
	share.applyPending(now)
	switch {
	case rate <= share.rate:
		share.rate, share.pendingRate = rate, rate
	case rate != share.pendingRate:
		share.pendingRate, share.effectiveAt = rate, now+shareTakeoverDelay
	}
}

// applyPending raises the share to pendingRate once effectiveAt is reached.
func (share *rateShare) applyPending(now time.Duration) {
	if share.pendingRate > share.rate && now >= share.effectiveAt {
		share.rate = share.pendingRate
	}
}
