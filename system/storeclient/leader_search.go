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
	// callTimeout bounds one call to one store, without the time that a read may wait.
	callTimeout = 1200 * time.Millisecond
	// initialBackoff and maxBackoff bound the pause before the next call when all have
	// failed; it doubles each time.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 120 * time.Millisecond
	// hedgeDelay is how long the first replica may be silent before the others are called
	// as well; hedgeInterval is the time between two of them.
	hedgeDelay    = 400 * time.Millisecond
	hedgeInterval = 150 * time.Millisecond
	// maxRedirects bounds how often a leader that a replica names is called without a pause.
	maxRedirects = 3
	// maxInFlight bounds the calls in flight of one search; a group has far fewer replicas.
	maxInFlight = 64
)

// callResult is the result of one call to one store.
type callResult struct {
	target string
	reply  *wire.Reply
	err    error
}

// leaderSearch is one call to the leader of a session's group, over all replicas that it
// takes. Only the goroutine in Client.call uses it; those of the single calls read its
// first fields and send one result each.
type leaderSearch struct {
	client   *Client
	name     string
	timeout  time.Duration // of one call
	newQuery func(group uint32) *wire.Query
	// results has room for all calls in flight, so that none blocks once the search is over.
	results chan callResult

	// inFlight are the stores that were called and have not answered.
	inFlight    map[string]bool
	nextReplica int
	// timer fires when the next replica is to be called.
	timer     *time.Timer
	backoff   time.Duration
	redirects int
	// arrived is set once some query may have reached a store that acted on it.
	arrived bool
	// last is the last error of a call.
	last *apierror.Error
}

// call calls the hinted leader, else one replica after the other, until one answers as
// leader or the context ends. While one is silent, the others are called as well. On an
// error, arrived says whether some query may have been acted on.
func (client *Client) call(ctx context.Context, name string, timeout time.Duration, newQuery func(group uint32) *wire.Query) (reply *wire.Reply, arrived bool, err error) {
	ctx, cancel := context.WithCancel(ctx) // ends the calls in flight when another one has answered
	defer cancel()
	// A read that waits for new events is silent for that long without a fault, which is the
	// part of timeout beyond callTimeout: only after it are the others called as well.
	search := &leaderSearch{
		client: client, name: name, timeout: timeout, newQuery: newQuery, results: make(chan callResult, maxInFlight), inFlight: map[string]bool{},
		timer: time.NewTimer(timeout - callTimeout + hedgeDelay), backoff: initialBackoff,
	}
	defer search.timer.Stop()
	if !search.callNext(ctx) {
		search.timer.Reset(initialBackoff) // no store is known yet
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
			// That data cannot be read is worth more to the caller than that time is over.
			if search.last != nil && search.last.Kind == apierror.Gap {
				return nil, true, search.last
			}
			return nil, search.arrived || len(search.inFlight) > 0, apierror.WrapRetryable(ctx.Err(), apierror.NoQuorum, "the stores of this line did not answer in time", "ask again", time.Second)
		}
	}
}

// pickReplica returns the store to call next: the hinted leader, else the next one of the
// group's replicas, but none that is being called; "" if there is none.
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

// callNext starts a call to one more replica, in a goroutine that ends with the call; false
// means that there is none.
func (search *leaderSearch) callNext(ctx context.Context) bool {
	view := search.client.view()
	group := placement.GroupOf(search.name, view.Groups)
	target := search.pickReplica(view, group)
	if target == "" || len(search.inFlight) == maxInFlight {
		return false
	}
	search.inFlight[target] = true
	query, address := search.newQuery(group), view.AddressOf(target)
	query.Fleet = view.Fleet
	go func() {
		limited, cancel := context.WithTimeout(ctx, search.timeout)
		defer cancel()
		reply, err := search.client.caller.Call(limited, address, query)
		if err != nil && limited.Err() != nil && ctx.Err() == nil {
			search.client.caller.DropIfSilent(address, search.timeout)
		}
		search.results <- callResult{target, reply, err}
	}()
	return true
}

// handleResult learns from the result of one call; done ends the search with the result's
// reply or an error that no other replica would answer differently.
func (search *leaderSearch) handleResult(ctx context.Context, result callResult) (done bool, err error) {
	client, group := search.client, placement.GroupOf(search.name, search.client.view().Groups)
	if result.err == nil {
		client.setLeaderHint(group, result.target)
		return true, nil
	}
	failure := apierror.Of(result.err)
	if ctx.Err() != nil {
		search.arrived = search.arrived || !failure.NeverSent
		return false, nil
	}
	search.last = failure
	switch failure.Kind {
	case apierror.NotLeader:
		client.setLeaderHint(group, failure.Leader)
		if search.redirect(ctx, result.target, failure.Leader) {
			return false, nil
		}
	case apierror.OutcomeUnknown, apierror.Gap: // what can't be read may have been committed
		search.arrived = true
		client.clearLeaderHint(group, result.target)
	case apierror.Unavailable:
		search.arrived = search.arrived || !failure.NeverSent
		client.clearLeaderHint(group, result.target)
	case apierror.NoQuorum:
		client.clearLeaderHint(group, result.target)
	default:
		return true, result.err
	}
	search.scheduleNext()
	return false, nil
}

// redirect calls the leader that a replica named, without a pause, if that is worth it. The
// hint makes it the one to call next.
func (search *leaderSearch) redirect(ctx context.Context, from, leader string) bool {
	if leader == "" || leader == from || search.inFlight[leader] || search.redirects >= maxRedirects || !search.callNext(ctx) {
		return false
	}
	search.redirects++
	return true
}

// scheduleNext sets the timer for the next call after a failed one: soon while others are
// in flight, else with a backoff.
func (search *leaderSearch) scheduleNext() {
	if len(search.inFlight) > 0 {
		search.timer.Reset(hedgeInterval)
		return
	}
	search.timer.Reset(search.backoff)
	search.backoff = min(2*search.backoff, maxBackoff)
}
