package front

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/sessionlog"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

const (
	// probeTimeout bounds one call to another front.
	probeTimeout = 500 * time.Millisecond
	// memberListMaxAge is how old the member list may be for an absence from it to count.
	memberListMaxAge = 1500 * time.Millisecond
)

// newDispatchID names a dispatch after the node that makes it, so that other nodes can find
// out whether anything more can come from it.
func (node *Node) newDispatchID() string {
	return node.name + "@" + node.settings.Address + "/" + uuid.NewString()
}

// liveness is what is known of the front that owns a run.
type liveness int

const (
	// alive fronts answer, are listed, or may be alive for all that is known.
	alive liveness = iota
	// unreachable fronts are not on the member list and do not answer: crashed, cut off
	// by a network partition, or frozen.
	unreachable
	// confirmedDead fronts have ended: no process, or another one, is at their address.
	confirmedDead
)

// ownerLiveness probes the front that began a run, by its address in the dispatch id.
func (node *Node) ownerLiveness(ctx context.Context, startEvent sessionlog.Event) liveness {
	name, rest, _ := strings.Cut(startEvent.Dispatch, "@")
	address, _, found := strings.Cut(rest, "/")
	if !found || name == node.name {
		return alive
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := node.linkClient.Call(ctx, address, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
	switch {
	case err == nil && reply.Status != nil && reply.Status.Name == name:
		return alive
	case err == nil || apierror.Of(err).ConnectionRefused:
		return confirmedDead
	}
	node.linkClient.Drop(address)
	listed := slices.ContainsFunc(node.feedClient.Members(), func(member feed.Member) bool { return member.Name == name })
	if listed || !node.feedClient.HeardControlWithin(memberListMaxAge) {
		return alive
	}
	return unreachable
}

// ownerPresumedDead reports whether a run will most likely never go on. That is enough to
// close a turn, which may be asked again: closing it fences its owner off, should that
// still run. It is not enough for work that must run at most once.
func (node *Node) ownerPresumedDead(ctx context.Context, startEvent sessionlog.Event) bool {
	return node.ownerLiveness(ctx, startEvent) != alive
}
