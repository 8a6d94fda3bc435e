package controlplane

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
)

const (
	// attemptTimeout bounds one attempt, so that a new leader gets the request rather than one
	// that hangs.
	attemptTimeout = 600 * time.Millisecond
	// attemptPause is between two attempts.
	attemptPause = 50 * time.Millisecond
)

// decision is what is left to do for an admin request on a view: a change to make, or, if
// there is none, the number of an earlier change whose acknowledgement to wait for.
type decision struct {
	change     *feed.Change
	acceptedAs uint64
}

// decideFunc decides what is left to do for an admin request on a view that a quorum confirmed
// after the request came. An error rejects the request for good.
type decideFunc func(view *feed.View) (decision, error)

// execute carries an admin request to its acknowledgement, over changes of the leader, until
// the context ends. Each attempt decides anew on a newly confirmed view; a change that was
// proposed by an earlier attempt and commits late fails its expected number.
func (node *Node) execute(ctx context.Context, decide decideFunc) (*wire.ChangeReply, error) {
	failed := noQuorumError()
	for {
		reply, rejected, err := node.attempt(ctx, decide)
		switch {
		case rejected != nil:
			return nil, rejected
		case err == nil && reply.Acknowledged:
			return reply, nil
		case err == nil:
			failed = outcomeUnknownError()
		case !apierror.Is(failed, apierror.OutcomeUnknown):
			// Kept over later errors: once an attempt may have made the change, only an
			// acknowledgement or a rejection settles what became of it.
			failed = err
		}
		select {
		case <-time.After(attemptPause):
		case <-ctx.Done():
			return nil, unacknowledgedError(failed)
		}
	}
}

// attempt decides on the view in force and makes the change. Rejected is the error of the
// decision, err any other.
func (node *Node) attempt(ctx context.Context, decide decideFunc) (reply *wire.ChangeReply, rejected, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	view, err := node.confirmedView(ctx)
	if err != nil {
		return nil, nil, err
	}
	decided, rejected := decide(view)
	if rejected != nil {
		return nil, rejected, nil
	}
	if decided.change == nil {
		reply, err = node.awaitAcknowledged(ctx, decided.acceptedAs)
	} else {
		reply, err = node.Change(ctx, *decided.change)
	}
	return reply, nil, err
}

// unacknowledgedError says that a request may be sent again: only a decision on a confirmed
// view rejects it for good.
func unacknowledgedError(err error) error {
	if failed := apierror.Of(err); failed.Kind == apierror.OutcomeUnknown || failed.Kind == apierror.NoQuorum {
		return err
	}
	return apierror.NewRetryable(apierror.NoQuorum, "the order was not acknowledged in time: "+apierror.Of(err).Message, "send the same order again, to any control node", time.Second)
}

// forgottenRequestError answers a request that may have been carried out so long ago that it
// is no longer remembered: it is neither acknowledged nor rejected.
func forgottenRequestError() error {
	return apierror.NewRetryable(apierror.NoQuorum, "the order builds on what was replaced long ago, and may have been carried out then", "read what is in force; send a new order if it is not what you want", time.Second)
}
