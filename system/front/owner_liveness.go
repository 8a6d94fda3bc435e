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
	// memberListMaxAge is the maximum age of the member list at which a node's absence from it
	// counts.
	memberListMaxAge = 1500 * time.Millisecond
)

// newDispatchID returns a dispatch ID that contains this node's name and address, so that other
// nodes can check whether the node is still alive.
func (node *Node) newDispatchID() string {
	return node.name + "@" + node.settings.Address + "/" + uuid.NewString()
}

// liveness is what is known about the front that owns a run.
type liveness int

const (
	// alive fronts respond or are listed; also the result if nothing is known.
	alive liveness = iota
	// unreachable fronts are not on the member list and do not respond: crashed, partitioned
	// or suspended.
	unreachable
	// confirmedDead fronts have exited: no process, or another one, listens on their address.
	confirmedDead
)

// ownerLiveness probes the front that started a run, at the address in its dispatch ID.
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
	if listed || !node.feedClient.ControlConfirmedWithin(memberListMaxAge) {
		return alive
	}
	return unreachable
}

// ownerPresumedDead reports whether the owner of a run has exited or is unreachable. That is
// enough to close a turn, which may be retried: closing it fences the owner if that still runs.
// It is not enough for work that must run at most once.
func (node *Node) ownerPresumedDead(ctx context.Context, startEvent sessionlog.Event) bool {
	return node.ownerLiveness(ctx, startEvent) != alive
}
