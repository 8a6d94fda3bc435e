package store

import (
	"context"
	"slices"
	"time"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
	"yardrock.example/system/wire/schema"
)

// View gives the newest view held here.
//
//	view := node.View()
func (node *Node) View() *feed.View { return node.view.Load() }

// acceptView syncs a newer view before anyone may count on it, then founds the groups
// that belong here. What was only observed is not worth a sync.
func (node *Node) acceptView(view *feed.View) error {
	if view.EqualExceptObservations(node.view.Load()) {
		node.view.Store(view)
		return nil
	}
	ctx, cancel := context.WithTimeout(node.context, pinTimeout)
	defer cancel()
	if err := node.host.StoreValue(ctx, pinnedViewKey, node.viewPacker.Get(view)); err != nil {
		return err
	}
	node.view.Store(view)
	node.bootstrapGroups(view)
	select {
	case node.viewChanged <- struct{}{}:
	default:
	}
	return nil
}

// handleHold returns only once the view, or a newer one, is synced here.
func (node *Node) handleHold(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	current := node.view.Load()
	view, err := query.ReplicateView.ViewFrom(current)
	if len(query.ReplicateView.Changes) > 0 && query.Fleet != current.Fleet {
		err = feed.ErrBaseMismatch
	}
	if err != nil {
		return nil, apierror.New(apierror.Conflict, "the view to hold cannot be made: "+err.Error(), "send a whole view")
	}
	if !node.feedClient.Adopt(view) {
		return nil, apierror.NewRetryable(apierror.DiskUnavailable, "the view was not synced here", "ask again", time.Second)
	}
	return &wire.Reply{}, nil
}

func (node *Node) handleNewest(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	view := node.view.Load()
	answer := &wire.NewestViewReply{Number: view.Number, HeardControlQuorum: node.feedClient.HeardControlWithin(controlContactWindow)}
	if view.Number > query.NewestView.After {
		if query.NewestView.Packed {
			answer.PackedView = node.viewPacker.Get(view)
		} else {
			answer.View = *view
		}
	}
	return &wire.Reply{Which: schema.Reply_Which_newest, NewestView: answer}, nil
}

// addressOf finds a peer: by the store list, or, as groups move off a store that has
// left the list, by the sessions.
func (node *Node) addressOf(name string) string {
	if address := node.view.Load().AddressOf(name); address != "" {
		return address
	}
	for _, member := range node.members() {
		if member.Name == name {
			return member.Address
		}
	}
	return ""
}

// members gives the nodes that have sessions.
func (node *Node) members() []feed.Member {
	if following := node.startedFeedClient.Load(); following != nil {
		return following.Members()
	}
	return nil
}

// isLive tells that a store has a session.
func (node *Node) isLive(name string) bool {
	return name == node.Name() || slices.ContainsFunc(node.members(), func(member feed.Member) bool { return member.Name == name })
}

// hasDeparted tells that a store has left the list and has no session.
func (node *Node) hasDeparted(name string) bool {
	return !slices.ContainsFunc(node.view.Load().Stores, func(member feed.Member) bool { return member.Name == name }) && !node.isLive(name)
}
