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

// ReplaceRouting replaces the routing of the revision base (0 if there is none yet) and returns
// once the change is acknowledged. Digest identifies the request: a request that is sent again
// is acknowledged again. The error is Conflict if another revision is current, Invalid if the
// routing is invalid. If the context ends first it is OutcomeUnknown if the routing may have been
// replaced, NoQuorum if no quorum answered; in both cases send the request again. The error is
// also NoQuorum for a request so old that it is unknown whether it was executed.
//
//	err := node.ReplaceRouting(ctx, "root", 5, config.Routing{Revision: 7, Routes: routes, Services: services}, digest)
func (node *Node) ReplaceRouting(ctx context.Context, by string, base uint64, next config.Routing, digest string) error {
	if err := next.Check(); err != nil {
		return err
	}
	request := routingRequest{operator: by, base: base, revision: next.Revision, digest: digest}
	return node.changeRouting(ctx, request, func(*config.Routing) (config.Routing, error) { return next, nil })
}

// PatchRouting changes parts of the routing of the revision base. It returns as ReplaceRouting
// does.
//
//	err := node.PatchRouting(ctx, "root", 7, config.RoutingPatch{Revision: 9, RemoveRoutes: []string{"old"}}, digest)
func (node *Node) PatchRouting(ctx context.Context, by string, base uint64, patch config.RoutingPatch, digest string) error {
	request := routingRequest{operator: by, base: base, revision: patch.Revision, digest: digest}
	return node.changeRouting(ctx, request, func(current *config.Routing) (config.Routing, error) { return current.Patched(patch) })
}

// routingRequest is a request to replace the routing of one revision by another.
type routingRequest struct {
	operator string
	base     uint64 // the revision that it replaces; 0 if there is none yet
	revision uint64 // the revision of the new routing
	digest   string // identifies the request
}

// accepted returns the request's entry in the request history.
func (request routingRequest) accepted() feed.AcceptedRequest {
	return feed.AcceptedRequest{Digest: feed.RequestDigest(request.digest), Number: request.revision}
}

// acceptedRoutingRequests returns the history of routing requests. Older versions kept it only in
// the routing itself; it is converted from there.
func acceptedRoutingRequests(view *feed.View, routing *config.Routing) feed.RequestHistory {
	history := view.RoutingRequests
	if !history.IsEmpty() || routing == nil || len(routing.AcceptedRequests) == 0 {
		return history
	}
	for _, accepted := range routing.AcceptedRequests {
		history = history.With(feed.AcceptedRequest{Digest: feed.RequestDigest(accepted.Digest), Number: accepted.Revision})
	}
	if len(routing.AcceptedRequests) >= config.MaxAcceptedRequests {
		history.EvictedUpTo = max(history.EvictedUpTo, routing.AcceptedRequests[0].Revision)
	}
	return history
}

// routingFunc returns the next routing, given the current one, which is nil if there is none.
type routingFunc func(current *config.Routing) (config.Routing, error)

// changeRouting executes a routing request.
func (node *Node) changeRouting(ctx context.Context, request routingRequest, makeRouting routingFunc) error {
	_, err := node.execute(ctx, func(view *feed.View) (decision, error) { return node.decideRouting(view, request, makeRouting) })
	return err
}

// decideRouting decides what remains to be done for a routing request on a view.
func (node *Node) decideRouting(view *feed.View, request routingRequest, makeRouting routingFunc) (decision, error) {
	decoded, err := node.decodeConfig(view)
	if err != nil {
		return decision{}, err
	}
	history := acceptedRoutingRequests(view, decoded.Routing)
	if _, accepted := history.NumberOf(request.accepted().Digest); accepted {
		return decision{acceptedAs: view.Number}, nil
	}
	if current := decoded.Routing.CurrentRevision(); current != request.base {
		if history.MayHaveEvicted(request.revision) {
			return decision{}, evictedRequestError()
		}
		return decision{}, apierror.New(apierror.Conflict, fmt.Sprintf("the request is based on routing revision %d, but the current revision is %d", request.base, current), "read the current routing and send a new request based on it")
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
		change.RoutingRequests, change.RoutingEvictedUpTo = slices.Collect(history.All()), history.EvictedUpTo
	}
	change.RoutingRequests = append(change.RoutingRequests, request.accepted())
	return decision{change: change}, nil
}

// ReadRouting returns the current routing, confirmed by a quorum; its revision is 0 if there is
// none yet. The error is NoQuorum if the context ends before a quorum confirms it.
//
//	routing, err := node.ReadRouting(ctx)
func (node *Node) ReadRouting(ctx context.Context) (*config.Routing, error) {
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		view, err := node.confirmedView(attemptCtx)
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
