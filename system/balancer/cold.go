package balancer

import (
	"math"
	"slices"
	"time"

	"yardrock.example/system/config"
	"yardrock.example/system/feed"
)

const (
	// frontsSettle is how long a front waits before it takes over the share of one
	// that has left: the others must have heard of the change too.
	frontsSettle = 2 * time.Second
	// coldPart is the part of a cold runner's rate that the fronts share out.
	coldPart = 0.9
	// coldFronts is how many fronts may send to one cold runner, as a part of its rate:
	// each may send one query at any time, so that their number adds to the rate.
	coldFronts = 0.4
	coldBurst  = 1
	// listWindow is how long a reading of the runner list shows that a runner is not cold,
	// counted from when the list was asked for. After that any runner whose service bears
	// less while cold gets no more than a cold one, until the list is known to have been
	// read again.
	listWindow = 1400 * time.Millisecond
	// listRetry is how soon a runner may be looked at again that gets nothing from this
	// front because the list is too old.
	listRetry = 50 * time.Millisecond
	// firstListTimeout is how long after its first view a front that has just started lets
	// queries wait for its first reading of the list rather than refuse them.
	firstListTimeout = 1500 * time.Millisecond
)

// FollowList tells where the balancer learns when the runner list was read whose content
// is in the newest view given to Update. Without it the list counts as always current.
//
//	choices.FollowList(following.RosterRead)
func (balancer *Balancer) FollowList(read func() time.Time) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.listRead = read
}

// awaitsList tells for how long a query may wait for this front's first reading of the
// list, which comes soon after its first view: after a total outage the list is read right
// after a leader is elected. It waits for half of the time that it has left at most.
func (balancer *Balancer) awaitsList(need Need, now time.Duration) time.Duration {
	if balancer.listRead == nil || !balancer.listRead().IsZero() {
		return 0
	}
	wait := max(0, balancer.fronts.first+firstListTimeout-now)
	if !need.Deadline.IsZero() {
		wait = min(wait, need.Deadline.Sub(balancer.now())/2)
	}
	return wait
}

// listedUntil is until when the runner list shows which runners are not cold.
func (balancer *Balancer) listedUntil() time.Duration {
	if balancer.listRead == nil {
		return math.MaxInt64
	}
	return balancer.listRead().Sub(balancer.started) + listWindow
}

// frontSet is which fronts share the runners, and which did a moment ago.
type frontSet struct {
	now, before frontList
	changed     time.Duration
	updated     time.Duration // when the last state came
	known       bool
	first       time.Duration // when the first state came
}

type frontList struct {
	count int
	front string
	names []string
}

func (set *frontSet) note(state State, now time.Duration) {
	list := frontList{count: max(1, state.Fronts, len(state.Names)), front: state.Front, names: state.Names}
	if set.known && set.now.count == list.count && set.now.front == list.front && slices.Equal(set.now.names, list.names) {
		return
	}
	if !set.known {
		set.first = now
	}
	set.before, set.now, set.changed = set.now, list, now
	set.known = true
}

// shareOf cuts a cold runner's rate over the live fronts so that all of them together
// keep to it at every time; of many fronts only some may send to one runner, by
// rendezvous. What a change of the fronts takes away counts at once, what it gives
// only after a while.
func (set *frontSet) shareOf(runner uint64, rate float64, seed uint64, now time.Duration) coldShare {
	share := set.now.shareOf(runner, rate, seed)
	if now-set.changed >= frontsSettle {
		return coldShare{rate: share}
	}
	return coldShare{rate: math.Min(share, set.before.shareOf(runner, rate, seed)), next: share, from: set.changed + frontsSettle}
}

func (list frontList) shareOf(runner uint64, rate float64, seed uint64) float64 {
	if list.count == 0 || rate <= 0 {
		return 0
	}
	sending := max(1, min(list.count, int(coldFronts*rate)))
	switch {
	case sending == list.count:
	case slices.Contains(list.names, list.front):
		if list.rank(runner) >= sending {
			return 0
		}
	default:
		// Without names each front tosses for itself; fewer may send, for there may be more.
		sending = max(1, sending*2/3)
		if float64(mixed(runner^mixed(seed)))/math.MaxUint64*float64(list.count) >= float64(sending) {
			return 0
		}
	}
	return coldPart * rate / float64(sending)
}

// rank is this front's place among those that share a runner.
func (list frontList) rank(runner uint64) int {
	mine, rank := mixed(runner^hashOf(list.front)), 0
	for _, name := range list.names {
		if name != list.front && mixed(runner^hashOf(name)) > mine {
			rank++
		}
	}
	return rank
}

// coldShare is how many queries a second this front may send to a cold runner.
type coldShare struct {
	rate float64
	next float64 // what it will be
	from time.Duration
}

// set takes a lower share at once, and a higher one when the other fronts had time to
// take theirs back.
func (share *coldShare) set(rate float64, now time.Duration) {
	share.settle(now)
	switch {
	case rate <= share.rate:
		share.rate, share.next = rate, rate
	case rate != share.next:
		share.next, share.from = rate, now+frontsSettle
	}
}

func (share *coldShare) settle(now time.Duration) {
	if share.next > share.rate && now >= share.from {
		share.rate = share.next
	}
}

// coldness tells until when a runner is cold and counts out what it may get.
type coldness struct {
	bounded  bool // the service bears less of a runner that is cold
	until    time.Duration
	forced   time.Duration // until when it counts as cold whatever the list says
	reported reading
	share    coldShare
	tokens   float64
	at       time.Duration
}

// reading is what the list said last: the same again is nothing new, for the time that
// it stays cold counts from when the list was read.
type reading struct {
	read    bool
	state   string
	coldFor time.Duration
	since   int64
}

// note takes over what the list says of a runner. A fresh one was started or refilled
// just now: one that the list does not know to be cold counts as cold all the same.
func (cold *coldness) note(runner feed.Runner, service *config.Service, fresh, refilled bool, now time.Duration) {
	cold.bounded = service.WarmUpRate > 0
	if !cold.bounded {
		cold.until, cold.forced = 0, 0
		return
	}
	was, reported := cold.is(now), reading{true, runner.State, runner.ColdFor, runner.Since}
	listed := runner.ColdFor
	if runner.State == feed.StateWarmingUp && listed <= 0 {
		listed = time.Duration(service.WarmUp)
	}
	if refilled || fresh && listed <= 0 {
		cold.forced = now + time.Duration(service.WarmUp)
	}
	if reported != cold.reported {
		cold.until, cold.reported = now+listed, reported
	}
	cold.until = max(cold.until, cold.forced)
	if !was {
		cold.tokens, cold.at = 0, now
	}
}

func (cold *coldness) is(now time.Duration) bool { return now < cold.until }

// limited tells whether a runner gets no more than a cold one: it is cold, or the list,
// which shows until listed that it is not, is too old.
func (cold *coldness) limited(listed, now time.Duration) bool {
	return cold.is(now) || cold.bounded && now >= listed
}

// opens tells in how long a limited runner may get a query from this front.
func (cold *coldness) opens(listed, now time.Duration) time.Duration {
	if !cold.limited(listed, now) {
		return 0
	}
	cold.refill(now)
	if cold.tokens >= coldBurst {
		return 0
	}
	left := cold.until - now
	if now >= listed {
		left = max(left, listRetry)
	}
	if cold.share.rate > 0 {
		left = min(left, time.Duration((coldBurst-cold.tokens)/cold.share.rate*float64(time.Second))+1)
	}
	return left
}

func (cold *coldness) refill(now time.Duration) {
	cold.share.settle(now)
	cold.tokens = math.Min(coldBurst, cold.tokens+cold.share.rate*(now-cold.at).Seconds())
	cold.at = now
}

// take counts a query to a limited runner; it tells whether the runner is limited.
func (cold *coldness) take(listed, now time.Duration) bool {
	if !cold.limited(listed, now) {
		return false
	}
	cold.refill(now)
	cold.tokens--
	return true
}

// giveBack undoes take when nothing was sent.
func (cold *coldness) giveBack() { cold.tokens = math.Min(coldBurst, cold.tokens+1) }
