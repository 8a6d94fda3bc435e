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
	// drainMargin is the part of the drain timeout that is left for a request to reach its
	// runner after the last check.
	drainMargin = 400 * time.Millisecond
)

// SetDrainTimeout limits how long a runner may get requests after the platform has listed it as
// draining. While the control plane cannot read the list, a front does not learn that a runner
// drains. So a runner gets requests only within the timeout after it was last known to serve: by
// a read of the list, by a response or a health check of its own (Lease.ConfirmServing), or by the first list that
// this front has seen since its start. The timeout 0, the default, sets no limit.
//
//	runners.SetDrainTimeout(3 * time.Second)
func (balancer *Balancer) SetDrainTimeout(timeout time.Duration) {
	balancer.drainTimeout.Store(int64(timeout))
}

// mayDrainUnnoticed reports whether a runner was last known to serve so long ago that it may
// have been draining for the drain timeout. It takes no lock.
func (balancer *Balancer) mayDrainUnnoticed(state *runnerState, now time.Duration) bool {
	timeout := time.Duration(balancer.drainTimeout.Load())
	if timeout == 0 || balancer.listReadTime == nil {
		return false
	}
	lastServing := max(balancer.listReadTime().Sub(balancer.started), time.Duration(balancer.firstListAt.Load()), time.Duration(state.servingAt.Load()))
	return now >= lastServing+timeout-drainMargin
}

// ConfirmServing reports that the runner answered a request sent at the given time and that the
// response did not announce the end of the connection, as those of a draining runner do.
//
//	lease.ConfirmServing(sentAt)
func (lease *Lease) ConfirmServing(sentAt time.Time) {
	at := int64(sentAt.Sub(lease.balancer.started))
	for {
		known := lease.state.servingAt.Load()
		if at <= known || lease.state.servingAt.CompareAndSwap(known, at) {
			return
		}
	}
}

// healthCheckRetry is how long after a failed health check a runner is not checked again.
const healthCheckRetry = time.Second

// healthCheck is the state of the health checks that confirm that a runner serves.
type healthCheck struct {
	inFlight bool
	retryAt  time.Duration
}

// allowed reports whether the runner may be checked now.
func (check *healthCheck) allowed(now time.Duration) bool {
	return !check.inFlight && now >= check.retryAt
}

// NeedsHealthCheck reports whether the runner may have been draining for longer than the drain
// timeout. The holder must then check its health, and call EndHealthCheck, before it sends the
// request.
//
//	if lease.NeedsHealthCheck() {
//		lease.EndHealthCheck(sentAt, healthy)
//	}
func (lease *Lease) NeedsHealthCheck() bool { return lease.needsHealthCheck }

// EndHealthCheck reports the result of the health check that was sent at the given time.
//
//	lease.EndHealthCheck(sentAt, response.Status == http.StatusOK)
func (lease *Lease) EndHealthCheck(sentAt time.Time, healthy bool) {
	if healthy {
		lease.ConfirmServing(sentAt)
	}
	balancer := lease.balancer
	balancer.mutex.Lock()
	defer balancer.mutex.Unlock()
	now := balancer.elapsed()
	lease.state.healthCheck.inFlight = false
	if !healthy {
		lease.state.healthCheck.retryAt = now + healthCheckRetry
	}
	balancer.serveQueue(now)
}

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
