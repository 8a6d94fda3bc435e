package controlplane

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
)

const (
	// attemptTimeout bounds one attempt, so that a request that hangs at one leader is retried
	// at its successor.
	attemptTimeout = 600 * time.Millisecond
	// attemptPause is the delay between two attempts.
	attemptPause = 50 * time.Millisecond
)

// decision is what remains to be done for an admin request on a view: propose a change or, if
// change is nil, wait for the acknowledgement of the earlier change numbered acceptedAs.
type decision struct {
	change     *feed.Change
	acceptedAs uint64
}

// decideFunc decides what remains to be done for an admin request on a view that a quorum
// confirmed after the request arrived. An error rejects the request permanently.
type decideFunc func(view *feed.View) (decision, error)

// execute retries an admin request, across leader changes, until it is acknowledged or rejected
// or the context ends. Each attempt decides again on a newly confirmed view. If a change from an
// earlier attempt commits late, its expected number no longer matches and it is rejected.
func (node *Node) execute(ctx context.Context, decide decideFunc) (*wire.ChangeReply, error) {
	lastErr := noQuorumError()
	for {
		reply, rejection, err := node.attempt(ctx, decide)
		switch {
		case rejection != nil:
			return nil, rejection
		case err == nil && reply.Acknowledged:
			return reply, nil
		case err == nil:
			lastErr = outcomeUnknownError()
		case !apierror.Is(lastErr, apierror.OutcomeUnknown):
			// OutcomeUnknown is kept over later errors: once an attempt may have made the
			// change, only an acknowledgement or a rejection settles the outcome.
			lastErr = err
		}
		select {
		case <-time.After(attemptPause):
		case <-ctx.Done():
			return nil, unacknowledgedError(lastErr)
		}
	}
}

// attempt decides on the current view and makes the change. Rejection is the error of the
// decision; err is any other error.
func (node *Node) attempt(ctx context.Context, decide decideFunc) (reply *wire.ChangeReply, rejection, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	view, err := node.confirmedView(ctx)
	if err != nil {
		return nil, nil, err
	}
	decided, rejection := decide(view)
	if rejection != nil {
		return nil, rejection, nil
	}
	if decided.change == nil {
		reply, err = node.awaitAcknowledged(ctx, decided.acceptedAs)
	} else {
		reply, err = node.Change(ctx, *decided.change)
	}
	return reply, nil, err
}

// unacknowledgedError returns a retryable error for a request that was not acknowledged in time:
// only a decision on a confirmed view rejects a request permanently.
func unacknowledgedError(err error) error {
	if cause := apierror.Of(err); cause.Kind == apierror.OutcomeUnknown || cause.Kind == apierror.NoQuorum {
		return err
	}
	return apierror.NewRetryable(apierror.NoQuorum, "the request was not acknowledged in time: "+apierror.Of(err).Message, "send the same request again, to any control node", time.Second)
}

// evictedRequestError answers a request that may have been executed so long ago that the
// request history has evicted it. Such a request is neither acknowledged nor rejected.
func evictedRequestError() error {
	return apierror.NewRetryable(apierror.NoQuorum, "the request history does not reach back to this request, which may have been executed already", "read the current state; send a new request if the change is missing", time.Second)
}
