package balancer

import (
	"math"
	"time"
)

const (
	// listFreshness is how long a read of the runner list proves that a runner is not warming
	// up, counted from when the list was requested. After that, every runner whose service
	// has a warm-up rate is limited to it until the list is known to have been read again.
	listFreshness = 1400 * time.Millisecond
	// listOutageWait is how long after the list went out of date, or after a newly started
	// front got its first view, requests wait for the next read of the list instead of being
	// rejected. Most outages are shorter, because a new leader of the control plane reads the
	// list at once.
	listOutageWait = 4 * time.Second
	// maxListWait bounds how long one request waits for the list.
	maxListWait = 1500 * time.Millisecond
)

// SetListReadTime sets a function that returns when the runner list in the newest view
// was read, or the zero time if it was not read yet. Without the function the list counts
// as always current.
//
//	runners.SetListReadTime(feedClient.RunnerListReadAt)
func (balancer *Balancer) SetListReadTime(read func() time.Time) {
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	balancer.listReadTime = read
}

// listWait returns how long a request may wait for the next read of the list: 0 while the
// list is current, and at most half of the time until its deadline. Without a current list
// all runners with a warm-up rate are limited to it; the next read lifts that limit.
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

// listFreshUntil returns the time until which the runner list counts as current.
func (balancer *Balancer) listFreshUntil() time.Duration {
	if balancer.listReadTime == nil {
		return math.MaxInt64
	}
	return balancer.listReadTime().Sub(balancer.started) + listFreshness
}
