package controlplane

import (
	"context"
	"fmt"
	"slices"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
)

const (
	// An order is tried again by a new leader rather than held by one that hangs.
	attemptTimeout = 600 * time.Millisecond
	attemptPause   = 50 * time.Millisecond
)

// decodedConfig is the config of one number, decoded once.
type decodedConfig struct {
	fleet  string
	number uint64
	config *config.Config
}

// decodeConfig decodes a view's config, or takes the one that was decoded last.
func (node *Node) decodeConfig(view *feed.View) (*config.Config, error) {
	if last := node.decodedConfig.Load(); last != nil && last.fleet == view.Fleet && last.number == view.ConfigNumber {
		return last.config, nil
	}
	decoded, err := config.Decode(view.Compiled)
	if err != nil {
		return nil, err
	}
	node.decodedConfig.Store(&decodedConfig{view.Fleet, view.ConfigNumber, decoded})
	return decoded, nil
}

// compileWithRouting compiles a config that an operator wrote with the routing in force.
func (node *Node) compileWithRouting(view *feed.View, decoded *config.Config) ([]byte, error) {
	inForce, err := node.decodeConfig(view)
	if err != nil {
		return nil, err
	}
	next := *decoded // the same order may be decided again on another view
	return next.InheritRouting(inForce)
}

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

// ReplaceRouting puts a whole routing in force, in place of that of the revision base (0
// if there is none yet), and returns once it is acknowledged. Digest names the order:
// the same one sent again is acknowledged again. Conflict tells that another revision
// is in force, Invalid what is wrong with this one; at the end of the context Unclear
// tells that it may have been taken, NoQuorum that nobody could say: send it again.
// NoQuorum is also the answer to an order so old that it is not known whether it was taken.
//
//	err := node.ReplaceRouting(ctx, "root", 5, config.Routing{Revision: 7, Routes: routes, Services: services}, digest)
func (node *Node) ReplaceRouting(ctx context.Context, by string, base uint64, next config.Routing, digest string) error {
	if err := next.Check(); err != nil {
		return err
	}
	request := routingRequest{operator: by, base: base, revision: next.Revision, digest: digest}
	return node.changeRouting(ctx, request, func(*config.Routing) (config.Routing, error) { return next, nil })
}

// AmendRouting changes the routing of the revision base by names, and returns once that
// is acknowledged, as ReplaceRouting does.
//
//	err := node.AmendRouting(ctx, "root", 7, config.RoutingPatch{Revision: 9, RemoveRoutes: []string{"old"}}, digest)
func (node *Node) AmendRouting(ctx context.Context, by string, base uint64, amendment config.RoutingPatch, digest string) error {
	request := routingRequest{operator: by, base: base, revision: amendment.Revision, digest: digest}
	return node.changeRouting(ctx, request, func(inForce *config.Routing) (config.Routing, error) { return inForce.Patched(amendment) })
}

// routingRequest is an order to replace the routing of one revision by that of another.
type routingRequest struct {
	operator string
	base     uint64
	revision uint64
	digest   string
}

func (request routingRequest) accepted() feed.AcceptedRequest {
	return feed.AcceptedRequest{Digest: feed.RequestDigest(request.digest), Number: request.revision}
}

// acceptedRoutingRequests gives the orders of the routing that are remembered. Those of a fleet
// whose version kept them only in the routing are taken over from there.
func acceptedRoutingRequests(view *feed.View, routing *config.Routing) feed.RequestHistory {
	history := view.RoutingRequests
	if !history.IsEmpty() || routing == nil || len(routing.AcceptedRequests) == 0 {
		return history
	}
	for _, taken := range routing.AcceptedRequests {
		history = history.With(feed.AcceptedRequest{Digest: feed.RequestDigest(taken.Digest), Number: taken.Revision})
	}
	if len(routing.AcceptedRequests) >= config.MaxAcceptedRequests {
		history.Forgotten = max(history.Forgotten, routing.AcceptedRequests[0].Revision)
	}
	return history
}

// amendFunc makes a routing from the one in force.
type amendFunc func(inForce *config.Routing) (config.Routing, error)

func (node *Node) changeRouting(ctx context.Context, request routingRequest, amend amendFunc) error {
	_, err := node.execute(ctx, func(view *feed.View) (decision, error) { return node.decideRouting(view, request, amend) })
	return err
}

// decideRouting finds what is left to do for an order of the routing on a view.
func (node *Node) decideRouting(view *feed.View, request routingRequest, amend amendFunc) (decision, error) {
	decoded, err := node.decodeConfig(view)
	if err != nil {
		return decision{}, err
	}
	history := acceptedRoutingRequests(view, decoded.Routing)
	if _, taken := history.NumberOf(request.accepted().Digest); taken {
		return decision{acceptedAs: view.Number}, nil
	}
	if inForce := decoded.Routing.CurrentRevision(); inForce != request.base {
		if history.MayHaveForgotten(request.revision) {
			return decision{}, forgottenRequestError()
		}
		return decision{}, apierror.New(apierror.Conflict, fmt.Sprintf("the routing builds on revision %d, but %d is in force", request.base, inForce), "read what is in force and decide anew")
	}
	if len(view.Compiled) == 0 {
		if decoded, _, err = config.Compile(""); err != nil {
			return decision{}, err
		}
	}
	next, err := amend(decoded.Routing)
	if err != nil {
		return decision{}, err
	}
	_, compiled, err := decoded.WithRouting(next, request.digest)
	if err != nil {
		return decision{}, err
	}
	change := &feed.Change{Kind: feed.ChangeConfig, By: request.operator, Expects: true, Expected: view.ConfigNumber, Source: view.Source, Compiled: compiled}
	if view.RoutingRequests.IsEmpty() {
		change.RoutingRequests, change.RoutingForgotten = slices.Collect(history.All()), history.Forgotten
	}
	change.RoutingRequests = append(change.RoutingRequests, request.accepted())
	return decision{change: change}, nil
}

// ReadRouting reads the newest routing, confirmed by a quorum; its revision is 0 if there
// is none yet.
//
//	routing, err := node.ReadRouting(ctx)
func (node *Node) ReadRouting(ctx context.Context) (*config.Routing, error) {
	for {
		limited, cancel := context.WithTimeout(ctx, attemptTimeout)
		view, err := node.confirmedView(limited)
		cancel()
		if err == nil {
			decoded, err := node.decodeConfig(view)
			if err != nil {
				return nil, err
			}
			if decoded.Routing == nil {
				return &config.Routing{}, nil
			}
			return decoded.Routing, nil
		}
		select {
		case <-time.After(attemptPause):
		case <-ctx.Done():
			return nil, unacknowledgedError(err)
		}
	}
}

// SetDomainState empties or refills a domain and returns once that is acknowledged; if it
// is in that state already, once it is known that this was.
//
//	err := node.SetDomainState(ctx, "root", "east", feed.StateDrained)
func (node *Node) SetDomainState(ctx context.Context, by, name, state string) error {
	if state != feed.StateServing && state != feed.StateDrained {
		return apierror.New(apierror.Invalid, fmt.Sprintf("%q is no state of a domain", state), "use serving or emptied")
	}
	_, err := node.execute(ctx, func(view *feed.View) (decision, error) {
		if view.DomainDrained(name) == (state == feed.StateDrained) {
			return decision{acceptedAs: view.Number}, nil
		}
		change := newDomainChange(view, name, state)
		change.By = by
		return decision{change: &change}, nil
	})
	return err
}
