package balancer

import (
	"math"
	"time"
)

const (
	// listFreshness is how long a reading of the runner list shows that a runner is not cold,
	// counted from when the list was asked for. After that any runner whose service bears
	// less while cold gets no more than a cold one, until the list is known to have been
	// read again.
	listFreshness = 1400 * time.Millisecond
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
