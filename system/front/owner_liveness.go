package front

import (
	"context"
	"slices"
	"strings"

	"github.com/google/uuid"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// newDispatchID names a dispatch after the node that makes it, so that others can
// look whether anything more can come from it.
func (node *Node) newDispatchID() string {
	return node.name + "@" + node.settings.Address + "/" + uuid.NewString()
}

// liveness tells what is known of the front that began a run.
type liveness int

const (
	alive liveness = iota
	// unreachable fronts have no session and do not answer: lost, cut off or frozen.
	unreachable
	// confirmedDead fronts have ended: nobody, or another process, is at their address.
	confirmedDead
)

// ownerLiveness looks for the front that began a run.
func (node *Node) ownerLiveness(ctx context.Context, begun sessionlog.Event) liveness {
	name, rest, _ := strings.Cut(begun.Dispatch, "@")
	address, _, found := strings.Cut(rest, "/")
	if !found || name == node.name {
		return alive
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := node.caller.Call(ctx, address, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
	switch {
	case err == nil && reply.Status != nil && reply.Status.Name == name:
		return alive
	case err == nil || apierror.Of(err).ConnectionRefused:
		return confirmedDead
	}
	node.caller.Drop(address)
	listed := slices.ContainsFunc(node.feedClient.Members(), func(member feed.Member) bool { return member.Name == name })
	if listed || !node.feedClient.HeardControlWithin(memberListMaxAge) {
		return alive
	}
	return unreachable
}

// ownerPresumedDead tells that a run will most likely never go on. Closing it fences its
// front off, should it wake, so for what may be asked again that is enough.
func (node *Node) ownerPresumedDead(ctx context.Context, begun sessionlog.Event) bool {
	return node.ownerLiveness(ctx, begun) != alive
}
