package storeclient

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/placement"
	"yardrock.example/system/wire"
)

const (
	// callTimeout bounds one call to one store, excluding the time that a read may wait.
	callTimeout = 1200 * time.Millisecond
	// initialBackoff and maxBackoff bound the delay before the next call after all calls have
	// failed; it doubles each time.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 120 * time.Millisecond
	// hedgeDelay is how long a call waits for the first replica before it calls the others as
	// well, at intervals of hedgeInterval.
	hedgeDelay    = 400 * time.Millisecond
	hedgeInterval = 150 * time.Millisecond
	// maxRedirects bounds how many redirects to a named leader are followed without a delay.
	maxRedirects = 3
	// maxInFlight bounds the concurrent calls of one search; a group has far fewer replicas.
	maxInFlight = 64
)

// callResult is the result of one call to one store.
type callResult struct {
	target string
	reply  *wire.Reply
	err    error
}

// leaderSearch is the state of one Client.call, which may call several replicas. Only the
// goroutine in Client.call changes it; the goroutines of the single calls only read the fields
// up to results, and send one result each.
type leaderSearch struct {
	client      *Client
	sessionName string
	timeout     time.Duration // of each call
	newQuery    func(group uint32) *wire.Query
	// results is buffered for all calls in flight, so that none blocks after the search.
	results chan callResult

	// inFlight is the set of stores that were called and have not replied.
	inFlight    map[string]bool
	nextReplica int
	// timer fires when the next replica should be called.
	timer     *time.Timer
	backoff   time.Duration
	redirects int
	// maybeExecuted is set once a store may have executed a query.
	maybeExecuted bool
	// lastErr is the most recent error of a call.
	lastErr *apierror.Error
}

// call calls the hinted leader, or else one replica after another, until one replies as leader
// or the context ends. While a replica does not reply, the others are called as well. On an
// error, maybeExecuted reports whether a store may have executed a query.
func (client *Client) call(ctx context.Context, sessionName string, timeout time.Duration, newQuery func(group uint32) *wire.Query) (reply *wire.Reply, maybeExecuted bool, err error) {
	ctx, cancel := context.WithCancel(ctx) // cancels the calls in flight once another has replied
	defer cancel()
	// The part of timeout beyond callTimeout is the time that a read may wait for new events.
	// A leader that does not reply within it is not faulty, so it extends the hedge delay.
	search := &leaderSearch{
		client: client, sessionName: sessionName, timeout: timeout, newQuery: newQuery, results: make(chan callResult, maxInFlight), inFlight: map[string]bool{},
		timer: time.NewTimer(timeout - callTimeout + hedgeDelay), backoff: initialBackoff,
	}
	defer search.timer.Stop()
	if !search.callNext(ctx) {
		search.timer.Reset(initialBackoff) // no store can be called yet
	}
	for {
		select {
		case <-search.timer.C:
			search.callNext(ctx)
			search.timer.Reset(hedgeInterval)
		case result := <-search.results:
			delete(search.inFlight, result.target)
			if done, err := search.handleResult(ctx, result); done {
				return result.reply, true, err
			}
		case <-ctx.Done():
			// A Gap is more specific than the timeout.
			if search.lastErr != nil && search.lastErr.Kind == apierror.Gap {
				return nil, true, search.lastErr
			}
			return nil, search.maybeExecuted || len(search.inFlight) > 0, apierror.WrapRetryable(ctx.Err(), apierror.NoQuorum, "the stores of the session's group did not reply in time", "retry", time.Second)
		}
	}
}

// pickReplica returns the store to call next: the hinted leader, or else the next of the
// group's replicas. It skips stores with a call in flight, and returns "" if none is left.
func (search *leaderSearch) pickReplica(view *feed.View, group uint32) string {
	if target := search.client.hintedLeader(group); target != "" && !search.inFlight[target] && view.AddressOf(target) != "" {
		return target
	}
	replicas := placement.ReplicasOf(group, view.PlacementCandidates(), view.ReplicationFactor())
	for range replicas {
		target := replicas[search.nextReplica%len(replicas)]
		search.nextReplica++
		if !search.inFlight[target] && view.AddressOf(target) != "" {
			return target
		}
	}
	return ""
}

// callNext starts a call to one more replica, in a goroutine that ends with the call. It
// reports false if there is no replica to call.
func (search *leaderSearch) callNext(ctx context.Context) bool {
	view := search.client.view()
	group := placement.GroupOf(search.sessionName, view.Groups)
	target := search.pickReplica(view, group)
	if target == "" || len(search.inFlight) == maxInFlight {
		return false
	}
	search.inFlight[target] = true
	query, address := search.newQuery(group), view.AddressOf(target)
	query.Fleet = view.Fleet
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, search.timeout)
		defer cancel()
		reply, err := search.client.caller.Call(callCtx, address, query)
		if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
			search.client.caller.DropIfSilent(address, search.timeout)
		}
		search.results <- callResult{target, reply, err}
	}()
	return true
}

// handleResult handles the result of one call: it updates the leader hint and schedules the next
// call. done reports that the search ends, with the reply or with an error that would be the same
// from any replica.
func (search *leaderSearch) handleResult(ctx context.Context, result callResult) (done bool, err error) {
	client, group := search.client, placement.GroupOf(search.sessionName, search.client.view().Groups)
	if result.err == nil {
		client.setLeaderHint(group, result.target)
		return true, nil
	}
	failure := apierror.Of(result.err)
	if ctx.Err() != nil {
		search.maybeExecuted = search.maybeExecuted || !failure.NeverSent
		return false, nil
	}
	search.lastErr = failure
	switch failure.Kind {
	case apierror.NotLeader:
		client.setLeaderHint(group, failure.Leader)
		if search.redirect(ctx, result.target, failure.Leader) {
			return false, nil
		}
	case apierror.OutcomeUnknown, apierror.Gap: // after a Gap, the command may have been committed
		search.maybeExecuted = true
		client.clearLeaderHint(group, result.target)
	case apierror.Unavailable:
		search.maybeExecuted = search.maybeExecuted || !failure.NeverSent
		client.clearLeaderHint(group, result.target)
	case apierror.NoQuorum:
		client.clearLeaderHint(group, result.target)
	default:
		return true, result.err
	}
	search.scheduleNext()
	return false, nil
}

// redirect calls the leader that a replica named, without a delay, unless that leader is already
// being called or maxRedirects is reached. callNext picks it because the leader hint names it.
func (search *leaderSearch) redirect(ctx context.Context, from, leader string) bool {
	if leader == "" || leader == from || search.inFlight[leader] || search.redirects >= maxRedirects || !search.callNext(ctx) {
		return false
	}
	search.redirects++
	return true
}

// scheduleNext sets the timer for the next call after a failed one: hedgeInterval while other
// calls are in flight, else the backoff.
func (search *leaderSearch) scheduleNext() {
	if len(search.inFlight) > 0 {
		search.timer.Reset(hedgeInterval)
		return
	}
	search.timer.Reset(search.backoff)
	search.backoff = min(2*search.backoff, maxBackoff)
}
