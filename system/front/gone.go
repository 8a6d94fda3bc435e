package front

import (
	"context"
	"slices"
	"strings"

	"github.com/google/uuid"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/line"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// newDispatch names a dispatch after the node that makes it, so that others can
// look whether anything more can come from it.
func (node *Node) newDispatch() string {
	return node.name + "@" + node.settings.Address + "/" + uuid.NewString()
}

// gone tells what is known of the front that began a run.
type gone int

const (
	stillThere gone = iota
	// unheardOf fronts have no session and do not answer: lost, cut off or frozen.
	unheardOf
	// provenGone fronts have ended: nobody, or another process, is at their address.
	provenGone
)

// goneFor looks for the front that began a run.
func (node *Node) goneFor(ctx context.Context, begun line.Event) gone {
	name, rest, _ := strings.Cut(begun.Dispatch, "@")
	address, _, found := strings.Cut(rest, "/")
	if !found || name == node.name {
		return stillThere
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := node.caller.Call(ctx, address, &wire.Query{Which: schema.Query_Which_status, Status: &wire.StatusQuery{}})
	switch {
	case err == nil && reply.Status != nil && reply.Status.Name == name:
		return stillThere
	case err == nil || apierror.Of(err).ConnectionRefused:
		return provenGone
	}
	node.caller.Drop(address)
	listed := slices.ContainsFunc(node.follow.Members(), func(member feed.Member) bool { return member.Name == name })
	if listed || !node.follow.HeardControlWithin(sessionsKnown) {
		return stillThere
	}
	return unheardOf
}

// presumedGone tells that a run will most likely never go on. Closing it fences its
// front off, should it wake, so for what may be asked again that is enough.
func (node *Node) presumedGone(ctx context.Context, begun line.Event) bool {
	return node.goneFor(ctx, begun) != stillThere
}
