package balancer

import (
	"math"
	"time"
)

const (
	// listFreshness is how long a reading of the runner list proves that a runner does not
	// warm up, counted from when the list was requested. After that any runner whose
	// service has a warm-up rate is limited to it, until the list is known to have been
	// read again.
	listFreshness = 1400 * time.Millisecond
	// firstListTimeout is for how long after its first view a front that has just started
	// lets requests wait for its first reading of the list instead of rejecting them.
	firstListTimeout = 1500 * time.Millisecond
)

// SetListReadTime sets a function that returns when the runner list in the newest view
// was read; zero: not yet. Without it the list counts as always current.
//
//	runners.SetListReadTime(feedClient.RunnerListReadAt)
func (balancer *Balancer) SetListReadTime(read func() time.Time) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.listReadTime = read
}

// firstListWait returns for how long a request may wait for this front's first reading
// of the list: at most half of the time until its deadline. The first reading comes soon
// after the first view; after a total outage the list is read as soon as a leader is
// elected.
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

// listFreshUntil returns until when the runner list is trusted.
func (balancer *Balancer) listFreshUntil() time.Duration {
	if balancer.listReadTime == nil {
		return math.MaxInt64
	}
	return balancer.listReadTime().Sub(balancer.started) + listFreshness
}
