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
	// storedViewKey is the host's key for the newest view; group numbers are below it.
	storedViewKey = 1 << 31
	// viewSyncTimeout bounds the sync of a view.
	viewSyncTimeout = 5 * time.Second
	// controlContactWindow is how lately a control quorum must have been heard for this node
	// to tell others so.
	controlContactWindow = 5 * time.Second
)

// View returns the newest view that is synced here.
//
//	view := node.View()
func (node *Node) View() *feed.View { return node.view.Load() }

// storedView reads the view that the data folder has; an empty one if it has none.
func (node *Node) storedView() (*feed.View, error) {
	data := node.host.StoredValue(storedViewKey)
	if data == nil {
		return &feed.View{}, nil
	}
	view, err := wire.UnpackView(data)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Damaged, "the stored view cannot be read: "+err.Error(), "run the version of the program that wrote it")
	}
	return view, nil
}

// acceptView syncs a newer view, then lets others see it: the control nodes count this store
// among those that have the view durably. A view that differs only in observations is not
// worth a sync, as observations are made again after a restart.
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
	default: // a token is there already
	}
	return nil
}

// handleReplicateView answers only once the view, or a newer one, is synced here.
func (node *Node) handleReplicateView(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	current := node.view.Load()
	view, err := query.ReplicateView.ViewFrom(current)
	if len(query.ReplicateView.Changes) > 0 && query.Fleet != current.Fleet {
		err = feed.ErrBaseMismatch
	}
	if err != nil {
		return nil, apierror.Wrap(err, apierror.Conflict, "the view cannot be made from the one that is here: "+err.Error(), "send a complete view")
	}
	if !node.feedClient.Load().Adopt(view) {
		return nil, apierror.NewRetryable(apierror.DiskUnavailable, "the view was not synced here", "ask again", time.Second)
	}
	return &wire.Reply{}, nil
}

// handleNewestView answers with the newest view that is synced here, if it is newer than the
// asker's.
func (node *Node) handleNewestView(_ context.Context, query *wire.Query) (*wire.Reply, error) {
	view := node.view.Load()
	newest := &wire.NewestViewReply{Number: view.Number, HeardControlQuorum: node.feedClient.Load().HeardControlWithin(controlContactWindow)}
	if view.Number > query.NewestView.After {
		if query.NewestView.Packed {
			newest.PackedView = node.viewPacker.Get(view)
		} else {
			newest.View = *view
		}
	}
	return &wire.Reply{Which: schema.Reply_Which_newest, NewestView: newest}, nil
}

// addressOf returns a store's address, "" if it is unknown. A store that has left the list is
// found among the live nodes, as groups may still have replicas there.
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

// liveMembers returns the nodes that the control nodes heard lately.
func (node *Node) liveMembers() []feed.Member {
	if client := node.feedClient.Load(); client != nil {
		return client.Members()
	}
	return nil
}

// isLive tells whether a store was heard lately. This node counts as live for itself.
func (node *Node) isLive(name string) bool {
	return name == node.Name() || slices.ContainsFunc(node.liveMembers(), func(member feed.Member) bool { return member.Name == name })
}

// hasDeparted tells whether a store has left the store list and is not live.
func (node *Node) hasDeparted(name string) bool {
	return !slices.ContainsFunc(node.view.Load().Stores, func(member feed.Member) bool { return member.Name == name }) && !node.isLive(name)
}
