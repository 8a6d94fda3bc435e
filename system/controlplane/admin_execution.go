package controlplane

import (
	"context"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
)

// decision is what an order comes to on a view: the change to make, or, if nothing is
// left to change, the number whose acknowledgement to wait for.
type decision struct {
	change     *feed.Change
	acceptedAs uint64
}

// decideFunc looks at what a quorum confirmed as in force since the order came. An error
// refuses the order.
type decideFunc func(view *feed.View) (decision, error)

// execute brings an order to its acknowledgement, over changes of the leader, until the
// context ends.
func (node *Node) execute(ctx context.Context, decide decideFunc) (*wire.ChangeReply, error) {
	failed := noQuorumError()
	for {
		reply, refused, err := node.attempt(ctx, decide)
		switch {
		case refused != nil:
			return nil, refused
		case err == nil && reply.Acknowledged:
			return reply, nil
		case err == nil:
			failed = unclearChangeError()
		case !apierror.Is(failed, apierror.OutcomeUnknown):
			failed = err
		}
		select {
		case <-time.After(attemptPause):
		case <-ctx.Done():
			return nil, unacknowledgedError(failed)
		}
	}
}

// attempt looks at what is in force, and makes the change that it asks for.
func (node *Node) attempt(ctx context.Context, decide decideFunc) (reply *wire.ChangeReply, refused, err error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	view, err := node.confirmedView(ctx)
	if err != nil {
		return nil, nil, err
	}
	decided, refused := decide(view)
	if refused != nil {
		return nil, refused, nil
	}
	if decided.change == nil {
		reply, err = node.AwaitAcknowledged(ctx, decided.acceptedAs)
	} else {
		reply, err = node.Change(ctx, *decided.change)
	}
	return reply, nil, err
}

// unacknowledgedError tells that an order may be sent again: only what was decided on a view
// refuses it for good.
func unacknowledgedError(err error) error {
	if failed := apierror.Of(err); failed.Kind == apierror.OutcomeUnknown || failed.Kind == apierror.NoQuorum {
		return err
	}
	return apierror.NewRetryable(apierror.NoQuorum, "the order was not acknowledged in time: "+apierror.Of(err).Message, "send the same order again, to any control node", time.Second)
}

// forgottenRequestError answers an order that may have been carried out so long ago that it is no
// longer remembered: it is neither acknowledged nor refused.
func forgottenRequestError() error {
	return apierror.NewRetryable(apierror.NoQuorum, "the order builds on what was replaced long ago, and may have been carried out then", "read what is in force; send a new order if it is not what you want", time.Second)
}
