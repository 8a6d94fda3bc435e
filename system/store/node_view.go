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

const (
	// storedViewKey is the key under which the host stores the view. Group IDs are lower.
	storedViewKey = 1 << 31
	// viewSyncTimeout bounds the time to make a view durable.
	viewSyncTimeout = 5 * time.Second
	// controlContactWindow is how recently this node must have heard from a control quorum to
	// report that it has.
	controlContactWindow = 5 * time.Second
)

// View returns the current view of the feed. It is durable on this node, except for observations
// (see feed.View.EqualExceptObservations).
//
//	view := node.View()
func (node *Node) View() *feed.View { return node.view.Load() }

// storedView reads the view from the data directory, or returns an empty view if there is none.
func (node *Node) storedView() (*feed.View, error) {
	data := node.host.StoredValue(storedViewKey)
	if data == nil {
		return &feed.View{}, nil
	}
	view, err := wire.UnpackView(data)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Damaged, "the stored view cannot be read: "+err.Error(), "run the version that wrote it")
	}
	return view, nil
}

// acceptView makes a newer view the current one. The view is made durable first, because the
// control nodes count this store among those that have it durably. A view that differs only in
// observations is not stored, as observations are made again after a restart.
func (node *Node) acceptView(view *feed.View) error {
	if view.EqualExceptObservations(node.view.Load()) {
		node.view.Store(view)
		return nil
	}
	ctx, cancel := context.WithTimeout(node.context, viewSyncTimeout)
	defer cancel()
	if err := node.host.StoreValue(ctx, storedViewKey, node.viewPacker.Get(view)); err != nil {
		return err
	}
	node.view.Store(view)
	node.bootstrapGroups(view)
	select {
	case node.viewChanged <- struct{}{}:
	default: // a token is pending already
	}
	return nil
}

// handleReplicateView replies once the view, or a newer one, is durable on this node.
func (node *Node) handleReplicateView(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	current := node.view.Load()
	view, err := query.ReplicateView.ViewFrom(current)
	if len(query.ReplicateView.Changes) > 0 && query.Fleet != current.Fleet {
		err = feed.ErrBaseMismatch
	}
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Conflict, "cannot apply the replicated view: "+err.Error(), "send a full view")
	}
	if !node.feedClient.Load().Adopt(view) {
		return nil, apierror.NewRetryable(apierror.DiskUnavailable, "the view could not be made durable on this node", "retry", time.Second)
	}
	return &wire.Reply{}, nil
}

// handleNewestView replies with the current view if it is newer than the sender's.
func (node *Node) handleNewestView(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	view := node.view.Load()
	reply := &wire.NewestViewReply{Number: view.Number, ControlConfirmed: node.feedClient.Load().ControlConfirmedWithin(controlContactWindow)}
	if view.Number > query.NewestView.After {
		if query.NewestView.Packed {
			reply.PackedView = node.viewPacker.Get(view)
		} else {
			reply.View = *view
		}
	}
	return &wire.Reply{Which: schema.Reply_Which_newest, NewestView: reply}, nil
}

// addressOf returns a store's address, or "" if it is unknown. It also looks up stores that are
// no longer in the store list among the live nodes, as they may still have replicas.
func (node *Node) addressOf(name string) string {
	if address := node.view.Load().AddressOf(name); address != "" {
		return address
	}
	for _, member := range node.liveMembers() {
		if member.Name == name {
			return member.Address
		}
	}
	return ""
}

// liveMembers returns the nodes from which the control nodes have recently heard.
func (node *Node) liveMembers() []feed.Member {
	if client := node.feedClient.Load(); client != nil {
		return client.Members()
	}
	return nil
}

// isLive reports whether a store is live. This node is always live to itself.
func (node *Node) isLive(name string) bool {
	return name == node.Name() || slices.ContainsFunc(node.liveMembers(), func(member feed.Member) bool { return member.Name == name })
}

// hasDeparted reports whether a store is neither in the store list nor live.
func (node *Node) hasDeparted(name string) bool {
	return !slices.ContainsFunc(node.view.Load().Stores, func(member feed.Member) bool { return member.Name == name }) && !node.isLive(name)
}
