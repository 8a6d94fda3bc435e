package controlplane

import (
	"context"
	"fmt"
	"slices"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/config"
	"yardrock.example/system/configsource"
	"yardrock.example/system/feed"
)

// ReplaceRouting replaces the routing of the revision base (0 if there is none yet) by
// another, and returns once that is acknowledged. Digest identifies the request: the same one
// sent again is acknowledged again. The error is Conflict if another revision is in force,
// Invalid if the routing is wrong. When the context ends it is OutcomeUnknown if the routing may
// have been replaced, NoQuorum if nobody could say: send the request again. NoQuorum also
// answers a request so old that it is unknown whether it was carried out.
//
//	err := node.ReplaceRouting(ctx, "root", 5, config.Routing{Revision: 7, Routes: routes, Services: services}, digest)
func (node *Node) ReplaceRouting(ctx context.Context, by string, base uint64, next config.Routing, digest string) error {
	if err := next.Check(); err != nil {
		return err
	}
	request := routingRequest{operator: by, base: base, revision: next.Revision, digest: digest}
	return node.changeRouting(ctx, request, func(*config.Routing) (config.Routing, error) { return next, nil })
}

// PatchRouting changes named parts of the routing of the revision base, and returns once that
// is acknowledged, as ReplaceRouting does.
//
//	err := node.PatchRouting(ctx, "root", 7, config.RoutingPatch{Revision: 9, RemoveRoutes: []string{"old"}}, digest)
func (node *Node) PatchRouting(ctx context.Context, by string, base uint64, patch config.RoutingPatch, digest string) error {
	request := routingRequest{operator: by, base: base, revision: patch.Revision, digest: digest}
	return node.changeRouting(ctx, request, func(inForce *config.Routing) (config.Routing, error) { return inForce.Patched(patch) })
}

// routingRequest is a request to replace the routing of one revision by that of another.
type routingRequest struct {
	operator string
	base     uint64 // the revision that it builds on; 0 if there is none yet
	revision uint64 // of the routing that it makes
	digest   string // identifies what the operator sent
}

// accepted is how the request is remembered once it was carried out.
func (request routingRequest) accepted() feed.AcceptedRequest {
	return feed.AcceptedRequest{Digest: feed.RequestDigest(request.digest), Number: request.revision}
}

// acceptedRoutingRequests returns the routing requests that are remembered. An older version
// kept them only in the routing itself; they are converted from there.
func acceptedRoutingRequests(view *feed.View, routing *config.Routing) feed.RequestHistory {
	history := view.RoutingRequests
	if !history.IsEmpty() || routing == nil || len(routing.AcceptedRequests) == 0 {
		return history
	}
	for _, accepted := range routing.AcceptedRequests {
		history = history.With(feed.AcceptedRequest{Digest: feed.RequestDigest(accepted.Digest), Number: accepted.Revision})
	}
	if len(routing.AcceptedRequests) >= config.MaxAcceptedRequests {
		history.Forgotten = max(history.Forgotten, routing.AcceptedRequests[0].Revision)
	}
	return history
}

// routingFunc makes the next routing from the one in force, which is nil if there is none.
type routingFunc func(inForce *config.Routing) (config.Routing, error)

// changeRouting carries out a routing request.
func (node *Node) changeRouting(ctx context.Context, request routingRequest, makeRouting routingFunc) error {
	_, err := node.execute(ctx, func(view *feed.View) (decision, error) { return node.decideRouting(view, request, makeRouting) })
	return err
}

// decideRouting finds what is left to do for a routing request on a view.
func (node *Node) decideRouting(view *feed.View, request routingRequest, makeRouting routingFunc) (decision, error) {
	decoded, err := node.decodeConfig(view)
	if err != nil {
		return decision{}, err
	}
	history := acceptedRoutingRequests(view, decoded.Routing)
	if _, accepted := history.NumberOf(request.accepted().Digest); accepted {
		return decision{acceptedAs: view.Number}, nil
	}
	if inForce := decoded.Routing.CurrentRevision(); inForce != request.base {
		if history.MayHaveForgotten(request.revision) {
			return decision{}, forgottenRequestError()
		}
		return decision{}, apierror.New(apierror.Conflict, fmt.Sprintf("the routing builds on revision %d, but %d is in force", request.base, inForce), "read what is in force and decide anew")
	}
	if len(view.Compiled) == 0 {
		if decoded, _, err = configsource.Compile(""); err != nil {
			return decision{}, err
		}
	}
	next, err := makeRouting(decoded.Routing)
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

// ReadRouting returns the routing in force, confirmed by a quorum; its revision is 0 if there
// is none yet. The error is NoQuorum if the context ends before it could be confirmed.
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
