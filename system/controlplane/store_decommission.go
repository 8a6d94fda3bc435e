package controlplane

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/apex/log"

	"yardrock.example/system/apierror"
	"yardrock.example/system/feed"
	"yardrock.example/system/wire"
)

const decommissionPollInterval = 200 * time.Millisecond

// beginDecommission has a store of the list emptied, unless it is being emptied already. From
// then on its groups move away by their own leaders, and the control leader takes it off
// the list once it holds none.
func (node *Node) beginDecommission(ctx context.Context, by, target string, matches func(store feed.Member) bool) (*wire.ChangeReply, error) {
	return node.execute(ctx, func(view *feed.View) (decision, error) {
		change, err := planDecommission(view, target, matches)
		if err != nil || change == nil {
			return decision{acceptedAs: view.Number}, err
		}
		change.By = by
		return decision{change: change}, nil
	})
}

// planDecommission makes the change that has a store emptied, none if it was begun already.
func planDecommission(view *feed.View, target string, matches func(store feed.Member) bool) (*feed.Change, error) {
	at := slices.IndexFunc(view.Stores, matches)
	switch {
	case at < 0 && (slices.ContainsFunc(view.Decommissioned, matches) || wasDecommissionedLongAgo(view, target)):
		return nil, nil
	case at < 0:
		return nil, apierror.New(apierror.NotFound, "no store of "+target+" is enrolled", "name one of those that the fleet query lists")
	case view.Stores[at].State == feed.StateDecommissioning:
		return nil, nil
	}
	if left := len(view.PlacementCandidates()); left <= view.ReplicationFactor() {
		return nil, apierror.New(apierror.Conflict, fmt.Sprintf("only %d stores are left, and each group needs %d", left, view.ReplicationFactor()), "enrol another store first")
	}
	next := slices.Clone(view.Stores)
	next[at].State = feed.StateDecommissioning
	return &feed.Change{Kind: feed.ChangeStores, Expects: true, Expected: view.Number, Members: next, AdminRequest: decommissionDigest(target)}, nil
}

// decommissionDigest is how an order to retire a store is remembered once the view no longer
// lists the store among those that were retired last.
func decommissionDigest(target string) uint64 { return feed.RequestDigest("retire", target) }

func wasDecommissionedLongAgo(view *feed.View, target string) bool {
	_, accepted := view.AdminRequests.NumberOf(decommissionDigest(target))
	return accepted
}

// BeginDecommission has the store on a machine emptied, and returns once that is acknowledged;
// it goes on by itself, and DecommissionState tells when the machine may be switched off. Over
// is how long the operator leaves it; groups move as soon as they can. NotFound tells
// that no store is on the machine, Conflict that too few would be left.
//
//	err := node.BeginDecommission(ctx, "root", "storage-east-1", 10*time.Second)
func (node *Node) BeginDecommission(ctx context.Context, by, machine string, over time.Duration) error {
	_, err := node.beginDecommission(ctx, by, machine, onMachine(machine))
	if err == nil {
		log.WithFields(log.Fields{"node": node.Name(), "machine": machine, "by": by, "over": over}).Info("retire_begun")
	}
	return err
}

func hasName(name string) func(store feed.Member) bool {
	return func(store feed.Member) bool { return store.Name == name }
}

func onMachine(machine string) func(store feed.Member) bool {
	return func(store feed.Member) bool { return machine != "" && store.Machine == machine }
}

// DecommissionState tells how far a machine's store is emptied: feed.Retiring, or feed.Retired
// once nothing is lost with the machine. NotFound tells that none is retired there.
//
//	state, err := node.DecommissionState(ctx, "storage-east-1")
func (node *Node) DecommissionState(ctx context.Context, machine string) (string, error) {
	state := feed.StateDecommissioning
	_, err := node.execute(ctx, func(view *feed.View) (decision, error) {
		at := slices.IndexFunc(view.Stores, onMachine(machine))
		switch {
		case at >= 0 && view.Stores[at].State == feed.StateDecommissioning:
			state = feed.StateDecommissioning
		case at < 0 && slices.ContainsFunc(view.Decommissioned, onMachine(machine)):
			state = feed.StateDecommissioned
		case at < 0 && wasDecommissionedLongAgo(view, machine):
			return decision{}, forgottenRequestError()
		default:
			return decision{}, apierror.New(apierror.NotFound, "no store of "+machine+" is retired", "begin to retire it, or name one of those that the fleet query lists")
		}
		return decision{acceptedAs: view.Number}, nil
	})
	return state, err
}

// DecommissionStore empties a store and returns once no group has a replica there, so
// that its machine may be switched off.
//
//	reply, err := node.DecommissionStore(ctx, "root", "store-…")
func (node *Node) DecommissionStore(ctx context.Context, by, name string) (*wire.ChangeReply, error) {
	beginning, cancel := context.WithTimeout(ctx, administrationTimeout)
	defer cancel()
	if _, err := node.beginDecommission(beginning, by, name, hasName(name)); err != nil {
		return nil, err
	}
	return node.awaitDecommissioned(ctx, name)
}

// awaitDecommissioned waits until a store that is being emptied has left the list.
func (node *Node) awaitDecommissioned(ctx context.Context, name string) (*wire.ChangeReply, error) {
	is := hasName(name)
	for {
		if view := node.View(); slices.ContainsFunc(view.Decommissioned, is) && !slices.ContainsFunc(view.Stores, is) {
			return node.AwaitAcknowledged(ctx, view.Number)
		}
		select {
		case <-time.After(decommissionPollInterval):
		case <-ctx.Done():
			return nil, apierror.NewRetryable(apierror.OutcomeUnknown, name+" still has replicas; it goes on being emptied", "send the same command again to wait on", time.Second)
		}
	}
}

// finishDecommissions takes stores that hold no group any more off the list: the confirmed
// leaders of all groups must say that each has all its replicas on the stores that stay.
// A group that lacks one of them, or names a store which is no longer listed, may need what
// a store that leaves holds.
func (node *Node) finishDecommissions() {
	view := node.View()
	if !node.IsLeader() || !slices.ContainsFunc(view.Stores, func(store feed.Member) bool { return store.State == feed.StateDecommissioning }) {
		return
	}
	ctx, cancel := context.WithTimeout(node.context, 2*callTimeout)
	defer cancel()
	if node.countUnhealedGroups(ctx, view) > 0 {
		return
	}
	at := slices.IndexFunc(view.Stores, func(store feed.Member) bool { return store.State == feed.StateDecommissioning })
	store := view.Stores[at]
	log.WithFields(log.Fields{"node": node.Name(), "store": store.Name, "machine": store.Machine}).Info("store_retired")
	store.State = feed.StateDecommissioned
	next := slices.Delete(slices.Clone(view.Stores), at, at+1)
	node.proposeOrLog(ctx, feed.Change{Kind: feed.ChangeStores, By: node.Name(), Expects: true, Expected: view.Number, Members: next, Member: store})
}
