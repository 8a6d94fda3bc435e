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

// decommissionPollInterval is how often a waiting request checks whether a store is
// decommissioned.
const decommissionPollInterval = 200 * time.Millisecond

// beginDecommission marks a listed store as decommissioning, unless it already is. The groups'
// leaders then move its replicas away, and the control leader removes it from the store list once
// it has none.
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

// planDecommission returns the change that begins to decommission a store, nil if that was begun
// before. Target is the store's name or machine, as given in the request.
func planDecommission(view *feed.View, target string, matches func(store feed.Member) bool) (*feed.Change, error) {
	index := slices.IndexFunc(view.Stores, matches)
	switch {
	case index < 0 && (slices.ContainsFunc(view.Decommissioned, matches) || decommissionInHistory(view, target)):
		return nil, nil
	case index < 0:
		return nil, apierror.New(apierror.NotFound, "no store with the name or machine "+target+" is enrolled", "name a store that the fleet query lists")
	case view.Stores[index].State == feed.StateDecommissioning:
		return nil, nil
	}
	if candidates := len(view.PlacementCandidates()); candidates <= view.ReplicationFactor() {
		return nil, apierror.New(apierror.Conflict, fmt.Sprintf("only %d stores are available for placement, and each group needs %d", candidates, view.ReplicationFactor()), "enrol another store first")
	}
	next := slices.Clone(view.Stores)
	next[index].State = feed.StateDecommissioning
	change := newStoresChange(view, next)
	// This replaces the request's own digest, so that the request history identifies the store by
	// name or machine, whoever the operator is. A request with an expected number keeps its own
	// digest (see decide).
	change.AdminRequest = decommissionDigest(target)
	return change, nil
}

// decommissionDigest identifies a decommission request in the request history, which goes back
// further than the view's list of decommissioned stores.
func decommissionDigest(target string) uint64 { return feed.RequestDigest("retire", target) }

// decommissionInHistory reports whether the request history has a decommission of a store.
func decommissionInHistory(view *feed.View, target string) bool {
	_, accepted := view.AdminRequests.NumberOf(decommissionDigest(target))
	return accepted
}

// BeginDecommission begins to decommission the store on a machine and returns once that is
// acknowledged. The decommission continues in the background; DecommissionState reports when the
// machine may be switched off. Period is how long the operator allows for it; it is only logged,
// and replicas move as soon as they can. The error is NotFound if no store is on the machine,
// Conflict if too few stores would remain.
//
//	err := node.BeginDecommission(ctx, "root", "storage-east-1", 10*time.Second)
func (node *Node) BeginDecommission(ctx context.Context, by, machine string, period time.Duration) error {
	_, err := node.beginDecommission(ctx, by, machine, onMachine(machine))
	if err == nil {
		log.WithFields(log.Fields{"node": node.Name(), "machine": machine, "operator": by, "over": period}).Info("store decommission begun")
	}
	return err
}

// hasName returns a predicate that matches the store with a name.
func hasName(name string) func(store feed.Member) bool {
	return func(store feed.Member) bool { return store.Name == name }
}

// isDecommissioning reports whether a store is being decommissioned.
func isDecommissioning(store feed.Member) bool {
	return store.State == feed.StateDecommissioning
}

// onMachine returns a predicate that matches the store on a machine.
func onMachine(machine string) func(store feed.Member) bool {
	return func(store feed.Member) bool { return machine != "" && store.Machine == machine }
}

// DecommissionState returns feed.StateDecommissioning while the store on a machine is being
// decommissioned, and feed.StateDecommissioned once the machine may be switched off. The error is
// NotFound if no decommission was begun there.
//
//	state, err := node.DecommissionState(ctx, "storage-east-1")
func (node *Node) DecommissionState(ctx context.Context, machine string) (string, error) {
	state := feed.StateDecommissioning
	_, err := node.execute(ctx, func(view *feed.View) (decision, error) {
		index := slices.IndexFunc(view.Stores, onMachine(machine))
		switch {
		case index >= 0 && view.Stores[index].State == feed.StateDecommissioning:
			state = feed.StateDecommissioning
		case index < 0 && slices.ContainsFunc(view.Decommissioned, onMachine(machine)):
			state = feed.StateDecommissioned
		case index < 0 && decommissionInHistory(view, machine):
			return decision{}, evictedRequestError()
		default:
			return decision{}, apierror.New(apierror.NotFound, "no store on machine "+machine+" is being decommissioned", "begin to decommission it, or name a machine that the fleet query lists")
		}
		return decision{acceptedAs: view.Number}, nil
	})
	return state, err
}

// decommissionStore decommissions the store with a name and returns once no group has a replica
// on it, so that its machine may be switched off. If the context ends first the error is
// OutcomeUnknown and the decommission continues in the background.
func (node *Node) decommissionStore(ctx context.Context, by, name string) (*wire.ChangeReply, error) {
	beginCtx, cancel := context.WithTimeout(ctx, administrationTimeout)
	defer cancel()
	if _, err := node.beginDecommission(beginCtx, by, name, hasName(name)); err != nil {
		return nil, err
	}
	return node.awaitDecommissioned(ctx, name)
}

// awaitDecommissioned waits until a store that is being decommissioned has left the store list
// and that change is acknowledged.
func (node *Node) awaitDecommissioned(ctx context.Context, name string) (*wire.ChangeReply, error) {
	isStore := hasName(name)
	for {
		if view := node.View(); slices.ContainsFunc(view.Decommissioned, isStore) && !slices.ContainsFunc(view.Stores, isStore) {
			return node.awaitAcknowledged(ctx, view.Number)
		}
		select {
		case <-time.After(decommissionPollInterval):
		case <-ctx.Done():
			return nil, apierror.NewRetryable(apierror.OutcomeUnknown, name+" still has replicas; its decommission continues", "send the same command again to keep waiting", time.Second)
		}
	}
}

// finishDecommissions removes an empty store from the store list. To ensure that it is empty, the
// confirmed leaders of all groups must report that their replicas are on the remaining stores: a
// group that lacks one of these, or has a replica on a store that is not listed, may still need
// data of the store that is being decommissioned.
func (node *Node) finishDecommissions() {
	view := node.View()
	if !node.IsLeader() || !slices.ContainsFunc(view.Stores, isDecommissioning) {
		return
	}
	ctx, cancel := context.WithTimeout(node.context, 2*callTimeout)
	defer cancel()
	if node.countUnhealedGroups(ctx, view) > 0 {
		return
	}
	index := slices.IndexFunc(view.Stores, isDecommissioning)
	store := view.Stores[index]
	log.WithFields(log.Fields{"node": node.Name(), "store": store.Name, "machine": store.Machine}).Info("removing an empty store from the store list")
	store.State = feed.StateDecommissioned
	next := slices.Delete(slices.Clone(view.Stores), index, index+1)
	change := newStoresChange(view, next)
	change.By, change.Member = node.Name(), store
	node.proposeOrLog(ctx, *change)
}
