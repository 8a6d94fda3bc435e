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
	// listOutageWait is for how long after the list went out of date, or after the first view
	// of a front that has just started, requests wait for the next reading instead of being
	// rejected. A new leader of the control plane reads the list at once, so that most outages
	// are shorter.
	listOutageWait = 4 * time.Second
	// maxListWait bounds the wait of one request.
	maxListWait = 1500 * time.Millisecond
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

// listWait returns for how long a request may wait for the next reading of the list: not at
// all while the list is current, and at most half of the time until its deadline. Without a
// current list all runners with a warm-up rate are limited to it, and what they cannot take
// then they can as soon as the list is read again.
func (balancer *Balancer) listWait(pool *servicePool, request Request, now time.Duration) time.Duration {
	freshUntil := balancer.listFreshUntil()
	if now < freshUntil || pool.service.WarmUpRate <= 0 {
		return 0
	}
	outageBegan := max(freshUntil, balancer.fronts.firstUpdate)
	wait := min(maxListWait, max(0, outageBegan+listOutageWait-now))
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
