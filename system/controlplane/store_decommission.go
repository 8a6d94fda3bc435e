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

// decommissionPollInterval is how often a waiting request checks whether a store has left.
const decommissionPollInterval = 200 * time.Millisecond

// beginDecommission has a listed store emptied, unless that was begun before. From then on
// the groups' leaders move its replicas away, and the control leader takes it off the list
// once it has none.
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

// planDecommission plans the change that begins to decommission a store; nil if it was begun
// before. Target is what the request names the store by: its name or its machine.
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
	change := newStoresChange(view, next)
	// In place of the request's own digest, so that the request history remembers the store by its
	// name or machine, whoever asked. A request that names a number keeps its own (decide).
	change.AdminRequest = decommissionDigest(target)
	return change, nil
}

// decommissionDigest identifies a decommission request in the request history, which reaches
// further back than the view's list of decommissioned stores.
func decommissionDigest(target string) uint64 { return feed.RequestDigest("retire", target) }

// wasDecommissionedLongAgo reports whether the request history remembers that a store was
// decommissioned.
func wasDecommissionedLongAgo(view *feed.View, target string) bool {
	_, accepted := view.AdminRequests.NumberOf(decommissionDigest(target))
	return accepted
}

// BeginDecommission begins to decommission the store on a machine, and returns once that is
// acknowledged. It goes on by itself; DecommissionState reports when the machine may be
// switched off. Over is how long the operator allows for it, which is only logged: replicas
// move as soon as they can. The error is NotFound if no store is on the machine, Conflict if
// too few stores would be left.
//
//	err := node.BeginDecommission(ctx, "root", "storage-east-1", 10*time.Second)
func (node *Node) BeginDecommission(ctx context.Context, by, machine string, over time.Duration) error {
	_, err := node.beginDecommission(ctx, by, machine, onMachine(machine))
	if err == nil {
		log.WithFields(log.Fields{"node": node.Name(), "machine": machine, "operator": by, "over": over}).Info("store decommission begun")
	}
	return err
}

// hasName matches the store of a name.
func hasName(name string) func(store feed.Member) bool {
	return func(store feed.Member) bool { return store.Name == name }
}

// isDecommissioning matches the stores that are being emptied.
func isDecommissioning(store feed.Member) bool {
	return store.State == feed.StateDecommissioning
}

// onMachine matches the store on a machine.
func onMachine(machine string) func(store feed.Member) bool {
	return func(store feed.Member) bool { return machine != "" && store.Machine == machine }
}

// DecommissionState returns feed.StateDecommissioning for a machine whose store is being
// emptied, and feed.StateDecommissioned once the machine may be switched off. The error is
// NotFound if no store is decommissioned there.
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

// decommissionStore decommissions the store of a name, and returns once no group has a
// replica on it, so that its machine may be switched off. If the context ends first the error
// is OutcomeUnknown, and it goes on by itself.
func (node *Node) decommissionStore(ctx context.Context, by, name string) (*wire.ChangeReply, error) {
	beginning, cancel := context.WithTimeout(ctx, administrationTimeout)
	defer cancel()
	if _, err := node.beginDecommission(beginning, by, name, hasName(name)); err != nil {
		return nil, err
	}
	return node.awaitDecommissioned(ctx, name)
}

// awaitDecommissioned waits until a store that is being emptied has left the store list, and
// that is acknowledged.
func (node *Node) awaitDecommissioned(ctx context.Context, name string) (*wire.ChangeReply, error) {
	isStore := hasName(name)
	for {
		if view := node.View(); slices.ContainsFunc(view.Decommissioned, isStore) && !slices.ContainsFunc(view.Stores, isStore) {
			return node.awaitAcknowledged(ctx, view.Number)
		}
		select {
		case <-time.After(decommissionPollInterval):
		case <-ctx.Done():
			return nil, apierror.NewRetryable(apierror.OutcomeUnknown, name+" still has replicas; it goes on being emptied", "send the same command again to wait on", time.Second)
		}
	}
}

// finishDecommissions takes an empty store off the store list. To be sure that it is empty,
// the confirmed leaders of all groups must report that their replicas are on the stores that
// stay: a group that lacks one of these, or has a replica on a store which is not listed, may
// still need what the leaving store has.
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
	at := slices.IndexFunc(view.Stores, isDecommissioning)
	store := view.Stores[at]
	log.WithFields(log.Fields{"node": node.Name(), "store": store.Name, "machine": store.Machine}).Info("store is empty, taking it off the store list")
	store.State = feed.StateDecommissioned
	next := slices.Delete(slices.Clone(view.Stores), at, at+1)
	change := newStoresChange(view, next)
	change.By, change.Member = node.Name(), store
	node.proposeOrLog(ctx, *change)
}
